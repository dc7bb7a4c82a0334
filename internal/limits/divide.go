package limits

const (
	// Headroom is granted on top of the demand while the quota has room, so that growing traffic
	// does not have to wait for the next request. It is at most half the demand plus these
	// constants, in thousandths of a request per second and in requests in flight. It is never
	// taken from the demand of another entry.
	headroomRateMilli   = 2000
	headroomConcurrency = 2
)

// fairGrant returns the max-min fair grant of quota for demand, which is one of the n demands.
// While all demands fit, it adds a part of what is left, in proportion to the demand, but at most
// half the demand plus headroom.
func fairGrant(quota, demand, headroom uint64, n int, demandOf func(int) uint64) uint64 {
	var sum uint64
	for i := range n {
		sum += min(demandOf(i), quota)
	}
	if sum > quota {
		return min(demand, fairLevel(quota, n, demandOf))
	}
	if demand == 0 || sum == 0 {
		return 0
	}
	// Computed in floating point because the product may overflow an integer.
	extra := uint64(float64(quota-sum) * float64(demand) / float64(sum))
	return min(quota, demand+min(demand/2+headroom, extra))
}

// fairLevel returns the max-min fair level for n demands: each entry gets at most the level, and
// the sum of min(demand, level) is at most quota. It returns quota when all demands fit.
func fairLevel(quota uint64, n int, demandOf func(int) uint64) uint64 {
	var sum uint64
	for i := range n {
		sum += min(demandOf(i), quota)
	}
	if sum <= quota {
		return quota
	}
	// Each pass satisfies the demands that are no larger than an equal division of what is left.
	// The level only rises.
	level := quota / uint64(n)
	for {
		var satisfied uint64
		unsatisfied := 0
		for i := range n {
			if d := demandOf(i); d <= level {
				satisfied += d
			} else {
				unsatisfied++
			}
		}
		next := (quota - satisfied) / uint64(unsatisfied)
		if next <= level {
			return level
		}
		level = next
	}
}
