package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"google.golang.org/protobuf/proto"
)

// bucketOf returns the contracts of one value: 18 of 9,200 over 512 values, with one generation for all.
func bucketOf(generation uint64) contract.Documents {
	var docs contract.Documents
	for i := 0; len(docs.Contracts) < 18; i++ {
		c := contract.Contract{
			APIVersion: contract.APIVersion, Kind: contract.KindContract, Customer: fmt.Sprintf("customer-%05d", i), Generation: generation,
			APIKeySHA256: []string{fmt.Sprintf("%064x", hashOf(fmt.Append(nil, i)))},
			Routes:       []contract.Route{{PathPrefix: "/orders", Service: "orders"}, {PathPrefix: "/stock", Service: "stock"}},
			Limits:       contract.Limits{RatePerSecond: float64(i%90 + 10), Concurrency: i%20 + 1},
		}
		if contract.ContractBucket(c.Customer) == 0 {
			docs.Contracts = append(docs.Contracts, c)
		}
	}
	return docs
}

func encoded(tb testing.TB, r contract.Residue) []byte {
	tb.Helper()
	data, _, err := contract.EncodeResidue(r)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// residueSizes returns the protobuf sizes of the answers to an exchange with equal and with other digests, and to a pull of one
// value, when the given number of the 578 values have a residue.
func residueSizes(tb testing.TB, withResidue int, residue []byte) (equal, listing, pull int) {
	tb.Helper()
	r := New(Options{Members: membership.New(membership.Config{Self: membership.VM{ID: "vm-001"}})})
	content := encoded(tb, contract.Residue{Kept: bucketOf(3)}) // a value is a valid residue
	for i, name := range contract.ValueNames() {
		r.receive("test", []Value{{Revision: Revision{Name: name, Revision: uint64(100_000 + i)}, Data: compress.Pack(content)}})
		v, _ := r.store.Get(name)
		data := residue
		if i >= withResidue {
			data = nil
		}
		r.syncer.Settle(time.Now(), v, nil, data, nil)
	}
	response := &peerapi.ExchangeResponse{Sender: r.sender(), Digest: r.store.Digest(), PlatformAgeMs: 100}
	equal = proto.Size(response)
	response.Revisions = toRevisions(r.store.Revisions())
	values, _ := takeValues(r.store, []string{contract.ContractValue(0)})
	return equal, proto.Size(response), proto.Size(&peerapi.PullResponse{Sender: r.sender(), Values: values})
}

// residueCases are values without and with residues of each kind.
func residueCases(tb testing.TB) map[string][]byte {
	kept := contract.Residue{}
	kept.Kept.Contracts = bucketOf(4).Contracts[:1]
	all := contract.Residue{Kept: bucketOf(4)}
	deleted, full := contract.Residue{}, contract.Residue{}
	for i := range contract.MaxDeleted {
		c := contract.Contract{Customer: fmt.Sprintf("customer-%05d", i)}
		full.Deleted = append(full.Deleted, contract.Deleted{Ref: c.Ref(), Generation: 4, Revision: uint64(100_000 + i)})
	}
	deleted.Deleted = full.Deleted[:1]
	return map[string][]byte{
		"none": nil, "one kept": encoded(tb, kept), "18 kept": encoded(tb, all), "one deletion": encoded(tb, deleted), "64 deletions": encoded(tb, full),
	}
}

// BenchmarkResidueBytes reports message sizes with a residue in 1 and in all of 578 values.
func BenchmarkResidueBytes(b *testing.B) {
	for name, residue := range residueCases(b) {
		for _, n := range []int{1, len(contract.ValueNames())} {
			b.Run(fmt.Sprintf("%s in %d", name, n), func(b *testing.B) {
				var equal, listing, pull int
				for b.Loop() {
					equal, listing, pull = residueSizes(b, n, residue)
				}
				b.ReportMetric(float64(equal), "B/exchange")
				b.ReportMetric(float64(listing), "B/listing")
				b.ReportMetric(float64(pull), "B/pull")
			})
		}
	}
}

// Guards against a cost of residues in a fleet that has none: messages and the digest are as they were before residues.
func TestValueWithoutResidueCostsNothing(t *testing.T) {
	for name, residue := range residueCases(t) {
		equal, listing, pull := residueSizes(t, 1, residue)
		plainEqual, plainListing, plainPull := residueSizes(t, 0, nil)
		extra := 9 // one fixed64 in the listing
		if residue == nil {
			extra = 0
		}
		if equal != plainEqual || listing != plainListing+extra || (pull == plainPull) != (residue == nil) {
			t.Errorf("%s: %d, %d and %d B, without residues %d, %d and %d B", name, equal, listing, pull, plainEqual, plainListing, plainPull)
		}
	}
	r := Revision{Name: "vms", Revision: 7, Hash: 8}
	if got := proto.Size(toRevisions([]Revision{r})[0]); got != len("vms")+2+2+9 {
		t.Errorf("a revision without residue has %d B", got)
	}
}
