package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Services of the two deployments that the presets are made for.
var (
	BuyerPortal    = ServiceProfile{"buyer portal", ejection.FastDetection, 20, 5}
	SupplierHub    = ServiceProfile{"supplier hub", ejection.FastDetection, 8, 5}
	CounterService = ServiceProfile{"counter service", ejection.FewFalseEjections, 17, 3}
	LinenIntake    = ServiceProfile{"linen intake", ejection.FewFalseEjections, 8, 3}
)

// Targets of the design. detectionTarget bounds the p99 of the detection time of a fivefold
// slowdown at 50 requests per second. falseEjectionTarget bounds the false ejections per
// backend-server day.
var (
	detectionTarget     = map[string]time.Duration{ejection.FastDetection: 2 * time.Second, ejection.FewFalseEjections: 10 * time.Second}
	falseEjectionTarget = 1.0 / 1000
)

// Usual values of Scenario.Rate and Scenario.Spread, and the spread of a heavy tail.
const (
	defaultRate   = 50
	defaultSpread = 0.6
	heavySpread   = 1.0
)

// FaultScenarios returns the scenarios of a service with a fault in one backend server.
func FaultScenarios(svc ServiceProfile) []Scenario {
	var out []Scenario
	add := func(name string, rate, spread float64, f Fault, change func(*Scenario)) {
		sc := Scenario{Name: name, Service: svc, Rate: rate, Spread: spread, Fault: f}
		if change != nil {
			change(&sc)
		}
		out = append(out, sc)
	}
	for _, f := range []float64{2, 5, 20} {
		add(fmt.Sprintf("slow by %g", f), defaultRate, defaultSpread, Fault{SlowFactor: f}, nil)
	}
	add("slow by 5, heavy tail", defaultRate, heavySpread, Fault{SlowFactor: 5}, nil)
	add("slow by 5", 10, defaultSpread, Fault{SlowFactor: 5}, nil)
	add("slow by 5", 2, defaultSpread, Fault{SlowFactor: 5}, nil)
	for _, e := range []float64{0.02, 0.1, 0.5} {
		add(fmt.Sprintf("errors %g %%", e*100), defaultRate, defaultSpread, Fault{ErrorShare: e}, nil)
	}
	add("errors 50 %", 2, defaultSpread, Fault{ErrorShare: 0.5}, nil)
	add("wrong or truncated 5 %", defaultRate, defaultSpread, Fault{InvalidShare: 0.05}, nil)
	for _, p := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		add(fmt.Sprintf("slow by 5, flapping every %g s", p.Seconds()), defaultRate, defaultSpread, Fault{SlowFactor: 5, FlapPeriod: p}, nil)
	}
	for _, fault := range []BaselineFault{BaselinesMissing, BaselinesTooLow, BaselinesTooHigh} {
		add("slow by 5, one entry: "+fault.String(), defaultRate, defaultSpread, Fault{SlowFactor: 5}, func(s *Scenario) { s.BaselineFault = fault })
	}
	return out
}

// HealthyScenario is a scenario without a fault and the number of backend-server days to simulate.
type HealthyScenario struct {
	Scenario
	Days float64
}

// HealthyScenarios returns the scenarios of a service without a fault. scale multiplies the days.
func HealthyScenarios(svc ServiceProfile, scale float64) []HealthyScenario {
	base := Scenario{Service: svc, Rate: defaultRate, Spread: defaultSpread}
	with := func(name string, days float64, change func(*Scenario)) HealthyScenario {
		sc := base
		sc.Name = name
		change(&sc)
		return HealthyScenario{sc, days * scale}
	}
	return []HealthyScenario{
		with("load swings, pauses", 100, func(*Scenario) {}),
		with("load swings, pauses, heavy tail", 100, func(s *Scenario) { s.Spread = heavySpread }),
		with("load swings, pauses", 200, func(s *Scenario) { s.Rate = 10 }),
		with("load swings, pauses, heavy tail", 200, func(s *Scenario) { s.Rate, s.Spread = 10, heavySpread }),
		with("load swings, pauses", 200, func(s *Scenario) { s.Rate = 2 }),
		with("load swings, pauses, heavy tail", 200, func(s *Scenario) { s.Rate, s.Spread = 2, heavySpread }),
		with("one entry: "+BaselinesMissing.String(), 20, func(s *Scenario) { s.BaselineFault = BaselinesMissing }),
		with("one entry: "+BaselinesTooLow.String(), 20, func(s *Scenario) { s.BaselineFault = BaselinesTooLow }),
		with("one entry: "+BaselinesStale.String(), 20, func(s *Scenario) { s.BaselineFault = BaselinesStale }),
		with("no entry has baselines", 20, func(s *Scenario) { s.BaselineFault = AllBaselinesMissing }),
		with("paused observer", 20, func(s *Scenario) { s.ObserverPauseInterval = time.Minute }),
	}
}

// WriteFaults runs the fault scenarios of a service and writes their results as a Markdown table.
func WriteFaults(w io.Writer, svc ServiceProfile, o Options) error {
	fmt.Fprintf(w, "\n%s: %d backend servers, %d slots, preset `%s`, %d trials a row\n\n", svc.Name, svc.BackendServers, svc.Slots, svc.Preset, o.Trials)
	fmt.Fprintln(w, "| fault | requests/s | p50 | p99 | missed | comparison 3× p50 / p99 / missed | comparison 10× p50 / p99 / missed | target |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, sc := range FaultScenarios(svc) {
		r, err := RunTrials(sc, o)
		if err != nil {
			return err
		}
		underTest := r[detectorUnderTest]
		fmt.Fprintf(w, "| %s | %g | %s | %s | %.1f %% | %s | %s | %s |\n", sc.Name, sc.Rate, formatQuantile(underTest, 0.5), formatQuantile(underTest, 0.99),
			100*underTest.MissedShare(), formatComparison(r[comparisonTight]), formatComparison(r[comparisonLoose]), targetResult(sc, underTest))
	}
	return nil
}

// formatComparison returns the table cell of a comparison detector.
func formatComparison(d Detection) string {
	return fmt.Sprintf("%s / %s / %.1f %%", formatQuantile(d, 0.5), formatQuantile(d, 0.99), 100*d.MissedShare())
}

func formatQuantile(d Detection, q float64) string {
	t, ok := d.Quantile(q)
	if !ok {
		return fmt.Sprintf("> %g s", trialTimeout.Seconds())
	}
	return fmt.Sprintf("%.1f s", t.Seconds())
}

// targetResult compares the p99 with the target. It returns "" if the design has no target for sc.
func targetResult(sc Scenario, d Detection) string {
	target := detectionTarget[sc.Service.Preset]
	if sc.Fault != (Fault{SlowFactor: 5}) || sc.Rate != defaultRate {
		return ""
	}
	if t, ok := d.Quantile(0.99); ok && t <= target {
		return fmt.Sprintf("p99 ≤ %g s: met", target.Seconds())
	}
	return fmt.Sprintf("p99 ≤ %g s: **missed**", target.Seconds())
}

// WriteHealthy runs the scenarios of a service without a fault, writes their results as a Markdown
// table and returns the sum over its rows.
func WriteHealthy(w io.Writer, svc ServiceProfile, scale float64, o Options) ([detectorCount]FalseEjections, error) {
	var total [detectorCount]FalseEjections
	fmt.Fprintf(w, "\n%s: %d backend servers, %d slots, preset `%s`\n\n", svc.Name, svc.BackendServers, svc.Slots, svc.Preset)
	fmt.Fprintln(w, "| healthy stream | requests/s | backend-server days | false ejections (for errors) | per day (95 % upper bound) | comparison 3× per day | comparison 10× per day |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, run := range HealthyScenarios(svc, scale) {
		r, err := RunHealthy(run.Scenario, run.Days, o)
		if err != nil {
			return total, err
		}
		for d := range total {
			total[d].Total += r[d].Total
			total[d].ByErrors += r[d].ByErrors
			total[d].Days += r[d].Days
		}
		writeCounts(w, run.Name, fmt.Sprintf("%g", run.Rate), r)
	}
	writeCounts(w, "sum", "", total)
	return total, nil
}

func writeCounts(w io.Writer, name, rate string, r [detectorCount]FalseEjections) {
	underTest := r[detectorUnderTest]
	fmt.Fprintf(w, "| %s | %s | %.1f | %d (%d) | %.2g (%.2g) | %.2g | %.2g |\n", name, rate, underTest.Days, underTest.Total, underTest.ByErrors, underTest.PerDay(),
		underTest.UpperBoundPerDay(), r[comparisonTight].PerDay(), r[comparisonLoose].PerDay())
}

// WriteColdStarts writes a Markdown table of the ejections of a backend server that starts cold,
// with one row for each service.
func WriteColdStarts(w io.Writer, services []ServiceProfile, o Options) error {
	fmt.Fprintln(w, "\n| cold start | preset | starts | ejected | comparison 3× ejected | comparison 10× ejected |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, svc := range services {
		r, err := RunTrials(Scenario{Name: "cold start", Service: svc, Rate: defaultRate, Spread: defaultSpread, ColdStart: true}, o)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %s | `%s` | %d | %d | %d | %d |\n", svc.Name, svc.Preset, o.Trials, len(r[detectorUnderTest].Times),
			len(r[comparisonTight].Times), len(r[comparisonLoose].Times))
	}
	return nil
}

// WriteTargetResult writes whether the false ejections of a preset meet its target. The target of
// few-false-ejections is met only if the upper confidence bound meets it, since a rate measured
// over few days says little.
func WriteTargetResult(w io.Writer, preset string, sum [detectorCount]FalseEjections) {
	underTest, tight, loose := sum[detectorUnderTest], sum[comparisonTight], sum[comparisonLoose]
	fmt.Fprintf(w, "\n`%s`, all healthy streams: %d false ejections in %.0f backend-server days; 95 %% upper bound %.2g per 1,000 days. ",
		preset, underTest.Total, underTest.Days, 1000*underTest.UpperBoundPerDay())
	fmt.Fprintf(w, "Comparison: %d (3×) and %d (10×). ", tight.Total, loose.Total)
	if preset != ejection.FewFalseEjections {
		fmt.Fprintf(w, "Target (fewer than the comparison detectors): %s.\n",
			formatTargetOutcome(underTest.Total < tight.Total && underTest.Total < loose.Total, false))
		return
	}
	fmt.Fprintf(w, "Target (at most 1 per 1,000 days): %s.\n",
		formatTargetOutcome(underTest.UpperBoundPerDay() <= falseEjectionTarget, underTest.PerDay() <= falseEjectionTarget))
}

func formatTargetOutcome(met, metByRate bool) string {
	switch {
	case met:
		return "met"
	case metByRate:
		return "met by the measured rate, **not shown** by the upper bound"
	}
	return "**missed**"
}

// WriteParameters writes the parameters of both presets as a Markdown table.
func WriteParameters(w io.Writer) error {
	fast, err := ejection.Preset(ejection.FastDetection)
	if err != nil {
		return err
	}
	few, err := ejection.Preset(ejection.FewFalseEjections)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "| name | unit | range | fast-detection | few-false-ejections | meaning |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, param := range ejection.Parameters() {
		fmt.Fprintf(w, "| `%s` | %s | %g to %g | %g | %g | %s |\n", param.Name, param.Unit, param.Min, param.Max, param.Value(fast), param.Value(few), param.Meaning)
	}
	return nil
}
