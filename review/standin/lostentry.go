package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case lost-entry.
const (
	// cutFor is how long one machine is cut off; the site file has 12 s.
	cutFor = 12 * time.Second
	// lookupInterval is the time between two lookups: 40 a second, of the 60 that the upstreams can
	// serve.
	lookupInterval = 25 * time.Millisecond
	// floorWindow and floorShare are those of the rule FLOOR.
	floorWindow = 2 * time.Second
	floorShare  = 0.7
	// soundAfter is the time without disruption after which an upstream counts as sound.
	soundAfter = 2 * contact
	// uploadsOver is when the uploads would be over without a cut. Only what comes later is judged.
	uploadsOver = 6 * time.Second
	// uploads is the number of uploads under way on the machine that is cut off.
	uploads = 6
)

// lostEntry cuts off one machine while uploads of its clients are under way. The rule FLOOR is broken
// if for 2 s some, but less than FloorShare, of the sound upstreams get requests, while more than a
// tenth of the requests of the other machines, but under half, are not served.
func lostEntry(log *record, trouble bool) (bool, error) {
	services := []service{{"hub", 4, 3, 200 * time.Millisecond}, {"portal", 2, 3, 200 * time.Millisecond}}
	f, err := newFleet(log, services, func(version int) any {
		return configurationOf(version, services,
			route("upload", "/upload/", "upload", "hub", "10000ms", "1500ms"), route("look", "/look/", "idempotent", "hub", "4000ms", "1200ms"))
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
	time.Sleep(soundAfter + time.Second) // all machines are in touch, all upstreams sound
	lost, others := f.machines[len(f.machines)-1], f.machines[:len(f.machines)-1]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range uploads {
		a := attempt{
			id: fmt.Sprintf("u-%02d", i), method: "POST", path: "/upload/photo", deadline: slowDeadline,
			body: bytes.Repeat([]byte{'x'}, slowBodyBytes), bytesPerSecond: slowBytesPerSecond,
		}
		clients.Go(func() { a.send(log, lost) })
		time.Sleep(50 * time.Millisecond)
	}
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
			clients.Go(func() { a.send(log, others[n%len(others)]) })
		}
	})
	time.Sleep(500 * time.Millisecond)
	if trouble {
		lost.gate.silence()
		for _, l := range f.links {
			l.setCut(true)
		}
		log.event("cut", "", "network", "the machine "+lost.ip+" is cut off")
	}
	cut := time.Now()
	time.Sleep(cutFor)
	end := time.Now()
	close(stop)
	clients.Wait()
	return judgeFloor(log, f, cut, cut.Add(uploadsOver), end), nil
}

// judgeFloor applies the rule FLOOR to the lookups of the windows between two times.
func judgeFloor(log *record, f *fleet, cut, begin, end time.Time) bool {
	events := log.all()
	served := map[string]bool{}
	for _, e := range events {
		if e.what == "answer" && strings.HasPrefix(e.detail, "status 200") {
			served[e.id] = true
		}
	}
	sound := 0
	for _, m := range f.machines {
		if m.upstream.service == "hub" {
			sound++
		}
	}
	broken := 0
	for from := begin; !from.Add(floorWindow).After(end); from = from.Add(floorWindow / 4) {
		until := from.Add(floorWindow)
		asked, unserved, reached := 0, 0, map[string]bool{}
		for _, e := range events {
			if e.at.Before(from) || !e.at.Before(until) {
				continue
			}
			switch {
			case e.what == "reached":
				reached[e.by] = true
			case e.what == "sent" && strings.HasPrefix(e.id, "l-"):
				asked++
				if !served[e.id] {
					unserved++
				}
			}
		}
		share := float64(len(reached)) / float64(sound)
		isBroken := len(reached) > 0 && share < floorShare && unserved*10 > asked && unserved*2 < asked
		if isBroken {
			broken++
		}
		log.say("%5.1f s to %5.1f s after the cut: %d of %d upstreams got requests, %d of %d lookups were not served%s",
			from.Sub(cut).Seconds(), until.Sub(cut).Seconds(), len(reached), sound, unserved, asked, map[bool]string{true: " (broken)"}[isBroken])
	}
	return broken == 0
}
