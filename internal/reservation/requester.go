package reservation

import (
	"slices"
	"time"
)

// hold is one reservation as the requester counts it.
type hold struct {
	until time.Time
	// skew is Manager.skew when the request was sent.
	skew time.Duration
}

// end returns the expiry, shortened by what the wall clock advanced ahead of the monotonic clock since the request.
func (h hold) end(skew time.Duration) time.Time {
	return h.until.Add(-max(0, skew-h.skew))
}

type sibling struct {
	Member
	rank    uint64
	held    hold
	asked   time.Time
	nextAsk time.Time
	waiting bool
	// failures counts refusals and silences since the last grant.
	failures int
	refused  bool
}

// want is the wish of one local backend server to leave service.
type want struct {
	backend  string
	service  *Service
	since    time.Time
	siblings []sibling
	// carried is the end under terms that were in force before.
	carried hold
}

func newWant(backend string, s *Service, since time.Time) *want {
	return &want{backend: backend, service: s, since: since, siblings: s.siblings(backend)}
}

// Want starts to request reservations for a local backend server. From then on it grants no new ones.
func (m *Manager) Want(now time.Time, backend string) {
	now = m.observe(now)
	if l := m.locals[backend]; l != nil && l.want == nil {
		l.want = newWant(backend, l.service, now)
	}
}

// Unwant gives up the wish. The caller must have returned the backend server to service.
func (m *Manager) Unwant(now time.Time, backend string) {
	m.observe(now)
	if l := m.locals[backend]; l != nil {
		l.want = nil
	}
}

// OutUntil returns the time until which the backend server may be out, or a time not after now.
func (m *Manager) OutUntil(now time.Time, backend string) time.Time {
	now = m.observe(now)
	l := m.locals[backend]
	if l == nil || l.want == nil || now.Before(m.HeldUntil(backend)) {
		return time.Time{}
	}
	return l.want.outUntil(m.skew(now), now)
}

// MayBeOut reports whether the backend server may be out now. The home asks at each use, because its process may have
// been suspended since it last asked.
func (m *Manager) MayBeOut(now time.Time, backend string) bool {
	return now.Before(m.OutUntil(now, backend))
}

func (w *want) outUntil(skew time.Duration, now time.Time) time.Time {
	floor := w.service.Floor
	if floor <= 0 {
		return now.Add(Lease)
	}
	carried := w.carried.end(skew)
	if floor > len(w.siblings) {
		return carried
	}
	var room [32]time.Time
	ends := room[:0]
	for i := range w.siblings {
		ends = append(ends, w.siblings[i].held.end(skew))
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	if end := ends[floor-1]; end.After(carried) {
		return end
	}
	return carried
}

// plan marks the siblings to ask now. It walks the common order until F siblings are held for long enough or have
// been asked without an earlier failure; those that refuse or stay silent are passed over and asked again after a while.
func (w *want) plan(skew time.Duration, now time.Time, ask func(*sibling)) {
	for i := range w.siblings {
		w.siblings[i].settleSilence(now)
	}
	if w.service.Floor > len(w.siblings) {
		return
	}
	good := 0
	for i := range w.siblings {
		if good >= w.service.Floor {
			return
		}
		s := &w.siblings[i]
		if !s.waiting && !now.Before(s.nextAsk) {
			ask(s)
		}
		if s.waiting && s.failures == 0 || s.held.end(skew).Sub(now) > Lease/2 {
			good++
		}
	}
}

func (s *sibling) settleSilence(now time.Time) {
	if s.waiting && now.Sub(s.asked) >= ReplyTimeout {
		s.fail(now, false)
	}
}

// fastRetries is how many silences in a row are followed by another request at once: single messages get lost, while a
// partition lasts. With 30 per cent loss each way, eight requests in a row get no reply in one of 220 cases.
const fastRetries = 8

func (s *sibling) fail(now time.Time, refused bool) {
	s.waiting = false
	s.refused = refused
	s.failures++
	switch {
	case refused:
		s.nextAsk = now.Add(min(maxRefusalBackoff, RenewEvery<<min(s.failures-1, 4)))
	case s.failures <= fastRetries:
		s.nextAsk = s.asked.Add(ReplyTimeout)
	default:
		s.nextAsk = s.asked.Add(RenewEvery)
	}
}

func (s *sibling) granted(sent time.Time, skew time.Duration) {
	if until := sent.Add(Lease - ClockMargin); until.After(s.held.until) {
		s.held = hold{until: until, skew: skew}
		s.nextAsk = sent.Add(RenewEvery)
	}
	s.waiting = s.waiting && s.asked.After(sent)
	s.failures = 0
	s.refused = false
}
