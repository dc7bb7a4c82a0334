package ctl

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// fakeFleet is a fleet of two fake daemons behind the real admin handler. vm1 runs portal-1, which
// is active. vm2 runs portal-2, which is ejected.
type fakeFleet struct{ daemons map[string]*fakeDaemon }

// fakeDaemon implements admin.Daemon with a fixed state, which only scripts change.
type fakeDaemon struct {
	vm     string
	fleet  *fakeFleet
	server *httptest.Server
	trail  *audit.Trail

	mu        sync.Mutex
	revisions map[string]uint64
	refused   []admin.RefusedValue
	findings  []contract.Finding
	override  string
	leaving   bool
	reason    string
}

var (
	fakeStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	fakeDocs  = contract.Documents{
		Contracts: []contract.Contract{{
			APIVersion: contract.APIVersion, Kind: contract.KindContract, Customer: "hotel", Generation: 3, APIKeySHA256: []string{strings.Repeat("ab", 32)},
			Routes: []contract.Route{{PathPrefix: "/stock", Service: "portal"}, {PathPrefix: "/orders", Service: "portal", AtMostOnce: true}},
			Limits: contract.Limits{RatePerSecond: 20, Concurrency: 8},
		}},
		Services: []contract.Service{{
			APIVersion: contract.APIVersion, Kind: contract.KindService, Service: "portal", Generation: 7, FloorPercent: 50,
			BackendServers: []contract.BackendServer{{ID: "portal-1", VM: "vm1", Address: "127.0.0.1:81"}, {ID: "portal-2", VM: "vm2", Address: "127.0.0.1:82"}},
		}},
		VMs: []contract.VM{
			{APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: "vm1", Generation: 1, DataCentre: "rvk1", PeerAddress: "10.0.0.1:7001"},
			{APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: "vm2", Generation: 1, DataCentre: "rvk1", PeerAddress: "10.0.0.2:7001"},
		},
		DataCentres: []contract.DataCentre{{APIVersion: contract.APIVersion, Kind: contract.KindDataCentre, DataCentre: "rvk1", Generation: 1, Region: "reykjavik"}},
	}
)

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{daemons: map[string]*fakeDaemon{}}
	for _, vm := range []string{"vm1", "vm2"} {
		d := &fakeDaemon{vm: vm, fleet: f, trail: audit.New(vm, 10, nil), override: "none", revisions: map[string]uint64{"index": 12, "vms": 11, "contracts/007": 10}}
		d.trail.Add(audit.Entry{Time: fakeStart, Actor: "platform", Action: "configuration", Subject: "Contract hotel", To: "generation 3", Accepted: true})
		d.trail.Add(audit.Entry{Time: fakeStart.Add(time.Second), Actor: "detector", Action: "mode", Subject: "backend server portal-2", From: "active", To: "ejected", Accepted: true, Reason: "slow"})
		d.trail.Add(audit.Entry{Time: fakeStart.Add(2 * time.Second), Actor: "peer " + vm, Action: "configuration", Subject: "services/12", Reason: "two contents"})
		d.server = httptest.NewUnstartedServer(admin.Handler(d))
		f.daemons[vm] = d
	}
	for _, d := range f.daemons {
		d.server.Start() // after the map is complete, because the handlers read it
	}
	return f
}

func (f *fakeFleet) close() {
	for _, d := range f.daemons {
		d.server.Close()
	}
}

func (d *fakeDaemon) address() string { return d.server.Listener.Addr().String() }

// number returns the number in the VM's name: 1 or 2.
func (d *fakeDaemon) number() int { return int(d.vm[2] - '0') }

func (d *fakeDaemon) Status() admin.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	mode, remaining, evidence, reason := admin.Mode("active"), time.Duration(0), 0.0, "evidence is below the thresholds"
	if d.vm == "vm2" {
		mode, remaining, evidence, reason = "ejected", 2500*time.Millisecond, 16.4, "slow: 7.3 times the baseline; out until the hold-off ends"
	}
	return admin.Status{
		VM: d.vm, DataCentre: "rvk1", Region: "reykjavik", Version: "test", Incarnation: uint64(d.number()) << 60, Started: fakeStart,
		Ready: d.reason == "", Reason: d.reason, Leaving: d.leaving, Findings: d.findings, Customers: 1, Services: 1, VMs: 2,
		Configuration: admin.Configuration{
			IndexRevision: d.revisions["index"], IndexValues: 3, Held: 3, Refused: d.refused,
			Platform: admin.Platform{Heard: true, Age: contract.Duration(1500 * time.Millisecond), Reader: d.vm == "vm1"},
		},
		BackendServers: []admin.BackendServer{{
			BackendServer: "portal-" + d.vm[2:], Service: "portal", Address: fmt.Sprint("127.0.0.1:8", d.number()), InFlight: 2, Slots: 5,
			Ejection: admin.Ejection{
				State: admin.State{Mode: mode, Allowed: 5, Remaining: contract.Duration(remaining), Permit: contract.Duration(remaining)},
				Since: fakeStart, Override: d.override, Latency: admin.Evidence{Value: evidence, Threshold: 16, Since: fakeStart, Samples: 40},
				SlowRatio: 7.3, NextHoldOff: contract.Duration(8 * time.Second), ProbesNeeded: 3, Reason: reason,
			},
		}},
	}
}

func (d *fakeDaemon) Ready() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reason
}

func (d *fakeDaemon) Revision(value string) admin.Revision {
	return admin.Revision{VM: d.vm, Value: value, Revision: d.Revisions().Values[value]}
}

func (d *fakeDaemon) Revisions() admin.Revisions {
	d.mu.Lock()
	defer d.mu.Unlock()
	return admin.Revisions{VM: d.vm, Values: maps.Clone(d.revisions)}
}

func (d *fakeDaemon) VMs() []admin.VM {
	var list []admin.VM
	for _, vm := range []string{"vm1", "vm2"} {
		list = append(list, admin.VM{VM: vm, DataCentre: "rvk1", Region: "reykjavik", AdminAddress: d.fleet.daemons[vm].address()})
	}
	return list
}

func (d *fakeDaemon) Placement(backend string) (admin.Placement, bool) {
	for i, vm := range d.VMs() {
		if backend == fmt.Sprint("portal-", i+1) {
			return admin.Placement{BackendServer: backend, Service: "portal", VM: vm}, true
		}
	}
	return admin.Placement{}, false
}

func (d *fakeDaemon) Explain(customer, method, path string) admin.Decision {
	out := admin.Decision{VM: d.vm, Customer: customer, Route: "/stock", Service: "portal", Repeatable: method == "GET", Deadline: contract.Duration(800 * time.Millisecond), Limits: fakeDocs.Contracts[0].Limits, Floor: 1}
	if customer != "hotel" || path != "/stock/7" {
		return admin.Decision{VM: d.vm, Customer: customer, Refusal: "no_route", Detail: "no route of the contract matches the path"}
	}
	out.Candidates = []admin.Candidate{
		{BackendServer: "portal-1", VM: "vm1", DataCentre: "rvk1", Tier: "own data centre", Mode: "active", Usable: true, Allowed: 5, Latency: contract.Duration(2500 * time.Microsecond)},
		{BackendServer: "portal-2", VM: "vm2", DataCentre: "rvk1", Tier: "own data centre", Mode: "ejected", Reason: "ejected by its home"},
	}
	return out
}

func (d *fakeDaemon) Documents(value string) (contract.Documents, error) {
	var docs contract.Documents
	for _, doc := range fakeDocs.All() {
		if contract.ValueOf(doc.Ref()) == value {
			docs.Add(doc)
		}
	}
	return docs, nil
}

func (d *fakeDaemon) Values() []string { return contract.ValueNames() }

func (d *fakeDaemon) Trail() *audit.Trail { return d.trail }

func (d *fakeDaemon) Override(backend, override, operator string) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if backend != "portal-"+d.vm[2:] {
		return false, nil
	}
	d.override = override
	d.trail.Add(audit.Entry{Time: fakeStart.Add(time.Minute), Actor: "operator " + operator, Action: "override", Subject: "backend server " + backend, To: override, Accepted: true})
	return true, nil
}

// Drain stops the daemon at once, as a drain without requests in flight does.
func (d *fakeDaemon) Drain(operator string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.trail.Add(audit.Entry{Time: fakeStart.Add(time.Minute), Actor: "operator " + operator, Action: "drain", Subject: "VM " + d.vm, Accepted: true})
	go d.server.Close()
}

func (d *fakeDaemon) WriteMetrics(io.Writer) {}

// change is the script command "fake VM WHAT ARGUMENTS...". It changes the state of one daemon.
func (f *fakeFleet) change(ts *testscript.TestScript, _ bool, args []string) {
	d := f.daemons[args[0]]
	if args[1] == "stop" {
		d.server.Close() // waits for running requests, which need the lock
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch args[1] {
	case "revision":
		n, err := strconv.ParseUint(args[3], 10, 64)
		ts.Check(err)
		d.revisions[args[2]] = n
	case "refuse":
		d.refused = []admin.RefusedValue{{Value: args[2], Revision: 99, InForce: 1, Reason: "unreadable"}}
	case "finding":
		d.findings = []contract.Finding{{Value: "contracts/007", Revision: 12, Reason: contract.ReasonLowerGeneration, Ref: contract.Ref{Kind: contract.KindContract, Name: "hotel"}}}
	case "not-ready":
		d.reason = "values are missing"
	case "add-entry":
		d.trail.Add(audit.Entry{Time: fakeStart.Add(time.Hour), Actor: "platform", Action: "configuration", Subject: args[2], Accepted: true})
	default:
		ts.Check(errors.New("unknown change " + args[1]))
	}
}
