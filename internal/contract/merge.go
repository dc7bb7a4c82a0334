package contract

import (
	"bytes"
	"reflect"
	"slices"

	"github.com/go-json-experiment/json"
)

// MaxTombstones limits the tombstones that are kept per value, so that a value with ever new names
// cannot exhaust the memory. At 910 changes a day over 578 values it covers 40 days, even if every
// change is a deletion.
const MaxTombstones = 64

// InForce is the configuration that a daemon applies for one value. It can differ from the value's
// content: see Merge for the rules.
type InForce struct {
	// Revision is the store's revision of the newest value merged. Zero means none; the store's
	// revisions start at 1.
	Revision uint64
	// Documents are the documents in force.
	Documents Documents
	// Tombstones holds one entry for each deleted document, latest deletion last. A document that
	// is created again must have a higher generation than its tombstone. A daemon that missed the
	// deletion requires a higher generation too, so both refuse the same documents.
	Tombstones []Tombstone
}

// Tombstone records that a document was deleted.
type Tombstone struct {
	Ref Ref `json:"ref"`
	// Generation is the last generation of the document that was in force.
	Generation uint64 `json:"generation"`
	// Revision is the revision of the value that no longer held the document. Tombstones with the
	// lowest revisions are dropped first when there are more than MaxTombstones.
	Revision uint64 `json:"revision"`
}

// Reason says why the documents in force differ from the value.
type Reason string

// The reasons of a Finding.
const (
	// ReasonStaleRevision means that the value has a lower revision than the one in force. The
	// whole value is ignored.
	ReasonStaleRevision Reason = "stale-revision"
	// ReasonLowerGeneration means that the document has a lower generation than the one in force,
	// although the value has a higher revision.
	ReasonLowerGeneration Reason = "lower-generation"
	// ReasonSameGeneration means that the document has the generation of the one in force but other
	// content.
	ReasonSameGeneration Reason = "same-generation"
	// ReasonRecreated means that a deleted document was created again without a higher generation.
	ReasonRecreated Reason = "recreated-without-higher-generation"
	// ReasonBad means that the document is invalid, occurs twice or belongs to another value.
	ReasonBad Reason = "bad-document"
	// ReasonUnreadable means that the value as a whole cannot be read. The documents in force and
	// their revision stay as they are.
	ReasonUnreadable Reason = "unreadable-value"
	// ReasonPeerResidue means that the residue of a peer held a newer version of the document, or
	// its deletion, which this daemon had missed.
	ReasonPeerResidue Reason = "from-peer-memory"
	// ReasonDeletionDeferred means that the document is missing from the value but stays in force.
	// The value holds a document whose name cannot be read, which may be this one.
	ReasonDeletionDeferred Reason = "deletion-deferred"
)

// Finding is one difference between a value and the documents in force, for status output and the
// audit trail.
type Finding struct {
	// Value is the name of the value.
	Value string `json:"value"`
	// Revision is the revision of the value that caused the finding.
	Revision uint64 `json:"revision"`
	Reason   Reason `json:"reason"`
	// Ref identifies the document. It is empty if the finding concerns the whole value.
	Ref Ref `json:"ref"`
	// Generation is the generation of the document that was not applied, or zero if it is unknown.
	Generation uint64 `json:"generation,omitzero"`
	// InForce is the generation in force or, for ReasonRecreated, that of the deleted document.
	// Zero means none.
	InForce uint64 `json:"inForce,omitzero"`
	// Detail describes the faults of a bad document or of an unreadable value, or the peer's state
	// that caused the finding.
	Detail string `json:"detail,omitempty"`
}

// IsConflict reports whether two versions of a document contradict each other: the value's document
// was refused for its generation.
func (f Finding) IsConflict() bool {
	return f.Reason == ReasonLowerGeneration || f.Reason == ReasonSameGeneration || f.Reason == ReasonRecreated
}

// Apply decodes a value and merges it, see Merge. It also returns the decoded value, as an argument
// for InForce.Residue. If the value cannot be read, the decoded value is empty, inForce is returned
// unchanged, and a finding with ReasonUnreadable reports the error. checkDetector may be nil.
func Apply(valueName string, inForce InForce, revision uint64, data []byte, checkDetector DetectorCheck) (InForce, Value, []Finding) {
	value, err := DecodeValue(valueName, data, checkDetector)
	if err != nil {
		return inForce, Value{}, []Finding{{Value: valueName, Revision: revision, Reason: ReasonUnreadable, Detail: err.Error()}}
	}
	next, findings := Merge(valueName, inForce, revision, value)
	return next, value, findings
}

// Merge returns the state in force after a value arrives at a revision, and the findings: the
// documents of the value that were not applied, and deletions that were deferred. Its rules are:
//
//   - A value at a lower revision, or at the one already merged, changes nothing.
//   - A document with a higher generation replaces the one in force.
//   - A document with a lower generation, or with the same generation and other content, is a
//     conflict. The document in force stays.
//   - A document that is missing from the value is deleted. It can be created again only with a
//     higher generation.
//   - A bad document leaves the one in force as it is. If the name of a bad document cannot be
//     read, no document is deleted.
//
// The argument inForce is not modified.
func Merge(valueName string, inForce InForce, revision uint64, value Value) (InForce, []Finding) {
	if revision <= inForce.Revision {
		if revision == inForce.Revision {
			return inForce, nil
		}
		return inForce, []Finding{{Value: valueName, Revision: revision, Reason: ReasonStaleRevision}}
	}
	m := merger{valueName: valueName, revision: revision, previous: map[Ref]Document{}, deletedGenerations: map[Ref]uint64{}, inValue: map[Ref]Reason{}}
	for _, doc := range inForce.Documents.All() {
		m.previous[doc.Ref()] = doc
	}
	for _, d := range inForce.Tombstones {
		m.deletedGenerations[d.Ref] = d.Generation
	}
	hasUnnamed := m.recordBad(value.Bad)
	for _, doc := range value.Documents.All() {
		m.add(doc)
	}
	tombstones := m.deleteMissing(inForce, hasUnnamed)
	return InForce{Revision: revision, Documents: m.merged, Tombstones: tombstones}, m.findings
}

// merger builds the documents in force from the previous ones and a value.
type merger struct {
	valueName          string
	revision           uint64
	previous           map[Ref]Document
	deletedGenerations map[Ref]uint64 // generations of the tombstones
	// inValue holds the documents that the value lists. The reason is empty for a valid document,
	// and ReasonBad for a bad one whose previous version is in force.
	inValue  map[Ref]Reason
	merged   Documents
	findings []Finding
}

func (m *merger) addFinding(reason Reason, ref Ref, generation, inForceGeneration uint64, detail string) {
	m.findings = append(m.findings, Finding{m.valueName, m.revision, reason, ref, generation, inForceGeneration, detail})
}

// recordBad adds a finding for each bad document, and marks those in force under the same name to
// be kept. It reports whether the name of a bad document cannot be read, so that it may be any
// document.
func (m *merger) recordBad(bad []BadDocument) (hasUnnamed bool) {
	for _, b := range bad {
		var inForceGeneration uint64
		if old := m.previous[b.Ref]; old != nil {
			inForceGeneration = old.Version()
			m.inValue[b.Ref] = ReasonBad
		}
		if b.Ref.Name == "" && (b.Ref.Kind == "" || b.Ref.Kind == kindOfValue(m.valueName)) {
			hasUnnamed = true
		}
		m.addFinding(ReasonBad, b.Ref, 0, inForceGeneration, b.Problem)
	}
	return hasUnnamed
}

// add merges one valid document of the value.
func (m *merger) add(doc Document) {
	ref := doc.Ref()
	m.inValue[ref] = ""
	if old := m.previous[ref]; old != nil {
		switch {
		case doc.Version() > old.Version():
			m.merged.Add(doc)
		case doc.Version() < old.Version():
			m.addFinding(ReasonLowerGeneration, ref, doc.Version(), old.Version(), "")
			m.merged.Add(old)
		default:
			if !sameContent(doc, old) {
				m.addFinding(ReasonSameGeneration, ref, doc.Version(), old.Version(), "")
			}
			m.merged.Add(old)
		}
		return
	}
	if generation, wasDeleted := m.deletedGenerations[ref]; wasDeleted && doc.Version() <= generation {
		m.addFinding(ReasonRecreated, ref, doc.Version(), generation, "")
		return
	}
	m.merged.Add(doc)
}

// deleteMissing deletes the documents in force that the value lacks, unless hasUnnamed is true. It
// returns the tombstones, without those of documents that are in force again.
func (m *merger) deleteMissing(inForce InForce, hasUnnamed bool) []Tombstone {
	var newTombstones []Tombstone
	for _, doc := range inForce.Documents.All() {
		ref := doc.Ref()
		reason, listed := m.inValue[ref]
		switch {
		case listed && reason == ReasonBad:
			m.merged.Add(doc)
		case listed:
		case hasUnnamed:
			m.addFinding(ReasonDeletionDeferred, ref, 0, doc.Version(), "")
			m.merged.Add(doc)
		default:
			newTombstones = append(newTombstones, Tombstone{ref, doc.Version(), m.revision})
		}
	}
	present := map[Ref]bool{}
	for _, doc := range m.merged.All() {
		present[doc.Ref()] = true
	}
	tombstones := slices.DeleteFunc(slices.Clone(inForce.Tombstones), func(d Tombstone) bool { return present[d.Ref] })
	return limitTombstones(append(tombstones, newTombstones...))
}

// sameContent compares documents by their encoding, in which a nil list and an empty list are the
// same.
func sameContent(a, b Document) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	textA, errA := json.Marshal(a, json.Deterministic(true))
	textB, errB := json.Marshal(b, json.Deterministic(true))
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// Residue is the difference between a value and the state in force after the value was merged. It
// is empty unless there were findings or deletions. A daemon therefore keeps only the compressed
// value and its residue, and restores from them the state into which it merges the next value.
// Daemons also exchange residues, so that a daemon that missed an earlier revision reaches the same
// state.
type Residue struct {
	// Kept are the documents in force that the value lacks or holds with other content.
	Kept Documents
	// NotApplied are the documents of the value that are not in force with the same content.
	NotApplied []Ref
	// Tombstones are those of InForce.
	Tombstones []Tombstone
	// Claims are the claims of documents in force on contested identifiers. InForce does not hold
	// them, so the caller adds them.
	Claims []Claim
	// IsRawValue is true if Kept is the content of a value that may not have been merged, so that a
	// peer may have refused documents of it. They rank below documents of the same generation that
	// a daemon accepted.
	IsRawValue bool
}

// Residue returns what Restore needs in addition to the value to return f again. The result has no
// claims.
func (f InForce) Residue(value Value) Residue {
	out := Residue{Tombstones: f.Tombstones}
	inForce := map[Ref]Document{}
	for _, doc := range f.Documents.All() {
		inForce[doc.Ref()] = doc
	}
	for _, doc := range value.Documents.All() {
		ref := doc.Ref()
		if old := inForce[ref]; old != nil && sameContent(old, doc) {
			delete(inForce, ref)
		} else {
			out.NotApplied = append(out.NotApplied, ref)
		}
	}
	remaining := make([]Document, 0, len(inForce))
	for _, doc := range inForce {
		remaining = append(remaining, doc)
	}
	slices.SortFunc(remaining, func(a, b Document) int { return compareRefs(a.Ref(), b.Ref()) })
	for _, doc := range remaining {
		out.Kept.Add(doc)
	}
	return out
}

// Restore returns the state in force, given the revision and content of the value merged last and
// the residue that InForce.Residue returned for it.
func Restore(revision uint64, value Value, residue Residue) InForce {
	out := InForce{Revision: revision, Tombstones: residue.Tombstones}
	for _, doc := range value.Documents.All() {
		if !slices.Contains(residue.NotApplied, doc.Ref()) {
			out.Documents.Add(doc)
		}
	}
	for _, doc := range residue.Kept.All() {
		out.Documents.Add(doc)
	}
	return out
}
