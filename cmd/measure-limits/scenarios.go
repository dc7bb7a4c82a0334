package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/limits"
)

const fleetSize = 1200

// scenario describes traffic. All customers have the same limit and the same rate.
type scenario struct {
	name      string
	customers int
	// limit and rate are per customer, in requests a second.
	limit, rate float64
	// daemon chooses the daemon that a request arrives at.
	daemon func(r *rand.Rand, customer int, elapsed time.Duration) int
	// scale multiplies the bytes, where the scenario has only a part of the customers of the design size.
	scale float64
}

// smallScale is the part of the 37,000 customers of the design size that the scenarios with many customers have.
const smallScale = 20

func among(n int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, customer int, _ time.Duration) int { return (customer*37 + r.IntN(n)) % fleetSize }
}

// skewed sends most requests to few of n daemons, in proportion to 1/k.
func skewed(n int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, _ int, _ time.Duration) int { return int(math.Pow(float64(n+1), r.Float64())) - 1 }
}

func moving(every time.Duration) func(*rand.Rand, int, time.Duration) int {
	return func(_ *rand.Rand, _ int, elapsed time.Duration) int { return int(elapsed/every) * 7 % fleetSize }
}

func scenarios() []scenario {
	small := 37000 / smallScale
	return []scenario{
		{"hot, 50 daemons, 200% of limit", 1, 2000, 4000, among(50), 1},
		{"hot, 50 daemons, 75% of limit", 1, 2000, 1500, among(50), 1},
		{"hot, 50 daemons skewed, 75% of limit", 1, 2000, 1500, skewed(50), 1},
		{"hot, 50 daemons skewed, 95% of limit", 1, 2000, 1900, skewed(50), 1},
		{"one daemon, moves every 30 s, 80% of limit", 1, 100, 80, moving(30 * time.Second), 1},
		{"all daemons, 2000% of limit", 1, 20, 400, among(fleetSize), 1},
		{"37,000 small, on 2 daemons each, 20% of limit", small, 11.2, 2.24, among(2), smallScale},
		{"37,000 small, on all daemons, 20% of limit", small, 11.2, 2.24, among(fleetSize), smallScale},
		{"37,000 small, on all daemons, 80% of limit", small, 2.8, 2.24, among(fleetSize), smallScale},
	}
}

// mechanism is one way to enforce limits.
type mechanism struct {
	name string
	// factor and burst are those of limits.Plan. A factor of 0 stands for a fixed equal split.
	factor, burst float64
}

func mechanisms() []mechanism {
	return []mechanism{
		{"shares, base factor 1, burst 1", 1, 1},
		{"shares, base factor 4, burst 1", 4, 1},
		{"shares, base factor 4, burst 3", limits.DefaultBaseFactor, limits.DefaultBaseBurst},
		{"fixed equal split", 0, 0},
	}
}
