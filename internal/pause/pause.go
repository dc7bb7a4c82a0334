// Package pause provides a sleep that a context can end early.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns true after d, and false as soon as ctx ends. If d is not positive, it
// returns at once, and false if ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
