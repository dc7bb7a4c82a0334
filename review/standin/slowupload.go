package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// Figures of the case slow-upload.
const (
	// A photo of 800 KB over an uplink of 1.3 Mbit/s takes 5 s.
	slowBodyBytes      = 800_000
	slowBytesPerSecond = 160_000
	slowDeadline       = 10 * time.Second
	// leaveNotice is when an upstream reports that it drains, after the uploads began.
	leaveNotice = 500 * time.Millisecond
)

// slowUpload sends uploads whose clients need some seconds for the body. With the trouble, one
// upstream reports meanwhile that it is draining. The rule DRAIN is broken if a request reaches that
// upstream later than Drain after the store's acknowledgement.
func slowUpload(log *record, trouble bool) (bool, error) {
	services := []service{{"hub", 4, 5, 330 * time.Millisecond}}
	f, err := newFleet(log, services, func(version int) any {
		return configurationOf(version, services, route("upload", "/upload/", "upload", "hub", "10000ms", "1500ms"))
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
	begin := time.Now()
	var clients sync.WaitGroup
	answered := make([]int, 12)
	for i := range answered {
		clients.Go(func() {
			a := attempt{
				id: fmt.Sprintf("u-%02d", i), method: "POST", path: "/upload/photo", deadline: slowDeadline,
				body: bytes.Repeat([]byte{byte('a' + i)}, slowBodyBytes), bytesPerSecond: slowBytesPerSecond,
			}
			answered[i] = a.send(log, f.machines[i%len(f.machines)])
		})
		time.Sleep(20 * time.Millisecond)
	}
	leaving := f.machines[1].upstream
	var acknowledged time.Time
	if trouble {
		time.Sleep(time.Until(begin.Add(leaveNotice)))
		acknowledged = f.store.put("servers/"+leaving.id, leaving.registration("draining"))
		log.event("acknowledged", "", "store", leaving.id+" is draining")
	}
	clients.Wait()
	good := 0
	for _, status := range answered {
		if status == 200 {
			good++
		}
	}
	log.say("%d of %d uploads were answered with 200.", good, len(answered))
	if !trouble {
		return good == len(answered), nil
	}
	late := 0
	for _, e := range log.all() {
		if e.what == "reached" && e.by == leaving.id && e.at.Sub(acknowledged) > drainBound {
			late++
			log.say("%s reached %s %.2f s after the acknowledgement of its draining.", e.id, leaving.id, e.at.Sub(acknowledged).Seconds())
		}
	}
	return late == 0, nil
}
