package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

const (
	customer = "measurement"
	service  = "stock"
	// directEvery is how many lookups go through the fleet for one direct call, which takes a slot that the fleet does not know of.
	directEvery = 10
)

func layout(o options) fleet.Layout {
	return fleet.Layout{
		DataCentres: []contract.DataCentre{{DataCentre: "dc1", Region: "r1"}, {DataCentre: "dc2", Region: "r1"}},
		VMs:         o.vms, BackendsPerService: o.backends, Slots: o.slots,
		Services: []contract.Service{{Service: service, Preset: o.preset, Detector: map[string]float64{"coldStart": 2}}},
		Contracts: []contract.Contract{{
			Customer: customer, Routes: []contract.Route{{PathPrefix: "/", Service: service}},
			Limits: contract.Limits{RatePerSecond: 100_000, Concurrency: 10_000},
		}},
	}
}

func backendsOf(f *fleet.Fleet) []string {
	var names []string
	for _, svc := range f.Documents().Services {
		for _, b := range svc.BackendServers {
			names = append(names, b.ID)
		}
	}
	return names
}

// load sends lookups at a constant rate through all daemons.
type load struct {
	fleet    *fleet.Fleet
	interval time.Duration
	// lateAfter is half of what a slow backend server takes in addition.
	lateAfter time.Duration
	client    *http.Client

	answered, late, failed atomic.Int64

	// through and direct hold the times of lookups through the fleet and of direct calls of a backend server, while measuring.
	mu              sync.Mutex
	measuring       bool
	through, direct []time.Duration
}

// calm measures for some time what the fleet adds to a lookup when no backend server is slow.
func (l *load) calm(ctx context.Context, d time.Duration) (p50, p99 time.Duration, err error) {
	l.measure(true)
	if !pause(ctx, d) {
		return 0, 0, ctx.Err()
	}
	l.measure(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.through) == 0 || len(l.direct) == 0 {
		return 0, 0, errors.New("no lookup was answered in the calm time")
	}
	slices.Sort(l.through)
	slices.Sort(l.direct)
	at := func(list []time.Duration, percent int) time.Duration { return list[len(list)*percent/100] }
	return at(l.through, 50) - at(l.direct, 50), at(l.through, 99) - at(l.direct, 99), nil
}

func (l *load) measure(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measuring = on
}

func (l *load) note(list *[]time.Duration, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.measuring {
		*list = append(*list, took)
	}
}

// callDirect calls a backend server without the fleet, for comparison.
func (l *load) callDirect(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/item", nil)
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		l.note(&l.direct, time.Since(start))
	}
	resp.Body.Close()
}

func newLoad(f *fleet.Fleet, o options) *load {
	return &load{
		fleet: f, interval: time.Second / time.Duration(o.rate*o.backends),
		lateAfter: time.Duration((10 + o.latencyMs/2) * float64(time.Millisecond)),
		client:    &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

func (l *load) run(ctx context.Context) {
	vms := l.fleet.Documents().VMs
	var addresses []string
	for _, b := range l.fleet.Documents().Services[0].BackendServers {
		addresses = append(addresses, b.Address)
	}
	start := time.Now()
	for i := 0; ; i++ {
		if !pause(ctx, time.Until(start.Add(time.Duration(i)*l.interval))) {
			return
		}
		go l.lookup(ctx, l.fleet.CallersURL(vms[i%len(vms)].VM)+"/item")
		if i%directEvery == 0 {
			go l.callDirect(ctx, addresses[i/directEvery%len(addresses)])
		}
	}
}

func (l *load) lookup(ctx context.Context, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	start := time.Now()
	resp, err := l.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	switch {
	case ctx.Err() != nil:
	case err != nil || resp.StatusCode != http.StatusOK:
		l.failed.Add(1)
	case time.Since(start) > l.lateAfter:
		l.late.Add(1)
	default:
		l.answered.Add(1)
		l.note(&l.through, time.Since(start))
	}
}
