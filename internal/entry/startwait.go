package entry

import (
	"context"
	"time"
)

const (
	// startWait is the time from the start of the entry in which requests wait for the first
	// configuration. A daemon of a running fleet has one much sooner; one that has none by then may
	// have to do without for long, and refuses requests at once.
	startWait = 2 * time.Second
	// startWaitDivisor gives the fraction of the caller's time that a request may wait. The rest is
	// for running it.
	startWaitDivisor = 4
	// maxStartWaiting bounds the requests that wait at the same time. Further ones are refused.
	maxStartWaiting = 256
)

// startWaiter holds the requests that arrive before the daemon has a configuration. It is safe for
// concurrent use.
type startWaiter struct {
	// configured is closed once there is a configuration. It is nil if requests do not wait.
	configured <-chan struct{}
	// until is when requests stop to wait.
	until time.Time
	// waiting holds an item for each request that waits.
	waiting chan struct{}
}

func newStartWaiter(configured <-chan struct{}) *startWaiter {
	return &startWaiter{configured: configured, until: time.Now().Add(startWait), waiting: make(chan struct{}, maxStartWaiting)}
}

// wait returns once there is a configuration or the request, whose caller waits for timeout (0 if
// unknown), must not wait any longer.
func (g *startWaiter) wait(ctx context.Context, timeout time.Duration) {
	if g.configured == nil {
		return
	}
	select {
	case <-g.configured:
		return
	default:
	}
	remaining := time.Until(g.until)
	if timeout > 0 {
		remaining = min(remaining, timeout/startWaitDivisor)
	}
	if remaining <= 0 {
		return
	}
	select {
	case g.waiting <- struct{}{}:
	default:
		return
	}
	defer func() { <-g.waiting }()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
}
