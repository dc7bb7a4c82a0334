package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Names of the small deployment.
const (
	host         = "shop.example"
	ordersPrefix = "/orders/"
	lookupPrefix = "/lookup/"
)

// configuration returns a configuration with a route for orders and one for lookups.
func configuration(version int, service string) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "Timeout": "4000ms", "Goal": "1200ms", "Priority": 1, "Service": service, "MaxAttempts": 2,
		}
	}
	return map[string]any{
		"Version": version, "Routes": []any{route("orders", ordersPrefix, "non_idempotent"), route("lookup", lookupPrefix, "idempotent")},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
}

// startUpstreams starts an upstream beside each daemon.
func (f *fleet) startUpstreams(work time.Duration, r *runs) ([]*upstream, error) {
	var list []*upstream
	for i, m := range f.machines {
		u := &upstream{
			id: fmt.Sprintf("i-%04d", 1000+i), service: m.service, zone: m.zone, address: f.app(m), slots: 11, work: work, record: f.record, runs: r, store: f.store,
		}
		if err := u.start(); err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

// status503 sends orders while one upstream fails a part of its requests with status 503, after it has
// run them and without the header that says that it did not.
func status503(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, "orders", "orders", "orders")
	if err != nil {
		return outcome{}, err
	}
	defer f.close()
	var ran runs
	list, err := f.startUpstreams(50*time.Millisecond, &ran)
	if err != nil {
		return outcome{}, err
	}
	if trouble {
		list[0].answer = func(u *upstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if rand.Float64() >= 0.45 {
				return false
			}
			time.Sleep(u.work)
			u.record.logf("upstream %s has run %s and fails it with 503, without Not-Executed", u.id, r.Header.Get("Attempt-Id"))
			http.Error(w, "failed", http.StatusServiceUnavailable)
			return true
		}
	}
	f.store.put("op/config", configuration(7, "orders"))
	if err := f.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for i := range f.machines {
		clients.Go(func() {
			for n := range 40 {
				a := f.request(freshClient, f.machines[i], http.MethodPost, fmt.Sprintf("%s%d", ordersPrefix, n), host, "one pallet", 8*time.Second, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	began := map[string]bool{}
	for _, one := range ran.all() {
		began[one.attempt] = true
	}
	served, false503 := 0, 0
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if began[a.attempt] {
				false503++
				r.logf("request %s was answered %d and has run; signature of the answer: %q", a.attempt, a.status, a.signature)
			}
		}
	}
	if served < len(answers)/2 {
		return outcome{}, fmt.Errorf("only %d of %d orders were served", served, len(answers))
	}
	return outcome{false503 > 0, fmt.Sprintf("%d of %d orders served, %d refused although they had run", served, len(answers), false503)}, nil
}
