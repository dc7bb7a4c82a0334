package retry

import (
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Sizes and rates of the budgets.
const (
	// RefusedBudgetPercent is the percentage of requests that may be tried again after a refusal.
	// Such retries do not reach the backend servers. The limit bounds the work of home daemons.
	RefusedBudgetPercent = 50
	// DefaultMinRetryInterval is the time in which a budget gains one retry without any traffic, so
	// that a customer with few requests can retry once.
	DefaultMinRetryInterval = 10 * time.Second
	// defaultBurst and refusedBurst are bucket sizes in retries. They bound the retries in a burst
	// after a time without failures.
	defaultBurst = 25
	refusedBurst = 100
	// IdleTimeout is the time without requests after which a budget is dropped. A new budget starts
	// with one token, which the old one would have gained by then too.
	IdleTimeout = time.Minute
	// sweepInterval is the minimum time between two searches of a full shard for idle budgets on
	// the request path, because a search visits all budgets of the shard.
	sweepInterval = time.Second
	shardCount    = 16
	// MaxBudgets bounds the budgets held in memory. Customers beyond it share one budget per shard.
	MaxBudgets = shardCount * 512
)

// key identifies the budget of a customer for a service.
type key struct{ customer, service string }

// bucket is a token bucket. One token pays for one retry.
type bucket struct {
	tokens float64
}

func (b *bucket) add(n, limit float64) { b.tokens = min(limit, b.tokens+n) }

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// customerBudget is the retry budget of a customer for a service. The shard's lock protects it.
type customerBudget struct {
	// mayHaveRun pays for retries of tries that may have run, refused for those of refused tries.
	mayHaveRun bucket
	// reruns limits how many of the mayHaveRun tokens may pay for running a request again.
	reruns   bucket
	refused  bucket
	lastUsed time.Time
}

func newCustomerBudget(now time.Time, initial float64) *customerBudget {
	return &customerBudget{mayHaveRun: bucket{initial}, reruns: bucket{initial}, refused: bucket{1}, lastUsed: now}
}

// refill adds the tokens that the budget has gained without traffic since it was last used.
func (budget *customerBudget) refill(now time.Time, minInterval time.Duration) {
	if elapsed := now.Sub(budget.lastUsed); elapsed > 0 {
		gain := elapsed.Seconds() / minInterval.Seconds()
		// The minimum is for low traffic, so it never adds up to more than one retry.
		for _, b := range []*bucket{&budget.mayHaveRun, &budget.reruns, &budget.refused} {
			if b.tokens < 1 {
				b.add(gain, 1)
			}
		}
		budget.lastUsed = now
	}
}

// shard holds a part of the budgets under one lock, so that customers rarely wait for each other.
type shard struct {
	mu      sync.Mutex
	budgets map[key]*customerBudget
	// overflow is the budget of all customers that have none in budgets because it is full.
	overflow *customerBudget
	// lastSweep is the time of the last search of the full shard for idle budgets.
	lastSweep time.Time
}

// Options are the settings of Budgets. Zero values select the defaults.
type Options struct {
	// Burst bounds the retries in a burst after a time without failures. Default: 25.
	Burst float64
	// FreeRefusals makes retries free after a home daemon has refused the request. It fits
	// deployments in which only load on backend servers matters, and whose routes bound how many
	// backend servers one request may reach.
	FreeRefusals bool
	// MinRetryInterval is the time in which a budget gains one retry without any traffic. Default:
	// DefaultMinRetryInterval.
	MinRetryInterval time.Duration
	// BorrowFromHomes lets a request whose entry has no budget left ask home daemons to pay for its
	// retry. It fits fleets of many daemons with few requests each, where some use up their budget
	// while most have some to spare.
	BorrowFromHomes bool
	// RerunShare is the fraction of a budget that may pay for requests that may have run before.
	// Running one again may repeat its calls to other services, which costs those services'
	// budgets too. The rest is for requests that backend servers have only refused. Default: 1.
	RerunShare float64
	// InitialShare is the fraction of Burst that a new budget starts with, at most one retry.
	// Fleets that start all daemons at once need a small value. Default: 1.
	InitialShare float64
}

// Budgets holds the retry budgets of one entry, one for each customer and service. It is safe for
// concurrent use.
type Budgets struct {
	freeRefusals    bool
	borrowFromHomes bool
	rerunShare      float64
	initialShare    float64
	// burst holds the bits of a float64, minInterval a time.Duration.
	burst       atomic.Uint64
	minInterval atomic.Int64
	seed        maphash.Seed
	shards      [shardCount]shard
}

// New returns Budgets with the default options.
func New() *Budgets { return NewWith(Options{}) }

// NewWith returns Budgets with the given options.
func NewWith(o Options) *Budgets {
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.MinRetryInterval == 0 {
		o.MinRetryInterval = DefaultMinRetryInterval
	}
	if o.RerunShare == 0 {
		o.RerunShare = 1
	}
	if o.InitialShare == 0 {
		o.InitialShare = 1
	}
	b := &Budgets{freeRefusals: o.FreeRefusals, borrowFromHomes: o.BorrowFromHomes, rerunShare: o.RerunShare, initialShare: o.InitialShare, seed: maphash.MakeSeed()}
	b.SetLimits(o.Burst, o.MinRetryInterval)
	for i := range b.shards {
		b.shards[i].budgets = map[key]*customerBudget{}
	}
	return b
}

// SetLimits changes the maximum number of retries in a burst and the time in which a budget gains
// one retry without traffic. A fleet derives both from its totals and the number of daemons.
func (b *Budgets) SetLimits(burst float64, minInterval time.Duration) {
	b.burst.Store(math.Float64bits(burst))
	b.minInterval.Store(int64(minInterval))
}

// refill adds the tokens that a budget has gained without traffic.
func (b *Budgets) refill(now time.Time, budget *customerBudget) {
	budget.refill(now, time.Duration(b.minInterval.Load()))
}

func (b *Budgets) shard(k key) *shard {
	return &b.shards[maphash.Comparable(b.seed, k)%shardCount]
}

// initialTokens returns the tokens of a new budget.
func (b *Budgets) initialTokens() float64 {
	return min(1, b.initialShare*math.Float64frombits(b.burst.Load()))
}

// budgetFor returns the budget of a customer and service, or the overflow budget if the shard is
// full. The caller holds the lock of the shard.
func (s *shard) budgetFor(now time.Time, k key, initial float64) *customerBudget {
	if budget := s.budgets[k]; budget != nil {
		return budget
	}
	if len(s.budgets) >= MaxBudgets/shardCount && now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.expire(now)
	}
	if len(s.budgets) >= MaxBudgets/shardCount {
		if s.overflow == nil {
			s.overflow = newCustomerBudget(now, initial)
		}
		return s.overflow
	}
	budget := newCustomerBudget(now, initial)
	s.budgets[k] = budget
	return budget
}

// expire drops idle budgets. The caller holds the lock of the shard.
func (s *shard) expire(now time.Time) {
	for k, budget := range s.budgets {
		if now.Sub(budget.lastUsed) >= IdleTimeout {
			delete(s.budgets, k)
		}
	}
}

// Begin adds the tokens that a new request earns to its budget, and returns the state for its first
// try.
func (b *Budgets) Begin(now time.Time, r Request) State {
	if r.BudgetPercent > 0 {
		k := key{r.Customer, r.Service}
		s := b.shard(k)
		s.mu.Lock()
		budget := s.budgetFor(now, k, b.initialTokens())
		b.refill(now, budget)
		gain, burst := float64(r.BudgetPercent)/100, math.Float64frombits(b.burst.Load())
		budget.mayHaveRun.add(gain, burst)
		budget.reruns.add(gain*b.rerunShare, burst)
		budget.refused.add(float64(max(r.BudgetPercent, RefusedBudgetPercent))/100, refusedBurst)
		s.mu.Unlock()
	}
	return State{request: r, tries: 1}
}

// Next decides whether to try a request again after a try has failed, and updates its state. If it
// returns Retry, the next try is counted and paid for, and the backend server of the failed try is
// excluded. With Options.BorrowFromHomes the retry may be unpaid, see State.Unpaid.
func (b *Budgets) Next(now time.Time, state *State, f Failure) Verdict {
	reached := mayHaveReached(f.Kind)
	state.mayHaveRun = state.mayHaveRunAfter(f)
	if reached {
		state.reachedCount++
		state.reachedBackends = append(state.reachedBackends, f.Backend)
		state.unpaid, state.unpaidRefusals = false, 0
	} else {
		state.refusals++
	}
	switch f.Kind {
	case errkind.RepeatsLimited:
		state.unpaidRefusals++
	case errkind.SlotsFull, errkind.Shed:
		state.fullRefusals++
	}
	verdict, notRun := state.check(now, f, b.freeRefusals)
	if verdict != Retry {
		return verdict
	}
	if !f.Paid && !b.payForRetry(now, state.request, retryCost{notRun: notRun, reached: reached, rerun: state.mayHaveRun}) {
		if !b.borrowFromHomes || state.request.BudgetPercent <= 0 {
			return BudgetUsed
		}
		state.unpaid = true
	}
	state.excluded = append(state.excluded, f.Backend)
	state.tries++
	return Retry
}

// CanRepeat reports whether the request could be tried on another backend server if the current try
// runs and fails: the route is repeatable, the request has tries left, and the budget holds a
// retry. It charges nothing.
func (b *Budgets) CanRepeat(now time.Time, state *State) bool {
	r := state.request
	if !r.Repeatable || r.BudgetPercent <= 0 || state.afterReaching().triesExhausted(b.freeRefusals) {
		return false
	}
	k := key{r.Customer, r.Service}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgetFor(now, k, b.initialTokens())
	b.refill(now, budget)
	return budget.mayHaveRun.tokens >= 1 && budget.reruns.tokens >= 1
}

// Reserve takes the token for the retry that follows if the current try is ended with the failure,
// and reports whether a retry may follow at all. If it does, the failure passed to Next must be
// marked as paid. The state is not changed.
func (b *Budgets) Reserve(now time.Time, state *State, f Failure) bool {
	verdict, notRun := state.afterReaching().check(now, f, b.freeRefusals)
	return verdict == Retry && b.payForRetry(now, state.request, retryCost{notRun: notRun, reached: true, rerun: state.mayHaveRunAfter(f)})
}

// retryCost says what the budget for a retry depends on.
type retryCost struct {
	// notRun is true if the failed try certainly did not run, reached if a backend server received
	// it or may have.
	notRun, reached bool
	// rerun is true if any try of the request may have run.
	rerun bool
}

// payForRetry takes a token for a retry from its budget, and reports whether there was one.
func (b *Budgets) payForRetry(now time.Time, r Request, c retryCost) bool {
	if b.freeRefusals {
		// Only tries that reached a backend server cost a token, those that it refused included.
		c.notRun = false
		return !c.reached || r.BudgetPercent > 0 && b.takeToken(now, r, c)
	}
	return r.BudgetPercent > 0 && b.takeToken(now, r, c)
}

// ChargeForPeer takes one token for a retry of another daemon's request, and reports whether there
// was one. rerun says that the request may have run before.
func (b *Budgets) ChargeForPeer(now time.Time, customer, service string, rerun bool) bool {
	return b.takeToken(now, Request{Customer: customer, Service: service}, retryCost{reached: true, rerun: rerun})
}

func (b *Budgets) takeToken(now time.Time, r Request, c retryCost) bool {
	k := key{r.Customer, r.Service}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgetFor(now, k, b.initialTokens())
	b.refill(now, budget)
	switch {
	case c.notRun:
		return budget.refused.take()
	case !c.rerun:
		return budget.mayHaveRun.take()
	case budget.mayHaveRun.tokens < 1:
		return false
	default:
		return budget.reruns.take() && budget.mayHaveRun.take()
	}
}

// Expire drops the budgets that have been idle for IdleTimeout.
func (b *Budgets) Expire(now time.Time) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		s.expire(now)
		s.mu.Unlock()
	}
}

// Len returns the number of budgets held, overflow budgets not included.
func (b *Budgets) Len() int {
	n := 0
	for i := range b.shards {
		b.shards[i].mu.Lock()
		n += len(b.shards[i].budgets)
		b.shards[i].mu.Unlock()
	}
	return n
}
