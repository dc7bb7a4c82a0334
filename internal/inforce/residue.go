package inforce

import (
	"fmt"
	"slices"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// PeerResidue is the encoded residue of a peer, for one value.
type PeerResidue struct {
	// Source is the ID of the peer.
	Source  string
	Content []byte
	// IsRawValue means that Content is that of a value, which may hold documents that the peer
	// refused.
	IsRawValue bool
}

// RefusedResidue is the residue of a peer, or one document of it, that cannot be used.
type RefusedResidue struct {
	Source string
	// Ref is empty if the residue as a whole cannot be decoded.
	Ref     contract.Ref
	Problem string
}

type decodedResidue struct {
	contract.Residue
	source string
}

func decodePeerResidues(name string, peerResidues []PeerResidue) (list []decodedResidue, refused []RefusedResidue) {
	for _, p := range peerResidues {
		residue, invalid, err := contract.DecodeResidue(name, p.Content, ejection.CheckOverrides)
		if err != nil {
			refused = append(refused, RefusedResidue{Source: p.Source, Problem: err.Error()})
			continue
		}
		for _, b := range invalid {
			refused = append(refused, RefusedResidue{p.Source, b.Ref, b.Problem})
		}
		residue.IsRawValue = p.IsRawValue
		list = append(list, decodedResidue{residue, p.Source})
	}
	return list, refused
}

func residuesOf(list []decodedResidue) []contract.Residue {
	out := make([]contract.Residue, len(list))
	for i, r := range list {
		out[i] = r.Residue
	}
	return out
}

// applyUnreadable merges the residues of peers while the value cannot be decoded. The new residue
// then holds all documents in force, because a peer cannot decode the value either. The caller
// holds mu.
func (cfg *Configuration) applyUnreadable(name string, revision uint64, before contract.InForce, residues []decodedResidue) (result Result, err error) {
	after := contract.JoinIntoInForce(before, residuesOf(residues)...)
	if len(residues) > 0 {
		content := []byte(`{"documents":[]}`)
		if h, ok := cfg.values[name]; ok {
			if content, err = compress.Unpack(h.content, contract.MaxValueBytes); err != nil {
				return Result{}, err
			}
		}
		value, err := contract.DecodeValue(name, content, ejection.CheckOverrides)
		if err != nil {
			return Result{}, err
		}
		if result, err = cfg.storeValue(name, content, value, before, after, residues); err != nil {
			return Result{}, err
		}
		result.Findings = cfg.replaceFindings(name, append(slices.Clone(cfg.findings[name]), cfg.peerFindings(name, revision, value, before, after, residues)...))
	}
	residue, omitted, err := cfg.encodeUnchanged(name, after.Residue(contract.Value{}))
	result.Residue = residue
	if omitted.Len() > 0 {
		result.Omitted = omitted
	}
	return result, err
}

// peerFindings returns a finding for each document that the residue of a peer put in force or took
// out of force. withoutPeers is what would be in force without residues. Earlier findings are
// repeated as long as they hold. The caller holds mu.
func (cfg *Configuration) peerFindings(name string, revision uint64, value contract.Value, withoutPeers, after contract.InForce, residues []decodedResidue) []contract.Finding {
	docsWithoutPeers, docsWithPeers, inValue := byRef(withoutPeers.Documents), byRef(after.Documents), byRef(value.Documents)
	var out []contract.Finding
	addFinding := func(ref contract.Ref, from, to uint64, what, source string) {
		out = append(out, contract.Finding{Value: name, Revision: revision, Reason: contract.ReasonPeerResidue, Ref: ref,
			Generation: from, InForce: to, Detail: fmt.Sprintf("%s recovered from peer %s", what, source)})
	}
	for _, doc := range after.Documents.All() {
		was := docsWithoutPeers[doc.Ref()]
		if was == nil || !contract.SameContent(was, doc) {
			addFinding(doc.Ref(), generationOf(was), doc.Version(), "document", documentSource(doc, residues))
		}
	}
	for _, doc := range withoutPeers.Documents.All() {
		if docsWithPeers[doc.Ref()] == nil {
			addFinding(doc.Ref(), doc.Version(), 0, "deletion", deletionSource(doc.Ref(), doc.Version(), residues))
		}
	}
	for _, f := range cfg.findings[name] {
		superseded := slices.ContainsFunc(out, func(o contract.Finding) bool { return o.Ref == f.Ref })
		if f.Reason == contract.ReasonPeerResidue && !superseded && generationOf(docsWithPeers[f.Ref]) == f.InForce && generationOf(inValue[f.Ref]) != f.InForce {
			out = append(out, f)
		}
	}
	return out
}

// replaceFindings replaces the findings of a value and returns those that are new. The caller holds
// mu.
func (cfg *Configuration) replaceFindings(name string, findings []contract.Finding) []contract.Finding {
	before := cfg.findings[name]
	delete(cfg.findings, name)
	if len(findings) > 0 {
		cfg.findings[name] = findings
	}
	return slices.DeleteFunc(slices.Clone(findings), func(f contract.Finding) bool { return slices.Contains(before, f) })
}

// documentSource returns the ID of the first peer whose residue keeps the document with the same
// content, or "" if there is none.
func documentSource(doc contract.Document, residues []decodedResidue) string {
	for _, r := range residues {
		if held := byRef(r.Kept)[doc.Ref()]; held != nil && contract.SameContent(held, doc) {
			return r.source
		}
	}
	return ""
}

// deletionSource returns the ID of the first peer whose residue deletes the document at the
// generation or a later one, or "" if there is none.
func deletionSource(ref contract.Ref, generation uint64, residues []decodedResidue) string {
	for _, r := range residues {
		for _, d := range r.Tombstones {
			if d.Ref == ref && d.Generation >= generation {
				return r.source
			}
		}
		// If a peer keeps a document that the value lacks, the document is deleted with its
		// generation.
		if held := byRef(r.Kept)[ref]; held != nil && held.Version() >= generation {
			return r.source
		}
	}
	return ""
}

func byRef(docs contract.Documents) map[contract.Ref]contract.Document {
	out := map[contract.Ref]contract.Document{}
	for _, doc := range docs.All() {
		out[doc.Ref()] = doc
	}
	return out
}

func generationOf(doc contract.Document) uint64 {
	if doc == nil {
		return 0
	}
	return doc.Version()
}
