package inforce

import (
	"maps"
	"slices"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// mergeClaims merges the claims that this daemon and its peers have recorded for a value. The
// caller holds mu.
func (cfg *Configuration) mergeClaims(name string, residues []decodedResidue) []contract.Claim {
	lists := [][]contract.Claim{cfg.values[name].residue.Claims}
	for _, r := range residues {
		lists = append(lists, r.Claims)
	}
	return contract.JoinClaims(lists...)
}

// unrecordedClaims returns the claims on contested identifiers that are not recorded yet, as
// residues by name of the value. They must pass from daemon to daemon: one that starts later sees
// only the present revision of a value, which rises with each of its documents, and cannot tell
// which claim is older. The caller holds mu.
func (cfg *Configuration) unrecordedClaims() (map[string][]byte, error) {
	unrecorded := map[string][]contract.Claim{}
	for _, c := range cfg.edit.Contested() {
		value := contract.ValueOf(c.Ref)
		known := func(k contract.Claim) bool { return k.Ref == c.Ref && k.ID == c.ID && k.Since <= c.Since }
		if !slices.ContainsFunc(cfg.values[value].residue.Claims, known) {
			unrecorded[value] = append(unrecorded[value], c)
		}
	}
	out := map[string][]byte{}
	for _, value := range slices.Sorted(maps.Keys(unrecorded)) {
		content, _, err := contract.EncodeResidue(contract.Residue{Claims: unrecorded[value]})
		if err != nil {
			return nil, err
		}
		out[value] = content
	}
	return out, nil
}
