package feed

import (
	"sync"
	"time"
)

const (
	// transferShare is the share of the VM's link that transfers of the configuration may use. The
	// rest is for requests of callers, changes of registrations and status.
	transferShare = 0.5
	// maxTransferQueue bounds the wait for the transfers before. A daemon that would have to wait
	// longer is refused, and asks another one.
	maxTransferQueue = 250 * time.Millisecond
)

// pacer spreads transfers over time, so that the link of the VM stays free for what is urgent. It is
// safe for concurrent use.
type pacer struct {
	// bytesPerSecond is the rate of transfers. 0 means unlimited.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is the end of the last transfer that was admitted.
	freeAt time.Time
}

// reserve admits a transfer and returns the time until it may begin, or false if it would have to
// wait for too long.
func (p *pacer) reserve(now time.Time, bytes int) (wait time.Duration, ok bool) {
	if p.bytesPerSecond <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	begin := p.freeAt
	if begin.Before(now) {
		begin = now
	}
	wait = begin.Sub(now)
	if wait > maxTransferQueue {
		return 0, false
	}
	p.freeAt = begin.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	return wait, true
}
