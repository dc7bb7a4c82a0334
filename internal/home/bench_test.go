package home

import (
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// newDesignSizeHome returns a home of the size that the system is designed for: 12 backend servers,
// each of another service with 16 backend servers.
func newDesignSizeHome() (*Home, *catalog.Snapshot) {
	var docs contract.Documents
	for i := range 16 {
		docs.VMs = append(docs.VMs, contract.VM{VM: vmName(i), DataCentre: "dc", PeerAddress: "127.0.0.1:1"})
	}
	for s := range 12 {
		svc := contract.Service{Service: "service" + vmName(s), Preset: ejection.FastDetection, Detector: map[string]float64{"coldStart": 0}}
		for i := range 16 {
			svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: vmName(s) + vmName(i), VM: vmName(i), Address: "127.0.0.1:1", Slots: 5})
		}
		docs.Services = append(docs.Services, svc)
	}
	snapshot := catalog.Build([]catalog.Source{{Revision: 1, Documents: docs}})
	h := New(Options{VM: vmName(0), Seed: 1})
	h.Apply(snapshot)
	return h, snapshot
}

func vmName(i int) string { return "vm" + string(rune('a'+i)) }

// BenchmarkTick is the cost of one Tick and NextComparisons of a home with 12 backend servers. A
// daemon ticks ten times a second.
func BenchmarkTick(b *testing.B) {
	h, snapshot := newDesignSizeHome()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(TickInterval)
		h.Tick(now)
		h.NextComparisons(now, snapshot)
	}
}

// BenchmarkObserve is the cost of recording the evidence of one request.
func BenchmarkObserve(b *testing.B) {
	h, snapshot := newDesignSizeHome()
	now := simulateRequests(h, snapshot, time.Now(), 3, 10*time.Millisecond, 10*time.Millisecond)
	m := h.activeMembers()[0]
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.mu.Lock()
		m.lifecycle.Observe(now, ejection.Sample{ServiceTime: 10 * time.Millisecond})
		m.recent.add(now, 10*time.Millisecond, false)
		m.mu.Unlock()
	}
}
