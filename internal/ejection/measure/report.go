package measure

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// ParseOverride adds a "name=value" to the overrides.
func ParseOverride(o *Options, s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok {
		return fmt.Errorf("%q: expected name=value", s)
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	if o.Override == nil {
		o.Override = map[string]float64{}
	}
	o.Override[name] = v
	return nil
}

// Run writes the whole report, or the part of one preset.
func Run(w io.Writer, preset string, days float64, o Options) error {
	byPreset := map[string][]Shape{
		ejection.FastDetection:     {BuyerPortal, SupplierHub},
		ejection.FewFalseEjections: {CounterService, LinenIntake},
	}
	for _, p := range []string{ejection.FastDetection, ejection.FewFalseEjections} {
		if preset != "" && preset != p {
			continue
		}
		if err := runPreset(w, p, byPreset[p], days, o); err != nil {
			return err
		}
	}
	return nil
}

func runPreset(w io.Writer, preset string, shapes []Shape, days float64, o Options) error {
	if o.Trials > 0 {
		for _, sh := range shapes {
			if err := WriteFaults(w, sh, o); err != nil {
				return err
			}
		}
		if err := WriteRestarts(w, shapes, o); err != nil {
			return err
		}
	}
	if days <= 0 {
		return nil
	}
	var sum [detectors]Count
	for _, sh := range shapes {
		r, err := WriteHealthy(w, sh, days, o)
		if err != nil {
			return err
		}
		for d := range sum {
			sum[d].Events += r[d].Events
			sum[d].ByErrors += r[d].ByErrors
			sum[d].Days += r[d].Days
		}
	}
	WriteVerdict(w, preset, sum)
	return nil
}
