package ejection

import (
	"slices"
	"time"
)

// maxEntries bounds the baselines that are kept, since the median over them is computed when a window opens and when its
// service times and its errors are judged. With more entries the latest ones count.
const maxEntries = 32

// Baseline is what one entry reports about the other backend servers of the service.
type Baseline struct {
	// Median is the median over the other backend servers of their recent median service time.
	Median time.Duration
	// ErrorShare is the recent share of failures, from 0 to 1, over all answers of the other backend servers except the one
	// with the most failures. A median over backend servers would read 0 at low request rates, where most of them have
	// no failure among their few recent answers.
	ErrorShare float64
	// Members is the number of other backend servers that the entry had samples of.
	Members int
}

func (b Baseline) valid() bool {
	return b.Median > 0 && b.ErrorShare >= 0 && b.ErrorShare <= 1 && b.Members > 0
}

type entryBaseline struct {
	entry string
	at    time.Time
	Baseline
}

type baselines struct {
	maxAge     time.Duration
	minMembers int
	entries    []entryBaseline
	medians    []time.Duration
	shares     []float64
}

// put keeps the newest baseline of each entry. When full, the oldest one is replaced.
func (b *baselines) put(now time.Time, entry string, v Baseline) {
	if !v.valid() {
		return
	}
	e := entryBaseline{entry, now, v}
	oldest := 0
	for i := range b.entries {
		if b.entries[i].entry == entry {
			b.entries[i] = e
			return
		}
		if b.entries[i].at.Before(b.entries[oldest].at) {
			oldest = i
		}
	}
	if len(b.entries) < maxEntries {
		b.entries = append(b.entries, e)
		return
	}
	b.entries[oldest] = e
}

// reference is the baseline in force: the median over entries. The zero value means that there is none.
type reference struct {
	median  time.Duration
	share   float64
	entries int
}

// at returns the median over the unexpired baselines. For an even number of entries the upper one is taken, so that of two
// entries that disagree the one that shows less evidence counts.
func (b *baselines) at(now time.Time) reference {
	b.medians, b.shares = b.medians[:0], b.shares[:0]
	for i := range b.entries {
		e := &b.entries[i]
		if now.Sub(e.at) <= b.maxAge && e.Members >= b.minMembers {
			b.medians = append(b.medians, e.Median)
			b.shares = append(b.shares, e.ErrorShare)
		}
	}
	n := len(b.medians)
	if n == 0 {
		return reference{}
	}
	slices.Sort(b.medians)
	slices.Sort(b.shares)
	return reference{b.medians[n/2], b.shares[n/2], n}
}

// merge returns the larger of two references, or none when one of them is missing.
func (r reference) merge(o reference) reference {
	if r.entries == 0 || o.entries == 0 {
		return reference{}
	}
	return reference{max(r.median, o.median), max(r.share, o.share), min(r.entries, o.entries)}
}
