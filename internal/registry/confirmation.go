package registry

import (
	"cmp"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
)

const (
	// maxConfirmedAge is the age up to which the latest confirmation of a reader may grow while its
	// next watch waits. After changes, which confirm as of the begin of their watch, the next watch
	// waits less. docs/feed.md has the sum of which this is a part; less costs more calls.
	maxConfirmedAge = 2500 * time.Millisecond
	// minWatchWait is the shortest wait of a watch, so that watches never follow each other at once.
	minWatchWait = 100 * time.Millisecond
	// untrustedWaitDuration is how long a reader does not rely on the wait of watches after the store
	// has ended one early.
	untrustedWaitDuration = 30 * time.Second
	// earlyDivisor gives the part of a wait by which it may be too short and count as rounded.
	earlyDivisor = 20
)

// confirmations tell as of which moment the responses of the store hold. Only the goroutine of a
// Reader uses them.
type confirmations struct {
	// clock is nil if no confirmations are needed.
	clock keylease.Clock
	// limit returns the longest time that a watch may wait, 0 for no limit. It may be nil.
	limit func() time.Duration
	// latest is the moment as of which the store has last confirmed its content, 0 before.
	latest time.Duration
	// untrustedUntil is the time until which empty responses to watches count as of their call only.
	untrustedUntil time.Duration
}

// now returns the reading of the clock, or 0 if no confirmations are needed.
func (c *confirmations) now() time.Duration {
	if c.clock == nil {
		return 0
	}
	return c.clock()
}

// watchWait returns how long the next watch is to wait.
func (c *confirmations) watchWait() time.Duration {
	longest := watchWait
	if c.limit != nil {
		longest = min(longest, cmp.Or(c.limit(), watchWait))
	}
	if c.latest == 0 {
		return longest
	}
	age := c.clock() - c.latest
	return max(min(longest, maxConfirmedAge-age), minWatchWait).Truncate(time.Millisecond)
}

// ofCall returns the moment as of which a response holds: the begin of its call. What the store had
// acknowledged by then is part of the response.
func (c *confirmations) ofCall(begin time.Duration) time.Duration {
	c.latest = max(c.latest, begin)
	return begin
}

// ofWatch returns the moment as of which the response to a watch holds that began at begin and was to
// wait. An empty one was made at the end of the wait, which the store began after the call, unless
// the store ends waits early.
func (c *confirmations) ofWatch(begin, wait time.Duration, empty bool) time.Duration {
	if c.clock == nil {
		return 0
	}
	now := c.clock()
	if !empty {
		return c.ofCall(begin)
	}
	if now-begin < wait-wait/earlyDivisor {
		// The next one may come as early, and be delayed on its way until the wait is over.
		c.untrustedUntil = now + untrustedWaitDuration
	}
	if now < c.untrustedUntil || now-begin < keylease.Shorten(wait) {
		return c.ofCall(begin)
	}
	return c.ofCall(begin + keylease.Shorten(wait))
}
