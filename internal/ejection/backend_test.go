package ejection

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func preset(t testing.TB, name string) Config {
	t.Helper()
	c, err := Preset(name)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// backendModel drives a Backend with arbitrary events. It records which permit is valid.
type backendModel struct {
	b       *Backend
	cfg     Config
	slots   int
	now     time.Time
	permit  time.Time
	drained bool
}

// advance moves the time. A step back within the tick gap models a call out of order, for which the
// latest time counts.
func (m *backendModel) advance(d time.Duration) {
	m.b.Tick(m.now.Add(d))
	late := d.Abs() > seconds(m.cfg.TickGap)
	if late {
		m.permit = time.Time{}
	}
	if d > 0 || late {
		m.now = m.now.Add(d)
	}
}

// check verifies the invariants of the state machine.
func (m *backendModel) check(t *rapid.T) {
	s := m.b.State(m.now)
	if s.Mode.IsOut() && !m.now.Before(m.permit) {
		t.Fatalf("%s at %v without a valid permit (%v)", s.Mode, m.now, m.permit)
	}
	if (s.Allowed == 0) != (s.Mode.IsOut() || s.Mode == Draining) || s.Allowed < 0 || s.Allowed > m.slots {
		t.Fatalf("%d of %d slots allowed while %s", s.Allowed, m.slots, s.Mode)
	}
	if s.Mode == Ejected && s.Remaining > seconds(m.cfg.HoldOffMax) {
		t.Fatalf("hold-off of %v is above the bound", s.Remaining)
	}
	if m.drained != (s.Mode == Draining) {
		t.Fatalf("mode %s although drained=%v", s.Mode, m.drained)
	}
	if s.Mode == Suspect && m.now.Before(m.permit) {
		t.Fatal("suspect although a permit is held")
	}
}

// Guards against a backend server that is out without a valid permit, and against one in service
// with no allowed concurrency. Also guards against a hold-off above its bound. Random sequences of
// requests, permits, probes, overrides, restarts, pauses and clock changes drive the state machine.
func TestStateMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, _ := Preset(rapid.SampledFrom([]string{FastDetection, FewFalseEjections}).Draw(t, "preset"))
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		m := &backendModel{b: NewBackend(cfg, slots, start), cfg: cfg, slots: slots, now: start}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"pass": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"run": func(t *rapid.T) { // a stretch of service with a permit renewed each second, or none
				slow, renew := rapid.IntRange(1, 9).Draw(t, "slow"), rapid.Bool().Draw(t, "renew")
				for i := range rapid.IntRange(1, 400).Draw(t, "samples") {
					m.advance(50 * time.Millisecond)
					m.b.Baseline(m.now, "e", Baseline{Median: 10 * time.Millisecond, Members: 7})
					m.b.Observe(m.now, Sample{ServiceTime: time.Duration(slow) * 10 * time.Millisecond})
					if m.b.NeedsProbe(m.now) {
						m.b.ProbeResult(m.now, true)
					}
					if renew && i%20 == 0 {
						m.permit = m.now.Add(3 * time.Second)
						m.b.Permit(m.now, m.permit)
					}
					m.check(t)
				}
			},
			"jump": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "s")) * time.Second)
			},
			"permit": func(t *rapid.T) {
				m.permit = m.now.Add(time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "ms")) * time.Millisecond)
				m.b.Permit(m.now, m.permit)
			},
			"probe":   func(t *rapid.T) { m.b.ProbeResult(m.now, rapid.Bool().Draw(t, "ok")) },
			"restart": func(*rapid.T) { m.b.Restarted(m.now) },
			"override": func(t *rapid.T) {
				m.b.SetOverride(m.now, Override(rapid.IntRange(0, 2).Draw(t, "override")))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "chance") == 20 {
					m.b.Drain(m.now)
					m.drained = true
				}
			},
		})
	})
}

// drive runs b for d, with one sample and one baseline every 20 ms. Probes pass. With permit set,
// the permit is renewed each time.
func drive(b *Backend, now time.Time, d time.Duration, permit bool, sample func(i int) Sample) time.Time {
	for i := range int(d / (20 * time.Millisecond)) {
		now = now.Add(20 * time.Millisecond)
		b.Baseline(now, "e", Baseline{Median: 10 * time.Millisecond, Members: 7})
		b.Observe(now, sample(i))
		if permit {
			b.Permit(now, now.Add(3*time.Second))
		}
		if b.NeedsProbe(now) {
			b.ProbeResult(now, true)
		}
	}
	return now
}

// constantTime returns a source of successful samples with the service time d.
func constantTime(d time.Duration) func(int) Sample {
	return func(int) Sample { return Sample{ServiceTime: d} }
}

// newActiveBackend returns a Backend with 5 slots after its cold start, and the time then.
func newActiveBackend(t testing.TB, name string) (*Backend, time.Time) {
	t.Helper()
	cfg := preset(t, name)
	b := NewBackend(cfg, 5, start)
	now := drive(b, start, seconds(cfg.ColdStart)+time.Second, false, constantTime(10*time.Millisecond))
	if s := b.State(now); s.Mode != Active || s.Allowed != 5 {
		t.Fatalf("after the cold start: %+v", s)
	}
	return b, now
}

// Guards against a life cycle that stops half way. Also guards against a hold-off that does not
// grow for a backend server that is still slow on its return, or that does not shrink after ten
// minutes of normal service.
func TestLifeCycleAndHoldOff(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	seen := map[Mode]bool{}
	for range 30 {
		now = drive(b, now, time.Second, true, func(int) Sample {
			seen[b.mode] = true
			return Sample{ServiceTime: 100 * time.Millisecond}
		})
	}
	for _, m := range []Mode{Ejected, Probing, Ramping} {
		if !seen[m] {
			t.Errorf("mode %s never reached", m)
		}
	}
	grown := b.Explain(now).NextHoldOff
	if grown <= seconds(b.cfg.HoldOff) {
		t.Errorf("hold-off %v did not grow", grown)
	}
	now = drive(b, now, 10*time.Minute, true, constantTime(10*time.Millisecond))
	if e := b.Explain(now); e.State.Mode != Active || e.NextHoldOff != seconds(b.cfg.HoldOff) {
		t.Errorf("after ten minutes of normal service: mode %s, next hold-off %v", e.State.Mode, e.NextHoldOff)
	}
}

// Guards against a suspect backend server that gets no requests before it has a permit. Also guards
// against one that stays out after its permit ended or the process was paused.
func TestPermitLapseAndPauseReturnToService(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	now = drive(b, now, 3*time.Second, false, constantTime(time.Second/10))
	if s := b.State(now); s.Mode != Suspect || s.Allowed != 2 || !b.WantsOut(now) || b.MayReserve(now) {
		t.Fatalf("slow without a permit: %+v", s)
	}
	b.Permit(now, now.Add(500*time.Millisecond))
	if s := b.State(now); s.Mode != Ejected || s.Allowed != 0 {
		t.Fatalf("with a permit: %+v", s)
	}
	now = now.Add(500 * time.Millisecond)
	if s := b.State(now); s.Mode != Suspect || s.Allowed == 0 {
		t.Fatalf("when the permit lapsed: %+v", s)
	}
	b.Permit(now, now.Add(time.Hour))
	now = now.Add(2 * time.Second)
	if s := b.State(now); s.Mode != Suspect || s.Permit != 0 {
		t.Fatalf("after a pause: %+v", s)
	}
}

// Guards against an operator's override that evidence defeats, and against a forced ejection
// without a permit.
func TestOverrides(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	b.SetOverride(now, PinInService)
	now = drive(b, now, 10*time.Second, true, constantTime(time.Second/10))
	if s := b.State(now); s.Mode != Active {
		t.Errorf("pinned: %+v", s)
	}
	b.Permit(now, time.Time{})
	b.SetOverride(now, ForceOut)
	if s := b.State(now); s.Mode != Suspect || !b.WantsOut(now) {
		t.Errorf("forced without a permit: %+v", s)
	}
	now = drive(b, now, 60*time.Second, true, constantTime(10*time.Millisecond))
	if s := b.State(now); s.Mode != Ejected {
		t.Errorf("forced with a permit: %+v", s)
	}
	b.SetOverride(now, NoOverride)
	now = drive(b, now, 60*time.Second, true, constantTime(10*time.Millisecond))
	if s := b.State(now); s.Mode != Active {
		t.Errorf("after the override was cleared: %+v", s)
	}
}

// Guards against an explanation that does not name the cause of an ejection and its threshold.
func TestExplainNamesCauseAndThreshold(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	now = drive(b, now, 3*time.Second, true, constantTime(time.Second/10))
	e := b.Explain(now)
	if !strings.Contains(e.Reason, "slow: ") || e.Latency.Value < e.Latency.Threshold || e.Latency.Since.IsZero() {
		t.Errorf("explanation of a slow backend server: %+v", e)
	}
	if s := e.String(); !strings.Contains(s, "mode: ejected") || !strings.Contains(s, "of 16 since 2026-01-01") {
		t.Errorf("text:\n%s", s)
	}
}
