package contract

import (
	"bytes"
	"reflect"
	"slices"

	"github.com/go-json-experiment/json"
)

// MaxDeleted bounds the deleted documents that are remembered per value, so that a value with ever new names does not use
// up the memory. At 910 changes a day over 578 values it covers 40 days even if every change is a deletion.
const MaxDeleted = 64

// InForce is what a daemon applies of one value.
type InForce struct {
	// Revision is the store's revision of the newest value merged. Zero means none; revisions of the store start at 1.
	Revision uint64
	// Documents are the ones in force.
	Documents Documents
	// Deleted remembers the generation of documents that were deleted, latest deletion last. A document that is created
	// again must have a higher generation, so that a daemon that saw the deletion and one that missed it refuse the same
	// documents.
	Deleted []Deleted
}

// Deleted is the memory of a deleted document.
type Deleted struct {
	Ref        Ref    `json:"ref"`
	Generation uint64 `json:"generation"`
	// Revision is the one of the value that lacked the document. The latest deletions are remembered longest.
	Revision uint64 `json:"revision"`
}

// Reason says why a document of a value was not taken as it is.
type Reason string

// The reasons.
const (
	// ReasonStaleRevision means that the value has a lower revision than the one in force. It concerns the whole value.
	ReasonStaleRevision Reason = "stale-revision"
	// ReasonLowerGeneration means that the document has a lower generation than the one in force, at a higher revision.
	ReasonLowerGeneration Reason = "lower-generation"
	// ReasonSameGeneration means that the document has the generation of the one in force but differs from it.
	ReasonSameGeneration Reason = "same-generation"
	// ReasonRecreated means that a deleted document came back without a higher generation.
	ReasonRecreated Reason = "recreated-without-higher-generation"
	// ReasonBad means that the document is faulty, repeated or in the wrong value.
	ReasonBad Reason = "bad-document"
	// ReasonUnreadable means that the value as a whole cannot be read. What is in force stays, at its revision.
	ReasonUnreadable Reason = "unreadable-value"
	// ReasonPeerMemory means that a peer remembered a newer version or a deletion of the document than this daemon had.
	ReasonPeerMemory Reason = "from-peer-memory"
	// ReasonDeletionDeferred means that a document left the value, but stays in force because the value holds a document
	// whose name cannot be read, which may be this one.
	ReasonDeletionDeferred Reason = "deletion-deferred"
)

// Finding is one deviation between a value and what is in force, for status and the audit trail.
type Finding struct {
	// Value is the name of the value.
	Value string `json:"value"`
	// Revision is the revision of the value that caused the finding.
	Revision uint64 `json:"revision"`
	Reason   Reason `json:"reason"`
	Ref      Ref    `json:"ref"`
	// Generation is the one of the document that was not taken, or zero when it is not known.
	Generation uint64 `json:"generation,omitzero"`
	// InForce is the generation in force or, for ReasonRecreated, the one deleted. Zero means none.
	InForce uint64 `json:"inForce,omitzero"`
	// Detail lists the faults of a bad document or of an unreadable value.
	Detail string `json:"detail,omitempty"`
}

// IsConflict reports whether two versions of a document contradict each other. The other findings are refusals.
func (f Finding) IsConflict() bool {
	return f.Reason == ReasonLowerGeneration || f.Reason == ReasonSameGeneration || f.Reason == ReasonRecreated
}

// Apply decodes a value and merges it. The decoded value is returned for Residue; it is empty when the value cannot be read.
func Apply(name string, inForce InForce, revision uint64, data []byte, detector DetectorCheck) (InForce, Value, []Finding) {
	value, err := DecodeValue(name, data, detector)
	if err != nil {
		return inForce, Value{}, []Finding{{Value: name, Revision: revision, Reason: ReasonUnreadable, Detail: err.Error()}}
	}
	next, findings := Merge(name, inForce, revision, value)
	return next, value, findings
}

// Merge returns what is in force after the value arrives at a revision, and what was not taken.
//
//   - A value at a lower revision, or at the one already merged, changes nothing.
//   - A document with a higher generation replaces the one in force.
//   - A lower generation, or the same generation with other content, is a conflict: the one in force stays.
//   - A document that is missing from the value is deleted. It can be created again only with a higher generation.
//   - A bad document leaves the one in force as it is. When its name cannot be read, nothing of the value is deleted.
//
// The argument inForce is not changed.
func Merge(name string, inForce InForce, revision uint64, value Value) (InForce, []Finding) {
	if revision <= inForce.Revision {
		if revision == inForce.Revision {
			return inForce, nil
		}
		return inForce, []Finding{{Value: name, Revision: revision, Reason: ReasonStaleRevision}}
	}
	m := merger{name: name, revision: revision, old: map[Ref]Document{}, deleted: map[Ref]uint64{}, keep: map[Ref]Reason{}}
	for _, doc := range inForce.Documents.All() {
		m.old[doc.Ref()] = doc
	}
	for _, d := range inForce.Deleted {
		m.deleted[d.Ref] = d.Generation
	}
	anyName := m.addBad(value.Bad)
	for _, doc := range value.Documents.All() {
		m.add(doc)
	}
	deleted := m.dropMissing(inForce, anyName)
	return InForce{Revision: revision, Documents: m.out, Deleted: deleted}, m.findings
}

type merger struct {
	name     string
	revision uint64
	old      map[Ref]Document
	deleted  map[Ref]uint64
	keep     map[Ref]Reason
	out      Documents
	findings []Finding
}

func (m *merger) find(reason Reason, ref Ref, generation, inForce uint64, detail string) {
	m.findings = append(m.findings, Finding{m.name, m.revision, reason, ref, generation, inForce, detail})
}

// addBad keeps what is in force under the names of bad documents, and reports whether a bad document may have any name.
func (m *merger) addBad(bad []BadDocument) (anyName bool) {
	for _, b := range bad {
		var inForce uint64
		if old := m.old[b.Ref]; old != nil {
			inForce = old.Version()
			m.keep[b.Ref] = ReasonBad
		}
		if b.Ref.Name == "" && (b.Ref.Kind == "" || b.Ref.Kind == kindOf(m.name)) {
			anyName = true
		}
		m.find(ReasonBad, b.Ref, 0, inForce, b.Problem)
	}
	return anyName
}

func (m *merger) add(doc Document) {
	ref := doc.Ref()
	m.keep[ref] = ""
	if old := m.old[ref]; old != nil {
		switch {
		case doc.Version() > old.Version():
			m.out.Add(doc)
		case doc.Version() < old.Version():
			m.find(ReasonLowerGeneration, ref, doc.Version(), old.Version(), "")
			m.out.Add(old)
		default:
			if !sameContent(doc, old) {
				m.find(ReasonSameGeneration, ref, doc.Version(), old.Version(), "")
			}
			m.out.Add(old)
		}
		return
	}
	if generation, wasDeleted := m.deleted[ref]; wasDeleted && doc.Version() <= generation {
		m.find(ReasonRecreated, ref, doc.Version(), generation, "")
		return
	}
	m.out.Add(doc)
}

// dropMissing deletes what is in force but not in the value, and returns the memory of deletions.
func (m *merger) dropMissing(inForce InForce, anyName bool) []Deleted {
	var gone []Deleted
	for _, doc := range inForce.Documents.All() {
		ref := doc.Ref()
		reason, kept := m.keep[ref]
		switch {
		case kept && reason == ReasonBad:
			m.out.Add(doc)
		case kept:
		case anyName:
			m.find(ReasonDeletionDeferred, ref, 0, doc.Version(), "")
			m.out.Add(doc)
		default:
			gone = append(gone, Deleted{ref, doc.Version(), m.revision})
		}
	}
	present := map[Ref]bool{}
	for _, doc := range m.out.All() {
		present[doc.Ref()] = true
	}
	deleted := slices.DeleteFunc(slices.Clone(inForce.Deleted), func(d Deleted) bool { return present[d.Ref] })
	return boundDeleted(append(deleted, gone...))
}

// sameContent compares documents by their encoding, in which an absent list and an empty list are the same.
func sameContent(a, b Document) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	textA, errA := json.Marshal(a, json.Deterministic(true))
	textB, errB := json.Marshal(b, json.Deterministic(true))
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// Residue is the difference between a value and what is in force after it was merged. It is empty unless there were
// findings or deletions, so a daemon that keeps the value compressed needs almost nothing more to merge the next one.
type Residue struct {
	// Kept are documents in force that are not in the value or differ from it.
	Kept Documents
	// Withheld are documents of the value that are not in force.
	Withheld []Ref
	Deleted  []Deleted
	// Claims are those of documents in force on contested identifiers. The caller keeps them: InForce does not hold them.
	Claims []Claim
	// Raw is true when Kept is the content of a value. Its documents rank below accepted ones of the same generation.
	Raw bool
}

// Residue returns what Restore needs besides the value to return f.
func (f InForce) Residue(value Value) Residue {
	out := Residue{Deleted: f.Deleted}
	inForce := map[Ref]Document{}
	for _, doc := range f.Documents.All() {
		inForce[doc.Ref()] = doc
	}
	for _, doc := range value.Documents.All() {
		ref := doc.Ref()
		if old := inForce[ref]; old != nil && sameContent(old, doc) {
			delete(inForce, ref)
		} else {
			out.Withheld = append(out.Withheld, ref)
		}
	}
	rest := make([]Document, 0, len(inForce))
	for _, doc := range inForce {
		rest = append(rest, doc)
	}
	slices.SortFunc(rest, func(a, b Document) int { return compareRefs(a.Ref(), b.Ref()) })
	for _, doc := range rest {
		out.Kept.Add(doc)
	}
	return out
}

// Restore returns what is in force from a decoded value, its revision and the residue.
func Restore(revision uint64, value Value, residue Residue) InForce {
	out := InForce{Revision: revision, Deleted: residue.Deleted}
	for _, doc := range value.Documents.All() {
		if !slices.Contains(residue.Withheld, doc.Ref()) {
			out.Documents.Add(doc)
		}
	}
	for _, doc := range residue.Kept.All() {
		out.Documents.Add(doc)
	}
	return out
}
