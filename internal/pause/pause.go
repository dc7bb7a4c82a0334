// Package pause waits for a time that a context can end.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports false when ctx ends before.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
