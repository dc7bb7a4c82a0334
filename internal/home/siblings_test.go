package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// fleetOf returns a snapshot with one service of n backend servers, one on each VM.
func fleetOf(n int, coldStart float64) *catalog.Snapshot {
	svc := contract.Service{Service: "stock", FloorPercent: 60, Preset: ejection.FastDetection, Detector: map[string]float64{"coldStart": coldStart}}
	var docs contract.Documents
	for i := range n {
		vm := fmt.Sprintf("vm%d", i)
		docs.VMs = append(docs.VMs, contract.VM{VM: vm, DataCentre: "dc", PeerAddress: "127.0.0.1:1"})
		svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: fmt.Sprintf("b%d", i), VM: vm, Address: "127.0.0.1:1", Slots: 4})
	}
	docs.Services = []contract.Service{svc}
	return catalog.Build([]catalog.Source{{Revision: 1, Documents: docs}})
}

// replyForSiblings answers as the homes of all siblings, each with the given median.
func replyForSiblings(h *Home, list []Comparison, median time.Duration) {
	for _, c := range list {
		msg := &peerapi.CompareResponse{}
		for _, id := range c.BackendServers {
			msg.Summaries = append(msg.Summaries, &peerapi.Summary{BackendServer: id, MedianUs: uint32(median.Microseconds()), Samples: 50})
		}
		h.HandleCompareResponse(msg)
	}
}

// simulateRequests reports requests with the service time to b0 for some seconds, with ticks and
// comparisons as in the daemon. It returns the time at the end.
func simulateRequests(h *Home, snapshot *catalog.Snapshot, now time.Time, seconds int, serviceTime, siblingMedian time.Duration) time.Time {
	for range seconds * 10 {
		now = now.Add(TickInterval)
		for range 5 {
			m := h.activeMembers()[0]
			m.mu.Lock()
			m.lifecycle.Observe(now, ejection.Sample{ServiceTime: serviceTime, Result: ejection.OK})
			m.mu.Unlock()
		}
		h.Tick(now)
		replyForSiblings(h, h.NextComparisons(now, snapshot), siblingMedian)
	}
	return now
}

func mode(h *Home, now time.Time) ejection.Mode { return h.Explain(now)[0].Ejection.State.Mode }

// Guards against a backend server that is not compared with its siblings. At the design size
// entries see too few requests to supply a baseline. One as slow as its siblings must not be
// suspect.
func TestSiblingMedianIsTheBaseline(t *testing.T) {
	for name, c := range map[string]struct {
		siblings time.Duration
		want     ejection.Mode
	}{
		"slower than its siblings": {10 * time.Millisecond, ejection.Suspect},
		"as slow as its siblings":  {100 * time.Millisecond, ejection.Active},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := fleetOf(6, 0)
			h := New(Options{VM: "vm0", Seed: 1})
			if errs := h.Apply(snapshot); len(errs) > 0 {
				t.Fatal(errs)
			}
			now := simulateRequests(h, snapshot, time.Now(), 8, 100*time.Millisecond, c.siblings)
			if got := mode(h, now); got != c.want {
				t.Errorf("mode %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an ejection without reservations from siblings, and against a suspect backend
// server that stays in service although it has them.
func TestEjectionNeedsReservations(t *testing.T) {
	snapshot := fleetOf(6, 0)
	h := New(Options{VM: "vm0", Seed: 1})
	h.Apply(snapshot)
	now := simulateRequests(h, snapshot, time.Now(), 8, 100*time.Millisecond, 10*time.Millisecond)
	if got := mode(h, now); got != ejection.Suspect {
		t.Fatalf("mode %v without reservations, want suspect", got)
	}
	for range 30 {
		now = now.Add(TickInterval)
		for _, msg := range h.Tick(now) {
			granted := make([]bool, len(msg.Reservations))
			for i := range granted {
				granted[i] = true
			}
			h.HandleReservationResult(now, msg.ID, granted, nil)
		}
	}
	if got := mode(h, now); !got.IsOut() {
		t.Errorf("mode %v with reservations of all siblings, want out of service", got)
	}
}

// Guards against a change of detector settings that starts all backend servers of a service cold,
// and against a removed backend server that is refused before the reservations granted on it have
// ended.
func TestConfigurationChangeKeepsModeAndReservations(t *testing.T) {
	h := New(Options{VM: "vm0", Seed: 1})
	snapshot := fleetOf(6, 0)
	h.Apply(snapshot)
	now := simulateRequests(h, snapshot, time.Now(), 8, 10*time.Millisecond, 10*time.Millisecond)
	changed := fleetOf(6, 5)
	h.Apply(changed)
	if e := h.Explain(now)[0]; e.Ejection.State.Mode != ejection.Active || e.Ejection.State.Allowed != 4 {
		t.Errorf("after a change of the detector settings: mode %v with %d slots", e.Ejection.State.Mode, e.Ejection.State.Allowed)
	}
	more := fleetOf(6, 5)
	more.BackendServer("b0").Slots = 9
	h.Apply(more)
	if got := h.member("b0").slots.queueCapacity; got != 9 {
		t.Errorf("%d requests may wait at a backend server that now has 9 slots", got)
	}
	h.Apply(catalog.Build(nil))
	if h.member("b0") == nil {
		t.Error("a removed backend server is refused before its reservations have ended")
	}
}

// Guards against a VM that the platform lists as leaving and that keeps taking new requests, or
// stops before the reservations that it granted have ended. A stale entry of the list must not keep
// a replaced VM closed for ever.
func TestListedLeavingStopsNewWork(t *testing.T) {
	h := New(Options{VM: "vm0", Seed: 1})
	snapshot := fleetOf(6, 0)
	h.Apply(snapshot)
	start := time.Now()
	h.SetListedLeaving(true)
	h.Tick(start.Add(TickInterval))
	if h.closed.Load() || !h.Leaving() {
		t.Errorf("closed %v, leaving %v before the reservations granted by an earlier process can have ended", h.closed.Load(), h.Leaving())
	}
	h.Tick(start.Add(4 * time.Second))
	if !h.closed.Load() {
		t.Error("new requests are still taken after the reservations have ended")
	}
	h.SetListedLeaving(false)
	h.Tick(start.Add(5 * time.Second))
	if h.closed.Load() || h.Leaving() {
		t.Error("the home stays closed although the VM is listed as live")
	}
}

// Guards against rounds of comparisons that exceed their part of the control budget, or take too
// long, at the design size.
func TestComparisonsStayWithinBudget(t *testing.T) {
	const members, peers = 12, 48
	for budget, maxInterval := range map[int]time.Duration{maxCompareBudget: baselineMaxAge / 2, minCompareBudget: baselineMaxAge} {
		interval := compareInterval(peers, budget)
		if used := 2 * float64(peers*comparisonBytes) / interval.Seconds(); used > float64(budget)+0.001 {
			t.Errorf("%d peers for %d backend servers use %.0f B/s, budget %d", peers, members, used, budget)
		}
		if interval > maxInterval {
			t.Errorf("a round of %v at %d B/s is longer than %v", interval, budget, maxInterval)
		}
	}
}
