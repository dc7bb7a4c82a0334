package configsync

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/membership"
)

// Guards against a residue of the daemon itself, such as a claim found late, that has no effect on
// other daemons: it must be merged into its value, once only, and offered to peers.
func TestOwnResidueIsMergedOnceAndOffered(t *testing.T) {
	now := time.Unix(1000, 0)
	members := membership.New(membership.Config{Self: membership.VM{ID: "vm1", DataCentre: "dc1", Region: "r1", Address: "127.0.0.1:1"}})
	s := NewSyncer(now, SyncerConfig{Members: members, Store: NewStore(), Random: rand.New(rand.NewPCG(1, 1))})
	s.finishStart()
	const name = "contracts/001"
	if _, _, err := s.store.Put(name, 5, compress.Pack([]byte(`{"documents":[]}`))); err != nil {
		t.Fatal(err)
	}
	v, _ := s.store.Get(name)
	s.FinishApply(now, v, nil, nil, nil)
	residue, _, err := contract.EncodeResidue(contract.Residue{Claims: []contract.Claim{{Ref: contract.Ref{Kind: contract.KindContract, Name: "grocer"}, ID: "k", Since: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	s.AddOwnResidue(now, name, residue)
	if list := s.RevisionsToApply(); len(list) != 1 || list[0].Name != name {
		t.Fatalf("to apply: %v", list)
	}
	peerResidues := s.PeerResidues(name)
	if len(peerResidues) != 1 || peerResidues[0].Source != "vm1" || !slices.Equal(peerResidues[0].Content, residue) {
		t.Fatalf("residues to merge: %+v", peerResidues)
	}
	if !s.FinishApply(now, v, peerResidues, residue, nil) {
		t.Error("the residue is not offered to peers")
	}
	s.AddOwnResidue(now, name, residue)
	if list := s.RevisionsToApply(); len(list) != 0 {
		t.Errorf("a residue that was merged is merged again: %v", list)
	}
}
