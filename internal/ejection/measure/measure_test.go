package measure

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Guards against a change of parameters or logic that detects a slow backend server later than the
// target allows. The full measurement runs more trials.
func TestFivefoldSlowdownMeetsDetectionTarget(t *testing.T) {
	for _, svc := range []ServiceProfile{SupplierHub, LinenIntake} {
		sc := Scenario{Service: svc, Rate: defaultRate, Spread: defaultSpread, Fault: Fault{SlowFactor: 5}}
		r, err := RunTrials(sc, Options{Seed: 11, Trials: 20, Workers: 2, IgnoreComparison: true})
		if err != nil {
			t.Fatal(err)
		}
		if p, ok := r[detectorUnderTest].Quantile(0.99); !ok || p > detectionTarget[svc.Preset] {
			t.Errorf("%s: p99 of the detection time in 20 trials is %v (all detected: %v), target %v", svc.Name, p, ok, detectionTarget[svc.Preset])
		}
	}
}

// Guards against parameters or logic that eject healthy backend servers so often that a short run
// shows it: under load swings, observer pauses or without baselines.
func TestHealthyStreamsStayInService(t *testing.T) {
	for _, sc := range []Scenario{
		{Name: "swings", Service: LinenIntake, Rate: 10, Spread: heavySpread},
		{Name: "pauses", Service: LinenIntake, Rate: 10, Spread: defaultSpread, ObserverPauseInterval: time.Minute},
		{Name: "no baselines", Service: SupplierHub, Rate: 10, Spread: defaultSpread, BaselineFault: AllBaselinesMissing},
	} {
		r, err := RunHealthy(sc, 0.1, Options{Seed: 5, Workers: 2, StreamLength: 10 * time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		if r[detectorUnderTest].Total != 0 || r[detectorUnderTest].Days < 0.1 {
			t.Errorf("%s: want no false ejection in at least 0.1 backend-server days, got %+v", sc.Name, r[detectorUnderTest])
		}
		if r[comparisonTight].Total == 0 {
			t.Errorf("%s: the comparison detector ejected nothing either, so the scenario tests nothing", sc.Name)
		}
	}
}

// Guards against ejection of a backend server that is slow and failing because it has just started.
func TestColdStartIsNotDetected(t *testing.T) {
	sc := Scenario{Service: LinenIntake, Rate: defaultRate, Spread: defaultSpread, ColdStart: true}
	r, err := RunTrials(sc, Options{Seed: 3, Trials: 5, Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(r[detectorUnderTest].Times); n != 0 {
		t.Errorf("%d of 5 cold starts led to an ejection, want none", n)
	}
}

// Guards against results that depend on the number of goroutines or differ from run to run.
func TestSameSeedGivesSameFigures(t *testing.T) {
	sc := Scenario{Service: LinenIntake, Rate: 10, Spread: defaultSpread, Fault: Fault{ErrorShare: 0.5}}
	a, errA := RunTrials(sc, Options{Seed: 2, Trials: 6, Workers: 1, IgnoreComparison: true})
	b, errB := RunTrials(sc, Options{Seed: 2, Trials: 6, Workers: 3, IgnoreComparison: true})
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	if !reflect.DeepEqual(a, b) || len(a[detectorUnderTest].Times) == 0 {
		t.Fatalf("one goroutine: %v, three goroutines: %v, want equal results with a detection", a, b)
	}
}

// Guards against a quantile that ignores trials that missed the fault and so looks better than it
// is, and against a confidence bound that deviates from the known values for Poisson counts.
func TestQuantileAndUpperBound(t *testing.T) {
	d := Detection{Times: []time.Duration{time.Second, 2 * time.Second}, Trials: 4}
	if q, ok := d.Quantile(0.5); !ok || q != 2*time.Second {
		t.Errorf("median of 2 detections in 4 trials: %v, %v, want 2s, true", q, ok)
	}
	if _, ok := d.Quantile(0.99); ok || d.MissedShare() != 0.5 {
		t.Errorf("p99 is given although half of the trials missed the fault")
	}
	for events, want := range map[int]float64{0: 2.996, 1: 4.744, 10: 16.96} {
		if got := (FalseEjections{Total: events, Days: 1}).UpperBoundPerDay(); math.Abs(got-want) > 0.01*want {
			t.Errorf("upper bound for %d events in a day: %v, want %v", events, got, want)
		}
	}
}

// Guards against a report that claims a target which the results miss or are too few to show.
func TestReportStatesMissedTarget(t *testing.T) {
	sc := Scenario{Service: SupplierHub, Rate: defaultRate, Fault: Fault{SlowFactor: 5}}
	if got := targetResult(sc, Detection{Times: []time.Duration{3 * time.Second}, Trials: 1}); !strings.Contains(got, "missed") {
		t.Errorf("detection time 3 s with a target of 2 s: got %q, want a missed target", got)
	}
	var out strings.Builder
	WriteTargetResult(&out, ejection.FewFalseEjections, [detectorCount]FalseEjections{detectorUnderTest: {Days: 1000}})
	if !strings.Contains(out.String(), "not shown") {
		t.Errorf("no event in 1,000 days cannot show the target of 1 in 1,000 days, but the report says: %s", out.String())
	}
}
