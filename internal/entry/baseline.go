package entry

import (
	"sync"
	"time"
)

const (
	// baselineInterval is the minimum time between two baselines sent to the same backend server's
	// home daemon. It keeps them small compared with the traffic.
	baselineInterval = time.Second
	// maxBaselineBackends bounds the memory for the times of the last baselines. If there are more
	// backend servers, their home daemons get baselines more often.
	maxBaselineBackends = 4096
)

// baselineSchedule holds when the last baseline was sent for each backend server. It is safe for
// concurrent use.
type baselineSchedule struct {
	mu   sync.Mutex
	sent map[string]time.Time
}

// due reports whether a baseline for the backend server may be sent now. If so, it records now as
// the time of the last one.
func (b *baselineSchedule) due(now time.Time, backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.sent[backend]) < baselineInterval {
		return false
	}
	if b.sent == nil || len(b.sent) >= maxBaselineBackends {
		b.sent = map[string]time.Time{}
	}
	b.sent[backend] = now
	return true
}
