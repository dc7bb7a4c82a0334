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

// claimants are contracts in different values, and contested an API key that some of them list.
var claimants = []string{"grocer", "hotel", "laundry"}

const contested = "contested-key"

// claimant returns the contract of a customer with the contested key or with its own one.
func claimant(customer string, generation uint64, claims bool) string {
	key := customer
	if claims {
		key = contested
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

// published is one revision of a value of the platform.
type published struct {
	customer string
	revision uint64
	claims   bool
}

// replica is a daemon with what it has applied.
type replica struct {
	book     *Book
	applied  map[string]published
	residues map[string][]byte
}

func newReplica() *replica {
	return &replica{book: New(), applied: map[string]published{}, residues: map[string][]byte{}}
}

// apply does what the daemon and its runner do with a value and the residues of peers.
func (r *replica) apply(t *rapid.T, v published, memories ...Memory) {
	if held, ok := r.applied[v.customer]; ok && held.revision > v.revision {
		return
	}
	result, err := r.book.Apply(valueNameOf(v.customer), v.revision, value(claimant(v.customer, v.revision, v.claims)), memories...)
	if err != nil || len(result.Refused) > 0 {
		t.Fatal(err, result.Refused)
	}
	r.applied[v.customer], r.residues[v.customer] = v, result.Residue
	for name, residue := range result.Claims {
		for _, customer := range claimants {
			if own, ok := r.applied[customer]; ok && valueNameOf(customer) == name {
				r.apply(t, own, Memory{Source: "self", Content: residue})
			}
		}
	}
}

// pull takes over the values of a peer with their residues.
func (r *replica) pull(t *rapid.T, peer *replica) {
	for _, customer := range claimants {
		v, ok := peer.applied[customer]
		if !ok {
			continue
		}
		var memories []Memory
		if residue := peer.residues[customer]; residue != nil {
			memories = append(memories, Memory{Source: "peer", Content: residue})
		}
		if held := r.applied[customer]; held.revision > v.revision {
			v = held
		}
		r.apply(t, v, memories...)
	}
}

func (r *replica) holder() string {
	if c := r.book.Publish().CustomerByKey(catalog.DigestOf(contested)); c != nil {
		return c.Name
	}
	return ""
}

// Guards against daemons that disagree for long on the customer of an API key. Each daemon sees the revisions of the values in an
// order of its own, or only the last ones, as after a restart. Once all have exchanged what they hold, they must agree. When no
// contract gave the key up and took it again, which a daemon may miss, it must be the contract that had the key in force first.
func TestAnyOrderOfArrivalGivesOneHolder(t *testing.T) {
	values := map[string]bool{}
	for _, customer := range claimants {
		values[valueNameOf(customer)] = true
	}
	if len(values) != len(claimants) {
		t.Fatal("two of the contracts share a value")
	}
	rapid.Check(t, func(t *rapid.T) {
		var history []published
		latest := map[string]published{}
		keep := rapid.Bool().Draw(t, "claims stay")
		for revision := range rapid.Uint64Range(3, 9).Draw(t, "revisions") {
			customer := rapid.SampledFrom(claimants).Draw(t, "customer")
			v := published{customer, revision + 1, rapid.Bool().Draw(t, "claims") || keep && latest[customer].claims}
			history = append(history, v)
			latest[customer] = v
		}
		witness := newReplica()
		for _, v := range history {
			witness.apply(t, v)
		}
		replicas := []*replica{witness}
		for i := range 2 {
			r := newReplica()
			seen := history
			if rapid.Bool().Draw(t, "restarted") {
				seen = nil
				for _, customer := range claimants {
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
		want := witness.holder()
		for range 3 { // the second spreads the claims that a daemon learned to be contested in the first
			for _, r := range replicas {
				for _, peer := range replicas {
					r.pull(t, peer)
				}
			}
		}
		if !keep {
			want = witness.holder()
		}
		for i, r := range replicas {
			if got := r.holder(); got != want {
				t.Fatalf("daemon %d has %q as the holder, want %q", i, got, want)
			}
			for _, customer := range claimants {
				if string(r.residues[customer]) != string(witness.residues[customer]) {
					t.Fatalf("daemon %d has the residue %s of %s, another one %s", i, r.residues[customer], customer, witness.residues[customer])
				}
			}
		}
	})
}
