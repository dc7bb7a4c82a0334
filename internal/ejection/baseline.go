package ejection

import (
	"slices"
	"time"
)

// maxBaselines bounds the baselines kept. A median over them is computed when a window opens, and
// when its service times and its errors are judged. With more entries the latest ones are kept.
const maxBaselines = 32

// Baseline is what one entry reports about the other backend servers of the service.
type Baseline struct {
	// Median is the median over the other backend servers of their recent median service times.
	Median time.Duration
	// ErrorShare is the recent share of failures, from 0 to 1. It is over all responses of the
	// other backend servers except the one with the most failures. A median over backend servers
	// would be 0 at low request rates, where most of them have no failure among their few recent
	// responses.
	ErrorShare float64
	// Members is the number of other backend servers of which the entry had samples.
	Members int
}

// isPlausible reports whether all fields are in range.
func (b Baseline) isPlausible() bool {
	return b.Median > 0 && b.ErrorShare >= 0 && b.ErrorShare <= 1 && b.Members > 0
}

// receivedBaseline is the latest baseline of one entry.
type receivedBaseline struct {
	entry      string
	receivedAt time.Time
	Baseline
}

// baselines holds the latest baseline of each entry. medians and shares are scratch space of
// medianAt.
type baselines struct {
	maxAge     time.Duration
	minMembers int
	entries    []receivedBaseline
	medians    []time.Duration
	shares     []float64
}

// put replaces the baseline of an entry. When full, it replaces the oldest baseline of any entry.
// Implausible baselines are ignored.
func (b *baselines) put(now time.Time, entry string, v Baseline) {
	if !v.isPlausible() {
		return
	}
	e := receivedBaseline{entry, now, v}
	oldest := 0
	for i := range b.entries {
		if b.entries[i].entry == entry {
			b.entries[i] = e
			return
		}
		if b.entries[i].receivedAt.Before(b.entries[oldest].receivedAt) {
			oldest = i
		}
	}
	if len(b.entries) < maxBaselines {
		b.entries = append(b.entries, e)
		return
	}
	b.entries[oldest] = e
}

// combinedBaseline is the median over the baselines of several entries. The zero value means that
// there is none.
type combinedBaseline struct {
	median  time.Duration
	share   float64
	entries int
}

// medianAt returns the median over the baselines that have not expired and cover enough backend
// servers. For an even number of entries it takes the upper one. Of two entries that disagree, the
// one that gives less evidence therefore counts.
func (b *baselines) medianAt(now time.Time) combinedBaseline {
	b.medians, b.shares = b.medians[:0], b.shares[:0]
	for i := range b.entries {
		e := &b.entries[i]
		if now.Sub(e.receivedAt) <= b.maxAge && e.Members >= b.minMembers {
			b.medians = append(b.medians, e.Median)
			b.shares = append(b.shares, e.ErrorShare)
		}
	}
	n := len(b.medians)
	if n == 0 {
		return combinedBaseline{}
	}
	slices.Sort(b.medians)
	slices.Sort(b.shares)
	return combinedBaseline{b.medians[n/2], b.shares[n/2], n}
}

// larger returns the larger median and share of the two, or the zero value when either is missing.
func (r combinedBaseline) larger(o combinedBaseline) combinedBaseline {
	if r.entries == 0 || o.entries == 0 {
		return combinedBaseline{}
	}
	return combinedBaseline{max(r.median, o.median), max(r.share, o.share), min(r.entries, o.entries)}
}
