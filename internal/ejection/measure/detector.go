package measure

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// detector decides whether one backend server is ejected. Its methods are called in virtual time.
type detector interface {
	// observe takes in the result of one request.
	observe(now time.Time, s ejection.Sample)
	// tick updates the decision.
	tick(now time.Time)
	// isEjected reports the decision of the latest tick.
	isEjected() bool
}

// permitLease is the lease of a reservation to take a backend server out of service.
const permitLease = 3 * time.Second

// ejectionDetector is the detector of package ejection. It always grants the permit to be out of
// service, and its health probes always pass.
type ejectionDetector struct {
	*ejection.Backend
	ejected bool
}

func (d *ejectionDetector) observe(now time.Time, s ejection.Sample) { d.Observe(now, s) }

func (d *ejectionDetector) tick(now time.Time) {
	mode := d.State(now).Mode
	if mode == ejection.Suspect || mode.IsOut() {
		d.Permit(now, now.Add(permitLease))
		if d.NeedsProbe(now) {
			d.ProbeResult(now, true)
		}
		mode = d.State(now).Mode
	}
	d.ejected = mode.IsOut()
}

func (d *ejectionDetector) isEjected() bool { return d.ejected }

// Settings of the comparison detectors.
const (
	maxConsecutiveFailures = 5
	comparisonEjectionTime = 30 * time.Second
)

// consecutiveDetector is the comparison detector. It ejects for comparisonEjectionTime after
// maxConsecutiveFailures requests in a row that failed or took longer than threshold.
type consecutiveDetector struct {
	threshold     time.Duration
	failuresInRow int
	ejectedUntil  time.Time
	ejected       bool
}

func (c *consecutiveDetector) observe(now time.Time, s ejection.Sample) {
	if s.Result == ejection.Shed || now.Before(c.ejectedUntil) {
		return
	}
	if s.Result == ejection.OK && s.ServiceTime <= c.threshold {
		c.failuresInRow = 0
		return
	}
	if c.failuresInRow++; c.failuresInRow >= maxConsecutiveFailures {
		c.failuresInRow, c.ejectedUntil = 0, now.Add(comparisonEjectionTime)
	}
}

func (c *consecutiveDetector) tick(now time.Time) { c.ejected = now.Before(c.ejectedUntil) }

func (c *consecutiveDetector) isEjected() bool { return c.ejected }
