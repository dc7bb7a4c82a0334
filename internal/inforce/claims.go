package inforce

import (
	"maps"
	"slices"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// claims joins what this daemon and its peers remember of the claims of a value. The caller holds mu.
func (b *Book) claims(name string, residues []sourced) []contract.Claim {
	lists := [][]contract.Claim{b.values[name].residue.Claims}
	for _, r := range residues {
		lists = append(lists, r.Claims)
	}
	return contract.JoinClaims(lists...)
}

// newClaims returns, as residues by value, the claims on contested identifiers that are not remembered yet. A daemon that starts
// later sees only the present revision of a value, which rises with each of its documents, so the memory must travel. The
// caller holds mu.
func (b *Book) newClaims() (map[string][]byte, error) {
	unknown := map[string][]contract.Claim{}
	for _, c := range b.edit.Contested() {
		value := contract.ValueOf(c.Ref)
		known := func(k contract.Claim) bool { return k.Ref == c.Ref && k.ID == c.ID && k.Since <= c.Since }
		if !slices.ContainsFunc(b.values[value].residue.Claims, known) {
			unknown[value] = append(unknown[value], c)
		}
	}
	out := map[string][]byte{}
	for _, value := range slices.Sorted(maps.Keys(unknown)) {
		content, _, err := contract.EncodeResidue(contract.Residue{Claims: unknown[value]})
		if err != nil {
			return nil, err
		}
		out[value] = content
	}
	return out, nil
}
