package contract

import (
	"cmp"
	"slices"
)

// MaxClaims limits the claims that a residue holds for one value. A value holds about 70 contracts,
// and few of them have a contested key.
const MaxClaims = 256

// Claim records since when a document lists an identifier that another document lists too. The
// document with the earliest claim owns the identifier. The time is recorded separately, because
// the revision of a value changes with each of its documents and so does not tell it.
type Claim struct {
	Ref Ref `json:"ref"`
	// ID is the digest of an API key of a contract, or the ID of a backend server of a service.
	ID string `json:"id"`
	// Since is the lowest known revision of the value at which the document lists the identifier.
	Since uint64 `json:"since"`
}

// Identifiers returns the identifiers in doc that no other document may list: the API key digests
// of a contract and the backend server IDs of a service. Other kinds have none.
func Identifiers(doc Document) []string {
	switch d := doc.(type) {
	case *Contract:
		return d.APIKeySHA256
	case *Service:
		ids := make([]string, len(d.BackendServers))
		for i, b := range d.BackendServers {
			ids[i] = b.ID
		}
		return ids
	}
	return nil
}

// JoinClaims returns the earliest claim of each document on each identifier, ordered by kind, name
// and identifier. The order and the number of joins do not change the result.
func JoinClaims(lists ...[]Claim) []Claim {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b Claim) int { return cmp.Or(compareClaimKeys(a, b), cmp.Compare(a.Since, b.Since)) })
	return slices.CompactFunc(all, func(a, b Claim) bool { return compareClaimKeys(a, b) == 0 })
}

// FilterClaims returns the claims whose document is in docs and still lists the identifier.
func FilterClaims(docs Documents, claims []Claim) []Claim {
	if len(claims) == 0 {
		return nil
	}
	inForce := byRef(docs)
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool {
		doc := inForce[c.Ref]
		return doc == nil || !slices.Contains(Identifiers(doc), c.ID)
	})
}

// compareClaimKeys orders claims by document and identifier, without their age.
func compareClaimKeys(a, b Claim) int {
	return cmp.Or(compareRefs(a.Ref, b.Ref), cmp.Compare(a.ID, b.ID))
}
