package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Guards against requests that insist on suspect backend servers while healthy ones are only full,
// and against waits longer than the latency goal allows.
func TestRoundsWaitForFullBackendsBeforeInsisting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := newRetryRounds(start, start.Add(8*time.Second), 1200*time.Millisecond, 2*time.Second)
		r.noteRefusal(errkind.SlotsFull)
		for r.next(context.Background()) && !r.insist {
			r.noteRefusal(errkind.SlotsFull)
		}
		if waited := time.Since(start); !r.insist || waited < 400*time.Millisecond || waited > 500*time.Millisecond {
			t.Errorf("insisted: %v after %v", r.insist, waited)
		}
		if r.noteRefusal(errkind.SlotsFull); r.next(context.Background()) {
			t.Error("another round after the last insisting one")
		}
	})
}

// Guards against a pause before insisting when all backend servers are suspect. Also guards against
// giving up while a backend server may still register.
func TestRoundsInsistAtOnceWhenAllAreSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := newRetryRounds(start, start.Add(8*time.Second), 1200*time.Millisecond, 2*time.Second)
		r.noteRefusal(errkind.BackendSuspect)
		if !r.next(context.Background()) || !r.insist || time.Since(start) != 0 {
			t.Fatalf("insisted: %v after %v", r.insist, time.Since(start))
		}
		for r.next(context.Background()) {
		}
		if waited := time.Since(start); waited < 2*time.Second || waited > 2200*time.Millisecond {
			t.Errorf("the rounds ended after %v", waited)
		}
	})
}
