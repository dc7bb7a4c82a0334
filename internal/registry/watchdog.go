package registry

import (
	"context"
	"time"
)

// watchdog ends a call to the store that makes no progress.
type watchdog struct {
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stopLimit  context.CancelFunc
	stallTimer *time.Timer
}

// newWatchdog returns the context of a call that ends after the time-out unless extend is called
// before, and after transferLimit in any case.
func newWatchdog(ctx context.Context, timeout time.Duration) (*watchdog, context.Context) {
	limited, stopLimit := context.WithTimeout(ctx, transferLimit)
	callCtx, cancel := context.WithCancelCause(limited)
	w := &watchdog{ctx: callCtx, cancel: cancel, stopLimit: stopLimit}
	w.stallTimer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	return w, callCtx
}

// extend lets the call go on for the given time from now.
func (w *watchdog) extend(timeout time.Duration) { w.stallTimer.Reset(timeout) }

// explain returns the cause for which the call was ended, or err if it ended by itself.
func (w *watchdog) explain(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}

// stop frees the resources of the call.
func (w *watchdog) stop() {
	w.stallTimer.Stop()
	w.cancel(nil)
	w.stopLimit()
}
