package inforce

import (
	"fmt"
	"slices"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Memory is an encoded residue of a peer.
type Memory struct {
	// Source is the ID of the peer.
	Source  string
	Content []byte
	// Raw is true for the content of a value, which may hold documents that the peer refused.
	Raw bool
}

// RefusedMemory is a memory, or a document of one, that cannot be used.
type RefusedMemory struct {
	Source string
	// Ref is empty when the memory as a whole cannot be read.
	Ref     contract.Ref
	Problem string
}

type sourced struct {
	contract.Residue
	source string
}

func decodeMemories(name string, memories []Memory) (list []sourced, refused []RefusedMemory) {
	for _, m := range memories {
		residue, bad, err := contract.DecodeResidue(name, m.Content, ejection.CheckOverrides)
		if err != nil {
			refused = append(refused, RefusedMemory{Source: m.Source, Problem: err.Error()})
			continue
		}
		for _, b := range bad {
			refused = append(refused, RefusedMemory{m.Source, b.Ref, b.Problem})
		}
		residue.Raw = m.Raw
		list = append(list, sourced{residue, m.Source})
	}
	return list, refused
}

func contents(list []sourced) []contract.Residue {
	out := make([]contract.Residue, len(list))
	for i, r := range list {
		out[i] = r.Residue
	}
	return out
}

// applyUnread joins memories while the value cannot be read. The residue is then all that is in force, because a peer cannot
// read the value either. The caller holds mu.
func (b *Book) applyUnread(name string, revision uint64, before contract.InForce, residues []sourced) (result Result, err error) {
	after := contract.RecallUnread(before, contents(residues)...)
	if len(residues) > 0 {
		content := []byte(`{"documents":[]}`)
		if h, ok := b.values[name]; ok {
			if content, err = compress.Unpack(h.content, contract.MaxValueBytes); err != nil {
				return Result{}, err
			}
		}
		value, err := contract.DecodeValue(name, content, ejection.CheckOverrides)
		if err != nil {
			return Result{}, err
		}
		if result, err = b.keep(name, content, value, before, after, residues); err != nil {
			return Result{}, err
		}
		result.Findings = b.note(name, append(slices.Clone(b.findings[name]), b.recalled(name, revision, value, before, after, residues)...))
	}
	residue, omitted, err := b.encodeUnchanged(name, after.Residue(contract.Value{}))
	result.Residue = residue
	if omitted.Len() > 0 {
		result.Omitted = omitted
	}
	return result, err
}

// recalled reports the documents that are in force, or not, because of the memory of a peer. plain is what would be in
// force without it. Earlier reports are repeated as long as they hold. The caller holds mu.
func (b *Book) recalled(name string, revision uint64, value contract.Value, plain, after contract.InForce, residues []sourced) []contract.Finding {
	without, with, inValue := byRef(plain.Documents), byRef(after.Documents), byRef(value.Documents)
	var out []contract.Finding
	report := func(ref contract.Ref, from, to uint64, what, source string) {
		out = append(out, contract.Finding{Value: name, Revision: revision, Reason: contract.ReasonPeerMemory, Ref: ref,
			Generation: from, InForce: to, Detail: fmt.Sprintf("%s, remembered by %s", what, source)})
	}
	for _, doc := range after.Documents.All() {
		was := without[doc.Ref()]
		if was == nil || !contract.SameContent(was, doc) {
			report(doc.Ref(), version(was), doc.Version(), "document", sourceOf(doc, residues))
		}
	}
	for _, doc := range plain.Documents.All() {
		if with[doc.Ref()] == nil {
			report(doc.Ref(), doc.Version(), 0, "deletion", sourceOfDeletion(doc.Ref(), doc.Version(), residues))
		}
	}
	for _, f := range b.findings[name] {
		again := slices.ContainsFunc(out, func(o contract.Finding) bool { return o.Ref == f.Ref })
		if f.Reason == contract.ReasonPeerMemory && !again && version(with[f.Ref]) == f.InForce && version(inValue[f.Ref]) != f.InForce {
			out = append(out, f)
		}
	}
	return out
}

// note replaces the findings of a value and returns those that are new. The caller holds mu.
func (b *Book) note(name string, findings []contract.Finding) []contract.Finding {
	before := b.findings[name]
	delete(b.findings, name)
	if len(findings) > 0 {
		b.findings[name] = findings
	}
	return slices.DeleteFunc(slices.Clone(findings), func(f contract.Finding) bool { return slices.Contains(before, f) })
}

func sourceOf(doc contract.Document, residues []sourced) string {
	for _, r := range residues {
		if held := byRef(r.Kept)[doc.Ref()]; held != nil && contract.SameContent(held, doc) {
			return r.source
		}
	}
	return ""
}

func sourceOfDeletion(ref contract.Ref, generation uint64, residues []sourced) string {
	for _, r := range residues {
		for _, d := range r.Deleted {
			if d.Ref == ref && d.Generation >= generation {
				return r.source
			}
		}
		// A document that a peer keeps and that the value lacks is deleted with its generation.
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

func version(doc contract.Document) uint64 {
	if doc == nil {
		return 0
	}
	return doc.Version()
}
