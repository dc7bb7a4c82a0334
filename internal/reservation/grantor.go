package reservation

import "time"

// Reservation is the request that a backend server stays in service for a Lease.
type Reservation struct {
	// Requester is the backend server that needs the reservation to leave service.
	Requester string
	// Grantor is the backend server that is asked to stay in service.
	Grantor string
	Service string
	// Revision identifies the terms of the service, see Service.Revision. It must be the same at
	// both homes.
	Revision uint64
}

// Grant decides on the reservations in one message of a peer and records the ones it grants. The
// result has one element per reservation, in order. Any lease but Lease is refused, because the
// wait after a restart covers only that. Reservations beyond MaxBatch are refused too.
func (m *Manager) Grant(now time.Time, lease time.Duration, requests []Reservation) []bool {
	now = m.observeTime(now)
	granted := make([]bool, len(requests))
	for i, r := range requests {
		granted[i] = lease == Lease && i < MaxBatch && m.decide(now, r)
	}
	return granted
}

// decide decides on one reservation and records it if it is granted.
func (m *Manager) decide(now time.Time, r Reservation) bool {
	l := m.locals[r.Grantor]
	if l == nil || r.Requester == r.Grantor || l.service.Name != r.Service || l.service.Revision != r.Revision {
		return false
	}
	if (l.condition != Active || l.outRequest != nil) && !m.mayRenew(now, l, r) {
		return false
	}
	// observeTime keeps the time from going back, so this expiry is never before the one it
	// replaces.
	until := now.Add(Lease + ClockMargin)
	m.grantedUntil[r.Grantor] = until
	m.renewableUntil[grantKey{r.Grantor, r.Requester}] = until
	return true
}

// grantKey identifies the reservations that a requester gets from a grantor.
type grantKey struct{ grantor, requester string }

// mayRenew reports whether a suspect backend server may renew a reservation that it granted before.
// It renews until it holds enough reservations to be out itself. Otherwise one more suspect than
// the floor allows would take its reservations away from those that are out. It would gain nothing,
// and all would return to service.
func (m *Manager) mayRenew(now time.Time, l *local, r Reservation) bool {
	if l.condition != Suspect || !now.Before(m.renewableUntil[grantKey{r.Grantor, r.Requester}]) {
		return false
	}
	return l.outRequest == nil || !now.Before(l.outRequest.outUntil(m.clockSkew(now), now))
}

// HeldUntil returns the time before which the backend server must be neither ejected nor drained.
// It also answers for backend servers that were removed from the configuration. They must be served
// until then.
func (m *Manager) HeldUntil(backend string) time.Time {
	// What an earlier process granted is unknown. It ends at most this long after the start.
	until := m.start.Add(Lease + ClockMargin)
	if l := m.locals[backend]; l != nil {
		until = l.firstSeen.Add(Lease + ClockMargin)
	}
	if g := m.grantedUntil[backend]; g.After(until) {
		until = g
	}
	return until
}

// AllHeldUntil returns the time before which the daemon must not stop.
func (m *Manager) AllHeldUntil() time.Time {
	until := m.start.Add(Lease + ClockMargin)
	for _, g := range m.grantedUntil {
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

// deleteExpired drops granted reservations that have expired.
func (m *Manager) deleteExpired(now time.Time) {
	for backend, until := range m.grantedUntil {
		if !now.Before(until) {
			delete(m.grantedUntil, backend)
		}
	}
	for p, until := range m.renewableUntil {
		if !now.Before(until) {
			delete(m.renewableUntil, p)
		}
	}
}
