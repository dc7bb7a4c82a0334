package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the circuit breaker of a path.
const (
	// consecutiveFailureThreshold is the number of failures in a row that opens the breaker.
	consecutiveFailureThreshold = 3
	// failureShareThreshold is the share of failures that opens the breaker, if the share is over
	// at least failureShareMinRequests requests. Their weight decays with failureShareTimeConstant.
	failureShareThreshold    = 0.5
	failureShareMinRequests  = 10
	failureShareTimeConstant = 10 * time.Second
	// firstHoldOff is the shortest hold-off. The hold-off doubles with each failed trial, and with
	// each opening within holdOffResetAfter, up to maxHoldOff.
	firstHoldOff = time.Second
	maxHoldOff   = 30 * time.Second
	// holdOffResetAfter is how long the breaker must have been closed for the next hold-off to be
	// firstHoldOff again.
	holdOffResetAfter = time.Minute
	// trialTimeout is the time after which a trial without a result no longer blocks the next one.
	trialTimeout = 5 * time.Second
)

// pathState is the state of a circuit breaker.
//
// A breaker starts closed. It opens after too many failures in a row, after too high a share of
// failures, or when a home does not confirm a request at all. When the hold-off is over, the
// breaker is half-open and admits one trial request. A response to a request sent after the opening
// closes it. A failed trial starts a longer hold-off.
type pathState uint8

const (
	pathClosed pathState = iota
	pathOpen
	// pathHalfOpen means that one trial request may be sent over the path.
	pathHalfOpen
)

// breaker is the circuit breaker of the path from this entry to one VM. It is safe for concurrent
// use.
type breaker struct {
	// open is read without the mutex, but written only while the mutex is held.
	open atomic.Bool

	mu                  sync.Mutex
	consecutiveFailures int
	failureMean         decayingMean
	openedAt            time.Time
	retryAt             time.Time
	closedAt            time.Time
	holdOff             time.Duration
	trialUntil          time.Time
	lastUsed            time.Time
	// hasResult is set by the first result, from which on the path is included in
	// pathBreakers.known.
	hasResult bool
	// removed is set when the breaker was removed from pathBreakers. Later results are ignored.
	removed bool
}

func (b *breaker) state(now time.Time) pathState {
	if !b.open.Load() {
		return pathClosed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateLocked(now)
}

func (b *breaker) stateLocked(now time.Time) pathState {
	switch {
	case !b.open.Load():
		return pathClosed
	case now.Before(b.retryAt) || now.Before(b.trialUntil):
		return pathOpen
	default:
		return pathHalfOpen
	}
}

// claimTrial reserves the trial of a half-open breaker for the caller. It returns false when the
// breaker is not half-open or another request has the trial.
func (b *breaker) claimTrial(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stateLocked(now) != pathHalfOpen {
		return false
	}
	b.trialUntil = now.Add(trialTimeout)
	return true
}

// releaseTrial returns a trial whose request ended without a result for the path.
func (b *breaker) releaseTrial() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trialUntil = time.Time{}
}

// countDelta is the change that a result makes to the numbers of known and open paths.
type countDelta struct{ known, open int64 }

// recordUse records that the path was used. The caller holds the mutex.
func (b *breaker) recordUse(now time.Time) countDelta {
	b.lastUsed = now
	if b.hasResult {
		return countDelta{}
	}
	b.hasResult = true
	return countDelta{known: 1}
}

// recordSuccess records a response to a request that was sent at started. A response to a request
// that was sent before the breaker opened does not close it: it proves only that the way back
// works.
func (b *breaker) recordSuccess(now, started time.Time) countDelta {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.removed {
		return countDelta{}
	}
	c := b.recordUse(now)
	b.failureMean.add(now, failureShareTimeConstant, 0)
	if !b.open.Load() {
		b.consecutiveFailures = 0
		return c
	}
	if started.Before(b.openedAt) {
		return c
	}
	b.consecutiveFailures = 0
	b.failureMean = decayingMean{}
	b.trialUntil = time.Time{}
	b.closedAt = now
	b.open.Store(false)
	c.open = -1
	return c
}

// recordFailure records a failure of the path. jitter in [0, 1) lengthens the hold-off by up to a
// quarter, so that many entries do not send their trials at the same time.
func (b *breaker) recordFailure(now, started time.Time, jitter float64) countDelta {
	return b.addFailures(now, started, jitter, 1)
}

// recordNoReply records that the home did not even confirm the request. It opens the breaker at
// once.
func (b *breaker) recordNoReply(now, started time.Time, jitter float64) countDelta {
	return b.addFailures(now, started, jitter, consecutiveFailureThreshold)
}

// addFailures records a failure that counts as weight failures in a row.
func (b *breaker) addFailures(now, started time.Time, jitter float64, weight int) countDelta {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.removed {
		return countDelta{}
	}
	c := b.recordUse(now)
	b.failureMean.add(now, failureShareTimeConstant, 1)
	b.consecutiveFailures += weight
	if b.open.Load() {
		// Requests sent before the opening are ignored. The hold-off doubles once per trial, not
		// for each request that was sent because the path was readmitted.
		if !started.Before(b.openedAt) {
			if !now.Before(b.retryAt) {
				b.holdOff *= 2
			}
			b.startHoldOff(now, jitter)
		}
		return c
	}
	shareExceeded := b.failureMean.weight >= failureShareMinRequests && b.failureMean.mean(0) >= failureShareThreshold
	if b.consecutiveFailures < consecutiveFailureThreshold && !shareExceeded {
		return c
	}
	b.holdOff *= 2
	if now.Sub(b.closedAt) >= holdOffResetAfter {
		b.holdOff = 0
	}
	b.openedAt = now
	b.open.Store(true)
	b.startHoldOff(now, jitter)
	c.open = 1
	return c
}

// startHoldOff starts a hold-off of b.holdOff, within its bounds, plus the jitter.
func (b *breaker) startHoldOff(now time.Time, jitter float64) {
	b.holdOff = min(maxHoldOff, max(firstHoldOff, b.holdOff))
	b.retryAt = now.Add(b.holdOff + time.Duration(jitter*float64(b.holdOff)/4))
	b.trialUntil = time.Time{}
}

// openSince returns when the breaker last opened.
func (b *breaker) openSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openedAt
}

// removeIfIdle marks the breaker as removed if it was not used for idleExpiry. It returns whether
// it did so, and the change of the counts.
func (b *breaker) removeIfIdle(now time.Time) (c countDelta, removed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastUsed) < idleExpiry {
		return c, false
	}
	b.removed = true
	if b.hasResult {
		c.known = -1
	}
	if b.open.Load() {
		c.open = -1
	}
	return c, true
}
