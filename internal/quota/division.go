package quota

import (
	"math"
	"time"
)

const (
	// tokenLife is how long a token may be used, counted from when the entry asked for it.
	tokenLife = time.Second
	// maxPartRate is the rate above which a region's share is divided into several parts, in requests
	// per second.
	maxPartRate = 20
	// maxRegionParts bounds the parts of a region, and with them the state of one organisation.
	maxRegionParts = 256
	// takeoverTime is how long a new holder allows for daemons that still ask its predecessor: one that
	// hears from nobody stops acting as holder after this time.
	takeoverTime = 2 * time.Second
	// historySlots is the number of slots into which a holder divides the time that it has to account
	// for. One more is kept, because the time usually begins in the middle of a slot.
	historySlots = 24
	// maxSlotGrants bounds the grants of one slot, which are counted in 16 bits.
	maxSlotGrants = math.MaxUint16
)

// Limits are the limits of an organisation for the whole fleet. Rate is in requests per second; 0
// means no limit, and a rate that is negative or not a number admits nothing.
type Limits struct {
	Rate, Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limits) Unlimited() bool { return l.Rate == 0 }

func (l Limits) valid() bool {
	return l.Rate > 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}

// Bounds state what may pass in any window: (rate * Window + burst) * (1 + Excess) + Slack.
type Bounds struct {
	Window        time.Duration
	Excess, Slack float64
}

// division is how the limits of an organisation are divided.
//
// A window of time W can hold the requests of tokens that were granted in W + tokenLife, which are
// rate * (W + tokenLife) and the bursts of all parts. The bound leaves a margin above that. A third of
// it raises the bursts, because no part knows of the others' unused bursts. A third is what holders
// begin with. A third is for predecessors that are still asked.
type division struct {
	limits Limits
	// regionParts is the number of parts in each region. rate and burst are those of one part.
	regionParts int
	rate, burst float64
	// initial is the level of a new holder. overlap is the number of requests for all parts whose
	// predecessors are still asked.
	initial, overlap float64
	// ahead is true if tokens may be kept for later requests.
	ahead bool
	// history is the time of the requests that can be in one window.
	history time.Duration
	// maxGrants bounds the grants within history, less returned tokens.
	maxGrants int
}

// divide returns the division of the limits over the parts of the regions.
func (b Bounds) divide(l Limits, regions int) division {
	d := division{limits: l, regionParts: 1, ahead: true, history: b.Window + tokenLife}
	if !l.valid() {
		return d
	}
	regions = max(regions, 1)
	d.regionParts = int(min(max(math.Ceil(l.Rate/float64(regions)/maxPartRate), 1), maxRegionParts))
	parts := float64(regions * d.regionParts)
	d.rate, d.burst = l.Rate/parts, max(l.Burst/parts, 1)
	window := b.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+b.Excess) + b.Slack
	margin := bound - l.Rate*(window+tokenLife.Seconds()) - d.burst*parts
	if margin < 0 {
		// A token that is asked for by the request that uses it was granted within the window.
		d.ahead, d.history = false, b.Window
		margin = max(bound-l.Rate*window-d.burst*parts, 0)
	}
	third := margin / 3
	d.burst += third / parts
	d.initial = min(third/parts, d.burst)
	d.overlap = third
	d.maxGrants = int(d.rate*d.history.Seconds() + d.burst)
	return d
}

// reducedRate returns the rate of a new holder within takeoverTime if moved parts of the organisation got
// new holders at the same time. It is not reduced if moved is 0.
func (d *division) reducedRate(moved int) float64 {
	if moved == 0 {
		return d.rate
	}
	return min(d.overlap/float64(moved)/takeoverTime.Seconds(), d.rate)
}

// movedAtStart returns how many parts of the organisation one of the daemons of a region is expected to
// hold at most. Without a margin it returns 0: what a start of all daemons would lose weighs more then than
// what the predecessors of a single daemon that joins may still grant.
func (d *division) movedAtStart(daemons int) int {
	if d.overlap == 0 {
		return 0
	}
	return min((2*d.regionParts+daemons-1)/daemons, d.regionParts)
}

// movedByChange returns how many parts of the organisation are expected to get new holders at most when
// the list of daemons changes: a third, as by a scale-out by half the fleet.
func (d *division) movedByChange(regions int) int { return (d.parts(regions) + 2) / 3 }

// parts returns the number of parts of all regions.
func (d *division) parts(regions int) int { return regions * d.regionParts }
