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

// MaxResidueBytes is the size limit of an encoded residue. It equals that of a value, because a
// residue replaces at most the documents of one value.
const MaxResidueBytes = MaxValueBytes

// residueJSON is the encoding of a Residue. NotApplied and IsRawValue are not encoded.
type residueJSON struct {
	Documents  []jsontext.Value `json:"documents,omitempty"`
	Tombstones []Tombstone      `json:"deleted,omitempty"`
	Claims     []Claim          `json:"claims,omitempty"`
}

// Omitted lists what an encoded residue has no room for. It stays in force on the daemon that has
// it, but is not sent to peers.
type Omitted struct {
	Documents []Ref
	Claims    []Claim
}

// Len returns the number of documents and claims left out.
func (o Omitted) Len() int { return len(o.Documents) + len(o.Claims) }

// EncodeResidue encodes the documents kept, the tombstones and the claims of r in canonical form:
// equal residues have equal encodings. It returns nil if there are none. Claims beyond MaxClaims,
// and all documents from the first one that exceeds MaxResidueBytes, are left out and returned as
// Omitted; both are taken in the order of their names.
func EncodeResidue(r Residue) ([]byte, Omitted, error) {
	var omitted Omitted
	kept := r.Kept.All()
	if len(kept) == 0 && len(r.Tombstones) == 0 && len(r.Claims) == 0 {
		return nil, omitted, nil
	}
	claims := JoinClaims(r.Claims)
	claimCount := min(len(claims), MaxClaims)
	omitted.Claims = claims[claimCount:]
	encoded := residueJSON{Tombstones: limitTombstones(slices.Clone(r.Tombstones)), Claims: claims[:claimCount]}
	data, err := json.Marshal(encoded, json.Deterministic(true))
	if err != nil {
		return nil, omitted, eris.Wrap(err, "residue")
	}
	size := len(data) + len(`"documents":[],`)
	for i, doc := range kept {
		text, err := json.Marshal(doc, json.Deterministic(true))
		if err != nil {
			return nil, omitted, eris.Wrapf(err, "residue: document %s", doc.Ref())
		}
		if size += len(text) + 1; size > MaxResidueBytes {
			for _, doc := range kept[i:] {
				omitted.Documents = append(omitted.Documents, doc.Ref())
			}
			break
		}
		encoded.Documents = append(encoded.Documents, text)
	}
	data, err = json.Marshal(encoded, json.Deterministic(true))
	return data, omitted, eris.Wrap(err, "residue")
}

// DecodeResidue decodes the residue that a peer sent for a value. Its documents are checked like
// those of a value. Invalid documents, tombstones and claims, and those that belong to another
// value, are returned separately and do not affect the others. The error is non-nil only if the
// residue as a whole cannot be read. The content of a value is a valid residue, too. checkDetector
// may be nil.
func DecodeResidue(valueName string, data []byte, checkDetector DetectorCheck) (Residue, []BadDocument, error) {
	if len(data) > MaxResidueBytes {
		return Residue{}, nil, tooLargeError(valueName, len(data))
	}
	if kindOfValue(valueName) == "" {
		return Residue{}, nil, eris.Errorf("residue of %s: unknown value name", valueName)
	}
	var encoded residueJSON
	// Repeated fields are refused below for each document, so that they do not invalidate the
	// others.
	if err := json.Unmarshal(data, &encoded, json.RejectUnknownMembers(true), jsontext.AllowDuplicateNames(true)); err != nil {
		return Residue{}, nil, eris.Wrapf(err, "residue of %s", valueName)
	}
	value := decodeDocuments(valueName, encoded.Documents, checkDetector)
	out := Residue{Kept: value.Documents}
	for _, d := range encoded.Tombstones {
		if d.Generation == 0 || newDocument(d.Ref.Kind) == nil || d.Ref.Name == "" || ValueOf(d.Ref) != valueName {
			value.Bad = append(value.Bad, BadDocument{Ref: d.Ref, Position: -1, Problem: "deletion has no generation, names no valid document, or belongs to another value"})
			continue
		}
		out.Tombstones = append(out.Tombstones, d)
	}
	out.Tombstones = limitTombstones(out.Tombstones)
	for _, claim := range encoded.Claims {
		if claim.Since == 0 || claim.ID == "" || claim.Ref.Name == "" || newDocument(claim.Ref.Kind) == nil || ValueOf(claim.Ref) != valueName {
			value.Bad = append(value.Bad, BadDocument{Ref: claim.Ref, Position: -1, Problem: "claim has no identifier or revision, names no valid document, or belongs to another value"})
			continue
		}
		out.Claims = append(out.Claims, claim)
	}
	out.Claims = JoinClaims(out.Claims)
	return out, value.Bad, nil
}

// JoinResidues returns the union of two residues. For each document, the state with the highest
// generation is kept. At equal generations a deletion ranks above a document, and an accepted
// document above one of a residue with IsRawValue. Of two different documents of equal rank, the
// one with the higher XXH64 hash of its encoding is kept. For each document and identifier, the
// earliest claim is kept. The order and the number of joins do not change the result. NotApplied is
// left out, because MergeWithResidues derives it from the value.
func JoinResidues(a, b Residue) Residue {
	join := residueJoin{states: map[Ref]documentState{}}
	join.add(a)
	join.add(b)
	out := join.residue()
	out.Claims = JoinClaims(a.Claims, b.Claims)
	return out
}

// documentState is the state of one document in a residue: its content, or its deletion if doc is
// nil.
type documentState struct {
	generation uint64
	doc        Document
	// inValue is true if the document equals the one in the value that is being merged. It ranks
	// below another document of the same generation, which was accepted earlier.
	inValue bool
	// raw is true if the document comes from a residue with IsRawValue. A peer may have refused it.
	raw         bool
	contentHash uint64
	revision    uint64
}

// compare returns which of two states ranks higher, with the sign convention of cmp.Compare. States
// are ordered by generation, then by the kind of state, then by content hash or revision.
func (r documentState) compare(other documentState) int {
	rank := func(r documentState) int {
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
		cmp.Compare(r.contentHash, other.contentHash), cmp.Compare(r.revision, other.revision))
}

// residueJoin joins residues: it keeps the highest-ranking state of each document. If valueDocs is
// set, the documents of that value rank below others of the same generation.
type residueJoin struct {
	valueDocs map[Ref]Document
	states    map[Ref]documentState
}

func (j *residueJoin) add(r Residue) {
	for _, doc := range r.Kept.All() {
		e := documentState{generation: doc.Version(), doc: doc, raw: r.IsRawValue}
		if inValue := j.valueDocs[doc.Ref()]; inValue != nil && sameContent(inValue, doc) {
			e.inValue = true
		} else if text, err := json.Marshal(doc, json.Deterministic(true)); err == nil {
			e.contentHash = xxhash.Sum64(text)
		}
		j.putIfHigher(doc.Ref(), e)
	}
	for _, d := range r.Tombstones {
		j.putIfHigher(d.Ref, documentState{generation: d.Generation, revision: d.Revision})
	}
}

func (j *residueJoin) putIfHigher(ref Ref, e documentState) {
	if old, known := j.states[ref]; !known || e.compare(old) > 0 {
		j.states[ref] = e
	}
}

func (j *residueJoin) residue() Residue {
	var out Residue
	for _, ref := range slices.SortedFunc(maps.Keys(j.states), compareRefs) {
		if e := j.states[ref]; e.doc != nil {
			out.Kept.Add(e.doc)
		} else {
			out.Tombstones = append(out.Tombstones, Tombstone{ref, e.generation, e.revision})
		}
	}
	out.Tombstones = limitTombstones(out.Tombstones)
	return out
}

// limitTombstones sorts tombstones by revision and name, and returns the MaxTombstones with the
// highest revisions. All daemons use the same order, so that their states also become equal when
// tombstones are dropped. It modifies list.
func limitTombstones(list []Tombstone) []Tombstone {
	slices.SortFunc(list, func(a, b Tombstone) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), compareRefs(a.Ref, b.Ref), cmp.Compare(a.Generation, b.Generation))
	})
	return list[max(0, len(list)-MaxTombstones):]
}

// MergeWithResidues joins the residues of peers with the state in force, and merges a value into
// the result. The residues must come from daemons that merged this or an earlier revision of the
// value, because a document that they keep and that the value lacks is deleted. Without residues,
// or at a lower revision than the one in force, MergeWithResidues does the same as Merge.
func MergeWithResidues(valueName string, inForce InForce, revision uint64, value Value, residues ...Residue) (InForce, []Finding) {
	if len(residues) == 0 || revision < inForce.Revision {
		return Merge(valueName, inForce, revision, value)
	}
	join := residueJoin{valueDocs: byRef(value.Documents), states: map[Ref]documentState{}}
	join.add(Residue{Kept: inForce.Documents, Tombstones: inForce.Tombstones})
	conflicts := join.conflicts(valueName, revision, residues)
	for _, r := range residues {
		join.add(r)
	}
	joined := join.residue()
	after, findings := Merge(valueName, InForce{revision - 1, joined.Kept, joined.Tombstones}, revision, value)
	return after, append(findings, conflicts...)
}

// JoinIntoInForce joins the residues of peers with the state in force while the value cannot be
// read. No document is deleted because the value lacks it.
func JoinIntoInForce(inForce InForce, residues ...Residue) InForce {
	join := residueJoin{states: map[Ref]documentState{}}
	join.add(Residue{Kept: inForce.Documents, Tombstones: inForce.Tombstones})
	for _, r := range residues {
		join.add(r)
	}
	joined := join.residue()
	return InForce{inForce.Revision, joined.Kept, joined.Tombstones}
}

// conflicts returns a finding for each document of a peer that differs from the one held under the
// same generation.
func (j *residueJoin) conflicts(valueName string, revision uint64, residues []Residue) []Finding {
	var out []Finding
	for _, r := range residues {
		if r.IsRawValue {
			continue // a peer may have refused its documents; then that peer reports the conflict
		}
		for _, doc := range r.Kept.All() {
			held := j.states[doc.Ref()]
			if held.doc != nil && held.generation == doc.Version() && !sameContent(held.doc, doc) {
				f := Finding{valueName, revision, ReasonSameGeneration, doc.Ref(), doc.Version(), held.generation, "a peer holds other content under the same generation"}
				if !slices.Contains(out, f) {
					out = append(out, f)
				}
			}
		}
	}
	return out
}

// byRef returns the documents by their reference.
func byRef(docs Documents) map[Ref]Document {
	out := map[Ref]Document{}
	for _, doc := range docs.All() {
		out[doc.Ref()] = doc
	}
	return out
}

// SameContent reports whether two documents have the same encoding.
func SameContent(a, b Document) bool { return sameContent(a, b) }
