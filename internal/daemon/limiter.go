package daemon

import (
	"context"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/limits"
)

// limiter admits callers' requests by the shares of this daemon.
type limiter struct {
	user *limits.User
	ask  chan<- struct{}
}

// Admit takes one request of the customer's limits. A request that comes before the daemon has a share waits for it, at most
// limits.MaxWait.
func (l *limiter) Admit(ctx context.Context, c *catalog.Customer) *errkind.Error {
	end := time.Now().Add(limits.MaxWait)
	for {
		d := l.user.Admit(time.Now(), c)
		if d.OK {
			return nil
		}
		left := time.Until(end)
		if d.Wait <= 0 || left <= 0 {
			return d.Err
		}
		select {
		case l.ask <- struct{}{}:
		default:
		}
		if !sleep(ctx, min(d.Wait, left, shareWait)) {
			return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while the request waited for a share of its limits")
		}
	}
}

// shareWait is the time between two looks for a share. A holder in the same data centre answers within it.
const shareWait = 5 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Release ends a request that was admitted.
func (l *limiter) Release(customer string) { l.user.Release(customer) }
