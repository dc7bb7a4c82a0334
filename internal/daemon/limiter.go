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
	// maxWaitingRequests bounds the requests that wait for a share at the same time. More are
	// refused immediately, so that a flood of requests above a limit does not pile up in memory.
	maxWaitingRequests = 1024
	// sharePollInterval is the time between two checks for a share. A limits holder in the same
	// data centre responds within it.
	sharePollInterval = 5 * time.Millisecond
)

// limiter admits callers' requests within this daemon's shares of the customers' limits. It is safe
// for concurrent use.
type limiter struct {
	shares *limits.Limiter
	// sharesWanted wakes the goroutine that requests shares from their holders.
	sharesWanted chan<- struct{}
	// waiting is the number of requests that wait for a share.
	waiting atomic.Int64
}

// Admit counts one request against the customer's limits, or returns the error to answer it with. A
// request that arrives before this daemon has a share waits for one, for at most limits.MaxWait.
// Each admitted request must be ended with Release.
func (l *limiter) Admit(ctx context.Context, c *catalog.Customer) *errkind.Error {
	d := l.shares.Admit(time.Now(), c)
	if d.OK {
		return nil
	}
	if d.Wait <= 0 {
		return d.Err
	}
	defer l.waiting.Add(-1)
	if l.waiting.Add(1) > maxWaitingRequests {
		return d.Err
	}
	return l.wait(ctx, c, d)
}

// wait checks for a share every sharePollInterval until the request is admitted or its wait has
// ended.
func (l *limiter) wait(ctx context.Context, c *catalog.Customer, d limits.Decision) *errkind.Error {
	end := time.Now().Add(limits.MaxWait)
	for ; !d.OK; d = l.shares.AdmitAgain(time.Now(), c) {
		left := time.Until(end)
		if d.Wait <= 0 || left <= 0 {
			return d.Err
		}
		select {
		case l.sharesWanted <- struct{}{}:
		default:
		}
		if !pause.For(ctx, min(d.Wait, left, sharePollInterval)) {
			return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while the request waited for a share of its customer's limits")
		}
	}
	return nil
}

// Release ends an admitted request of the customer, which frees its part of the concurrency limit.
func (l *limiter) Release(c *catalog.Customer, _ bool) { l.shares.Release(c.Name) }
