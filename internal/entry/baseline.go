package entry

import (
	"sync"
	"time"
)

const (
	// baselineEvery is the least time between two baselines to the same backend server, so that they stay small against data.
	baselineEvery = time.Second
	// maxBaselineTimes bounds the memory of when each backend server got one. More than that get it more often.
	maxBaselineTimes = 4096
)

// baselineTimes remembers when each backend server was sent a baseline.
type baselineTimes struct {
	mu   sync.Mutex
	sent map[string]time.Time
}

// due reports whether a baseline may be sent now, and notes that it is.
func (b *baselineTimes) due(now time.Time, backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.sent[backend]) < baselineEvery {
		return false
	}
	if b.sent == nil || len(b.sent) >= maxBaselineTimes {
		b.sent = map[string]time.Time{}
	}
	b.sent[backend] = now
	return true
}
