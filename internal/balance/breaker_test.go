package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// Guards against a breaker that opens without cause, or that admits more than one request at a time
// while open. Also guards against a hold-off that is too short or unbounded, and against closing on
// a response to a request sent before the opening.
func TestBreaker(t *testing.T) {
	trials := 0
	rapid.Check(t, func(t *rapid.T) {
		b, now := &breaker{}, epoch
		type request struct {
			started time.Time
			trial   bool
		}
		var inFlight []request
		var openedAt, lastFailureAt time.Time
		consecutive, total := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 1000, 20000, 90000}).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				switch b.state(now) {
				case pathClosed:
					inFlight = append(inFlight, request{now, false})
				case pathHalfOpen:
					if now.Sub(lastFailureAt) < firstHoldOff {
						t.Fatalf("trial %v after the last failure, before the first hold-off ended", now.Sub(lastFailureAt))
					}
					if !b.claimTrial(now) || b.claimTrial(now) || b.state(now) == pathHalfOpen {
						t.Fatal("a half-open breaker did not admit exactly one trial")
					}
					trials++
					inFlight = append(inFlight, request{now, true})
				case pathOpen:
					if b.holdOff < firstHoldOff || b.holdOff > maxHoldOff || b.retryAt.Sub(now) > maxHoldOff*5/4 {
						t.Fatalf("hold-off %v, trial in %v", b.holdOff, b.retryAt.Sub(now))
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				r := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				wasOpen := b.open.Load()
				total++
				if rapid.IntRange(0, 3).Draw(t, "fails") > 0 {
					consecutive++
					b.recordFailure(now, r.started, rapid.Float64Range(0, 0.99).Draw(t, "jitter"))
					if isOpen := b.open.Load(); isOpen && !wasOpen {
						if consecutive < consecutiveFailureThreshold && total < failureShareMinRequests {
							t.Fatalf("open after %d failures in a row and %d requests", consecutive, total)
						}
						openedAt, lastFailureAt = now, now
					} else if wasOpen && r.trial {
						lastFailureAt = now
					} else if !isOpen && consecutive >= consecutiveFailureThreshold {
						t.Fatalf("still closed after %d failures in a row", consecutive)
					}
					return
				}
				b.recordSuccess(now, r.started)
				if stale := r.started.Before(openedAt); wasOpen && b.open.Load() != stale {
					t.Fatalf("open = %v after a response; request sent before the opening = %v", b.open.Load(), stale)
				}
				if !b.open.Load() {
					consecutive = 0
				}
			},
		})
	})
	if trials < 20 {
		t.Errorf("only %d trials in all runs, want at least 20", trials)
	}
}
