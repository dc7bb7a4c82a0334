package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxBuckets bounds the buckets of a holder, at about 300 bytes each.
	maxBuckets = 100_000
	// maxPlans bounds the plans that a holder remembers. After more changes within planMemory it counts
	// as a new holder of what it has held for longer.
	maxPlans = 32
	// planMemory is how long replaced plans are remembered. A part that is held for longer has the level
	// of an idle bucket.
	planMemory = 30 * time.Second
	// maxExtra bounds the tokens that are granted in addition to the first one.
	maxExtra = 7
	// maxWait bounds the time to come back that is named to a refused entry.
	maxWait = time.Minute
	// sweepsPerRound is how many calls of Sweep visit all buckets once.
	sweepsPerRound = 16
	// roundingError is what a level may lack of a whole token because times are rounded.
	roundingError = 1e-6
)

// Holder grants tokens of the parts that its daemon holds. It is safe for concurrent use.
type Holder struct {
	self, region string
	bounds       Bounds
	active       func() bool
	// epoch identifies the process in returns. It is not 0.
	epoch uint32

	mu    sync.Mutex
	start time.Time
	// plans are the plan in force, last, and those before it. complete is true while they reach back to
	// the first one.
	plans    []plannedSince
	complete bool
	buckets  map[partKey]*bucket
	// sweeping are the keys that the present round of Sweep has yet to visit, sweepSize of them a call.
	sweeping  []partKey
	sweepSize int
	granted   uint64
	refused   uint64
}

// plannedSince is a plan and the time since the start of the Holder at which it came into force.
type plannedSince struct {
	plan  *Plan
	since time.Duration
}

type partKey struct {
	organisation string
	part         int
}

// NewHolder returns a holder without a plan, which grants nothing, on the VM self of the region. It
// grants nothing either while active returns false.
func NewHolder(now time.Time, self, region string, bounds Bounds, active func() bool) *Holder {
	return &Holder{
		self: self, region: region, bounds: bounds, active: active, epoch: rand.Uint32() | 1, start: now,
		complete: true, buckets: map[partKey]*bucket{},
	}
}

// SetPlan puts a plan in force.
func (h *Holder) SetPlan(now time.Time, p *Plan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := now.Sub(h.start)
	h.plans = append(h.plans, plannedSince{p, elapsed})
	forgotten := 0
	for forgotten < len(h.plans)-1 && (elapsed-h.plans[forgotten+1].since > planMemory || len(h.plans)-forgotten > maxPlans) {
		forgotten++
	}
	h.complete = h.complete && forgotten == 0
	h.plans = slices.Delete(h.plans, 0, forgotten)
}

// heldSince returns since when this daemon has been the holder of the part without a break, and
// whether that is as long as it has had a plan. ok is false if it is not the holder.
func (h *Holder) heldSince(key partKey) (since time.Duration, fromStart, ok bool) {
	hash := hashOf(key.organisation)
	for i := len(h.plans) - 1; i >= 0; i-- {
		p := h.plans[i].plan
		r := p.region(h.region)
		if r < 0 {
			return since, false, ok
		}
		at := p.holder(r, hash, key.part)
		if at < 0 || p.members[r][at].vm != h.self {
			return since, false, ok
		}
		since, ok = h.plans[i].since, true
	}
	return since, h.complete, ok
}

// Take answers an entry's ask for tokens of the organisation, whose limits are those in force at this
// daemon.
func (h *Holder) Take(now time.Time, ask *Ask, limits Limits) Answer {
	if !h.active() {
		return Answer{Status: NotHolder}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.plans) == 0 {
		return Answer{Status: NotHolder}
	}
	if limits.Unlimited() {
		return Answer{Status: Granted, Tokens: ask.Want, Epoch: h.epoch}
	}
	elapsed := now.Sub(h.start)
	b := h.bucketOf(elapsed, partKey{ask.Organisation, ask.Part}, limits)
	if b == nil {
		return Answer{Status: NotHolder}
	}
	if ask.Epoch == h.epoch {
		for _, r := range ask.Returns {
			b.takeBack(r)
		}
	}
	if !limits.valid() {
		h.refused++
		return Answer{Status: Refused, Wait: maxWait, Free: maxWait}
	}
	if n := b.take(ask.Want); n > 0 {
		h.granted += uint64(n)
		return Answer{Status: Granted, Tokens: n, Epoch: h.epoch, Stamp: uint32(b.slot)}
	}
	h.refused++
	wait, free := b.place(elapsed, h.bounds.Window)
	return Answer{Status: Refused, Wait: wait, Free: free}
}

// bucketOf returns the bucket of a part as of now, or nil if this daemon does not hold the part.
func (h *Holder) bucketOf(elapsed time.Duration, key partKey, limits Limits) *bucket {
	current := h.plans[len(h.plans)-1].plan
	b := h.buckets[key]
	if b == nil {
		since, fromStart, ok := h.heldSince(key)
		if !ok || len(h.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{plan: current, since: since, at: since}
		b.divide(h.bounds, limits, len(current.regions))
		b.moved = b.division.movedByChange(len(current.regions))
		if fromStart {
			b.moved = b.division.movedAtStart(len(current.members[current.region(h.region)]))
		}
		b.level = b.division.initial
		h.buckets[key] = b
	} else if !h.follow(key, b) {
		return nil
	}
	b.advance(elapsed)
	if b.division.limits != limits {
		b.divide(h.bounds, limits, len(current.regions))
	}
	b.lastAsk = elapsed
	if key.part >= b.division.regionParts {
		return nil
	}
	return b
}

// follow takes a bucket over into the plan in force. It drops the bucket and returns false if this
// daemon does not hold the part.
func (h *Holder) follow(key partKey, b *bucket) bool {
	current := h.plans[len(h.plans)-1].plan
	if b.plan == current {
		return true
	}
	since, _, ok := h.heldSince(key)
	if !ok {
		delete(h.buckets, key)
		return false
	}
	b.plan = current
	if since > b.at {
		// Another daemon held the part in the meantime.
		b.since, b.level, b.at = since, min(b.level, b.division.initial), since
		b.moved = b.division.movedByChange(len(current.regions))
	}
	return true
}

// Sweep drops some of the buckets that are full and idle. It visits all buckets in sweepsPerRound
// calls.
func (h *Holder) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := now.Sub(h.start)
	if len(h.sweeping) == 0 {
		h.sweepSize = len(h.buckets)/sweepsPerRound + 1
		for key := range h.buckets {
			h.sweeping = append(h.sweeping, key)
		}
	}
	n := min(len(h.sweeping), h.sweepSize)
	for _, key := range h.sweeping[:n] {
		if b := h.buckets[key]; b != nil && h.follow(key, b) {
			if b.advance(elapsed); b.level >= b.division.burst && b.grants == 0 && elapsed-b.lastAsk > b.division.history {
				delete(h.buckets, key)
			}
		}
	}
	h.sweeping = h.sweeping[n:]
	if len(h.sweeping) == 0 {
		h.sweeping = nil
	}
}

// HolderStats are counts of a Holder since its start, and its present number of buckets.
type HolderStats struct {
	Granted, Refused uint64
	Buckets          int
}

// Stats returns the counts.
func (h *Holder) Stats() HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HolderStats{h.granted, h.refused, len(h.buckets)}
}
