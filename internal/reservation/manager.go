package reservation

import "time"

// Times of the protocol.
const (
	// Lease is how long a reservation lasts.
	Lease = 3 * time.Second
	// ClockMargin is the share of Lease by which the rates of clocks may be off: the requester counts this much less, the
	// grantor this much more.
	ClockMargin = Lease / 100
	// RenewEvery is the time between requests for a reservation that is held.
	RenewEvery = time.Second
	// ReplyTimeout is when a request without a reply counts as silence. It covers the round trip between regions (40 ms)
	// and a short pause at both ends. A reply that comes later still counts.
	ReplyTimeout = 200 * time.Millisecond
	// LateTick is the time between two Ticks above which the process counts as suspended.
	LateTick = time.Second
	// maxClockJump is how far wall clock and monotonic clock may diverge between two calls. Slewing moves 0.5 ms a second,
	// and time daemons step the clock from 128 ms on.
	maxClockJump = 50 * time.Millisecond
	// maxRefusalBackoff bounds the time between requests to a sibling that refuses.
	maxRefusalBackoff = 4 * time.Second
	// MaxBatch bounds the reservations in one message.
	MaxBatch = 64
)

// Condition is what the home knows of one of its backend servers.
type Condition uint8

// The conditions. Only an Active backend server grants reservations.
const (
	Warming Condition = iota
	Active
	Suspect
	// Out covers ejected and probing.
	Out
	Ramping
	Leaving
)

// local is a backend server of this daemon's VM.
type local struct {
	service   *Service
	condition Condition
	firstSeen time.Time
	want      *want
}

// Manager holds both sides of one daemon: what it granted and what it holds. It is not safe for concurrent use.
type Manager struct {
	vm       string
	base     time.Time
	latest   time.Time
	lastTick time.Time
	// latestSkew is the skew at latest.
	latestSkew time.Duration
	locals     map[string]*local
	// order lists the local backend servers by name, so that decisions don't depend on the order of the map.
	order []string
	// granted outlives the configuration that it was granted under.
	granted map[string]time.Time
	// renewable holds the expiry per grantor and requester.
	renewable   map[pair]time.Time
	nextMessage uint64
	outstanding map[uint64]outstanding
	drops       uint64
	// wall returns the wall clock's part of a time.
	wall func(time.Time) time.Time
}

// New returns the Manager of the daemon on a VM. now is the start of the process, from which the wait after a restart
// counts.
func New(vm string, now time.Time) *Manager {
	return &Manager{
		vm:          vm,
		base:        now,
		latest:      now,
		lastTick:    now,
		locals:      map[string]*local{},
		granted:     map[string]time.Time{},
		renewable:   map[pair]time.Time{},
		outstanding: map[uint64]outstanding{},
		wall:        func(t time.Time) time.Time { return t.Round(0) },
	}
}

// Configure sets the services that have members on this VM. Wishes to leave service continue under the new terms; what
// is held under changed terms lasts until it expires and is not renewed.
func (m *Manager) Configure(now time.Time, services []*Service) {
	now = m.observe(now)
	seen := map[string]bool{}
	m.order = m.order[:0]
	for _, s := range services {
		for _, member := range s.Members {
			if member.VM != m.vm || seen[member.Backend] {
				continue
			}
			seen[member.Backend] = true
			m.order = append(m.order, member.Backend)
			m.configureLocal(now, member.Backend, s)
		}
	}
	for id := range m.locals {
		if !seen[id] {
			delete(m.locals, id)
		}
	}
}

func (m *Manager) configureLocal(now time.Time, backend string, s *Service) {
	l := m.locals[backend]
	if l == nil {
		m.locals[backend] = &local{service: s, firstSeen: now}
		return
	}
	old := l.service
	l.service = s
	if l.want == nil || old.Name == s.Name && old.Revision == s.Revision {
		return
	}
	renewed := newWant(backend, s, l.want.since)
	if old.Name == s.Name {
		renewed.carried = hold{until: l.want.outUntil(m.skew(now), now), skew: m.skew(now)}
	}
	l.want = renewed
}

// SetCondition records the condition of a local backend server. It starts as Warming.
func (m *Manager) SetCondition(now time.Time, backend string, c Condition) {
	m.observe(now)
	if l := m.locals[backend]; l != nil {
		l.condition = c
	}
}

// observe takes note of the time and drops what is held when the clocks or the last Tick show that the process was
// suspended. It returns a time that never goes back.
func (m *Manager) observe(now time.Time) time.Time {
	if now.Before(m.latest) {
		now = m.latest
	}
	skew := m.skew(now)
	jump := skew - m.latestSkew
	m.latestSkew = skew
	if jump.Abs() > maxClockJump || now.Sub(m.lastTick) > LateTick {
		m.dropHeld()
		// The next late Tick counts from here.
		m.lastTick = now
	}
	m.latest = now
	return now
}

// skew returns how much more time has passed on the wall clock than on the monotonic clock since the start.
func (m *Manager) skew(now time.Time) time.Duration {
	return m.wall(now).Sub(m.wall(m.base)) - now.Sub(m.base)
}

func (m *Manager) dropHeld() {
	dropped := len(m.outstanding) > 0
	clear(m.outstanding)
	for _, l := range m.locals {
		if l.want != nil {
			dropped = true
			l.want = newWant(l.want.backend, l.service, l.want.since)
		}
	}
	if dropped {
		m.drops++
	}
}
