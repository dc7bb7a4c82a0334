package keylease

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Clock returns the time since a fixed moment, always above 0. It neither stands still while the
// machine is suspended nor jumps.
type Clock func() time.Duration

// rateMargin gives the part of a duration by which two clocks may differ: 1 / rateMargin. Each may be
// wrong by half of that, ten times as much as the usual daemons slew a clock.
const rateMargin = 100

// Shorten returns a duration that has passed on every clock while d passed on one of them.
func Shorten(d time.Duration) time.Duration { return d - d.Abs()/rateMargin }

// maxPending bounds the confirmations that wait for their configuration to come into force.
const maxPending = 16

// never is the age of a confirmation that there has not been.
const never = time.Duration(math.MaxInt64)

// Confirmation says that every configuration that the store acknowledged before At has at most the
// version Configuration. At is a reading of the daemon's own clock. The zero value says nothing.
type Confirmation struct {
	At            time.Duration
	Configuration uint64
}

// Lease is the trust of one daemon in the keys of its configuration. It is safe for concurrent use.
type Lease struct {
	clock   Clock
	limit   time.Duration
	inForce func() uint64

	// confirmed is latest.At. It is 0 before the first confirmation.
	confirmed atomic.Int64

	mu     sync.Mutex
	latest Confirmation
	// pending are confirmations of configurations that are not in force yet, one for each version,
	// in the order of the versions.
	pending []Confirmation
}

// New returns a Lease that lasts for limit from the moment of a confirmation, by any clock. inForce
// returns the version of the configuration in force, 0 before there is one. It must not decrease.
func New(clock Clock, limit time.Duration, inForce func() uint64) *Lease {
	return &Lease{clock: clock, limit: Shorten(limit), inForce: inForce}
}

// Now returns the reading of the clock.
func (l *Lease) Now() time.Duration { return l.clock() }

// Offer takes a confirmation. It counts once its configuration is in force.
func (l *Lease) Offer(c Confirmation) {
	// A moment in the future shows that a clock cannot be relied on.
	if c.At <= 0 || c.At > l.clock() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.At > l.latest.At {
		l.addPending(c)
	}
	l.adopt()
}

// addPending keeps a confirmation until its configuration is in force. If there are too many, those
// of the latest versions are dropped, as the others come into force first. The caller holds mu.
func (l *Lease) addPending(c Confirmation) {
	i, found := slices.BinarySearchFunc(l.pending, c.Configuration, func(p Confirmation, version uint64) int {
		return cmp.Compare(p.Configuration, version)
	})
	if found {
		l.pending[i].At = max(l.pending[i].At, c.At)
		return
	}
	l.pending = slices.Insert(l.pending, i, c)
	if len(l.pending) > maxPending {
		l.pending = l.pending[:maxPending]
	}
}

// Adopt makes confirmations count whose configuration has come into force.
func (l *Lease) Adopt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopt()
}

// adopt is Adopt for callers that hold mu.
func (l *Lease) adopt() {
	version := l.inForce()
	count := 0
	for _, c := range l.pending {
		if c.Configuration > version {
			break
		}
		count++
		if c.At > l.latest.At {
			l.latest = c
			l.confirmed.Store(int64(c.At))
		}
	}
	l.pending = slices.Delete(l.pending, 0, count)
}

// Latest returns the confirmation that counts, to be passed on.
func (l *Lease) Latest() Confirmation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// Age returns the time since the moment of the confirmation that counts, or the longest duration
// before there is one.
func (l *Lease) Age() time.Duration {
	confirmed := time.Duration(l.confirmed.Load())
	if confirmed == 0 {
		return never
	}
	return max(l.clock()-confirmed, 0)
}

// Confirmed reports whether there has been a confirmation.
func (l *Lease) Confirmed() bool { return l.confirmed.Load() != 0 }

// Fresh reports whether the keys of the configuration in force may be trusted. A snapshot of the
// configuration must be taken after the call, not before.
func (l *Lease) Fresh() bool {
	confirmed := time.Duration(l.confirmed.Load())
	age := l.clock() - confirmed
	return confirmed != 0 && age >= 0 && age < l.limit
}
