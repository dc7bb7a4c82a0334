package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// Guards against a breaker that opens without cause, lets more than one request at a time through while open, waits less
// than the hold-off or without bound, or closes on a response to a request from before it opened.
func TestBreaker(t *testing.T) {
	trials := 0
	rapid.Check(t, func(t *rapid.T) {
		b, now := &breaker{}, epoch
		type request struct {
			started time.Time
			trial   bool
		}
		var flying []request
		var opened, lastBad time.Time
		row, total := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 1000, 20000, 90000}).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(t *rapid.T) {
				switch b.state(now) {
				case pathClosed:
					flying = append(flying, request{now, false})
				case pathTrial:
					if now.Sub(lastBad) < firstHoldOff {
						t.Fatalf("trial %v after the last failure", now.Sub(lastBad))
					}
					if !b.claimTrial(now) || b.claimTrial(now) || b.state(now) == pathTrial {
						t.Fatal("not exactly one trial")
					}
					trials++
					flying = append(flying, request{now, true})
				case pathOpen:
					if b.holdOff < firstHoldOff || b.holdOff > maxHoldOff || b.retryAt.Sub(now) > maxHoldOff*5/4 {
						t.Fatalf("hold-off %v, trial in %v", b.holdOff, b.retryAt.Sub(now))
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(flying) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
				r := flying[i]
				flying = append(flying[:i], flying[i+1:]...)
				wasOpen := b.open.Load()
				total++
				if rapid.IntRange(0, 3).Draw(t, "fails") > 0 {
					row++
					b.failure(now, r.started, rapid.Float64Range(0, 0.99).Draw(t, "jitter"))
					if isOpen := b.open.Load(); isOpen && !wasOpen {
						if row < consecutiveFailures && total < shareMinimum {
							t.Fatalf("open after %d failures in a row and %d requests", row, total)
						}
						opened, lastBad = now, now
					} else if wasOpen && r.trial {
						lastBad = now
					} else if !isOpen && row >= consecutiveFailures {
						t.Fatalf("closed after %d failures in a row", row)
					}
					return
				}
				b.success(now, r.started)
				if stale := r.started.Before(opened); wasOpen && b.open.Load() != stale {
					t.Fatalf("open = %v after a response to a request from before the opening = %v", b.open.Load(), stale)
				}
				if !b.open.Load() {
					row = 0
				}
			},
		})
	})
	if trials < 20 {
		t.Errorf("only %d trials in all runs", trials)
	}
}
