package measure

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Guards against a change of numbers or logic that misses the stated targets. The full measurement runs more trials.
func TestSlowByFiveMeetsTargets(t *testing.T) {
	for _, sh := range []Shape{SupplierHub, LinenIntake} {
		sc := Scenario{Shape: sh, Rate: defaultRate, Spread: defaultSpread, Fault: Fault{Slow: 5}}
		r, err := Detect(sc, Options{Seed: 11, Trials: 20, Workers: 2, OwnOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		if p, ok := r[ownDetector].Quantile(0.99); !ok || p > detectionTarget[sh.Preset] {
			t.Errorf("%s: slowest of 20 detections %v (all detected: %v), target %v", sh.Name, p, ok, detectionTarget[sh.Preset])
		}
	}
}

// Guards against false ejections of a preset that a short run can already show.
func TestHealthyStreamsStayInService(t *testing.T) {
	for _, sc := range []Scenario{
		{Name: "swings", Shape: LinenIntake, Rate: 10, Spread: heavySpread},
		{Name: "pauses", Shape: LinenIntake, Rate: 10, Spread: defaultSpread, PauseEvery: time.Minute},
		{Name: "no baselines", Shape: SupplierHub, Rate: 10, Spread: defaultSpread, Cut: AllCut},
	} {
		r, err := Healthy(sc, 0.1, Options{Seed: 5, Workers: 2, Chunk: 10 * time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		if r[ownDetector].Events != 0 || r[ownDetector].Days < 0.1 {
			t.Errorf("%s: %+v", sc.Name, r[ownDetector])
		}
		if r[comparisonTight].Events == 0 {
			t.Errorf("%s: the stream is so calm that even the comparison detector saw nothing", sc.Name)
		}
	}
}

// Guards against a cold start that counts as a fault.
func TestColdStartIsNotDetected(t *testing.T) {
	sc := Scenario{Shape: LinenIntake, Rate: defaultRate, Spread: defaultSpread, Restart: true}
	r, err := Detect(sc, Options{Seed: 3, Trials: 5, Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(r[ownDetector].Times); n != 0 {
		t.Errorf("%d of 5 cold starts ejected", n)
	}
}

// Guards against figures that depend on the number of goroutines or differ from run to run.
func TestSameSeedGivesSameFigures(t *testing.T) {
	sc := Scenario{Shape: LinenIntake, Rate: 10, Spread: defaultSpread, Fault: Fault{Errors: 0.5}}
	a, errA := Detect(sc, Options{Seed: 2, Trials: 6, Workers: 1, OwnOnly: true})
	b, errB := Detect(sc, Options{Seed: 2, Trials: 6, Workers: 3, OwnOnly: true})
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	if !reflect.DeepEqual(a, b) || len(a[ownDetector].Times) == 0 {
		t.Fatalf("one goroutine: %v, three: %v", a, b)
	}
}

// Guards against a missed trial that improves a quantile, and against a bound below the known values for Poisson counts.
func TestStatistics(t *testing.T) {
	d := Detection{Times: []time.Duration{time.Second, 2 * time.Second}, Trials: 4}
	if q, ok := d.Quantile(0.5); !ok || q != 2*time.Second {
		t.Errorf("median %v, %v", q, ok)
	}
	if _, ok := d.Quantile(0.99); ok || d.Missed() != 0.5 {
		t.Errorf("p99 given although half was missed")
	}
	for events, want := range map[int]float64{0: 2.996, 1: 4.744, 10: 16.96} {
		if got := (Count{Events: events, Days: 1}).UpperPerDay(); math.Abs(got-want) > 0.01*want {
			t.Errorf("bound for %d events: %v, want %v", events, got, want)
		}
	}
}

// Guards against a table that hides a missed target.
func TestMissedTargetIsNamed(t *testing.T) {
	sc := Scenario{Shape: SupplierHub, Rate: defaultRate, Fault: Fault{Slow: 5}}
	if v := verdict(sc, Detection{Times: []time.Duration{3 * time.Second}, Trials: 1}); !strings.Contains(v, "missed") {
		t.Errorf("3 s against 2 s: %q", v)
	}
	var out strings.Builder
	WriteVerdict(&out, ejection.FewFalseEjections, [detectors]Count{ownDetector: {Days: 1000}})
	if !strings.Contains(out.String(), "not shown") {
		t.Errorf("no event in 1,000 days does not show the target: %s", out.String())
	}
}
