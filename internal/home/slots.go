package home

import (
	"context"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// slots bounds the requests that one backend server serves at the same time. A bounded queue absorbs short bursts; when it is
// full, the waiter with the lowest priority is refused, so that queues stay short and important requests wait least.
type slots struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	queueMax int
	waiters  []*waiter
	// idle is closed when the last request in flight ends while someone waits for it.
	idle chan struct{}
}

type waiter struct {
	priority int
	// done receives nil with a slot, or the error that ended the wait. It has room for one value.
	done chan error
}

func newSlots(limit int) *slots {
	return &slots{limit: limit, queueMax: limit}
}

// acquire takes a slot, waiting at most maxWait. The error has kind SlotsFull, Shed or DeadlineBeforeRun.
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
		return s.giveUp(w, errkind.New(errkind.SlotsFull, "no slot became free in time"))
	case <-ctx.Done():
		return s.giveUp(w, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed in the queue"))
	}
}

// enqueue adds a waiter. A full queue refuses its lowest priority, which may be the new one.
func (s *slots) enqueue(priority int) (*waiter, error) {
	if len(s.waiters) >= s.queueMax {
		lowest := s.lowest()
		if lowest < 0 || s.waiters[lowest].priority >= priority {
			return nil, errkind.New(errkind.SlotsFull, "the queue is full")
		}
		victim := s.waiters[lowest]
		s.remove(lowest)
		victim.done <- errkind.New(errkind.Shed, "a request of higher priority took the place in the queue")
	}
	w := &waiter{priority: priority, done: make(chan error, 1)}
	s.waiters = append(s.waiters, w)
	return w, nil
}

// lowest returns the index of the newest waiter of the lowest priority, or -1.
func (s *slots) lowest() int {
	index := -1
	for i, w := range s.waiters {
		if index < 0 || w.priority <= s.waiters[index].priority {
			index = i
		}
	}
	return index
}

// highest returns the index of the oldest waiter of the highest priority, or -1.
func (s *slots) highest() int {
	index := -1
	for i, w := range s.waiters {
		if index < 0 || w.priority > s.waiters[index].priority {
			index = i
		}
	}
	return index
}

func (s *slots) remove(i int) { s.waiters = append(s.waiters[:i], s.waiters[i+1:]...) }

// giveUp ends a wait. A slot that was granted at the same moment is given back.
func (s *slots) giveUp(w *waiter, err error) error {
	s.mu.Lock()
	for i := range s.waiters {
		if s.waiters[i] == w {
			s.remove(i)
			s.mu.Unlock()
			return err
		}
	}
	s.mu.Unlock()
	if granted := <-w.done; granted != nil {
		return granted
	}
	s.release()
	return err
}

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.admit()
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
	s.admit()
}

// setQueue changes the number of requests that may wait. Those that wait above a lowered number stay.
func (s *slots) setQueue(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueMax = size
}

func (s *slots) admit() {
	for s.inFlight < s.limit {
		i := s.highest()
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
}

// load returns the requests in flight, those that wait, and the limit.
func (s *slots) load() (inFlight, waiting, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
