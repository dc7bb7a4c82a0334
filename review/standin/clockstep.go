package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case clock-step.
const (
	// clockAhead is by how much the clock of one machine jumps ahead, the default of the kind.
	clockAhead = 2 * time.Second
	// flapPeriod is the time between two starts of the upstream, gap_s of srv_flap in the site file.
	flapPeriod = 1400 * time.Millisecond
	// calmTime is the time between the last disruption and the draining.
	calmTime = 2*contact + time.Second
	// leavingServes is how long the upstream serves after it has reported that it drains.
	leavingServes = 8 * time.Second
)

// clockStep restarts an upstream twice, under its id. With the trouble, the clock of its machine is
// ahead at the first of the two starts and right again at the second, so the second start has the
// earlier time. Later the upstream drains. The rule DRAIN is broken if a request reaches it later
// than Drain after the store's acknowledgement.
func clockStep(log *record, trouble bool) (bool, error) {
	services := []service{{"hub", 10, 5, 50 * time.Millisecond}}
	f, err := newFleet(log, services, func(version int) any {
		return configurationOf(version, services, route("look", "/look/", "idempotent", "hub", "4000ms", "1200ms"))
	})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	u := f.machines[1].upstream
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
	}
	for _, offset := range []time.Duration{ahead, 0} {
		u.crash()
		log.event("crash", "", u.id, "")
		time.Sleep(flapPeriod / 2)
		if err := u.start(); err != nil {
			return false, err
		}
		u.restarted(time.Now().Add(offset))
		f.store.put("servers/"+u.id, u.registration("ready"))
		log.event("start", "", u.id, fmt.Sprintf("the clock of its machine is %v ahead", offset))
		time.Sleep(flapPeriod / 2)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(lookupInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			a := attempt{id: fmt.Sprintf("l-%04d", n), method: "GET", path: "/look/x", deadline: 4 * time.Second}
			clients.Go(func() { a.send(log, f.machines[n%len(f.machines)]) })
		}
	})
	time.Sleep(calmTime)
	acknowledged := f.store.put("servers/"+u.id, u.registration("draining"))
	log.event("acknowledged", "", "store", u.id+" is draining")
	time.Sleep(leavingServes)
	close(stop)
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, e := range log.all() {
		if e.what == "reached" && e.by == u.id && e.at.Sub(acknowledged) > drainBound {
			late++
			last = e.at.Sub(acknowledged)
		}
	}
	log.say("%d requests reached %s later than %v after the acknowledgement of its draining, the last one %.1f s after it.", late, u.id, drainBound, last.Seconds())
	return late == 0, nil
}
