package main

import (
	"net/http"
	"sync"
	"time"
)

// Load and bounds of the case. Six upstreams with 5 slots and 100 ms a request serve 300 requests a
// second, four of them 200.
const (
	floorRate   = 270 // requests a second
	floorLoad   = 10 * time.Second
	floorWindow = 2 * time.Second
	floorShare  = 0.7
)

// sentRequest is when a request was sent, and whether it was served.
type sentRequest struct {
	at     time.Time
	served bool
}

// unusedServer: two of six upstreams are cut off from the store, so that their entries expire. The
// store is away for a moment meanwhile and comes back from a copy that still has the entries. When the
// cut is over, all six have to get requests.
func unusedServer(r *record, trouble bool) verdict {
	var places []place
	for range 3 {
		places = append(places, place{"rvk-a", "reykjavik", "buyer-portal"}, place{"aey-a", "akureyri", "buyer-portal"})
	}
	f, err := newFleet(r, places)
	if err != nil {
		return verdict{err: err}
	}
	defer f.stop()
	var mu sync.Mutex
	type run struct {
		id string
		at time.Time
	}
	var runs []run
	for _, m := range f.machines {
		u := m.upstream
		u.quiet = true
		u.work = func(w http.ResponseWriter, r *http.Request, began time.Time) {
			mu.Lock()
			runs = append(runs, run{u.id, began})
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			u.answer(w, "done\n")
		}
	}
	f.publish(configuration(7, "15000ms", []string{"buyer-portal"}, route("order", "/pufi791/", "non_idempotent", "buyer-portal", "4000ms")))
	if err := f.startAll(f.machines); err != nil {
		return verdict{err: err}
	}
	time.Sleep(contact)
	begin := time.Now()
	cut := f.machines[:2]
	for _, m := range cut {
		m.upstream.setPaused(true)
		r.note("upstream %s is cut off from the store", m.upstream.id)
	}
	time.Sleep(time.Second)
	f.store.copy()
	time.Sleep(time.Until(begin.Add(3 * heartbeat)))
	for _, m := range cut {
		f.store.remove("servers/" + m.upstream.id)
		r.note("the entry of %s expires", m.upstream.id)
	}
	time.Sleep(time.Second)
	if trouble {
		f.store.leave()
		r.note("the store leaves")
		time.Sleep(time.Second)
		f.store.restore()
		r.note("the store is back from its copy, in its next era")
	}
	time.Sleep(time.Until(begin.Add(10 * time.Second)))
	for _, m := range cut {
		m.upstream.setPaused(false)
	}
	r.note("the cut is over")
	time.Sleep(2*contact + heartbeat)
	from := time.Now()
	var sent []sentRequest
	var clients sync.WaitGroup
	for i := 0; time.Since(from) < floorLoad; i++ {
		m := f.machines[i%6]
		clients.Go(func() {
			at := time.Now()
			c, err := dial(r, m.outbound())
			if err != nil {
				return
			}
			defer c.Close()
			c.quiet = true
			o := c.do(request{method: "POST", host: host, path: "/pufi791/2f", body: "one pallet", deadline: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, sentRequest{at, o.status == http.StatusOK})
		})
		time.Sleep(time.Until(from.Add(time.Duration(i+1) * time.Second / floorRate)))
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for begin := from; !begin.After(from.Add(floorLoad - floorWindow)); begin = begin.Add(floorWindow / 2) {
		within := func(at time.Time) bool { return !at.Before(begin) && at.Before(begin.Add(floorWindow)) }
		used := map[string]int{}
		for _, run := range runs {
			if within(run.at) {
				used[run.id]++
			}
		}
		all, unserved := 0, 0
		for _, q := range sent {
			if within(q.at) {
				all++
				if !q.served {
					unserved++
				}
			}
		}
		share := float64(unserved) / float64(max(all, 1))
		r.note("2 s from %.3f s on: runs by upstream %v, %d requests, %d not served (%.2f)", begin.Sub(r.begin).Seconds(), used, all, unserved, share)
		if len(used) > 0 && float64(len(used)) < floorShare*float64(len(f.machines)) && share > 0.1 && share < 0.5 {
			broken++
		}
	}
	r.note("%d windows break the rule", broken)
	return verdict{broken: broken > 0}
}
