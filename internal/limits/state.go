package limits

import (
	"fmt"
	"time"

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
	used           bucket
}

// valid checks both clocks: the monotonic clock of a suspended VM stands still, and the wall clock can step.
func (s *share) valid(now time.Time) bool {
	if s.holder == "" {
		return false
	}
	elapsed, wall := now.Sub(s.sent), now.Round(0).Sub(s.wallSent)
	return elapsed >= 0 && elapsed < Lease && wall >= 0 && wall < Lease
}

// state is what an entry knows about an active customer.
type state struct {
	name       string
	limits     contract.Limits
	generation uint64
	base       bucket
	share      share
	inFlight   uint32
	// wanted is true while the state is in the list of customers that need a share.
	wanted bool

	// Since the last sample: requests seen, most requests in flight wanted, start of the sample.
	seen    uint32
	peak    uint32
	sampled time.Time
	// rate is the smoothed demand in requests a second, refused requests included.
	rate float64

	// The last request for a share: its number, time, and what it wanted.
	sequence uint64
	asked    time.Time
	want     Demand
	// cut is true when the last grant was below what was wanted.
	cut bool
	// lastPeak is the peak of earlier samples, decaying by an eighth per sample.
	lastPeak uint32
}

// admit decides about one request.
func (s *state) admit(now time.Time, baseRate float64) Decision {
	s.seen++
	s.peak = max(s.peak, s.inFlight+1)
	allowed := uint32(baseConcurrency)
	shared := s.share.valid(now)
	if shared {
		allowed += s.share.concurrency
		s.share.used.fill(now, float64(s.share.rateMilli)/1000, burst(s.limits, s.share.rateMilli))
	}
	s.base.fill(now, baseRate, 1)
	if s.inFlight >= allowed {
		return Decision{Err: errkind.New(errkind.ConcurrencyLimited, fmt.Sprintf(
			"concurrency %d for the whole fleet, contract of customer %s, generation %d", s.limits.Concurrency, s.name, s.generation)),
			Wait: s.wait(shared, 0)}
	}
	if shared && s.share.used.take() || s.base.take() {
		s.inFlight++
		return Decision{OK: true}
	}
	return Decision{Err: errkind.New(errkind.RateLimited, fmt.Sprintf(
		"ratePerSecond %g for the whole fleet, contract of customer %s, generation %d", s.limits.RatePerSecond, s.name, s.generation)),
		Wait: s.wait(shared, s.share.used.tokens)}
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

// sample updates the demand. Rising demand counts within half a second, falling demand within three.
func (s *state) sample(now time.Time) {
	d := now.Sub(s.sampled)
	if d <= 0 {
		return
	}
	seconds := d.Seconds()
	current := float64(s.seen) / seconds
	weight := min(1, seconds/0.5)
	if current < s.rate {
		weight = min(1, seconds/3)
	}
	s.rate += (current - s.rate) * weight
	s.lastPeak = max(s.peak, s.lastPeak-min(s.lastPeak, s.lastPeak/8+1))
	s.seen, s.peak, s.sampled = 0, s.inFlight, now
}

// demand returns what to ask the holder for, with headroom so that growth does not wait for the next request.
func (s *state) demand() Demand {
	return Demand{Customer: s.name, RateMilli: uint64((s.rate*headroom + 1) * 1000),
		Concurrency: uint32(float64(s.lastPeak)*headroom) + 1, InFlight: s.inFlight}
}

// due decides whether to send a request now. It is called for wanted states only.
func (s *state) due(now time.Time, baseRate float64) (d Demand, ask, keep bool) {
	since := now.Sub(s.asked)
	d = s.demand()
	shared := s.share.valid(now)
	idle := s.rate*Lease.Seconds() < 0.5 && s.inFlight <= baseConcurrency || s.rate < baseRate/2 && s.lastPeak <= baseConcurrency
	switch {
	case idle && shared && s.share.rateMilli > 0 && since >= returnAfter:
		d.RateMilli, d.Concurrency = 0, 0
		return d, true, true
	case idle:
		return d, false, shared
	case !shared && (s.asked.IsZero() || since >= retryUnshared):
		return d, true, true
	case shared && since >= Lease/2:
		return d, true, true
	case shared && since >= correctAfter && s.off(d):
		return d, true, true
	}
	return d, false, true
}

// off reports whether the share differs from the demand by so much that the next renewal would be late.
func (s *state) off(d Demand) bool {
	grow := d.RateMilli > s.want.RateMilli*5/4+1000 || d.Concurrency > s.want.Concurrency*5/4+1
	shrink := d.RateMilli*2 < s.share.rateMilli && s.share.rateMilli > 2000
	return grow || shrink || s.cut && s.share.rateMilli*2 < d.RateMilli
}
