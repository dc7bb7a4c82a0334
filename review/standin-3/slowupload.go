package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowUpload: an upstream drains while clients send uploads to it that take some seconds. No request
// may reach it later than Drain after the store has acknowledged that it is draining.
func slowUpload(r *record, trouble bool) verdict {
	f, err := newFleet(r, []place{{"rvk-a", "reykjavik", "supplier-hub"}, {"rvk-b", "reykjavik", "supplier-hub"}, {"rvk-b", "reykjavik", "buyer-portal"}})
	if err != nil {
		return verdict{err: err}
	}
	defer f.stop()
	arrived := map[string]time.Time{}
	byUpstream := map[string]string{}
	var mu sync.Mutex
	for _, m := range f.machines {
		u := m.upstream
		u.work = func(w http.ResponseWriter, r *http.Request, began time.Time) {
			mu.Lock()
			arrived[r.Header.Get("Attempt-Id")], byUpstream[r.Header.Get("Attempt-Id")] = began, u.id
			mu.Unlock()
			time.Sleep(600 * time.Millisecond)
			u.answer(w, "stored\n")
		}
	}
	f.publish(configuration(7, "15000ms", []string{"supplier-hub", "buyer-portal"}, route("upload", "/pule252/", "upload", "supplier-hub", "8000ms")))
	if err := f.startAll(f.machines); err != nil {
		return verdict{err: err}
	}
	time.Sleep(2 * contact)
	lost := 0
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			c, err := dial(r, f.machines[2].outbound())
			if err != nil {
				return
			}
			defer c.Close()
			q := request{method: "POST", host: host, path: "/pule252/2f", body: strings.Repeat("photo ", 40_000), deadline: 10 * time.Second}
			o := outcome{attempt: newAttempt(), sent: time.Now()}
			r.note("client: begins upload %s of %d bytes", o.attempt, len(q.body))
			io.WriteString(c, q.head(o.attempt)) //nolint:errcheck // the answer tells
			const pieces = 50
			for i := range pieces {
				if _, err := io.WriteString(c, q.body[i*len(q.body)/pieces:(i+1)*len(q.body)/pieces]); err != nil {
					break
				}
				time.Sleep(4500 * time.Millisecond / pieces)
			}
			r.note("client: has sent all of upload %s", o.attempt)
			c.receive(&o, q)
			mu.Lock()
			defer mu.Unlock()
			if _, ran := arrived[o.attempt]; ran && o.status != http.StatusOK {
				lost++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	leaving := f.machines[0].upstream
	var acknowledged time.Time
	if trouble {
		leaving.drain()
		acknowledged = time.Now()
		r.note("the store has acknowledged that %s is draining", leaving.id)
		time.AfterFunc(drainBound+1800*time.Millisecond, func() {
			r.note("upstream %s exits", leaving.id)
			leaving.leave()
		})
	}
	clients.Wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for attempt, at := range arrived {
		if trouble && byUpstream[attempt] == leaving.id && at.Sub(acknowledged) > drainBound {
			late++
			r.note("upload %s was received by %s %v after the acknowledgement", attempt, leaving.id, at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	r.note("%d uploads reached %s later than Drain; %d uploads that ran got no answer of their upstream", late, leaving.id, lost)
	return verdict{broken: late > 0}
}
