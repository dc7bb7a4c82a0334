package feed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// seriesCount is how many plays TestSeriesOfCutsDrillsAndRestarts has; -series 200 is for a run by hand.
var seriesCount = flag.Int("series", 24, "plays of TestSeriesOfCutsDrillsAndRestarts")

const (
	// registrationExpiry is the silence after which the store removes a registration.
	registrationExpiry = 4500 * time.Millisecond
	// seriesDuration is how long a play has disruptions, and seriesCalm the time after the last one within
	// which all must be well.
	seriesDuration = 40 * time.Second
	seriesCalm     = settleLimit + 5*time.Second
)

// series is a play of two regions in which cuts, drills of the store and restarts follow and overlap each
// other, while the operator publishes configurations.
type series struct {
	*region
	random *rand.Rand
	// cuts is set if VMs and regions are cut off too.
	cuts bool
	// versions are the acknowledged ones.
	versions []acknowledgedVersion
	// mayPublish is false from the begin of a drill until the operator has written again what was lost.
	mayPublish bool
	// disturbances holds for each VM how many cuts it is in.
	disturbances map[string]int
	cutSince     map[string]time.Time
	splits       int
	// disturbed is the last time at which a VM did not run or did not reach the store. storeDisturbed
	// is the last time at which the store was away.
	disturbed      map[string]time.Time
	storeDisturbed time.Time
	// pending are the events to come.
	pending []pendingEvent
	// served holds the daemons that serve.
	served map[*regionNode]bool
	events []string
}

type acknowledgedVersion struct {
	number uint64
	at     time.Time
}

// Guards in any order of events against a daemon in touch with the store that stays behind, and against
// one that trusts keys, or begins to serve, by what a store that came back from a copy still knew. A cut
// ends the registrations behind it, so the lists are as old as they can be.
func TestSeriesOfCutsDrillsAndRestarts(t *testing.T) {
	for seed := range uint64(*seriesCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playSeries(t, seed) })
		})
	}
}

func playSeries(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(54, seed))
	s := &series{
		region: newTwoRegions(2+random.IntN(8), 1+random.IntN(6)), random: random, cuts: seed%2 == 0, mayPublish: true,
		disturbances: map[string]int{}, cutSince: map[string]time.Time{}, disturbed: map[string]time.Time{}, served: map[*regionNode]bool{},
	}
	s.publishNext()
	s.registerAll()
	s.startAll()
	defer s.stopAll()
	s.until(t, "all trust their keys after a start", startBound+500*time.Millisecond, (*regionNode).trusts)
	time.Sleep(5 * time.Second)
	s.store.copy()
	next := s.nextEvents()
	end := time.Now().Add(seriesDuration)
	for now, calmSince := time.Now(), end; now.Before(calmSince.Add(seriesCalm)); now = time.Now() {
		if now.Before(end) || len(s.pending) > 0 {
			calmSince = now
		}
		for i := range next {
			if e := &next[i]; !now.Before(e.at) && now.Before(end) {
				e.at = now.Add(e.interval/2 + s.upTo(e.interval))
				e.play()
			}
		}
		s.playPending(now)
		s.note(now)
		if fault := s.check(now); fault != "" {
			t.Fatalf("%v before the end of the disruptions: %s\n%v", end.Sub(now), fault, s.events)
		}
		time.Sleep(leaseStep)
	}
	for _, vm := range s.names {
		if n := s.nodes[vm]; !n.trusts() || n.configurationInForce() != s.versions[len(s.versions)-1].number {
			t.Errorf("in the end %s has version %d, trusts its keys: %v: %s\n%v", vm, n.configurationInForce(), n.trusts(), n.describe(), s.events)
		}
	}
}

// pendingEvent is an event that is to come once.
type pendingEvent struct {
	at   time.Time
	play func()
}

// later plays an event after a time.
func (s *series) later(d time.Duration, play func()) {
	s.pending = append(s.pending, pendingEvent{time.Now().Add(d), play})
}

// playPending plays the events that are due, and those that these add without a delay.
func (s *series) playPending(now time.Time) {
	for i := 0; i < len(s.pending); i++ {
		if e := s.pending[i]; !now.Before(e.at) {
			s.pending = slices.Delete(s.pending, i, i+1)
			i--
			e.play()
		}
	}
}

// seriesEvent is a kind of event that repeats, each time between half and one and a half of the interval
// later.
type seriesEvent struct {
	at       time.Time
	interval time.Duration
	play     func()
}

func (s *series) nextEvents() []seriesEvent {
	events := []seriesEvent{
		{interval: 2 * time.Second, play: s.publishNext}, {interval: 12 * time.Second, play: s.drill}, {interval: 8 * time.Second, play: s.restartSome},
	}
	if s.cuts {
		events = append(events,
			seriesEvent{interval: 8 * time.Second, play: s.cutSome}, seriesEvent{interval: 15 * time.Second, play: s.cutInARow},
			seriesEvent{interval: 15 * time.Second, play: s.splitRegions}, seriesEvent{interval: 10 * time.Second, play: s.drainSome},
		)
	}
	for i := range events {
		events[i].at = time.Now().Add(s.upTo(events[i].interval))
	}
	return events
}

// upTo returns a random time.
func (s *series) upTo(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest/time.Millisecond))) * time.Millisecond
}

func (s *series) log(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("\n%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...)))
}

// some returns up to a share of all VMs.
func (s *series) some(share float64) []string {
	count := int(share * float64(len(s.names)) * s.random.Float64() * 1.3)
	var names []string
	for _, i := range s.random.Perm(len(s.names))[:min(max(count, 1), len(s.names))] {
		names = append(names, s.names[i])
	}
	slices.Sort(names)
	return names
}

func (s *series) publishNext() {
	if !s.mayPublish || s.away.Load() {
		return
	}
	version := uint64(len(s.versions) + 1)
	s.publish(version)
	s.versions = append(s.versions, acknowledgedVersion{version, time.Now()})
	s.log("version %d is acknowledged", version)
}

// drill makes the store leave and come back from a copy. What was written since is written again within
// rewriteTime.
func (s *series) drill() {
	if !s.mayPublish {
		return // the one before is not over
	}
	s.store.copy()
	s.log("the store is copied")
	s.later(s.upTo(8*time.Second), func() {
		s.mayPublish = false
		s.away.Store(true)
		s.log("the store leaves")
		s.later(100*time.Millisecond+s.upTo(2*time.Second), func() {
			s.store.restore()
			s.away.Store(false)
			s.log("the store is back")
			for _, vm := range s.names {
				s.later(s.upTo(rewriteTime), func() {
					if s.disturbances[vm] == 0 && !s.away.Load() {
						s.store.put(vm)
					}
				})
			}
			s.later(s.upTo(rewriteTime), func() {
				latest := s.versions[len(s.versions)-1].number
				s.publish(latest)
				s.mayPublish = true
				s.log("version %d is written again", latest)
			})
		})
	})
}

// restartSome kills daemons, at times all of them, and starts them anew.
func (s *series) restartSome() {
	names := slices.DeleteFunc(s.some(1), func(vm string) bool { return s.nodes[vm].killed.Load() })
	s.log("killed: %v", names)
	for _, vm := range names {
		s.nodes[vm].kill()
	}
	s.later(500*time.Millisecond+s.upTo(time.Second), func() {
		for _, vm := range names {
			s.add(vm)
			s.nodes[vm].start()
		}
		s.log("started: %v", names)
	})
}

// cutSome cuts some VMs off from the store for a time.
func (s *series) cutSome() { s.cut(s.some(0.5), time.Second+s.upTo(11*time.Second)) }

// cutInARow cuts parts of the VMs off one after another, each when half of the time before is over.
func (s *series) cutInARow() {
	shuffled := s.random.Perm(len(s.names))
	parts, lasts := 2+s.random.IntN(2), 8*time.Second+s.upTo(4*time.Second)
	for part := range parts {
		var names []string
		for i, k := range shuffled {
			if i%parts == part {
				names = append(names, s.names[k])
			}
		}
		s.later(time.Duration(part)*lasts/2, func() { s.cut(names, lasts) })
	}
}

// cut makes the store silent for VMs. Their registrations expire, and return after the cut.
func (s *series) cut(names []string, lasts time.Duration) {
	s.log("cut off: %v", names)
	for _, vm := range names {
		s.disturbances[vm]++
		s.region.unanswered.Store(vm, true)
		begin := time.Now()
		s.cutSince[vm] = begin
		s.later(registrationExpiry, func() {
			if s.disturbances[vm] > 0 && s.cutSince[vm].Equal(begin) && !s.away.Load() {
				s.store.remove(vm)
			}
		})
	}
	s.later(lasts, func() {
		for _, vm := range names {
			if s.disturbances[vm]--; s.disturbances[vm] == 0 {
				s.region.unanswered.Delete(vm)
				s.writeOnceThere(s.store.put, vm)
			}
		}
		s.log("no longer cut off: %v", names)
	})
}

// drainSome makes backend servers leave, which takes seconds. Others come in their place.
func (s *series) drainSome() {
	names := s.some(0.7)
	s.log("drain: %v", names)
	for _, vm := range names {
		s.writeOnceThere(s.store.drain, vm)
		s.later(5*time.Second+s.upTo(10*time.Second), func() { s.writeOnceThere(s.store.put, vm) })
	}
}

// writeOnceThere writes the registration of a VM as soon as the store is there and answers it.
func (s *series) writeOnceThere(write func(string), vm string) {
	if s.away.Load() || s.disturbances[vm] > 0 {
		s.later(100*time.Millisecond, func() { s.writeOnceThere(write, vm) })
		return
	}
	write(vm)
}

func (s *series) splitRegions() {
	s.log("the regions lose each other")
	s.splits++
	s.split.Store(true)
	s.later(time.Second+s.upTo(8*time.Second), func() {
		if s.splits--; s.splits == 0 {
			s.split.Store(false)
			s.log("the regions reach each other")
		}
	})
}

// note records who is disturbed.
func (s *series) note(now time.Time) {
	if s.away.Load() {
		s.storeDisturbed = now
	}
	for _, vm := range s.names {
		if s.nodes[vm].killed.Load() || s.disturbances[vm] > 0 {
			s.disturbed[vm] = now
		}
	}
}

// check returns what is wrong, or an empty string.
func (s *series) check(now time.Time) string {
	versionAfter := func(bound time.Duration) (version uint64) {
		for _, v := range s.versions {
			if now.Sub(v.at) >= bound {
				version = v.number
			}
		}
		return version
	}
	inForceBy, revokedBy := versionAfter(smallestBound), versionAfter(leaseLimit)
	storeWell := now.Sub(s.storeDisturbed) > contactTime
	for _, vm := range s.names {
		n := s.nodes[vm]
		if n.killed.Load() {
			continue
		}
		isTrusted, version := n.trusts(), n.configurationInForce()
		if isTrusted && version < revokedBy {
			return fmt.Sprintf("%s trusts the keys of version %d after %d: %s", vm, version, revokedBy, n.describe())
		}
		if version == 0 {
			continue
		}
		begins := !s.served[n]
		s.served[n] = true
		if begins && !s.cuts && version < inForceBy {
			return fmt.Sprintf("%s begins to serve by version %d after %d: %s", vm, version, inForceBy, n.describe())
		}
		if inTouch := storeWell && now.Sub(s.disturbed[vm]) > contactTime; inTouch && version < inForceBy {
			return fmt.Sprintf("%s is in touch with the store and has version %d after %d: %s", vm, version, inForceBy, n.describe())
		}
	}
	return ""
}
