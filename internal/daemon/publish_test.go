package daemon

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/capacity"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/membership"
)

// contractDocument returns the contract of customer "grocer".
func contractDocument(generation uint64) contract.Contract {
	return contract.Contract{
		APIVersion: contract.APIVersion, Kind: contract.KindContract, Customer: "grocer", Generation: generation,
		APIKeySHA256: []string{fmt.Sprintf("%064x", 1)}, Routes: []contract.Route{{PathPrefix: "/", Service: "stock"}},
		Limits: contract.Limits{RatePerSecond: 100, Concurrency: 20},
	}
}

// serviceDocument returns the service "stock", with one backend server on vm.
func serviceDocument(generation uint64, vm string) contract.Service {
	return contract.Service{
		APIVersion: contract.APIVersion, Kind: contract.KindService, Service: "stock", Generation: generation,
		BackendServers: []contract.BackendServer{{ID: "stock-1", VM: vm, Address: "10.0.0.1:8080"}},
	}
}

// Guards against a change of VMs, data centres or services that does not reach the peer guard, the
// directory, the limits plan or the home, also when it comes together with or after changes of
// contracts. Changes of contracts alone must not repeat that work.
func TestPublishUpdatesOnlyAffectedParts(t *testing.T) {
	d := newOffline(t)
	contracts := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	services := contract.ValueOf(contract.Ref{Kind: contract.KindService, Name: "stock"})
	dataCentre := contract.DataCentre{APIVersion: contract.APIVersion, Kind: contract.KindDataCentre, DataCentre: "dc1", Generation: 1, Region: "r1"}
	revision := uint64(0)
	apply := func(name string, documents ...any) {
		revision++
		applyDocuments(t, d, name, revision, documents...)
	}
	publish := func() {
		if !d.publishApplied() {
			t.Fatal("publishApplied found no configuration")
		}
	}
	known := func(address string) bool { return d.guard.allows(netip.MustParseAddr(address)) }

	apply(contract.ValueDataCentres, dataCentre)
	apply(contract.ValueVMs, vmDocument(1, "10.0.0.1:1"))
	apply(services, serviceDocument(1, "vm1"))
	apply(contracts, contractDocument(1))
	publish()
	if !known("10.0.0.1") || len(d.home.Explain(time.Now())) != 1 {
		t.Fatalf("after the start: address known %t, backend servers %+v", known("10.0.0.1"), d.home.Explain(time.Now()))
	}

	peers := d.guard.vms.Load()
	apply(contracts, contractDocument(2))
	publish()
	if d.guard.vms.Load() != peers {
		t.Error("a change of a contract rebuilt the peer guard's addresses")
	}

	apply(contracts, contractDocument(3))
	apply(contract.ValueVMs, vmDocument(2, "10.0.0.2:1"))
	publish()
	if known("10.0.0.1") || !known("10.0.0.2") {
		t.Error("the peer guard did not follow a changed address")
	}
	peers = d.guard.vms.Load()
	apply(services, serviceDocument(2, "vm2"))
	publish()
	if len(d.home.Explain(time.Now())) != 0 || d.guard.vms.Load() != peers {
		t.Errorf("after the backend server moved away the home has %+v", d.home.Explain(time.Now()))
	}

	dataCentre.Region, dataCentre.Generation = "r2", 2
	apply(contract.ValueDataCentres, dataCentre)
	publish()
	d.configSync.View(func(now time.Time, m *membership.Members) {
		if live := m.LiveInRegion(now, "r2"); len(live) != 1 {
			t.Errorf("live in the new region of the data centre: %v", live)
		}
	})
}

// Guards against a daemon whose region is not in the configuration and that takes the limits of the
// whole fleet for its own part.
func TestUnconfiguredRegionGetsNoShareOfLimits(t *testing.T) {
	d := newOffline(t)
	dataCentre := contract.DataCentre{APIVersion: contract.APIVersion, Kind: contract.KindDataCentre, DataCentre: "dc1", Generation: 1, Region: "elsewhere"}
	applyDocuments(t, d, contract.ValueDataCentres, 1, dataCentre)
	applyDocuments(t, d, contract.ValueVMs, 2, vmDocument(1, "10.0.0.1:1"))
	document := contractDocument(1)
	document.Limits.Concurrency = 40
	applyDocuments(t, d, contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"}), 3, document)
	if !d.publishApplied() {
		t.Fatal("publishApplied found no configuration")
	}
	// A tenth of the limit of 40 is divided into fixed parts for two daemons, this one included.
	admitted := 0
	for d.shares.Admit(time.Now(), d.config.Snapshot().Customer("grocer")).OK {
		admitted++
	}
	if admitted != 2 {
		t.Errorf("%d requests in flight without a share, want 2", admitted)
	}
}

// BenchmarkPublishContractChange measures how long a daemon takes to put one changed contract in
// force, with the documents of a whole fleet. Decoding of the value is not measured.
func BenchmarkPublishContractChange(b *testing.B) {
	d := newOffline(b)
	real := contract.VM{APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: "vm1", Generation: 1, DataCentre: "dc1", PeerAddress: "10.0.0.1:1"}
	docs := capacity.DesignSize.Documents([]contract.VM{real}, "10.0.0.1:8080")
	values, err := contract.Render(docs)
	if err != nil {
		b.Fatal(err)
	}
	for name, content := range values {
		if _, err := d.apply(configsync.Update{Name: name, Revision: 1, Content: content}); err != nil {
			b.Fatal(err)
		}
	}
	d.publishApplied()
	var bucket []contract.Contract
	for _, c := range docs.Contracts {
		if contract.ContractBucket(c.Customer) == 0 {
			bucket = append(bucket, c)
		}
	}
	b.ReportAllocs()
	for revision := uint64(2); b.Loop(); revision++ {
		b.StopTimer()
		bucket[0].Generation = revision
		content, err := json.Marshal(map[string]any{"documents": bucket})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := d.apply(configsync.Update{Name: contract.ContractValue(0), Revision: revision, Content: content}); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		d.publishApplied()
	}
}
