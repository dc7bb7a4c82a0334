package ejection

import (
	"maps"
	"slices"
)

// CheckOverrides validates the detector parameters of a service document. It returns an error
// message for each override that cannot be used with the preset, keyed by the name of the
// override. For an unknown preset it returns nil.
func CheckOverrides(preset string, overrides map[string]float64) map[string]string {
	cfg, err := Preset(preset)
	if err != nil {
		return nil // the preset itself is validated with the document
	}
	problems := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		next, err := cfg.Override(map[string]float64{name: overrides[name]})
		if err != nil {
			problems[name] = err.Error()
			continue
		}
		cfg = next
	}
	return problems
}
