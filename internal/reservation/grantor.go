package reservation

import "time"

// Reservation asks that one backend server stays in service for a Lease.
type Reservation struct {
	// Requester is the backend server that wants to leave service.
	Requester string
	// Grantor is the backend server that is asked to stay.
	Grantor  string
	Service  string
	Revision uint64
}

// Grant decides on the reservations of one message of a peer and records what it grants from now on. The result has one
// entry per reservation, in order. A lease other than Lease is refused, because the wait after a restart covers only that.
func (m *Manager) Grant(now time.Time, lease time.Duration, requests []Reservation) []bool {
	now = m.observe(now)
	granted := make([]bool, len(requests))
	for i, r := range requests {
		granted[i] = lease == Lease && i < MaxBatch && m.grant(now, r)
	}
	return granted
}

func (m *Manager) grant(now time.Time, r Reservation) bool {
	l := m.locals[r.Grantor]
	if l == nil || r.Requester == r.Grantor || l.service.Name != r.Service || l.service.Revision != r.Revision {
		return false
	}
	if (l.condition != Active || l.want != nil) && !m.mayRenew(now, l, r) {
		return false
	}
	// observe keeps time from going back, so this expiry is never before the one that it replaces.
	until := now.Add(Lease + ClockMargin)
	m.granted[r.Grantor] = until
	m.renewable[pair{r.Grantor, r.Requester}] = until
	return true
}

// pair names a grantor and a requester.
type pair struct{ grantor, requester string }

// mayRenew reports whether a suspect backend server renews a reservation that it granted before. It does so until it holds
// enough reservations itself. Otherwise one more suspect than the floor allows would take its reservations away from
// those that are out, and get nothing for it: all would return to service.
func (m *Manager) mayRenew(now time.Time, l *local, r Reservation) bool {
	if l.condition != Suspect || !now.Before(m.renewable[pair{r.Grantor, r.Requester}]) {
		return false
	}
	return l.want == nil || !now.Before(l.want.outUntil(m.skew(now), now))
}

// HeldUntil returns the time before which the backend server must neither be ejected nor drained. It also answers for
// backend servers that the configuration no longer has, which must be served until then.
func (m *Manager) HeldUntil(backend string) time.Time {
	// What an earlier process granted is unknown, and it ends at most this long after the start.
	until := m.base.Add(Lease + ClockMargin)
	if l := m.locals[backend]; l != nil {
		until = l.firstSeen.Add(Lease + ClockMargin)
	}
	if g := m.granted[backend]; g.After(until) {
		until = g
	}
	return until
}

// AllHeldUntil returns the time before which the daemon must not stop.
func (m *Manager) AllHeldUntil() time.Time {
	until := m.base.Add(Lease + ClockMargin)
	for _, g := range m.granted {
		if g.After(until) {
			until = g
		}
	}
	for _, l := range m.locals {
		if first := l.firstSeen.Add(Lease + ClockMargin); first.After(until) {
			until = first
		}
	}
	return until
}

func (m *Manager) forgetExpired(now time.Time) {
	for backend, until := range m.granted {
		if !now.Before(until) {
			delete(m.granted, backend)
		}
	}
	for p, until := range m.renewable {
		if !now.Before(until) {
			delete(m.renewable, p)
		}
	}
}
