package inforce

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// customers are the names of contracts in different values. Some revisions of them list
// contestedKey.
var customers = []string{"grocer", "hotel", "laundry"}

const contestedKey = "contested-key"

// contractWithKey returns the contract of a customer, with the contested API key or with a key of
// its own.
func contractWithKey(customer string, generation uint64, withContestedKey bool) string {
	key := customer
	if withContestedKey {
		key = contestedKey
	}
	digest := catalog.DigestOf(key)
	doc, err := json.Marshal(map[string]any{
		"apiVersion": contract.APIVersion, "kind": contract.KindContract, "customer": customer, "generation": generation,
		"apiKeySHA256": []string{digest.Hex()}, "routes": []any{map[string]any{"pathPrefix": "/", "service": "stock"}},
		"limits": map[string]any{"ratePerSecond": 1, "concurrency": 5},
	})
	if err != nil {
		panic(err)
	}
	return string(doc)
}

func valueNameOf(customer string) string {
	return contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: customer})
}

// publishedValue is one revision of a value of the platform.
type publishedValue struct {
	customer         string
	revision         uint64
	withContestedKey bool
}

// replica is a daemon with the values and residues that it holds.
type replica struct {
	configuration *Configuration
	applied       map[string]publishedValue
	residues      map[string][]byte
}

func newReplica() *replica {
	return &replica{configuration: New(), applied: map[string]publishedValue{}, residues: map[string][]byte{}}
}

// apply does what a daemon does with a value and the residues of peers.
func (r *replica) apply(t *rapid.T, v publishedValue, peerResidues ...PeerResidue) {
	if held, ok := r.applied[v.customer]; ok && held.revision > v.revision {
		return
	}
	result, err := r.configuration.Apply(valueNameOf(v.customer), v.revision, value(contractWithKey(v.customer, v.revision, v.withContestedKey)), peerResidues...)
	if err != nil || len(result.Refused) > 0 {
		t.Fatal(err, result.Refused)
	}
	r.applied[v.customer], r.residues[v.customer] = v, result.Residue
	for name, residue := range result.Claims {
		for _, customer := range customers {
			if own, ok := r.applied[customer]; ok && valueNameOf(customer) == name {
				r.apply(t, own, PeerResidue{Source: "self", Content: residue})
			}
		}
	}
}

// pull fetches the values of a peer with their residues.
func (r *replica) pull(t *rapid.T, peer *replica) {
	for _, customer := range customers {
		v, ok := peer.applied[customer]
		if !ok {
			continue
		}
		var peerResidues []PeerResidue
		if residue := peer.residues[customer]; residue != nil {
			peerResidues = append(peerResidues, PeerResidue{Source: "peer", Content: residue})
		}
		if held := r.applied[customer]; held.revision > v.revision {
			v = held
		}
		r.apply(t, v, peerResidues...)
	}
}

func (r *replica) keyHolder() string {
	if c := r.configuration.Publish().CustomerByKey(catalog.DigestOf(contestedKey)); c != nil {
		return c.Name
	}
	return ""
}

// Guards against daemons that disagree on the customer of an API key. Each daemon sees the
// revisions of the values in an order of its own, or only the latest ones, as after a restart. Once
// all have exchanged what they hold, they must agree. If no contract dropped the key and listed it
// again, which a daemon may miss, the key must belong to the contract that listed it first.
func TestContestedKeyHasOneHolderInAnyOrder(t *testing.T) {
	values := map[string]bool{}
	for _, customer := range customers {
		values[valueNameOf(customer)] = true
	}
	if len(values) != len(customers) {
		t.Fatal("two of the contracts share a value")
	}
	rapid.Check(t, func(t *rapid.T) {
		var history []publishedValue
		latest := map[string]publishedValue{}
		claimsPersist := rapid.Bool().Draw(t, "claims stay")
		for revision := range rapid.Uint64Range(3, 9).Draw(t, "revisions") {
			customer := rapid.SampledFrom(customers).Draw(t, "customer")
			v := publishedValue{customer, revision + 1, rapid.Bool().Draw(t, "claims") || claimsPersist && latest[customer].withContestedKey}
			history = append(history, v)
			latest[customer] = v
		}
		reference := newReplica()
		for _, v := range history {
			reference.apply(t, v)
		}
		replicas := []*replica{reference}
		for i := range 2 {
			r := newReplica()
			seen := history
			if rapid.Bool().Draw(t, "restarted") {
				seen = nil
				for _, customer := range customers {
					if v, ok := latest[customer]; ok {
						seen = append(seen, v)
					}
				}
			}
			for _, v := range rapid.Permutation(seen).Draw(t, fmt.Sprint("order ", i)) {
				r.apply(t, v)
			}
			replicas = append(replicas, r)
		}
		want := reference.keyHolder()
		for range 3 { // the second round spreads the claims found to be contested in the first
			for _, r := range replicas {
				for _, peer := range replicas {
					r.pull(t, peer)
				}
			}
		}
		if !claimsPersist {
			want = reference.keyHolder()
		}
		for i, r := range replicas {
			if got := r.keyHolder(); got != want {
				t.Fatalf("daemon %d assigns the contested key to %q, want %q", i, got, want)
			}
			for _, customer := range customers {
				if string(r.residues[customer]) != string(reference.residues[customer]) {
					t.Fatalf("daemon %d has residue %s of %s, the reference has %s", i, r.residues[customer], customer, reference.residues[customer])
				}
			}
		}
	})
}
