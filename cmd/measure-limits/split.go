package main

import "time"

// splitBucket is the token bucket of one customer at one daemon under a fixed equal split.
type splitBucket struct {
	tokens  float64
	updated time.Time
}

// admitSplit reports whether a daemon admits a request under a fixed equal split of the limit. The
// burst of each daemon is one second of its part and at least one request.
func (f *simulatedFleet) admitSplit(now time.Time, customer, daemon int) bool {
	rate := f.scenario.limit / float64(f.scenario.daemons)
	key := [2]int{customer, daemon}
	b := f.splitBuckets[key]
	if b == nil {
		b = &splitBucket{tokens: max(1, rate), updated: now}
		f.splitBuckets[key] = b
	}
	b.tokens, b.updated = min(max(1, rate), b.tokens+now.Sub(b.updated).Seconds()*rate), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
