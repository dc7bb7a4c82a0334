package platform

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault modes of the reader API.
const (
	// ModeNone is normal operation.
	ModeNone = "none"
	// ModeDown closes the connection of every call without a response.
	ModeDown = "down"
	// ModeStale hides all changes after Fault.Revision.
	ModeStale = "stale"
	// ModeSlow delays every response by Fault.Delay.
	ModeSlow = "slow"
	// ModeError answers every Fault.Every-th call with status 500.
	ModeError = "error"
)

// Fault describes how the reader API fails. The zero value is normal operation.
type Fault struct {
	// Mode is one of the constants above; empty means ModeNone.
	Mode string
	// Revision is the last revision that readers see in ModeStale.
	Revision uint64
	// Delay is the added latency in ModeSlow.
	Delay time.Duration
	// Every is the interval in calls in ModeError: 1 fails every call, as does 0.
	Every uint64
}

// faultInjector applies the current fault to calls. It is safe for concurrent use.
type faultInjector struct {
	mu    sync.Mutex
	fault Fault
	// calls counts the calls since the fault was set.
	calls uint64
}

func (f *faultInjector) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.calls = 0
}

func (f *faultInjector) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// maxVisibleRevision returns the highest revision that readers may see.
func (f *faultInjector) maxVisibleRevision() uint64 {
	if fault := f.get(); fault.Mode == ModeStale {
		return fault.Revision
	}
	return math.MaxUint64
}

// apply applies the current fault to one call and reports whether the call is done: it got an error
// response, or the reader went away during a delay. In ModeDown it panics with
// http.ErrAbortHandler, which makes the HTTP server close the connection.
func (f *faultInjector) apply(w http.ResponseWriter, r *http.Request) bool {
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

// parseFault reads a fault from the query parameters of a request and reports whether it is valid.
// Without the parameter revision, Fault.Revision is current.
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
