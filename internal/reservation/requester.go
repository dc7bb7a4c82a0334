package reservation

import (
	"slices"
	"time"
)

// heldReservation is one reservation as the requester counts it.
type heldReservation struct {
	until time.Time
	// skewAtSend is Manager.clockSkew when the request was sent.
	skewAtSend time.Duration
}

// expiry returns the end of the reservation. It is earlier than until by what the wall clock has
// gained on the monotonic clock since the request.
func (h heldReservation) expiry(skew time.Duration) time.Time {
	return h.until.Add(-max(0, skew-h.skewAtSend))
}

// sibling is another member of the service, with the reservation that the requester holds on it.
type sibling struct {
	Member
	rank          uint64
	held          heldReservation
	askedAt       time.Time
	nextAskAt     time.Time
	awaitingReply bool
	// failures counts the refusals and missing replies since the last grant. refused is set when
	// the last one was a refusal.
	failures int
	refused  bool
}

// outRequest is the request of one local backend server to leave service.
type outRequest struct {
	backend  string
	service  *Service
	since    time.Time
	siblings []sibling
	// carriedOver is the time out that was reserved under earlier terms.
	carriedOver heldReservation
}

func newOutRequest(backend string, s *Service, since time.Time) *outRequest {
	return &outRequest{backend: backend, service: s, since: since, siblings: s.siblings(backend)}
}

// RequestOut starts to request reservations for a local backend server. From then on it grants no
// new ones. An unknown backend server is ignored.
func (m *Manager) RequestOut(now time.Time, backend string) {
	now = m.observeTime(now)
	if l := m.locals[backend]; l != nil && l.outRequest == nil {
		l.outRequest = newOutRequest(backend, l.service, now)
	}
}

// CancelOutRequest stops requesting reservations and drops the held ones. The caller must have
// returned the backend server to service before.
func (m *Manager) CancelOutRequest(now time.Time, backend string) {
	m.observeTime(now)
	if l := m.locals[backend]; l != nil {
		l.outRequest = nil
	}
}

// OutUntil returns the time until which the backend server may be out. When it must not be out, the
// result is not after now.
func (m *Manager) OutUntil(now time.Time, backend string) time.Time {
	now = m.observeTime(now)
	l := m.locals[backend]
	if l == nil || l.outRequest == nil || now.Before(m.HeldUntil(backend)) {
		return time.Time{}
	}
	return l.outRequest.outUntil(m.clockSkew(now), now)
}

// MayBeOut reports whether the backend server may be out now. The home asks before each use,
// because its process may have been suspended since it last asked.
func (m *Manager) MayBeOut(now time.Time, backend string) bool {
	return now.Before(m.OutUntil(now, backend))
}

// outUntil returns the time until which enough reservations are held. Without a floor it is one
// Lease after now.
func (w *outRequest) outUntil(skew time.Duration, now time.Time) time.Time {
	floor := w.service.Floor
	if floor <= 0 {
		return now.Add(Lease)
	}
	carried := w.carriedOver.expiry(skew)
	if floor > len(w.siblings) {
		return carried
	}
	var buffer [32]time.Time
	expiries := buffer[:0]
	for i := range w.siblings {
		expiries = append(expiries, w.siblings[i].held.expiry(skew))
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	if end := expiries[floor-1]; end.After(carried) {
		return end
	}
	return carried
}

// askDueSiblings calls ask for the siblings to ask now. It goes through the order that all
// requesters share, until the floor is reached. Siblings count towards it when they are held for
// long enough, or when they were asked and have not failed before. Those that refuse or do not
// reply are skipped, and asked again later.
func (w *outRequest) askDueSiblings(skew time.Duration, now time.Time, ask func(*sibling)) {
	for i := range w.siblings {
		w.siblings[i].checkReplyTimeout(now)
	}
	if w.service.Floor > len(w.siblings) {
		return
	}
	sufficient := 0
	for i := range w.siblings {
		if sufficient >= w.service.Floor {
			return
		}
		s := &w.siblings[i]
		if !s.awaitingReply && !now.Before(s.nextAskAt) {
			ask(s)
		}
		if s.awaitingReply && s.failures == 0 || s.held.expiry(skew).Sub(now) > Lease/2 {
			sufficient++
		}
	}
}

// checkReplyTimeout records a failure when the reply is overdue.
func (s *sibling) checkReplyTimeout(now time.Time) {
	if s.awaitingReply && now.Sub(s.askedAt) >= ReplyTimeout {
		s.recordFailure(now, false)
	}
}

// maxImmediateRetries is how many missing replies in a row are each followed by another request
// right after ReplyTimeout. After more of them, the sibling is asked once per RenewInterval. Single
// messages get lost, while a partition lasts. With a loss of 30 per cent each way, eight requests
// in a row get no reply in one of 220 cases.
const maxImmediateRetries = 8

// recordFailure records a refusal, or a missing reply, and sets the time of the next request.
func (s *sibling) recordFailure(now time.Time, refused bool) {
	s.awaitingReply = false
	s.refused = refused
	s.failures++
	switch {
	case refused:
		s.nextAskAt = now.Add(min(maxRefusalBackoff, RenewInterval<<min(s.failures-1, 4)))
	case s.failures <= maxImmediateRetries:
		s.nextAskAt = s.askedAt.Add(ReplyTimeout)
	default:
		s.nextAskAt = s.askedAt.Add(RenewInterval)
	}
}

// recordGrant records a reservation granted on a request sent at sent. skew is Manager.clockSkew
// then.
func (s *sibling) recordGrant(sent time.Time, skew time.Duration) {
	if until := sent.Add(Lease - ClockMargin); until.After(s.held.until) {
		s.held = heldReservation{until: until, skewAtSend: skew}
		s.nextAskAt = sent.Add(RenewInterval)
	}
	s.awaitingReply = s.awaitingReply && s.askedAt.After(sent)
	s.failures = 0
	s.refused = false
}
