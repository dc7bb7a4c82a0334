// Command measure-operations estimates in an event model how often callers of at-most-once operations learn no outcome when
// owners are killed or replaced, for keys that name their owner and for deterministic placement with quarantine. It prints
// the table of docs/operations-at-most-once.md. The figures are the same in every run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

// model holds the assumptions.
type model struct {
	vms                    int
	failures, replacements float64 // a day
	operations             float64 // a second, in the fleet
	keyLife                time.Duration
	// keyToArrival is the time from the issue of a key until the operation arrives at the owner.
	keyToArrival time.Duration
	operation    time.Duration
	// lost is the part of responses that do not reach the caller; it repeats after repeatAfter.
	lost        float64
	repeatAfter time.Duration
	// otherRegion is the part of repeats that arrive in the other region.
	otherRegion float64
	days        int
}

// counts are operations over all days.
type counts struct {
	total, notRunUnknown, ranUnknown, refused float64
}

func main() {
	m := model{}
	flag.IntVar(&m.vms, "vms", 1200, "VMs in the fleet")
	flag.Float64Var(&m.failures, "failures", 18, "VMs that fail a day")
	flag.Float64Var(&m.replacements, "replacements", 830, "VMs that are restarted or replaced a day")
	flag.Float64Var(&m.operations, "operations", 8300, "at-most-once operations a second, a tenth of the peak")
	flag.DurationVar(&m.keyLife, "key-life", 120*time.Second, "life of a key, and the quarantine")
	flag.DurationVar(&m.keyToArrival, "key-to-arrival", 20*time.Millisecond, "from the issue of a key to the arrival of the operation")
	flag.DurationVar(&m.operation, "operation", 50*time.Millisecond, "time of an operation")
	flag.Float64Var(&m.lost, "lost", 0.001, "part of responses that are lost")
	flag.DurationVar(&m.repeatAfter, "repeat-after", time.Second, "time until a caller repeats")
	flag.Float64Var(&m.otherRegion, "other-region", 0.01, "part of repeats that arrive in the other region")
	flag.IntVar(&m.days, "days", 365, "days to model")
	flag.Parse()

	fmt.Println("| mechanism | unknown, did not run, a day | unknown, ran or may have run, a day | refused for quarantine, a day | not answered, per million |")
	fmt.Println("|---|---|---|---|---|")
	m.print("owner in the key, replacements drain", m.ownerInKey(true))
	m.print("owner in the key, replacements kill", m.ownerInKey(false))
	m.print("deterministic placement, quarantine of one key life", m.placement())
	fmt.Printf("\nDouble runs in an hour of partition between the regions: owner in the key 0, deterministic placement %.0f.\n", m.partition(time.Hour))
}

func (m model) print(name string, c counts) {
	days := float64(m.days)
	fmt.Printf("| %s | %.1f | %.1f | %.0f | %.3f |\n", name, c.notRunUnknown/days, c.ranUnknown/days, c.refused/days,
		(c.notRunUnknown+c.ranUnknown+c.refused)/c.total*1e6)
}

// losses calls f for every loss of a process, with the operations that began at its VM in the time before, as ages.
func (m model) losses(perDay float64, window time.Duration, f func(r *rand.Rand, ages []time.Duration)) {
	r := rand.New(rand.NewPCG(1, 2))
	perVM := m.operations / float64(m.vms)
	for t := r.ExpFloat64() / perDay; t < float64(m.days); t += r.ExpFloat64() / perDay {
		var ages []time.Duration
		for age := r.ExpFloat64() / perVM; age < window.Seconds(); age += r.ExpFloat64() / perVM {
			ages = append(ages, time.Duration(age*float64(time.Second)))
		}
		f(r, ages)
	}
}

// ownerInKey counts operations whose owner is lost between the issue of the key and the response, or between a lost response
// and the repeat. A draining owner finishes the operations in flight, so only the recorded responses are lost with it.
func (m model) ownerInKey(drain bool) counts {
	c := counts{total: m.operations * 86400 * float64(m.days)}
	answered := m.keyToArrival + m.operation
	window := answered + m.repeatAfter
	kill := func(r *rand.Rand, ages []time.Duration) {
		for _, age := range ages {
			switch {
			case age < m.keyToArrival:
				c.notRunUnknown++
			case age < answered || r.Float64() < m.lost:
				c.ranUnknown++
			}
		}
	}
	m.losses(m.failures, window, kill)
	if !drain {
		m.losses(m.replacements, window, kill)
		return c
	}
	m.losses(m.replacements, window, func(r *rand.Rand, ages []time.Duration) {
		for _, age := range ages {
			if age >= answered && r.Float64() < m.lost {
				c.ranUnknown++
			}
		}
	})
	return c
}

// placement counts the operations that fall into a quarantine. When a VM leaves the placement and when it comes back, its
// keys get a new owner, which must refuse them for one key life: the owner before may have run them. A drain does not help.
func (m model) placement() counts {
	c := counts{total: m.operations * 86400 * float64(m.days)}
	perLoss := 2 * m.keyLife.Seconds() * m.operations / float64(m.vms)
	m.losses(m.failures+m.replacements, m.operation, func(_ *rand.Rand, ages []time.Duration) {
		c.ranUnknown += float64(len(ages))
		c.refused += perLoss
	})
	return c
}

// partition counts double runs under deterministic placement while each region takes the other's VMs for dead: half of the keys
// have their owner in the other region, and a repeat that arrives there after the quarantine runs again.
func (m model) partition(d time.Duration) float64 {
	return m.operations * (d - m.keyLife).Seconds() * m.lost * m.otherRegion
}
