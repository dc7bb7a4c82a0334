package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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

const (
	// grayMachines is the number of machines, one of whose upstreams is gray.
	grayMachines = 8
	// grayShare is the share of its requests that the gray upstream fails, for grayLength after it has
	// been well for grayPause, grayTimes times.
	grayShare  = 0.5
	grayLength = 6500 * time.Millisecond
	grayPause  = 3 * time.Second
	grayTimes  = 3
	// orderInterval is the time between two orders of a client.
	orderInterval = 100 * time.Millisecond
	// comeBack is when a client sends a refused order again.
	comeBack = 300 * time.Millisecond
	// maxSends bounds how often a client sends an order.
	maxSends = 3
)

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// status503 sends orders while one upstream fails a part of its requests with status 503, after it has
// run them and without the header that says that it did not.
func status503(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, slices.Repeat([]string{"orders"}, grayMachines)...)
	if err != nil {
		return outcome{}, err
	}
	defer f.close()
	var ran runs
	list, err := f.startUpstreams(50*time.Millisecond, &ran)
	if err != nil {
		return outcome{}, err
	}
	start := time.Now()
	if trouble {
		list[0].answer = func(u *upstream, w http.ResponseWriter, r *http.Request) bool {
			if time.Since(start)%(grayPause+grayLength) < grayPause || rand.Float64() >= grayShare {
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
	var mu sync.Mutex
	var answers []answer
	attempts := map[string][]string{}
	var clients sync.WaitGroup
	end := time.Now().Add(grayTimes * (grayPause + grayLength))
	for i, m := range f.machines {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				order := fmt.Sprintf("%s%d-%d", ordersPrefix, i, n)
				for range maxSends {
					a := f.request(freshClient, m, http.MethodPost, order, "one pallet", 8*time.Second)
					mu.Lock()
					answers = append(answers, a)
					attempts[order] = append(attempts[order], a.attempt)
					mu.Unlock()
					if !isPromise(a.status) {
						break
					}
					time.Sleep(comeBack)
				}
				time.Sleep(orderInterval)
			}
		})
	}
	clients.Wait()
	return judgeRefusals(r, answers, attempts, ran.all())
}

// judgeRefusals counts the requests that were refused although they had run, and the orders that ran
// more than once for it.
func judgeRefusals(r *record, answers []answer, attempts map[string][]string, ran []run) (outcome, error) {
	began := map[string]bool{}
	for _, one := range ran {
		began[one.attempt] = true
	}
	served, untrue, doubled := 0, 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if isPromise(a.status) && began[a.attempt] {
			untrue++
			r.logf("request %s was answered %d and has run; signature of the answer: %q", a.attempt, a.status, a.signature)
		}
	}
	for order, list := range attempts {
		if times := len(slices.DeleteFunc(list, func(id string) bool { return !began[id] })); times > 1 {
			doubled++
			r.logf("order %s ran %d times", order, times)
		}
	}
	if served < len(answers)/2 {
		return outcome{}, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	text := fmt.Sprintf("%d of %d requests served, %d refused although they had run, %d orders ran more than once", served, len(answers), untrue, doubled)
	return outcome{untrue > 0, text}, nil
}
