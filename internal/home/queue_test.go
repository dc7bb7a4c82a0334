package home

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admission"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"pgregory.net/rapid"
)

// orderedSlots returns slots with an admission queue.
func orderedSlots(limit int) *slots {
	s := newSlots(limit)
	s.useQueue()
	return s
}

func orderedRequest(priority int, left time.Duration) admission.Request {
	return admission.Request{Priority: priority, First: true, Goal: time.Now().Add(left), Deadline: time.Now().Add(left)}
}

// Guards against more requests in flight than the limit, and against slots and places that are lost
// when waits end by their bound, when callers leave, when waiters are displaced or when all are refused
// at once.
func TestOrderedSlotsAgainstRandomLoad(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(r, "limit")
		holds := rapid.SliceOfN(rapid.IntRange(1, 90), 1, 60).Draw(r, "holds")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 10), len(holds), len(holds)).Draw(r, "gaps")
		refusedAt := rapid.IntRange(0, len(holds)).Draw(r, "refused at")
		synctest.Test(t, func(t *testing.T) {
			s := orderedSlots(limit)
			var mu sync.Mutex
			var wg sync.WaitGroup
			running, most, ended := 0, 0, 0
			for i, hold := range holds {
				time.Sleep(time.Duration(gaps[i]) * time.Millisecond)
				if i == refusedAt {
					s.refuseWaiters(errkind.New(errkind.BackendSuspect, ""))
				}
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+hold)*time.Millisecond)
					defer cancel()
					request := orderedRequest(i%3, 100*time.Millisecond)
					_, err := s.acquireOrdered(ctx, request, 80*time.Millisecond, 50*time.Millisecond)
					mu.Lock()
					ended++
					mu.Unlock()
					if err != nil {
						return
					}
					mu.Lock()
					running++
					most = max(most, running)
					mu.Unlock()
					time.Sleep(time.Duration(hold) * time.Millisecond)
					mu.Lock()
					running--
					mu.Unlock()
					s.ended(request, time.Duration(hold)*time.Millisecond)
					s.release()
				})
			}
			wg.Wait()
			if most > limit || ended != len(holds) {
				t.Errorf("%d requests at the same time, limit %d; %d of %d ended", most, limit, ended, len(holds))
			}
			if inFlight, waiting, _ := s.load(); inFlight != 0 || waiting != 0 {
				t.Errorf("%d slots and %d places leaked", inFlight, waiting)
			}
		})
	})
}

// Guards against callers that leave and keep a place, and against a slot that goes to one of them.
func TestPlaceOfCallerThatLeavesIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderedSlots(1)
		if _, err := s.acquireOrdered(t.Context(), orderedRequest(1, time.Minute), time.Minute, time.Minute); err != nil {
			t.Fatal(err)
		}
		ctx, leave := context.WithCancel(t.Context())
		var left, served error
		go func() { _, left = s.acquireOrdered(ctx, orderedRequest(9, time.Minute), time.Minute, time.Minute) }()
		go func() {
			_, served = s.acquireOrdered(t.Context(), orderedRequest(1, time.Minute), time.Minute, time.Minute)
		}()
		synctest.Wait()
		leave()
		synctest.Wait()
		if _, waiting, _ := s.load(); waiting != 1 || errkind.Of(left) != errkind.DeadlineBeforeRun {
			t.Errorf("%d wait after one of two has left with %v", waiting, left)
		}
		s.release()
		synctest.Wait()
		if inFlight, waiting, _ := s.load(); served != nil || inFlight != 1 || waiting != 0 {
			t.Errorf("the other one got %v; %d in flight, %d wait", served, inFlight, waiting)
		}
	})
}

// Guards against refusals that do not say how long the wait is, with which entries choose a home.
func TestRefusalOfFullQueueNamesTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderedSlots(1)
		first := orderedRequest(1, time.Minute)
		if _, err := s.acquireOrdered(t.Context(), first, time.Minute, time.Minute); err != nil {
			t.Fatal(err)
		}
		s.ended(first, 800*time.Millisecond)
		_, err := s.acquireOrdered(t.Context(), orderedRequest(1, time.Minute), 100*time.Millisecond, 100*time.Millisecond)
		var waiting *waitError
		if !errors.As(err, &waiting) || errkind.Of(err) != errkind.SlotsFull || waiting.wait < 800*time.Millisecond {
			t.Errorf("got %v, want a refusal with a wait of 0.8 s", err)
		}
	})
}
