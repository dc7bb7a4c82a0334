package main

import "time"

// splitBucket is the token bucket of one customer at one daemon under a fixed equal split.
type splitBucket struct {
	tokens float64
	last   time.Time
}

// admitSplit admits by an equal part of the limit for each daemon, with a burst of at least one request.
func (f *fleet) admitSplit(now time.Time, customer, daemon int) bool {
	rate := f.scenario.limit / float64(f.scenario.daemons)
	key := [2]int{customer, daemon}
	b := f.splits[key]
	if b == nil {
		b = &splitBucket{tokens: max(1, rate), last: now}
		f.splits[key] = b
	}
	b.tokens, b.last = min(max(1, rate), b.tokens+now.Sub(b.last).Seconds()*rate), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
