package home

import (
	"slices"
	"time"
)

const (
	// recentCapacity bounds the requests that a summary covers. The median of 64 has a standard error of about a sixth of the
	// spread, which is small against the smallest ratio that the detector looks for.
	recentCapacity = 64
	// recentAge is the age up to which requests count, so that a summary follows load swings.
	recentAge = 10 * time.Second
	// minSummarySamples is the number of requests below which a summary says too little.
	minSummarySamples = 5
)

// recent holds the last requests of one backend server.
type recent struct {
	samples [recentCapacity]recentSample
	next    int
}

type recentSample struct {
	at     time.Time
	took   time.Duration
	failed bool
}

func (r *recent) add(now time.Time, took time.Duration, failed bool) {
	r.samples[r.next%recentCapacity] = recentSample{now, took, failed}
	r.next++
}

// Summary describes the recent requests of one backend server.
type Summary struct {
	Median     time.Duration
	ErrorShare float64
	Samples    int
}

// summary returns false when there were too few requests lately.
func (r *recent) summary(now time.Time) (Summary, bool) {
	var took []time.Duration
	failed := 0
	for _, s := range r.samples {
		if s.at.IsZero() || now.Sub(s.at) > recentAge {
			continue
		}
		took = append(took, s.took)
		if s.failed {
			failed++
		}
	}
	if len(took) < minSummarySamples {
		return Summary{}, false
	}
	slices.Sort(took)
	return Summary{Median: took[len(took)/2], ErrorShare: float64(failed) / float64(len(took)), Samples: len(took)}, true
}
