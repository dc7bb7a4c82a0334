package admission

import (
	"testing"
	"time"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

// at returns a request that is in time until goal and of use until deadline, both after start.
func at(start time.Time, priority int, goal, deadline time.Duration) Request {
	return Request{Priority: priority, First: true, Goal: start.Add(goal), Deadline: start.Add(deadline)}
}

// learned returns a queue that has seen requests of all given priorities hold slots for hold.
func learned(slots int, hold time.Duration, priorities ...int) *Queue[int] {
	q := NewQueue[int](slots)
	for _, p := range priorities {
		for range 50 {
			q.Ended(&Request{Priority: p}, hold)
			q.Ended(&Request{Priority: p, Inner: true}, hold)
		}
	}
	return q
}

// Guards against new work that goes before work already running, and against requests that are late
// in any case and make others late too.
func TestQueueOrder(t *testing.T) {
	now := time.Now()
	q := learned(1, 100*time.Millisecond, 1, 2)
	inner := at(now, 1, time.Second, 5*time.Second)
	inner.Inner = true
	for i, r := range []Request{
		at(now, 1, 50*time.Millisecond, 4*time.Second), // late in any case
		at(now, 1, 3*time.Second, 6*time.Second),
		at(now, 1, 2*time.Second, 9*time.Second),
		inner,
		at(now, 2, 8*time.Second, 9*time.Second),
		at(now, 1, 50*time.Millisecond, 3*time.Second), // late, with an earlier deadline
	} {
		if v, _, _, _ := q.Add(now, r, time.Minute, i); v != Queued {
			t.Fatalf("request %d: %v", i, v)
		}
	}
	for _, want := range []int{4, 3, 2, 1, 5, 0} {
		if got, expired, ok := q.Next(now); got != want || expired || !ok {
			t.Errorf("got request %d (expired %v, %v), want %d", got, expired, ok, want)
		}
	}
}

// Guards against requests that wait although they cannot be served before their deadline or within
// their patience, and against a full queue that gives up a request for one that goes after it.
func TestQueueRefuses(t *testing.T) {
	now := time.Now()
	q := learned(1, time.Second, 1, 2, 3)
	for i := range placesPerSlot {
		if v, _, _, _ := q.Add(now, at(now, 2, time.Minute, time.Minute), time.Minute, i); v != Queued {
			t.Fatalf("request %d: %v", i, v)
		}
	}
	if v, wait, _, _ := q.Add(now, at(now, 1, time.Minute, 8*time.Second), time.Minute, 90); v != TooLate || wait < placesPerSlot*time.Second {
		t.Errorf("a request with 8 s left behind %d of 1 s: %v, wait %v", placesPerSlot, v, wait)
	}
	if v, wait, _, _ := q.Add(now, at(now, 3, time.Minute, time.Minute), 500*time.Millisecond, 91); v != TooLong || wait < time.Second {
		t.Errorf("a request that waits 0.5 s for the end of one of 1 s: %v, wait %v", v, wait)
	}
	if v, _, _, displaced := q.Add(now, at(now, 1, time.Hour, time.Hour), time.Hour, 92); v != QueueFull || displaced {
		t.Errorf("a less urgent request at a full queue: %v", v)
	}
	v, _, last, displaced := q.Add(now, at(now, 3, time.Minute, time.Minute), time.Minute, 93)
	if v != Queued || !displaced || last < 0 || last >= placesPerSlot {
		t.Errorf("a more urgent request at a full queue: %v, displaced %d (%v)", v, last, displaced)
	}
	later := now.Add(59500 * time.Millisecond)
	if got, expired, ok := q.Next(later); got != 93 || !expired || !ok {
		t.Errorf("with 0.5 s left for 1 s of work: request %d, expired %v", got, expired)
	}
}

// Guards against kinds of which nearly no request is served while more urgent ones take all slots.
// Two of three requests are urgent, and they alone need all slots.
func TestQueueServesEachKind(t *testing.T) {
	now := time.Now()
	q := learned(1, 100*time.Millisecond, 1, 9)
	served := map[int]int{}
	for i := range 3000 {
		now = now.Add(50 * time.Millisecond)
		priority := 9
		if i%3 == 0 {
			priority = 1
		}
		q.Add(now, at(now, priority, time.Second, 2*time.Second), time.Minute, i)
		if i%2 == 1 {
			for {
				value, expired, ok := q.Next(now)
				if ok && expired {
					continue
				}
				if ok && value%3 == 0 {
					served[1]++
				} else if ok {
					served[9]++
				}
				break
			}
		}
	}
	all, urgent, other := float64(served[1]+served[9])/3000, float64(served[9])/2000, float64(served[1])/1000
	t.Logf("served: %.3f of all, %.3f urgent, %.3f others", all, urgent, other)
	if other < all/4 || other > urgent {
		t.Errorf("%.3f of the less urgent requests are served, want a quarter of the %.3f of all and no more than the %.3f of the urgent ones", other, all, urgent)
	}
}

// Guards against waiters that are lost or returned twice, also with more kinds than have statistics,
// and against more places than the bound.
func TestQueueKeepsEachWaiter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Now()
		q := learned(rapid.IntRange(1, 3).Draw(r, "slots"), 200*time.Millisecond, 0, 1)
		held := map[int]bool{}
		take := func(value int) {
			if !held[value] {
				r.Fatalf("request %d is not in the queue", value)
			}
			delete(held, value)
		}
		for i := range rapid.IntRange(1, 200).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0:
				if value, _, ok := q.Next(now); ok {
					take(value)
				}
			case 1:
				if value := rapid.IntRange(0, i).Draw(r, "removed"); q.Remove(value) {
					take(value)
				}
			default:
				goal := time.Duration(rapid.IntRange(-500, 3000).Draw(r, "goal")) * time.Millisecond
				v, _, last, displaced := q.Add(now, at(now, rapid.IntRange(0, 40).Draw(r, "priority"), goal, goal+time.Second), time.Minute, i)
				if displaced {
					take(last)
				}
				if v == Queued {
					held[i] = true
				}
			}
			if q.Len() != len(held) || q.Len() > placesPerSlot*q.slots {
				r.Fatalf("%d wait, want %d", q.Len(), len(held))
			}
		}
		for _, value := range q.Clear() {
			take(value)
		}
		if len(held) != 0 || q.Len() != 0 {
			r.Fatalf("%d waiters are lost", len(held))
		}
	})
}

// The decision on one request at a full queue of 11 slots, and on the next one when a slot is free.
func BenchmarkQueueDecision(b *testing.B) {
	now := time.Now()
	q := learned(11, time.Second, 0, 1, 2, 3)
	for i := range placesPerSlot * 11 {
		q.Add(now, at(now, i%4, time.Duration(i)*time.Second, time.Hour), time.Hour, i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Next(now)
		q.Add(now, at(now, i%4, time.Duration(i%80)*time.Second, time.Hour), time.Hour, i+1000)
	}
}
