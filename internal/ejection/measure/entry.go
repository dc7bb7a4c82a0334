package measure

import (
	"math"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

const recentSamples = 16

type answer struct {
	at, took time.Duration
	failed   bool
}

// history holds the latest answers that one entry got from one backend server.
type history struct {
	ring [recentSamples]answer
	next int
}

func (h *history) add(a answer) {
	h.ring[h.next] = a
	h.next = (h.next + 1) % recentSamples
}

// figures returns the median service time and the error share of the answers that are still recent.
func (h *history) figures(now time.Duration) (median time.Duration, share float64, ok bool) {
	var times [recentSamples]time.Duration
	n, failed := 0, 0
	for i := range h.ring {
		a := &h.ring[i]
		switch {
		case a.took == 0 || now-a.at > recent:
		case a.failed:
			failed++
		default:
			times[n] = a.took
			n++
		}
	}
	if n == 0 {
		return 0, 0, false
	}
	slices.Sort(times[:n])
	return times[n/2], float64(failed) / float64(n+failed), true
}

// entry keeps the histories of one entry and reports baselines from them.
type entry struct {
	histories []history
	medians   []time.Duration
	shares    []float64
	own       []time.Duration
	ownShare  []float64
	first     ejection.Baseline
}

func newEntry(members int) *entry {
	return &entry{histories: make([]history, members), own: make([]time.Duration, members), ownShare: make([]float64, members)}
}

// prepare computes the figures of all backend servers at now.
func (e *entry) prepare(now time.Duration) {
	e.medians, e.shares = e.medians[:0], e.shares[:0]
	for i := range e.histories {
		m, s, ok := e.histories[i].figures(now)
		e.own[i], e.ownShare[i] = m, s
		if ok {
			e.medians = append(e.medians, m)
			e.shares = append(e.shares, s)
		}
	}
	slices.Sort(e.medians)
	slices.Sort(e.shares)
}

// baseline returns the medians over the backend servers other than i.
func (e *entry) baseline(i int) ejection.Baseline {
	n := len(e.medians)
	if e.own[i] == 0 {
		if n == 0 {
			return ejection.Baseline{}
		}
		return ejection.Baseline{Median: e.medians[n/2], ErrorShare: e.shares[n/2], Members: n}
	}
	if n < 2 {
		return ejection.Baseline{}
	}
	return ejection.Baseline{
		Median: middleWithout(e.medians, e.own[i]), ErrorShare: middleWithout(e.shares, e.ownShare[i]), Members: n - 1,
	}
}

// middleWithout returns the median of sorted after one occurrence of v is left out.
func middleWithout[T time.Duration | float64](sorted []T, v T) T {
	at, _ := slices.BinarySearch(sorted, v)
	mid := (len(sorted) - 1) / 2
	if mid >= at {
		mid++
	}
	return sorted[mid]
}

// distort returns what entry 0 reports behind a cut.
func (e *entry) distort(c Cut, b ejection.Baseline) ejection.Baseline {
	switch c {
	case TooLow:
		b.Median = max(b.Median/10, 1)
	case TooHigh:
		b.Median *= 10
	case Silent, AllCut:
		b = ejection.Baseline{}
	case StaleCut:
		if e.first.Members == 0 {
			e.first = b
		}
		b = e.first
	}
	return b
}

func logNormal(z, spread float64) float64 { return math.Exp(z * spread) }
