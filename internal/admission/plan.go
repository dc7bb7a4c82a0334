package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// probeCount is the number of full homes that a request asks before it waits at the one of them
	// with the shortest wait. With two, the longest queue is little longer than with all, at a
	// fraction of the tries.
	probeCount = 2
	// probeShare is the part of the time left until the goal that a request waits at the first home
	// that would give it a slot in that time. Another home costs a try.
	probeShare = 0.1
	// maxProbeWait bounds that wait.
	maxProbeWait = 300 * time.Millisecond
	// maxStay bounds one wait at a home. An entry that hears nothing by then takes the home daemon for
	// paused, and the request goes elsewhere.
	maxStay = 2 * time.Second
	// stayShare is the part of the time left until the deadline that one wait at a home may take, for
	// the same reason.
	stayShare = 1.0 / 3
	// minStay is the shortest bound of a wait at a home.
	minStay = 50 * time.Millisecond
	// roundInterval is the pause after all homes have refused a request at once. It doubles with each
	// further round up to maxRoundInterval: the queues are full of requests that go first.
	roundInterval    = 60 * time.Millisecond
	maxRoundInterval = 960 * time.Millisecond
	// pauseShare is the part of its remaining time that a request pauses at most.
	pauseShare = 1.0 / 16
	// comeBackShare is the part of its remaining time after which a caller still comes back.
	comeBackShare = 1.0 / 3
	// comeBackSpread is the factor by which the times to come back are spread.
	comeBackSpread = 0.5
	// recoveryTime is when a caller comes back whose request was refused because all servers seem to
	// fail or none can be reached.
	recoveryTime = 700 * time.Millisecond
)

// innerWaitDivisor gives the part of its goal that a request of running work waits for a server that
// does not seem to fail.
const innerWaitDivisor = 2

// lateWaitDivisor gives the part of the time left until its goal that a request waits for a full server
// rather than going to one that may have recovered.
const lateWaitDivisor = 2

// Limits of the probability that a server is gray, up to which a request goes there when no other
// serves it in time. A request that fails there costs one that can be repeated a try, and any other
// one its work.
const (
	maxGrayRepeatable = 0.95
	maxGrayOther      = 0.88
)

// Refusal is why a home refused a request.
type Refusal uint8

// The refusals that a plan tells apart.
const (
	// Full: all slots are in use.
	Full Refusal = iota
	// Suspect: the backend server seems to fail.
	Suspect
	// OtherRefusal is any other one.
	OtherRefusal
)

// Action is what an entry does next for a request.
type Action uint8

// The actions.
const (
	// Try: send it to the next home that the balancer chooses.
	Try Action = iota
	// Stay: send it to the backend server Plan.Backend, to wait there.
	Stay
	// Insist: send it to servers that seem to fail too, up to MaxGray.
	Insist
	// Pause: begin anew after the pause.
	Pause
	// Refuse: answer the caller.
	Refuse
)

// Plan is the course of one request that homes refuse. It is not safe for concurrent use.
//
// A round begins with Try. After probeCount full homes, or when there is no further candidate, the
// request stays at the one that named the shortest wait. If none of them serves it before its
// deadline, or all servers seem to fail, it insists once and is refused. The round after a stay begins
// with Try again.
type Plan struct {
	request Request
	// waitUntil is the end of the wait for servers that seem to fail or cannot be reached.
	waitUntil time.Time
	action    Action
	began     time.Time
	interval  time.Duration
	// full and suspect count the refusals of this round. backend is the full one with the shortest
	// wait.
	full, suspect int
	backend       string
	wait          time.Duration
	// insisted is set once the request insisted in this round.
	insisted bool
	// stayed is when the latest stay began.
	stayed time.Time
}

// NewPlan returns the plan of a request. maxWait bounds how long it waits while no server can be
// tried.
func NewPlan(now time.Time, r Request, maxWait time.Duration) Plan {
	wait := min(maxWait, r.Deadline.Sub(now)/2)
	if r.Inner {
		wait = min(wait, r.Goal.Sub(now)/innerWaitDivisor)
	}
	return Plan{request: r, began: now, interval: roundInterval, waitUntil: now.Add(wait)}
}

// Action returns what to do now.
func (p *Plan) Action() Action { return p.action }

// Backend returns the backend server to stay at, or "".
func (p *Plan) Backend() string {
	if p.action == Stay {
		return p.backend
	}
	return ""
}

// MaxGray returns the probability of being gray up to which a server may get the request when it
// insists, and 0 if it does not insist.
func (p *Plan) MaxGray(canRepeat bool) float64 {
	switch {
	case p.action != Insist:
		return 0
	case canRepeat:
		return maxGrayRepeatable
	default:
		return maxGrayOther
	}
}

// Patience returns how long the request may wait for a slot at the next home, and whether the home
// should refuse it at once if it expects a longer wait.
func (p *Plan) Patience(now time.Time) (wait time.Duration, brief bool) {
	left := p.request.Deadline.Sub(now)
	if p.action == Stay {
		p.stayed = now
		return max(minStay, min(maxStay, time.Duration(stayShare*float64(left)))), false
	}
	// A request that can no longer be in time has no reason to hurry.
	if slack := p.request.Goal.Sub(now); slack > 0 {
		left = min(left, slack)
	}
	return max(minStay, min(maxProbeWait, time.Duration(probeShare*float64(left)))), true
}

// Refused records that a home refused the request, and the wait that it named, 0 if none.
func (p *Plan) Refused(now time.Time, backend string, r Refusal, wait time.Duration) {
	switch r {
	case Full:
		if p.full == 0 || wait < p.wait {
			p.backend, p.wait = backend, wait
		}
		p.full++
	case Suspect:
		p.suspect++
	}
	switch {
	case p.action == Stay:
		p.stayEnded(now, backend, r, wait)
	case p.action == Try && p.full >= probeCount:
		p.settle(now)
	}
}

// stayEnded decides after a stay. A request whose stay was cut short only by its bound stays on: its
// goal and deadline give it its place again.
func (p *Plan) stayEnded(now time.Time, backend string, r Refusal, wait time.Duration) {
	p.action = Pause
	if r != Full {
		return
	}
	p.backend, p.wait = backend, wait
	switch {
	case now.Add(wait).After(p.request.Deadline):
		p.settle(now)
	case now.Sub(p.stayed) >= minStay:
		p.action = Stay
	}
}

// Exhausted records that the round has no further candidate.
func (p *Plan) Exhausted(now time.Time) {
	if p.action == Stay {
		p.action = Pause // the backend server has gone
	} else {
		p.settle(now)
	}
}

// settle decides after the last try of a round.
func (p *Plan) settle(now time.Time) {
	switch {
	case p.action == Insist && p.full > 0 && !now.Add(p.wait).After(p.request.Deadline):
		p.action = Stay
	case p.action == Insist && (p.full > 0 || !now.Before(p.waitUntil)):
		p.action = Refuse
	case p.action == Insist:
		p.action = Pause
	case p.full > 0 && p.suspect > 0 && !p.insisted && !p.request.Inner && p.wait > p.request.Goal.Sub(now)/lateWaitDivisor:
		p.action, p.insisted = Insist, true
	case p.full > 0 && !now.Add(p.wait).After(p.request.Deadline):
		p.action = Stay
	case p.request.Inner && p.full == 0 && now.Before(p.waitUntil):
		// Its failure would destroy the work that waits for it.
		p.action = Pause
	case p.suspect > 0 && !p.insisted:
		p.action, p.insisted = Insist, true
	case now.Before(p.waitUntil) && p.full == 0:
		p.action = Pause
	default:
		p.action = Refuse
	}
}

// Again begins the next round after a pause, and returns for how long to pause first. A request that
// has waited at a home does not pause.
func (p *Plan) Again(now time.Time) time.Duration {
	pause := min(p.interval, time.Duration(pauseShare*float64(p.request.Deadline.Sub(now))))
	pause = max(0, pause-now.Sub(p.began))
	p.interval = min(2*p.interval, maxRoundInterval)
	p.action, p.full, p.suspect, p.backend, p.insisted = Try, 0, 0, "", false
	p.began = now.Add(pause)
	return pause
}

// ComeBack returns the time after which the caller of a refused request finds room, spread by random,
// or 0 if there will be none in the time after which it would still come back.
func (p *Plan) ComeBack(now time.Time, random *rand.Rand) time.Duration {
	after := p.wait
	if p.full == 0 || after == 0 {
		after = recoveryTime
	}
	after = max(minStay, time.Duration(float64(after)*(1+comeBackSpread*random.Float64())))
	if after > time.Duration(comeBackShare*float64(p.request.Deadline.Sub(now))) {
		return 0
	}
	return after
}
