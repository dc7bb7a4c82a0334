package limits

import (
	"fmt"
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

type tokenBucket struct {
	tokens float64
	last   time.Time
}

// refill adds the tokens earned since the last refill, up to size. rate is in tokens per second.
func (b *tokenBucket) refill(now time.Time, rate, size float64) {
	if d := now.Sub(b.last); d > 0 {
		b.tokens += d.Seconds() * rate
		b.last = now
	}
	b.tokens = min(b.tokens, size)
}

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// share is what a holder granted to this entry. An empty holder means no share.
type share struct {
	holder      string
	rateMilli   uint64
	concurrency uint32
	// sent is when the request for the share was sent. wallSent is the same time without the
	// monotonic clock reading.
	sent, wallSent time.Time
	lease          time.Duration
	// bucket holds the tokens of the share. Its time is in the future until the initial token is
	// earned.
	bucket tokenBucket
}

// valid reports whether the lease has not ended. It checks both clocks, because the monotonic clock
// stands still while a VM is suspended, and the wall clock can step.
func (s *share) valid(now time.Time) bool {
	if s.holder == "" {
		return false
	}
	elapsed, wall := now.Sub(s.sent), now.Round(0).Sub(s.wallSent)
	return elapsed >= 0 && elapsed < s.lease && wall >= 0 && wall < s.lease
}

// initialTokenEarned reports whether the share has lasted long enough to earn the token that it
// started with. It is not returned before: if each return and new grant brought another initial
// token, entries would admit more than the quota.
func (s *share) initialTokenEarned(now time.Time) bool { return !now.Before(s.bucket.last) }

// customerState is an entry's state of an active customer. It is guarded by the lock of its shard.
//
// Without a valid share, requests are admitted from the base allowance. A refusal lists the
// customer in Limiter.customers. nextDemand then decides at each tick whether to send a demand.
// applyGrant installs the share of the response. A NotHolder response enlarges the base allowance
// until holderWaitsUntil instead. When the base allowance suffices, the share is returned or left
// to end, and the customer is unlisted. Limiter.sweep removes unlisted, idle customers.
type customerState struct {
	name   string
	limits contract.Limits
	// rateDetail and concurrencyDetail are the error details of refusals. They name the limit and
	// the contract, and are prepared in advance because refusals are most frequent under overload.
	rateDetail, concurrencyDetail string

	baseBucket tokenBucket
	share      share
	generation uint64
	inFlight   uint32
	// listed is true while the customer is in Limiter.customers.
	listed bool

	// requests, concurrencyRefusals and peakInFlight are counted since sampleStart: requests seen,
	// requests refused for concurrency, and the most requests in flight wanted.
	requests            uint32
	concurrencyRefusals uint32
	peakInFlight        uint32
	sampleStart         time.Time
	// demandRate is the smoothed demand in requests per second, refused requests included.
	demandRate float64
	// fastRate is the same with a shorter smoothing time.
	fastRate float64
	// idleSeconds is the time since the last sample with requests.
	idleSeconds float64

	// requestSequence, requestedAt and requested are the number, time and demand of the last
	// request for a share. The number is 0 once its response was applied.
	requestSequence uint64
	requestedAt     time.Time
	requested       Demand
	// holderWaitsUntil is one lease after the last request that a daemon answered without granting:
	// it is a new holder that still waits, or not the holder by its view.
	holderWaitsUntil time.Time
	// underGranted is true when the last grant was smaller than requested.
	underGranted bool
	// underGrantedRetry is how long to wait before asking again after a grant below half the
	// demand. It doubles up to the time of a renewal.
	underGrantedRetry time.Duration
	// decayedPeak is the peak of earlier samples. It decays by an eighth per sample.
	decayedPeak uint32
}

// updateContract takes over limits and generation of the contract.
func (s *customerState) updateContract(c *catalog.Customer) {
	if s.generation == c.Generation && s.limits == c.Limits && s.rateDetail != "" {
		return
	}
	s.limits, s.generation = c.Limits, c.Generation
	s.rateDetail = fmt.Sprintf("limit of ratePerSecond %g for the whole fleet, set by the contract of customer %s, generation %d",
		c.Limits.RatePerSecond, c.Name, c.Generation)
	s.concurrencyDetail = fmt.Sprintf("limit of concurrency %d for the whole fleet, set by the contract of customer %s, generation %d",
		c.Limits.Concurrency, c.Name, c.Generation)
}

// admit decides about one request, and counts it as in flight when it is admitted.
func (s *customerState) admit(now time.Time, plan Plan) Decision {
	s.peakInFlight = max(s.peakInFlight, s.inFlight+1)
	allowed := s.baseConcurrency(now, plan)
	shared := s.share.valid(now)
	if shared {
		allowed += s.share.concurrency
		s.share.bucket.refill(now, float64(s.share.rateMilli)/1000, shareBurst(s.limits, s.share.rateMilli))
	}
	s.baseBucket.refill(now, plan.BaseRate(s.limits), plan.baseBurst())
	if s.inFlight >= allowed {
		// Refused requests show that more concurrency is wanted, but some of them are retries. So
		// the demand at most doubles from one request to the holder to the next.
		s.concurrencyRefusals++
		s.peakInFlight = max(s.peakInFlight, s.inFlight+min(s.concurrencyRefusals, s.inFlight+1))
		return Decision{Err: errkind.New(errkind.ConcurrencyLimited, s.concurrencyDetail), Wait: s.holdTime(shared, 0)}
	}
	if shared && s.share.bucket.take() || s.baseBucket.take() {
		s.inFlight++
		return Decision{OK: true}
	}
	return Decision{Err: errkind.New(errkind.RateLimited, s.rateDetail), Wait: s.holdTime(shared, s.share.bucket.tokens)}
}

// baseConcurrency returns how many requests in flight are admitted without a share. The larger
// allowance while the holder waits applies only without a share, so that it never adds to one once
// the holder grants.
func (s *customerState) baseConcurrency(now time.Time, plan Plan) uint32 {
	if !s.share.valid(now) && now.Before(s.holderWaitsUntil) {
		return plan.WaitingConcurrency(s.limits)
	}
	return plan.BaseConcurrency(s.limits)
}

// holdTime returns how long the entry may hold a refused request before it calls AdmitAgain. 0
// makes the refusal final: the holder granted less than requested, so the customer's limit is
// reached.
func (s *customerState) holdTime(shared bool, tokens float64) time.Duration {
	if s.underGranted {
		return 0
	}
	if shared && s.share.rateMilli > 0 && tokens < 1 {
		return min(MaxWait, time.Duration((1-tokens)*1000/float64(s.share.rateMilli)*float64(time.Second))+time.Millisecond)
	}
	return MaxWait / 2
}

// minIdle is the shortest time without requests after which an entry gives up its whole share. At
// low rates it takes the time of ten expected requests if that is longer, so that random gaps
// between arrivals seldom cause it.
const minIdle = 200 * time.Millisecond

const (
	// steadySmoothingSeconds is the time constant of the demand while it changes little. A shorter
	// one would follow random arrivals: the share would be too small until the next renewal, or
	// hold what another entry lacks.
	steadySmoothingSeconds = 3.0
	// demandChangeThreshold is the relative difference between the fast and the steady demand that
	// counts as a change. Over 20 requests, random arrivals have a standard deviation of 16%.
	demandChangeThreshold = 0.5
)

// updateDemand updates the demand from the requests since the last sample. The fast rate is
// smoothed over the time of about 20 requests. The steady rate jumps to the fast one when they
// clearly differ, so that the share follows traffic that moves between entries.
func (s *customerState) updateDemand(now time.Time) {
	elapsed := now.Sub(s.sampleStart)
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	current := float64(s.requests) / seconds
	smoothing := min(max(20/max(s.fastRate, current), 0.3), 1.5)
	s.fastRate += (current - s.fastRate) * min(1, seconds/smoothing)
	s.demandRate += (current - s.demandRate) * min(1, seconds/steadySmoothingSeconds)
	if diff := math.Abs(s.fastRate - s.demandRate); diff > demandChangeThreshold*s.demandRate+1 {
		s.demandRate = s.fastRate
	}
	if s.requests > 0 {
		s.idleSeconds = 0
	} else if s.idleSeconds += seconds; s.idleSeconds >= max(minIdle.Seconds(), 10/s.demandRate) {
		s.demandRate, s.fastRate = 0, 0
	}
	s.decayedPeak = max(s.peakInFlight, s.decayedPeak-min(s.decayedPeak, s.decayedPeak/8+1))
	s.requests, s.concurrencyRefusals, s.peakInFlight, s.sampleStart = 0, 0, s.inFlight, now
}

// demand returns what to request from the holder. The holder adds headroom while the quota has
// room.
func (s *customerState) demand() Demand {
	return Demand{Customer: s.name, RateMilli: uint64(s.demandRate*1000) + 1, Concurrency: max(s.decayedPeak, 1), InFlight: s.inFlight}
}

// baseAllowanceSuffices reports whether no share is needed: traffic has nearly stopped, or is well
// below the base allowance.
func (s *customerState) baseAllowanceSuffices(plan Plan) bool {
	baseConcurrency := plan.BaseConcurrency(s.limits)
	stopped := s.demandRate*Lease.Seconds() < 0.5 && s.inFlight <= baseConcurrency
	return stopped || s.demandRate < plan.BaseRate(s.limits)/2 && s.decayedPeak <= baseConcurrency
}

// nextDemand reports whether to send demand d to the holder now, and whether to keep the customer
// listed. A demand of 0 returns the share.
func (s *customerState) nextDemand(now time.Time, plan Plan) (d Demand, send, keep bool) {
	since := now.Sub(s.requestedAt)
	d = s.demand()
	shared := s.share.valid(now)
	idle := s.baseAllowanceSuffices(plan)
	switch {
	case idle && shared && s.share.rateMilli > 0 && since >= minReturnAge && s.share.initialTokenEarned(now):
		d.RateMilli, d.Concurrency = 0, 0
		return d, true, true
	case idle:
		return d, false, shared
	case !shared && (s.requestedAt.IsZero() || since >= unsharedRetryInterval):
		return d, true, true
	case shared && since >= renewalAge(s.share.lease):
		return d, true, true
	case shared && since >= minCorrectionInterval && s.needsCorrection(now, d):
		return d, true, true
	case shared && s.underGranted && since >= s.underGrantedRetry && s.share.rateMilli*2 < d.RateMilli:
		return d, true, true
	}
	return d, false, true
}

// needsCorrection reports whether the share differs so much from the demand that waiting for the
// renewal would be too late.
func (s *customerState) needsCorrection(now time.Time, d Demand) bool {
	tooSmall := d.RateMilli > s.share.rateMilli && d.RateMilli > s.requested.RateMilli*5/4 ||
		d.Concurrency > s.share.concurrency && d.Concurrency > s.requested.Concurrency*5/4
	return tooSmall || s.oversized(now, d)
}

// oversized reports whether the share is more than three times the demand, so that another entry
// may lack it.
func (s *customerState) oversized(now time.Time, d Demand) bool {
	return d.RateMilli*3 < s.share.rateMilli && s.share.rateMilli > 2*headroomRateMilli && s.share.initialTokenEarned(now)
}

// shrinkShare reduces an oversized share, or drops one to be returned, before the holder is asked.
// So the holder can grant the difference to others at once instead of after the next request.
func (s *customerState) shrinkShare(now time.Time, d Demand) {
	switch {
	case d.RateMilli == 0:
		s.share = share{}
	case s.oversized(now, d):
		s.share.rateMilli = d.RateMilli*3/2 + headroomRateMilli
	}
}

// applyGrant replaces the share. Tokens earned under the old share stay, up to the size of the new
// bucket.
func (s *customerState) applyGrant(now time.Time, holder string, g Grant) {
	s.requestSequence, s.holderWaitsUntil = 0, time.Time{}
	if s.requested.RateMilli == 0 {
		return // the share was returned
	}
	s.underGranted = g.RateMilli < s.requested.RateMilli || g.Concurrency < s.requested.Concurrency
	if s.underGranted {
		s.underGrantedRetry = min(max(s.underGrantedRetry*2, minUnderGrantedRetry), renewalAge(LeaseFor(s.limits)))
	} else {
		s.underGrantedRetry = 0
	}
	next := share{holder: holder, rateMilli: g.RateMilli, concurrency: g.Concurrency, sent: s.requestedAt, wallSent: s.requestedAt.Round(0), lease: LeaseFor(s.limits)}
	if s.share.valid(now) && s.share.rateMilli > 0 {
		s.share.bucket.refill(now, float64(s.share.rateMilli)/1000, shareBurst(s.limits, s.share.rateMilli))
		next.bucket = s.share.bucket
	} else if g.RateMilli > 0 {
		// The initial token is an advance: the bucket refills only after the time that the token
		// takes at this rate.
		next.bucket = tokenBucket{tokens: 1, last: now.Add(time.Duration(1000 / float64(g.RateMilli) * float64(time.Second)))}
	}
	s.share = next
}

// renewalAge returns the age at which a share that fits the demand is renewed. It leaves time for
// further tries within the lease.
func renewalAge(lease time.Duration) time.Duration { return lease * 7 / 10 }
