package ejection

import (
	"math"
	"time"
)

// Mode is the state of a backend server at its home.
type Mode int

const (
	// Warming is the time after the start of the home: nothing is evidence, concurrency grows to all slots.
	Warming Mode = iota
	// Active is in service with all slots.
	Active
	// Suspect is in service with fewer slots, wanting out.
	Suspect
	// Ejected is out of service, in hold-off.
	Ejected
	// Probing is out of service, with probes to the health path.
	Probing
	// Ramping is back in service with concurrency growing to all slots.
	Ramping
	// Draining is leaving: no new work. It is final.
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

// Out says that the mode takes no callers' work because of an ejection.
func (m Mode) Out() bool { return m == Ejected || m == Probing }

// Override is an operator's decision that stands above the evidence.
type Override int

const (
	// NoOverride leaves the decision to the evidence.
	NoOverride Override = iota
	// PinInService keeps the backend server in service whatever the evidence.
	PinInService
	// ForceOut wants the backend server out whatever the evidence. It still needs a permit.
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

// State is what the home enforces and reports.
type State struct {
	Mode Mode
	// Allowed is the number of requests that the backend server may serve at the same time.
	Allowed int
	// Remaining is the time until the mode can end by itself, or zero when that depends on evidence, probes or a permit.
	Remaining time.Duration
	// Permit is the remaining time for which the backend server may be out.
	Permit time.Duration
}

// Backend is the life cycle of one backend server at its home. Create it with NewBackend. Call it at least every
// Config.TickGap (Tick does nothing else); a longer gap counts as a pause of the process and drops the permit.
type Backend struct {
	cfg      Config
	slots    int
	det      *detector
	mode     Mode
	since    time.Time // start of the mode
	last     time.Time // latest time seen
	resumed  time.Time // end of the latest pause
	warm     time.Time // end of the cold start
	permit   time.Time // the backend server may be out while now is before this
	hold     time.Time // end of the hold-off
	level    int       // doublings of the hold-off
	levelAt  time.Time // time from which service counts towards the next decay
	returned bool      // has ramped since the latest hold-off and not yet served long enough
	passed   int       // probes passed in a row
	probeDue time.Time
	override Override
	pauses   int
	ejected  int
}

// NewBackend returns a backend server that starts cold at now. Slots below 1 are taken as 1.
func NewBackend(cfg Config, slots int, now time.Time) *Backend {
	return &Backend{
		cfg: cfg, slots: max(slots, 1), det: newDetector(cfg), mode: Warming, since: now, last: now,
		warm: now.Add(seconds(cfg.ColdStart)),
	}
}

// Observe takes one finished request. Requests are evidence unless they finished during the cold start, while the backend
// server was out, or had been started before the end of a pause of this process.
func (b *Backend) Observe(now time.Time, s Sample) {
	now = b.advance(now)
	if b.mode == Warming || b.mode == Draining || b.mode.Out() || now.Before(b.warm) {
		return
	}
	if start := now.Add(-s.ServiceTime); start.Before(b.resumed) || b.mode == Ramping && start.Before(b.since) {
		return
	}
	b.det.observe(now, s)
}

// Baseline takes what an entry reports. Values that are not plausible are ignored.
func (b *Backend) Baseline(now time.Time, entry string, v Baseline) {
	b.det.refs.put(b.advance(now), entry, v)
}

// Permit allows the backend server to be out while now is before until. A zero time takes the permit away.
func (b *Backend) Permit(now, until time.Time) {
	now = b.advance(now)
	b.permit = until
	b.step(now)
}

// Tick lets time pass.
func (b *Backend) Tick(now time.Time) { b.advance(now) }

// Restarted begins a cold start for a backend server that was restarted while its home went on. It is ignored while the
// backend server is suspect or out of service, and for Config.HoldOffDecay after the previous cold start, so that one that
// restarts again and again is still judged.
func (b *Backend) Restarted(now time.Time) {
	now = b.advance(now)
	if b.mode != Active || now.Sub(b.warm) < seconds(b.cfg.HoldOffDecay) {
		return
	}
	b.warm = now.Add(seconds(b.cfg.ColdStart))
	b.det.reset()
	b.enter(Warming, now)
	b.step(now)
}

// Drain makes the backend server leave. There is no way back.
func (b *Backend) Drain(now time.Time) {
	now = b.advance(now)
	if b.mode != Draining {
		b.enter(Draining, now)
	}
}

// SetOverride sets or clears (NoOverride) an operator's decision.
func (b *Backend) SetOverride(now time.Time, o Override) {
	now = b.advance(now)
	b.override = o
	b.step(now)
}

// WantsOut says that the backend server should be, or stay, out of service and needs a permit for it.
func (b *Backend) WantsOut(now time.Time) bool {
	b.advance(now)
	return b.mode == Suspect || b.mode.Out()
}

// MayReserve says that the home may promise to keep this backend server in service: it is neither cold, suspect, out,
// ramping nor leaving.
func (b *Backend) MayReserve(now time.Time) bool {
	b.advance(now)
	return b.mode == Active
}

// NeedsProbe says that a probe is due. The caller runs one probe at a time and reports it with ProbeResult.
func (b *Backend) NeedsProbe(now time.Time) bool {
	now = b.advance(now)
	return b.mode == Probing && !now.Before(b.probeDue)
}

// ProbeResult takes the result of a probe. Results that arrive in another mode are ignored.
func (b *Backend) ProbeResult(now time.Time, ok bool) {
	now = b.advance(now)
	if b.mode != Probing {
		return
	}
	b.probeDue = now.Add(seconds(b.cfg.ProbeInterval))
	if !ok {
		b.passed = 0
		return
	}
	b.passed++
	b.step(now)
}

// State returns the mode and the limits in force at now.
func (b *Backend) State(now time.Time) State {
	now = b.advance(now)
	return State{Mode: b.mode, Allowed: b.allowed(now), Remaining: b.remaining(now), Permit: max(b.permit.Sub(now), 0)}
}

// advance moves the state to now and returns the time to use. Calls from several goroutines may bring times in slightly
// wrong order; the latest time seen is used for those.
func (b *Backend) advance(now time.Time) time.Time {
	if now == b.last { // every event brings the state up to date, so nothing is due
		return now
	}
	gap := now.Sub(b.last)
	wall := now.Round(0).Sub(b.last.Round(0))
	limit := seconds(b.cfg.TickGap)
	if gap > limit || gap < -limit || (wall-gap).Abs() > limit {
		b.pause(now)
	} else if gap < 0 {
		now = b.last
	}
	b.last = now
	b.det.advance(now)
	b.step(now)
	return now
}

// pause handles a late call or a jump between the wall clock and the monotonic clock: what was measured across it is not
// evidence, and a permit granted before it may have been taken back.
func (b *Backend) pause(now time.Time) {
	b.pauses++
	b.permit, b.resumed = time.Time{}, now
	b.det.discard()
	if now.Before(b.last) {
		b.turnBack(now)
	}
}

// turnBack keeps the waiting times bounded when the clock was set back.
func (b *Backend) turnBack(now time.Time) {
	b.since, b.levelAt = earlier(b.since, now), earlier(b.levelAt, now)
	b.warm = earlier(b.warm, now.Add(seconds(b.cfg.ColdStart)))
	b.hold = earlier(b.hold, now.Add(seconds(b.cfg.HoldOffMax)))
	b.probeDue = earlier(b.probeDue, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (b *Backend) enter(m Mode, now time.Time) {
	b.mode, b.since = m, now
	switch m {
	case Active:
		b.levelAt = now
	case Ejected:
		b.startHold(now)
	case Probing:
		b.passed, b.probeDue = 0, now
	case Ramping:
		b.det.reset()
		b.returned = true
	}
}

// startHold starts a hold-off. It doubles when the backend server had returned by way of probes and ramp, and continues
// when it came back only because its permit lapsed.
func (b *Backend) startHold(now time.Time) {
	if now.Before(b.hold) {
		return
	}
	b.level, b.returned = b.nextLevel(), false
	b.hold = now.Add(b.holdOff(b.level))
	b.ejected++
}

func (b *Backend) nextLevel() int {
	if b.returned && b.holdOff(b.level) < seconds(b.cfg.HoldOffMax) {
		return b.level + 1
	}
	return b.level
}

func (b *Backend) holdOff(level int) time.Duration {
	return seconds(min(b.cfg.HoldOff*math.Exp2(float64(level)), b.cfg.HoldOffMax))
}

// decay takes one doubling back for each period served well.
func (b *Backend) decay(now time.Time) {
	period := seconds(b.cfg.HoldOffDecay)
	for (b.level > 0 || b.returned) && now.Sub(b.levelAt) >= period {
		b.levelAt = b.levelAt.Add(period)
		if b.level > 0 {
			b.level--
		} else {
			b.returned = false
		}
	}
}

// step applies the transitions that are due at now. Each mode is left at most a few times, so the loop ends.
func (b *Backend) step(now time.Time) {
	for range len(modeNames) {
		next := b.next(now)
		if next == b.mode {
			return
		}
		b.enter(next, now)
	}
}

func (b *Backend) next(now time.Time) Mode {
	switch b.mode {
	case Warming:
		return b.fromWarming(now)
	case Active, Ramping:
		return b.fromService(now)
	case Suspect:
		return b.fromSuspect(now)
	case Ejected, Probing:
		return b.fromOut(now)
	default:
		return b.mode
	}
}

func (b *Backend) fromWarming(now time.Time) Mode {
	switch {
	case b.override == ForceOut:
		return Suspect
	case !now.Before(b.warm):
		return Active
	}
	return Warming
}

func (b *Backend) fromService(now time.Time) Mode {
	if b.override == ForceOut || b.override == NoOverride && b.det.triggered() {
		return Suspect
	}
	if b.mode == Ramping && now.Sub(b.since) >= b.rampTime() {
		return Active
	}
	if b.mode == Active {
		b.decay(now)
	}
	return b.mode
}

func (b *Backend) fromSuspect(now time.Time) Mode {
	switch {
	case b.override == PinInService, b.override == NoOverride && b.det.cleared():
		if now.Before(b.warm) {
			return Warming
		}
		return Active
	case now.Before(b.permit):
		return Ejected
	}
	return Suspect
}

func (b *Backend) fromOut(now time.Time) Mode {
	switch {
	case b.override == PinInService:
		return Ramping
	case !now.Before(b.permit):
		return Suspect
	case b.override == ForceOut:
		return b.mode
	case b.mode == Ejected && !now.Before(b.hold):
		return Probing
	case b.mode == Probing && b.passed >= int(b.cfg.Probes):
		return Ramping
	}
	return b.mode
}

func (b *Backend) rampTime() time.Duration { return seconds(b.cfg.RampSteps * b.cfg.RampStep) }

func (b *Backend) allowed(now time.Time) int {
	switch b.mode {
	case Warming:
		return b.warmAllowed(now)
	case Active:
		return b.slots
	case Suspect:
		return min(max(int(b.cfg.SuspectShare*float64(b.slots)), 1), b.warmAllowed(now))
	case Ramping:
		return b.ramp(now.Sub(b.since), b.rampTime())
	default:
		return 0
	}
}

func (b *Backend) warmAllowed(now time.Time) int {
	cold := seconds(b.cfg.ColdStart)
	return b.ramp(cold-b.warm.Sub(now), cold)
}

// ramp returns the concurrency after some time of a ramp: one slot in the first step, all slots from the end on.
func (b *Backend) ramp(passed, total time.Duration) int {
	if passed >= total {
		return b.slots
	}
	steps := b.cfg.RampSteps
	step := math.Floor(steps * float64(passed) / float64(total))
	return max(1+int(float64(b.slots-1)*step/steps), 1)
}

func (b *Backend) remaining(now time.Time) time.Duration {
	var end time.Time
	switch b.mode {
	case Warming:
		end = b.warm
	case Ejected:
		end = b.hold
	case Ramping:
		end = b.since.Add(b.rampTime())
	}
	return max(end.Sub(now), 0)
}

// Reconfigure changes the numbers and the slots without a cold start. Evidence gathered so far is dropped, because it was
// counted under other numbers; the mode and the permit stay.
func (b *Backend) Reconfigure(now time.Time, cfg Config, slots int) {
	now = b.advance(now)
	refs := b.det.refs
	b.cfg, b.slots, b.det = cfg, max(slots, 1), newDetector(cfg)
	b.det.refs.entries = refs.entries
	b.det.advance(now)
	b.step(now)
}

// Normal returns the baseline of the last window judged, or 0 when there is none.
func (b *Backend) Normal() time.Duration { return b.det.ref.median }
