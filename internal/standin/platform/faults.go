package platform

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Modes of failure for the readers' side.
const (
	ModeNone = "none"
	// ModeDown breaks every connection without an answer.
	ModeDown = "down"
	// ModeStale answers as of an old revision.
	ModeStale = "stale"
	// ModeSlow delays every answer.
	ModeSlow = "slow"
	// ModeError answers every N-th call with status 500.
	ModeError = "error"
)

// Fault describes how the stand-in fails towards readers.
type Fault struct {
	Mode string
	// Revision is the revision that ModeStale answers.
	Revision uint64
	// Delay is used by ModeSlow.
	Delay time.Duration
	// Every is N of ModeError; 1 fails every call.
	Every uint64
}

type faults struct {
	mu    sync.Mutex
	fault Fault
	calls uint64
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.calls = 0
}

func (f *faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// upTo returns the highest revision that readers may see.
func (f *faults) upTo() uint64 {
	if fault := f.get(); fault.Mode == ModeStale {
		return fault.Revision
	}
	return math.MaxUint64
}

// strike applies the fault to one call and reports whether it was answered here.
func (f *faults) strike(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	f.calls++
	fault, calls := f.fault, f.calls
	f.mu.Unlock()
	switch fault.Mode {
	case ModeDown:
		panic(http.ErrAbortHandler)
	case ModeSlow:
		select {
		case <-time.After(fault.Delay):
		case <-r.Context().Done():
			return true
		}
	case ModeError:
		if calls%max(fault.Every, 1) == 0 {
			http.Error(w, "fault", http.StatusInternalServerError)
			return true
		}
	}
	return false
}

// parseFault reads a fault from the query of a request. The current revision is the default of ModeStale.
func parseFault(r *http.Request, current uint64) (Fault, bool) {
	q := r.URL.Query()
	fault := Fault{Mode: q.Get("mode"), Revision: current, Every: 1}
	var err error
	if text := q.Get("revision"); text != "" && err == nil {
		fault.Revision, err = strconv.ParseUint(text, 10, 64)
	}
	if text := q.Get("every"); text != "" && err == nil {
		fault.Every, err = strconv.ParseUint(text, 10, 64)
	}
	if text := q.Get("delay"); text != "" && err == nil {
		fault.Delay, err = time.ParseDuration(text)
	}
	switch fault.Mode {
	case ModeNone, ModeDown, ModeStale, ModeSlow, ModeError:
		return fault, err == nil
	}
	return fault, false
}
