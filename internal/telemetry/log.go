package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// A sentence about one subject is written at most repeatLimit times per repeatInterval. The first
// line after the interval reports how many were left out. The subject is the first key-value pair:
// without it, lines about one backend server would suppress those about another.
const (
	repeatLimit    = 5
	repeatInterval = 10 * time.Second
	// maxRepeats bounds the remembered pairs of sentence and subject, about 200 bytes each. When it
	// is reached, all are forgotten.
	maxRepeats = 1024
)

// Logger writes the log lines of one part of a daemon. It is safe for concurrent use.
type Logger struct {
	base log.Logger
	// prefix is the name of the part and ": ", or empty.
	prefix  string
	repeats *repeatLimiter
	// requests limits the lines about single requests, over all parts.
	requests *requestLineLimiter
}

// NewLogger returns the logger of a daemon, which writes to w one line at a time. Format is
// "logfmt" or "json", by default "logfmt". Minimum is the lowest level written: "debug", "info",
// "warn" or "error", by default "info". Other texts are an error.
func NewLogger(w io.Writer, format, minimum string) (*Logger, error) {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	switch format {
	case "", "logfmt":
	case "json":
		base = log.NewJSONLogger(log.NewSyncWriter(w))
	default:
		return nil, fmt.Errorf("log format %q is not logfmt or json", format)
	}
	if minimum == "" {
		minimum = "info"
	}
	value, err := level.Parse(minimum)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not debug, info, warn or error", minimum)
	}
	base = level.NewFilter(log.With(base, "ts", log.DefaultTimestampUTC), level.Allow(value))
	return &Logger{base: base, repeats: &repeatLimiter{seen: map[string]*repeatCount{}}, requests: &requestLineLimiter{}}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{base: log.NewNopLogger(), repeats: &repeatLimiter{seen: map[string]*repeatCount{}}, requests: &requestLineLimiter{}}
}

// Part returns a logger whose sentences start with name, for one part of the daemon. It shares the
// limits of l.
func (l *Logger) Part(name string) *Logger {
	return &Logger{base: l.base, prefix: name + ": ", repeats: l.repeats, requests: l.requests}
}

// Debug logs a detail for developers.
func (l *Logger) Debug(sentence string, keyvals ...any) {
	l.write(level.Debug(l.base), sentence, keyvals)
}

// Info logs an event of normal operation.
func (l *Logger) Info(sentence string, keyvals ...any) {
	l.write(level.Info(l.base), sentence, keyvals)
}

// Warn logs an event that an operator may have to look into.
func (l *Logger) Warn(sentence string, keyvals ...any) {
	l.write(level.Warn(l.base), sentence, keyvals)
}

// Error logs an event that an operator must look into.
func (l *Logger) Error(sentence string, keyvals ...any) {
	l.write(level.Error(l.base), sentence, keyvals)
}

// write writes the line unless the sentence was written too often for its subject.
func (l *Logger) write(logger log.Logger, sentence string, keyvals []any) {
	leftOut, ok := l.repeats.allow(l.prefix+sentence+subject(keyvals), time.Now())
	if !ok {
		return
	}
	line := append([]any{"msg", l.prefix + sentence}, keyvals...)
	if leftOut > 0 {
		line = append(line, "repeats_left_out", leftOut)
	}
	logger.Log(line...) //nolint:errcheck // there is no other place to report it
}

// subject returns the first key-value pair as text, or "" without any.
func subject(keyvals []any) string {
	if len(keyvals) < 2 {
		return ""
	}
	return fmt.Sprintf(" %v=%v", keyvals[0], keyvals[1])
}

// repeatCount counts the lines of one sentence and subject since the start of their interval.
type repeatCount struct {
	since   time.Time
	written int
	leftOut int
}

// repeatLimiter limits how often a sentence is written about the same subject.
type repeatLimiter struct {
	mu sync.Mutex
	// seen is keyed by the part's prefix, the sentence and the subject.
	seen map[string]*repeatCount
}

// allow reports whether a line may be written, and how many with the same key were left out in the
// interval before. The key is the sentence with its subject.
func (r *repeatLimiter) allow(key string, now time.Time) (leftOut int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.seen[key]
	if count == nil {
		if len(r.seen) >= maxRepeats {
			clear(r.seen)
		}
		count = &repeatCount{since: now}
		r.seen[key] = count
	}
	if now.Sub(count.since) >= repeatInterval {
		leftOut = count.leftOut
		*count = repeatCount{since: now}
	}
	if count.written >= repeatLimit {
		count.leftOut++
		return 0, false
	}
	count.written++
	return leftOut, true
}
