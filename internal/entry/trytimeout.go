package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/retry"
)

// Time limits of one try of a repeatable request. A try ends without a response after
// tryTimeoutFactor times the normal service time, and at least minTryTimeout. Then the request is
// tried on another backend server, if the deadline allows it. Otherwise one hanging backend server
// would use up the whole deadline.
const (
	tryTimeoutFactor = 20
	minTryTimeout    = 250 * time.Millisecond
	// minTryTimeoutFactor replaces tryTimeoutFactor if the deadline is too near for it: the try may
	// then take half of the remaining time, which must be more than minTryTimeoutFactor times the
	// normal service time. Without it, when a whole service is slow, every repeatable request that
	// is lost on a broken path would fail.
	minTryTimeoutFactor = 4
)

// errTryTimeout is the cancellation cause of a try that took too long. The request itself goes on.
var errTryTimeout = errors.New("no response within the time limit of one try")

// tryTimeout returns the time limit for this try, and false if there is none. Only tries that
// another one may follow have a limit. As long as the normal service time is unknown, a try may take
// half of the remaining time.
func (e *Entry) tryTimeout(ctx context.Context, t *try) (time.Duration, bool) {
	if e.confirm {
		// The home daemon has confirmed the request, so only the backend server can be slow. Ending
		// the try early would cancel its work.
		return 0, false
	}
	if !t.call.repeatable || !t.call.body.canResend() || t.number >= retry.MaxTries {
		return 0, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	half := time.Until(deadline) / 2
	baseline := e.balancer.Baseline(time.Now(), t.call.service.Name)
	if baseline.Members == 0 {
		return half, half > minTryTimeout
	}
	limit := max(minTryTimeout, tryTimeoutFactor*baseline.ServiceTime)
	return min(limit, half), half > max(minTryTimeout, minTryTimeoutFactor*baseline.ServiceTime)
}

// tryTimer ends a try whose time limit has passed, as soon as another try can follow.
type tryTimer struct {
	entry     *Entry
	try       *try
	successor balance.PickRequest
	end       func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startTryTimer returns a running timer that calls end after the limit. The caller must stop it.
func (e *Entry) startTryTimer(t *try, limit time.Duration, end func()) *tryTimer {
	exclude := append(slices.Clone(t.retryState.Excluded()), t.backend.ID)
	timer := &tryTimer{entry: e, try: t, successor: t.call.pickRequest(exclude, t.insist), end: end}
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.timer = time.AfterFunc(limit, timer.expire)
	return timer
}

// expire ends the try if another one can follow. Otherwise the try goes on, because its response is
// the only one that can come, and expire runs again after minTryTimeout: by then the retry budget
// may have gained a token, or a backend server may have become available.
func (t *tryTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.entry.reserveSuccessor(t.try, t.successor) {
		t.end()
		return
	}
	t.timer.Reset(minTryTimeout)
}

// stop keeps the timer from ending the try from now on.
func (t *tryTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// reserveSuccessor reserves a retry for a try that has taken too long, and reports whether one can
// follow.
func (e *Entry) reserveSuccessor(t *try, successor balance.PickRequest) bool {
	now := time.Now()
	if !e.balancer.HasCandidate(now, successor) {
		return false
	}
	failure := retry.Failure{Backend: t.backend.ID, Kind: errkind.PathBroken, BodyConsumed: !t.call.body.canResend()}
	paid := e.budgets.Reserve(now, &t.retryState, failure)
	t.successorPaid.Store(paid)
	return paid
}
