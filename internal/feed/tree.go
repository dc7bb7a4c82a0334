package feed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerRegion is the number of daemons of a region that normally read the store. With two,
	// nothing is lost while one of them is cut off and not yet known to be.
	readersPerRegion = 2
	// maxReaders bounds the daemons of a region that keep trying while the store is away for all, and
	// the daemons that one follows as readers.
	maxReaders = 8
	// startReaders is the number of daemons that read first when the usual readers are not heard of.
	startReaders = 4
	// searchFactor is by how much more daemons read in each further step of a search. In the last of
	// searchSteps steps all do.
	searchFactor = 4
	searchSteps  = 4
	// maxFollowers is the number of followers that a daemon is meant to have. Regions with more
	// daemons have relays.
	maxFollowers = 64
	// relaysPerDaemon is the number of relays that a daemon follows.
	relaysPerDaemon = 2
	// takeoverInterval is the time between two steps of a search.
	takeoverInterval = 250 * time.Millisecond
	// searchDuration is the length of a search. After that only maxReaders daemons go on trying, until
	// the next one, searchPeriod after its begin. A daemon that the store answers again must have found
	// out by the time at which it counts as in touch, contactTime of the deployments.
	searchDuration = searchSteps * takeoverInterval
	searchPeriod   = 2500 * time.Millisecond
	// noPeersTimeout is how long a daemon waits for others to register before it reads the store. A
	// look for peers costs less than a read, but may show the store as it was seconds ago.
	noPeersTimeout = 4 * time.Second
)

// everyone is a number of readers that no region has.
const everyone = math.MaxInt

// Peer is a daemon that can be followed: the id of its VM, its data centre and region, and the host:port
// of its peer listener.
type Peer struct {
	VM, DataCentre, Region, Address string
	// Standby means that the daemon's backend server is leaving or no longer registered. It reads after
	// all others and is no relay.
	Standby bool
}

// view is what a daemon knows when it decides on its place.
type view struct {
	// self is the id of the daemon's VM.
	self string
	// dataCentre is the daemon's data centre.
	dataCentre string
	// peers are the daemons of the region in the agreed order, without those that are avoided. It is
	// empty while none are known.
	peers []Peer
	// unlisted means that the daemon itself is the last of peers because the order lacks it: its
	// registration has ended, or is not known yet. The others do not know of it.
	unlisted bool
	// lost is the time since the store was known to answer a reader.
	lost time.Duration
	// complete is set once the daemon has had a full state.
	complete bool
	// connected is true while the daemon receives a stream, hearsOfStore while a stream says that the
	// store answers a reader.
	connected, hearsOfStore bool
}

// place is what a daemon does to get the content of the store.
type place struct {
	// read is true if the daemon reads the store.
	read bool
	// readers are the daemons that it follows because they read, relays those that pass on.
	readers, relays []Peer
}

// decide returns the place of a daemon. Daemons with the same view decide alike.
func (v *view) decide() place {
	if len(v.peers) == 0 {
		return place{read: v.lost > noPeersTimeout}
	}
	var p place
	count := v.readerCount()
	// A daemon that hears of nobody may read, but must not make all others read.
	lonely := !v.connected && v.lost > storeTimeout+searchDuration
	p.read = lonely || containsVM(v.readers(count), v.self)
	relays := v.relays()
	leaf := len(relays) > 0 && !p.read && !containsVM(relays, v.self)
	if leaf {
		p.relays = v.nearest(relays, relaysPerDaemon)
	}
	if !leaf || v.lost > storeTimeout {
		p.readers = v.candidates(count)
	}
	return p
}

// readers returns the daemons that read if count of them are to. One that the others do not know of
// comes to the same count as each other such daemon, so it only reads in the later steps of a search.
func (v *view) readers(count int) []Peer {
	peers := v.peers
	if v.unlisted && count <= maxReaders {
		peers = peers[:len(peers)-1]
	}
	return peers[:min(count, len(peers))]
}

// candidates returns the daemons to follow out of the first ones that read. While there are many, the
// first ones have been tried, and each daemon follows others.
func (v *view) candidates(count int) []Peer {
	readers := v.readers(count)
	if len(readers) <= maxReaders {
		return v.withoutSelf(readers)
	}
	tried := count / searchFactor
	if count == everyone {
		tried = startReaders
		for range searchSteps - 2 {
			tried *= searchFactor
		}
	}
	return v.nearest(readers[min(tried, len(readers)-maxReaders):], maxReaders)
}

// readerCount returns how many daemons of the region are to read the store. While the usual readers
// are not heard of, more try in steps. Those that are silent themselves cost no further time: each
// step begins at a set age of the state, whatever became of the steps before.
func (v *view) readerCount() int {
	lost := v.lost - storeTimeout
	if lost <= 0 {
		return readersPerRegion
	}
	if !v.complete {
		return v.readerCountAtStart(lost)
	}
	return searchCount(lost % searchPeriod)
}

// searchCount returns how many daemons read at a time of a search period.
func searchCount(search time.Duration) int {
	if search >= searchDuration {
		return maxReaders
	}
	if search >= searchDuration-takeoverInterval {
		return everyone
	}
	count := startReaders
	for ; search >= takeoverInterval; search -= takeoverInterval {
		count *= searchFactor
	}
	return count
}

// readerCountAtStart returns how many daemons of the region are to read the store while this one has
// no state yet, so that its read would be a list of everything. lost is the time for which it has
// waited in vain. From the second search period on all try, as the first ones may not reach the store.
func (v *view) readerCountAtStart(lost time.Duration) int {
	if lost >= searchPeriod && searchCount(lost%searchPeriod) == everyone {
		return everyone
	}
	limit := maxReaders
	if !v.connected {
		limit = len(v.peers)
	}
	count := readersPerRegion
	for ; lost > 0 && count < limit; lost -= takeoverInterval {
		count *= 2
	}
	return max(readersPerRegion, min(count, limit))
}

// relays returns the relays of the daemon's data centre, or none if the region is small enough to
// follow the readers.
func (v *view) relays() []Peer {
	present, near := 0, 0
	for i := range v.peers {
		if v.peers[i].Standby {
			continue
		}
		present++
		if v.peers[i].DataCentre == v.dataCentre {
			near++
		}
	}
	if present <= maxFollowers {
		return nil
	}
	count := min(relaysPerDaemon*(1+near/maxFollowers), near)
	relays := make([]Peer, 0, count)
	for i := range v.peers {
		if len(relays) == count {
			break
		}
		if p := &v.peers[i]; !p.Standby && p.DataCentre == v.dataCentre {
			relays = append(relays, v.peers[i])
		}
	}
	return relays
}

// nearest returns the daemons that this one follows out of many, which are others for each daemon.
func (v *view) nearest(peers []Peer, count int) []Peer {
	chosen := v.withoutSelf(peers)
	slices.SortFunc(chosen, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(v.self+" "+a.VM), xxhash.Sum64String(v.self+" "+b.VM))
	})
	return chosen[:min(count, len(chosen))]
}

func (v *view) withoutSelf(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.VM == v.self })
}

func containsVM(peers []Peer, vm string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == vm })
}
