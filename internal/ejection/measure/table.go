package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Shapes of the two deployments.
var (
	BuyerPortal    = Shape{"buyer portal", ejection.FastDetection, 20, 5}
	SupplierHub    = Shape{"supplier hub", ejection.FastDetection, 8, 5}
	CounterService = Shape{"counter service", ejection.FewFalseEjections, 17, 3}
	LinenIntake    = Shape{"linen intake", ejection.FewFalseEjections, 8, 3}
)

// Targets of the design, for a backend server slow by 5 at 50 requests a second and for healthy streams.
var (
	detectionTarget = map[string]time.Duration{ejection.FastDetection: 2 * time.Second, ejection.FewFalseEjections: 10 * time.Second}
	falseTarget     = 1.0 / 1000
)

const (
	defaultRate   = 50
	defaultSpread = 0.6
	heavySpread   = 1.0
)

// Faults lists the scenarios with a fault in one backend server, for one shape.
func Faults(sh Shape) []Scenario {
	var out []Scenario
	add := func(name string, rate, spread float64, f Fault, change func(*Scenario)) {
		sc := Scenario{Name: name, Shape: sh, Rate: rate, Spread: spread, Fault: f}
		if change != nil {
			change(&sc)
		}
		out = append(out, sc)
	}
	for _, f := range []float64{2, 5, 20} {
		add(fmt.Sprintf("slow by %g", f), defaultRate, defaultSpread, Fault{Slow: f}, nil)
	}
	add("slow by 5, heavy tail", defaultRate, heavySpread, Fault{Slow: 5}, nil)
	add("slow by 5", 10, defaultSpread, Fault{Slow: 5}, nil)
	add("slow by 5", 2, defaultSpread, Fault{Slow: 5}, nil)
	for _, e := range []float64{0.02, 0.1, 0.5} {
		add(fmt.Sprintf("errors %g %%", e*100), defaultRate, defaultSpread, Fault{Errors: e}, nil)
	}
	add("errors 50 %", 2, defaultSpread, Fault{Errors: 0.5}, nil)
	add("wrong or truncated 5 %", defaultRate, defaultSpread, Fault{Invalid: 0.05}, nil)
	for _, p := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		add(fmt.Sprintf("slow by 5, flapping every %g s", p.Seconds()), defaultRate, defaultSpread, Fault{Slow: 5, Period: p}, nil)
	}
	for _, cut := range []Cut{Silent, TooLow, TooHigh} {
		add("slow by 5, one entry: "+cut.String(), defaultRate, defaultSpread, Fault{Slow: 5}, func(s *Scenario) { s.Cut = cut })
	}
	return out
}

// HealthyRun is a scenario without fault with the number of backend-server days to run.
type HealthyRun struct {
	Scenario
	Days float64
}

// HealthyRuns lists the streams without fault for one shape. The days are scaled.
func HealthyRuns(sh Shape, scale float64) []HealthyRun {
	base := Scenario{Shape: sh, Rate: defaultRate, Spread: defaultSpread}
	with := func(name string, days float64, change func(*Scenario)) HealthyRun {
		sc := base
		sc.Name = name
		change(&sc)
		return HealthyRun{sc, days * scale}
	}
	return []HealthyRun{
		with("load swings, pauses", 100, func(*Scenario) {}),
		with("load swings, pauses, heavy tail", 100, func(s *Scenario) { s.Spread = heavySpread }),
		with("load swings, pauses", 200, func(s *Scenario) { s.Rate = 10 }),
		with("load swings, pauses, heavy tail", 200, func(s *Scenario) { s.Rate, s.Spread = 10, heavySpread }),
		with("load swings, pauses", 200, func(s *Scenario) { s.Rate = 2 }),
		with("load swings, pauses, heavy tail", 200, func(s *Scenario) { s.Rate, s.Spread = 2, heavySpread }),
		with("one entry: "+Silent.String(), 20, func(s *Scenario) { s.Cut = Silent }),
		with("one entry: "+TooLow.String(), 20, func(s *Scenario) { s.Cut = TooLow }),
		with("one entry: "+StaleCut.String(), 20, func(s *Scenario) { s.Cut = StaleCut }),
		with("no entry has baselines", 20, func(s *Scenario) { s.Cut = AllCut }),
		with("paused observer", 20, func(s *Scenario) { s.PauseEvery = time.Minute }),
	}
}

// WriteFaults runs the fault scenarios of a shape and writes one Markdown table.
func WriteFaults(w io.Writer, sh Shape, o Options) error {
	fmt.Fprintf(w, "\n%s: %d backend servers, %d slots, preset `%s`, %d trials a row\n\n", sh.Name, sh.Members, sh.Slots, sh.Preset, o.Trials)
	fmt.Fprintln(w, "| fault | requests/s | p50 | p99 | missed | comparison 3× p50 / p99 / missed | comparison 10× p50 / p99 / missed | target |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, sc := range Faults(sh) {
		r, err := Detect(sc, o)
		if err != nil {
			return err
		}
		own := r[ownDetector]
		fmt.Fprintf(w, "| %s | %g | %s | %s | %.1f %% | %s | %s | %s |\n", sc.Name, sc.Rate, quantile(own, 0.5), quantile(own, 0.99),
			100*own.Missed(), triple(r[comparisonTight]), triple(r[comparisonLoose]), verdict(sc, own))
	}
	return nil
}

func triple(d Detection) string {
	return fmt.Sprintf("%s / %s / %.1f %%", quantile(d, 0.5), quantile(d, 0.99), 100*d.Missed())
}

func quantile(d Detection, q float64) string {
	t, ok := d.Quantile(q)
	if !ok {
		return fmt.Sprintf("> %g s", trialLimit.Seconds())
	}
	return fmt.Sprintf("%.1f s", t.Seconds())
}

// verdict compares the p99 with the target where the design has one.
func verdict(sc Scenario, d Detection) string {
	limit := detectionTarget[sc.Shape.Preset]
	if sc.Fault != (Fault{Slow: 5}) || sc.Rate != defaultRate {
		return ""
	}
	if t, ok := d.Quantile(0.99); ok && t <= limit {
		return fmt.Sprintf("p99 ≤ %g s: met", limit.Seconds())
	}
	return fmt.Sprintf("p99 ≤ %g s: **missed**", limit.Seconds())
}

// WriteHealthy runs the healthy scenarios of a shape, writes one Markdown table and returns the sum over its rows.
func WriteHealthy(w io.Writer, sh Shape, scale float64, o Options) ([detectors]Count, error) {
	var total [detectors]Count
	fmt.Fprintf(w, "\n%s: %d backend servers, %d slots, preset `%s`\n\n", sh.Name, sh.Members, sh.Slots, sh.Preset)
	fmt.Fprintln(w, "| healthy stream | requests/s | backend-server days | false ejections (for errors) | per day (95 % upper bound) | comparison 3× per day | comparison 10× per day |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, run := range HealthyRuns(sh, scale) {
		r, err := Healthy(run.Scenario, run.Days, o)
		if err != nil {
			return total, err
		}
		for d := range total {
			total[d].Events += r[d].Events
			total[d].ByErrors += r[d].ByErrors
			total[d].Days += r[d].Days
		}
		writeCounts(w, run.Name, fmt.Sprintf("%g", run.Rate), r)
	}
	writeCounts(w, "sum", "", total)
	return total, nil
}

func writeCounts(w io.Writer, name, rate string, r [detectors]Count) {
	own := r[ownDetector]
	fmt.Fprintf(w, "| %s | %s | %.1f | %d (%d) | %.2g (%.2g) | %.2g | %.2g |\n", name, rate, own.Days, own.Events, own.ByErrors, own.PerDay(),
		own.UpperPerDay(), r[comparisonTight].PerDay(), r[comparisonLoose].PerDay())
}

// WriteRestarts counts ejections of a backend server that starts cold, and its siblings, in one row per shape.
func WriteRestarts(w io.Writer, shapes []Shape, o Options) error {
	fmt.Fprintln(w, "\n| cold start | preset | starts | ejected | comparison 3× ejected | comparison 10× ejected |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, sh := range shapes {
		r, err := Detect(Scenario{Name: "cold start", Shape: sh, Rate: defaultRate, Spread: defaultSpread, Restart: true}, o)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %s | `%s` | %d | %d | %d | %d |\n", sh.Name, sh.Preset, o.Trials, len(r[ownDetector].Times),
			len(r[comparisonTight].Times), len(r[comparisonLoose].Times))
	}
	return nil
}

// WriteVerdict compares the false ejections of a preset with its target. The target of few-false-ejections counts as met
// only when the upper confidence bound meets it, since a rate from few days says little.
func WriteVerdict(w io.Writer, preset string, sum [detectors]Count) {
	own, tight, loose := sum[ownDetector], sum[comparisonTight], sum[comparisonLoose]
	fmt.Fprintf(w, "\n`%s`, all healthy streams: %d false ejections in %.0f backend-server days; 95 %% upper bound %.2g per 1,000 days. ",
		preset, own.Events, own.Days, 1000*own.UpperPerDay())
	fmt.Fprintf(w, "Comparison: %d (3×) and %d (10×). ", tight.Events, loose.Events)
	if preset != ejection.FewFalseEjections {
		fmt.Fprintf(w, "Target (fewer than the comparison detectors): %s.\n",
			outcome(own.Events < tight.Events && own.Events < loose.Events, false))
		return
	}
	fmt.Fprintf(w, "Target (at most 1 per 1,000 days): %s.\n",
		outcome(own.UpperPerDay() <= falseTarget, own.PerDay() <= falseTarget))
}

func outcome(met, withinMeasured bool) string {
	switch {
	case met:
		return "met"
	case withinMeasured:
		return "met by the measured rate, **not shown** by the upper bound"
	}
	return "**missed**"
}

// WriteNumbers writes the numbers of both presets as a Markdown table.
func WriteNumbers(w io.Writer) error {
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
	for _, n := range ejection.Numbers() {
		fmt.Fprintf(w, "| `%s` | %s | %g to %g | %g | %g | %s |\n", n.Name, n.Unit, n.Min, n.Max, n.Value(fast), n.Value(few), n.Meaning)
	}
	return nil
}
