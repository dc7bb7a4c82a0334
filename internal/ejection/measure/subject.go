package measure

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// subject is a detector under measurement for one backend server.
type subject interface {
	observe(now time.Time, s ejection.Sample)
	tick(now time.Time)
	out() bool
}

// permitLease is the lease of a reservation in the design.
const permitLease = 3 * time.Second

// backend measures package ejection with a permit that is always granted and a health endpoint that is always green.
type backend struct {
	*ejection.Backend
	isOut bool
}

func (b *backend) observe(now time.Time, s ejection.Sample) { b.Observe(now, s) }

func (b *backend) tick(now time.Time) {
	mode := b.State(now).Mode
	if mode == ejection.Suspect || mode.Out() {
		b.Permit(now, now.Add(permitLease))
		if b.NeedsProbe(now) {
			b.ProbeResult(now, true)
		}
		mode = b.State(now).Mode
	}
	b.isOut = mode.Out()
}

func (b *backend) out() bool { return b.isOut }

const (
	consecutiveLimit = 5
	comparisonOut    = 30 * time.Second
)

// consecutive is the comparison detector: it ejects for a fixed time after consecutiveLimit requests in a row that failed
// or took longer than a fixed threshold.
type consecutive struct {
	threshold time.Duration
	inRow     int
	until     time.Time
	isOut     bool
}

func (c *consecutive) observe(now time.Time, s ejection.Sample) {
	if s.Result == ejection.Shed || now.Before(c.until) {
		return
	}
	if s.Result == ejection.OK && s.ServiceTime <= c.threshold {
		c.inRow = 0
		return
	}
	if c.inRow++; c.inRow >= consecutiveLimit {
		c.inRow, c.until = 0, now.Add(comparisonOut)
	}
}

func (c *consecutive) tick(now time.Time) { c.isOut = now.Before(c.until) }

func (c *consecutive) out() bool { return c.isOut }
