package ejection

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Names of the presets of a Config.
const (
	FastDetection     = "fast-detection"
	FewFalseEjections = "few-false-ejections"
)

// maxPendingWindows bounds the windows that wait to be judged. A settle time may span two fewer:
// one for the window that is still open, and one for the window that has just become due.
const maxPendingWindows = 128

// Config holds the parameters of the detector and of the state machine. Parameters lists their
// names, units, ranges and meanings. Durations are in seconds, as in the service document.
type Config struct {
	Window           float64
	Settle           float64
	Trend            float64
	SlowRatio        float64
	Drift            float64
	Clip             float64
	EvidenceCap      float64
	RecoveryCap      float64
	LatencyThreshold float64
	MinSpread        float64
	MaxSpread        float64
	MinSamples       float64
	MinMembers       float64
	BaselineAge      float64
	ErrorFloor       float64
	ErrorMargin      float64
	ErrorRatio       float64
	ErrorThreshold   float64
	ErrorSettle      float64
	InvalidWeight    float64
	ColdStart        float64
	SuspectShare     float64
	ClearShare       float64
	HoldOff          float64
	HoldOffMax       float64
	HoldOffDecay     float64
	Probes           float64
	ProbeInterval    float64
	RampSteps        float64
	RampStep         float64
	TickGap          float64
}

// Parameter describes one parameter of a Config.
type Parameter struct {
	Name, Unit, Meaning string
	Min, Max            float64
	// Whole is set when only whole numbers are valid.
	Whole bool

	field func(*Config) *float64
}

// Value returns the value of the parameter in c.
func (p Parameter) Value(c Config) float64 { return *p.field(&c) }

var parameters = []Parameter{
	{"window", "s", "length of one evidence window", 0.05, 2, false, func(c *Config) *float64 { return &c.Window }},
	{"settle", "s", "wait before the service times of a window are judged, so that baselines can follow a change of the whole service", 0, 5, false, func(c *Config) *float64 { return &c.Settle }},
	{"trend", "exponent", "applied to the rise of the baseline median during the settle time, by which the baseline is raised further, because it lags behind a change of the whole service; 0 is none", 0, 5, false, func(c *Config) *float64 { return &c.Trend }},
	{"slowRatio", "ratio", "service time over baseline below which a sample is never evidence of slowness", 1.1, 10, false, func(c *Config) *float64 { return &c.SlowRatio }},
	{"drift", "spreads", "subtracted from each sample's log ratio; larger means fewer false ejections and less sensitivity", 0.1, 2, false, func(c *Config) *float64 { return &c.Drift }},
	{"clip", "spreads", "largest log ratio that one sample contributes, either way", 1, 5, false, func(c *Config) *float64 { return &c.Clip }},
	{"evidenceCap", "evidence", "most evidence that one window adds", 0.5, 20, false, func(c *Config) *float64 { return &c.EvidenceCap }},
	{"recoveryCap", "evidence", "most evidence that one window takes away", 0.5, 20, false, func(c *Config) *float64 { return &c.RecoveryCap }},
	{"latencyThreshold", "evidence", "latency evidence at which the backend server is suspect", 4, 200, false, func(c *Config) *float64 { return &c.LatencyThreshold }},
	{"minSpread", "ln ratio", "lower bound of the learned standard deviation of the log ratio", 0.1, 2, false, func(c *Config) *float64 { return &c.MinSpread }},
	{"maxSpread", "ln ratio", "upper bound of the learned standard deviation, so that a failing backend server cannot widen it without limit", 0.2, 3, false, func(c *Config) *float64 { return &c.MaxSpread }},
	{"minSamples", "samples", "samples since the evidence was last zero that are needed before the backend server is suspect", 3, 1000, true, func(c *Config) *float64 { return &c.MinSamples }},
	{"minMembers", "backend servers", "other backend servers that a baseline must cover to be used", 1, 100, true, func(c *Config) *float64 { return &c.MinMembers }},
	{"baselineAge", "s", "age at which an entry's baseline expires", 1, 60, false, func(c *Config) *float64 { return &c.BaselineAge }},
	{"errorFloor", "share", "error share that is always taken as normal", 0.0001, 0.1, false, func(c *Config) *float64 { return &c.ErrorFloor }},
	{"errorMargin", "ratio", "factor on the baseline error share that is still normal", 1, 10, false, func(c *Config) *float64 { return &c.ErrorMargin }},
	{"errorRatio", "ratio", "error share tested for, over the normal error share", 2, 50, false, func(c *Config) *float64 { return &c.ErrorRatio }},
	{"errorThreshold", "evidence", "error evidence (natural log of the likelihood ratio) at which the backend server is suspect", 4, 200, false, func(c *Config) *float64 { return &c.ErrorThreshold }},
	{"errorSettle", "s", "wait before the errors of a window are judged, so that baselines can follow a burst of errors of the whole service", 0, 5, false, func(c *Config) *float64 { return &c.ErrorSettle }},
	{"invalidWeight", "errors", "number of errors that one wrong or truncated answer counts as", 1, 5, false, func(c *Config) *float64 { return &c.InvalidWeight }},
	{"coldStart", "s", "time after the start of the home in which nothing is evidence and concurrency grows", 0, 600, false, func(c *Config) *float64 { return &c.ColdStart }},
	{"suspectShare", "share", "share of the slots in use while suspect, at least one slot", 0.1, 1, false, func(c *Config) *float64 { return &c.SuspectShare }},
	{"clearShare", "share", "share of the threshold below which a suspect backend server is active again", 0.05, 0.95, false, func(c *Config) *float64 { return &c.ClearShare }},
	{"holdOff", "s", "first time out before probes start", 0.5, 600, false, func(c *Config) *float64 { return &c.HoldOff }},
	{"holdOffMax", "s", "upper bound of the time out before probes start; it doubles with each ejection", 1, 3600, false, func(c *Config) *float64 { return &c.HoldOffMax }},
	{"holdOffDecay", "s", "time in service after which one doubling is taken back", 1, 3600, false, func(c *Config) *float64 { return &c.HoldOffDecay }},
	{"probes", "probes", "probes in a row that must pass before the return", 1, 20, true, func(c *Config) *float64 { return &c.Probes }},
	{"probeInterval", "s", "time between probes", 0.05, 30, false, func(c *Config) *float64 { return &c.ProbeInterval }},
	{"rampSteps", "steps", "steps from one slot to all slots", 1, 20, true, func(c *Config) *float64 { return &c.RampSteps }},
	{"rampStep", "s", "length of one step of the ramp", 0.1, 60, false, func(c *Config) *float64 { return &c.RampStep }},
	{"tickGap", "s", "time without a call after which the process is taken as paused and the permit is dropped", 0.2, 3, false, func(c *Config) *float64 { return &c.TickGap }},
}

// Parameters returns a copy of the descriptions of all parameters, in the order of the
// documentation.
func Parameters() []Parameter { return slices.Clone(parameters) }

var presets = map[string]Config{
	FastDetection: {
		Window: 0.1, Settle: 0.6, Trend: 1,
		SlowRatio: 1.5, Drift: 0.5, Clip: 2, EvidenceCap: 3, RecoveryCap: 2, LatencyThreshold: 16,
		MinSpread: 0.5, MaxSpread: 1.5, MinSamples: 12, MinMembers: 3, BaselineAge: 5,
		ErrorFloor: 0.002, ErrorMargin: 1.5, ErrorRatio: 8, ErrorThreshold: 10, ErrorSettle: 0.9, InvalidWeight: 2,
		ColdStart: 20, SuspectShare: 0.5, ClearShare: 0.4,
		HoldOff: 5, HoldOffMax: 120, HoldOffDecay: 60, Probes: 3, ProbeInterval: 0.2,
		RampSteps: 4, RampStep: 1, TickGap: 1,
	},
	FewFalseEjections: {
		Window: 0.25, Settle: 2,
		SlowRatio: 1.6, Drift: 0.5, Clip: 2, EvidenceCap: 2, RecoveryCap: 1, LatencyThreshold: 30,
		MinSpread: 0.5, MaxSpread: 1.5, MinSamples: 20, MinMembers: 3, BaselineAge: 6,
		ErrorFloor: 0.003, ErrorMargin: 2, ErrorRatio: 8, ErrorThreshold: 18, ErrorSettle: 2, InvalidWeight: 2,
		ColdStart: 30, SuspectShare: 0.67, ClearShare: 0.4,
		HoldOff: 10, HoldOffMax: 300, HoldOffDecay: 120, Probes: 3, ProbeInterval: 0.5,
		RampSteps: 3, RampStep: 2, TickGap: 1,
	},
}

// Preset returns the Config of a preset by name. An unknown name is an error that lists the
// presets.
func Preset(name string) (Config, error) {
	c, ok := presets[name]
	if !ok {
		return Config{}, fmt.Errorf("unknown detector preset %q: expected one of %s", name,
			strings.Join(slices.Sorted(maps.Keys(presets)), ", "))
	}
	return c, nil
}

// Override returns c with the named parameters replaced. On error it returns c unchanged. The error
// names the first parameter in alphabetical order that is unknown or out of range, or two
// parameters that contradict each other.
func (c Config) Override(values map[string]float64) (Config, error) {
	out := c
	for _, name := range slices.Sorted(maps.Keys(values)) {
		i := slices.IndexFunc(parameters, func(p Parameter) bool { return p.Name == name })
		if i < 0 {
			return c, fmt.Errorf("unknown detector parameter %q", name)
		}
		if err := parameters[i].check(values[name]); err != nil {
			return c, err
		}
		*parameters[i].field(&out) = values[name]
	}
	if err := out.check(); err != nil {
		return c, err
	}
	return out, nil
}

// check returns an error if v is outside the range or not a whole number where one is needed.
func (p Parameter) check(v float64) error {
	if math.IsNaN(v) || v < p.Min || v > p.Max {
		return fmt.Errorf("detector parameter %q is %v: must be from %v to %v %s", p.Name, v, p.Min, p.Max, p.Unit)
	}
	if p.Whole && v != math.Trunc(v) {
		return fmt.Errorf("detector parameter %q is %v: must be a whole number", p.Name, v)
	}
	return nil
}

// check returns an error if two parameters contradict each other.
func (c Config) check() error {
	switch {
	case c.HoldOffMax < c.HoldOff:
		return fmt.Errorf("detector parameter \"holdOffMax\" (%v s) is below \"holdOff\" (%v s)", c.HoldOffMax, c.HoldOff)
	case c.MaxSpread < c.MinSpread:
		return fmt.Errorf("detector parameter \"maxSpread\" (%v) is below \"minSpread\" (%v)", c.MaxSpread, c.MinSpread)
	case c.Clip <= c.Drift:
		return fmt.Errorf("detector parameter \"clip\" (%v) must be above \"drift\" (%v), or slowness is never evidence", c.Clip, c.Drift)
	case c.Settle/c.Window > maxPendingWindows-2:
		return fmt.Errorf("detector parameter \"settle\" (%v s) spans more than %d windows of %v s", c.Settle, maxPendingWindows-2, c.Window)
	case c.ErrorSettle/c.Window > maxPendingWindows-2:
		return fmt.Errorf("detector parameter \"errorSettle\" (%v s) spans more than %d windows of %v s", c.ErrorSettle, maxPendingWindows-2, c.Window)
	case 2*c.EvidenceCap > c.LatencyThreshold || 2*c.EvidenceCap > c.ErrorThreshold:
		return fmt.Errorf("detector parameter \"evidenceCap\" (%v) must be at most half of each threshold, or one window could eject", c.EvidenceCap)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
