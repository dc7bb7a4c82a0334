package catalog

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

func digestHex(apiKey string) string { return fmt.Sprintf("%x", DigestOf(apiKey)) }

func drawSource(t *rapid.T, name string) Source {
	src := Source{Value: name, Revision: rapid.Uint64Range(1, 99).Draw(t, "revision")}
	docs := &src.Documents
	number := rapid.IntRange(0, 3)
	switch name[0] {
	case 'd':
		for i := range number.Draw(t, "n") {
			docs.DataCentres = append(docs.DataCentres, contract.DataCentre{DataCentre: fmt.Sprint("dc", i), Region: rapid.SampledFrom([]string{"n", "s"}).Draw(t, "region")})
		}
	case 'v':
		for i := range number.Draw(t, "n") {
			docs.VMs = append(docs.VMs, contract.VM{VM: fmt.Sprint("vm", i), DataCentre: fmt.Sprint("dc", number.Draw(t, "dc")), PeerAddress: "a"})
		}
	case 's':
		for i := range number.Draw(t, "n") {
			svc := contract.Service{Service: fmt.Sprint(name, i)}
			for j := range number.Draw(t, "servers") {
				svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: fmt.Sprint(svc.Service, "-", j), VM: fmt.Sprint("vm", number.Draw(t, "vm"))})
			}
			docs.Services = append(docs.Services, svc)
		}
	default:
		for i := range number.Draw(t, "n") {
			c := contract.Contract{Customer: fmt.Sprint(name, i), Generation: rapid.Uint64Range(1, 9).Draw(t, "generation")}
			for k := range number.Draw(t, "keys") {
				c.APIKeySHA256 = append(c.APIKeySHA256, digestHex(fmt.Sprint(c.Customer, k)))
			}
			docs.Contracts = append(docs.Contracts, c)
		}
	}
	return src
}

// Guards against a replaced value that leaves old content behind, or that misses a changed VM.
// After any sequence of replacements, the snapshot must equal one that is built at once, and older
// snapshots must be unchanged.
func TestReplaceEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latest := map[string]Source{}
		s := Build(nil)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			src := drawSource(t, rapid.SampledFrom([]string{"dc", "vms", "s1", "s2", "c1", "c2"}).Draw(t, "value"))
			before, beforeSources := s, slices.Collect(maps.Values(latest))
			latest[src.Value] = src
			s = s.Replace(src)
			requireEqual(t, s, Build(slices.Collect(maps.Values(latest))))
			requireEqual(t, before, Build(beforeSources))
		}
	})
}

// requireEqual compares the content of two snapshots, and checks that the look-ups of got find it.
func requireEqual(t *rapid.T, got, want *Snapshot) {
	t.Helper()
	for name, p := range got.values {
		for _, svc := range p.services {
			if got.Service(svc.Name) != svc {
				t.Fatalf("value %s contains another version of service %s than the snapshot", name, svc.Name)
			}
		}
	}
	if !reflect.DeepEqual(got.Customers(), want.Customers()) || got.CustomerCount() != len(want.Customers()) ||
		!reflect.DeepEqual(got.Services(), want.Services()) || !reflect.DeepEqual(got.VMs(), want.VMs()) {
		t.Fatalf("got %v %v %v\nwant %v %v %v", got.Customers(), got.Services(), got.VMs(), want.Customers(), want.Services(), want.VMs())
	}
	if got.keys.count != want.keys.count || got.backends.count != want.backends.count {
		t.Fatalf("%d keys and %d backend servers, want %d and %d", got.keys.count, got.backends.count, want.keys.count, want.backends.count)
	}
	for name, c := range got.Customers() {
		if got.Customer(name) != c {
			t.Fatalf("Customer(%q) = %v", name, got.Customer(name))
		}
		for k, digest := range c.keys {
			if got.CustomerByKey(digest) != c {
				t.Fatalf("key %d of %q identifies %v", k, name, got.CustomerByKey(digest))
			}
		}
	}
	for _, svc := range got.Services() {
		for _, b := range svc.BackendServers {
			if got.BackendServer(b.ID) != b || got.VM(b.VM.ID) != nil && got.VM(b.VM.ID) != b.VM {
				t.Fatalf("BackendServer(%q) = %v, VM %v", b.ID, got.BackendServer(b.ID), b.VM)
			}
		}
	}
}

// Guards against an API key or a backend server that changes its owner because another document
// claims it too, or because its owner's value gets a higher revision.
func TestContestedIdentifierStaysWithFirstClaimant(t *testing.T) {
	source := func(value string, revision uint64, customer, service string) Source {
		return Source{Value: value, Revision: revision, Documents: contract.Documents{
			Contracts: []contract.Contract{{Customer: customer, APIKeySHA256: []string{digestHex("k")}}},
			Services:  []contract.Service{{Service: service, BackendServers: []contract.BackendServer{{ID: "b"}}}},
		}}
	}
	s := Build([]Source{source("1", 1, "z", "z")}).Replace(source("2", 2, "a", "a")).Replace(source("1", 3, "z", "z"))
	if s.CustomerByKey(DigestOf("k")).Name != "z" || s.BackendServer("b").Service != "z" {
		t.Errorf("owners are %v and %v", s.CustomerByKey(DigestOf("k")), s.BackendServer("b"))
	}
	want := []Conflict{{ConflictAPIKey, digestHex("k"), "z", "a"}, {ConflictBackendServer, "b", "z", "a"}}
	if !slices.Equal(s.Conflicts(), want) {
		t.Errorf("conflicts %v", s.Conflicts())
	}
	s = s.Replace(Source{Value: "1"})
	if s.CustomerByKey(DigestOf("k")).Name != "a" || s.BackendServer("b").Service != "a" || len(s.Conflicts()) != 0 {
		t.Errorf("after removal owners are %v and %v, conflicts %v", s.CustomerByKey(DigestOf("k")), s.BackendServer("b"), s.Conflicts())
	}
}

// Guards against daemons that disagree on the owner of an API key or a backend server because
// values reached them in different orders. A claim counts from the revision that its source states.
// The document name decides between claims of the same revision.
func TestOwnerDoesNotDependOnArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		sources := make([]Source, len(names))
		want := contract.Claim{Since: math.MaxUint64}
		for i, name := range names {
			src := Source{Value: fmt.Sprint(i), Revision: rapid.Uint64Range(1, 5).Draw(t, "revision"), Documents: contract.Documents{
				Contracts: []contract.Contract{{Customer: name, APIKeySHA256: []string{digestHex("k"), digestHex(name)}}},
				Services:  []contract.Service{{Service: name, BackendServers: []contract.BackendServer{{ID: "b"}, {ID: "own-" + name}}}},
			}}
			since := src.Revision
			if rapid.Bool().Draw(t, "remembered") {
				since = rapid.Uint64Range(1, src.Revision).Draw(t, "since")
				src.Claims = []contract.Claim{
					{Ref: contract.Ref{Kind: contract.KindContract, Name: name}, ID: digestHex("k"), Since: since},
					{Ref: contract.Ref{Kind: contract.KindService, Name: name}, ID: "b", Since: since},
				}
			}
			sources[i] = src
			if since < want.Since || since == want.Since && name < want.Ref.Name {
				want = contract.Claim{Ref: contract.Ref{Name: name}, Since: since}
			}
		}
		s := Build(nil)
		for _, src := range rapid.Permutation(sources).Draw(t, "order") {
			s = s.Replace(src)
		}
		again := rapid.SampledFrom(sources).Draw(t, "again")
		again.Revision, again.Claims = 9, nil
		s = s.Replace(again)
		if s.CustomerByKey(DigestOf("k")).Name != want.Ref.Name || s.BackendServer("b").Service != want.Ref.Name {
			t.Fatalf("owners are %v and %v, want %s", s.CustomerByKey(DigestOf("k")), s.BackendServer("b"), want.Ref.Name)
		}
		if len(s.Conflicts()) != 2*(len(names)-1) {
			t.Fatalf("conflicts %v", s.Conflicts())
		}
	})
}

// Guards against a prefix that matches part of a path segment, and against a shorter prefix that
// hides a longer one.
func TestRouteMatchesWholeSegments(t *testing.T) {
	s := Build([]Source{{Documents: contract.Documents{Contracts: []contract.Contract{{Customer: "c", Routes: []contract.Route{
		{PathPrefix: "/", Service: "root"}, {PathPrefix: "/orders", Service: "orders"}, {PathPrefix: "/orders/big/", Service: "big", AtMostOnce: true},
	}}}}}})
	for path, want := range map[string]string{"/": "root", "/orders": "orders", "/orders/7": "orders", "/orders2": "root", "/orders/big": "big", "/orders/big/1": "big", "/orders/bigger": "orders"} {
		if r := s.Customer("c").Route(path); r == nil || r.Service != want {
			t.Errorf("Route(%q) = %v, want %s", path, r, want)
		}
	}
	if s.Customer("c").Route("/orders/big").Repeatable("GET") || !s.Customer("c").Route("/orders").Repeatable("GET") || s.Customer("c").Route("/orders").Repeatable("POST") {
		t.Error("wrong answer on repeatable routes")
	}
}
