package limits

// fairLevel returns the max-min fair level: each asker gets at most the level, and the sum of min(want, level) is at most
// part. It returns part when all wants fit.
func fairLevel(part uint64, n int, want func(int) uint64) uint64 {
	var sum uint64
	for i := range n {
		sum += min(want(i), part)
	}
	if sum <= part || n == 0 {
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
