package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case lost-entry.
const (
	// darkFor is how long one machine has no power; the site file has 3.5 s.
	darkFor = 3500 * time.Millisecond
	// soundAfter is the time without disruption after which an upstream counts as sound. Only what
	// comes later is judged, although the upstreams themselves have no disruption at all.
	soundAfter = 2 * contact
	// judgedUntil is the end of the judged time, counted from the loss of power: shortly before the
	// kernels of the other machines notice it.
	judgedUntil = keepAliveProbe - 500*time.Millisecond
	// lookupInterval is the time between two lookups: 40 a second, of the 60 that the upstreams can
	// serve.
	lookupInterval = 25 * time.Millisecond
	// floorWindow and floorShare are those of the rule FLOOR.
	floorWindow = 2 * time.Second
	floorShare  = 0.7
	// uploads is the number of uploads under way on the machine that loses power.
	uploads = 6
)

// lostEntry takes the power from one machine while uploads of its clients are under way. The rule FLOOR is broken
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
	begin := time.Now()
	if trouble {
		for _, l := range f.links {
			l.losePower()
		}
		lost.process.Process.Kill() //nolint:errcheck // the record shows its end
		lost.upstream.crash()
		log.event("power", "", "network", "the machine "+lost.ip+" loses power")
	}
	time.Sleep(darkFor)
	if trouble {
		<-lost.ended
		for _, l := range f.links {
			l.restorePower()
		}
		if err := errors.Join(lost.upstream.start(), f.startDaemon(lost)); err != nil {
			return false, err
		}
		log.event("power", "", "network", "the machine "+lost.ip+" has power again")
	}
	time.Sleep(time.Until(begin.Add(judgedUntil)))
	end := time.Now()
	close(stop)
	clients.Wait()
	return judgeFloor(log, f, begin, begin.Add(darkFor+soundAfter), end), nil
}

// judgeFloor applies the rule FLOOR to the lookups of the windows between two times.
func judgeFloor(log *record, f *fleet, lost, begin, end time.Time) bool {
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
		log.say("%4.1f s to %5.1f s after the loss of power: %d of %d upstreams got requests, %d of %d lookups were not served%s",
			from.Sub(lost).Seconds(), until.Sub(lost).Seconds(), len(reached), sound, unserved, asked, map[bool]string{true: " (broken)"}[isBroken])
	}
	return broken == 0
}
