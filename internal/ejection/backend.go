package ejection

import (
	"math"
	"time"
)

// Mode is the state of a backend server at its home.
//
// A backend server starts in Warming and becomes Active after the cold start. Active and Ramping
// become Suspect when the evidence reaches a threshold. Suspect becomes Ejected when a permit is
// held, or Active again when the evidence is low enough. If the cold start is not over, it becomes
// Warming instead of Active.
//
// Ejected becomes Probing when the hold-off ends. Probing becomes Ramping when enough probes in a
// row pass. Ramping becomes Active when the ramp ends. Ejected and Probing fall back to Suspect
// when the permit ends.
//
// ForceOut makes any mode in service Suspect, and keeps Ejected from becoming Probing. PinInService
// makes Suspect Active, makes Ejected and Probing Ramping, and keeps Active and Ramping from
// becoming Suspect. A restart of an Active backend server leads back to Warming. Draining is
// entered from any mode and is final.
type Mode int

const (
	// Warming is the cold start of the home or of the backend server. Requests are not evidence,
	// and the concurrency grows to all slots.
	Warming Mode = iota
	// Active means in service with all slots.
	Active
	// Suspect means in service with fewer slots, until a permit allows the ejection.
	Suspect
	// Ejected means out of service during the hold-off.
	Ejected
	// Probing means out of service while probes are sent to the health path.
	Probing
	// Ramping means back in service, while the concurrency grows to all slots.
	Ramping
	// Draining means that the backend server gets no new requests. It is final.
	Draining
)

var modeNames = [...]string{"warming", "active", "suspect", "ejected", "probing", "ramping", "draining"}

// String returns the name used in headers, metrics and logs.
func (m Mode) String() string {
	if m < 0 || int(m) >= len(modeNames) {
		return "unknown"
	}
	return modeNames[m]
}

// IsOut reports whether the backend server gets no requests of callers because it was ejected.
func (m Mode) IsOut() bool { return m == Ejected || m == Probing }

// Override is an operator's decision that takes precedence over the evidence.
type Override int

const (
	// NoOverride leaves the decision to the evidence.
	NoOverride Override = iota
	// PinInService keeps the backend server in service regardless of the evidence.
	PinInService
	// ForceOut ejects the backend server regardless of the evidence. A permit is still needed.
	ForceOut
)

var overrideNames = [...]string{"none", "pin-in-service", "force-out"}

// String returns the name used by the command-line tool.
func (o Override) String() string {
	if o < 0 || int(o) >= len(overrideNames) {
		return "unknown"
	}
	return overrideNames[o]
}

// State is the mode and the limits that the home enforces and reports.
type State struct {
	Mode Mode
	// Allowed is the number of requests that the backend server may serve at the same time.
	Allowed int
	// Remaining is the time until the mode can end by itself. It is zero when the end depends on
	// evidence, probes or a permit.
	Remaining time.Duration
	// Permit is the remaining time for which the backend server may be out, or zero.
	Permit time.Duration
}

// Backend is the state machine of one backend server at its home, described at Mode. Create it with
// NewBackend. Call one of its methods at least every Config.TickGap; Tick does nothing else. A
// longer gap counts as a pause of the process and drops the permit. A Backend is not safe for
// concurrent use.
type Backend struct {
	cfg                Config
	slots              int
	detector           *detector
	mode               Mode
	modeSince          time.Time // start of the mode
	latest             time.Time // latest time seen
	resumedAt          time.Time // end of the latest pause of the process
	warmUntil          time.Time // end of the cold start
	permitUntil        time.Time // the backend server may be out before this time
	holdOffUntil       time.Time // end of the hold-off
	holdOffLevel       int       // number of times that the hold-off was doubled
	levelDecayFrom     time.Time // start of the time in service that counts towards the next decay of holdOffLevel
	rampedSinceHoldOff bool      // has ramped since the latest hold-off and not yet been in service for Config.HoldOffDecay
	probesPassed       int       // probes passed in a row
	nextProbeAt        time.Time
	override           Override
	pauses             int
	ejections          int
}

// NewBackend returns a backend server in Warming whose cold start begins at now. Fewer than 1 slots
// count as 1.
func NewBackend(cfg Config, slots int, now time.Time) *Backend {
	return &Backend{
		cfg: cfg, slots: max(slots, 1), detector: newDetector(cfg), mode: Warming, modeSince: now, latest: now,
		warmUntil: now.Add(seconds(cfg.ColdStart)),
	}
}

// Observe records a finished request. It is evidence unless it finished during the cold start or
// while the backend server was out. A request that started before the end of a pause of the
// process, or before the ramp, is not evidence either.
func (b *Backend) Observe(now time.Time, s Sample) {
	now = b.advance(now)
	if b.mode == Warming || b.mode == Draining || b.mode.IsOut() || now.Before(b.warmUntil) {
		return
	}
	if start := now.Add(-s.ServiceTime); start.Before(b.resumedAt) || b.mode == Ramping && start.Before(b.modeSince) {
		return
	}
	b.detector.observe(now, s)
}

// Baseline records what an entry reports. Implausible values are ignored.
func (b *Backend) Baseline(now time.Time, entry string, v Baseline) {
	b.detector.baselines.put(b.advance(now), entry, v)
}

// Permit allows the backend server to be out before until. A zero time withdraws the permit.
func (b *Backend) Permit(now, until time.Time) {
	now = b.advance(now)
	b.permitUntil = until
	b.applyTransitions(now)
}

// Tick applies the transitions that are due at now.
func (b *Backend) Tick(now time.Time) { b.advance(now) }

// Restarted begins a cold start for a backend server that was restarted while its home continued to
// run. It is ignored unless the mode is Active, and within Config.HoldOffDecay after the previous
// cold start. A backend server that restarts again and again is therefore still judged.
func (b *Backend) Restarted(now time.Time) {
	now = b.advance(now)
	if b.mode != Active || now.Sub(b.warmUntil) < seconds(b.cfg.HoldOffDecay) {
		return
	}
	b.warmUntil = now.Add(seconds(b.cfg.ColdStart))
	b.detector.reset()
	b.enterMode(Warming, now)
	b.applyTransitions(now)
}

// Drain puts the backend server into Draining, which is final.
func (b *Backend) Drain(now time.Time) {
	now = b.advance(now)
	if b.mode != Draining {
		b.enterMode(Draining, now)
	}
}

// SetOverride sets an operator's decision, or clears it with NoOverride.
func (b *Backend) SetOverride(now time.Time, o Override) {
	now = b.advance(now)
	b.override = o
	b.applyTransitions(now)
}

// WantsOut reports whether the backend server should be, or stay, out of service. It needs a permit
// for that.
func (b *Backend) WantsOut(now time.Time) bool {
	b.advance(now)
	return b.mode == Suspect || b.mode.IsOut()
}

// MayReserve reports whether the home may promise to keep this backend server in service. This is
// so only while the mode is Active.
func (b *Backend) MayReserve(now time.Time) bool {
	b.advance(now)
	return b.mode == Active
}

// NeedsProbe reports whether a probe is due. The caller runs one probe at a time and reports it
// with ProbeResult.
func (b *Backend) NeedsProbe(now time.Time) bool {
	now = b.advance(now)
	return b.mode == Probing && !now.Before(b.nextProbeAt)
}

// ProbeResult records the result of a probe. It is ignored in any mode but Probing.
func (b *Backend) ProbeResult(now time.Time, ok bool) {
	now = b.advance(now)
	if b.mode != Probing {
		return
	}
	b.nextProbeAt = now.Add(seconds(b.cfg.ProbeInterval))
	if !ok {
		b.probesPassed = 0
		return
	}
	b.probesPassed++
	b.applyTransitions(now)
}

// State returns the mode and the limits in force at now.
func (b *Backend) State(now time.Time) State {
	now = b.advance(now)
	return State{Mode: b.mode, Allowed: b.allowed(now), Remaining: b.remaining(now), Permit: max(b.permitUntil.Sub(now), 0)}
}

// advance brings the state up to date and returns the time to use. Calls from several goroutines
// may arrive with times slightly out of order. For those it returns the latest time seen.
func (b *Backend) advance(now time.Time) time.Time {
	if now == b.latest { // every event brings the state up to date, so nothing is due
		return now
	}
	gap := now.Sub(b.latest)
	wallGap := now.Round(0).Sub(b.latest.Round(0))
	limit := seconds(b.cfg.TickGap)
	if gap > limit || gap < -limit || (wallGap-gap).Abs() > limit {
		b.handlePause(now)
	} else if gap < 0 {
		now = b.latest
	}
	b.latest = now
	b.detector.advance(now)
	b.applyTransitions(now)
	return now
}

// handlePause handles a late call, or a jump between the wall clock and the monotonic clock.
// Windows that span the pause are not evidence. A permit granted before may have been withdrawn
// meanwhile.
func (b *Backend) handlePause(now time.Time) {
	b.pauses++
	b.permitUntil, b.resumedAt = time.Time{}, now
	b.detector.discardWindows()
	if now.Before(b.latest) {
		b.clampTimes(now)
	}
}

// clampTimes keeps the waiting times bounded after the clock was set back.
func (b *Backend) clampTimes(now time.Time) {
	b.modeSince, b.levelDecayFrom = earlier(b.modeSince, now), earlier(b.levelDecayFrom, now)
	b.warmUntil = earlier(b.warmUntil, now.Add(seconds(b.cfg.ColdStart)))
	b.holdOffUntil = earlier(b.holdOffUntil, now.Add(seconds(b.cfg.HoldOffMax)))
	b.nextProbeAt = earlier(b.nextProbeAt, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// enterMode changes the mode and initializes the fields that belong to it.
func (b *Backend) enterMode(m Mode, now time.Time) {
	b.mode, b.modeSince = m, now
	switch m {
	case Active:
		b.levelDecayFrom = now
	case Ejected:
		b.startHoldOff(now)
	case Probing:
		b.probesPassed, b.nextProbeAt = 0, now
	case Ramping:
		b.detector.reset()
		b.rampedSinceHoldOff = true
	}
}

// startHoldOff starts a hold-off. The hold-off is doubled when the backend server had returned by
// probes and ramp. If the previous one is not over, it continues: the backend server had returned
// only because its permit ended.
func (b *Backend) startHoldOff(now time.Time) {
	if now.Before(b.holdOffUntil) {
		return
	}
	b.holdOffLevel, b.rampedSinceHoldOff = b.nextHoldOffLevel(), false
	b.holdOffUntil = now.Add(b.holdOff(b.holdOffLevel))
	b.ejections++
}

// nextHoldOffLevel returns the holdOffLevel of the next ejection.
func (b *Backend) nextHoldOffLevel() int {
	if b.rampedSinceHoldOff && b.holdOff(b.holdOffLevel) < seconds(b.cfg.HoldOffMax) {
		return b.holdOffLevel + 1
	}
	return b.holdOffLevel
}

// holdOff returns the hold-off at a level, bounded by Config.HoldOffMax.
func (b *Backend) holdOff(level int) time.Duration {
	return seconds(min(b.cfg.HoldOff*math.Exp2(float64(level)), b.cfg.HoldOffMax))
}

// decayHoldOff undoes one doubling for each Config.HoldOffDecay in Active.
func (b *Backend) decayHoldOff(now time.Time) {
	period := seconds(b.cfg.HoldOffDecay)
	for (b.holdOffLevel > 0 || b.rampedSinceHoldOff) && now.Sub(b.levelDecayFrom) >= period {
		b.levelDecayFrom = b.levelDecayFrom.Add(period)
		if b.holdOffLevel > 0 {
			b.holdOffLevel--
		} else {
			b.rampedSinceHoldOff = false
		}
	}
}

// applyTransitions applies the transitions that are due at now. The number of steps is bounded by
// the number of modes.
func (b *Backend) applyTransitions(now time.Time) {
	for range len(modeNames) {
		next := b.nextMode(now)
		if next == b.mode {
			return
		}
		b.enterMode(next, now)
	}
}

// nextMode returns the mode that follows the present one at now, or the present one.
func (b *Backend) nextMode(now time.Time) Mode {
	switch b.mode {
	case Warming:
		return b.nextFromWarming(now)
	case Active, Ramping:
		return b.nextFromService(now)
	case Suspect:
		return b.nextFromSuspect(now)
	case Ejected, Probing:
		return b.nextFromOut(now)
	default:
		return b.mode
	}
}

func (b *Backend) nextFromWarming(now time.Time) Mode {
	switch {
	case b.override == ForceOut:
		return Suspect
	case !now.Before(b.warmUntil):
		return Active
	}
	return Warming
}

func (b *Backend) nextFromService(now time.Time) Mode {
	if b.override == ForceOut || b.override == NoOverride && b.detector.triggered() {
		return Suspect
	}
	if b.mode == Ramping && now.Sub(b.modeSince) >= b.rampDuration() {
		return Active
	}
	if b.mode == Active {
		b.decayHoldOff(now)
	}
	return b.mode
}

func (b *Backend) nextFromSuspect(now time.Time) Mode {
	switch {
	case b.override == PinInService, b.override == NoOverride && b.detector.cleared():
		if now.Before(b.warmUntil) {
			return Warming
		}
		return Active
	case now.Before(b.permitUntil):
		return Ejected
	}
	return Suspect
}

func (b *Backend) nextFromOut(now time.Time) Mode {
	switch {
	case b.override == PinInService:
		return Ramping
	case !now.Before(b.permitUntil):
		return Suspect
	case b.override == ForceOut:
		return b.mode
	case b.mode == Ejected && !now.Before(b.holdOffUntil):
		return Probing
	case b.mode == Probing && b.probesPassed >= int(b.cfg.Probes):
		return Ramping
	}
	return b.mode
}

func (b *Backend) rampDuration() time.Duration { return seconds(b.cfg.RampSteps * b.cfg.RampStep) }

func (b *Backend) allowed(now time.Time) int {
	switch b.mode {
	case Warming:
		return b.warmingAllowed(now)
	case Active:
		return b.slots
	case Suspect:
		return min(max(int(b.cfg.SuspectShare*float64(b.slots)), 1), b.warmingAllowed(now))
	case Ramping:
		return b.rampAllowed(now.Sub(b.modeSince), b.rampDuration())
	default:
		return 0
	}
}

func (b *Backend) warmingAllowed(now time.Time) int {
	cold := seconds(b.cfg.ColdStart)
	return b.rampAllowed(cold-b.warmUntil.Sub(now), cold)
}

// rampAllowed returns the concurrency after the elapsed part of a ramp. It is one slot in the first
// step and all slots from the end on.
func (b *Backend) rampAllowed(elapsed, total time.Duration) int {
	if elapsed >= total {
		return b.slots
	}
	steps := b.cfg.RampSteps
	step := math.Floor(steps * float64(elapsed) / float64(total))
	return max(1+int(float64(b.slots-1)*step/steps), 1)
}

// remaining returns the value of State.Remaining at now.
func (b *Backend) remaining(now time.Time) time.Duration {
	var end time.Time
	switch b.mode {
	case Warming:
		end = b.warmUntil
	case Ejected:
		end = b.holdOffUntil
	case Ramping:
		end = b.modeSince.Add(b.rampDuration())
	}
	return max(end.Sub(now), 0)
}

// Reconfigure changes the parameters and the slots without a cold start. It drops the evidence,
// which was gathered with other parameters. It keeps the mode, the permit and the baselines.
func (b *Backend) Reconfigure(now time.Time, cfg Config, slots int) {
	now = b.advance(now)
	received := b.detector.baselines
	b.cfg, b.slots, b.detector = cfg, max(slots, 1), newDetector(cfg)
	b.detector.baselines.entries = received.entries
	b.detector.advance(now)
	b.applyTransitions(now)
}

// BaselineMedian returns the median service time of the last baseline used to judge a window, or 0.
func (b *Backend) BaselineMedian() time.Duration { return b.detector.lastBaseline.median }
