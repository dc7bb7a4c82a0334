package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

const (
	customer = "measurement"
	service  = "stock"
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
	start := time.Now()
	for i := 0; ; i++ {
		if !pause(ctx, time.Until(start.Add(time.Duration(i)*l.interval))) {
			return
		}
		go l.lookup(ctx, l.fleet.CallersURL(vms[i%len(vms)].VM)+"/item")
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
	}
}

// modes asks each daemon for the modes of its backend servers.
func modes(ctx context.Context, f *fleet.Fleet) map[string]string {
	modes := map[string]string{}
	for _, vm := range f.Documents().VMs {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.AdminURL(vm.VM)+"/v1/status", nil)
		if err != nil {
			continue
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		var st admin.Status
		err = json.NewDecoder(resp.Body).Decode(&st)
		resp.Body.Close()
		if err != nil {
			continue
		}
		for _, b := range st.BackendServers {
			modes[b.BackendServer] = b.Ejection.State.Mode.String()
		}
	}
	return modes
}
