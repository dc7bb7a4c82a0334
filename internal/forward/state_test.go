package forward

import (
	"testing"
	"time"
)

func TestStateAndBaselineRoundTrip(t *testing.T) {
	s := State{InFlight: 3, Slots: 5, Allowed: 2, Mode: "ramping", Remaining: 1500 * time.Millisecond}
	if got, err := ParseState(s.String()); err != nil || got != s {
		t.Errorf("ParseState = %+v, %v", got, err)
	}
	b := Baseline{Median: 1234 * time.Microsecond, ErrorShare: 0.25, Members: 17}
	if got, err := ParseBaseline(b.String()); err != nil || got != b {
		t.Errorf("ParseBaseline = %+v, %v", got, err)
	}
}

// A malformed header of a peer must give an error, never a panic or a negative count.
func FuzzParseState(f *testing.F) {
	f.Add("inflight=1;slots=2;allowed=2;mode=active;ttl=0")
	f.Add("us=1;err=NaN;n=-1")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseState(text); err == nil && (s.InFlight < 0 || s.Slots < 0 || s.Allowed < 0 || s.Remaining < 0) {
			t.Errorf("negative field in %+v", s)
		}
		if b, err := ParseBaseline(text); err == nil && (b.Median < 0 || b.Members < 0 || b.ErrorShare < 0 || b.ErrorShare > 1) {
			t.Errorf("implausible field in %+v", b)
		}
	})
}
