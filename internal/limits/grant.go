package limits

import "time"

// grant is one sender's share of one customer, as the holder counts it.
type grant struct {
	sender Sender
	// until is when the holder stops to count the last grant and the report of requests in flight.
	until time.Time
	// The last grant. The sender uses it from when the response arrives.
	grantedRate, grantedConcurrency uint64
	// The share that the sender holds until then, and its end.
	heldRate, heldConcurrency uint64
	heldUntil                 time.Time
	inFlight                  uint64
	wantRate, wantConcurrency uint64
}

// report takes over a demand. The sender accepts no earlier response any more, so what it holds now replaces what it may
// have held. What it holds is bounded by what was granted, whatever the message claims.
func (g *grant) report(d Demand) {
	g.heldRate = min(d.HeldRateMilli, max(g.grantedRate, g.heldRate))
	g.heldConcurrency = min(uint64(d.HeldConcurrency), max(g.grantedConcurrency, g.heldConcurrency))
	if g.until.After(g.heldUntil) {
		g.heldUntil = g.until
	}
	g.wantRate, g.wantConcurrency, g.inFlight = d.RateMilli, uint64(d.Concurrency), uint64(d.InFlight)
}

func (g *grant) renew(until time.Time, rate, concurrency uint64) {
	g.grantedRate, g.grantedConcurrency, g.until = rate, concurrency, until
}

// rate returns what the sender may use at most.
func (g *grant) rate(now time.Time) uint64 {
	if now.Before(g.heldUntil) {
		return max(g.grantedRate, g.heldRate)
	}
	return g.grantedRate
}

// concurrency returns what the sender may use at most, or has in flight beyond its base allowance.
func (g *grant) concurrency(now time.Time, base uint64) uint64 {
	n := g.grantedConcurrency
	if now.Before(g.heldUntil) {
		n = max(n, g.heldConcurrency)
	}
	if g.inFlight > base {
		n = max(n, g.inFlight-base)
	}
	return n
}
