package inforce

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Configuration is the configuration in force. Snapshot may be called from any goroutine without
// waiting. The other methods may too, but only one goroutine may call Apply at a time.
type Configuration struct {
	mu       sync.Mutex
	values   map[string]storedValue
	findings map[string][]contract.Finding
	// omitted holds, by value, what its residue has no room for.
	omitted  map[string]contract.Omitted
	edit     *catalog.Edit
	snapshot atomic.Pointer[catalog.Snapshot]
}

// storedValue is one value in force. The documents are kept compressed: 37,000 decoded contracts
// would exceed limits.controlMemoryBytes of the settings.
type storedValue struct {
	revision uint64
	content  []byte
	residue  contract.Residue
}

// Change is one document that came into force, was changed or was deleted.
type Change struct {
	Ref contract.Ref
	// From and To are generations; 0 means none. They are equal if a peer held other content under
	// the same generation.
	From, To uint64
	// Source is the ID of the peer whose residue made the change, or empty if the value itself did.
	Source string
}

// Result tells what an applied value changed.
type Result struct {
	Changes []Change
	// Findings are the conflicts and refused documents that are new.
	Findings []contract.Finding
	// Refused are the residues of peers, or single documents of them, that cannot be used. They do
	// not block the others.
	Refused []RefusedResidue
	// Residue is what a peer needs besides the value to have the same documents in force, or nil if
	// the value is enough.
	Residue []byte
	// Omitted is what the residue has no room for, if that is new.
	Omitted contract.Omitted
	// Claims are residues by name of the value, which the caller must apply like residues of a
	// peer. They record since when documents in force list identifiers that have turned out to be
	// contested.
	Claims map[string][]byte
}

// New returns an empty Configuration. Snapshot returns nil until the first call of Publish after an
// Apply.
func New() *Configuration {
	return &Configuration{values: map[string]storedValue{}, findings: map[string][]contract.Finding{}, omitted: map[string]contract.Omitted{}}
}

// Apply merges a value, and the residues that peers have for it, into what is in force. An error
// means that the value as a whole cannot be used; then only the residues are merged. Snapshot shows
// the change after the next Publish, so that the many values of a start cost one snapshot.
func (cfg *Configuration) Apply(name string, revision uint64, content []byte, peerResidues ...PeerResidue) (Result, error) {
	if name == contract.ValueIndex {
		return Result{}, nil // the index lists the values; it holds no documents
	}
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	before, err := cfg.restore(name)
	if err != nil {
		return Result{}, err
	}
	residues, refused := decodePeerResidues(name, peerResidues)
	value, err := contract.DecodeValue(name, content, ejection.CheckOverrides)
	if err != nil {
		result, joinErr := cfg.applyUnreadable(name, revision, before, residues)
		result.Refused = refused
		return result, errors.Join(err, joinErr)
	}
	after, findings := contract.MergeWithResidues(name, before, revision, value, residuesOf(residues)...)
	if after.Revision == before.Revision && len(residues) == 0 {
		residue, omitted, err := cfg.encodeUnchanged(name, after.Residue(value))
		return Result{Findings: findings, Refused: refused, Residue: residue, Omitted: omitted}, err
	}
	withoutPeers, _ := contract.Merge(name, before, revision, value)
	findings = append(findings, cfg.peerFindings(name, revision, value, withoutPeers, after, residues)...)
	result, err := cfg.storeValue(name, content, value, before, after, residues)
	result.Findings, result.Refused = cfg.replaceFindings(name, findings), refused
	return result, err
}

// storeValue replaces what is in force of a value. The caller holds mu.
func (cfg *Configuration) storeValue(name string, content []byte, value contract.Value, before, after contract.InForce, residues []decodedResidue) (Result, error) {
	h := storedValue{revision: after.Revision, content: compress.Pack(content), residue: after.Residue(value)}
	h.residue.Claims = contract.FilterClaims(after.Documents, cfg.mergeClaims(name, residues))
	residue, omitted, err := cfg.encode(name, h.residue)
	if err != nil {
		return Result{}, err
	}
	cfg.values[name] = h
	cfg.stage(name, after)
	claims, err := cfg.unrecordedClaims()
	return Result{Changes: diffDocuments(before.Documents, after.Documents, value, residues), Residue: residue, Omitted: omitted, Claims: claims}, err
}

// encode returns the encoded residue of a value, and what it omits unless that was reported before.
// The caller holds mu.
func (cfg *Configuration) encode(name string, residue contract.Residue) ([]byte, contract.Omitted, error) {
	data, omitted, err := contract.EncodeResidue(residue)
	if err != nil {
		return nil, contract.Omitted{}, err
	}
	reported := cfg.omitted[name]
	delete(cfg.omitted, name)
	if omitted.Len() > 0 {
		cfg.omitted[name] = omitted
	}
	if slices.Equal(reported.Documents, omitted.Documents) && slices.Equal(reported.Claims, omitted.Claims) {
		omitted = contract.Omitted{}
	}
	return data, omitted, nil
}

// encodeUnchanged is encode with the claims that are already stored. The caller holds mu.
func (cfg *Configuration) encodeUnchanged(name string, residue contract.Residue) ([]byte, contract.Omitted, error) {
	residue.Claims = cfg.values[name].residue.Claims
	return cfg.encode(name, residue)
}

// stage adds a value to the next snapshot. The caller holds mu.
func (cfg *Configuration) stage(name string, after contract.InForce) {
	if cfg.edit == nil {
		base := cfg.snapshot.Load()
		if base == nil {
			base = new(catalog.Snapshot)
		}
		cfg.edit = base.Edit()
	}
	cfg.edit.Put(catalog.Source{Value: name, Revision: after.Revision, Documents: after.Documents, Claims: cfg.values[name].residue.Claims})
}

// Publish puts all applied values in force and returns the snapshot, which is nil if no value was
// ever applied.
func (cfg *Configuration) Publish() *catalog.Snapshot {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	if cfg.edit != nil {
		cfg.snapshot.Store(cfg.edit.Snapshot())
		cfg.edit = nil
	}
	return cfg.snapshot.Load()
}

// Snapshot returns the published configuration, or nil when there is none.
func (cfg *Configuration) Snapshot() *catalog.Snapshot { return cfg.snapshot.Load() }

// Documents returns the documents in force of one value. They include those that are not published
// yet.
func (cfg *Configuration) Documents(name string) (contract.Documents, error) {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	inForce, err := cfg.restore(name)
	return inForce.Documents, err
}

// Values returns the names of the values in force, in order.
func (cfg *Configuration) Values() []string {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	names := make([]string, 0, len(cfg.values))
	for name := range cfg.values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Findings returns the conflicts and refused documents that still hold, ordered by value.
func (cfg *Configuration) Findings() []contract.Finding {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	var all []contract.Finding
	names := make([]string, 0, len(cfg.findings))
	for name := range cfg.findings {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		all = append(all, cfg.findings[name]...)
	}
	return all
}

// restore decodes what is in force of a value. The caller holds mu.
func (cfg *Configuration) restore(name string) (contract.InForce, error) {
	h, ok := cfg.values[name]
	if !ok {
		return contract.InForce{}, nil
	}
	content, err := compress.Unpack(h.content, contract.MaxValueBytes)
	if err != nil {
		return contract.InForce{}, err
	}
	value, err := contract.DecodeValue(name, content, ejection.CheckOverrides)
	if err != nil {
		return contract.InForce{}, fmt.Errorf("stored value in force cannot be decoded: %w", err)
	}
	return contract.Restore(h.revision, value, h.residue), nil
}

// diffDocuments returns what changed in force, ordered by kind and name. A change that does not
// come from the value names the peer whose residue made it.
func diffDocuments(before, after contract.Documents, value contract.Value, residues []decodedResidue) []Change {
	old, inValue := byRef(before), byRef(value.Documents)
	var list []Change
	for _, doc := range after.All() {
		ref := doc.Ref()
		was := old[ref]
		delete(old, ref)
		if was != nil && was.Version() == doc.Version() && contract.SameContent(was, doc) {
			continue
		}
		c := Change{Ref: ref, From: generationOf(was), To: doc.Version()}
		if inValue[ref] == nil || !contract.SameContent(inValue[ref], doc) {
			c.Source = documentSource(doc, residues)
		}
		list = append(list, c)
	}
	for ref, was := range old {
		c := Change{Ref: ref, From: was.Version()}
		if inValue[ref] != nil {
			c.Source = deletionSource(ref, was.Version(), residues)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Change) int {
		return slices.Compare([]string{a.Ref.Kind, a.Ref.Name}, []string{b.Ref.Kind, b.Ref.Name})
	})
	return list
}
