// Command measure-operations estimates how often callers of at-most-once operations learn no
// outcome because the owner of the operation, the daemon that records its outcome, is killed or
// replaced.
//
// It compares two mechanisms in a simulation. Either the operation key names its owner, or the
// owner follows from the key by deterministic placement; then a new owner refuses the keys that it
// takes over for a quarantine of one key lifetime. The results are the same in every run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

// model holds the assumptions.
type model struct {
	vms                                int
	failuresPerDay, replacementsPerDay float64 // VMs per day, in the fleet
	operationsPerSecond                float64 // at-most-once operations in the fleet
	keyLifetime                        time.Duration
	// issueToArrival is the time from the issue of a key until the operation arrives at the owner.
	issueToArrival time.Duration
	operationTime  time.Duration
	// lostShare is the share of responses that do not reach the caller. The caller then repeats the
	// operation after repeatAfter.
	lostShare   float64
	repeatAfter time.Duration
	// otherRegionShare is the share of repeats that arrive in the other region.
	otherRegionShare float64
	days             int
}

// counts are numbers of operations over all days. Those whose outcome the caller does not learn are
// notRunUnknown if they did not run, and ranUnknown if they ran or may have run.
type counts struct {
	total, notRunUnknown, ranUnknown, refused float64
}

func main() {
	m := model{}
	flag.IntVar(&m.vms, "vms", 1200, "VMs in the fleet")
	flag.Float64Var(&m.failuresPerDay, "failures", 18, "VMs that fail per day")
	flag.Float64Var(&m.replacementsPerDay, "replacements", 830, "VMs that are restarted or replaced per day")
	flag.Float64Var(&m.operationsPerSecond, "operations", 8300, "at-most-once operations per second, by default a tenth of the design's peak")
	flag.DurationVar(&m.keyLifetime, "key-life", 120*time.Second, "lifetime of a key, and length of the quarantine")
	flag.DurationVar(&m.issueToArrival, "key-to-arrival", 20*time.Millisecond, "time from the issue of a key to the arrival of the operation")
	flag.DurationVar(&m.operationTime, "operation", 50*time.Millisecond, "run time of an operation")
	flag.Float64Var(&m.lostShare, "lost", 0.001, "share of responses that are lost, from 0 to 1")
	flag.DurationVar(&m.repeatAfter, "repeat-after", time.Second, "time from a lost response until the caller repeats the operation")
	flag.Float64Var(&m.otherRegionShare, "other-region", 0.01, "share of repeats that arrive in the other region, from 0 to 1")
	flag.IntVar(&m.days, "days", 365, "days to simulate")
	flag.Parse()

	fmt.Println("| mechanism | unknown, did not run, a day | unknown, ran or may have run, a day | refused for quarantine, a day | not answered, per million |")
	fmt.Println("|---|---|---|---|---|")
	m.print("owner in the key, replacements drain", m.ownerInKey(true))
	m.print("owner in the key, replacements kill", m.ownerInKey(false))
	m.print("deterministic placement, quarantine of one key life", m.deterministicPlacement())
	fmt.Printf("\nDouble runs in an hour of partition between the regions: owner in the key 0, deterministic placement %.0f.\n", m.doubleRuns(time.Hour))
}

func (m model) print(name string, c counts) {
	days := float64(m.days)
	fmt.Printf("| %s | %.1f | %.1f | %.0f | %.3f |\n", name, c.notRunUnknown/days, c.ranUnknown/days, c.refused/days,
		(c.notRunUnknown+c.ranUnknown+c.refused)/c.total*1e6)
}

// forEachLoss simulates the loss of processes at the given mean rate. It calls f for each one, with
// the ages of the operations whose keys were issued at its VM within window before the loss.
func (m model) forEachLoss(perDay float64, window time.Duration, f func(r *rand.Rand, ages []time.Duration)) {
	r := rand.New(rand.NewPCG(1, 2))
	perVM := m.operationsPerSecond / float64(m.vms)
	for t := r.ExpFloat64() / perDay; t < float64(m.days); t += r.ExpFloat64() / perDay {
		var ages []time.Duration
		for age := r.ExpFloat64() / perVM; age < window.Seconds(); age += r.ExpFloat64() / perVM {
			ages = append(ages, time.Duration(age*float64(time.Second)))
		}
		f(r, ages)
	}
}

// ownerInKey counts the operations whose owner is lost between the issue of the key and the
// response, or between a lost response and the repeat. If replaced VMs are drained, their
// operations in flight finish, and only the recorded responses are lost.
func (m model) ownerInKey(drained bool) counts {
	c := counts{total: m.operationsPerSecond * 86400 * float64(m.days)}
	responseAge := m.issueToArrival + m.operationTime
	window := responseAge + m.repeatAfter
	kill := func(r *rand.Rand, ages []time.Duration) {
		for _, age := range ages {
			switch {
			case age < m.issueToArrival:
				c.notRunUnknown++
			case age < responseAge || r.Float64() < m.lostShare:
				c.ranUnknown++
			}
		}
	}
	m.forEachLoss(m.failuresPerDay, window, kill)
	if !drained {
		m.forEachLoss(m.replacementsPerDay, window, kill)
		return c
	}
	m.forEachLoss(m.replacementsPerDay, window, func(r *rand.Rand, ages []time.Duration) {
		for _, age := range ages {
			if age >= responseAge && r.Float64() < m.lostShare {
				c.ranUnknown++
			}
		}
	})
	return c
}

// deterministicPlacement counts the operations that a quarantine refuses, and those in flight at a
// lost VM. When a VM leaves the placement and when it returns, its keys get a new owner. The new
// owner must refuse them for one key lifetime, because the previous owner may have run them.
// Draining does not prevent this.
func (m model) deterministicPlacement() counts {
	c := counts{total: m.operationsPerSecond * 86400 * float64(m.days)}
	refusedPerLoss := 2 * m.keyLifetime.Seconds() * m.operationsPerSecond / float64(m.vms)
	m.forEachLoss(m.failuresPerDay+m.replacementsPerDay, m.operationTime, func(_ *rand.Rand, ages []time.Duration) {
		c.ranUnknown += float64(len(ages))
		c.refused += refusedPerLoss
	})
	return c
}

// doubleRuns returns the number of operations that run twice under deterministic placement during a
// network partition of length d, in which each region considers the other's VMs dead. Half of the
// keys have their owner in the other region. A repeat that arrives there after the quarantine runs
// again.
func (m model) doubleRuns(d time.Duration) float64 {
	return m.operationsPerSecond * (d - m.keyLifetime).Seconds() * m.lostShare * m.otherRegionShare
}
