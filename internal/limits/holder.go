package limits

import (
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

const (
	// maxGrants bounds the grants that a holder remembers, about 100 bytes each.
	maxGrants = 100_000
	// maxViews bounds the earlier views that a holder remembers. With more changes in one lease it waits as after a start.
	maxViews = 8
	// sweepInterval is how often ended grants of idle customers are removed.
	sweepInterval = 5 * time.Second
)

// Holder grants shares of the region's part. It is safe for concurrent use.
type Holder struct {
	mu        sync.Mutex
	self      string
	plan      Plan
	started   time.Time
	view      *View
	earlier   []earlierView
	version   uint64
	customers map[string]*held
	senders   map[Sender]*sender
	grants    int
	swept     time.Time
}

type earlierView struct {
	view *View
	left time.Time
}

// sender is one process that asks for shares.
type sender struct {
	sequence uint64
	seen     time.Time
}

// held is the state of one customer's part.
type held struct {
	grants []*grant
	// holder caches whether this daemon is the holder in the views of version.
	version uint64
	holder  bool
}

// NewHolder returns a holder that starts to grant one lease after now: until then, shares of an earlier process may be in
// use.
func NewHolder(now time.Time, self string, plan Plan) *Holder {
	return &Holder{self: self, plan: plan, started: now, view: NewView(nil),
		customers: map[string]*held{}, senders: map[Sender]*sender{}, swept: now}
}

// SetView sets the VMs of the region. A daemon that becomes holder of a customer by the new view grants after one lease.
func (h *Holder) SetView(now time.Time, v *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.equal(h.view) {
		return
	}
	if len(h.earlier) == maxViews {
		h.started, h.earlier = now, nil
	} else {
		h.earlier = append(h.earlier, earlierView{h.view, now})
	}
	h.view = v
	h.version++
}

// SetPlan sets the division of limits. Grants above a smaller part end with their leases.
func (h *Holder) SetPlan(p Plan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan = p
}

// Handle answers a request for shares. limits returns the limits of a customer's contract in force.
func (h *Holder) Handle(now time.Time, r Request, limits func(customer string) (contract.Limits, bool)) Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var out Response
	s := h.senders[r.Sender]
	if s == nil {
		s = &sender{}
		h.senders[r.Sender] = s
	}
	// The response to an overtaken request is not accepted by its sender, and its content is out of date.
	if r.Sequence <= s.sequence {
		return out
	}
	s.sequence, s.seen = r.Sequence, now
	for _, d := range r.Demands {
		l, known := limits(d.Customer)
		if !known {
			continue
		}
		c := h.customers[d.Customer]
		if !h.isHolder(now, d.Customer, c, holderLease(l)) {
			out.NotHolder = append(out.NotHolder, d.Customer)
			continue
		}
		if c == nil {
			c = &held{version: h.version, holder: true}
			h.customers[d.Customer] = c
		}
		rate, concurrency := h.grant(now, c, r.Sender, d, l)
		out.Grants = append(out.Grants, Grant{d.Customer, rate, concurrency})
	}
	return out
}

// isHolder reports whether this daemon is the holder in the current view and in each view of the last lease.
func (h *Holder) isHolder(now time.Time, customer string, c *held, lease time.Duration) bool {
	if now.Sub(h.started) < lease {
		return false
	}
	if c != nil && c.version == h.version && len(h.earlier) == 0 {
		return c.holder
	}
	holder := h.view.Holder(customer) == h.self
	for _, e := range h.earlier {
		holder = holder && (now.Sub(e.left) >= lease || e.view.Holder(customer) == h.self)
	}
	if c != nil && len(h.earlier) == 0 {
		c.version, c.holder = h.version, holder
	}
	return holder
}

func (h *Holder) grant(now time.Time, c *held, from Sender, d Demand, l contract.Limits) (uint64, uint32) {
	g := h.find(now, c, from)
	if g == nil {
		return 0, 0
	}
	g.report(d)
	rates, concurrencies := h.plan.RatePart(l), uint64(h.plan.ConcurrencyPart(l))
	n, least, base := len(c.grants), leastRate(l), uint64(h.plan.BaseConcurrency(l))
	var usedRate, usedConcurrency uint64
	for _, other := range c.grants {
		if other != g {
			usedRate += other.rate(now)
			usedConcurrency += other.concurrency(now, base)
		}
	}
	rate := fairGrant(rates, g.wantRate, headroomRateMilli, n, func(i int) uint64 { return c.grants[i].wantRate })
	concurrency := fairGrant(concurrencies, g.wantConcurrency, headroomConcurrency, n, func(i int) uint64 { return c.grants[i].wantConcurrency })
	if g.wantRate == 0 {
		rate, concurrency = 0, 0 // a return
	} else {
		// With more askers than slots the fair grant is 0. One slot at a time then goes to whoever asks while one is free.
		concurrency = max(1, concurrency)
		rate = max(rate, min(least, rates))
	}
	rate = min(rate, available(rates, usedRate))
	// A smaller share would never let a request pass. What is left goes to whoever asks when enough of it is free.
	if rate < min(least, rates) {
		rate = 0
	}
	concurrency = min(concurrency, available(concurrencies, usedConcurrency))
	g.renew(now.Add(holderLease(l)), rate, concurrency)
	return rate, uint32(concurrency)
}

func available(part, used uint64) uint64 {
	if used >= part {
		return 0
	}
	return part - used
}

// find returns the sender's grant without those of other senders that have ended, or nil when the memory is full.
func (h *Holder) find(now time.Time, c *held, from Sender) *grant {
	h.compact(now, c)
	for _, g := range c.grants {
		if g.sender == from {
			return g
		}
	}
	if h.grants >= maxGrants {
		return nil
	}
	g := &grant{sender: from}
	c.grants = append(c.grants, g)
	h.grants++
	return g
}

// compact removes grants that have ended.
func (h *Holder) compact(now time.Time, c *held) {
	kept := c.grants[:0]
	for _, g := range c.grants {
		if now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	h.grants -= len(c.grants) - len(kept)
	clear(c.grants[len(kept):])
	c.grants = kept
}

// expire removes views, customers and senders that no longer matter. Customers and senders are swept every sweepInterval.
func (h *Holder) expire(now time.Time) {
	for len(h.earlier) > 0 && now.Sub(h.earlier[0].left) >= maxHolderLease {
		h.earlier = h.earlier[1:]
	}
	if now.Sub(h.swept) < sweepInterval {
		return
	}
	h.swept = now
	for name, c := range h.customers {
		if h.compact(now, c); len(c.grants) == 0 {
			delete(h.customers, name)
		}
	}
	for from, s := range h.senders {
		// All grants of the sender have ended by then, so a late request can only cause a grant that nobody uses.
		if now.Sub(s.seen) > 2*maxHolderLease {
			delete(h.senders, from)
		}
	}
}

// HolderStats counts what a holder remembers.
type HolderStats struct {
	Customers, Grants, Senders int
}

// Stats returns the current counts.
func (h *Holder) Stats() HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HolderStats{len(h.customers), h.grants, len(h.senders)}
}
