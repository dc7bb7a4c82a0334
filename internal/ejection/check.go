package ejection

import (
	"maps"
	"slices"
)

// CheckOverrides returns one message per override that cannot be used with the preset, by name. It is the detector check of
// documents.
func CheckOverrides(preset string, overrides map[string]float64) map[string]string {
	cfg, err := Preset(preset)
	if err != nil {
		return nil // the preset itself is checked with the document
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
