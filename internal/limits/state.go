package limits

import (
	"fmt"
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// bucket is a token bucket.
type bucket struct {
	tokens float64
	last   time.Time
}

// fill adds the tokens for the time up to now.
func (b *bucket) fill(now time.Time, rate, size float64) {
	if d := now.Sub(b.last); d > 0 {
		b.tokens += d.Seconds() * rate
		b.last = now
	}
	b.tokens = min(b.tokens, size)
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// share is what a holder granted.
type share struct {
	holder      string
	rateMilli   uint64
	concurrency uint32
	// sent is when the request was sent. wallSent is the same without the monotonic reading.
	sent, wallSent time.Time
	lease          time.Duration
	used           bucket
}

// valid checks both clocks: the monotonic clock of a suspended VM stands still, and the wall clock can step.
func (s *share) valid(now time.Time) bool {
	if s.holder == "" {
		return false
	}
	elapsed, wall := now.Sub(s.sent), now.Round(0).Sub(s.wallSent)
	return elapsed >= 0 && elapsed < s.lease && wall >= 0 && wall < s.lease
}

// paid reports whether the time of the token that was paid in advance has passed. Until then the share is not returned: with one token
// for each return and new grant, entries would admit more than the part.
func (s *share) paid(now time.Time) bool { return !now.Before(s.used.last) }

// state is what an entry knows about an active customer.
type state struct {
	name   string
	limits contract.Limits
	// The details of refusals name the limit and the contract. They are kept because refusals are most frequent under overload.
	rateDetail, concurrencyDetail string

	base       bucket
	share      share
	generation uint64
	inFlight   uint32
	// wanted is true while the state is in the list of customers that need a share.
	wanted bool

	// Since the last sample: requests seen, refused for concurrency, most requests in flight wanted, start of the sample.
	seen    uint32
	refused uint32
	peak    uint32
	sampled time.Time
	// rate is the smoothed demand in requests a second, refused requests included.
	rate float64
	// fast is the same with shorter smoothing.
	fast float64
	// quiet is the time since the last sample with requests, in seconds.
	quiet float64

	// The last request for a share: its number, time, and what it wanted.
	sequence uint64
	asked    time.Time
	want     Demand
	// holderWaits is one lease after the last request that was answered by a daemon that does not grant: it waits as a new holder, or
	// is none by its view.
	holderWaits time.Time
	// cut is true when the last grant was below what was wanted.
	cut bool
	// cutRetry is when to ask again after a grant below half the demand. It grows up to the time of a renewal.
	cutRetry time.Duration
	// lastPeak is the peak of earlier samples, decaying by an eighth per sample.
	lastPeak uint32
}

// setContract takes over the limits of a contract.
func (s *state) setContract(c *catalog.Customer) {
	if s.generation == c.Generation && s.limits == c.Limits && s.rateDetail != "" {
		return
	}
	s.limits, s.generation = c.Limits, c.Generation
	s.rateDetail = fmt.Sprintf("ratePerSecond %g for the whole fleet, contract of customer %s, generation %d",
		c.Limits.RatePerSecond, c.Name, c.Generation)
	s.concurrencyDetail = fmt.Sprintf("concurrency %d for the whole fleet, contract of customer %s, generation %d",
		c.Limits.Concurrency, c.Name, c.Generation)
}

// admit decides about one request.
func (s *state) admit(now time.Time, plan Plan) Decision {
	s.peak = max(s.peak, s.inFlight+1)
	allowed := s.baseConcurrency(now, plan)
	shared := s.share.valid(now)
	if shared {
		allowed += s.share.concurrency
		s.share.used.fill(now, float64(s.share.rateMilli)/1000, burst(s.limits, s.share.rateMilli))
	}
	s.base.fill(now, plan.BaseRate(s.limits), plan.baseBurst())
	if s.inFlight >= allowed {
		// Refused requests show that more are wanted, but some of them repeat. The bound doubles the demand from one request to the holder to the next.
		s.refused++
		s.peak = max(s.peak, s.inFlight+min(s.refused, s.inFlight+1))
		return Decision{Err: errkind.New(errkind.ConcurrencyLimited, s.concurrencyDetail), Wait: s.wait(shared, 0)}
	}
	if shared && s.share.used.take() || s.base.take() {
		s.inFlight++
		return Decision{OK: true}
	}
	return Decision{Err: errkind.New(errkind.RateLimited, s.rateDetail), Wait: s.wait(shared, s.share.used.tokens)}
}

// baseConcurrency returns how many requests in flight are admitted without a share. The larger part applies only without one, so that
// it never adds to a share of the holder that has begun to grant.
func (s *state) baseConcurrency(now time.Time, plan Plan) uint32 {
	if !s.share.valid(now) && now.Before(s.holderWaits) {
		return plan.WaitingConcurrency(s.limits)
	}
	return plan.BaseConcurrency(s.limits)
}

// wait returns how long the entry may hold a refused request before it asks again, or 0 when the refusal is final: the
// customer's share is cut, so its limit is reached.
func (s *state) wait(shared bool, tokens float64) time.Duration {
	if s.cut {
		return 0
	}
	if shared && s.share.rateMilli > 0 && tokens < 1 {
		return min(MaxWait, time.Duration((1-tokens)*1000/float64(s.share.rateMilli)*float64(time.Second))+time.Millisecond)
	}
	return MaxWait / 2
}

// minQuiet is the shortest time without requests after which an entry gives up its whole share. Longer times apply to rates
// at which ten requests are expected in more than that, so that random arrivals seldom cause it.
const minQuiet = 200 * time.Millisecond

const (
	// steadySmoothing is the time constant of the demand while it changes little. Shorter ones follow random arrivals: the share is then
	// too small until the next renewal, or holds what another entry lacks.
	steadySmoothing = 3.0
	// steadyBand is the relative difference between the fast and the steady demand that counts as a change. Over 20 requests, random
	// arrivals differ by 16% in the standard deviation.
	steadyBand = 0.5
)

// sample updates the demand. It keeps a fast one, smoothed over the time of about 20 requests, and a steady one that jumps to the fast
// one when they differ clearly, so that traffic that moves between entries takes its share along.
func (s *state) sample(now time.Time) {
	d := now.Sub(s.sampled)
	if d <= 0 {
		return
	}
	seconds := d.Seconds()
	current := float64(s.seen) / seconds
	smoothing := min(max(20/max(s.fast, current), 0.3), 1.5)
	s.fast += (current - s.fast) * min(1, seconds/smoothing)
	s.rate += (current - s.rate) * min(1, seconds/steadySmoothing)
	if diff := math.Abs(s.fast - s.rate); diff > steadyBand*s.rate+1 {
		s.rate = s.fast
	}
	if s.seen > 0 {
		s.quiet = 0
	} else if s.quiet += seconds; s.quiet >= max(minQuiet.Seconds(), 10/s.rate) {
		s.rate, s.fast = 0, 0
	}
	s.lastPeak = max(s.peak, s.lastPeak-min(s.lastPeak, s.lastPeak/8+1))
	s.seen, s.refused, s.peak, s.sampled = 0, 0, s.inFlight, now
}

// demand returns what to ask the holder for. The holder adds headroom while the part has room.
func (s *state) demand() Demand {
	return Demand{Customer: s.name, RateMilli: uint64(s.rate*1000) + 1, Concurrency: max(s.lastPeak, 1), InFlight: s.inFlight}
}

// due decides whether to send a request now. It is called for wanted states only.
func (s *state) due(now time.Time, plan Plan) (d Demand, ask, keep bool) {
	since, baseRate, base := now.Sub(s.asked), plan.BaseRate(s.limits), plan.BaseConcurrency(s.limits)
	d = s.demand()
	shared := s.share.valid(now)
	idle := s.rate*Lease.Seconds() < 0.5 && s.inFlight <= base || s.rate < baseRate/2 && s.lastPeak <= base
	switch {
	case idle && shared && s.share.rateMilli > 0 && since >= returnAfter && s.share.paid(now):
		d.RateMilli, d.Concurrency = 0, 0
		return d, true, true
	case idle:
		return d, false, shared
	case !shared && (s.asked.IsZero() || since >= retryUnshared):
		return d, true, true
	case shared && since >= renewAfter(s.share.lease):
		return d, true, true
	case shared && since >= correctAfter && s.off(now, d):
		return d, true, true
	case shared && s.cut && since >= s.cutRetry && s.share.rateMilli*2 < d.RateMilli:
		return d, true, true
	}
	return d, false, true
}

// off reports whether the share differs from the demand by so much that the next renewal would be late.
func (s *state) off(now time.Time, d Demand) bool {
	grow := d.RateMilli > s.share.rateMilli && d.RateMilli > s.want.RateMilli*5/4 ||
		d.Concurrency > s.share.concurrency && d.Concurrency > s.want.Concurrency*5/4
	return grow || s.oversized(now, d)
}

func (s *state) oversized(now time.Time, d Demand) bool {
	return d.RateMilli*3 < s.share.rateMilli && s.share.rateMilli > 2*headroomRateMilli && s.share.paid(now)
}

// giveUp reduces an oversized share before the holder is asked, so that the holder can grant the difference at once instead of after the
// next request.
func (s *state) giveUp(now time.Time, d Demand) {
	switch {
	case d.RateMilli == 0:
		s.share = share{}
	case s.oversized(now, d):
		s.share.rateMilli = d.RateMilli*3/2 + headroomRateMilli
	}
}
