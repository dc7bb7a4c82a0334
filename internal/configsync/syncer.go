package configsync

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// DefaultFanout is the number of peers in the own data centre to which a change is offered. With 171 daemons a change was in
	// force everywhere after 0.70 s at most with 8 and after 4.44 s with 3, for 2 KB more per change and daemon.
	DefaultFanout = 8
	// RepairInterval is the time between two exchanges with a random peer. Each interval is drawn within a fifth of it, so
	// that daemons that started together drift apart.
	RepairInterval = 4 * time.Second
	// startRepairInterval applies until the daemon is ready.
	startRepairInterval = time.Second
	// incomingLife is how long a value that a peer was asked for is not asked for again elsewhere. A transfer takes
	// about 100 ms between regions; a lost one is made up by repair.
	incomingLife = time.Second
)

// SyncerConfig of NewSyncer.
type SyncerConfig struct {
	Store   *Store
	Members *membership.Members
	// Random draws peers and intervals.
	Random *rand.Rand
	// IndexNames returns the names that an index lists. Default: ParseIndex.
	IndexNames func(content []byte) ([]string, error)
	// Emit receives events. It must not block.
	Emit func(Event)
	// Fanout is the number of peers offered a change. Default: DefaultFanout.
	Fanout int
}

// Syncer decides about propagation. It does no I/O and is not safe for concurrent use.
type Syncer struct {
	cfg     SyncerConfig
	store   *Store
	members *membership.Members

	// incoming holds the values asked for and not received yet.
	incoming map[string]incoming
	// pending holds the names to offer, with the source that must not be offered its own value.
	pending map[string]string
	inForce map[string]uint64
	refused map[string]refusal
	// conflicts holds the hash of the last conflict reported of each value, so that each is reported once.
	conflicts map[string]uint64
	// memories holds what peers remember and is not merged yet; merged holds the hashes of what is.
	memories   map[string][]Memory
	merged     map[string][]uint64
	indexNames []string

	heard      time.Time
	nextRepair time.Time
	ready      bool
	start      startState
	read       readState
	counts     Counts
}

type incoming struct {
	revision uint64
	until    time.Time
}

type refusal struct {
	revision uint64
	reason   string
}

// Counts are totals since the start of the process.
type Counts struct {
	// Exchanges started by this daemon, and those among them that found a difference.
	Exchanges, ExchangesDiffering uint64
	// OffersSent and OffersWanted count names offered to peers and those that they wanted.
	OffersSent, OffersWanted uint64
	// ValuesStored, ValuesOlder, ValuesRepeated, Conflicts and ValuesInvalid count received values by outcome.
	ValuesStored, ValuesOlder, ValuesRepeated, Conflicts, ValuesInvalid uint64
}

// NewSyncer returns a syncer that holds nothing in force.
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
		incoming: map[string]incoming{}, pending: map[string]string{}, inForce: map[string]uint64{},
		refused: map[string]refusal{}, conflicts: map[string]uint64{}, memories: map[string][]Memory{}, merged: map[string][]uint64{},
		start: startState{tried: map[string]bool{}, answered: map[string]bool{}},
		read:  newReadState(now, cfg.Random),
	}
}

// Receive stores values and returns the number of those that are new or come with a new memory. They are offered on once
// the start is over, and at once when they come from the platform.
func (s *Syncer) Receive(now time.Time, source string, values []Value) int {
	stored := 0
	for _, v := range values {
		replaced, _ := s.store.Get(v.Name)
		outcome, held, err := s.store.Put(v.Name, v.Revision.Revision, v.Data)
		if in, ok := s.incoming[v.Name]; ok && in.revision <= v.Revision.Revision {
			delete(s.incoming, v.Name)
		}
		event := Event{At: now, Name: v.Name, From: held, To: v.Revision.Revision, Source: source}
		switch outcome {
		case Stored:
			stored++
			s.counts.ValuesStored++
			s.accept(event)
			if held > 0 && !replaced.applied {
				// What a peer has in force may be in the value that is skipped.
				s.remember(Event{At: now, Name: v.Name, To: held, Source: SourcePlatform}, replaced.Data, true)
			}
		case Same:
			s.counts.ValuesRepeated++
		case Older:
			s.counts.ValuesOlder++
		case Conflict:
			content, _ := v.Content() // Put has read it
			s.conflict(event, hashOf(content))
		case Invalid:
			s.counts.ValuesInvalid++
			event.Kind, event.Reason = EventRefused, err.Error()
			s.cfg.Emit(event)
			continue
		}
		if s.rememberAll(event, outcome, v) && outcome != Stored {
			stored++
		}
	}
	return stored
}

func (s *Syncer) accept(event Event) {
	event.Kind = EventAccepted
	delete(s.conflicts, event.Name)
	s.cfg.Emit(event)
	if event.Name == IndexName {
		s.readIndex(event)
	}
	if s.start.done || event.Source == SourcePlatform {
		s.pending[event.Name] = event.Source
	}
}

// readIndex takes over the names of a new index. An index that cannot be read leaves the names of the previous one.
func (s *Syncer) readIndex(event Event) {
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

func (s *Syncer) conflict(event Event, hash uint64) {
	s.counts.Conflicts++
	if s.conflicts[event.Name] == hash {
		return
	}
	s.conflicts[event.Name] = hash
	event.Kind, event.Reason = EventConflict, "other content at the same revision"
	s.cfg.Emit(event)
}

// Offered returns which of the offered values are wanted, and expects them from the sender.
func (s *Syncer) Offered(now time.Time, source string, offers []Revision) []string {
	var wanted []string
	for _, offer := range offers {
		if s.isNewer(now, source, offer) && !s.isIncoming(now, offer) {
			wanted = append(wanted, offer.Name)
			s.incoming[offer.Name] = incoming{offer.Revision, now.Add(incomingLife)}
		}
	}
	return wanted
}

// Compared returns what to pull from a peer that listed its revisions, and what to offer to it. A starting daemon pulls
// also what another peer was asked for, because it must not serve without it.
func (s *Syncer) Compared(now time.Time, source string, listing []Revision) (pull []string, offers []Revision) {
	theirs, remembered := make(map[string]uint64, len(listing)), map[string]uint64{}
	for _, r := range listing {
		theirs[r.Name] = r.Revision
		if r.Residue != 0 {
			remembered[r.Name] = r.Residue
		}
		if (s.isNewer(now, source, r) || s.differsAtStart(r)) && (!s.start.done || !s.isIncoming(now, r)) {
			pull = append(pull, r.Name)
			s.incoming[r.Name] = incoming{r.Revision, now.Add(incomingLife)}
		}
	}
	for _, r := range s.store.Revisions() {
		if r.Revision > theirs[r.Name] || r.Residue != 0 && r.Revision == theirs[r.Name] && r.Residue != remembered[r.Name] {
			offers = append(offers, r)
		}
	}
	return pull, offers
}

// isNewer reports whether a peer has a newer value, or remembers something about the one held that is not merged here.
func (s *Syncer) isNewer(now time.Time, source string, r Revision) bool {
	held, ok := s.store.Get(r.Name)
	if ok && held.Revision.Revision == r.Revision && held.Hash != r.Hash {
		s.conflict(Event{At: now, Name: r.Name, From: r.Revision, To: r.Revision, Source: source}, r.Hash)
	}
	return validName(r.Name) && (r.Revision > held.Revision.Revision || s.isRemembered(held, r))
}

func (s *Syncer) isIncoming(now time.Time, r Revision) bool {
	in, ok := s.incoming[r.Name]
	return ok && in.revision >= r.Revision && now.Before(in.until)
}

// PushRound returns the peers to offer to and the offers for each, and forgets them: what is lost is repaired.
func (s *Syncer) PushRound(now time.Time) (targets []membership.VM, offers [][]Revision) {
	if len(s.pending) == 0 {
		return nil, nil
	}
	names := slices.Sorted(maps.Keys(s.pending))
	for _, peer := range s.members.PushTargets(now, s.cfg.Random, s.cfg.Fanout, s.members.IsReader(now)) {
		var list []Revision
		for _, name := range names {
			if v, ok := s.store.Get(name); ok && s.pending[name] != peer.ID {
				list = append(list, v.Revision)
			}
		}
		if len(list) > 0 {
			targets, offers = append(targets, peer), append(offers, list)
			s.counts.OffersSent += uint64(len(list))
		}
	}
	clear(s.pending)
	return targets, offers
}

// NextRepair returns the peer to exchange with when an exchange is due, else the time until it is.
func (s *Syncer) NextRepair(now time.Time) (peer membership.VM, due bool, wait time.Duration) {
	if now.Before(s.nextRepair) {
		return membership.VM{}, false, s.nextRepair.Sub(now)
	}
	interval := RepairInterval
	if !s.ready {
		interval = startRepairInterval
	}
	interval += time.Duration((s.cfg.Random.Float64() - 0.5) * 0.4 * float64(interval))
	s.nextRepair = now.Add(interval)
	peer, due = s.members.RepairPeer(now, s.cfg.Random)
	if due {
		s.counts.Exchanges++
	}
	return peer, due, interval
}

// PlatformAge returns the time since the platform answered any daemon that this one has heard of, or false when never.
func (s *Syncer) PlatformAge(now time.Time) (time.Duration, bool) {
	return max(now.Sub(s.heard), 0), !s.heard.IsZero()
}

// HeardOfPlatform takes over the age that a peer reported.
func (s *Syncer) HeardOfPlatform(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(s.heard) {
		s.heard = at
	}
}
