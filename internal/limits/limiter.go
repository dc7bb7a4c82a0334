package limits

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

const (
	// TickInterval is how often Tick is to be called. A new customer waits about half of it for its
	// share to be requested.
	TickInterval = 100 * time.Millisecond
	// MaxWait bounds how long an entry holds a request that waits for a share.
	MaxWait = 250 * time.Millisecond

	// minCorrectionInterval limits how often a share that does not fit the demand is requested
	// anew.
	minCorrectionInterval = 500 * time.Millisecond
	// minUnderGrantedRetry is the first wait before asking again after a grant below half the
	// demand. It is short, because another entry may give up its share within a second after
	// traffic moved.
	minUnderGrantedRetry = 200 * time.Millisecond
	// unsharedRetryInterval limits how often a share is requested while there is none, after a lost
	// or an empty response.
	unsharedRetryInterval = 500 * time.Millisecond
	// minReturnAge is the age from which a share that is no longer needed is returned.
	minReturnAge = time.Second

	// shardCount is the number of locks that customers are spread over.
	shardCount = 64
	// DemandsPerSecond limits the demands that an entry sends, on average and for all customers
	// together. A demand alone in its message costs about 275 B with its response, at the entry and
	// again at a holder. So 4 per second cost a daemon 2.2 KB per second.
	DemandsPerSecond = 4
	// demandBurst is the number of demands that may be sent at once.
	demandBurst = 64
)

// Decision is the result of Admit.
type Decision struct {
	OK bool
	// Err names the limit and the contract when OK is false.
	Err *errkind.Error
	// Wait is how long the entry may hold the refused request before it calls AdmitAgain, because a
	// share is expected. 0 means that the refusal is final.
	Wait time.Duration
}

// OutgoingRequest is a request for the holder on a VM. The entry sends it at once and passes the
// response to Apply.
type OutgoingRequest struct {
	Holder  string
	Request Request
}

// Limiter admits requests at an entry, within its shares and base allowances, and requests shares
// from holders. All methods are safe for concurrent use. Admit, AdmitAgain and Release take only
// the lock of the customer's shard, one of 64, except when a customer is added to the list of those
// that need a share.
type Limiter struct {
	sender Sender
	seed   maphash.Seed
	shards [shardCount]shard

	// mu guards the fields below. Tick locks shards while it holds mu. Admit and Release never hold
	// both locks at once.
	mu           sync.Mutex
	view         *View
	sequence     uint64
	demandBudget tokenBucket
	// customers are the customers that need or have a share. Tick checks them in this order.
	customers []*customerState
	// nextSweep numbers the shard that the next Tick sweeps.
	nextSweep int
}

type shard struct {
	mu     sync.Mutex
	plan   Plan
	states map[string]*customerState
}

// NewLimiter returns a limiter without shares, with an empty view.
func NewLimiter(now time.Time, self Sender, plan Plan) *Limiter {
	l := &Limiter{sender: self, seed: maphash.MakeSeed(), view: NewView(nil), demandBudget: tokenBucket{tokens: demandBurst, last: now}}
	for i := range l.shards {
		l.shards[i].states = map[string]*customerState{}
	}
	l.SetPlan(plan)
	return l
}

// SetPlan sets the division of limits among regions and daemons.
func (l *Limiter) SetPlan(p Plan) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.plan = p
		s.mu.Unlock()
	}
}

// SetView sets the VMs of the region, which determine the holders.
func (l *Limiter) SetView(v *View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = v
}

func (l *Limiter) shardOf(customer string) *shard {
	return &l.shards[maphash.String(l.seed, customer)%shardCount]
}

// Admit decides about a request of the customer. After an OK, the caller must call Release when the
// request has ended.
func (l *Limiter) Admit(now time.Time, c *catalog.Customer) Decision { return l.admit(now, c, 1) }

// AdmitAgain decides again about a request that was held for a share. Unlike Admit, it does not
// count the request again, which would raise the demand reported to the holder.
func (l *Limiter) AdmitAgain(now time.Time, c *catalog.Customer) Decision { return l.admit(now, c, 0) }

func (l *Limiter) admit(now time.Time, c *catalog.Customer, requests uint32) Decision {
	sh := l.shardOf(c.Name)
	sh.mu.Lock()
	s := sh.states[c.Name]
	if s == nil {
		s = &customerState{name: c.Name, baseBucket: tokenBucket{tokens: sh.plan.baseBurst(), last: now}, sampleStart: now}
		sh.states[c.Name] = s
	}
	s.updateContract(c)
	s.requests += requests
	d := s.admit(now, sh.plan)
	needsListing := !d.OK && !s.listed
	if needsListing {
		s.listed = true
		// Requests counted since a sample long ago say nothing about the demand now.
		s.sampleStart, s.requests = now.Add(-TickInterval), 1
	}
	sh.mu.Unlock()
	if needsListing {
		l.mu.Lock()
		l.customers = append(l.customers, s)
		l.mu.Unlock()
	}
	return d
}

// Release ends a request that was admitted.
func (l *Limiter) Release(customer string) {
	sh := l.shardOf(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.states[customer]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// Tick returns the requests for shares that are due, one per holder. Call it every TickInterval.
func (l *Limiter) Tick(now time.Time) []OutgoingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demandBudget.refill(now, DemandsPerSecond, demandBurst)
	var out []OutgoingRequest
	l.sequence++
	var kept, postponed []*customerState
	for _, s := range l.customers {
		keep, deferred := l.tickCustomer(now, s, &out)
		switch {
		case deferred:
			postponed = append(postponed, s)
		case keep:
			kept = append(kept, s)
		}
	}
	// Customers that had to wait for the demand budget go first next time.
	l.customers = append(postponed, kept...)
	l.sweep(now, &l.shards[l.nextSweep%shardCount])
	l.nextSweep++
	return out
}

func (l *Limiter) tickCustomer(now time.Time, s *customerState, out *[]OutgoingRequest) (keep, deferred bool) {
	sh := l.shardOf(s.name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.updateDemand(now)
	d, send, keep := s.nextDemand(now, sh.plan)
	s.listed = keep
	if !send {
		return keep, false
	}
	holder := l.view.Holder(s.name)
	if holder == "" {
		return keep, false
	}
	if !l.demandBudget.take() {
		return true, true
	}
	s.shrinkShare(now, d)
	if s.share.valid(now) && s.share.holder == holder {
		d.HeldRateMilli, d.HeldConcurrency = s.share.rateMilli, s.share.concurrency
	}
	s.requestSequence, s.requestedAt, s.requested = l.sequence, now, d
	addDemand(out, holder, Request{Sender: l.sender, Sequence: l.sequence}, d)
	return true, false
}

func addDemand(out *[]OutgoingRequest, holder string, header Request, d Demand) {
	for i := range *out {
		if (*out)[i].Holder == holder {
			(*out)[i].Request.Demands = append((*out)[i].Request.Demands, d)
			return
		}
	}
	header.Demands = []Demand{d}
	*out = append(*out, OutgoingRequest{Holder: holder, Request: header})
}

// Apply takes in the response to a request. Results for customers about which a newer request was
// sent are ignored.
func (l *Limiter) Apply(now time.Time, o OutgoingRequest, r Response) {
	for _, g := range r.Grants {
		sh := l.shardOf(g.Customer)
		sh.mu.Lock()
		if s := sh.states[g.Customer]; s != nil && s.requestSequence == o.Request.Sequence {
			s.applyGrant(now, o.Holder, g)
		}
		sh.mu.Unlock()
	}
	for _, customer := range r.NotHolder {
		sh := l.shardOf(customer)
		sh.mu.Lock()
		if s := sh.states[customer]; s != nil && s.requestSequence == o.Request.Sequence {
			s.holderWaitsUntil = s.requestedAt.Add(Lease)
		}
		sh.mu.Unlock()
	}
}

// sweep removes the idle customers of one shard whose base allowance is full again, so that a
// removed customer gains nothing when it returns.
func (l *Limiter) sweep(now time.Time, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, s := range sh.states {
		if s.listed || s.inFlight > 0 || s.share.valid(now) {
			continue
		}
		if s.baseBucket.refill(now, sh.plan.BaseRate(s.limits), sh.plan.baseBurst()); s.baseBucket.tokens >= sh.plan.baseBurst() {
			delete(sh.states, name)
		}
	}
}

// Customers returns the number of customers with state at this entry.
func (l *Limiter) Customers() int {
	n := 0
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		n += len(sh.states)
		sh.mu.Unlock()
	}
	return n
}
