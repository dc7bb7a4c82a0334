package entry

import (
	"context"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

const (
	// roundInterval is the pause between two rounds in which all home daemons refused a request.
	// Within a few rounds a slot becomes free, or a backend server registers.
	roundInterval = 60 * time.Millisecond
	// roundQueueTimeout is how long a request waits for a slot at one home daemon, once all have
	// refused it.
	roundQueueTimeout = 200 * time.Millisecond
	// goalWaitDivisor gives the fraction of its latency goal that a request may wait for full
	// backend servers. With longer waits, all requests of an overloaded service would be late,
	// instead of only some being refused.
	goalWaitDivisor = 3
	// deadlineWaitDivisor gives the fraction of its remaining time that a request may wait for
	// capacity. The rest is for running it.
	deadlineWaitDivisor = 2
)

// retryRounds controls the rounds of one request. A round ends when all backend servers of the
// service have refused the request, or none can be chosen. A normal round leaves out backend
// servers whose home daemons hold requests back because they seem to fail. An insisting round tries
// those too. The first round is a normal one.
//
//   - After a normal round in which a backend server was full, a normal round follows after
//     roundInterval.
//   - After any other normal round, or once the wait is over, an insisting round follows at once.
//   - After an insisting round, a normal round follows after roundInterval. If the wait is over, no
//     round follows.
//
// It is used by one goroutine.
type retryRounds struct {
	// enabled is false if Options.MaxWait is 0. Then there is only the first round.
	enabled bool
	// waitUntil is the end of the wait if no backend server is full, fullWaitUntil if some are.
	waitUntil, fullWaitUntil time.Time
	// insist is true in an insisting round.
	insist bool
	// number counts the rounds after the first one.
	number int
	// sawFull is true if a backend server refused the request in this round because it was full.
	sawFull bool
}

// newRetryRounds returns the state for the first round of a request. goal is the latency goal of
// the route, 0 if it has none.
func newRetryRounds(now, deadline time.Time, goal, maxWait time.Duration) *retryRounds {
	wait := min(maxWait, deadline.Sub(now)/deadlineWaitDivisor)
	full := wait
	if goal > 0 {
		full = min(wait, goal/goalWaitDivisor)
	}
	return &retryRounds{enabled: maxWait > 0, waitUntil: now.Add(wait), fullWaitUntil: now.Add(full)}
}

// noteRefusal records the kind of a refusal in this round.
func (r *retryRounds) noteRefusal(kind errkind.Kind) {
	r.sawFull = r.sawFull || kind == errkind.SlotsFull || kind == errkind.Shed || kind == errkind.BackendShed
}

// next begins another round, after a pause if only new capacity can help. It returns false if the
// request has waited long enough or ctx has ended.
func (r *retryRounds) next(ctx context.Context) bool {
	if !r.enabled {
		return false
	}
	full, until := r.sawFull, r.waitUntil
	if full {
		until = r.fullWaitUntil
	}
	over := !time.Now().Before(until)
	r.sawFull = false
	if r.insist && over {
		return false
	}
	r.number++
	if !r.insist && (over || !full) {
		r.insist = true
		return true
	}
	// Each round finds out anew whether backend servers are still held back.
	r.insist = false
	return pause.For(ctx, roundInterval)
}

// queueTimeout returns how long the request may wait for a slot at one home daemon. Zero leaves it
// to the home daemon.
func (r *retryRounds) queueTimeout() time.Duration {
	if r.number > 1 {
		return roundQueueTimeout
	}
	return 0
}
