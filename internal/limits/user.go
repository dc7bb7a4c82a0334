package limits

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

const (
	// TickInterval is how often Tick is to be called. A new customer waits about half of it for its share.
	TickInterval = 100 * time.Millisecond
	// MaxWait bounds how long an entry holds a request that waits for a share.
	MaxWait = 250 * time.Millisecond

	// correctAfter limits requests for a share that is held but does not fit the demand.
	correctAfter = 500 * time.Millisecond
	// firstCutRetry is short, since another entry may give up its share within a second when traffic has moved.
	firstCutRetry = 200 * time.Millisecond
	// retryUnshared limits requests while there is no share, after a lost or an empty response.
	retryUnshared = 500 * time.Millisecond
	// returnAfter is the age at which an unused share is returned.
	returnAfter = time.Second

	shardCount = 64
	// AsksPerSecond bounds the demands that an entry sends, in the mean and for all customers together. A demand alone in its message
	// costs about 275 B with its response, at the entry and again at a holder, so 4 a second cost a daemon 2.2 KB a second.
	AsksPerSecond = 4
	// askBurst is the number of demands that may leave at once.
	askBurst = 64
)

// Decision is the answer of Admit.
type Decision struct {
	OK bool
	// Err names the limit and the contract when OK is false.
	Err *errkind.Error
	// Wait is how long the entry may hold the refused request before it calls Admit once more, since a share is on its way. 0
	// means that the refusal is final.
	Wait time.Duration
}

// Outgoing is a request for the holder at a VM. The entry sends it at once and gives the response to Apply.
type Outgoing struct {
	Holder  string
	Request Request
}

// User spends shares at an entry. Admit and Release are safe for concurrent use; they take one of 64 locks.
type User struct {
	sender Sender
	seed   maphash.Seed
	shards [shardCount]shard

	// mu guards the fields below. It is never held together with the lock of a shard by Admit and Release, except to add a
	// customer to the list.
	mu       sync.Mutex
	view     *View
	sequence uint64
	budget   bucket
	list     []*state
	next     int
}

type shard struct {
	mu     sync.Mutex
	plan   Plan
	states map[string]*state
}

// NewUser returns a user without shares.
func NewUser(now time.Time, self Sender, plan Plan) *User {
	u := &User{sender: self, seed: maphash.MakeSeed(), view: NewView(nil), budget: bucket{tokens: askBurst, last: now}}
	for i := range u.shards {
		u.shards[i].states = map[string]*state{}
	}
	u.SetPlan(plan)
	return u
}

// SetPlan sets the division of limits.
func (u *User) SetPlan(p Plan) {
	for i := range u.shards {
		s := &u.shards[i]
		s.mu.Lock()
		s.plan = p
		s.mu.Unlock()
	}
}

// SetView sets the VMs of the region.
func (u *User) SetView(v *View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.view = v
}

func (u *User) shard(customer string) *shard {
	return &u.shards[maphash.String(u.seed, customer)%shardCount]
}

// Admit decides about a request of the customer. After an OK the caller calls Release when the request has ended.
func (u *User) Admit(now time.Time, c *catalog.Customer) Decision { return u.admit(now, c, 1) }

// AdmitAgain decides once more about a request that waits for a share. It does not count as another request, which would raise
// the demand reported to the holder.
func (u *User) AdmitAgain(now time.Time, c *catalog.Customer) Decision { return u.admit(now, c, 0) }

func (u *User) admit(now time.Time, c *catalog.Customer, requests uint32) Decision {
	sh := u.shard(c.Name)
	sh.mu.Lock()
	s := sh.states[c.Name]
	if s == nil {
		s = &state{name: c.Name, base: bucket{tokens: sh.plan.baseBurst(), last: now}, sampled: now}
		sh.states[c.Name] = s
	}
	s.setContract(c)
	s.seen += requests
	d := s.admit(now, sh.plan)
	add := !d.OK && !s.wanted
	if add {
		s.wanted = true
		// What was seen since a sample long ago says nothing about the demand now.
		s.sampled, s.seen = now.Add(-TickInterval), 1
	}
	sh.mu.Unlock()
	if add {
		u.mu.Lock()
		u.list = append(u.list, s)
		u.mu.Unlock()
	}
	return d
}

// Release ends a request that was admitted.
func (u *User) Release(customer string) {
	sh := u.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.states[customer]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// Tick returns the requests that are due, one per holder. Call it every TickInterval.
func (u *User) Tick(now time.Time) []Outgoing {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget.fill(now, AsksPerSecond, askBurst)
	var out []Outgoing
	u.sequence++
	var kept, waiting []*state
	for _, s := range u.list {
		keep, deferred := u.tickState(now, s, &out)
		switch {
		case deferred:
			waiting = append(waiting, s)
		case keep:
			kept = append(kept, s)
		}
	}
	// Customers that the budget left out go first next time.
	u.list = append(waiting, kept...)
	u.sweep(now, &u.shards[u.next%shardCount])
	u.next++
	return out
}

func (u *User) tickState(now time.Time, s *state, out *[]Outgoing) (keep, deferred bool) {
	sh := u.shard(s.name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.sample(now)
	d, ask, keep := s.due(now, sh.plan)
	s.wanted = keep
	if !ask {
		return keep, false
	}
	holder := u.view.Holder(s.name)
	if holder == "" {
		return keep, false
	}
	if !u.budget.take() {
		return true, true
	}
	s.giveUp(now, d)
	if s.share.valid(now) && s.share.holder == holder {
		d.HeldRateMilli, d.HeldConcurrency = s.share.rateMilli, s.share.concurrency
	}
	s.sequence, s.asked, s.want = u.sequence, now, d
	addDemand(out, holder, Request{Sender: u.sender, Sequence: u.sequence}, d)
	return true, false
}

func addDemand(out *[]Outgoing, holder string, empty Request, d Demand) {
	for i := range *out {
		if (*out)[i].Holder == holder {
			(*out)[i].Request.Demands = append((*out)[i].Request.Demands, d)
			return
		}
	}
	empty.Demands = []Demand{d}
	*out = append(*out, Outgoing{Holder: holder, Request: empty})
}

// Apply takes over the response to a request. Parts about customers that a later request has asked about are ignored.
func (u *User) Apply(now time.Time, o Outgoing, r Response) {
	for _, g := range r.Grants {
		sh := u.shard(g.Customer)
		sh.mu.Lock()
		if s := sh.states[g.Customer]; s != nil && s.sequence == o.Request.Sequence {
			s.accept(now, o.Holder, g)
		}
		sh.mu.Unlock()
	}
	for _, customer := range r.NotHolder {
		sh := u.shard(customer)
		sh.mu.Lock()
		if s := sh.states[customer]; s != nil && s.sequence == o.Request.Sequence {
			s.holderWaits = s.asked.Add(Lease)
		}
		sh.mu.Unlock()
	}
}

// accept replaces the share. Tokens gathered under the old share stay, within the new size of the bucket.
func (s *state) accept(now time.Time, holder string, g Grant) {
	s.sequence, s.holderWaits = 0, time.Time{}
	if s.want.RateMilli == 0 {
		return // the response to a return
	}
	s.cut = g.RateMilli < s.want.RateMilli || g.Concurrency < s.want.Concurrency
	if s.cut {
		s.cutRetry = min(max(s.cutRetry*2, firstCutRetry), renewAfter(LeaseOf(s.limits)))
	} else {
		s.cutRetry = 0
	}
	next := share{holder: holder, rateMilli: g.RateMilli, concurrency: g.Concurrency, sent: s.asked, wallSent: s.asked.Round(0), lease: LeaseOf(s.limits)}
	if s.share.valid(now) && s.share.rateMilli > 0 {
		s.share.used.fill(now, float64(s.share.rateMilli)/1000, burst(s.limits, s.share.rateMilli))
		next.used = s.share.used
	} else if g.RateMilli > 0 {
		// The first token is paid in advance: the bucket fills only after the time that the token takes at this rate.
		next.used = bucket{tokens: 1, last: now.Add(time.Duration(1000 / float64(g.RateMilli) * float64(time.Second)))}
	}
	s.share = next
}

// renewAfter is when a share that fits is renewed. It leaves time for more tries within the lease.
func renewAfter(lease time.Duration) time.Duration { return lease * 7 / 10 }

// sweep forgets the customers of one shard that are idle and whose base allowance is full again, so that forgetting gives
// nothing away.
func (u *User) sweep(now time.Time, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, s := range sh.states {
		if s.wanted || s.inFlight > 0 || s.share.valid(now) {
			continue
		}
		if s.base.fill(now, sh.plan.BaseRate(s.limits), sh.plan.baseBurst()); s.base.tokens >= sh.plan.baseBurst() {
			delete(sh.states, name)
		}
	}
}

// Customers returns the number of customers that hold state.
func (u *User) Customers() int {
	n := 0
	for i := range u.shards {
		sh := &u.shards[i]
		sh.mu.Lock()
		n += len(sh.states)
		sh.mu.Unlock()
	}
	return n
}
