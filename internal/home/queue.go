package home

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admission"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// waitError is a refusal with the time until the request would get a slot.
type waitError struct {
	refusal error
	wait    time.Duration
}

// Error returns the text of the refusal.
func (e *waitError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *waitError) Unwrap() error { return e.refusal }

// useQueue makes requests wait in the order of an admission queue. It is called before any request.
func (s *slots) useQueue() { s.ordered = admission.NewQueue[*waiter](s.limit) }

// acquireOrdered takes a slot. If none is free, it waits for one in the order of the admission queue,
// at most for maxWait, and only if the expected wait is at most patience. The error has kind SlotsFull, Shed or DeadlineBeforeRun, or
// is that of refuseWaiters. waited is true if the slot was not free at once.
func (s *slots) acquireOrdered(ctx context.Context, r admission.Request, patience, maxWait time.Duration) (waited bool, err error) {
	now := time.Now()
	s.mu.Lock()
	if s.inFlight < s.limit && s.ordered.Len() == 0 {
		s.inFlight++
		s.ordered.Started(now, &r)
		s.mu.Unlock()
		return false, nil
	}
	w := &waiter{done: make(chan error, 1)}
	verdict, wait, last, displaced := s.ordered.Add(now, r, patience, w)
	if displaced {
		last.done <- errkind.New(errkind.Shed, "a request that goes first took the place in the queue of the backend server")
	}
	s.mu.Unlock()
	if verdict != admission.Queued {
		return false, &waitError{errkind.New(errkind.SlotsFull, "the queue of the backend server is too long for the request"), wait}
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err = <-w.done:
	case <-timer.C:
		err = s.cancelWait(w, errkind.New(errkind.SlotsFull, "no slot of the backend server became free within the queue wait limit"))
	case <-ctx.Done():
		err = s.cancelWait(w, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while the request waited for a slot"))
	}
	if errkind.Of(err) == errkind.SlotsFull || errkind.Of(err) == errkind.Shed {
		s.mu.Lock()
		wait = s.ordered.Wait(time.Now(), &r)
		s.mu.Unlock()
		err = &waitError{err, wait}
	}
	return true, err
}

// admitOrdered gives free slots to waiters of the admission queue. The caller holds s.mu.
func (s *slots) admitOrdered() {
	now := time.Now()
	for s.inFlight < s.limit {
		w, expired, ok := s.ordered.Next(now)
		switch {
		case !ok:
			return
		case expired:
			w.done <- errkind.New(errkind.DeadlineBeforeRun, "the request cannot be served before its deadline any more")
		default:
			s.inFlight++
			w.done <- nil
		}
	}
}

// ended records how long a request that was served held its slot.
func (s *slots) ended(r admission.Request, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered.Ended(&r, held)
}

// acquireSlot takes a slot of the member for the request. held is called with true when the request
// has been served. It may be nil.
func (h *Home) acquireSlot(ctx context.Context, m *member, r *http.Request, remaining time.Duration) (held func(served bool), err error) {
	if m.slots.ordered == nil {
		return nil, m.slots.acquire(ctx, priorityOf(r), min(queueWaitOf(r), remaining/queueShareDivisor))
	}
	request := admissionRequest(r, time.Now(), remaining)
	maxWait := min(queueWaitOf(r), remaining)
	patience := remaining
	if r.Header.Get(forward.HeaderBrief) != "" {
		patience = maxWait
	}
	waited, err := m.slots.acquireOrdered(ctx, request, patience, maxWait)
	if err != nil {
		return nil, err
	}
	if waited && !m.passesSuspicion(time.Now(), suspicionRequest(r)) {
		// The backend server began to fail while the request waited.
		m.slots.release()
		return nil, suspectError(m)
	}
	start := time.Now()
	return func(served bool) {
		if served {
			m.slots.ended(request, time.Since(start))
		}
	}, nil
}

// suspectError is the refusal of a request because the backend server seems to fail.
func suspectError(m *member) error {
	return errkind.New(errkind.BackendSuspect, "backend server "+m.id+" is suspect: recent requests to it failed")
}

// admissionRequest returns what the order of the queue depends on. Without the time until its goal, a
// request is in time until its deadline.
func admissionRequest(r *http.Request, now time.Time, remaining time.Duration) admission.Request {
	request := admission.Request{Priority: priorityOf(r), Inner: r.Header.Get(forward.HeaderInner) != "", First: r.Header.Get(forward.HeaderFirst) != "", Deadline: now.Add(remaining)}
	request.Goal = request.Deadline
	if ms, err := strconv.ParseInt(r.Header.Get(forward.HeaderGoal), 10, 32); err == nil {
		request.Goal = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return request
}
