package balance

import "time"

// Candidate describes one backend server as the entry sees it, for operators.
type Candidate struct {
	Backend string
	VM      string
	// Tier is the distance: "own data centre", "own region" or "other region".
	Tier string
	Mode string
	// SkipReason is why the backend server is skipped, or empty.
	SkipReason string
	// Since is when the reason in SkipReason began.
	Since time.Time
	// Readmitted is set when the backend server gets requests in spite of SkipReason, because more
	// were avoided than the floor of the service allows.
	Readmitted bool
	// PathFails is set when the circuit breaker of the VM is open.
	PathFails bool
	// Load is the number of requests in flight as far as known. Own is the part from this entry.
	Load int
	Own  int
	// Slots is the concurrency up to which the entry considers the backend server to have capacity.
	Slots int
	// Latency is the recent mean, combined with the mean of the service when there are few samples.
	Latency time.Duration
	// Score is compared between two random candidates. The lower one is taken.
	Score float64
}

// Explain returns the state of the backend servers of a service, in the order of the configuration.
// It returns nil for a service without recent traffic.
func (b *Balancer) Explain(now time.Time, service string) []Candidate {
	s := b.existingService(service)
	if s == nil {
		return nil
	}
	mostPathsOpen := b.paths.mostOpen()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil {
		return nil
	}
	s.refreshViews(now, mostPathsOpen)
	prior := s.prior(now)
	out := make([]Candidate, 0, len(s.members))
	for i, m := range s.members {
		v := &s.views[i]
		slots, _ := m.capacity(now)
		score := m.score(now, prior)
		out = append(out, Candidate{
			Backend: m.backend.ID, VM: m.backend.VM.ID, Tier: m.tier.String(), Mode: m.currentMode(now).String(),
			SkipReason: v.reason.String(), Since: v.since, Readmitted: v.readmitted, PathFails: m.path.open.Load(),
			Load: m.load(now), Own: m.ownInFlight, Slots: slots,
			Latency: time.Duration(m.latency.meanWithPrior(prior, priorWeight) * float64(time.Second)), Score: score,
		})
	}
	return out
}
