package home

import (
	"slices"
	"time"
)

const (
	// maxRecentRequests is the number of requests that a summary covers. The median of 64 has a
	// standard error of about a sixth of the spread, which is small against the smallest ratio that
	// the detector looks for.
	maxRecentRequests = 64
	// maxRecentAge is the age up to which requests count, so that a summary follows changes of
	// load.
	maxRecentAge = 10 * time.Second
	// minSummarySamples is the number of requests below which there is no summary.
	minSummarySamples = 5
)

// recentRequests is a ring buffer of the last requests of one backend server.
type recentRequests struct {
	samples [maxRecentRequests]recentSample
	next    int
}

type recentSample struct {
	at          time.Time
	serviceTime time.Duration
	failed      bool
}

func (r *recentRequests) add(now time.Time, serviceTime time.Duration, failed bool) {
	r.samples[r.next%maxRecentRequests] = recentSample{now, serviceTime, failed}
	r.next++
}

// Summary describes the recent requests of one backend server. ErrorShare is between 0 and 1.
type Summary struct {
	Median     time.Duration
	ErrorShare float64
	Samples    int
}

// summary returns false if there were fewer than minSummarySamples requests in the last
// maxRecentAge.
func (r *recentRequests) summary(now time.Time) (Summary, bool) {
	var serviceTimes []time.Duration
	failed := 0
	for _, s := range r.samples {
		if s.at.IsZero() || now.Sub(s.at) > maxRecentAge {
			continue
		}
		serviceTimes = append(serviceTimes, s.serviceTime)
		if s.failed {
			failed++
		}
	}
	if len(serviceTimes) < minSummarySamples {
		return Summary{}, false
	}
	slices.Sort(serviceTimes)
	return Summary{Median: serviceTimes[len(serviceTimes)/2], ErrorShare: float64(failed) / float64(len(serviceTimes)), Samples: len(serviceTimes)}, true
}
