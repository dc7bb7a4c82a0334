package keylease

import (
	"sync"
	"time"
)

const (
	// PingInterval is the time between two pings of a daemon that is followed. A longer one costs
	// less, and makes confirmations older by a part of it, for the rates of the clocks.
	PingInterval = 5 * time.Second
	// keptPings is the number of pings that are used. One that was delayed on its way would make
	// confirmations older if it were the only one.
	keptPings = 4
	// maxPingAge is the time for which a ping is used.
	maxPingAge = time.Minute
)

// Ping is an answered ping: the own clock read Sent before another daemon's clock read Received.
type Ping struct {
	Sent, Received time.Duration
	// Answered is the reading of the own clock when the answer had arrived.
	Answered time.Duration
	// Clock identifies the clock of the other daemon. It differs after a restart.
	Clock uint64
}

// Pings are the latest pings of one other daemon. It is safe for concurrent use.
type Pings struct {
	mu     sync.Mutex
	recent []Ping
}

// Add takes an answered ping. Pings of another clock are forgotten, and so are those that cannot be
// right because a clock stood still or jumped since.
func (p *Pings) Add(ping Ping) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.recent[:0]
	for _, before := range p.recent {
		// The answer was sent at the reading Received of the other clock or later.
		if before.Clock == ping.Clock && before.localize(ping.Received) <= ping.Answered {
			kept = append(kept, before)
		}
	}
	p.recent = append(kept, ping)
	if excess := len(p.recent) - keptPings; excess > 0 {
		p.recent = append(p.recent[:0], p.recent[excess:]...)
	}
}

// Localize returns a moment of the own clock that is not later than the moment at which the other
// daemon's clock read at. It returns false if there is no ping to tell it from. now is the reading of
// the own clock.
func (p *Pings) Localize(now time.Duration, clock uint64, at time.Duration) (local time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ping := range p.recent {
		if ping.Clock != clock || now-ping.Sent > maxPingAge {
			continue
		}
		if l := ping.localize(at); !ok || l > local {
			local, ok = l, true
		}
	}
	return local, ok && local <= now
}

// localize converts a reading of the other daemon's clock with this ping alone.
func (p *Ping) localize(at time.Duration) time.Duration { return p.Sent + Shorten(at-p.Received) }
