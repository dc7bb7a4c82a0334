package fleet

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that is cancelled on SIGINT, SIGTERM and SIGPIPE, on which a
// program must end its fleet. Without SIGPIPE, the fleet would outlive a program whose output is
// piped to a command that exits early, such as head.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGPIPE)
}
