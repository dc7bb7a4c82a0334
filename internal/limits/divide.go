package limits

const (
	// headroomRateMilli and headroomConcurrency are granted on top of half the demand while the part has room, so that growth does not
	// wait for the next request. Headroom never takes from another asker's demand.
	headroomRateMilli   = 2000
	headroomConcurrency = 2
)

// fairGrant returns the max-min fair grant for one want out of n. While all wants fit, it adds headroom from what is
// left, in proportion to the want and at most half the want plus base.
func fairGrant(part, mine, base uint64, n int, want func(int) uint64) uint64 {
	var sum uint64
	for i := range n {
		sum += min(want(i), part)
	}
	if sum > part {
		return min(mine, fairLevel(part, n, want))
	}
	if mine == 0 || sum == 0 {
		return 0
	}
	// In floating point, since the product may not fit an integer.
	rest := uint64(float64(part-sum) * float64(mine) / float64(sum))
	return min(part, mine+min(mine/2+base, rest))
}

// fairLevel returns the max-min fair level for wants that add up to more than part: each asker gets at most the level, and
// the sum of min(want, level) is at most part. It returns part when all wants fit.
func fairLevel(part uint64, n int, want func(int) uint64) uint64 {
	var sum uint64
	for i := range n {
		sum += min(want(i), part)
	}
	if sum <= part {
		return part
	}
	// Each pass takes out the askers that want no more than an equal division of what is left. The level only rises.
	level := part / uint64(n)
	for {
		var below uint64
		above := 0
		for i := range n {
			if w := want(i); w <= level {
				below += w
			} else {
				above++
			}
		}
		next := (part - below) / uint64(above)
		if next <= level {
			return level
		}
		level = next
	}
}
