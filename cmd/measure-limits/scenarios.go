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
	// daemons is the size of the fleet.
	daemons int
	// concurrency is per customer.
	concurrency int
	// start makes holders and entries start together: measured is the first lease, without a warm-up.
	start bool
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
	list := []scenario{
		steady("hot, 50 daemons, 200% of limit", 1, 2000, 4000, among(50), 1),
		steady("hot, 50 daemons, 75% of limit", 1, 2000, 1500, among(50), 1),
		steady("hot, 50 daemons skewed, 75% of limit", 1, 2000, 1500, skewed(50), 1),
		steady("hot, 50 daemons skewed, 95% of limit", 1, 2000, 1900, skewed(50), 1),
		steady("one daemon, moves every 30 s, 80% of limit", 1, 100, 80, moving(30*time.Second), 1),
		steady("all daemons, 2000% of limit", 1, 20, 400, among(fleetSize), 1),
		steady("37,000 small, on 2 daemons each, 20% of limit", small, 11.2, 2.24, among(2), smallScale),
		steady("37,000 small, on all daemons, 20% of limit", small, 11.2, 2.24, among(fleetSize), smallScale),
		steady("37,000 small, on all daemons, 80% of limit", small, 2.8, 2.24, among(fleetSize), smallScale),
	}
	return append(list,
		fleetStart("start of 4 daemons, 20% of limit", 4, 2000, 400),
		fleetStart("start of 3 daemons, 50% of limit", 3, 200, 100),
		fleetStart("start of 50 daemons, 40% of limit", 50, 2000, 800),
		fleetStart("start of 1,200 daemons, 40% of limit", fleetSize, 2000, 800),
	)
}

func steady(name string, customers int, limit, rate float64, daemon func(*rand.Rand, int, time.Duration) int, scale float64) scenario {
	return scenario{name: name, customers: customers, limit: limit, rate: rate, daemon: daemon, scale: scale,
		daemons: fleetSize, concurrency: int(limit) + 1}
}

// fleetStart has one customer whose requests arrive evenly at all daemons. The ratio of concurrency and rate is that of
// examples/local.
func fleetStart(name string, daemons int, limit, rate float64) scenario {
	daemon := func(r *rand.Rand, _ int, _ time.Duration) int { return r.IntN(daemons) }
	return scenario{name: name, customers: 1, limit: limit, rate: rate, daemon: daemon, scale: 1,
		daemons: daemons, concurrency: int(limit / 5), start: true}
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
