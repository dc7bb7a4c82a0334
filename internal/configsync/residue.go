package configsync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliprun/cowsliprun/internal/compress"
)

const (
	// maxResidues of one value in a message.
	maxResidues = 2
	// maxMemories bounds the memories of one value that wait to be merged. Repair supplies those that are dropped.
	maxMemories = 16
	// maxMerged bounds the hashes of merged memories of one value. A forgotten one is pulled and merged once more.
	maxMerged = 64
)

// Memory is a residue of a peer, decompressed.
type Memory struct {
	// Source is the ID of the daemon that supplied it.
	Source  string
	Content []byte
	// Raw is true for the content of a value. It may hold documents that the peer refused, so it ranks below what a daemon
	// accepted under the same generation.
	Raw  bool
	hash uint64
}

// Update is a value to put in force with the memories of peers to merge.
type Update struct {
	Name     string
	Revision uint64
	Content  []byte
	Memories []Memory
}

// carry makes what is in force under an applied value the residue of a newer one that is not applied yet. The hash differs
// from that of a daemon that never had the applied value, so that an exchange in between finds the difference.
func (v *Value) carry(applied Value) {
	if holdsDocuments(v.Name) {
		v.Residue, v.Residues, v.Carried = applied.Residue^applied.Hash, applied.Residues, applied.Data
	}
}

// holdsDocuments reports whether there can be a residue of a value.
func holdsDocuments(name string) bool { return name != IndexName && name != ListName }

func (v Value) size() int {
	size := len(v.Data) + len(v.Carried)
	for _, r := range v.Residues {
		size += len(r)
	}
	return size
}

// SetApplied records the residue of an applied value and reports whether the residue of the value held changed by it. When a
// newer value is held already, peers get what was applied along with it.
func (s *Store) SetApplied(applied Value, residue []byte) bool {
	applied.Residue, applied.Residues, applied.Carried = 0, nil, nil
	if len(residue) > 0 {
		applied.Residue, applied.Residues = xxhash.Sum64(residue), [][]byte{compress.Pack(residue)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.values[applied.Name]
	if !ok {
		return false
	}
	before := held.Revision
	if held.Revision.Revision == applied.Revision.Revision {
		held.applied, held.Residue, held.Residues, held.Carried = true, applied.Residue, applied.Residues, nil
	} else {
		held.carry(applied)
	}
	s.digest ^= entryDigest(before) ^ entryDigest(held.Revision)
	s.values[applied.Name] = held
	return before.Residue != held.Residue
}

// rememberAll takes over the residues of a received value, and during the start also its content when a newer or another one
// is held: the peer may have it in force.
func (s *Syncer) rememberAll(event Event, outcome Outcome, v Value) (added bool) {
	for _, data := range v.Residues {
		added = s.remember(event, data, false) || added
	}
	if len(v.Carried) > 0 {
		added = s.remember(event, v.Carried, true) || added
	}
	if !s.start.done && (outcome == Older || outcome == Conflict) && event.Source != SourcePlatform {
		added = s.remember(event, v.Data, true) || added
	}
	return added
}

// RememberOwn keeps a residue of this daemon itself until it is merged like that of a peer.
func (s *Syncer) RememberOwn(now time.Time, name string, residue []byte) {
	s.remember(Event{At: now, Name: name, Source: s.cfg.Members.Self().ID}, compress.Pack(residue), false)
}

// remember keeps a memory until it is merged. It returns false when there is nothing new in it.
func (s *Syncer) remember(event Event, data []byte, raw bool) bool {
	name := event.Name
	if !holdsDocuments(name) {
		return false
	}
	content, err := unpack(data)
	if err != nil {
		event.Kind, event.Reason = EventRefused, "residue: "+err.Error()
		s.cfg.Emit(event)
		return false
	}
	m := Memory{event.Source, content, raw, hashOf(content)}
	held := s.memories[name]
	if s.isMerged(name, m.hash) || len(held) >= maxMemories || slices.ContainsFunc(held, func(o Memory) bool { return o.hash == m.hash }) {
		return false
	}
	s.memories[name] = append(held, m)
	return true
}

// isRemembered reports whether a peer has a residue of the value held that is not merged here.
func (s *Syncer) isRemembered(held Value, r Revision) bool {
	return r.Residue != 0 && r.Revision == held.Revision.Revision && r.Residue != held.Residue && !s.isMerged(r.Name, r.Residue)
}

// differsAtStart reports whether a starting daemon must learn what a peer has in force under an older revision, or under the
// same one with other content. Otherwise it could serve something older than the peer.
func (s *Syncer) differsAtStart(r Revision) bool {
	held, ok := s.store.Get(r.Name)
	return ok && !s.start.done && holdsDocuments(r.Name) && !s.isMerged(r.Name, r.Hash) &&
		(r.Revision < held.Revision.Revision || r.Revision == held.Revision.Revision && r.Hash != held.Hash)
}

func (s *Syncer) isMerged(name string, hash uint64) bool {
	return slices.Contains(s.merged[name], hash)
}

// Memories returns the memories of a value to merge. They wait until Settle.
func (s *Syncer) Memories(name string) []Memory { return slices.Clone(s.memories[name]) }

// Settle records the result of applying a value with memories, and reports whether there is a residue to offer to peers.
func (s *Syncer) Settle(now time.Time, v Value, memories []Memory, residue []byte, err error) (push bool) {
	for _, m := range memories {
		s.memories[v.Name] = slices.DeleteFunc(s.memories[v.Name], func(o Memory) bool { return o.hash == m.hash })
		list := append(s.merged[v.Name], m.hash)
		s.merged[v.Name] = list[max(0, len(list)-maxMerged):]
	}
	if len(s.memories[v.Name]) == 0 {
		delete(s.memories, v.Name)
	}
	changed := s.store.SetApplied(v, residue)
	// A value that was applied before is applied again only for its memories.
	if s.inForce[v.Name] < v.Revision.Revision && s.refused[v.Name].revision != v.Revision.Revision {
		s.Applied(now, v.Name, v.Revision.Revision, err)
	}
	// Without a memory all daemons derive the same residue from the value.
	if !changed || len(memories) == 0 || !s.start.done {
		return false
	}
	if _, waits := s.pending[v.Name]; !waits {
		s.pending[v.Name] = ""
	}
	return true
}
