package ctl

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Guards against a floor warning that counts backend servers which won't be in service: those of
// the VM that drains, those that are out on other VMs, and those of daemons that did not respond.
// The modes come from internal/ejection, so that a new mode which admin.Mode.IsOut does not know
// fails the test.
func TestFloorAfterDrainCountsRemainingBackends(t *testing.T) {
	svc := contract.Service{Service: "portal", FloorPercent: 60}
	var daemons []admin.Status
	var out []outBackend
	remaining := 0
	for mode := ejection.Warming; mode <= ejection.Draining; mode++ {
		id, vm := "portal-"+mode.String(), "vm-"+mode.String()
		svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: id, VM: vm})
		name := admin.Mode(mode.String())
		daemons = append(daemons, admin.Status{VM: vm, BackendServers: []admin.BackendServer{{
			BackendServer: id, Service: "portal", Ejection: admin.Ejection{State: admin.State{Mode: name}},
		}}})
		if mode.IsOut() || mode == ejection.Draining {
			out = append(out, outBackend{id, vm, name})
		} else {
			remaining++
		}
	}
	svc.BackendServers = append(svc.BackendServers,
		contract.BackendServer{ID: "own-1", VM: "leaving"}, contract.BackendServer{ID: "own-2", VM: "leaving"}, contract.BackendServer{ID: "lost", VM: "dead"})
	if len(out) != 3 || remaining != 4 {
		t.Fatalf("%d modes are out, %d in service; want 3 and 4", len(out), remaining)
	}
	got := floorAfterDrain(svc, "leaving", daemons)
	want := floorWarning{Service: "portal", Floor: 6, Remaining: 4, Out: out, Unknown: []string{"lost"}}
	if !reflect.DeepEqual(got, want) || !got.isCertain() {
		t.Errorf("got %+v, want %+v", got, want)
	}
	svc.FloorPercent = 50
	if got := floorAfterDrain(svc, "leaving", daemons); got.Floor != 5 || got.isCertain() {
		t.Errorf("with one unknown the floor of 5 may be kept: %+v", got)
	}
}

// Guards against a drain that waits for each daemon that does not respond, or that then counts as
// safe. First the daemon of another VM hangs, then the daemon to drain does not return its
// documents.
func TestDrainFloorWarningsWithUnresponsiveDaemons(t *testing.T) {
	fleet := newFakeFleet()
	defer fleet.close()
	c := newClient(fleet.daemons["vm1"].address(), time.Minute)
	st, err := getStatus(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	fleet.daemons["vm2"].mu.Lock() // GET /v1/status hangs
	warnings, err := drainFloorWarnings(context.Background(), c, st, 300*time.Millisecond)
	fleet.daemons["vm2"].mu.Unlock()
	if err != nil || len(warnings) != 1 || warnings[0].isCertain() || !reflect.DeepEqual(warnings[0].Unknown, []string{"portal-2"}) {
		t.Errorf("%+v, %v", warnings, err)
	}
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	_, err = drainFloorWarnings(context.Background(), newClient(silent.Listener.Addr().String(), time.Minute), st, 50*time.Millisecond)
	if err == nil || !strings.Contains(err.Error(), "no response from the daemon") {
		t.Errorf("a daemon that shows no documents: %v", err)
	}
}
