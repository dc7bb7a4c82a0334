package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against daemons that together let more pass than the bound in any window, whatever happens to
// holders, links and lists, with organisations far above their limits. Requests count from when they
// are admitted, which is stricter than to count those that are sent and arrive in the same window.
func TestSumStaysWithinBound(t *testing.T) {
	for _, size := range []int{3, 12, 97, 1200} {
		for _, c := range []struct {
			name  string
			fault func(*simulation)
		}{
			{"calm", func(*simulation) {}},
			{"a third does not run", func(s *simulation) { s.notRunShare = 0.3 }},
			{"all that does not run, then all does", func(s *simulation) {
				s.notRunShare = 1
				s.after(4*time.Second, func() { s.notRunShare = 0 })
			}},
			{"region cut off", cutRegion},
			{"holders killed", killHolders},
			{"holders paused", pauseHolders},
			{"daemons join", joinDaemons},
			{"all restarted", restartAll},
		} {
			t.Run(fmt.Sprintf("%d daemons, %s", size, c.name), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(size, threeRegions, 7)
				s.limits["small"], s.limits["medium"], s.limits["large"] = Limits{5, 5}, Limits{20, 20}, Limits{126, 126}
				s.limits["peaky"] = Limits{126, 5}
				for _, name := range s.organisations() {
					s.traffic(name, 3.6*s.limits[name].Rate, 24*time.Second, s.anyDaemon)
				}
				s.run(8 * time.Second)
				c.fault(s)
				s.run(27 * time.Second)
				s.checkWindows(t)
			})
		}
	}
}

// cutRegion cuts a region off from the others and from the registry. The others forget its daemons
// after 3 s.
func cutRegion(s *simulation) {
	inC := func(d *simulatedDaemon) bool { return d.Region == "c" }
	s.cut = func(a, b *simulatedDaemon) bool { return inC(a) != inC(b) }
	s.after(3*time.Second, func() {
		outside := slices.DeleteFunc(slices.Clone(s.daemons), inC)
		s.setPlansOf(outside, threeRegions, func(d *simulatedDaemon) bool { return !inC(d) }, time.Second)
	})
}

// largeHolder returns the daemon that holds the first part of the organisation in a region.
func largeHolder(s *simulation, region, organisation string) *simulatedDaemon {
	for _, d := range s.daemons {
		if d.Region == region && s.daemons[0].taker.plan.Holder(region, organisation, 0) == d.VM {
			return d
		}
	}
	panic("no holder")
}

// killHolders kills a holder of each organisation in one region and has the lists lose it, and
// starts it again later.
func killHolders(s *simulation) {
	for _, organisation := range s.organisations() {
		d := largeHolder(s, "a", organisation)
		d.down = true
		s.after(2*time.Second, func() { s.setPlans(threeRegions, func(o *simulatedDaemon) bool { return !o.down }, 2*time.Second) })
		s.after(8*time.Second, func() {
			s.start(d, threeRegions)
			s.setPlans(threeRegions, func(o *simulatedDaemon) bool { return !o.down }, 2*time.Second)
		})
	}
}

// pauseHolders pauses a holder of each organisation for 5 s. The lists lose it meanwhile, and
// it does not know when it goes on.
func pauseHolders(s *simulation) {
	for _, organisation := range s.organisations() {
		d := largeHolder(s, "b", organisation)
		d.pausedUntil = s.now + 5*time.Second
		s.after(3*time.Second, func() {
			s.setPlansOf(s.daemons, threeRegions, func(o *simulatedDaemon) bool { return o.pausedUntil <= s.now }, time.Second)
		})
		s.after(7*time.Second, func() { s.setPlans(threeRegions, func(*simulatedDaemon) bool { return true }, 2*time.Second) })
	}
}

// joinDaemons adds daemons, which the lists of others get up to 2 s apart. Their predecessors may be
// isolated, which ends their holding after 2 s.
func joinDaemons(s *simulation) {
	for range max(len(s.daemons)/30, 1) {
		d := &simulatedDaemon{Daemon: Daemon{VM: fmt.Sprint("new", len(s.daemons)), Region: threeRegions[len(s.daemons)%3]}}
		s.daemons = append(s.daemons, d)
		s.start(d, threeRegions)
	}
	s.daemons[0].isolated, s.daemons[0].lastHeard = true, s.now
	s.setPlans(threeRegions, func(*simulatedDaemon) bool { return true }, 2*time.Second)
}

func restartAll(s *simulation) {
	for _, d := range s.daemons {
		d.down = true
	}
	s.after(time.Second, func() {
		for _, d := range s.daemons {
			s.start(d, threeRegions)
		}
		s.setPlans(threeRegions, func(*simulatedDaemon) bool { return true }, 500*time.Millisecond)
	})
}

// Guards against refusals of organisations that use 0.6 of their limits, spread over the fleet, in one
// region or at one daemon. One bucket with the rate and the burst of the contract for the whole fleet
// would refuse as many.
func TestRefusalsBelowLimit(t *testing.T) {
	for _, size := range []int{3, 97, 1200} {
		for name, at := range map[string]func(*simulation) *simulatedDaemon{
			"everywhere": (*simulation).anyDaemon,
			"one region": func(s *simulation) *simulatedDaemon { return s.daemons[s.random.IntN(len(s.daemons)/3)*3] },
			"one daemon": func(s *simulation) *simulatedDaemon { return s.daemons[1] },
		} {
			t.Run(fmt.Sprintf("%d daemons, %s", size, name), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(size, threeRegions, 3)
				for i := range 40 {
					s.limits[fmt.Sprint("small", i)] = Limits{5, 5}
				}
				s.limits["medium"], s.limits["large"] = Limits{20, 20}, Limits{126, 126}
				s.run(4 * time.Second)
				for _, organisation := range s.organisations() {
					s.traffic(organisation, 0.6*s.limits[organisation].Rate, 34*time.Second, func() *simulatedDaemon { return at(s) })
				}
				s.run(40 * time.Second)
				admitted, refused, unreachable := 0, 0, 0
				for _, organisation := range s.organisations() {
					admitted += s.admitted[organisation]
					refused += s.refused[organisation]
					unreachable += s.unreachable[organisation]
				}
				t.Logf("%d admitted, %d refused, %d above the contract, %d messages", admitted, refused, s.aboveContract, s.messages)
				if unreachable > 0 || refused > s.aboveContract {
					t.Errorf("%d admitted, %d refused, %d without an answer, %d above the contract", admitted, refused, unreachable, s.aboveContract)
				}
			})
		}
	}
}

// Guards against faults that cost organisations at 0.6 of their limits more than the faulty part: after a
// start of all daemons large organisations get less for two seconds, and otherwise a holder costs its
// part until the lists lose it.
func TestRefusalsBelowLimitDuringFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*simulation)
		// share is the highest share of the requests in the 16 s from the fault that may be refused.
		share float64
	}{
		{"region cut off", cutRegion, 0.005},
		{"holders killed", killHolders, 0.005},
		{"holders paused", pauseHolders, 0.005},
		{"daemons join", joinDaemons, 0.005},
		{"all restarted", restartAll, 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(97, threeRegions, 11)
			for i := range 40 {
				s.limits[fmt.Sprint("small", i)] = Limits{5, 5}
			}
			s.limits["medium"], s.limits["large"] = Limits{20, 20}, Limits{126, 126}
			for _, organisation := range s.organisations() {
				s.traffic(organisation, 0.6*s.limits[organisation].Rate, 24*time.Second, s.anyDaemon)
			}
			s.run(8 * time.Second)
			clear(s.admitted)
			clear(s.refused)
			clear(s.unreachable)
			c.fault(s)
			s.run(25 * time.Second)
			admitted, refused := 0, 0
			for _, organisation := range s.organisations() {
				admitted += s.admitted[organisation]
				refused += s.refused[organisation] + s.unreachable[organisation]
			}
			t.Logf("%d admitted, %d refused", admitted, refused)
			if float64(refused) > c.share*float64(admitted+refused) {
				t.Errorf("%d admitted, %d refused", admitted, refused)
			}
		})
	}
}

// Guards against two daemons that both hold a part and together pass the bound. Half of the entries know of
// a new daemon at once, the other half and the earlier holder only when the earlier holder must end without
// contact, and the organisation is far above its limit at both halves.
func TestTwoHoldersStayWithinBound(t *testing.T) {
	for _, l := range []Limits{{20, 1}, {20, 20}, {126, 5}} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			region := []string{"a"}
			s := newSimulation(8, region, 5)
			s.limits["o"] = l
			s.traffic("o", 4*l.Rate, 24*time.Second, s.anyDaemon)
			s.run(8 * time.Second)
			before := s.daemons[0].taker.plan
			d := &simulatedDaemon{Daemon: Daemon{VM: "new", Region: "a"}}
			for i := 0; !movesTo(before, d, "o"); i++ {
				d.VM = fmt.Sprint("new", i)
			}
			s.daemons = append(s.daemons, d)
			s.start(d, region)
			first, rest := []*simulatedDaemon{d}, []*simulatedDaemon(nil)
			for i, other := range s.daemons[:8] {
				if i%2 == 0 && other.VM != before.Holder("a", "o", 0) {
					first = append(first, other)
				} else {
					rest = append(rest, other)
				}
			}
			all := func(*simulatedDaemon) bool { return true }
			s.setPlansOf(first, region, all, 0)
			s.after(takeoverTime, func() { s.setPlansOf(rest, region, all, 0) })
			s.run(27 * time.Second)
			s.checkWindows(t)
		})
	}
}

// movesTo reports whether the first part of the organisation moves to the daemon when it joins.
func movesTo(before *Plan, d *simulatedDaemon, organisation string) bool {
	var daemons []Daemon
	for _, m := range before.members[0] {
		daemons = append(daemons, Daemon{m.vm, "a", ""})
	}
	return NewPlan(before.regions, append(daemons, d.Daemon)).Holder("a", organisation, 0) == d.VM
}
