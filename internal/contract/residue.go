package contract

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// MaxResidueBytes bounds an encoded residue. A residue replaces at most the documents of one value.
const MaxResidueBytes = MaxValueBytes

type residueJSON struct {
	Documents []jsontext.Value `json:"documents,omitempty"`
	Deleted   []Deleted        `json:"deleted,omitempty"`
	Claims    []Claim          `json:"claims,omitempty"`
}

// Omitted tells what a residue has no room for. It stays in force where it is, and does not travel.
type Omitted struct {
	Documents []Ref
	Claims    []Claim
}

// Len returns the number of items left out.
func (o Omitted) Len() int { return len(o.Documents) + len(o.Claims) }

// EncodeResidue returns the documents kept, the deletions and the claims in canonical form, or nil when there are none. Claims
// beyond MaxClaims and documents that do not fit into MaxResidueBytes are left out in the order of their names, so that equal
// residues have equal encodings.
func EncodeResidue(r Residue) ([]byte, Omitted, error) {
	var omitted Omitted
	kept := r.Kept.All()
	if len(kept) == 0 && len(r.Deleted) == 0 && len(r.Claims) == 0 {
		return nil, omitted, nil
	}
	claims := JoinClaims(r.Claims)
	bound := min(len(claims), MaxClaims)
	omitted.Claims = claims[bound:]
	raw := residueJSON{Deleted: boundDeleted(slices.Clone(r.Deleted)), Claims: claims[:bound]}
	data, err := json.Marshal(raw, json.Deterministic(true))
	if err != nil {
		return nil, omitted, eris.Wrap(err, "residue")
	}
	size := len(data) + len(`"documents":[],`)
	for i, doc := range kept {
		text, err := json.Marshal(doc, json.Deterministic(true))
		if err != nil {
			return nil, omitted, eris.Wrapf(err, "residue: %s", doc.Ref())
		}
		if size += len(text) + 1; size > MaxResidueBytes {
			for _, doc := range kept[i:] {
				omitted.Documents = append(omitted.Documents, doc.Ref())
			}
			break
		}
		raw.Documents = append(raw.Documents, text)
	}
	data, err = json.Marshal(raw, json.Deterministic(true))
	return data, omitted, eris.Wrap(err, "residue")
}

// DecodeResidue reads a residue of a peer. Its documents are checked like those of a value; the bad ones and the deletions
// that do not belong to the value are returned apart and do not block the others. A value is a valid residue, too.
func DecodeResidue(name string, data []byte, detector DetectorCheck) (Residue, []BadDocument, error) {
	if len(data) > MaxResidueBytes {
		return Residue{}, nil, tooLarge(name, len(data))
	}
	if kindOf(name) == "" {
		return Residue{}, nil, eris.Errorf("residue of %s: unknown name", name)
	}
	var raw residueJSON
	// Repeated fields are refused for each document on its own.
	if err := json.Unmarshal(data, &raw, json.RejectUnknownMembers(true), jsontext.AllowDuplicateNames(true)); err != nil {
		return Residue{}, nil, eris.Wrapf(err, "residue of %s", name)
	}
	value := decodeDocuments(name, raw.Documents, detector)
	out := Residue{Kept: value.Documents}
	for _, d := range raw.Deleted {
		if d.Generation == 0 || newDocument(d.Ref.Kind) == nil || d.Ref.Name == "" || ValueOf(d.Ref) != name {
			value.Bad = append(value.Bad, BadDocument{Ref: d.Ref, Position: -1, Problem: "deletion without generation or of another value"})
			continue
		}
		out.Deleted = append(out.Deleted, d)
	}
	out.Deleted = boundDeleted(out.Deleted)
	for _, claim := range raw.Claims {
		if claim.Since == 0 || claim.ID == "" || claim.Ref.Name == "" || newDocument(claim.Ref.Kind) == nil || ValueOf(claim.Ref) != name {
			value.Bad = append(value.Bad, BadDocument{Ref: claim.Ref, Position: -1, Problem: "claim without identifier or revision, or of another value"})
			continue
		}
		out.Claims = append(out.Claims, claim)
	}
	out.Claims = JoinClaims(out.Claims)
	return out, value.Bad, nil
}

// JoinResidues returns what two daemons remember together. Per document the highest generation wins. At an equal generation
// a deletion wins over a document, and among different documents the one with the higher XXH64 of its encoding. The
// result does not depend on the order or the number of joins. The earliest claim of a document on an identifier is kept. Withheld is left out: Recall derives it from the value.
func JoinResidues(a, b Residue) Residue {
	m := memory{entries: map[Ref]remembered{}}
	m.add(a)
	m.add(b)
	out := m.residue()
	out.Claims = JoinClaims(a.Claims, b.Claims)
	return out
}

// remembered is the memory of one document: its content, or its deletion when doc is nil.
type remembered struct {
	generation uint64
	doc        Document
	// inValue is true when the document is the one of the value that is merged. It loses against another document of the
	// same generation, which was accepted before it.
	inValue bool
	// raw is true when the document comes from the content of a value, which a peer may have refused.
	raw      bool
	hash     uint64
	revision uint64
}

func (r remembered) compare(other remembered) int {
	rank := func(r remembered) int {
		switch {
		case r.doc == nil:
			return 3
		case r.inValue:
			return 0
		case r.raw:
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(r.generation, other.generation), cmp.Compare(rank(r), rank(other)),
		cmp.Compare(r.hash, other.hash), cmp.Compare(r.revision, other.revision))
}

// memory joins residues. A memory with the documents of a value ranks them below others of the same generation.
type memory struct {
	value   map[Ref]Document
	entries map[Ref]remembered
}

func (m *memory) add(r Residue) {
	for _, doc := range r.Kept.All() {
		e := remembered{generation: doc.Version(), doc: doc, raw: r.Raw}
		if inValue := m.value[doc.Ref()]; inValue != nil && sameContent(inValue, doc) {
			e.inValue = true
		} else if text, err := json.Marshal(doc, json.Deterministic(true)); err == nil {
			e.hash = xxhash.Sum64(text)
		}
		m.put(doc.Ref(), e)
	}
	for _, d := range r.Deleted {
		m.put(d.Ref, remembered{generation: d.Generation, revision: d.Revision})
	}
}

func (m *memory) put(ref Ref, e remembered) {
	if old, known := m.entries[ref]; !known || e.compare(old) > 0 {
		m.entries[ref] = e
	}
}

func (m *memory) residue() Residue {
	var out Residue
	for _, ref := range slices.SortedFunc(maps.Keys(m.entries), compareRefs) {
		if e := m.entries[ref]; e.doc != nil {
			out.Kept.Add(e.doc)
		} else {
			out.Deleted = append(out.Deleted, Deleted{ref, e.generation, e.revision})
		}
	}
	out.Deleted = boundDeleted(out.Deleted)
	return out
}

// boundDeleted orders deletions by revision and name and keeps the latest MaxDeleted. The order is the same at all
// daemons, so that full memories become equal, too.
func boundDeleted(list []Deleted) []Deleted {
	slices.SortFunc(list, func(a, b Deleted) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), compareRefs(a.Ref, b.Ref), cmp.Compare(a.Generation, b.Generation))
	})
	return list[max(0, len(list)-MaxDeleted):]
}

// Recall merges a value over what is in force and what peers remember. The residues must come from daemons that merged
// this or an earlier revision of the value: a document that they keep and that the value lacks is deleted.
func Recall(name string, inForce InForce, revision uint64, value Value, residues ...Residue) (InForce, []Finding) {
	if len(residues) == 0 || revision < inForce.Revision {
		return Merge(name, inForce, revision, value)
	}
	m := memory{value: byRef(value.Documents), entries: map[Ref]remembered{}}
	m.add(Residue{Kept: inForce.Documents, Deleted: inForce.Deleted})
	conflicts := m.conflicts(name, revision, residues)
	for _, r := range residues {
		m.add(r)
	}
	joined := m.residue()
	after, findings := Merge(name, InForce{revision - 1, joined.Kept, joined.Deleted}, revision, value)
	return after, append(findings, conflicts...)
}

// RecallUnread joins residues with what is in force while the value cannot be read: nothing is deleted by its absence.
func RecallUnread(inForce InForce, residues ...Residue) InForce {
	m := memory{entries: map[Ref]remembered{}}
	m.add(Residue{Kept: inForce.Documents, Deleted: inForce.Deleted})
	for _, r := range residues {
		m.add(r)
	}
	joined := m.residue()
	return InForce{inForce.Revision, joined.Kept, joined.Deleted}
}

// conflicts reports documents of peers that differ from the ones held under the same generation.
func (m *memory) conflicts(name string, revision uint64, residues []Residue) []Finding {
	var out []Finding
	for _, r := range residues {
		if r.Raw {
			continue // a peer may have refused it, and then reports the conflict itself
		}
		for _, doc := range r.Kept.All() {
			held := m.entries[doc.Ref()]
			if held.doc != nil && held.generation == doc.Version() && !sameContent(held.doc, doc) {
				f := Finding{name, revision, ReasonSameGeneration, doc.Ref(), doc.Version(), held.generation, "a peer held other content"}
				if !slices.Contains(out, f) {
					out = append(out, f)
				}
			}
		}
	}
	return out
}

func byRef(docs Documents) map[Ref]Document {
	out := map[Ref]Document{}
	for _, doc := range docs.All() {
		out[doc.Ref()] = doc
	}
	return out
}

// SameContent reports whether two documents have the same encoding.
func SameContent(a, b Document) bool { return sameContent(a, b) }
