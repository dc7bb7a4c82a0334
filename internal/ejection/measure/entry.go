package measure

import (
	"math"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// historySize is the number of responses that an entry keeps for each backend server.
const historySize = 16

// response is one response as an entry received it.
type response struct {
	at, serviceTime time.Duration
	failed          bool
}

// history holds the latest responses that one entry received from one backend server.
type history struct {
	ring [historySize]response
	next int
}

func (h *history) add(r response) {
	h.ring[h.next] = r
	h.next = (h.next + 1) % historySize
}

// stats returns the median service time over shortWindow, and the failures over shortWindow and
// longWindow.
func (h *history) stats(now time.Duration) responseStats {
	var times [historySize]time.Duration
	var s responseStats
	n := 0
	for i := range h.ring {
		r := &h.ring[i]
		if r.serviceTime == 0 || now-r.at > longWindow {
			continue
		}
		s.long.add(r.failed)
		if now-r.at > shortWindow {
			continue
		}
		s.short.add(r.failed)
		if !r.failed {
			times[n] = r.serviceTime
			n++
		}
	}
	if n > 0 {
		slices.Sort(times[:n])
		s.median = times[n/2]
	}
	return s
}

// entry computes baselines from the responses that one entry received. Its slices, except
// sortedMedians, are indexed by backend server.
type entry struct {
	histories     []history
	sortedMedians []time.Duration
	stats         []responseStats
	firstBaseline ejection.Baseline
}

// responseStats summarizes the recent responses of one backend server. A median of 0 means that no
// request succeeded in shortWindow.
type responseStats struct {
	median      time.Duration
	short, long tally
}

// tally counts responses and the failures among them.
type tally struct{ responses, failed int }

func (t *tally) add(failed bool) {
	t.responses++
	if failed {
		t.failed++
	}
}

func newEntry(backendServers int) *entry {
	return &entry{histories: make([]history, backendServers), stats: make([]responseStats, backendServers)}
}

// updateStats computes the statistics of all backend servers at now.
func (e *entry) updateStats(now time.Duration) {
	e.sortedMedians = e.sortedMedians[:0]
	for i := range e.histories {
		e.stats[i] = e.histories[i].stats(now)
		if e.stats[i].median > 0 {
			e.sortedMedians = append(e.sortedMedians, e.stats[i].median)
		}
	}
	slices.Sort(e.sortedMedians)
}

// baseline returns the baseline of backend server i, computed from all others.
func (e *entry) baseline(i int) ejection.Baseline {
	medians := e.sortedMedians
	n := len(medians)
	mid := n / 2
	if e.stats[i].median > 0 { // the median of i itself does not count
		n--
		at, _ := slices.BinarySearch(medians, e.stats[i].median)
		if mid = n / 2; mid >= at {
			mid++
		}
	}
	if n == 0 {
		return ejection.Baseline{}
	}
	return ejection.Baseline{Median: medians[mid], ErrorShare: e.errorShare(i), Members: n}
}

// errorShare returns the share of failures of the backend servers other than i. It is the larger
// one of shortWindow, which follows an error burst of the whole service, and longWindow, which
// covers low request rates.
func (e *entry) errorShare(i int) float64 {
	return max(e.pooledErrorShare(i, func(f *responseStats) tally { return f.short }), e.pooledErrorShare(i, func(f *responseStats) tally { return f.long }))
}

// pooledErrorShare returns the share of failures over all responses of the backend servers other
// than i. It leaves out the one with the most failures, so that one failing backend server does not
// hide another.
func (e *entry) pooledErrorShare(i int, pick func(*responseStats) tally) float64 {
	var all, worst tally
	for j := range e.stats {
		if j == i {
			continue
		}
		t := pick(&e.stats[j])
		all.responses, all.failed = all.responses+t.responses, all.failed+t.failed
		if t.failed > worst.failed {
			worst = t
		}
	}
	if all.responses == worst.responses {
		return 0
	}
	return float64(all.failed-worst.failed) / float64(all.responses-worst.responses)
}

// applyFault returns what entry 0 reports instead of b under f.
func (e *entry) applyFault(f BaselineFault, b ejection.Baseline) ejection.Baseline {
	switch f {
	case BaselinesTooLow:
		b.Median = max(b.Median/10, 1)
	case BaselinesTooHigh:
		b.Median *= 10
	case BaselinesMissing, AllBaselinesMissing:
		b = ejection.Baseline{}
	case BaselinesStale:
		if e.firstBaseline.Members == 0 {
			e.firstBaseline = b
		}
		b = e.firstBaseline
	}
	return b
}

// logNormal returns the log-normal factor for the standard normal value z.
func logNormal(z, spread float64) float64 { return math.Exp(z * spread) }
