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

// figures returns the median service time over the last few seconds and the answers and failures of a longer time, since
// failures are rare.
func (h *history) figures(now time.Duration) (median time.Duration, answers, failed int) {
	var times [recentSamples]time.Duration
	n := 0
	for i := range h.ring {
		a := &h.ring[i]
		if a.took == 0 || now-a.at > recentErrors {
			continue
		}
		answers++
		if a.failed {
			failed++
		} else if now-a.at <= recent {
			times[n] = a.took
			n++
		}
	}
	if n == 0 {
		return 0, answers, failed
	}
	slices.Sort(times[:n])
	return times[n/2], answers, failed
}

// entry keeps the histories of one entry and reports baselines from them.
type entry struct {
	histories []history
	medians   []time.Duration // sorted
	own       []figures
	first     ejection.Baseline
}

type figures struct {
	median          time.Duration
	answers, failed int
}

func newEntry(members int) *entry {
	return &entry{histories: make([]history, members), own: make([]figures, members)}
}

// prepare computes the figures of all backend servers at now.
func (e *entry) prepare(now time.Duration) {
	e.medians = e.medians[:0]
	for i := range e.histories {
		f := &e.own[i]
		f.median, f.answers, f.failed = e.histories[i].figures(now)
		if f.median > 0 {
			e.medians = append(e.medians, f.median)
		}
	}
	slices.Sort(e.medians)
}

// baseline returns the figures of the backend servers other than i.
func (e *entry) baseline(i int) ejection.Baseline {
	medians := e.medians
	n := len(medians)
	mid := n / 2
	if e.own[i].median > 0 { // leave it out
		n--
		at, _ := slices.BinarySearch(medians, e.own[i].median)
		if mid = n / 2; mid >= at {
			mid++
		}
	}
	if n == 0 {
		return ejection.Baseline{}
	}
	return ejection.Baseline{Median: medians[mid], ErrorShare: e.errorShare(i), Members: n}
}

// errorShare returns the share of failures of the backend servers other than i. The one with the most failures is left
// out, so that one failing backend server does not hide another.
func (e *entry) errorShare(i int) float64 {
	var all, worst figures
	for j, f := range e.own {
		if j == i {
			continue
		}
		all.answers, all.failed = all.answers+f.answers, all.failed+f.failed
		if f.failed > worst.failed {
			worst = f
		}
	}
	if all.answers == worst.answers {
		return 0
	}
	return float64(all.failed-worst.failed) / float64(all.answers-worst.answers)
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
