package feed

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
)

const (
	// settleTime is how long after the begin of an era reads of the store do not show that nothing newer
	// was acknowledged. The store has come back from a copy then, and its writers write again what that
	// lacks: backend servers within about 2 s.
	settleTime = 2500 * time.Millisecond
	// settleLimit bounds the wait for the other regions, which may know what the copy lacks.
	settleLimit = 10 * time.Second
	// settleWatchWait is how long watches wait meanwhile, so that the first read that counts comes soon.
	settleWatchWait = 300 * time.Millisecond
	// remotePerRegion is the number of daemons of each other region that a reader follows meanwhile.
	remotePerRegion = 2
)

// eraState is what a daemon knows of the present era of the store: whether a read shows all that was
// acknowledged, or may lack what the copy lacked with which the era began. It is safe for concurrent use.
type eraState struct {
	mu sync.Mutex
	// era is the latest known one. Era 0 has begun with an empty store, so it is settled.
	era uint64
	// since is when the era was first seen.
	since time.Time
	// settled is set once reads count, and settledAt is the reading of the clock of confirmations from
	// which on they do.
	settled   bool
	settledAt time.Duration
	// heard holds the regions of which a daemon was heard of since the era was first seen.
	heard map[string]bool
}

func newEraState() *eraState { return &eraState{settled: true} }

// note records that an era was seen, and reports whether it is a later one than those before.
func (e *eraState) note(era uint64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.era {
		return false
	}
	e.era, e.since, e.settled, e.heard = era, now, false, map[string]bool{}
	return true
}

// noteRegion records that a daemon of a region was heard of.
func (e *eraState) noteRegion(region string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settled {
		e.heard[region] = true
	}
}

// adopt takes the word of another daemon that an era is settled. clock is the reading of the clock of
// confirmations.
func (e *eraState) adopt(era uint64, clock time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == e.era && !e.settled {
		e.settled, e.settledAt = true, clock
	}
}

// settle settles the era once it is time, and reports whether it did. regions are the other regions
// that have daemons.
func (e *eraState) settle(now time.Time, clock time.Duration, regions []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.since)
	if e.settled || age < settleTime {
		return false
	}
	if age < settleLimit {
		for _, region := range regions {
			if !e.heard[region] {
				return false
			}
		}
	}
	e.settled, e.settledAt = true, clock
	return true
}

// isSettled reports whether reads of the present era count.
func (e *eraState) isSettled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settled
}

// isSettledUpTo reports whether the era of a revision, or a later one, is settled.
func (e *eraState) isSettledUpTo(revision uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settled && registry.EraOf(revision) <= e.era
}

// confirms reports whether a read shows all that was acknowledged before it. at is the reading of the
// clock of confirmations as of which it holds. A read of an earlier era holds as of a moment before
// the store left.
func (e *eraState) confirms(revision uint64, at time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return registry.EraOf(revision) < e.era || e.settled && at >= e.settledAt
}

// noteEra notes the era of an update. A later one may lack what was acknowledged before.
func (s *Source) noteEra(u *registry.Update) {
	era := registry.EraOf(u.Revision)
	for i := range u.Changes {
		era = max(era, registry.EraOf(u.Changes[i].Revision))
	}
	if !s.eras.note(era, time.Now()) {
		return
	}
	s.options.Log.Info("A new era of the store was seen; reads of it do not confirm the configuration yet.", "era", era, "complete", s.fresh.Load())
}

// holdFresh keeps a daemon without a state from serving by a list of an era that is not settled: the
// list shows what the copy of the store knew.
func (s *Source) holdFresh(u *registry.Update) {
	if u.Full && u.Fresh && !s.fresh.Load() && !s.eras.isSettledUpTo(u.Revision) {
		u.Fresh = false
		s.heldList.Store(true)
	}
}

// settleEra settles the present era once it is time. A list that was held back counts then, unless
// more is known to be on its way.
func (s *Source) settleEra(now time.Time) {
	if !s.eras.isSettled() && s.eras.settle(now, s.confirmationClock(), slices.Collect(maps.Keys(s.remotePeers()))) {
		s.options.Log.Info("The era of the store is settled; reads of it count.", "complete", s.fresh.Load())
	}
	if s.fresh.Load() || !s.heldList.Load() || !s.eras.isSettled() {
		return
	}
	s.mu.Lock()
	current := s.readerCurrent()
	s.mu.Unlock()
	if current {
		s.apply(registry.Update{Revision: s.completeRevision.Load(), Fresh: true})
	}
}

// confirmationClock returns the reading of the clock of confirmations, 0 if there are none.
func (s *Source) confirmationClock() time.Duration {
	if s.options.Keys == nil {
		return 0
	}
	return s.options.Keys.Now()
}

// remotePeers returns the daemons of each other region, or none once the present era is settled.
func (s *Source) remotePeers() map[string][]Peer {
	if s.options.RemotePeers == nil || s.eras.isSettled() {
		return nil
	}
	return s.options.RemotePeers()
}

// remoteSources returns the daemons of other regions that this one follows: some of each while it reads
// the store and the present era is not settled. They may know what the store has lost. The caller holds
// mu.
func (s *Source) remoteSources(remote map[string][]Peer) []Peer {
	if s.reader == nil {
		return nil
	}
	var sources []Peer
	for _, peers := range remote {
		v := view{self: s.options.Self}
		for _, p := range peers {
			if s.avoidUntil[p.VM].IsZero() {
				v.peers = append(v.peers, p)
			}
		}
		sources = append(sources, v.nearest(v.peers, remotePerRegion)...)
	}
	return sources
}
