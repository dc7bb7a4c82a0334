package forward

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// State is the content of the Cowslip-State header: what an entry learns of a backend server from data traffic.
type State struct {
	// InFlight counts requests that run or wait at the backend server, from all entries.
	InFlight int
	// Slots is the configured number of slots, Allowed how many of them may be used now.
	Slots   int
	Allowed int
	// Mode is the mode of the life cycle, such as "active" or "ejected".
	Mode string
	// Remaining is how long the mode lasts at most, or zero when that is not known.
	Remaining time.Duration
}

// String returns the header value.
func (s State) String() string {
	return fmt.Sprintf("inflight=%d;slots=%d;allowed=%d;mode=%s;ttl=%d", s.InFlight, s.Slots, s.Allowed, s.Mode, s.Remaining.Milliseconds())
}

// ParseState reads the header value. Unknown fields are ignored, so that versions can be mixed during an upgrade.
func ParseState(text string) (State, error) {
	var s State
	for field := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return State{}, fmt.Errorf("field %q of the state has no value", field)
		}
		if name == "mode" {
			s.Mode = value
			continue
		}
		n, err := strconv.ParseInt(value, 10, 31)
		if err != nil || n < 0 {
			return State{}, fmt.Errorf("field %q of the state is not a count", field)
		}
		switch name {
		case "inflight":
			s.InFlight = int(n)
		case "slots":
			s.Slots = int(n)
		case "allowed":
			s.Allowed = int(n)
		case "ttl":
			s.Remaining = time.Duration(n) * time.Millisecond
		}
	}
	if s.Mode == "" {
		return State{}, fmt.Errorf("the state has no mode")
	}
	return s, nil
}

// Baseline is the content of the Cowslip-Baseline header: how the other backend servers of a service do, seen by an entry.
type Baseline struct {
	Median     time.Duration
	ErrorShare float64
	Members    int
}

// String returns the header value.
func (b Baseline) String() string {
	return fmt.Sprintf("us=%d;err=%.4f;n=%d", b.Median.Microseconds(), b.ErrorShare, b.Members)
}

// ParseBaseline reads the header value.
func ParseBaseline(text string) (Baseline, error) {
	var b Baseline
	for field := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(field, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < 1e12) {
			return Baseline{}, fmt.Errorf("field %q of the baseline is not a number", field)
		}
		switch name {
		case "us":
			b.Median = time.Duration(number) * time.Microsecond
		case "err":
			b.ErrorShare = min(number, 1)
		case "n":
			b.Members = int(min(number, 1e6))
		}
	}
	return b, nil
}
