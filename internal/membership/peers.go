package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringSuccessors is the number of peers chosen as the next VMs of the own data centre on a ring
	// ordered by hash. Where views agree, the ring alone connects a data centre. Where they differ,
	// the random peers connect it.
	ringSuccessors = 2
	// reshufflePeriod is the time after which the random part of the peer set changes, so that no
	// bad choice lasts.
	reshufflePeriod = 10 * time.Minute
	// minPeers is the number of peers below which seeds are used too.
	minPeers = 2
)

// Peers returns the peer set: at most Config.OwnPeers in the own data centre, then at most
// Config.OtherPeers in others. Eligible VMs that are not usable fill free places. Seeds are added
// while there are fewer than two peers. The caller must not change the slice.
func (m *Members) Peers(now time.Time) []VM {
	if now.Before(m.peersValidUntil) && m.peersValidUntil.Sub(now) <= peerCacheTTL {
		return m.peers
	}
	var own, ownFallback, other, otherFallback []VM
	for _, id := range m.directory.ids {
		vm := m.directory.byID[id]
		isOwn := vm.DataCentre == m.cfg.Self.DataCentre
		switch {
		case m.usable(now, vm) && isOwn:
			own = append(own, vm)
		case m.usable(now, vm):
			other = append(other, vm)
		case m.eligible(now, vm) && isOwn:
			ownFallback = append(ownFallback, vm)
		case m.eligible(now, vm):
			otherFallback = append(otherFallback, vm)
		}
	}
	shuffleSeed := m.cfg.Salt + uint64(now.UnixNano()/int64(reshufflePeriod))
	peers := m.chooseOwn(own, shuffleSeed)
	peers = append(peers, byWeight(ownFallback, shuffleSeed)[:min(len(ownFallback), m.cfg.OwnPeers-len(peers))]...)
	others := m.chooseOther(other, shuffleSeed)
	others = append(others, byWeight(otherFallback, shuffleSeed)[:min(len(otherFallback), m.cfg.OtherPeers-len(others))]...)
	peers = append(peers, others...)
	if len(peers) < minPeers {
		peers = m.addSeeds(now, peers)
	}
	m.peers, m.peersValidUntil = peers, now.Add(peerCacheTTL)
	return peers
}

// chooseOwn picks the successors on the ring, then the VMs with the highest rendezvous hash.
func (m *Members) chooseOwn(candidates []VM, shuffleSeed uint64) []VM {
	self := ringPosition(m.cfg.Self.ID)
	ring := slices.Clone(candidates)
	slices.SortFunc(ring, func(a, b VM) int {
		// The difference to the own position wraps around, so the successors come first.
		return compare(ringPosition(a.ID)-self, ringPosition(b.ID)-self, a, b)
	})
	successors := ring[:min(ringSuccessors, len(ring))]
	rest := byWeight(ring[len(successors):], shuffleSeed)
	chosen := append(slices.Clone(successors), rest...)
	return chosen[:min(len(chosen), m.cfg.OwnPeers)]
}

// chooseOther picks one VM of the own region, one of another region, then one in each data centre
// that has none yet. Among candidates the highest rendezvous hash wins. The link between regions is
// narrow, but a daemon without a peer in another region would learn nothing if its own region lost
// the platform.
func (m *Members) chooseOther(candidates []VM, shuffleSeed uint64) []VM {
	rest := byWeight(candidates, shuffleSeed)
	var chosen []VM
	pickFirst := func(accept func(VM) bool) {
		if i := slices.IndexFunc(rest, accept); i >= 0 && len(chosen) < m.cfg.OtherPeers {
			chosen = append(chosen, rest[i])
			rest = slices.Delete(rest, i, i+1)
		}
	}
	pickFirst(m.IsOwnRegion)
	pickFirst(func(vm VM) bool { return !m.IsOwnRegion(vm) })
	for range m.cfg.OtherPeers {
		pickFirst(func(vm VM) bool {
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

// RandomPeer returns a random peer, or false when there is none.
func (m *Members) RandomPeer(now time.Time, random *rand.Rand) (VM, bool) {
	peers := m.Peers(now)
	if len(peers) == 0 {
		return VM{}, false
	}
	return peers[random.IntN(len(peers))], true
}

// peersByDataCentre returns the peers in the own data centre and those in others, in the order of
// Peers.
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

// PushTargets returns up to n random peers of the own data centre. It adds one in another data
// centre if the daemon is a reader or has no peer in its own.
func (m *Members) PushTargets(now time.Time, random *rand.Rand, n int, isReader bool) []VM {
	own, other := m.peersByDataCentre(now)
	random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets := own[:min(n, len(own))]
	if (isReader || len(own) == 0) && len(other) > 0 {
		targets = append(targets, other[random.IntN(len(other))])
	}
	return targets
}

// StartOrder returns the peers in the order in which a starting daemon asks them. Own and other
// data centres alternate, so that the first three peers are in at least two data centres if
// possible. Seeds come last.
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

// weight returns the rendezvous hash of an ID under a key, such as a minute or a salt.
func weight(key uint64, id string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(id) // never fails
	return d.Sum64()
}

// byWeight returns the VMs in descending order of their rendezvous hash.
func byWeight(vms []VM, key uint64) []VM {
	type weighted struct {
		weight uint64
		vm     VM
	}
	order := make([]weighted, len(vms))
	for i, vm := range vms {
		order[i] = weighted{weight(key, vm.ID), vm}
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

// RendezvousKey returns the key for Rendezvous that belongs to a text such as a customer's name.
func RendezvousKey(text string) uint64 { return xxhash.Sum64String(text) }
