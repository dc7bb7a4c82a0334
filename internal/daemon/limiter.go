package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

const (
	// maxWaiting bounds the requests that wait for a share at the same time. More are refused at once, so that a flood of
	// requests above a limit does not pile up in memory.
	maxWaiting = 1024
	// shareWait is the time between two looks for a share. A holder in the same data centre answers within it.
	shareWait = 5 * time.Millisecond
)

// limiter admits callers' requests by the shares of this daemon.
type limiter struct {
	user *limits.User
	// ask wakes the goroutine that asks holders for shares.
	ask chan<- struct{}
	// waiting counts the requests that wait for a share.
	waiting atomic.Int64
}

// Admit takes one request of the customer's limits. A request that comes before the daemon has a share waits for it, at most
// limits.MaxWait.
func (l *limiter) Admit(ctx context.Context, c *catalog.Customer) *errkind.Error {
	d := l.user.Admit(time.Now(), c)
	if d.OK {
		return nil
	}
	if d.Wait <= 0 {
		return d.Err
	}
	defer l.waiting.Add(-1)
	if l.waiting.Add(1) > maxWaiting {
		return d.Err
	}
	return l.wait(ctx, c, d)
}

// wait looks for the share until the request is admitted or the wait ends.
func (l *limiter) wait(ctx context.Context, c *catalog.Customer, d limits.Decision) *errkind.Error {
	end := time.Now().Add(limits.MaxWait)
	for ; !d.OK; d = l.user.AdmitAgain(time.Now(), c) {
		left := time.Until(end)
		if d.Wait <= 0 || left <= 0 {
			return d.Err
		}
		select {
		case l.ask <- struct{}{}:
		default:
		}
		if !pause.For(ctx, min(d.Wait, left, shareWait)) {
			return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while the request waited for a share of its limits")
		}
	}
	return nil
}

// Release ends a request that was admitted.
func (l *limiter) Release(customer string) { l.user.Release(customer) }
