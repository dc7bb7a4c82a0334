package main

import (
	"net/http"
	"sync"
	"time"
)

// restoredKey: the operator takes a key away. Later the store is away for a moment, and all daemons of
// one region are killed. The store comes back from a copy that still has the key, and the daemons start
// again. No request with the key that is sent later than Revoke after the acknowledgement may run.
func restoredKey(r *record, trouble bool) verdict {
	f, err := newFleet(r, []place{
		{"nbo-a", "nairobi", "gallery"}, {"nbo-b", "nairobi", "gallery"},
		{"mba-a", "mombasa", "gallery"}, {"mba-a", "mombasa", "gallery"}, {"mba-b", "mombasa", "gallery"},
	})
	if err != nil {
		return verdict{err: err}
	}
	defer f.stop()
	f.strictRevoke = true
	ran := map[string]bool{}
	var mu sync.Mutex
	for _, m := range f.machines {
		u := m.upstream
		u.work = func(w http.ResponseWriter, r *http.Request, _ time.Time) {
			mu.Lock()
			ran[r.Header.Get("Attempt-Id")] = true
			mu.Unlock()
			u.answer(w, "a photo\n")
		}
	}
	withKeys := func(version int, keys ...string) map[string]any {
		c := configuration(version, "15000ms", []string{"gallery"}, route("view", "/lohu930/", "idempotent", "gallery", "4000ms"))
		c["Tenants"] = []map[string]any{{"Name": "packers", "ApiKeys": keys, "Priority": 0}}
		return c
	}
	f.publish(withKeys(7, "kept-1", "taken-1"))
	if err := f.startAll(f.machines); err != nil {
		return verdict{err: err}
	}
	time.Sleep(time.Second)
	f.store.copy()
	send := func(m *machine, key string) outcome {
		c, err := dial(r, m.outbound())
		if err != nil {
			return outcome{err: err}
		}
		defer c.Close()
		return c.do(request{method: "GET", host: host, path: "/lohu930/2f", key: key, deadline: 8 * time.Second})
	}
	for _, m := range f.machines {
		// A daemon that has just started may refuse keys until they are confirmed.
		end := time.Now().Add(5 * time.Second)
		for send(m, "taken-1").status != http.StatusOK {
			if time.Now().After(end) {
				return verdict{err: errNotServed}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.publish(withKeys(9, "kept-1"))
	acknowledged := time.Now()
	killed := f.machines[:2]
	if trouble {
		time.Sleep(4 * time.Second)
		f.store.leave()
		r.note("the store leaves")
		time.Sleep(500 * time.Millisecond)
		for _, m := range killed {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		f.store.restore()
		r.note("the store is back from its copy, in its next era")
		// The store's other writers are back within about two seconds.
		rewritten := time.AfterFunc(2*time.Second, func() { f.publish(withKeys(9, "kept-1")) })
		defer rewritten.Stop()
		for _, m := range killed {
			if err := m.start(); err != nil {
				return verdict{err: err}
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(revokeBound + 10*time.Millisecond)))
	var late []outcome
	var clients sync.WaitGroup
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range killed {
			clients.Go(func() {
				o := send(m, "taken-1")
				mu.Lock()
				defer mu.Unlock()
				late = append(late, o)
			})
		}
	}
	clients.Wait()
	bad := 0
	mu.Lock()
	defer mu.Unlock()
	for _, o := range late {
		if age := o.sent.Sub(acknowledged); ran[o.attempt] && age > revokeBound {
			bad++
			r.note("attempt %s with the key was sent %v after the acknowledgement, and ran", o.attempt, age.Round(time.Millisecond))
		}
	}
	r.note("%d of %d requests with the key that was taken away ran", bad, len(late))
	return verdict{broken: bad > 0}
}
