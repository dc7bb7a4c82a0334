package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// fleet is a model of daemons in 7 data centres of 2 regions, each with its own view.
type fleet struct {
	vms   []VM
	dead  map[string]bool
	nodes map[string]*Members
}

// newFleet gives each daemon one of four lists. Each list lacks a share of the live VMs and shows
// the dead ones as live.
func newFleet(random *rand.Rand, n int, deadShare, missingShare float64) *fleet {
	f := &fleet{dead: map[string]bool{}, nodes: map[string]*Members{}}
	for i := range n {
		dc := i % 7
		f.vms = append(f.vms, VM{fmt.Sprintf("vm%04d", i), fmt.Sprintf("dc%d", dc), fmt.Sprintf("region%d", dc/4), fmt.Sprintf("10.0.0.1:%d", i)})
		if random.Float64() < deadShare {
			f.dead[f.vms[i].ID] = true
		}
	}
	lists := make([]map[string]State, 4)
	for i := range lists {
		lists[i] = map[string]State{}
		for _, vm := range f.vms {
			if random.Float64() >= missingShare {
				lists[i][vm.ID] = Live
			}
		}
	}
	directory := NewDirectory(f.vms)
	for _, vm := range f.vms {
		if !f.dead[vm.ID] {
			m := New(Config{Self: vm, Salt: random.Uint64()})
			m.SetDirectory(directory)
			m.SetList(lists[random.IntN(len(lists))])
			f.nodes[vm.ID] = m
		}
	}
	return f
}

// components returns the number of connected components of the graph of live daemons and their
// peers. Edges have no direction, because an exchange moves values both ways.
func (f *fleet) components(t interface{ Fatalf(string, ...any) }, now time.Time) int {
	parent := map[string]string{}
	var find func(string) string
	find = func(id string) string {
		if p, ok := parent[id]; ok && p != id {
			parent[id] = find(p)
			return parent[id]
		}
		return id
	}
	for id, m := range f.nodes {
		own, other := 0, 0
		seen := map[string]bool{id: true}
		for _, peer := range m.Peers(now) {
			if seen[peer.ID] {
				t.Fatalf("%s has %s twice, or itself, as a peer", id, peer.ID)
			}
			seen[peer.ID] = true
			if peer.DataCentre == m.Self().DataCentre {
				own++
			} else {
				other++
			}
			if !f.dead[peer.ID] {
				parent[find(id)] = find(peer.ID)
			}
		}
		if own > DefaultOwnPeers || other > DefaultOtherPeers {
			t.Fatalf("%s has %d peers in its own data centre and %d in others, which is above the bounds", id, own, other)
		}
	}
	count := 0
	for id := range f.nodes {
		if find(id) == id {
			count++
		}
	}
	return count
}

// Guards against a fleet that falls into parts which never learn from each other. With 30% of the
// VMs dead and listed as live, a daemon is cut off when all its 11 peers are dead and no live
// daemon chose it. The probability is about 0.3^11 * e^-7.7, which is below 1e-6 for 1,200 daemons.
// Smaller fleets are denser. The random seeds are fixed, so the result is reproducible.
func TestGraphOfFullFleetStaysConnected(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)), 1200, 0.3, 0.1)
		if components := f.components(t, start); components != 1 {
			t.Errorf("seed %d: the graph has %d components, want 1", seed, components)
		}
	}
}

// Guards against smaller fleets, with any share of dead VMs, that stay in unconnected parts after
// the daemons have noticed which peers fail. Also guards against peer sets above their bounds.
func TestGraphConnectsAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(2, 60).Draw(t, "n")
		dead := float64(rapid.IntRange(0, 90).Draw(t, "dead percent")) / 100
		missingShare := float64(rapid.IntRange(0, 100).Draw(t, "lacking percent")) / 100
		f := newFleet(random, n, dead, missingShare)
		now := start
		for range 20 {
			now = now.Add(time.Second)
			f.call(now)
		}
		// When most VMs are dead and tried again at the moment, a single check can find several
		// parts.
		connected := false
		for range 8 {
			now = now.Add(time.Second)
			f.call(now)
			connected = connected || f.components(t, now) <= 1
		}
		if !connected {
			t.Fatalf("at every moment %d components of %d daemons, want 1", f.components(t, now), len(f.nodes))
		}
	})
}

// call makes every daemon call all its peers once.
func (f *fleet) call(now time.Time) {
	for _, vm := range f.vms {
		m := f.nodes[vm.ID]
		if m == nil {
			continue
		}
		for _, peer := range m.Peers(now) {
			if f.dead[peer.ID] {
				m.Failed(now, peer)
			} else {
				m.Answered(now, peer, Sender{VM: peer.ID, Incarnation: 1})
				f.nodes[peer.ID].Heard(now, Sender{VM: vm.ID, Incarnation: 1})
			}
		}
	}
}

// Guards against more readers than the bound in the comment of IsReader, which would load the
// platform, and against fewer than two while a data centre has enough daemons.
func TestReadersAreBoundedWithDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		f := newFleet(random, rapid.IntRange(7, 140).Draw(t, "n"), 0, float64(rapid.IntRange(0, 30).Draw(t, "lacking percent"))/100)
		now := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "minute")) * time.Minute)
		for dc := range 7 {
			name := fmt.Sprintf("dc%d", dc)
			readers, maxMissing, size := 0, 0, 0
			for _, m := range f.nodes {
				if m.Self().DataCentre != name {
					continue
				}
				size++
				seen := 0
				for _, vm := range m.Live(now) {
					if vm.DataCentre == name {
						seen++
					}
				}
				maxMissing = max(maxMissing, (len(f.vms)+6-dc)/7-seen)
				if m.IsReader(now) {
					readers++
				}
			}
			if readers > ReadersPerDataCentre+maxMissing || readers < min(ReadersPerDataCentre, size) {
				t.Fatalf("%s: %d readers among %d daemons, while views lack up to %d", name, readers, size, maxMissing)
			}
		}
	})
}

// Guards against dropping a VM that still answers because the list lags, and against keeping a VM
// that fails or is leaving.
func TestUnlistedVMIsUsedOnlyWhileItAnswers(t *testing.T) {
	self, a, b := VM{"self", "dc0", "r", "h:1"}, VM{"a", "dc0", "r", "h:2"}, VM{"b", "dc0", "r", "h:3"}
	m := New(Config{Self: self, OwnPeers: 1})
	m.SetDirectory(NewDirectory([]VM{self, a, b}))
	m.SetList(map[string]State{"self": Live, "a": Live})
	firstPeer := func(now time.Time) string {
		if peers := m.Peers(now); len(peers) == 1 {
			return peers[0].ID
		}
		return ""
	}
	if got := firstPeer(start); got != "a" {
		t.Fatalf("peer %q, want the listed a", got)
	}
	m.SetList(map[string]State{"self": Live})
	m.Heard(start, Sender{VM: "b"})
	if got := firstPeer(start); got != "b" {
		t.Fatalf("peer %q, want b, which has called", got)
	}
	m.Failed(start, b)
	if got := firstPeer(start); got != "a" {
		t.Fatalf("peer %q after b failed, want a", got)
	}
	m.Heard(start, Sender{VM: "a", Leaving: true})
	if got := firstPeer(start); got != "" {
		t.Fatalf("peer %q, want none: a is leaving, b fails", got)
	}
	m.Heard(start, Sender{VM: "a", Incarnation: 2})
	if got := firstPeer(start); got != "a" {
		t.Fatalf("peer %q, want the new incarnation of a", got)
	}
}

// Guards against a start that asks peers of one data centre only, and against seeds that displace
// known VMs.
func TestStartOrderAndSeeds(t *testing.T) {
	self := VM{"self", "dc0", "r", "h:1"}
	m := New(Config{Self: self, Seeds: []string{"h:9", "h:8"}})
	if order := m.StartOrder(start); len(order) != 2 || order[0].Address != "h:9" {
		t.Fatalf("order without configuration: %+v", order)
	}
	vms := []VM{self}
	for i := range 6 {
		vms = append(vms, VM{fmt.Sprint(i), fmt.Sprintf("dc%d", i/5), "r", fmt.Sprintf("h:1%d", i)})
	}
	m.SetDirectory(NewDirectory(vms))
	order := m.StartOrder(start)
	if order[0].DataCentre == order[1].DataCentre || order[len(order)-1].Address != "h:8" {
		t.Fatalf("order: %+v", order)
	}
	if peers := m.Peers(start); len(peers) != 6 {
		t.Fatalf("peers with seeds among them: %+v", peers)
	}
}
