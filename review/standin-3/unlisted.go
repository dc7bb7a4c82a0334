package main

import (
	"net/http"
	"sync"
	"time"
)

// unlisted: an upstream drains and stays for many seconds, and the store turns the only other machine
// of the region away. The daemon beside the draining upstream reaches the store, so it has to apply
// each new configuration within Config.
func unlisted(r *record, trouble bool) verdict {
	f, err := newFleet(r, []place{
		{"rvk-a", "reykjavik", "buyer-portal"}, {"rvk-b", "reykjavik", "buyer-portal"},
		{"aey-a", "akureyri", "buyer-portal"}, {"aey-b", "akureyri", "supplier-hub"},
	})
	if err != nil {
		return verdict{err: err}
	}
	defer f.stop()
	ranBy := map[string]string{}
	var mu sync.Mutex
	for _, m := range f.machines {
		u := m.upstream
		u.work = func(w http.ResponseWriter, r *http.Request, _ time.Time) {
			mu.Lock()
			ranBy[r.Header.Get("Attempt-Id")] = m.service
			mu.Unlock()
			u.answer(w, "done\n")
		}
	}
	services := []string{"buyer-portal", "supplier-hub"}
	f.publish(configuration(7, "15000ms", services, route("order", "/pufi791/", "non_idempotent", "buyer-portal", "4000ms")))
	if err := f.startAll(f.machines); err != nil {
		return verdict{err: err}
	}
	turnedAway, draining := f.machines[0], f.machines[1]
	draining.upstream.drain()
	r.note("upstream %s is draining and stays", draining.upstream.id)
	time.Sleep(contact + time.Second)
	send := func() outcome {
		c, err := dial(r, draining.outbound())
		if err != nil {
			return outcome{err: err}
		}
		defer c.Close()
		return c.do(request{method: "POST", host: host, path: "/pufi791/2f", body: "one pallet", deadline: 8 * time.Second})
	}
	if o := send(); o.status != http.StatusOK {
		return verdict{err: errNotServed}
	}
	if trouble {
		f.store.turnAway(turnedAway.storeAddress(), true)
		r.note("the store turns daemon %s away", turnedAway.ip)
		end := time.AfterFunc(9*time.Second, func() {
			f.store.turnAway(turnedAway.storeAddress(), false)
			r.note("the store serves daemon %s again", turnedAway.ip)
		})
		defer end.Stop()
	}
	time.Sleep(500 * time.Millisecond)
	f.publish(configuration(9, "15000ms", services, route("order", "/pufi791/", "non_idempotent", "supplier-hub", "4000ms")))
	acknowledged := time.Now()
	stale := 0
	for time.Since(acknowledged) < 10*time.Second {
		o := send()
		age := o.sent.Sub(acknowledged)
		mu.Lock()
		if by := ranBy[o.attempt]; by == "buyer-portal" && age > configBound {
			stale++
			r.note("attempt %s was sent %v after the acknowledgement, and run by the old service", o.attempt, age.Round(time.Millisecond))
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	r.note("%d requests sent later than Config were run by the old service", stale)
	return verdict{broken: stale > 0}
}
