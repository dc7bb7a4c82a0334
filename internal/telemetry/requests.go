package telemetry

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// Lines about single requests share one token bucket. A flood of failures must not fill the log,
// while in normal operation every line is written.
const (
	requestLinesPerSecond = 50
	requestLinesBurst     = 200
)

// requestLineLimiter is the token bucket for lines about single requests. One token is one line.
type requestLineLimiter struct {
	mu     sync.Mutex
	tokens float64
	// refilled is when tokens was last refilled, zero before the first line.
	refilled time.Time
	// leftOut counts the lines left out since the last one written.
	leftOut int
}

// allow takes a token and reports whether there was one. For a line that may be written it returns
// how many were left out since the one before.
func (b *requestLineLimiter) allow(now time.Time) (leftOut int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilled.IsZero() {
		b.tokens = requestLinesBurst
	} else {
		b.tokens = min(requestLinesBurst, b.tokens+now.Sub(b.refilled).Seconds()*requestLinesPerSecond)
	}
	b.refilled = now
	if b.tokens < 1 {
		b.leftOut++
		return 0, false
	}
	b.tokens--
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}

// Request logs a decision about the request with the given id, at level info. These lines are
// exempt from the limit on repeated sentences. All requests together may log requestLinesPerSecond
// lines, in bursts of at most requestLinesBurst.
func (l *Logger) Request(id, sentence string, keyvals ...any) {
	leftOut, ok := l.requests.allow(time.Now())
	if !ok {
		return
	}
	line := append([]any{"msg", l.prefix + sentence, "request", id}, keyvals...)
	if leftOut > 0 {
		line = append(line, "left_out", leftOut)
	}
	level.Info(l.base).Log(line...) //nolint:errcheck // there is no other place to report it
}
