package limits

import "time"

// grant is the holder's record of one sender's share of one customer.
//
// On each request of the sender, applyDemand first takes over the share that the sender says it
// holds, in place of what it may have held. Then record stores the new grant. Until heldUntil, the
// sender may use either the held share or the new grant. After countedUntil, the grant is removed.
type grant struct {
	sender Sender
	// countedUntil is when the holder stops counting the last grant and the reported requests in
	// flight.
	countedUntil time.Time
	// grantedRate and grantedConcurrency are the last grant, which the sender uses from when the
	// response arrives. All rates of a grant are in thousandths of a request per second.
	grantedRate, grantedConcurrency uint64
	// heldRate and heldConcurrency are the share that the sender holds until the response arrives.
	// That share ends at heldUntil.
	heldRate, heldConcurrency     uint64
	heldUntil                     time.Time
	inFlight                      uint64
	demandRate, demandConcurrency uint64
}

// applyDemand takes in the sender's demand. The sender no longer accepts an earlier response, so
// what it holds now replaces what it may have held. That is bounded by what was granted, whatever
// the message says.
func (g *grant) applyDemand(d Demand) {
	g.heldRate = min(d.HeldRateMilli, max(g.grantedRate, g.heldRate))
	g.heldConcurrency = min(uint64(d.HeldConcurrency), max(g.grantedConcurrency, g.heldConcurrency))
	if g.countedUntil.After(g.heldUntil) {
		g.heldUntil = g.countedUntil
	}
	g.demandRate, g.demandConcurrency, g.inFlight = d.RateMilli, uint64(d.Concurrency), uint64(d.InFlight)
}

// record stores the answer to the last demand.
func (g *grant) record(until time.Time, rate, concurrency uint64) {
	g.grantedRate, g.grantedConcurrency, g.countedUntil = rate, concurrency, until
}

// usableRate returns the highest rate that the sender may use, in thousandths of a request per
// second.
func (g *grant) usableRate(now time.Time) uint64 {
	if now.Before(g.heldUntil) {
		return max(g.grantedRate, g.heldRate)
	}
	return g.grantedRate
}

// usableConcurrency returns the most requests in flight that the sender may have, or has reported,
// beyond its base allowance.
func (g *grant) usableConcurrency(now time.Time, baseAllowance uint64) uint64 {
	n := g.grantedConcurrency
	if now.Before(g.heldUntil) {
		n = max(n, g.heldConcurrency)
	}
	if g.inFlight > baseAllowance {
		n = max(n, g.inFlight-baseAllowance)
	}
	return n
}
