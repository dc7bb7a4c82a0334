package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Limits of the hot organisation, and the bounds of quotas.
const (
	tenantRate  = 200.0
	tenantBurst = 20.0
	quotaWindow = 5 * time.Second
	quotaExcess = 0.25
	quotaSlack  = 20.0
)

// runTimes are when a request was sent and when an upstream began to run it.
type runTimes struct{ sent, arrived time.Time }

// twoHolders: both upstreams of a region are replaced by new ones on new machines while the store turns
// the machines of the old ones away, and an organisation sends more than its quota through all
// machines. In no window may more of its requests run than the quota allows.
func twoHolders(r *record, trouble bool) verdict {
	f, err := newFleet(r, []place{
		{"nbo-a", "nairobi", "gallery"}, {"nbo-b", "nairobi", "gallery"},
		{"mba-a", "mombasa", "gallery"}, {"mba-b", "mombasa", "gallery"}, {"mba-b", "mombasa", "gallery"},
		{"nbo-a", "nairobi", "gallery"}, {"nbo-b", "nairobi", "gallery"},
	})
	if err != nil {
		return verdict{err: err}
	}
	defer f.stop()
	f.quotas = true
	var mu sync.Mutex
	arrived := map[string]time.Time{}
	for _, m := range f.machines {
		u := m.upstream
		u.quiet = true
		u.work = func(w http.ResponseWriter, r *http.Request, began time.Time) {
			mu.Lock()
			arrived[r.Header.Get("Attempt-Id")] = began
			mu.Unlock()
			u.answer(w, "a photo\n")
		}
	}
	old, joining := f.machines[:2], f.machines[5:]
	for _, m := range joining {
		m.upstream.pause()
	}
	c := configuration(7, "15000ms", []string{"gallery"}, route("view", "/lohu930/", "idempotent", "gallery", "4000ms"))
	c["Tenants"] = []map[string]any{{"Name": "packers", "ApiKeys": []string{"key-1"}, "Priority": 0, "RatePerS": tenantRate, "Burst": tenantBurst}}
	f.publish(c)
	if err := f.startAll(f.machines[:5]); err != nil {
		return verdict{err: err}
	}
	time.Sleep(contact)
	begin := time.Now()
	if trouble {
		for _, m := range old {
			f.store.turnAway(m.storeAddress(), true)
			r.note("the store turns daemon %s away", m.ip)
		}
		end := time.AfterFunc(9*time.Second, func() {
			for _, m := range old {
				f.store.turnAway(m.storeAddress(), false)
				r.note("the store serves daemon %s again", m.ip)
			}
		})
		defer end.Stop()
	}
	for _, m := range joining {
		m.upstream.resume()
		r.note("upstream %s joins", m.upstream.id)
	}
	if err := f.startAll(joining); err != nil {
		return verdict{err: err}
	}
	for _, m := range old {
		m.upstream.drain()
		r.note("upstream %s is draining and stays", m.upstream.id)
	}
	time.Sleep(time.Until(begin.Add(2300 * time.Millisecond)))
	runs := sendHot(f, 6500*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	var times []runTimes
	counts := map[int]int{}
	for _, o := range runs {
		counts[o.status]++
		if at, ran := arrived[o.attempt]; ran {
			times = append(times, runTimes{o.sent, at})
		}
	}
	most, from := mostInWindow(times)
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaExcess) + quotaSlack
	r.note("answers by status: %v", counts)
	r.note("%d requests were sent and ran in the window of 5 s from %.3f s on; the quota allows %.0f", most, from.Sub(r.begin).Seconds(), bound)
	return verdict{broken: float64(most) > bound}
}

// Clients of the hot organisation: together they send about four times its quota.
const (
	hotClients = 42
	hotPause   = 45 * time.Millisecond
)

// sendHot sends the requests of the hot organisation through all machines in turn.
func sendHot(f *fleet, length time.Duration) []outcome {
	var mu sync.Mutex
	var runs []outcome
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for i := range hotClients {
		m := f.machines[i%len(f.machines)]
		clients.Go(func() {
			var c *connection
			for ; time.Now().Before(end); time.Sleep(hotPause) {
				if c == nil {
					var err error
					if c, err = dial(f.record, m.outbound()); err != nil {
						c = nil
						continue
					}
					c.quiet = true
				}
				o := c.do(request{method: "GET", host: host, path: "/lohu930/2f", key: "key-1", deadline: 8 * time.Second})
				if o.err != nil {
					c.Close()
					c = nil
				}
				mu.Lock()
				runs = append(runs, o)
				mu.Unlock()
			}
			if c != nil {
				c.Close()
			}
		})
	}
	clients.Wait()
	return runs
}

// mostInWindow returns the largest number of requests that were sent and arrived in one window, and
// the begin of that window.
func mostInWindow(times []runTimes) (most int, from time.Time) {
	slices.SortFunc(times, func(a, b runTimes) int { return a.sent.Compare(b.sent) })
	for i, first := range times {
		count := 0
		for _, t := range times[i:] {
			if t.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if t.arrived.Sub(first.sent) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
