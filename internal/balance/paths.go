package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// minPathsForMajority is the number of known paths below which a majority of open breakers says
// nothing about the entry itself.
const minPathsForMajority = 3

// pathBreakers holds one circuit breaker per VM. It is safe for concurrent use.
type pathBreakers struct {
	mu     sync.Mutex
	byVM   map[string]*breaker
	random *rand.Rand
	// known counts the paths that had a result, open those whose breaker is open.
	open  atomic.Int64
	known atomic.Int64
}

// get returns the breaker of a VM and creates it when there is none.
func (p *pathBreakers) get(now time.Time, vm string) *breaker {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byVM[vm]
	if b == nil {
		b = &breaker{lastUsed: now}
		p.byVM[vm] = b
	}
	return b
}

// mostOpen reports whether most known paths are open. The likely cause is then the entry's own
// network, and avoiding the paths would leave nothing to choose from.
func (p *pathBreakers) mostOpen() bool {
	known := p.known.Load()
	return known >= minPathsForMajority && 2*p.open.Load() > known
}

func (p *pathBreakers) addCounts(c countDelta) {
	if c.known != 0 {
		p.known.Add(c.known)
	}
	if c.open != 0 {
		p.open.Add(c.open)
	}
}

func (p *pathBreakers) recordSuccess(b *breaker, now, started time.Time) {
	p.addCounts(b.recordSuccess(now, started))
}

func (p *pathBreakers) recordFailure(b *breaker, now, started time.Time) {
	p.mu.Lock()
	jitter := p.random.Float64()
	p.mu.Unlock()
	p.addCounts(b.recordFailure(now, started, jitter))
}

func (p *pathBreakers) recordNoReply(b *breaker, now, started time.Time) {
	p.mu.Lock()
	jitter := p.random.Float64()
	p.mu.Unlock()
	p.addCounts(b.recordNoReply(now, started, jitter))
}

// expire removes idle breakers, except those in inUse.
func (p *pathBreakers) expire(now time.Time, inUse map[*breaker]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, b := range p.byVM {
		if inUse[b] {
			continue
		}
		if c, removed := b.removeIfIdle(now); removed {
			delete(p.byVM, vm)
			p.addCounts(c)
		}
	}
}
