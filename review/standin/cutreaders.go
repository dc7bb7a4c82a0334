package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case cut-readers.
const (
	// probeInterval is the time between two requests that show a daemon's configuration.
	probeInterval = 100 * time.Millisecond
	// observeFor is how long the daemons are asked after a change, and about how long the store does
	// not answer its readers. The site file has 9 s.
	observeFor = 4 * time.Second
	// rounds is the number of changes.
	rounds = 5
	// settleTime is the time after a round until the daemons that read are looked for again, which
	// takes longer than Contact.
	settleTime = 2 * time.Second
	// earlyInWatch is how long the watches of the readers have waited at most when they are cut off, of
	// the 2 s that a watch lasts. Later in a watch its reader notices sooner.
	earlyInWatch = 500 * time.Millisecond
	// maxCut bounds the daemons that the store does not answer: a quarter of the fleet. The site file
	// has 0.35.
	maxCut = 2
)

// movingServices are two services between which the operator moves a route.
var movingServices = []service{{"east", 4, 5, 10 * time.Millisecond}, {"west", 4, 5, 10 * time.Millisecond}}

// movingConfiguration sends the route to "east" in even versions and to "west" in odd ones.
func movingConfiguration(version int) any {
	return configurationOf(version, movingServices, route("moving", "/moving/", "idempotent", movingServices[version%2].name, "4000ms", "1200ms"))
}

// startMoving starts a fleet with a moving route and waits until all machines are in touch.
func startMoving(log *record) (*fleet, error) {
	f, err := newFleet(log, movingServices, movingConfiguration)
	if err != nil {
		return f, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return f, err
	}
	time.Sleep(contact + time.Second)
	return f, nil
}

// moveRoute publishes the next version and asks the daemons until observeFor has passed. It returns
// the number of requests that were sent later than Config after the acknowledgement and were run by
// the old service all the same.
func (f *fleet) moveRoute(machines []*machine) int {
	f.version++
	wanted := movingServices[f.version%2].name
	acknowledged := f.store.put("op/config", movingConfiguration(f.version))
	f.log.event("acknowledged", "", "store", fmt.Sprintf("version %d: the route goes to %s", f.version, wanted))
	var probes sync.WaitGroup
	var mu sync.Mutex
	late := 0
	for _, m := range machines {
		probes.Go(func() {
			var last time.Duration // the latest request that the old service has run
			for n := 0; time.Since(acknowledged) < observeFor; n++ {
				sent := time.Since(acknowledged)
				a := attempt{id: fmt.Sprintf("p-%d-%s-%d", f.version, m.upstream.id, n), method: "GET", path: "/moving/x", deadline: 4 * time.Second}
				if by := a.askedBy(f, m); by != "" && by != wanted {
					last = sent
					if sent > configBound {
						mu.Lock()
						late++
						mu.Unlock()
					}
				}
				time.Sleep(probeInterval)
			}
			f.log.event("old-until", "", m.upstream.id, fmt.Sprintf("version %d: the old service ran requests sent up to %.2f s after the acknowledgement", f.version, last.Seconds()))
		})
	}
	probes.Wait()
	return late
}

// askedBy sends the request to a daemon and returns the service that has run it, "" for none.
func (a attempt) askedBy(f *fleet, m *machine) string {
	if a.send(f.log, m) != 200 {
		return ""
	}
	by := ""
	for _, e := range f.log.all() {
		if e.what == "run" && e.id == a.id {
			by = e.by
		}
	}
	for _, other := range f.machines {
		if other.upstream.id == by {
			return other.upstream.service
		}
	}
	return ""
}

// readers returns the machines whose daemons read the store.
func (f *fleet) readers() []*machine {
	before := map[*machine]int{}
	for _, m := range f.machines {
		before[m] = m.gate.callCount()
	}
	time.Sleep(4500 * time.Millisecond) // two watches of a reader
	var found []*machine
	for _, m := range f.machines {
		if m.gate.callCount() > before[m] {
			found = append(found, m)
		}
	}
	return found
}

// waitForWatches waits until the watches of the machines' daemons have begun lately, for some watches
// at most.
func waitForWatches(machines []*machine) {
	early := func(m *machine) bool { return m.gate.sinceCall() < earlyInWatch }
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !slices.ContainsFunc(machines, func(m *machine) bool { return !early(m) }) {
			return
		}
	}
}

// cutReaders changes the configuration while the store does not answer the daemons that read it. The
// rule CONFIG is broken if one of the other daemons sends a request by the old configuration later
// than Config after the acknowledgement.
func cutReaders(log *record, trouble bool) (bool, error) {
	f, err := startMoving(log)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	late := 0
	for range rounds {
		cut := f.readers()
		for len(cut) > maxCut { // others have just read in their place
			cut = f.readers()
		}
		others := slices.DeleteFunc(slices.Clone(f.machines), func(m *machine) bool { return slices.Contains(cut, m) })
		var names []string
		for _, m := range cut {
			names = append(names, m.upstream.id)
		}
		waitForWatches(cut)
		if trouble {
			for _, m := range cut {
				m.gate.silence()
			}
			log.event("silent", "", "store", "does not answer the daemons beside "+strings.Join(names, ", "))
		}
		time.Sleep(100 * time.Millisecond)
		n := f.moveRoute(others)
		log.say("Version %d: %d requests of daemons that the store answers were late.", f.version, n)
		late += n
		for _, m := range cut {
			m.gate.resume()
		}
		time.Sleep(settleTime)
	}
	return late == 0, nil
}
