package balance

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Response describes a response of a backend server.
type Response struct {
	// Latency is the time from sending the request to receiving the response header, measured by
	// the entry.
	Latency time.Duration
	// ServiceTime is the value of the home's Cowslip-Service-Time-Us header, or zero without one.
	ServiceTime time.Duration
	// Error is set when the response counts as an error of the backend server.
	Error bool
}

// Finished ends a Choice with a response of its backend server.
func (b *Balancer) Finished(now time.Time, c Choice, r Response) {
	b.paths.recordSuccess(c.path, now, c.started)
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m := c.member
	m.ownInFlight--
	seconds := r.Latency.Seconds()
	if r.Error {
		seconds = max(seconds, failureLatencyFactor*s.prior(now))
	} else {
		s.latency.add(now, latencyTimeConstant, seconds)
	}
	if c.started.Before(m.outSince) {
		// The request was sent before the backend server was ejected.
		return
	}
	m.latency.add(now, latencyTimeConstant, seconds)
	failed := 0.0
	if r.Error {
		failed = 1
	}
	m.errors.add(now, errorTimeConstant, failed)
	if r.ServiceTime > 0 && !r.Error { // failures that return at once would make the usual service time look short
		m.serviceTimes.add(b.secondsSinceStart(now), r.ServiceTime)
	}
}

// Refused ends a Choice whose home replied that the request was not run. kind is the error kind
// that the home returned.
func (b *Balancer) Refused(now time.Time, c Choice, kind errkind.Kind) {
	b.paths.recordSuccess(c.path, now, c.started)
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m := c.member
	m.ownInFlight--
	switch kind {
	case errkind.SlotsFull, errkind.Shed, errkind.BackendShed:
		// All slots are in use, whatever the last received state says.
		m.othersInFlight, m.othersInFlightAt = m.slots(), now
	case errkind.BackendSuspect:
		m.heldBackUntil = now.Add(heldBackTime + heldBackTimeGray*time.Duration(min(m.state.Gray, 100))/100)
	case errkind.BackendUnreachable, errkind.BackendReplaced, errkind.NotHome:
		m.latency.add(now, latencyTimeConstant, failureLatencyFactor*s.prior(now))
		m.unreachableAt = now
	}
}

// Failed ends a Choice without a response of the backend server. fromHome is set when the home
// reported the failure, which proves that the path works. Otherwise the failure counts against the
// path.
func (b *Balancer) Failed(now time.Time, c Choice, fromHome bool) {
	if fromHome {
		b.paths.recordSuccess(c.path, now, c.started)
	} else {
		b.paths.recordFailure(c.path, now, c.started)
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m := c.member
	m.ownInFlight--
	penalty := max(now.Sub(c.started).Seconds(), failureLatencyFactor*s.prior(now))
	m.latency.add(now, latencyTimeConstant, penalty)
	if fromHome && !c.started.Before(m.outSince) {
		m.errors.add(now, errorTimeConstant, 1)
	}
}

// Unconfirmed ends a Choice whose home did not even confirm that it received the request. A single
// such request opens the circuit breaker of the path.
func (b *Balancer) Unconfirmed(now time.Time, c Choice) {
	b.paths.recordNoReply(c.path, now, c.started)
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.member.ownInFlight--
}

// Abandoned ends a Choice whose caller left before there was a response. The time waited counts as
// latency when it is above the mean of the service. Otherwise a backend server that is so slow that
// callers give up would never look slow.
func (b *Balancer) Abandoned(now time.Time, c Choice) {
	if c.Trial {
		c.path.releaseTrial()
	}
	s, m := c.service, c.member
	s.mu.Lock()
	defer s.mu.Unlock()
	m.ownInFlight--
	if waited := now.Sub(c.started).Seconds(); waited > s.prior(now) {
		m.latency.add(now, latencyTimeConstant, waited)
	}
}

// Update records the state that a home sent for one of its backend servers. Call it before the call
// that ends the Choice of the same response, because the state still counts that request as in
// flight. It does nothing for a service without traffic or an unknown backend server.
func (b *Balancer) Update(now time.Time, service, backend string, state State) {
	s := b.existingService(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.memberByID(backend); m != nil {
		m.update(now, state)
	}
}

// secondsSinceStart returns the whole seconds from Options.Now to now.
func (b *Balancer) secondsSinceStart(now time.Time) uint32 {
	return uint32(max(0, now.Sub(b.start)) / time.Second)
}
