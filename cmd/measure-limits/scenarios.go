package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/limits"
)

// fleetSize is the number of daemons at the design size.
const fleetSize = 1200

// scenario describes traffic. All customers have the same limit and the same rate.
type scenario struct {
	name      string
	customers int
	// limit and rate are per customer, in requests per second.
	limit, rate float64
	// chooseDaemon returns the index of the daemon that a request arrives at.
	chooseDaemon func(r *rand.Rand, customer int, elapsed time.Duration) int
	// byteScale multiplies the bytes, for scenarios that have only a part of the customers of the
	// design size.
	byteScale float64
	// daemons is the number of daemons in the fleet.
	daemons int
	// concurrency is the limit of requests in flight, per customer.
	concurrency int
	// measuresStart makes holders and entries start at the same time. The first lease is measured,
	// without a warm-up.
	measuresStart bool
}

// customerScale divides the 37,000 customers of the design size in the scenarios with many
// customers.
const customerScale = 20

// uniform sends the requests of each customer evenly to n daemons, which differ between customers.
func uniform(n int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, customer int, _ time.Duration) int { return (customer*37 + r.IntN(n)) % fleetSize }
}

// skewed sends most requests to few of n daemons: the k-th gets a part in proportion to 1/k.
func skewed(n int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, _ int, _ time.Duration) int { return int(math.Pow(float64(n+1), r.Float64())) - 1 }
}

// moving sends all requests to one daemon, and to another one after each period of length every.
func moving(every time.Duration) func(*rand.Rand, int, time.Duration) int {
	return func(_ *rand.Rand, _ int, elapsed time.Duration) int { return int(elapsed/every) * 7 % fleetSize }
}

func scenarios() []scenario {
	customers := 37000 / customerScale
	list := []scenario{
		steady("hot, 50 daemons, 200% of limit", 1, 2000, 4000, uniform(50), 1),
		steady("hot, 50 daemons, 75% of limit", 1, 2000, 1500, uniform(50), 1),
		steady("hot, 50 daemons skewed, 75% of limit", 1, 2000, 1500, skewed(50), 1),
		steady("hot, 50 daemons skewed, 95% of limit", 1, 2000, 1900, skewed(50), 1),
		steady("one daemon, moves every 30 s, 80% of limit", 1, 100, 80, moving(30*time.Second), 1),
		steady("all daemons, 2000% of limit", 1, 20, 400, uniform(fleetSize), 1),
		steady("37,000 small, on 2 daemons each, 20% of limit", customers, 11.2, 2.24, uniform(2), customerScale),
		steady("37,000 small, on all daemons, 20% of limit", customers, 11.2, 2.24, uniform(fleetSize), customerScale),
		steady("37,000 small, on all daemons, 80% of limit", customers, 2.8, 2.24, uniform(fleetSize), customerScale),
	}
	return append(list,
		fleetStart("start of 4 daemons, 20% of limit", 4, 2000, 400),
		fleetStart("start of 3 daemons, 50% of limit", 3, 200, 100),
		fleetStart("start of 50 daemons, 40% of limit", 50, 2000, 800),
		fleetStart("start of 1,200 daemons, 40% of limit", fleetSize, 2000, 800),
	)
}

// steady returns a scenario at the design's number of daemons that is measured after a warm-up.
func steady(name string, customers int, limit, rate float64, chooseDaemon func(*rand.Rand, int, time.Duration) int, byteScale float64) scenario {
	return scenario{name: name, customers: customers, limit: limit, rate: rate, chooseDaemon: chooseDaemon, byteScale: byteScale,
		daemons: fleetSize, concurrency: int(limit) + 1}
}

// fleetStart returns a scenario that measures the start of a fleet. One customer's requests arrive
// evenly at all daemons. The ratio of its concurrency and rate limits is that of examples/local.
func fleetStart(name string, daemons int, limit, rate float64) scenario {
	chooseDaemon := func(r *rand.Rand, _ int, _ time.Duration) int { return r.IntN(daemons) }
	return scenario{name: name, customers: 1, limit: limit, rate: rate, chooseDaemon: chooseDaemon, byteScale: 1,
		daemons: daemons, concurrency: int(limit / 5), measuresStart: true}
}

// mechanism is one way to enforce limits.
type mechanism struct {
	name string
	// baseFactor and baseBurst are those of limits.Plan. A factor of 0 selects the fixed equal
	// split.
	baseFactor, baseBurst float64
}

func mechanisms() []mechanism {
	return []mechanism{
		{"shares, base factor 1, burst 1", 1, 1},
		{"shares, base factor 4, burst 1", 4, 1},
		{"shares, base factor 4, burst 3", limits.DefaultBaseFactor, limits.DefaultBaseBurst},
		{"fixed equal split", 0, 0},
	}
}
