package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// service is the state that one entry has of one service.
type service struct {
	mu       sync.Mutex
	config   *catalog.Service
	members  []*member
	random   *rand.Rand
	lastUsed time.Time
	// excludeAvoided is Options.ExcludeAvoided.
	excludeAvoided bool
	// hasSubset is set if the entry prefers some of the members.
	hasSubset bool
	// latency is the mean latency of all members in seconds. It is the prior for each member.
	latency decayingMean

	// views and candidates are scratch space of choose. views has one element per member, and
	// candidates holds indexes of members.
	views      []memberView
	candidates []int

	baseline   Baseline
	baselineAt time.Time
}

// reconfigure applies a changed configuration. It keeps the state of the backend servers that
// remain on the same VM.
func (s *service) reconfigure(now time.Time, b *Balancer, config *catalog.Service) {
	old := make(map[string]*member, len(s.members))
	for _, m := range s.members {
		old[m.backend.ID] = m
	}
	s.config = config
	s.members = make([]*member, 0, len(config.BackendServers))
	for _, backend := range config.BackendServers {
		m := old[backend.ID]
		if m == nil || m.backend.VM.ID != backend.VM.ID {
			m = &member{}
		}
		m.backend = backend
		m.path = b.paths.get(now, backend.VM.ID)
		m.tier, m.loadTTL = tierOf(b.locality, backend.VM.Locality), b.loadTTL
		m.inOwnDataCentre, m.onOwnVM = m.tier == ownDataCentre, backend.VM.ID == b.vm
		if b.regionWide && m.tier == ownDataCentre {
			m.tier = ownRegion
		}
		s.members = append(s.members, m)
	}
	s.assignSubset(b.vm, b.subsetSize)
	s.views = make([]memberView, len(s.members))
	s.candidates = make([]int, 0, len(s.members))
}

// inFlight returns the number of this entry's requests in flight.
func (s *service) inFlight() int {
	n := 0
	for _, m := range s.members {
		n += m.ownInFlight
	}
	return n
}

func (s *service) memberByID(backend string) *member {
	for _, m := range s.members {
		if m.backend.ID == backend {
			return m
		}
	}
	return nil
}

// skipReason is why a member is no candidate.
type skipReason uint8

const (
	notSkipped skipReason = iota
	outByHome
	draining
	pathFailed
	unreachable
)

// String returns the reason as Explain and the operators' tools show it.
func (r skipReason) String() string {
	return [...]string{"", "ejected by its home", "draining", "path fails", "not reachable from its home"}[r]
}

// memberView is the state of one member at one instant.
type memberView struct {
	reason     skipReason
	since      time.Time
	readmitted bool
	trial      bool
	// hasCapacity is set when the load is below the capacity. atHardLimit is set when the load has
	// reached a capacity that must not be exceeded.
	hasCapacity bool
	atHardLimit bool
	// heldBack is set when the home recently held requests back.
	heldBack bool
}

// avoided reports whether the member should be avoided for a reason that the floor limits. Draining
// is no such reason.
func (v *memberView) avoided() bool {
	return v.reason == outByHome || v.reason == pathFailed || v.reason == unreachable
}

// refreshViews updates the views of all members. Unless excludeAvoided is set, it readmits as many
// avoided members as the floor requires.
func (s *service) refreshViews(now time.Time, mostPathsOpen bool) {
	avoided := 0
	for i, m := range s.members {
		v := memberView{}
		path := m.path.state(now)
		switch mode := m.currentMode(now); {
		case mode == Draining:
			v.reason, v.since = draining, m.outSince
		case mode.isOut():
			v.reason, v.since = outByHome, m.outSince
		case path == pathOpen && !mostPathsOpen:
			v.reason, v.since = pathFailed, m.path.openSince()
		case m.isUnreachable(now):
			v.reason, v.since = unreachable, m.unreachableAt
		}
		v.trial = path == pathHalfOpen && !mostPathsOpen
		slots, hard := m.capacity(now)
		v.hasCapacity = m.load(now) < slots
		v.atHardLimit = hard && !v.hasCapacity
		v.heldBack = now.Before(m.heldBackUntil)
		if v.avoided() {
			avoided++
		}
		s.views[i] = v
	}
	if s.excludeAvoided {
		return
	}
	// Readmit the members that have been avoided longest, because their state is the oldest.
	// Draining members stay excluded: their homes refuse all requests.
	for excess := avoided - max(0, len(s.members)-s.config.Floor); excess > 0; excess-- {
		oldest := -1
		for i := range s.views {
			v := &s.views[i]
			if v.readmitted || !v.avoided() {
				continue
			}
			if oldest < 0 || v.since.Before(s.views[oldest].since) {
				oldest = i
			}
		}
		s.views[oldest].readmitted = true
	}
}

// selection is the result of choose. Its member is nil when none could be chosen.
type selection struct {
	member     *member
	readmitted bool
	trial      bool
	// allAtLimit is set when there are candidates, but all are at a hard limit.
	allAtLimit bool
}

// choose selects a member in this order:
//
//   - For a request with a large body or response, one with free capacity on the own VM, then in the
//     own data centre.
//   - One with free capacity in the nearest tier that has one. A large request skips the other
//     region in this step.
//   - One of the own region without free capacity, whose home may queue the request.
//   - For a large request that may spill, one with free capacity in the other region.
//   - For a request that may spill, one of the other region without free capacity. This needs that
//     the own region has no candidates, including the ones already tried. Otherwise the request to
//     a full backend server would cost more on the narrow link between regions than it gains.
//
// Each step takes a preferred member if there is one.
func (s *service) choose(now time.Time, r PickRequest, mostPathsOpen bool) selection {
	s.refreshViews(now, mostPathsOpen)
	for i := range s.views {
		v := &s.views[i]
		v.heldBack = v.heldBack && !r.Insist
		v.atHardLimit = v.atHardLimit && !r.Queue
		v.readmitted = v.readmitted || s.excludeAvoided && r.Insist && v.avoided()
	}
	if r.Only != "" {
		s.collectCandidates(nil, func(m *member, v *memberView) bool { return m.backend.ID == r.Only && !v.atHardLimit })
		return s.takeBetter(now)
	}
	farthest := ownRegion
	if r.Spill {
		farthest = otherRegion
	}
	if r.Large {
		if c := s.chooseNear(now, r); c.member != nil {
			return c
		}
	}
	chooseWithCapacity := func(t tier) selection {
		return s.chooseWhere(now, r.Exclude, func(m *member, v *memberView) bool { return m.tier == t && v.hasCapacity })
	}
	for t := ownDataCentre; t <= farthest && !(r.Large && t == otherRegion); t++ {
		if c := chooseWithCapacity(t); c.member != nil {
			return c
		}
	}
	inOwnRegion := func(m *member, v *memberView) bool { return m.tier <= ownRegion && !v.atHardLimit }
	if c := s.chooseWhere(now, r.Exclude, inOwnRegion); c.member != nil {
		return c
	}
	if r.Spill && r.Large {
		if c := chooseWithCapacity(otherRegion); c.member != nil {
			return c
		}
	}
	if s.collectCandidates(nil, inOwnRegion); r.Spill && len(s.candidates) == 0 {
		c := s.chooseWhere(now, r.Exclude, func(m *member, v *memberView) bool { return m.tier == otherRegion && !v.atHardLimit })
		if c.member != nil {
			return c
		}
	}
	s.collectCandidates(r.Exclude, func(m *member, _ *memberView) bool { return m.tier <= farthest })
	return selection{allAtLimit: len(s.candidates) > 0}
}

// chooseNear selects a member with free capacity on the own VM or else in the own data centre.
func (s *service) chooseNear(now time.Time, r PickRequest) selection {
	s.collectCandidates(r.Exclude, func(m *member, v *memberView) bool { return m.onOwnVM && v.hasCapacity })
	if len(s.candidates) > 0 {
		return s.takeBetter(now)
	}
	return s.chooseWhere(now, r.Exclude, func(m *member, v *memberView) bool { return m.inOwnDataCentre && v.hasCapacity })
}

// chooseWhere selects one of the members that condition accepts, a preferred one if possible.
func (s *service) chooseWhere(now time.Time, exclude []string, condition func(*member, *memberView) bool) selection {
	if s.hasSubset {
		s.collectCandidates(exclude, func(m *member, v *memberView) bool { return m.preferred && condition(m, v) })
		if c := s.takeBetter(now); c.member != nil {
			return c
		}
	}
	s.collectCandidates(exclude, condition)
	return s.takeBetter(now)
}

// hasCandidate reports whether choose could select a member.
func (s *service) hasCandidate(now time.Time, r PickRequest, mostPathsOpen bool) bool {
	s.refreshViews(now, mostPathsOpen)
	s.collectCandidates(r.Exclude, func(m *member, v *memberView) bool {
		return (m.tier <= ownRegion || r.Spill) && !v.atHardLimit
	})
	return len(s.candidates) > 0
}

// collectCandidates sets s.candidates to the members that are usable, not excluded by ID, and
// accepted by condition.
func (s *service) collectCandidates(exclude []string, condition func(*member, *memberView) bool) {
	s.candidates = s.candidates[:0]
	for i, m := range s.members {
		v := &s.views[i]
		if (v.reason == notSkipped || v.readmitted) && !v.heldBack && condition(m, v) && !slices.Contains(exclude, m.backend.ID) {
			s.candidates = append(s.candidates, i)
		}
	}
}

// takeBetter draws two random members of s.candidates and takes the better one. If that one is on a
// half-open path whose trial is taken, it takes the next in s.candidates. Without any, the member
// is nil.
func (s *service) takeBetter(now time.Time) selection {
	n := len(s.candidates)
	if n == 0 {
		return selection{}
	}
	exploring := s.random.IntN(exploreEvery) == 0
	first := s.firstDraw(exploring)
	s.candidates[0], s.candidates[first] = s.candidates[first], s.candidates[0]
	if n > 1 {
		second := 1 + s.random.IntN(n-1)
		s.candidates[1], s.candidates[second] = s.candidates[second], s.candidates[1]
		if s.prefersSecond(now, s.members[s.candidates[0]], s.members[s.candidates[1]], exploring) {
			s.candidates[0], s.candidates[1] = s.candidates[1], s.candidates[0]
		}
	}
	for _, i := range s.candidates {
		m, v := s.members[i], &s.views[i]
		if v.trial && !m.path.claimTrial(now) {
			continue
		}
		return selection{member: m, readmitted: v.readmitted, trial: v.trial}
	}
	return selection{}
}

// firstDraw returns the index in s.candidates of the first random draw. It prefers members in the
// own data centre, unless the choice is an exploring one. The second draw is from all candidates
// and must be better to be taken, so that requests stay in the data centre when loads are equal.
func (s *service) firstDraw(exploring bool) int {
	if exploring {
		return s.random.IntN(len(s.candidates))
	}
	nearCount := 0
	for i, pick := range s.candidates {
		if s.members[pick].inOwnDataCentre {
			s.candidates[nearCount], s.candidates[i] = s.candidates[i], s.candidates[nearCount]
			nearCount++
		}
	}
	if nearCount == 0 {
		nearCount = len(s.candidates)
	}
	return s.random.IntN(nearCount)
}

// exploreEvery is the number of choices of which one, on average, is made at random and without a
// comparison. Otherwise a slow backend server would get no requests at light load, and its home
// would have no evidence to eject it or to notice its recovery.
const exploreEvery = 4

// scoreMargin is the factor on the first score below which the second draw is taken. Without it,
// differences of a few per cent would decide every comparison. They only reflect how recently a
// mean was updated, and the backend server with the most requests would get still more.
const scoreMargin = 0.9

// prefersSecond reports whether the second of two draws is the better one. A suspect loses half of
// its comparisons outright. This lowers its share of the requests, but still gives it those that
// confirm or clear the suspicion.
func (s *service) prefersSecond(now time.Time, first, second *member, exploring bool) bool {
	if firstHeldBack, secondHeldBack := now.Before(first.heldBackUntil), now.Before(second.heldBackUntil); firstHeldBack != secondHeldBack {
		return firstHeldBack
	} else if firstHeldBack {
		// Only requests that insist get here. The member least likely to have a gray failure is
		// better.
		return second.state.Gray < first.state.Gray
	}
	firstSuspect, secondSuspect := first.currentMode(now) == Suspect, second.currentMode(now) == Suspect
	if firstSuspect != secondSuspect && s.random.IntN(2) == 0 {
		return firstSuspect
	}
	if !firstSuspect && exploring {
		return false
	}
	prior := s.prior(now)
	return second.score(now, prior) < scoreMargin*first.score(now, prior)
}

// prior returns the mean latency of the service in seconds, or one millisecond when it is unknown.
func (s *service) prior(now time.Time) float64 {
	s.latency.decay(now, latencyTimeConstant)
	return s.latency.mean(1e-3)
}
