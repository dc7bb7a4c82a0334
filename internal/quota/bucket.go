package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one part. Times are since the start of the Holder.
type bucket struct {
	plan *Plan
	// since is when this daemon became the holder, with moved parts of the organisation that got new
	// holders at the same time.
	since    time.Duration
	moved    int
	division division
	// level is the number of tokens at the time at.
	level float64
	at    time.Duration
	// nextPlace is the time after the last one at which a refused entry was told to come back.
	nextPlace time.Duration
	// turn spreads the times to come back when no place is left.
	turn    float64
	lastAsk time.Duration
	// slotGrants holds the grants, less returned tokens, of the last slots, and grants their sum. slot
	// is the number of the present one.
	slotGrants [historySlots + 1]uint16
	slot       int64
	grants     int
}

// divide applies limits. The grants under a higher limit no longer count, as its tokens were within it.
func (b *bucket) divide(bounds Bounds, l Limits, regions int) {
	before := b.division
	b.division = bounds.divide(l, regions)
	b.level = min(b.level, b.division.burst)
	if b.division.maxGrants < before.maxGrants || b.division.history != before.history {
		b.slotGrants, b.grants = [historySlots + 1]uint16{}, 0
	}
	if b.division.rate > before.rate {
		b.nextPlace = 0
	}
	b.slot = b.slotAt(b.at)
}

func (b *bucket) slotDuration() time.Duration { return max(b.division.history/historySlots, 1) }

func (b *bucket) slotAt(t time.Duration) int64 { return int64(t / b.slotDuration()) }

// advance adds the tokens that accrued until now, and begins a new slot if it is time.
func (b *bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	full := max(now-max(b.at, b.since+takeoverTime), 0)
	reduced := now - b.at - full
	b.level = min(b.level+full.Seconds()*b.division.rate+reduced.Seconds()*b.division.reducedRate(b.moved), b.division.burst)
	b.at = now
	slot := b.slotAt(now)
	if slot-b.slot > historySlots {
		b.slotGrants, b.grants, b.slot = [historySlots + 1]uint16{}, 0, slot
	}
	for b.slot < slot {
		b.slot++
		i := b.slot % (historySlots + 1)
		b.grants -= int(b.slotGrants[i])
		b.slotGrants[i] = 0
	}
}

// take removes up to want tokens and returns how many. Only a quarter of what is left goes beyond the
// first token, so that one entry leaves some for the others.
func (b *bucket) take(want int) int {
	i := b.slot % (historySlots + 1)
	room := min(b.division.maxGrants-b.grants, maxSlotGrants-int(b.slotGrants[i]))
	if want < 1 || b.level < 1-roundingError || room < 1 {
		return 0
	}
	n := 1
	if b.division.ahead {
		n += min(want-1, maxExtra, int((b.level-1)/4), room-1)
	}
	b.level = max(b.level-float64(n), 0)
	b.slotGrants[i] += uint16(n)
	b.grants += n
	return n
}

// takeBack adds returned tokens to the level and removes them from the slot of their grant. Tokens of
// a slot that is no longer kept are lost.
func (b *bucket) takeBack(r Return) {
	slot := int64(r.Stamp)
	if slot > b.slot || b.slot-slot > historySlots {
		return
	}
	i := slot % (historySlots + 1)
	n := min(r.Tokens, int(b.slotGrants[i]))
	b.slotGrants[i] -= uint16(n)
	b.grants -= n
	b.level = min(b.level+float64(n), b.division.burst)
}

// freeIn returns the time until there is a token if nobody takes or returns one.
func (b *bucket) freeIn(now time.Duration) time.Duration {
	if b.division.maxGrants-b.grants < 1 {
		return b.slotDuration()
	}
	missing := max(1-b.level, 0)
	var wait time.Duration
	if left := b.since + takeoverTime - now; left > 0 {
		rate := b.division.reducedRate(b.moved)
		if t := seconds(missing / rate); t <= left {
			return t
		}
		missing -= left.Seconds() * rate
		wait = left
	}
	return wait + seconds(missing/b.division.rate)
}

// place returns the time after which a refused entry is to come back, and the time until there can be a
// token. Each entry gets a token's place of its own, in the order of the refusals, up to the window
// ahead. Later ones are spread over the second half of it.
func (b *bucket) place(now, window time.Duration) (wait, free time.Duration) {
	free = min(b.freeIn(now), maxWait)
	at := max(now+free, b.nextPlace)
	limit := min(max(window, free), maxWait)
	if at-now > limit {
		b.turn = math.Mod(b.turn+math.Phi, 1)
		return limit/2 + time.Duration(b.turn*float64(limit/2)), free
	}
	b.nextPlace = at + seconds(1/b.division.rate)
	return at - now, free
}

// seconds converts a number of seconds that may be too large for a Duration.
func seconds(s float64) time.Duration {
	if s >= time.Hour.Seconds() || math.IsNaN(s) {
		return time.Hour
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
