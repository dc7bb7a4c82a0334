package balance

import "time"

// Candidate describes one backend server as the entry sees it, for operators.
type Candidate struct {
	Backend string
	VM      string
	// Tier is the distance: own data centre, own region or other region.
	Tier string
	Mode string
	// LeftOut is why the backend server gets no requests, or empty.
	LeftOut string
	// Since is when it was left out first.
	Since time.Time
	// PutBack tells that it gets requests all the same, because more were left out than the floor allows.
	PutBack bool
	// PathFails tells that the circuit breaker of the VM is open.
	PathFails bool
	// Load is the number of requests in flight as far as known; Own are those of this entry.
	Load int
	Own  int
	// Slots is the concurrency that the entry uses at most.
	Slots int
	// Latency is the recent mean, drawn towards the service's mean when little is known.
	Latency time.Duration
	// Score is compared between two random candidates; the lower one is taken.
	Score float64
}

// Explain returns what is known of the backend servers of a service, in the order of the configuration. It is empty for a
// service without recent traffic.
func (b *Balancer) Explain(now time.Time, service string) []Candidate {
	s := b.held(service)
	if s == nil {
		return nil
	}
	mostFail := b.paths.mostFail()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.svc == nil {
		return nil
	}
	s.look(now, mostFail)
	prior := s.prior(now)
	out := make([]Candidate, 0, len(s.members))
	for i, m := range s.members {
		v := &s.views[i]
		slots, _ := m.capacity(now)
		score := m.score(now, prior)
		out = append(out, Candidate{
			Backend: m.backend.ID, VM: m.backend.VM.ID, Tier: m.tier.String(), Mode: m.modeFor(now).String(),
			LeftOut: v.reason.String(), Since: v.since, PutBack: v.putBack, PathFails: m.path.open.Load(),
			Load: m.load(now), Own: m.own, Slots: slots,
			Latency: time.Duration(m.latency.towards(prior, priorWeight) * float64(time.Second)), Score: score,
		})
	}
	return out
}
