package home

import (
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// designHome returns a home with 12 backend servers of 12 services with 16 members each, as at the size to design for.
func designHome() (*Home, *catalog.Snapshot) {
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

// BenchmarkTick is the cost of one tick of a home with 12 backend servers; a daemon ticks ten times a second.
func BenchmarkTick(b *testing.B) {
	h, snapshot := designHome()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(TickInterval)
		h.Tick(now)
		h.Compare(now, snapshot)
	}
}

// BenchmarkObserve is the cost of the evidence of one request.
func BenchmarkObserve(b *testing.B) {
	h, snapshot := designHome()
	now := play(h, snapshot, time.Now(), 3, 10*time.Millisecond, 10*time.Millisecond)
	m := h.active()[0]
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.mu.Lock()
		m.life.Observe(now, ejection.Sample{ServiceTime: 10 * time.Millisecond})
		m.recent.add(now, 10*time.Millisecond, false)
		m.mu.Unlock()
	}
}
