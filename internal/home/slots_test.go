package home

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

// Guards against more requests in flight than the limit, against slots that leak when waits time
// out, and against waits that end with neither a slot nor an error. Random arrivals and service
// times produce the order of events.
func TestSlotsAgainstRandomLoad(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(r, "limit")
		holds := rapid.SliceOfN(rapid.IntRange(1, 90), 1, 40).Draw(r, "holds")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 20), len(holds), len(holds)).Draw(r, "gaps")
		synctest.Test(t, func(t *testing.T) {
			s := newSlots(limit)
			var mu sync.Mutex
			var wg sync.WaitGroup
			running, maxRunning, served, refused := 0, 0, 0, 0
			for i, hold := range holds {
				time.Sleep(time.Duration(gaps[i]) * time.Millisecond)
				wg.Go(func() {
					if s.acquire(t.Context(), i%10, 30*time.Millisecond) != nil {
						mu.Lock()
						refused++
						mu.Unlock()
						return
					}
					mu.Lock()
					running++
					served++
					maxRunning = max(maxRunning, running)
					mu.Unlock()
					time.Sleep(time.Duration(hold) * time.Millisecond)
					mu.Lock()
					running--
					mu.Unlock()
					s.release()
				})
			}
			wg.Wait()
			if maxRunning > limit {
				t.Errorf("%d requests at the same time, limit %d", maxRunning, limit)
			}
			if served+refused != len(holds) {
				t.Errorf("%d served and %d refused of %d", served, refused, len(holds))
			}
			if inFlight, waiting, _ := s.load(); inFlight != 0 || waiting != 0 {
				t.Errorf("%d slots and %d waiters leaked", inFlight, waiting)
			}
			<-s.whenIdle()
		})
	})
}

// Guards against a full queue that refuses a request of higher priority in favour of a lower one.
func TestFullQueueShedsLowestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1)
		if err := s.acquire(t.Context(), 5, time.Second); err != nil {
			t.Fatal(err)
		}
		results := make(chan error, 2)
		go func() { results <- s.acquire(t.Context(), 1, time.Second) }()
		synctest.Wait()
		if err := s.acquire(t.Context(), 0, time.Second); errkind.Of(err) != errkind.SlotsFull {
			t.Errorf("the request of lower priority got %v, want kind SlotsFull", err)
		}
		go func() { results <- s.acquire(t.Context(), 9, time.Second) }()
		if err := <-results; errkind.Of(err) != errkind.Shed {
			t.Errorf("the waiter of lower priority got %v, want kind Shed", err)
		}
		s.release()
		if err := <-results; err != nil {
			t.Errorf("the waiter of higher priority got %v, want a slot", err)
		}
	})
}

// Guards against a request whose deadline passes in the queue and that keeps a slot or is reported
// as run.
func TestDeadlineInQueueIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1)
		if err := s.acquire(t.Context(), 5, time.Second); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if err := s.acquire(ctx, 5, time.Second); errkind.Of(err) != errkind.DeadlineBeforeRun {
			t.Errorf("got %v", err)
		}
		s.release()
		if inFlight, waiting, _ := s.load(); inFlight != 0 || waiting != 0 {
			t.Errorf("%d requests in flight and %d waiting after the last release, want 0", inFlight, waiting)
		}
	})
}

// Guards against requests of equal priority that displace each other, and against displacing an
// older request of the lowest priority before the newest one.
func TestFullQueueShedsNewestOfLowestPriority(t *testing.T) {
	const none = -1
	for _, c := range []struct {
		queued             []int
		capacity, priority int
		// displaced is the index of the waiter that is refused, or none.
		displaced int
		refused   bool
	}{
		{nil, 0, 9, none, true},
		{[]int{1}, 2, 0, none, false},
		{[]int{5, 5}, 2, 5, none, true},
		{[]int{5, 5}, 2, 6, 1, false},
		{[]int{3, 1, 1, 4}, 4, 2, 2, false},
	} {
		s := &slots{queueCapacity: c.capacity}
		var queued []*waiter
		for _, priority := range c.queued {
			queued = append(queued, &waiter{priority: priority, done: make(chan error, 1)})
		}
		s.waiters = append(s.waiters, queued...)
		_, err := s.enqueue(c.priority)
		if refused := errkind.Of(err) == errkind.SlotsFull; refused != c.refused || refused != (err != nil) {
			t.Errorf("%v, capacity %d, priority %d: %v", c.queued, c.capacity, c.priority, err)
		}
		for i, w := range queued {
			select {
			case err := <-w.done:
				if i != c.displaced || errkind.Of(err) != errkind.Shed {
					t.Errorf("%v, capacity %d, priority %d: waiter %d got %v", c.queued, c.capacity, c.priority, i, err)
				}
			default:
				if i == c.displaced {
					t.Errorf("%v, capacity %d, priority %d: waiter %d was kept", c.queued, c.capacity, c.priority, i)
				}
			}
		}
		if want := min(len(c.queued)+1, c.capacity); len(s.waiters) != want {
			t.Errorf("%v, capacity %d, priority %d: %d wait, want %d", c.queued, c.capacity, c.priority, len(s.waiters), want)
		}
	}
}
