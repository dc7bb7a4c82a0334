package balance

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Mode is the mode of a backend server that its home sends.
type Mode uint8

// The modes. Unknown also stands for a mode that this version does not know.
const (
	Unknown Mode = iota
	Active
	Suspect
	Warming
	Ramping
	Ejected
	Probing
	Draining
)

var modeNames = [...]string{"unknown", "active", "suspect", "warming", "ramping", "ejected", "probing", "draining"}

// String returns the name in the Cowslip-State header.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return modeNames[Unknown]
}

// isLimited reports whether the home limits the concurrency to State.Allowed.
func (m Mode) isLimited() bool { return m == Suspect || m == Warming || m == Ramping }

// isOut reports whether the home refuses all work.
func (m Mode) isOut() bool { return m == Ejected || m == Probing || m == Draining }

// State is the content of a Cowslip-State header.
type State struct {
	// InFlight is the number of requests of all entries in flight at the backend server.
	InFlight int
	Slots    int
	// Allowed is the concurrency that the home admits now.
	Allowed int
	Mode    Mode
	// Remaining is the time for which the mode lasts at least, or zero when that is unknown.
	Remaining time.Duration
	// Gray is the probability of a gray failure in per cent, or 0 when the home did not send it. A
	// gray failure is one in which the backend server still responds, but slowly or wrongly.
	Gray int
	// Wait is the time until the refused request would get a slot, or 0 when the home did not send
	// it.
	Wait time.Duration
}

// maxRemaining bounds State.Remaining and State.Wait of a parsed header.
const maxRemaining = time.Minute

// String returns the header value, for example "in=2;slots=5;allow=3;mode=ramping;ms=1200".
func (s State) String() string {
	text := fmt.Sprintf("in=%d;slots=%d;allow=%d;mode=%s;ms=%d", s.InFlight, s.Slots, s.Allowed, s.Mode, s.Remaining.Milliseconds())
	if s.Gray > 0 {
		text += ";gray=" + strconv.Itoa(s.Gray)
	}
	if s.Wait > 0 {
		text += ";wait=" + strconv.FormatInt(max(s.Wait.Milliseconds(), 1), 10)
	}
	return text
}

// ParseState parses the value of a Cowslip-State header. Unknown fields are ignored, so that homes
// of a later version can add some. An error names the invalid field.
func ParseState(value string) (State, error) {
	var s State
	for field := range strings.SplitSeq(value, ";") {
		name, text, _ := strings.Cut(field, "=")
		if name == "mode" {
			s.Mode = ParseMode(text)
			continue
		}
		target := s.field(name)
		if target == nil && name != "ms" && name != "wait" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return State{}, fmt.Errorf("field %q of Cowslip-State: %w", name, err)
		}
		switch {
		case target != nil:
			*target = int(n)
		case name == "wait":
			s.Wait = min(maxRemaining, time.Duration(n)*time.Millisecond)
		default:
			s.Remaining = min(maxRemaining, time.Duration(n)*time.Millisecond)
		}
	}
	return s, nil
}

// field returns the count with a name in the header, or nil.
func (s *State) field(name string) *int {
	switch name {
	case "in":
		return &s.InFlight
	case "slots":
		return &s.Slots
	case "allow":
		return &s.Allowed
	case "gray":
		return &s.Gray
	default:
		return nil
	}
}

// ParseMode returns the mode with a name in the Cowslip-State header, or Unknown.
func ParseMode(text string) Mode {
	for i, name := range modeNames {
		if name == text {
			return Mode(i)
		}
	}
	return Unknown
}
