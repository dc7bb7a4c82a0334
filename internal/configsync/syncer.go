package configsync

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// DefaultFanout is the number of peers in the own data centre to which a change is offered.
	// With 171 daemons a change was in force everywhere after at most 0.70 s with 8 peers, and
	// after 4.44 s with 3. The difference costs 2 KB per change and daemon.
	DefaultFanout = 8
	// RepairInterval is the mean time between two exchanges with a random peer. Each interval
	// is drawn within 20% of it, so that daemons that started together drift apart.
	RepairInterval = 4 * time.Second
	// startRepairInterval applies until the daemon is ready.
	startRepairInterval = time.Second
	// requestTTL is how long a value that was requested from one peer is not requested from
	// another. A transfer between regions takes about 100 ms; a later exchange repairs a lost
	// one.
	requestTTL = time.Second
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	// Store is only written by the syncer. Others may read it.
	Store   *Store
	Members *membership.Members
	// Random draws peers, intervals and the order of reads.
	Random *rand.Rand
	// IndexNames returns the names that an index lists. Default: ParseIndex.
	IndexNames func(content []byte) ([]string, error)
	// Emit receives events. It must not block. Default: events are dropped.
	Emit func(Event)
	// Fanout is the number of peers in the own data centre to which a change is offered.
	// Default: DefaultFanout.
	Fanout int
}

// Syncer decides what to read, request, offer and apply. It does no I/O and is not safe for
// concurrent use.
type Syncer struct {
	cfg     SyncerConfig
	store   *Store
	members *membership.Members

	// requested holds the values that were requested from a peer and not received yet.
	requested map[string]valueRequest
	// pendingOffers maps the names to offer in the next round to their source, which is not
	// offered its own value.
	pendingOffers map[string]string
	// inForce holds the revisions in force. refused holds, for each value, the revision that
	// could not be applied last; a later revision that is applied removes it.
	inForce map[string]uint64
	refused map[string]refusal
	// reportedConflicts holds the hash of the last conflict reported of each value, so that
	// each is reported once. A newer revision removes it.
	reportedConflicts map[string]uint64
	// peerResidues holds the residues that are not merged yet, mergedHashes the hashes of
	// merged ones.
	peerResidues map[string][]PeerResidue
	mergedHashes map[string][]uint64
	// indexNames are the names that the last readable index lists.
	indexNames []string

	// platformAnsweredAt is the last time at which the platform answered this daemon or one
	// that it heard from. It is zero for never.
	platformAnsweredAt time.Time
	nextRepairAt       time.Time
	ready              bool
	start              startState
	read               readState
	counts             Counts
}

// valueRequest is a request for a value that no other peer is asked for before expiresAt.
type valueRequest struct {
	revision  uint64
	expiresAt time.Time
}

// refusal is a revision that could not be applied.
type refusal struct {
	revision uint64
	reason   string
}

// Counts are totals since the start of the process.
type Counts struct {
	// Exchanges counts exchanges with random peers that were started here, ExchangesDiffering
	// all exchanges started here, those of the start included, that found a difference.
	Exchanges, ExchangesDiffering uint64
	// OffersSent counts the names offered to peers, OffersWanted those that the peers wanted.
	OffersSent, OffersWanted uint64
	// ValuesStored, ValuesOlder, ValuesRepeated and ValuesInvalid count received values by
	// outcome. Conflicts also counts the conflicts found by comparing hashes.
	ValuesStored, ValuesOlder, ValuesRepeated, Conflicts, ValuesInvalid uint64
}

// NewSyncer returns a syncer that has nothing in force and has not begun the start procedure.
func NewSyncer(now time.Time, cfg SyncerConfig) *Syncer {
	if cfg.IndexNames == nil {
		cfg.IndexNames = ParseIndex
	}
	if cfg.Emit == nil {
		cfg.Emit = func(Event) {}
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = DefaultFanout
	}
	return &Syncer{
		cfg: cfg, store: cfg.Store, members: cfg.Members,
		requested: map[string]valueRequest{}, pendingOffers: map[string]string{}, inForce: map[string]uint64{},
		refused: map[string]refusal{}, reportedConflicts: map[string]uint64{}, peerResidues: map[string][]PeerResidue{}, mergedHashes: map[string][]uint64{},
		start: startState{tried: map[string]bool{}, answered: map[string]bool{}},
		read:  newReadState(now, cfg.Random),
	}
}

// Receive stores values and returns the number of those that are new or bring a new residue. New
// values are offered to peers if they come from the platform or the start is over.
func (s *Syncer) Receive(now time.Time, source string, values []Value) int {
	stored := 0
	for _, v := range values {
		replaced, _ := s.store.Get(v.Name)
		outcome, held, err := s.store.Put(v.Name, v.Revision.Number, v.Data)
		if request, ok := s.requested[v.Name]; ok && request.revision <= v.Revision.Number {
			delete(s.requested, v.Name)
		}
		event := Event{At: now, Name: v.Name, From: held, To: v.Revision.Number, Source: source}
		switch outcome {
		case Stored:
			stored++
			s.counts.ValuesStored++
			s.handleStored(event)
			if held > 0 && !replaced.applied {
				// Peers may have the skipped value in force, so its content is merged like a residue.
				s.addResidue(Event{At: now, Name: v.Name, To: held, Source: SourcePlatform}, replaced.Data, true)
			}
		case Same:
			s.counts.ValuesRepeated++
		case Older:
			s.counts.ValuesOlder++
		case Conflict:
			content, _ := v.Content() // Put has decompressed it already
			s.reportConflict(event, contentHash(content))
		case Invalid:
			s.counts.ValuesInvalid++
			event.Kind, event.Reason = EventRefused, err.Error()
			s.cfg.Emit(event)
			continue
		}
		if s.addReceivedResidues(event, outcome, v) && outcome != Stored {
			stored++
		}
	}
	return stored
}

// handleStored processes a value that was just stored: it reports it, updates the index names and
// queues the offer to peers.
func (s *Syncer) handleStored(event Event) {
	event.Kind = EventAccepted
	delete(s.reportedConflicts, event.Name)
	s.cfg.Emit(event)
	if event.Name == IndexName {
		s.updateIndexNames(event)
	}
	if s.start.done || event.Source == SourcePlatform {
		s.pendingOffers[event.Name] = event.Source
	}
}

// updateIndexNames takes over the names of a new index. An index that cannot be read leaves the
// previous names.
func (s *Syncer) updateIndexNames(event Event) {
	v, _ := s.store.Get(IndexName)
	content, err := v.Content()
	if err == nil {
		var names []string
		if names, err = s.cfg.IndexNames(content); err == nil {
			s.indexNames = names
			return
		}
	}
	event.Kind, event.Reason = EventRefused, err.Error()
	s.cfg.Emit(event)
}

// reportConflict counts a conflict, and reports it unless it was the last one reported of the
// value. hash is that of the content that is not held.
func (s *Syncer) reportConflict(event Event, hash uint64) {
	s.counts.Conflicts++
	if s.reportedConflicts[event.Name] == hash {
		return
	}
	s.reportedConflicts[event.Name] = hash
	event.Kind, event.Reason = EventConflict, "different content exists at the revision held; the content held stays"
	s.cfg.Emit(event)
}

// WantedOffers returns the names of the offered values that are wanted. They count as requested
// from the sender.
func (s *Syncer) WantedOffers(now time.Time, source string, offers []Revision) []string {
	var wanted []string
	for _, offer := range offers {
		if s.isWanted(now, source, offer) && !s.isRequested(now, offer) {
			wanted = append(wanted, offer.Name)
			s.requested[offer.Name] = valueRequest{offer.Number, now.Add(requestTTL)}
		}
	}
	return wanted
}

// CompareRevisions returns what to pull from a peer that listed its revisions, and what to offer to
// it. A starting daemon also pulls what it requested from another peer, because it must not serve
// without it.
func (s *Syncer) CompareRevisions(now time.Time, source string, listing []Revision) (pull []string, offers []Revision) {
	peerRevisions, peerResidueHashes := make(map[string]uint64, len(listing)), map[string]uint64{}
	for _, r := range listing {
		peerRevisions[r.Name] = r.Number
		if r.Residue != 0 {
			peerResidueHashes[r.Name] = r.Residue
		}
		if (s.isWanted(now, source, r) || s.isNeededAtStart(r)) && (!s.start.done || !s.isRequested(now, r)) {
			pull = append(pull, r.Name)
			s.requested[r.Name] = valueRequest{r.Number, now.Add(requestTTL)}
		}
	}
	for _, r := range s.store.Revisions() {
		if r.Number > peerRevisions[r.Name] || r.Residue != 0 && r.Number == peerRevisions[r.Name] && r.Residue != peerResidueHashes[r.Name] {
			offers = append(offers, r)
		}
	}
	return pull, offers
}

// isWanted reports whether a peer has a newer revision than is held, or a residue of the revision
// held that is not merged here. It also reports a conflict between the hashes.
func (s *Syncer) isWanted(now time.Time, source string, r Revision) bool {
	held, ok := s.store.Get(r.Name)
	if ok && held.Revision.Number == r.Number && held.Hash != r.Hash {
		s.reportConflict(Event{At: now, Name: r.Name, From: r.Number, To: r.Number, Source: source}, r.Hash)
	}
	return validName(r.Name) && (r.Number > held.Revision.Number || s.hasUnmergedResidue(held, r))
}

// isRequested reports whether the revision, or a higher one, was requested within requestTTL and
// not received yet.
func (s *Syncer) isRequested(now time.Time, r Revision) bool {
	request, ok := s.requested[r.Name]
	return ok && request.revision >= r.Number && now.Before(request.expiresAt)
}

// NextPushRound returns the peers to offer to and the offers for each, in the same order. It clears
// the pending offers; a later exchange repairs what is lost.
func (s *Syncer) NextPushRound(now time.Time) (targets []membership.VM, offers [][]Revision) {
	if len(s.pendingOffers) == 0 {
		return nil, nil
	}
	names := slices.Sorted(maps.Keys(s.pendingOffers))
	for _, peer := range s.members.PushTargets(now, s.cfg.Random, s.cfg.Fanout, s.members.IsReader(now)) {
		var list []Revision
		for _, name := range names {
			if v, ok := s.store.Get(name); ok && s.pendingOffers[name] != peer.ID {
				list = append(list, v.Revision)
			}
		}
		if len(list) > 0 {
			targets, offers = append(targets, peer), append(offers, list)
			s.counts.OffersSent += uint64(len(list))
		}
	}
	clear(s.pendingOffers)
	return targets, offers
}

// NextRepairPeer returns the peer to exchange with when an exchange is due. Otherwise due is false
// and the caller must try again after wait.
func (s *Syncer) NextRepairPeer(now time.Time) (peer membership.VM, due bool, wait time.Duration) {
	if now.Before(s.nextRepairAt) {
		return membership.VM{}, false, s.nextRepairAt.Sub(now)
	}
	interval := RepairInterval
	if !s.ready {
		interval = startRepairInterval
	}
	interval += time.Duration((s.cfg.Random.Float64() - 0.5) * 0.4 * float64(interval))
	s.nextRepairAt = now.Add(interval)
	peer, due = s.members.RandomPeer(now, s.cfg.Random)
	if due {
		s.counts.Exchanges++
	}
	return peer, due, interval
}

// PlatformAge returns the time since the platform last answered this daemon or one that it heard
// from. It returns false when there was no such answer.
func (s *Syncer) PlatformAge(now time.Time) (time.Duration, bool) {
	return max(now.Sub(s.platformAnsweredAt), 0), !s.platformAnsweredAt.IsZero()
}

// RecordPlatformAge takes over the time since the last answer of the platform, as a peer reported
// it, if it is more recent than the one known.
func (s *Syncer) RecordPlatformAge(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(s.platformAnsweredAt) {
		s.platformAnsweredAt = at
	}
}
