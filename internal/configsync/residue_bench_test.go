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

// contractsOfBucket returns the contracts of one value: 18, as when 9,200 contracts are spread over
// 512 values. All have the same generation.
func contractsOfBucket(generation uint64) contract.Documents {
	var docs contract.Documents
	for i := 0; len(docs.Contracts) < 18; i++ {
		c := contract.Contract{
			APIVersion: contract.APIVersion, Kind: contract.KindContract, Customer: fmt.Sprintf("customer-%05d", i), Generation: generation,
			APIKeySHA256: []string{fmt.Sprintf("%064x", contentHash(fmt.Append(nil, i)))},
			Routes:       []contract.Route{{PathPrefix: "/orders", Service: "orders"}, {PathPrefix: "/stock", Service: "stock"}},
			Limits:       contract.Limits{RatePerSecond: float64(i%90 + 10), Concurrency: i%20 + 1},
		}
		if contract.ContractBucket(c.Customer) == 0 {
			docs.Contracts = append(docs.Contracts, c)
		}
	}
	return docs
}

// mustEncodeResidue encodes a residue.
func mustEncodeResidue(tb testing.TB, r contract.Residue) []byte {
	tb.Helper()
	data, _, err := contract.EncodeResidue(r)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// messageSizes returns the encoded sizes of three answers: to an exchange with equal digests, to
// one with different digests, and to a pull of one value. withResidue of the 578 values have the
// residue.
func messageSizes(tb testing.TB, withResidue int, residue []byte) (equal, listing, pull int) {
	tb.Helper()
	r := New(Options{Members: membership.New(membership.Config{Self: membership.VM{ID: "vm-001"}})})
	content := mustEncodeResidue(tb, contract.Residue{Kept: contractsOfBucket(3)}) // a value is a valid residue
	for i, name := range contract.ValueNames() {
		r.receiveValues("test", []Value{{Revision: Revision{Name: name, Number: uint64(100_000 + i)}, Data: compress.Pack(content)}})
		v, _ := r.store.Get(name)
		data := residue
		if i >= withResidue {
			data = nil
		}
		r.syncer.FinishApply(time.Now(), v, nil, data, nil)
	}
	response := &peerapi.ExchangeResponse{Sender: r.sender(), Digest: r.store.Digest(), PlatformAgeMs: 100}
	equal = proto.Size(response)
	response.Revisions = revisionsToProto(r.store.Revisions())
	values, _ := nextValueBatch(r.store, []string{contract.ContractValue(0)})
	return equal, proto.Size(response), proto.Size(&peerapi.PullResponse{Sender: r.sender(), Values: values})
}

// residueCases returns encoded residues of each kind by description; nil stands for none.
func residueCases(tb testing.TB) map[string][]byte {
	kept := contract.Residue{}
	kept.Kept.Contracts = contractsOfBucket(4).Contracts[:1]
	all := contract.Residue{Kept: contractsOfBucket(4)}
	deleted, full := contract.Residue{}, contract.Residue{}
	for i := range contract.MaxTombstones {
		c := contract.Contract{Customer: fmt.Sprintf("customer-%05d", i)}
		full.Tombstones = append(full.Tombstones, contract.Tombstone{Ref: c.Ref(), Generation: 4, Revision: uint64(100_000 + i)})
	}
	deleted.Tombstones = full.Tombstones[:1]
	return map[string][]byte{
		"none": nil, "one kept": mustEncodeResidue(tb, kept), "18 kept": mustEncodeResidue(tb, all), "one deletion": mustEncodeResidue(tb, deleted), "64 deletions": mustEncodeResidue(tb, full),
	}
}

// BenchmarkResidueBytes reports message sizes when 1 and when all of the 578 values have a residue.
func BenchmarkResidueBytes(b *testing.B) {
	for name, residue := range residueCases(b) {
		for _, n := range []int{1, len(contract.ValueNames())} {
			b.Run(fmt.Sprintf("%s in %d", name, n), func(b *testing.B) {
				var equal, listing, pull int
				for b.Loop() {
					equal, listing, pull = messageSizes(b, n, residue)
				}
				b.ReportMetric(float64(equal), "B/exchange")
				b.ReportMetric(float64(listing), "B/listing")
				b.ReportMetric(float64(pull), "B/pull")
			})
		}
	}
}

// Guards against residues that cost something in a fleet that has none: without a residue, messages
// must be as small as before residues were introduced.
func TestValueWithoutResidueAddsNoBytes(t *testing.T) {
	for name, residue := range residueCases(t) {
		equal, listing, pull := messageSizes(t, 1, residue)
		plainEqual, plainListing, plainPull := messageSizes(t, 0, nil)
		extra := 9 // one fixed64 in the listing
		if residue == nil {
			extra = 0
		}
		if equal != plainEqual || listing != plainListing+extra || (pull == plainPull) != (residue == nil) {
			t.Errorf("%s: %d, %d and %d B, without residues %d, %d and %d B", name, equal, listing, pull, plainEqual, plainListing, plainPull)
		}
	}
	r := Revision{Name: "vms", Number: 7, Hash: 8}
	if got := proto.Size(revisionsToProto([]Revision{r})[0]); got != len("vms")+2+2+9 {
		t.Errorf("a revision without residue has %d B", got)
	}
}
