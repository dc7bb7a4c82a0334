package reservation

import "time"

// Times and limits of the protocol.
const (
	// Lease is how long a reservation lasts.
	Lease = 3 * time.Second
	// ClockMargin is the tolerance for the rates of clocks, as a part of Lease. The requester
	// counts this much less than Lease, and the grantor this much more.
	ClockMargin = Lease / 100
	// RenewInterval is the time between requests for a reservation that is held.
	RenewInterval = time.Second
	// ReplyTimeout is the time after which a request counts as unanswered. It covers the round trip
	// between regions (40 ms) and a short pause at both ends. A later reply is still used.
	ReplyTimeout = 200 * time.Millisecond
	// MaxTickGap is the time between two Ticks above which the process counts as suspended.
	MaxTickGap = time.Second
	// maxClockJump is how far the wall clock and the monotonic clock may diverge between two calls.
	// Slewing moves a clock by 0.5 ms a second, and time daemons step it from 128 ms on.
	maxClockJump = 50 * time.Millisecond
	// maxRefusalBackoff bounds the time between requests to a sibling that refuses.
	maxRefusalBackoff = 4 * time.Second
	// MaxBatch bounds the reservations in one message.
	MaxBatch = 64
)

// Condition is the state of a backend server as far as it matters for reservations. The home sets
// it.
type Condition uint8

// The conditions. Only an Active backend server grants new reservations.
const (
	Warming Condition = iota
	Active
	Suspect
	// Out covers the modes ejected and probing.
	Out
	Ramping
	Leaving
)

// local is a backend server of this daemon's VM.
type local struct {
	service    *Service
	condition  Condition
	firstSeen  time.Time
	outRequest *outRequest
}

// Manager is both the grantor and the requester of one daemon. It keeps the reservations that the
// daemon granted and those that it holds. It is not safe for concurrent use.
type Manager struct {
	vm         string
	start      time.Time
	latestTime time.Time
	lastTick   time.Time
	// latestSkew is clockSkew at latestTime.
	latestSkew time.Duration
	locals     map[string]*local
	// localOrder lists the IDs of the local backend servers in the order of the configuration, so
	// that decisions do not depend on the order of the map.
	localOrder []string
	// grantedUntil has the latest expiry per grantor. It is kept through changes of configuration.
	grantedUntil map[string]time.Time
	// renewableUntil has the latest expiry per grantor and requester.
	renewableUntil  map[grantKey]time.Time
	nextMessage     uint64
	outstanding     map[uint64]sentMessage
	suspensionDrops uint64
	// wallClock returns the wall clock reading of a time, and is replaced in tests.
	wallClock func(time.Time) time.Time
}

// New returns the Manager of the daemon on a VM. now is the start of the process, from which the
// wait after a restart counts.
func New(vm string, now time.Time) *Manager {
	return &Manager{
		vm:             vm,
		start:          now,
		latestTime:     now,
		lastTick:       now,
		locals:         map[string]*local{},
		grantedUntil:   map[string]time.Time{},
		renewableUntil: map[grantKey]time.Time{},
		outstanding:    map[uint64]sentMessage{},
		wallClock:      func(t time.Time) time.Time { return t.Round(0) },
	}
}

// Configure sets the services that have members on this VM. Requests to leave service continue
// under changed terms. What is held under the old terms is used until it expires and is not
// renewed.
func (m *Manager) Configure(now time.Time, services []*Service) {
	now = m.observeTime(now)
	seen := map[string]bool{}
	m.localOrder = m.localOrder[:0]
	for _, s := range services {
		for _, member := range s.Members {
			if member.VM != m.vm || seen[member.Backend] {
				continue
			}
			seen[member.Backend] = true
			m.localOrder = append(m.localOrder, member.Backend)
			m.configureLocal(now, member.Backend, s)
		}
	}
	for id := range m.locals {
		if !seen[id] {
			delete(m.locals, id)
		}
	}
}

// configureLocal adds a local backend server or applies changed terms to it.
func (m *Manager) configureLocal(now time.Time, backend string, s *Service) {
	l := m.locals[backend]
	if l == nil {
		m.locals[backend] = &local{service: s, firstSeen: now}
		return
	}
	old := l.service
	l.service = s
	if l.outRequest == nil || old.Name == s.Name && old.Revision == s.Revision {
		return
	}
	renewed := newOutRequest(backend, s, l.outRequest.since)
	if old.Name == s.Name {
		renewed.carriedOver = heldReservation{until: l.outRequest.outUntil(m.clockSkew(now), now), skewAtSend: m.clockSkew(now)}
	}
	l.outRequest = renewed
}

// SetCondition sets the condition of a local backend server, which is Warming at first.
func (m *Manager) SetCondition(now time.Time, backend string, c Condition) {
	m.observeTime(now)
	if l := m.locals[backend]; l != nil {
		l.condition = c
	}
}

// observeTime records the time. It drops the held reservations when the clocks or the last Tick
// show that the process was suspended. It returns a time that never goes back.
func (m *Manager) observeTime(now time.Time) time.Time {
	if now.Before(m.latestTime) {
		now = m.latestTime
	}
	skew := m.clockSkew(now)
	jump := skew - m.latestSkew
	m.latestSkew = skew
	if jump.Abs() > maxClockJump || now.Sub(m.lastTick) > MaxTickGap {
		m.dropHeldReservations()
		// The next late Tick counts from here.
		m.lastTick = now
	}
	m.latestTime = now
	return now
}

// clockSkew returns how much more time has passed since the start on the wall clock than on the
// monotonic clock.
func (m *Manager) clockSkew(now time.Time) time.Duration {
	return m.wallClock(now).Sub(m.wallClock(m.start)) - now.Sub(m.start)
}

// dropHeldReservations drops what is held, and the messages without a reply. The requests to leave
// service start again.
func (m *Manager) dropHeldReservations() {
	dropped := len(m.outstanding) > 0
	clear(m.outstanding)
	for _, l := range m.locals {
		if l.outRequest != nil {
			dropped = true
			l.outRequest = newOutRequest(l.outRequest.backend, l.service, l.outRequest.since)
		}
	}
	if dropped {
		m.suspensionDrops++
	}
}
