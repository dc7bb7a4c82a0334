package balance

import (
	"testing"
	"time"
)

// Guards against refusals whose wait is lost or makes the rest of the state unreadable.
func TestStateCarriesTheWait(t *testing.T) {
	want := State{InFlight: 7, Slots: 5, Allowed: 5, Mode: Active, Remaining: time.Second, Gray: 3, Wait: 250 * time.Millisecond}
	if got, err := ParseState(want.String()); err != nil || got != want {
		t.Errorf("%q is read as %+v (%v)", want, got, err)
	}
	want.Wait = 0
	if got, err := ParseState(want.String()); err != nil || got != want {
		t.Errorf("%q is read as %+v (%v)", want, got, err)
	}
}
