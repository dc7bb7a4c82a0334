package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
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

// load sends lookups through the fleet, and beside them direct calls of the backend servers for comparison.
type load struct {
	*fleet.Load
	addresses   []string
	directEvery time.Duration
	client      *http.Client

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

// lookupTimeout is far above the deadline of the contract, so that an end by the fleet counts as such.
const lookupTimeout = 15 * time.Second

func newLoad(f *fleet.Fleet, o options) *load {
	interval := time.Second / time.Duration(o.rate*o.backends)
	l := &load{directEvery: directEvery * interval, client: &http.Client{Timeout: lookupTimeout}}
	for _, b := range f.Documents().Services[0].BackendServers {
		l.addresses = append(l.addresses, b.Address)
	}
	l.Load = f.NewLoad(fleet.LoadOptions{
		Path: "/item", Key: fleet.Key(customer), Interval: interval, Timeout: lookupTimeout,
		// Half of what a slow backend server takes in addition.
		LateAfter: time.Duration((10 + o.latencyMs/2) * float64(time.Millisecond)),
		InTime:    func(took time.Duration) { l.note(&l.through, took) },
	})
	return l
}

func (l *load) run(ctx context.Context) {
	go l.Run(ctx)
	fleet.Every(ctx, l.directEvery, func(i int) { go l.callDirect(ctx, l.addresses[i%len(l.addresses)]) })
}
