package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that block on a slow reader of the log, and against lines that are
// dropped without a report of their number.
func TestRingWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewRingWriter(&out, 3)
	for i := range 10 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	if got := out.String(); !strings.Contains(got, "count=7") || !strings.Contains(got, "line 0\nline 1\nline 2\n") {
		t.Errorf("%q", got)
	}
}

// Guards against queued lines that are written only when the daemon stops.
func TestRingWriterWritesWhileItRuns(t *testing.T) {
	read, write := io.Pipe()
	w := NewRingWriter(write, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	fmt.Fprint(w, "now\n")
	line := make([]byte, 4)
	if _, err := io.ReadFull(read, line); err != nil || string(line) != "now\n" {
		t.Errorf("%q, %v", line, err)
	}
	cancel()
	running.Wait()
}

// Guards against a flood of failed requests that fills the log, and against a limit so low that
// lines of a short burst are missing.
func TestRequestLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, err := NewLogger(&out, "logfmt", "info")
		if err != nil {
			t.Fatal(err)
		}
		part := log.Part("entry")
		for second := range 10 {
			for i := range 1000 {
				part.Request(fmt.Sprint(second, "-", i), "A request ended with an error.", "kind", "shed")
			}
			time.Sleep(time.Second)
		}
		part.Request("last", "A request ended with an error.", "kind", "shed")
		lines := strings.Count(out.String(), "\n")
		if limit := requestLinesBurst + 10*requestLinesPerSecond + 1; lines > limit || lines < requestLinesBurst {
			t.Errorf("%d lines, at most %d", lines, limit)
		}
		if !strings.Contains(out.String(), "request=last") || !strings.Contains(out.String(), "left_out=") {
			t.Error("the last line lacks its request or the number of lines left out")
		}
	})
}
