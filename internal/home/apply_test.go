package home

import (
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Guards against a backend server that changes its service, and loses its evidence, when two
// services list it. Map order used to choose the service, so that this happened at one change of
// configuration in two.
func TestDuplicateBackendServerStaysWithItsService(t *testing.T) {
	service := func(name string) contract.Service {
		return contract.Service{Service: name, BackendServers: []contract.BackendServer{
			{ID: "b1", VM: "vm1", Address: "127.0.0.1:9", Slots: 5},
		}}
	}
	snapshot := catalog.Build([]catalog.Source{
		catalog.Source{Value: "services/1", Revision: 7, Documents: contract.Documents{Services: []contract.Service{service("first")}}},
		catalog.Source{Value: "services/2", Revision: 9, Documents: contract.Documents{Services: []contract.Service{service("later")}}},
		catalog.Source{Value: "vms", Revision: 3, Documents: contract.Documents{VMs: []contract.VM{{VM: "vm1"}}}},
	})
	h := New(Options{VM: "vm1"})
	for range 20 {
		h.Apply(snapshot)
		if list := h.Explain(time.Now()); len(list) != 1 || list[0].Service != "first" {
			t.Fatalf("backend servers %+v, want b1 of service first", list)
		}
	}
}
