package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// timedStore answers watches after a time, with a change in each that is listed.
type timedStore struct {
	scriptedStore
	// answers are the times until the answers to watches, and whether they have a change. Others come
	// at the end of the wait, without one.
	answers []timedAnswer
	waits   []time.Duration
}

type timedAnswer struct {
	after  time.Duration
	change bool
}

func (s *timedStore) Watch(ctx context.Context, after uint64, wait time.Duration, _ func()) ([]Change, uint64, error) {
	s.waits = append(s.waits, wait)
	answer := timedAnswer{after: wait}
	if len(s.answers) > 0 {
		answer, s.answers = s.answers[0], s.answers[1:]
	}
	if !pause.For(ctx, answer.after) && ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	if answer.change {
		return []Change{registrationChange("s", after+1, nil)}, after + 1, nil
	}
	return nil, after, nil
}

// Guards against a response that counts as newer than it may be: one with changes, or without that came
// before the end of its wait, holds as of the begin of its call; so does one that may have been made
// before the end and come after it, at a store that is known to end waits early. A list holds as of its
// begin.
func TestResponsesConfirmAsOfTheStore(t *testing.T) {
	const s = time.Second
	full := 2*s - 2*s/100 // a wait less the margin for clocks
	for _, c := range []struct {
		name    string
		answers []timedAnswer
		// confirmed are the moments since the start, waits the waits of the watches.
		confirmed, waits []time.Duration
	}{
		// The first watch returns at once.
		{"no changes", nil, []time.Duration{0, full, 2*s + full}, []time.Duration{0, 2 * s, 2 * s, 2 * s}},
		{"a change late in a wait", []timedAnswer{{}, {1900 * time.Millisecond, true}}, []time.Duration{0, 0, 2200*time.Millisecond + 297*time.Millisecond}, []time.Duration{0, 2 * s, 300 * time.Millisecond, 2 * s}},
		{"a wait that ends early", []timedAnswer{{}, {s, false}, {1500 * time.Millisecond, false}}, []time.Duration{0, 0, s}, []time.Duration{0, 2 * s, 1500 * time.Millisecond, s}},
		{"a late answer", []timedAnswer{{}, {2500 * time.Millisecond, false}}, []time.Duration{0, full, 2500*time.Millisecond + 1980*time.Millisecond*99/100}, []time.Duration{0, 2 * s, 1980 * time.Millisecond, 2 * s}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				store := &timedStore{answers: c.answers}
				var confirmed []time.Duration
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				reader := NewReader(store, telemetry.Discard(), 37, func(u Update) { confirmed = append(confirmed, u.ConfirmedAt-time.Hour) }, func() {})
				reader.ConfirmWith(func() time.Duration { return time.Hour + time.Since(start) })
				reader.Run(ctx)
				if got := fmt.Sprint(confirmed[:len(c.confirmed)]); got != fmt.Sprint(c.confirmed) {
					t.Errorf("confirmed as of %s, want %v", got, c.confirmed)
				}
				if got := fmt.Sprint(store.waits[:len(c.waits)]); got != fmt.Sprint(c.waits) {
					t.Errorf("waits %s, want %v", got, c.waits)
				}
			})
		})
	}
}

// changingStore has changes at random times. Each answer takes a moment.
type changingStore struct {
	timedStore
	random   *rand.Rand
	interval time.Duration
	revision uint64
	// next is the time of the next change.
	next   time.Time
	probes int
}

// newest returns the revision of the latest change.
func (s *changingStore) newest() uint64 {
	for !s.next.After(time.Now()) {
		s.revision++
		s.next = s.next.Add(time.Duration(s.random.ExpFloat64() * float64(s.interval)))
	}
	return s.revision
}

func (s *changingStore) Probe(context.Context, uint64) error {
	s.probes++
	return nil
}

func (s *changingStore) Watch(ctx context.Context, after uint64, wait time.Duration, _ func()) ([]Change, uint64, error) {
	s.waits = append(s.waits, wait)
	const latency = 10 * time.Millisecond
	if s.newest() <= after && !pause.For(ctx, min(wait, time.Until(s.next))) && ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	revision := s.newest()
	pause.For(ctx, latency)
	if revision > after {
		return []Change{registrationChange("s", revision, nil)}, revision, nil
	}
	return nil, after, nil
}

// Guards against a reader that calls the store more often by a tenth to keep its confirmation young,
// and against one that lets it grow too old. Changes come at each moment of a watch, one in 0.3 to 20 s
// on average. A probe counts as a tenth of a call.
func TestConfirmationsCostFewCalls(t *testing.T) {
	const duration = 4000 * time.Second
	play := func(t *testing.T, interval time.Duration, confirms bool) (calls int, oldest time.Duration) {
		start := time.Now()
		store := &changingStore{random: rand.New(rand.NewPCG(52, uint64(interval))), next: start, interval: interval, revision: 37}
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var latest time.Duration
		reader := NewReader(store, telemetry.Discard(), 37, func(u Update) {
			oldest = max(oldest, time.Since(start)-latest)
			latest = u.ConfirmedAt
		}, func() {})
		if confirms {
			reader.ConfirmWith(func() time.Duration { return time.Since(start) + 1 })
		}
		reader.Run(ctx)
		return len(store.waits) + store.probes/10, oldest
	}
	for _, interval := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1700 * time.Millisecond, 3 * time.Second, 5 * time.Second, 9 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			before, _ := play(t, interval, false)
			calls, oldest := play(t, interval, true)
			t.Logf("a change in %v: %d calls, %d without confirmations; confirmed up to %v ago", interval, calls, before, oldest)
			if calls*10 >= before*11 {
				t.Errorf("a change in %v: %d calls, %d without confirmations, want less than a tenth more", interval, calls, before)
			}
			if most := maxConfirmedAge + 100*time.Millisecond; oldest > most {
				t.Errorf("a change in %v: confirmed up to %v ago, want at most %v", interval, oldest, most)
			}
		})
	}
}
