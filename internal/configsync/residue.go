package configsync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliprun/cowsliprun/internal/compress"
)

const (
	// maxResidues bounds the residues of one value that are accepted from a message.
	maxResidues = 2
	// maxPeerResidues bounds the residues of one value that wait to be merged. Those dropped
	// arrive again with a later exchange.
	maxPeerResidues = 16
	// maxMergedHashes bounds the hashes of merged residues kept per value. A residue whose hash
	// was dropped is pulled and merged once more.
	maxMergedHashes = 64
)

// PeerResidue is what another daemon has in force of a value, decompressed, to be merged here: its
// residue, or the content of its value when IsRawValue is set. A residue of this daemon itself can
// be merged in the same way.
type PeerResidue struct {
	// Source is the ID of the VM that supplied it.
	Source  string
	Content []byte
	// IsRawValue is true when Content is the content of a value, not a residue. The content may
	// hold documents that its daemon refused, so it ranks below a residue at the same generation.
	IsRawValue bool
	hash       uint64
}

// Update is a value to put in force, with the residues of peers to merge into it.
type Update struct {
	Name         string
	Revision     uint64
	Content      []byte
	PeerResidues []PeerResidue
}

// carryFrom lets peers receive the applied value along with v, which is newer and not applied yet.
// The residue hash then differs from that of a daemon that never applied the older value, so an
// exchange finds the difference in the meantime.
func (v *Value) carryFrom(applied Value) {
	if holdsDocuments(v.Name) {
		v.Residue, v.Residues, v.Carried = applied.Residue^applied.Hash, applied.Residues, applied.Data
	}
}

// holdsDocuments reports whether a value consists of documents. Only such a value can have a
// residue.
func holdsDocuments(name string) bool { return name != IndexName && name != VMListName }

// size returns the number of bytes that the value takes in a message, without its name and
// revision.
func (v Value) size() int {
	size := len(v.Data) + len(v.Carried)
	for _, r := range v.Residues {
		size += len(r)
	}
	return size
}

// SetApplied records the residue of an applied value and reports whether the residue of the value
// held changed. If a newer value is held by now, peers receive the applied one along with it.
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
	if held.Revision.Number == applied.Revision.Number {
		held.applied, held.Residue, held.Residues, held.Carried = true, applied.Residue, applied.Residues, nil
	} else {
		held.carryFrom(applied)
	}
	s.digest ^= entryDigest(before) ^ entryDigest(held.Revision)
	s.values[applied.Name] = held
	return before.Residue != held.Residue
}

// addReceivedResidues queues the residues of a received value for merging. During the start it also
// queues the content of a value that is older than the one held or conflicts with it, since the
// peer may have it in force. It reports whether any of them is new.
func (s *Syncer) addReceivedResidues(event Event, outcome Outcome, v Value) (added bool) {
	for _, data := range v.Residues {
		added = s.addResidue(event, data, false) || added
	}
	if len(v.Carried) > 0 {
		added = s.addResidue(event, v.Carried, true) || added
	}
	if !s.start.done && (outcome == Older || outcome == Conflict) && event.Source != SourcePlatform {
		added = s.addResidue(event, v.Data, true) || added
	}
	return added
}

// AddOwnResidue queues a residue of this daemon itself, which is merged like one of a peer.
func (s *Syncer) AddOwnResidue(now time.Time, name string, residue []byte) {
	s.addResidue(Event{At: now, Name: name, Source: s.cfg.Members.Self().ID}, compress.Pack(residue), false)
}

// addResidue queues a residue, compressed with gzip, until it is merged. It returns false when the
// value can have none, the residue is queued or merged already, it cannot be decompressed, or
// maxPeerResidues are queued.
func (s *Syncer) addResidue(event Event, data []byte, isRawValue bool) bool {
	name := event.Name
	if !holdsDocuments(name) {
		return false
	}
	content, err := decompress(data)
	if err != nil {
		event.Kind, event.Reason = EventRefused, "residue: "+err.Error()
		s.cfg.Emit(event)
		return false
	}
	m := PeerResidue{event.Source, content, isRawValue, contentHash(content)}
	waiting := s.peerResidues[name]
	if s.isMerged(name, m.hash) || len(waiting) >= maxPeerResidues || slices.ContainsFunc(waiting, func(o PeerResidue) bool { return o.hash == m.hash }) {
		return false
	}
	s.peerResidues[name] = append(waiting, m)
	return true
}

// hasUnmergedResidue reports whether a peer lists a residue of the value held that is not merged
// here.
func (s *Syncer) hasUnmergedResidue(held Value, r Revision) bool {
	return r.Residue != 0 && r.Number == held.Revision.Number && r.Residue != held.Residue && !s.isMerged(r.Name, r.Residue)
}

// isNeededAtStart reports whether a starting daemon must learn what a peer has in force under an
// older revision, or under the same revision with different content. Otherwise it could serve
// something older than the peer does.
func (s *Syncer) isNeededAtStart(r Revision) bool {
	held, ok := s.store.Get(r.Name)
	return ok && !s.start.done && holdsDocuments(r.Name) && !s.isMerged(r.Name, r.Hash) &&
		(r.Number < held.Revision.Number || r.Number == held.Revision.Number && r.Hash != held.Hash)
}

// isMerged reports whether a residue with this hash, or other content of the value, was merged.
func (s *Syncer) isMerged(name string, hash uint64) bool {
	return slices.Contains(s.mergedHashes[name], hash)
}

// PeerResidues returns the residues of a value that wait to be merged. They stay queued until
// FinishApply.
func (s *Syncer) PeerResidues(name string) []PeerResidue { return slices.Clone(s.peerResidues[name]) }

// FinishApply records the result of applying v together with peerResidues. residue is the residue
// after the merge, err the reason of a refusal. It reports whether the residue must be pushed to
// peers.
func (s *Syncer) FinishApply(now time.Time, v Value, peerResidues []PeerResidue, residue []byte, err error) (push bool) {
	for _, m := range peerResidues {
		s.peerResidues[v.Name] = slices.DeleteFunc(s.peerResidues[v.Name], func(o PeerResidue) bool { return o.hash == m.hash })
		list := append(s.mergedHashes[v.Name], m.hash)
		s.mergedHashes[v.Name] = list[max(0, len(list)-maxMergedHashes):]
	}
	if len(s.peerResidues[v.Name]) == 0 {
		delete(s.peerResidues, v.Name)
	}
	changed := s.store.SetApplied(v, residue)
	// A value that is in force or refused was applied again only to merge residues. Its result
	// is recorded already.
	if s.inForce[v.Name] < v.Revision.Number && s.refused[v.Name].revision != v.Revision.Number {
		s.RecordApplied(now, v.Name, v.Revision.Number, err)
	}
	// Without residues of peers, all daemons derive the same residue from the value.
	if !changed || len(peerResidues) == 0 || !s.start.done {
		return false
	}
	if _, queued := s.pendingOffers[v.Name]; !queued {
		s.pendingOffers[v.Name] = ""
	}
	return true
}
