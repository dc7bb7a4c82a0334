package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cowsliprun/cowsliprun/internal/ring"
)

// RingWriter is an io.Writer that never blocks: it queues lines for the goroutine that calls Run.
// When the queue is full it drops the new line. The number of dropped lines is written before the
// next queued ones. It is safe for concurrent use.
type RingWriter struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	// dropped counts the lines dropped since the last flush.
	dropped atomic.Uint64
}

// NewRingWriter returns a writer to out that queues at most capacity lines.
func NewRingWriter(out io.Writer, capacity int) *RingWriter {
	return &RingWriter{out: out, lines: ring.New[[]byte](capacity)}
}

// Write queues a copy of p, which is one line, or drops it when the queue is full. It never fails.
func (w *RingWriter) Write(p []byte) (int, error) {
	if !w.lines.Offer(bytes.Clone(p)) {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes queued lines until ctx ends, then writes those left and returns.
func (w *RingWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.lines.Ready():
			w.flush()
		}
	}
}

func (w *RingWriter) flush() {
	lines := w.lines.Drain()
	if n := w.dropped.Swap(0); n > 0 {
		lines = append([][]byte{fmt.Appendf(nil, "level=warn msg=\"log: Lines were dropped.\" count=%d\n", n)}, lines...)
	}
	if len(lines) > 0 {
		w.out.Write(bytes.Join(lines, nil)) //nolint:errcheck // there is no other place to report it
	}
}
