package measure

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// ParseOverride parses a parameter written as "name=value" and adds it to o.Overrides. It does not
// check the name.
func ParseOverride(o *Options, s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok {
		return fmt.Errorf("parameter %q: expected name=value", s)
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	if o.Overrides == nil {
		o.Overrides = map[string]float64{}
	}
	o.Overrides[name] = v
	return nil
}

// Run runs the measurements and writes the report to w in Markdown, for one preset only if preset
// is not empty. days is a factor on the time simulated without faults; 0 leaves that part out. If
// o.Trials is 0, the part with faults is left out.
func Run(w io.Writer, preset string, days float64, o Options) error {
	byPreset := map[string][]ServiceProfile{
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

func runPreset(w io.Writer, preset string, services []ServiceProfile, days float64, o Options) error {
	if o.Trials > 0 {
		for _, svc := range services {
			if err := WriteFaults(w, svc, o); err != nil {
				return err
			}
		}
		if err := WriteColdStarts(w, services, o); err != nil {
			return err
		}
	}
	if days <= 0 {
		return nil
	}
	var sum [detectorCount]FalseEjections
	for _, svc := range services {
		r, err := WriteHealthy(w, svc, days, o)
		if err != nil {
			return err
		}
		for d := range sum {
			sum[d].Total += r[d].Total
			sum[d].ByErrors += r[d].ByErrors
			sum[d].Days += r[d].Days
		}
	}
	WriteTargetResult(w, preset, sum)
	return nil
}
