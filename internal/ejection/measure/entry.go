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

// figures returns the median service time over the last few seconds and the failures of that and of a longer time.
func (h *history) figures(now time.Duration) figures {
	var times [recentSamples]time.Duration
	var f figures
	n := 0
	for i := range h.ring {
		a := &h.ring[i]
		if a.took == 0 || now-a.at > recentErrors {
			continue
		}
		f.long.add(a.failed)
		if now-a.at > recent {
			continue
		}
		f.short.add(a.failed)
		if !a.failed {
			times[n] = a.took
			n++
		}
	}
	if n > 0 {
		slices.Sort(times[:n])
		f.median = times[n/2]
	}
	return f
}

// entry keeps the histories of one entry and reports baselines from them.
type entry struct {
	histories []history
	medians   []time.Duration // sorted
	own       []figures
	first     ejection.Baseline
}

type figures struct {
	median      time.Duration
	short, long tally
}

// tally counts answers and the failures among them.
type tally struct{ answers, failed int }

func (t *tally) add(failed bool) {
	t.answers++
	if failed {
		t.failed++
	}
}

func newEntry(members int) *entry {
	return &entry{histories: make([]history, members), own: make([]figures, members)}
}

// prepare computes the figures of all backend servers at now.
func (e *entry) prepare(now time.Duration) {
	e.medians = e.medians[:0]
	for i := range e.histories {
		e.own[i] = e.histories[i].figures(now)
		if e.own[i].median > 0 {
			e.medians = append(e.medians, e.own[i].median)
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

// errorShare returns the share of failures of the backend servers other than i: the larger of a short time, which follows
// a burst of errors of the whole service, and of a longer time, which covers low request rates.
func (e *entry) errorShare(i int) float64 {
	return max(e.pooled(i, func(f *figures) tally { return f.short }), e.pooled(i, func(f *figures) tally { return f.long }))
}

// pooled leaves out the backend server with the most failures, so that one failing backend server does not hide another.
func (e *entry) pooled(i int, pick func(*figures) tally) float64 {
	var all, worst tally
	for j := range e.own {
		if j == i {
			continue
		}
		t := pick(&e.own[j])
		all.answers, all.failed = all.answers+t.answers, all.failed+t.failed
		if t.failed > worst.failed {
			worst = t
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
