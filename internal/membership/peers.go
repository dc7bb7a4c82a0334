package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPeers of the own data centre are the next VMs on a ring ordered by hash. Where views agree, the ring alone connects
	// a data centre; the random rest connects it where views differ.
	ringPeers = 2
	// drawPeriod is the time after which the random part of the peer set is drawn anew, so that no unlucky draw lasts.
	drawPeriod = 10 * time.Minute
	// minPeers is the number of peers below which seeds are used too.
	minPeers = 2
)

// Peers returns the peer set: at most Config.OwnPeers in the own data centre, then at most Config.OtherPeers in others. Seeds
// fill up while fewer than two VMs are usable.
func (m *Members) Peers(now time.Time) []VM {
	if now.Before(m.peersUntil) && m.peersUntil.Sub(now) <= cacheLife {
		return m.peers
	}
	var own, ownSpare, other, otherSpare []VM
	for _, id := range m.directory.ids {
		vm := m.directory.byID[id]
		isOwn := vm.DataCentre == m.cfg.Self.DataCentre
		switch {
		case m.usable(now, vm) && isOwn:
			own = append(own, vm)
		case m.usable(now, vm):
			other = append(other, vm)
		case m.possible(now, vm) && isOwn:
			ownSpare = append(ownSpare, vm)
		case m.possible(now, vm):
			otherSpare = append(otherSpare, vm)
		}
	}
	draw := m.cfg.Salt + uint64(now.UnixNano()/int64(drawPeriod))
	peers := m.chooseOwn(own, draw)
	peers = append(peers, byWeight(ownSpare, draw)[:min(len(ownSpare), m.cfg.OwnPeers-len(peers))]...)
	others := m.chooseOther(other, draw)
	others = append(others, byWeight(otherSpare, draw)[:min(len(otherSpare), m.cfg.OtherPeers-len(others))]...)
	peers = append(peers, others...)
	if len(peers) < minPeers {
		peers = m.addSeeds(now, peers)
	}
	m.peers, m.peersUntil = peers, now.Add(cacheLife)
	return peers
}

// chooseOwn picks the successors on the ring, then the best by rendezvous hash.
func (m *Members) chooseOwn(candidates []VM, draw uint64) []VM {
	self := ringPosition(m.cfg.Self.ID)
	ring := slices.Clone(candidates)
	slices.SortFunc(ring, func(a, b VM) int {
		// The difference to the own position wraps around, which puts the successors first.
		return compare(ringPosition(a.ID)-self, ringPosition(b.ID)-self, a, b)
	})
	near := ring[:min(ringPeers, len(ring))]
	rest := byWeight(ring[len(near):], draw)
	chosen := append(slices.Clone(near), rest...)
	return chosen[:min(len(chosen), m.cfg.OwnPeers)]
}

// chooseOther picks one VM of the own region and one of another region, then data centres that have none yet, each the
// best by rendezvous hash. The link between regions is narrow, but a daemon without a peer behind it would learn nothing
// when its own region loses the platform.
func (m *Members) chooseOther(candidates []VM, draw uint64) []VM {
	rest := byWeight(candidates, draw)
	var chosen []VM
	take := func(accept func(VM) bool) {
		if i := slices.IndexFunc(rest, accept); i >= 0 && len(chosen) < m.cfg.OtherPeers {
			chosen = append(chosen, rest[i])
			rest = slices.Delete(rest, i, i+1)
		}
	}
	take(m.IsOwnRegion)
	take(func(vm VM) bool { return !m.IsOwnRegion(vm) })
	for range m.cfg.OtherPeers {
		take(func(vm VM) bool {
			return !slices.ContainsFunc(chosen, func(c VM) bool { return c.DataCentre == vm.DataCentre })
		})
	}
	return append(chosen, rest[:min(len(rest), m.cfg.OtherPeers-len(chosen))]...)
}

func (m *Members) addSeeds(now time.Time, peers []VM) []VM {
	for _, address := range m.cfg.Seeds {
		seed := VM{Address: address}
		known := slices.ContainsFunc(peers, func(p VM) bool { return p.Address == address })
		if !known && address != m.cfg.Self.Address && !m.failing(now, seed) && len(peers) < m.cfg.OwnPeers+m.cfg.OtherPeers {
			peers = append(peers, seed)
		}
	}
	return peers
}

// RepairPeer returns one random peer, or false when there is none.
func (m *Members) RepairPeer(now time.Time, random *rand.Rand) (VM, bool) {
	peers := m.Peers(now)
	if len(peers) == 0 {
		return VM{}, false
	}
	return peers[random.IntN(len(peers))], true
}

// peersByDataCentre returns the peers in the own data centre and those in others, in the order of Peers.
func (m *Members) peersByDataCentre(now time.Time) (own, other []VM) {
	for _, vm := range m.Peers(now) {
		if vm.DataCentre == m.cfg.Self.DataCentre {
			own = append(own, vm)
		} else {
			other = append(other, vm)
		}
	}
	return own, other
}

// PushTargets returns up to n random peers of the own data centre. For a reader, and for a daemon that has no peer in its
// own data centre, it adds one in another.
func (m *Members) PushTargets(now time.Time, random *rand.Rand, n int, reader bool) []VM {
	own, other := m.peersByDataCentre(now)
	random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets := own[:min(n, len(own))]
	if (reader || len(own) == 0) && len(other) > 0 {
		targets = append(targets, other[random.IntN(len(other))])
	}
	return targets
}

// StartOrder returns the peers in the order in which a starting daemon asks them: own and other data centres take turns,
// so that the first three are in at least two data centres when such peers are usable. Seeds come last.
func (m *Members) StartOrder(now time.Time) []VM {
	own, other := m.peersByDataCentre(now)
	var order []VM
	for len(own)+len(other) > 0 {
		if len(own) > 0 {
			order, own = append(order, own[0]), own[1:]
		}
		if len(other) > 0 {
			order, other = append(order, other[0]), other[1:]
		}
	}
	return m.addSeeds(now, order)
}

func ringPosition(id string) uint64 { return xxhash.Sum64String(id) }

// weight is the rendezvous weight of an ID under a number such as a minute or a salt.
func weight(number uint64, id string) uint64 {
	d := xxhash.NewWithSeed(number)
	_, _ = d.WriteString(id) // never fails
	return d.Sum64()
}

// byWeight returns the VMs ordered by falling rendezvous weight.
func byWeight(vms []VM, number uint64) []VM {
	type weighted struct {
		weight uint64
		vm     VM
	}
	order := make([]weighted, len(vms))
	for i, vm := range vms {
		order[i] = weighted{weight(number, vm.ID), vm}
	}
	slices.SortFunc(order, func(a, b weighted) int { return compare(b.weight, a.weight, a.vm, b.vm) })
	sorted := make([]VM, len(vms))
	for i := range order {
		sorted[i] = order[i].vm
	}
	return sorted
}

func compare(x, y uint64, a, b VM) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

// RendezvousKey returns a number for Rendezvous from a text such as a customer's name.
func RendezvousKey(text string) uint64 { return xxhash.Sum64String(text) }
