package contract

import (
	"fmt"
	"strconv"
	"time"
)

// ParseDuration parses a time span with a unit: ns, us, ms, s, m or h. A number without a unit is
// an error, because it could mean seconds or milliseconds.
func ParseDuration(text string) (Duration, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, fmt.Errorf("duration %q has no unit; write for example 250ms, 2s or 1m", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration; write a number with the unit ns, us, ms, s, m or h, for example 250ms", text)
	}
	return Duration(d), nil
}

// String returns the time span with its units, in a form that ParseDuration accepts.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the time span for YAML and JSON, with its units.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a time span from YAML or JSON with ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
