package fleet

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that ends with the signals on which a program must end its fleet. A closed pipe is one of them:
// without it the fleet outlives a program whose output goes to head.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGPIPE)
}
