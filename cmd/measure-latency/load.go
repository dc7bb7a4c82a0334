package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// requestTimeout is well above all measured latencies.
const requestTimeout = 5 * time.Second

// load sends lookups at a constant rate, alternately through a daemon and directly to a backend
// server. Its methods may be called concurrently.
type load struct {
	daemons, direct []string
	interval        time.Duration
	client          *http.Client

	mu        sync.Mutex         // guards the fields below
	latencies [2][]time.Duration // by path, without the backend server's service time
	failed    int
}

// Paths of a lookup.
const (
	viaDaemon = iota
	directly
)

// newLoad returns a load with the given number of requests per second for each daemon, and as many
// direct ones.
func newLoad(f *fleet.Fleet, rate int) *load {
	documents := f.Documents()
	l := &load{
		interval: time.Second / time.Duration(rate*len(documents.VMs)),
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for _, vm := range documents.VMs {
		l.daemons = append(l.daemons, f.CallersURL(vm.VM))
	}
	for _, b := range documents.Services[0].BackendServers {
		l.direct = append(l.direct, "http://"+b.Address)
	}
	return l
}

// run sends lookups on both paths until ctx ends.
func (l *load) run(ctx context.Context) {
	fleet.Every(ctx, l.interval/2, func(i int) {
		n := i / 2
		if i%2 == viaDaemon {
			go l.lookup(ctx, viaDaemon, l.daemons[n%len(l.daemons)])
		} else {
			go l.lookup(ctx, directly, l.direct[n%len(l.direct)])
		}
	})
}

// lookup sends one request to url and records its latency without the service time that the backend
// server reports. It counts any status but 200 as a failure.
func (l *load) lookup(ctx context.Context, path int, url string) {
	start := time.Now()
	response := fleet.Lookup(ctx, l.client, url+"/item", fleet.Key(fleet.MeasuredCustomer))
	took := time.Since(start)
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	us, err := strconv.ParseInt(response.Header.Get(backend.HeaderServiceTime), 10, 64)
	if response.Err != nil || response.Status != http.StatusOK || err != nil {
		l.failed++
		return
	}
	l.latencies[path] = append(l.latencies[path], took-time.Duration(us)*time.Microsecond)
}

// reset discards the results so far and so begins a measurement.
func (l *load) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies, l.failed = [2][]time.Duration{}, 0
}

// print prints the results since reset as a row of the table.
func (l *load) print(run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(path int, q float64) time.Duration {
		latencies := l.latencies[path]
		if len(latencies) == 0 {
			return 0
		}
		return latencies[int(float64(len(latencies)-1)*q)].Round(10 * time.Microsecond)
	}
	for _, latencies := range l.latencies {
		slices.Sort(latencies)
	}
	daemon := func(q float64) time.Duration { return quantile(viaDaemon, q) }
	direct := func(q float64) time.Duration { return quantile(directly, q) }
	fmt.Printf("| %d | %d | %d | %v | %v | %v | %v | %v | %v | %v | %v | %v |\n", run, len(l.latencies[viaDaemon]), l.failed,
		daemon(0.5), daemon(0.9), daemon(0.99), daemon(0.999), direct(0.5), direct(0.9), direct(0.99),
		daemon(0.5)-direct(0.5), daemon(0.99)-direct(0.99))
}
