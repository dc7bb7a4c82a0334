package limits

import (
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

const (
	// maxGrants bounds the grants in memory, at about 100 bytes each.
	maxGrants = 100_000
	// maxPastViews bounds the past views in memory. After more changes within the longest lease,
	// the holder waits for one lease, as after a start.
	maxPastViews = 8
	// sweepInterval is how often ended grants, idle customers and idle senders are removed.
	sweepInterval = 5 * time.Second
)

// Holder grants shares of the region's quota for the customers that it holds. It is safe for
// concurrent use.
//
// It grants shares of a customer only if it is the customer's holder in the current view and was in
// every view of the last lease. Otherwise shares that a previous holder or process granted may
// still be in use.
type Holder struct {
	mu        sync.Mutex
	self      string
	plan      Plan
	waitStart time.Time
	view      *View
	// pastViews are the views that were replaced within the longest lease, oldest first.
	pastViews []pastView
	// viewVersion counts the changes of the view.
	viewVersion uint64
	customers   map[string]*customerGrants
	senders     map[Sender]*sender
	grants      int
	lastSweep   time.Time
}

type pastView struct {
	view       *View
	replacedAt time.Time
}

// sender is the state of one process that requests shares.
type sender struct {
	lastSequence uint64
	lastSeen     time.Time
}

// customerGrants are the grants of one customer.
type customerGrants struct {
	grants []*grant
	// isHolder caches whether this daemon is the customer's holder in the view numbered
	// viewVersion.
	viewVersion uint64
	isHolder    bool
}

// NewHolder returns a holder on the VM self. It grants nothing until one lease after now, because
// shares that an earlier process granted may be in use until then.
func NewHolder(now time.Time, self string, plan Plan) *Holder {
	return &Holder{self: self, plan: plan, waitStart: now, view: NewView(nil),
		customers: map[string]*customerGrants{}, senders: map[Sender]*sender{}, lastSweep: now}
}

// SetView sets the VMs of the region. A daemon that becomes the holder of a customer by the new
// view grants nothing until one lease later.
func (h *Holder) SetView(now time.Time, v *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.equal(h.view) {
		return
	}
	if len(h.pastViews) == maxPastViews {
		h.waitStart, h.pastViews = now, nil
	} else {
		h.pastViews = append(h.pastViews, pastView{h.view, now})
	}
	h.view = v
	h.viewVersion++
}

// SetPlan sets the division of limits. Grants above a quota that became smaller end with their
// leases.
func (h *Holder) SetPlan(p Plan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan = p
}

// Handle answers a request for shares. limits returns the limits of the customer's contract in
// force, or false for an unknown customer. The response is empty when the request is out of order.
func (h *Holder) Handle(now time.Time, r Request, limits func(customer string) (contract.Limits, bool)) Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeStale(now)
	var resp Response
	s := h.senders[r.Sender]
	if s == nil {
		s = &sender{}
		h.senders[r.Sender] = s
	}
	// The sender has sent a newer request, so it does not accept this response, and this request is
	// out of date.
	if r.Sequence <= s.lastSequence {
		return resp
	}
	s.lastSequence, s.lastSeen = r.Sequence, now
	for _, d := range r.Demands {
		l, known := limits(d.Customer)
		if !known {
			continue
		}
		c := h.customers[d.Customer]
		if !h.isHolder(now, d.Customer, c, holderLeaseFor(l)) {
			resp.NotHolder = append(resp.NotHolder, d.Customer)
			continue
		}
		if c == nil {
			c = &customerGrants{viewVersion: h.viewVersion, isHolder: true}
			h.customers[d.Customer] = c
		}
		rate, concurrency := h.renewGrant(now, c, r.Sender, d, l)
		resp.Grants = append(resp.Grants, Grant{d.Customer, rate, concurrency})
	}
	return resp
}

// isHolder reports whether this daemon is the customer's holder in the current view and was in each
// view of the last lease.
func (h *Holder) isHolder(now time.Time, customer string, c *customerGrants, lease time.Duration) bool {
	if now.Sub(h.waitStart) < lease {
		return false
	}
	if c != nil && c.viewVersion == h.viewVersion && len(h.pastViews) == 0 {
		return c.isHolder
	}
	holder := h.view.Holder(customer) == h.self
	for _, e := range h.pastViews {
		holder = holder && (now.Sub(e.replacedAt) >= lease || e.view.Holder(customer) == h.self)
	}
	if c != nil && len(h.pastViews) == 0 {
		c.viewVersion, c.isHolder = h.viewVersion, holder
	}
	return holder
}

// renewGrant takes in the sender's demand and replaces its grant. The new grant is the max-min fair
// part of the quota for all demands, as far as the grants of other senders leave room. Those may be
// used until their leases end.
func (h *Holder) renewGrant(now time.Time, c *customerGrants, from Sender, d Demand, l contract.Limits) (rateMilli uint64, concurrency uint32) {
	g := h.findOrAddGrant(now, c, from)
	if g == nil {
		return 0, 0
	}
	g.applyDemand(d)
	rateQuota, concurrencyQuota := h.plan.RegionRateMilli(l), uint64(h.plan.RegionConcurrency(l))
	n, minRate, base := len(c.grants), minUsefulRateMilli(l), uint64(h.plan.BaseConcurrency(l))
	var usedRate, usedConcurrency uint64
	for _, other := range c.grants {
		if other != g {
			usedRate += other.usableRate(now)
			usedConcurrency += other.usableConcurrency(now, base)
		}
	}
	rate := fairGrant(rateQuota, g.demandRate, headroomRateMilli, n, func(i int) uint64 { return c.grants[i].demandRate })
	requests := fairGrant(concurrencyQuota, g.demandConcurrency, headroomConcurrency, n, func(i int) uint64 { return c.grants[i].demandConcurrency })
	if g.demandRate == 0 {
		rate, requests = 0, 0 // the sender returns its share
	} else {
		// With more entries than requests in flight, the fair grant is 0. Then one request in
		// flight is granted to whichever entry asks while there is room.
		requests = max(1, requests)
		rate = max(rate, min(minRate, rateQuota))
	}
	rate = min(rate, remaining(rateQuota, usedRate))
	// A smaller share would never admit a request. What is left goes to whichever entry asks once
	// enough of it is free.
	if rate < min(minRate, rateQuota) {
		rate = 0
	}
	requests = min(requests, remaining(concurrencyQuota, usedConcurrency))
	g.record(now.Add(holderLeaseFor(l)), rate, requests)
	return rate, uint32(requests)
}

// remaining returns what is left of the quota. Usage is above the quota for a while after the quota
// became smaller.
func remaining(quota, used uint64) uint64 {
	if used >= quota {
		return 0
	}
	return quota - used
}

// findOrAddGrant removes ended grants and returns the sender's grant. It adds one if there is none,
// and returns nil when maxGrants is reached.
func (h *Holder) findOrAddGrant(now time.Time, c *customerGrants, from Sender) *grant {
	h.removeEndedGrants(now, c)
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

func (h *Holder) removeEndedGrants(now time.Time, c *customerGrants) {
	kept := c.grants[:0]
	for _, g := range c.grants {
		if now.Before(g.countedUntil) {
			kept = append(kept, g)
		}
	}
	h.grants -= len(c.grants) - len(kept)
	clear(c.grants[len(kept):])
	c.grants = kept
}

// removeStale removes past views that are older than the longest lease. Once per sweepInterval it
// also removes ended grants, customers without grants and idle senders.
func (h *Holder) removeStale(now time.Time) {
	for len(h.pastViews) > 0 && now.Sub(h.pastViews[0].replacedAt) >= maxHolderLease {
		h.pastViews = h.pastViews[1:]
	}
	if now.Sub(h.lastSweep) < sweepInterval {
		return
	}
	h.lastSweep = now
	for name, c := range h.customers {
		if h.removeEndedGrants(now, c); len(c.grants) == 0 {
			delete(h.customers, name)
		}
	}
	for from, s := range h.senders {
		// All grants of the sender have ended by then. A late request can only cause a grant that
		// nobody uses.
		if now.Sub(s.lastSeen) > 2*maxHolderLease {
			delete(h.senders, from)
		}
	}
}

// HolderStats counts the records that a holder has in memory.
type HolderStats struct {
	Customers, Grants, Senders int
}

// Stats returns the current counts.
func (h *Holder) Stats() HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HolderStats{len(h.customers), h.grants, len(h.senders)}
}
