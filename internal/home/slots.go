package home

import (
	"context"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admission"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// slots limits the number of requests that one backend server serves at the same time. A bounded
// queue absorbs short bursts. When it is full, the waiter with the lowest priority is refused, so
// that queues stay short and important requests wait least. It is safe for concurrent use.
type slots struct {
	mu            sync.Mutex
	limit         int
	inFlight      int
	queueCapacity int
	waiters       []*waiter
	// ordered holds the waiters in place of waiters. It is nil without Options.Queue.
	ordered *admission.Queue[*waiter]
	// idle is closed when the last request in flight ends while someone waits for that. It is nil
	// otherwise.
	idle chan struct{}
}

// waiter is a request in the queue.
type waiter struct {
	priority int
	// done receives nil with a slot, or the error that ended the wait. Its buffer holds one value.
	done chan error
}

// newSlots returns slots whose queue holds as many requests as there are slots.
func newSlots(limit int) *slots {
	return &slots{limit: limit, queueCapacity: limit}
}

// acquire takes a slot, and waits at most maxWait for it. The error has kind SlotsFull, Shed or
// DeadlineBeforeRun, or is that of refuseWaiters. After success the caller must call release.
func (s *slots) acquire(ctx context.Context, priority int, maxWait time.Duration) error {
	s.mu.Lock()
	if s.inFlight < s.limit && len(s.waiters) == 0 {
		s.inFlight++
		s.mu.Unlock()
		return nil
	}
	w, err := s.enqueue(priority)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		return s.cancelWait(w, errkind.New(errkind.SlotsFull, "no slot of the backend server became free within the queue wait limit"))
	case <-ctx.Done():
		return s.cancelWait(w, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while the request waited for a slot"))
	}
}

// enqueue adds a waiter. A full queue refuses the lowest priority, which may be the new one. The
// caller holds s.mu.
func (s *slots) enqueue(priority int) (*waiter, error) {
	if len(s.waiters) >= s.queueCapacity {
		lowest := s.lowestPriority()
		if lowest < 0 || s.waiters[lowest].priority >= priority {
			return nil, errkind.New(errkind.SlotsFull, "the queue of the backend server is full")
		}
		displaced := s.waiters[lowest]
		s.remove(lowest)
		displaced.done <- errkind.New(errkind.Shed, "a request of higher priority took the place in the queue of the backend server")
	}
	w := &waiter{priority: priority, done: make(chan error, 1)}
	s.waiters = append(s.waiters, w)
	return w, nil
}

// lowestPriority returns the index of the newest waiter of the lowest priority, or -1.
func (s *slots) lowestPriority() int {
	index := -1
	for i, w := range s.waiters {
		if index < 0 || w.priority <= s.waiters[index].priority {
			index = i
		}
	}
	return index
}

// highestPriority returns the index of the oldest waiter of the highest priority, or -1.
func (s *slots) highestPriority() int {
	index := -1
	for i, w := range s.waiters {
		if index < 0 || w.priority > s.waiters[index].priority {
			index = i
		}
	}
	return index
}

func (s *slots) remove(i int) { s.waiters = append(s.waiters[:i], s.waiters[i+1:]...) }

// cancelWait ends a wait with the error. A slot that was granted at the same moment is released.
func (s *slots) cancelWait(w *waiter, err error) error {
	s.mu.Lock()
	if s.ordered != nil && s.ordered.Remove(w) {
		s.mu.Unlock()
		return err
	}
	for i := range s.waiters {
		if s.waiters[i] == w {
			s.remove(i)
			s.mu.Unlock()
			return err
		}
	}
	s.mu.Unlock()
	if result := <-w.done; result != nil {
		return result
	}
	s.release()
	return err
}

// release returns a slot, which may go to a waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.admitWaiters()
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// setLimit changes the number of slots. Requests in flight above a lowered limit finish normally.
func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	if s.ordered != nil {
		s.ordered.SetSlots(limit)
	}
	s.admitWaiters()
}

// setQueueCapacity changes the number of requests that may wait. Waiters above a lowered capacity
// stay.
func (s *slots) setQueueCapacity(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueCapacity = size
}

// admitWaiters gives free slots to waiters. The caller holds s.mu.
func (s *slots) admitWaiters() {
	if s.ordered != nil {
		s.admitOrdered()
		return
	}
	for s.inFlight < s.limit {
		i := s.highestPriority()
		if i < 0 {
			return
		}
		w := s.waiters[i]
		s.remove(i)
		s.inFlight++
		w.done <- nil
	}
}

// refuseWaiters ends all waits with the error.
func (s *slots) refuseWaiters(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiters {
		w.done <- err
	}
	s.waiters = nil
	if s.ordered == nil {
		return
	}
	for _, w := range s.ordered.Clear() {
		w.done <- err
	}
}

// load returns the number of requests in flight and of those that wait, and the limit of requests
// in flight.
func (s *slots) load() (inFlight, waiting, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ordered != nil {
		return s.inFlight, s.ordered.Len(), s.limit
	}
	return s.inFlight, len(s.waiters), s.limit
}

// whenIdle returns a channel that is closed once no request is in flight.
func (s *slots) whenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	return s.idle
}
