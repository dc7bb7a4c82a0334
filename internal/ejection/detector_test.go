package ejection

import (
	"math"
	"strings"
	"testing"
	"time"
)

// explainAfter runs an active backend server for d without a permit and returns its explanation.
func explainAfter(t *testing.T, name string, d time.Duration, sample func(int) Sample) Explanation {
	t.Helper()
	b, now := newActiveBackend(t, name)
	return b.Explain(drive(b, now, d, false, sample))
}

// Guards against ejecting every backend server when the whole service slows down. The baselines
// here follow the slowdown 1 s after the service times.
func TestServiceWideSlowdownIsNoEvidence(t *testing.T) {
	for _, name := range []string{FastDetection, FewFalseEjections} {
		b, now := newActiveBackend(t, name)
		median := 10 * time.Millisecond
		for i := range 1000 {
			now = now.Add(20 * time.Millisecond)
			if i == 50 {
				median = 50 * time.Millisecond
			}
			b.Baseline(now, "e", Baseline{Median: median, Members: 7})
			b.Observe(now, Sample{ServiceTime: 50 * time.Millisecond})
			if b.WantsOut(now) {
				t.Fatalf("%s: wants out %v after the slowdown", name, time.Duration(i)*20*time.Millisecond)
			}
		}
	}
}

// Guards against ejections during a load increase of the whole service when settle is short. The
// baselines follow the service times 1 s late, and a higher trend must make up for it.
func TestRisingBaselineIsRaisedFurther(t *testing.T) {
	for trend, want := range map[float64]bool{0: true, 1.5: false} {
		cfg, err := preset(t, FastDetection).Override(map[string]float64{"settle": 0.3, "trend": trend, "latencyThreshold": 12})
		if err != nil {
			t.Fatal(err)
		}
		b, now := newActiveBackend(t, FastDetection)
		b.Reconfigure(now, cfg, 5)
		// Service times rise by a factor of 20 within 2 s.
		levelAt := func(i int) time.Duration {
			return time.Duration(1e7 * math.Pow(20, float64(min(max(i-50, 0), 100))/100))
		}
		suspect := false
		for i := range 250 {
			now = now.Add(20 * time.Millisecond)
			b.Baseline(now, "e", Baseline{Median: levelAt(i - 50), Members: 7})
			b.Observe(now, Sample{ServiceTime: levelAt(i)})
			suspect = suspect || b.WantsOut(now)
		}
		if suspect != want {
			t.Errorf("trend %v: suspect=%v, want %v", trend, suspect, want)
		}
	}
}

// Guards against judging errors as early as service times in a burst of errors of the whole
// service. The error share of the baselines follows 0.8 s after the start of the burst.
func TestServiceWideErrorsAreNoEvidence(t *testing.T) {
	for settle, want := range map[float64]bool{0.1: true, 0.9: false} {
		cfg, err := preset(t, FastDetection).Override(map[string]float64{"settle": 0.1, "errorSettle": settle})
		if err != nil {
			t.Fatal(err)
		}
		b, now := newActiveBackend(t, FastDetection)
		b.Reconfigure(now, cfg, 5)
		suspect := false
		for i := range 100 {
			now = now.Add(20 * time.Millisecond)
			v := Baseline{Median: 10 * time.Millisecond, Members: 7}
			if i >= 40 {
				v.ErrorShare = 0.5
			}
			b.Baseline(now, "e", v)
			b.Observe(now, Sample{ServiceTime: 10 * time.Millisecond, Result: Result(i % 2)})
			suspect = suspect || b.WantsOut(now)
		}
		if suspect != want {
			t.Errorf("errors judged after %v s: suspect=%v, want %v", settle, suspect, want)
		}
	}
}

// Guards against counting the requests that one garbage collection delays as independent samples.
func TestOnePauseCountsAsOneWindow(t *testing.T) {
	for _, name := range []string{FastDetection, FewFalseEjections} {
		b, now := newActiveBackend(t, name)
		for range 200 {
			b.Observe(now, Sample{ServiceTime: time.Second})
		}
		now = drive(b, now, 2500*time.Millisecond, false, func(int) Sample { return Sample{Result: Shed} })
		e := b.Explain(now)
		if e.State.Mode != Active || e.Latency.Value == 0 || e.Latency.Value > b.cfg.EvidenceCap {
			t.Errorf("%s: mode %s with latency evidence %v, want active with that of one window", name, e.State.Mode, e.Latency)
		}
	}
}

// Guards against counting requests that the backend server sheds as errors.
func TestShedLoadIsNoEvidence(t *testing.T) {
	e := explainAfter(t, FastDetection, 20*time.Second, func(int) Sample { return Sample{ServiceTime: time.Second, Result: Shed} })
	if e.State.Mode != Active || e.Errors.Value != 0 || e.Latency.Value != 0 {
		t.Errorf("mode %s, latency evidence %v, error evidence %v; want active without evidence", e.State.Mode, e.Latency, e.Errors)
	}
}

// Guards against ejecting a backend server because it is slow or fails during its cold start.
func TestColdStartIsNoEvidence(t *testing.T) {
	cfg := preset(t, FastDetection)
	b := NewBackend(cfg, 5, start)
	if s := b.State(start); s.Mode != Warming || s.Allowed != 1 {
		t.Fatalf("at the start: %+v", s)
	}
	now := drive(b, start, seconds(cfg.ColdStart)-time.Millisecond, true, func(int) Sample {
		return Sample{ServiceTime: time.Second, Result: Failed}
	})
	now = drive(b, now, 20*time.Second, true, constantTime(10*time.Millisecond))
	if e := b.Explain(now); e.Ejections != 0 || e.State.Mode != Active {
		t.Errorf("after a slow start: %+v", e)
	}
}

// Guards against judging a backend server while it warms up after its own restart. Also guards
// against one that is never judged because it restarts again and again.
func TestRepeatedRestartsAreStillJudged(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	now = drive(b, now, 2*time.Minute, false, constantTime(10*time.Millisecond))
	b.Restarted(now)
	now = drive(b, now, 10*time.Second, false, constantTime(time.Second))
	if s := b.State(now); s.Mode != Warming {
		t.Fatalf("after a restart: %+v", s)
	}
	for range 30 {
		b.Restarted(now)
		now = drive(b, now, time.Second, false, constantTime(time.Second/10))
	}
	if s := b.State(now); s.Mode != Suspect {
		t.Errorf("restarting each second: %+v", s)
	}
}

// Guards against ejecting on fewer than MinSamples bad requests, each in a window of its own.
func TestFewSamplesDoNotEject(t *testing.T) {
	for _, name := range []string{FastDetection, FewFalseEjections} {
		cfg := preset(t, name)
		for _, r := range []Result{OK, Failed, Invalid, Abandoned} {
			e := explainAfter(t, name, 30*time.Second, func(i int) Sample {
				if i%50 == 49 && i/50 < int(cfg.MinSamples)-1 {
					return Sample{ServiceTime: 10 * time.Second, Result: r}
				}
				return Sample{Result: Shed}
			})
			if e.State.Mode != Active {
				t.Errorf("%s, result %d: not active after too few samples: %s", name, r, e.Reason)
			}
		}
	}
}

// Guards against judging by a baseline that is implausible or covers too few backend servers, when
// there is no other.
func TestNoUsableBaselineIsNoEvidence(t *testing.T) {
	b, now := newActiveBackend(t, FastDetection)
	now = now.Add(time.Second)
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		b.Baseline(now, "e", Baseline{Median: time.Millisecond, Members: 2})
		b.Baseline(now, "f", Baseline{Median: -time.Millisecond, Members: 9})
		b.Observe(now, Sample{ServiceTime: time.Second, Result: Invalid})
	}
	if e := b.Explain(now); e.State.Mode != Active {
		t.Errorf("judged by an unusable baseline: %s", e.Reason)
	}
}

// Guards against a single entry with wrong baselines that causes an ejection or prevents one.
func TestOneWrongEntryDoesNotDecide(t *testing.T) {
	for _, wrong := range []time.Duration{time.Microsecond, time.Minute} {
		for _, slow := range []bool{false, true} {
			b, now := newActiveBackend(t, FastDetection)
			own := 10 * time.Millisecond
			if slow {
				own *= 5
			}
			for range 500 {
				now = now.Add(20 * time.Millisecond)
				b.Baseline(now, "e", Baseline{Median: 10 * time.Millisecond, Members: 7})
				b.Baseline(now, "f", Baseline{Median: 11 * time.Millisecond, Members: 7})
				b.Baseline(now, "wrong", Baseline{Median: wrong, Members: 7})
				b.Observe(now, Sample{ServiceTime: own})
			}
			if b.WantsOut(now) != slow {
				t.Errorf("entry reporting %v, slow=%v: wants out=%v", wrong, slow, !slow)
			}
		}
	}
}

// Guards against a kind of fault that is not detected in time, and against learning a fault as
// normal spread.
func TestFaultsAreDetected(t *testing.T) {
	for kind, bad := range map[string]Sample{
		"slow": {ServiceTime: 50 * time.Millisecond}, "failed": {Result: Failed},
		"invalid": {Result: Invalid}, "abandoned": {ServiceTime: time.Second, Result: Abandoned},
	} {
		for name, limit := range map[string]time.Duration{FastDetection: 2 * time.Second, FewFalseEjections: 10 * time.Second} {
			if e := explainAfter(t, name, limit, func(int) Sample { return bad }); e.State.Mode != Suspect {
				t.Errorf("%s, %s: mode %s after %v, want suspect", name, kind, e.State.Mode, limit)
			}
		}
	}
}

// Guards against a wrong name or value in a service document that is silently ignored or disables
// the detector.
func TestOverrideIsValidated(t *testing.T) {
	base := preset(t, FastDetection)
	c, err := base.Override(map[string]float64{"holdOff": 7, "probes": 5})
	if err != nil || c.HoldOff != 7 || c.Probes != 5 || base.HoldOff == 7 {
		t.Errorf("valid override: %+v, %v", c, err)
	}
	for want, values := range map[string]map[string]float64{
		`unknown detector parameter "holdoff"`: {"holdoff": 7},
		`from 0.5 to 600 s`:                    {"holdOff": 0},
		`must be a whole number`:               {"probes": 2.5},
		`is below "holdOff"`:                   {"holdOff": 500},
		`must be above "drift"`:                {"clip": 1, "drift": 1.5},
		`at most half of each threshold`:       {"evidenceCap": 9},
	} {
		if c, err := base.Override(values); err == nil || !strings.Contains(err.Error(), want) || c != base {
			t.Errorf("%v: got error %v, want %q", values, err, want)
		}
	}
	if _, err := Preset("fast"); err == nil || !strings.Contains(err.Error(), FewFalseEjections) {
		t.Errorf("unknown preset: %v", err)
	}
	for name, cfg := range presets {
		if _, err := cfg.Override(nil); err != nil {
			t.Errorf("%s contradicts itself: %v", name, err)
		}
		for _, n := range parameters {
			if err := n.check(n.Value(cfg)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}
