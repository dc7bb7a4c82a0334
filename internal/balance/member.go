package balance

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// Times and weights of the state of a backend server.
const (
	// stateTTL is how long in-flight counts, and modes without a remaining time, are used.
	stateTTL = 2 * time.Second
	// drainAvoidTime is how long a draining backend server without a remaining time is skipped.
	drainAvoidTime = 30 * time.Second
	// latencyTimeConstant is the decay time constant of latencies. Load changes within seconds, so
	// older values mislead.
	latencyTimeConstant = 5 * time.Second
	// priorWeight is the number of requests that the mean latency of the service counts as, when it
	// is combined with the mean of one backend server.
	priorWeight = 0.5
	// failureLatencyFactor is the latency that a failed request counts as, in multiples of the mean
	// of the service. Without it a backend server that fails fast would look like the best one.
	failureLatencyFactor = 4
	// heldBackTime is how long a backend server is skipped after its home held a request back. Up
	// to heldBackTimeGray is added, in proportion to the probability of a gray failure: gray
	// periods last seconds.
	heldBackTime     = 200 * time.Millisecond
	heldBackTimeGray = 800 * time.Millisecond
	// unreachableAvoidTime is how long a backend server is avoided after its home could not connect
	// to it. Each refusal costs a retry. Where a data centre has few backend servers, a latency
	// penalty alone would choose a dead one again and again until the retry budget is empty.
	unreachableAvoidTime = time.Second
	// errorTimeConstant is the decay time constant of the error share.
	errorTimeConstant = 30 * time.Second
	// idleExpiry is the time without traffic after which state is dropped.
	idleExpiry = 5 * time.Minute
)

// tier is the distance between the entry and a backend server. Lower tiers are nearer.
type tier uint8

const (
	ownDataCentre tier = iota
	ownRegion
	otherRegion
)

// String returns the name that Explain shows.
func (t tier) String() string {
	return [...]string{"own data centre", "own region", "other region"}[t]
}

// tierOf returns the tier of a backend server at other for an entry at own. An unknown locality
// counts as the own region, because the value that defines it may arrive later than the service.
func tierOf(own, other catalog.Locality) tier {
	switch {
	case other.DataCentre == "" || own.DataCentre == "":
		return ownRegion
	case own.DataCentre == other.DataCentre:
		return ownDataCentre
	case own.Region == other.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

// member is the state that one entry has of one backend server.
//
// It is driven by the state that the home sends. A mode in which the home refuses all work sets
// returning. While that mode lasts, the member is skipped. When its time is over without newer
// state, one request at a time is sent. The next state with another mode clears returning.
type member struct {
	backend *catalog.BackendServer
	path    *breaker
	tier    tier
	// inOwnDataCentre and onOwnVM are independent of Options.RegionWide, which makes tier ownRegion
	// there.
	inOwnDataCentre, onOwnVM bool
	// preferred is set if the member belongs to the subset of the entry. rank is its place in the
	// entry's order, 0 until it is needed.
	preferred bool
	rank      uint64

	ownInFlight     int
	state           State
	stateReceivedAt time.Time
	hasState        bool
	// othersInFlight is the number of requests of other entries that were in flight at
	// othersInFlightAt.
	othersInFlight   int
	othersInFlightAt time.Time
	// loadTTL is how long othersInFlight is used.
	loadTTL time.Duration
	// outSince is when a state first said that the home refuses all work.
	outSince time.Time
	// unreachableAt is when the home last failed to connect to the backend server.
	unreachableAt time.Time
	// heldBackUntil is the time until which the home is expected to hold requests back.
	heldBackUntil time.Time
	// returning is set from a state in which the home refuses all work until one in which it does
	// not.
	returning bool

	latency      decayingMean
	errors       decayingMean
	serviceTimes serviceTimes
}

// currentMode returns the last received mode, or Unknown when it has expired.
func (m *member) currentMode(now time.Time) Mode {
	if !m.hasState {
		return Unknown
	}
	ttl := m.state.Remaining
	if ttl == 0 {
		ttl = stateTTL
		if m.state.Mode == Draining {
			ttl = drainAvoidTime
		}
	}
	if now.Sub(m.stateReceivedAt) >= ttl {
		return Unknown
	}
	return m.state.Mode
}

// isUnreachable reports whether the home recently failed to connect to the backend server.
func (m *member) isUnreachable(now time.Time) bool {
	return !m.unreachableAt.IsZero() && now.Sub(m.unreachableAt) < unreachableAvoidTime
}

// load returns the known number of requests in flight: the entry's own ones, and those of other
// entries according to the latest state while that is recent.
func (m *member) load(now time.Time) int {
	if now.Sub(m.othersInFlightAt) < m.loadTTL {
		return m.ownInFlight + m.othersInFlight
	}
	return m.ownInFlight
}

// capacity returns the number of requests that may be in flight now, and whether that is a hard
// limit.
func (m *member) capacity(now time.Time) (slots int, hard bool) {
	mode := m.currentMode(now)
	switch {
	case mode.isLimited():
		return max(1, min(m.state.Allowed, m.slots())), true
	case m.returning:
		// The time for which the home refuses work is over and there is no newer state. Send one
		// request to find out.
		return 1, true
	default:
		return m.slots(), false
	}
}

// slots returns the concurrency from the latest state, otherwise the configured one.
func (m *member) slots() int {
	if m.hasState && m.state.Slots > 0 {
		return m.state.Slots
	}
	return max(1, m.backend.Slots)
}

// update records a state that the home sent.
func (m *member) update(now time.Time, s State) {
	if s.Mode.isOut() {
		if !m.returning {
			m.outSince = now
		}
		m.returning = true
		// These were measured before the ejection. They describe the failure, not the backend
		// server that returns.
		m.latency, m.errors, m.serviceTimes = decayingMean{}, decayingMean{}, serviceTimes{}
	} else {
		m.returning = false
	}
	m.state, m.stateReceivedAt, m.hasState = s, now, true
	m.othersInFlight, m.othersInFlightAt = max(0, s.InFlight-m.ownInFlight), now
}

// score returns the score of the member; lower is better. prior is the mean latency of the service
// in seconds. The score divides by all slots even when fewer are allowed, because the limit alone
// prevents flooding. Dividing by the allowed slots would starve a backend server that ramps up of
// the requests that prove it healthy, unless all others are nearly full.
func (m *member) score(now time.Time, prior float64) float64 {
	m.latency.decay(now, latencyTimeConstant)
	return float64(m.load(now)+1) * m.latency.meanWithPrior(prior, priorWeight) / float64(m.slots())
}
