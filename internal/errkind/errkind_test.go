package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
)

// Guards against a kind without a table entry, whose response would have status 0 and the outcome
// Unknown by accident, and against two kinds that share a name.
func TestEveryKindHasAnAnswer(t *testing.T) {
	seen := map[string]Kind{}
	for k := Kind(0); k < kindCount; k++ {
		a := k.Answer()
		if a.Name == "" || a.Status < 400 || a.Status > 599 {
			t.Errorf("kind %d has the incomplete entry %+v", k, a)
		}
		if other, dup := seen[a.Name]; dup {
			t.Errorf("kinds %d and %d share the name %q", other, k, a.Name)
		}
		seen[a.Name] = k
		if back, ok := Parse(a.Name); !ok || back != k {
			t.Errorf("Parse(%q) = %v, %v", a.Name, back, ok)
		}
		if a.RetryElsewhere && a.Outcome != NotRun {
			t.Errorf("%s allows a retry although the request may have run", a.Name)
		}
	}
}

// Guards against a status from which callers conclude that the request has not run, for an error after
// which it may have run.
func TestPromisingStatusesNeedNotRun(t *testing.T) {
	for k := Kind(0); k < kindCount; k++ {
		switch a := k.Answer(); a.Status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if a.Outcome != NotRun {
				t.Errorf("%s has status %d and the outcome %s", a.Name, a.Status, a.Outcome)
			}
		default:
			if a.Outcome != NotRun && a.RetryAfter > 0 && a.Status >= 500 {
				t.Errorf("%s tells when to come back, with status %d and the outcome %s", a.Name, a.Status, a.Outcome)
			}
		}
	}
}

// Guards against an unknown name, for example from a newer daemon, that is read as a promise that
// the request did not run.
func TestUnknownNameDoesNotPromiseNotRun(t *testing.T) {
	k, ok := Parse("no such kind")
	if ok || k.Answer().Outcome != Unknown {
		t.Errorf("Parse of an unknown name returned %v, %v", k, ok)
	}
}

// Guards against errors that lose their kind when they are wrapped, and so reach callers as
// internal.
func TestOfFindsWrappedKind(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(SlotsFull, errors.New("cause"), "b1"))
	if Of(err) != SlotsFull || Of(errors.New("plain")) != Internal {
		t.Errorf("Of = %v and %v", Of(err), Of(errors.New("plain")))
	}
}
