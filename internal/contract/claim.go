package contract

import (
	"cmp"
	"slices"
)

// MaxClaims bounds the claims that are remembered per value. A value holds about 70 contracts, and few have a contested key.
const MaxClaims = 256

// Claim is the memory that a document lists an identifier which another document lists too. The earliest claim holds it. Values
// tell nothing about that: their revision changes with each of their documents.
type Claim struct {
	Ref Ref `json:"ref"`
	// ID is the digest of an API key of a contract, or the id of a backend server of a service.
	ID string `json:"id"`
	// Since is the revision of the first value known in which the document lists the identifier.
	Since uint64 `json:"since"`
}

// Identifiers returns what the document lists and no other may list.
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

// JoinClaims returns the earliest claim of each document on each identifier, ordered by name. The order and the number of joins
// make no difference.
func JoinClaims(lists ...[]Claim) []Claim {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b Claim) int { return cmp.Or(compareClaimed(a, b), cmp.Compare(a.Since, b.Since)) })
	return slices.CompactFunc(all, func(a, b Claim) bool { return compareClaimed(a, b) == 0 })
}

// ClaimsOf returns the claims whose document is one of docs and still lists the identifier.
func ClaimsOf(docs Documents, claims []Claim) []Claim {
	if len(claims) == 0 {
		return nil
	}
	inForce := byRef(docs)
	return slices.DeleteFunc(slices.Clone(claims), func(c Claim) bool {
		doc := inForce[c.Ref]
		return doc == nil || !slices.Contains(Identifiers(doc), c.ID)
	})
}

func compareClaimed(a, b Claim) int {
	return cmp.Or(compareRefs(a.Ref, b.Ref), cmp.Compare(a.ID, b.ID))
}
