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

// requestTimeout is well above any time that is measured.
const requestTimeout = 5 * time.Second

// load sends lookups at a constant rate, alternately through a daemon and directly to a backend server.
type load struct {
	daemons, direct []string
	interval        time.Duration
	client          *http.Client

	mu     sync.Mutex
	times  [2][]time.Duration // by path
	failed int
}

// The paths of a lookup.
const (
	throughFleet = iota
	directCall
)

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

// run sends both kinds until ctx ends.
func (l *load) run(ctx context.Context) {
	fleet.Every(ctx, l.interval/2, func(i int) {
		at := i / 2
		if i%2 == throughFleet {
			go l.lookup(ctx, throughFleet, l.daemons[at%len(l.daemons)])
		} else {
			go l.lookup(ctx, directCall, l.direct[at%len(l.direct)])
		}
	})
}

// lookup sends one request and notes its time without the backend server's own.
func (l *load) lookup(ctx context.Context, path int, url string) {
	start := time.Now()
	got := fleet.Lookup(ctx, l.client, url+"/item", fleet.Key(fleet.MeasuredCustomer))
	took := time.Since(start)
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	us, err := strconv.ParseInt(got.Header.Get(backend.HeaderServiceTime), 10, 64)
	if got.Err != nil || got.Status != http.StatusOK || err != nil {
		l.failed++
		return
	}
	l.times[path] = append(l.times[path], took-time.Duration(us)*time.Microsecond)
}

// reset begins a measurement.
func (l *load) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times, l.failed = [2][]time.Duration{}, 0
}

// print writes a line of the table.
func (l *load) print(run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(path int, q float64) time.Duration {
		list := l.times[path]
		if len(list) == 0 {
			return 0
		}
		return list[int(float64(len(list)-1)*q)].Round(10 * time.Microsecond)
	}
	for _, list := range l.times {
		slices.Sort(list)
	}
	through := func(q float64) time.Duration { return quantile(throughFleet, q) }
	direct := func(q float64) time.Duration { return quantile(directCall, q) }
	fmt.Printf("| %d | %d | %d | %v | %v | %v | %v | %v | %v | %v | %v | %v |\n", run, len(l.times[throughFleet]), l.failed,
		through(0.5), through(0.9), through(0.99), through(0.999), direct(0.5), direct(0.9), direct(0.99),
		through(0.5)-direct(0.5), through(0.99)-direct(0.99))
}
