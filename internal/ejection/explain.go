package ejection

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Evidence is the state of one cumulative sum and its threshold.
type Evidence struct {
	Value, Threshold float64
	// Since is when the value last rose from zero. It is the zero time while the value is zero.
	Since time.Time
	// Samples is the number of requests judged since then.
	Samples int
}

// Explanation tells an operator why a backend server is in its mode.
type Explanation struct {
	State State
	// Since is the start of the mode.
	Since    time.Time
	Override Override
	Latency  Evidence
	Errors   Evidence
	// SlowRatio is the recent typical service time divided by the baseline.
	SlowRatio float64
	// ErrorShare is the recent error share. NormalErrorShare is the one taken as normal.
	ErrorShare, NormalErrorShare float64
	// BaselineMedian is the baseline of the last window judged. It is the median over
	// BaselineEntries entries.
	BaselineMedian  time.Duration
	BaselineEntries int
	// NextHoldOff is the hold-off of the next ejection.
	NextHoldOff time.Duration
	// ProbesPassed is the number of probes passed in a row. ProbesNeeded of them end the ejection.
	ProbesPassed, ProbesNeeded int
	// Ejections and Pauses are counts since the start of the home.
	Ejections, Pauses int
	// Reason says in one sentence why the backend server is in its mode.
	Reason string
}

// Explain returns the evidence, the thresholds and the reason for the mode at now.
func (b *Backend) Explain(now time.Time) Explanation {
	state := b.State(now)
	d := b.detector
	normal, _ := d.errorShares(d.lastBaseline.share)
	e := Explanation{
		State: state, Since: b.modeSince, Override: b.override,
		Latency: d.latency.evidence(d.cfg.LatencyThreshold), Errors: d.errors.evidence(d.cfg.ErrorThreshold),
		SlowRatio: math.Exp(d.recentLogRatio), ErrorShare: d.recentErrorShare, NormalErrorShare: normal,
		BaselineMedian: d.lastBaseline.median, BaselineEntries: d.lastBaseline.entries,
		NextHoldOff: b.holdOff(b.nextHoldOffLevel()), ProbesPassed: b.probesPassed, ProbesNeeded: int(b.cfg.Probes),
		Ejections: b.ejections, Pauses: b.pauses,
	}
	e.Reason = e.reason()
	return e
}

func (s cusum) evidence(threshold float64) Evidence {
	e := Evidence{Value: s.value, Threshold: threshold}
	if s.value > 0 {
		e.Since, e.Samples = s.since, s.samples
	}
	return e
}

func (e Explanation) reason() string {
	switch e.State.Mode {
	case Warming:
		return "cold start: requests are not evidence yet"
	case Active:
		if e.Override == PinInService {
			return "pinned in service by an operator"
		}
		return "evidence is below the thresholds"
	case Suspect:
		return e.cause() + "; in service because no permit to be out is held"
	case Ejected:
		return e.cause() + "; out until the hold-off ends"
	case Probing:
		return e.cause() + "; out until enough probes in a row pass"
	case Ramping:
		return "back in service; concurrency grows step by step"
	default:
		return "draining: no new requests"
	}
}

// cause returns why the backend server should be out.
func (e Explanation) cause() string {
	if e.Override == ForceOut {
		return "forced out by an operator"
	}
	if e.Latency.Value == 0 && e.Errors.Value == 0 {
		return "no evidence left since an operator's override was cleared"
	}
	var parts []string
	if e.Latency.Value >= e.Errors.Value/e.Errors.Threshold*e.Latency.Threshold {
		parts = append(parts, fmt.Sprintf("slow: %.1f times the baseline", e.SlowRatio))
	}
	if e.Errors.Value >= e.Latency.Value/e.Latency.Threshold*e.Errors.Threshold {
		parts = append(parts, fmt.Sprintf("errors: share %.3f against a normal share of %.3f", e.ErrorShare, e.NormalErrorShare))
	}
	return strings.Join(parts, ", ")
}

// String returns the explanation as lines of text for the command-line tool.
func (e Explanation) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "mode: %s since %s (%s)\n", e.State.Mode, e.Since.UTC().Format(time.RFC3339), e.Reason)
	fmt.Fprintf(&s, "allowed concurrency: %d, remaining: %s, permit: %s, override: %s\n",
		e.State.Allowed, e.State.Remaining, e.State.Permit, e.Override)
	fmt.Fprintf(&s, "latency evidence: %s; recent ratio to baseline %.2f\n", e.Latency, e.SlowRatio)
	fmt.Fprintf(&s, "error evidence: %s; recent share %.4f, normal share %.4f\n", e.Errors, e.ErrorShare, e.NormalErrorShare)
	fmt.Fprintf(&s, "baseline: %s from %d entries\n", e.BaselineMedian, e.BaselineEntries)
	fmt.Fprintf(&s, "next hold-off: %s, probes passed: %d of %d, ejections: %d, pauses: %d\n",
		e.NextHoldOff, e.ProbesPassed, e.ProbesNeeded, e.Ejections, e.Pauses)
	return s.String()
}

// String returns the value, the threshold, the start and the number of samples.
func (v Evidence) String() string {
	if v.Since.IsZero() {
		return fmt.Sprintf("0 of %g", v.Threshold)
	}
	return fmt.Sprintf("%.1f of %g since %s, %d samples", v.Value, v.Threshold, v.Since.UTC().Format(time.RFC3339), v.Samples)
}
