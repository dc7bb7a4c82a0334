package daemon

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/home"
)

// adminView implements admin.Daemon, through which the admin API reads and controls the daemon.
type adminView struct{ d *Daemon }

var _ admin.Daemon = adminView{}

// Status implements admin.Daemon.
func (o adminView) Status() admin.Status {
	d := o.d
	st := admin.Status{
		VM: d.settings.VM, DataCentre: d.settings.DataCentre, Region: d.settings.Region, Version: Version,
		Incarnation: d.incarnation, Started: d.started, Reason: o.Ready(), Leaving: d.home.Leaving(),
		Configuration: configurationStatus(d.configSync.Status()), Findings: d.config.Findings(),
		Operations: d.operations.Stats().Entries, LimitedCustomers: d.shares.Customers(), PlatformCalls: d.platform.calls(),
	}
	st.Ready = st.Reason == ""
	for _, e := range d.home.Explain(time.Now()) {
		st.BackendServers = append(st.BackendServers, backendStatus(e))
	}
	if s := d.config.Snapshot(); s != nil {
		st.Customers, st.Services, st.VMs, st.Conflicts = s.CustomerCount(), len(s.Services()), len(s.VMs()), s.Conflicts()
	}
	return st
}

// Ready implements admin.Daemon.
func (o adminView) Ready() string {
	if o.d.snapshot() != nil {
		return ""
	}
	if ok, reason := o.d.configSync.Ready(); !ok {
		return reason
	}
	return "the configuration is complete but not yet in force"
}

// Revision implements admin.Daemon.
func (o adminView) Revision(value string) admin.Revision {
	return admin.Revision{VM: o.d.settings.VM, Value: value, Revision: o.d.configSync.InForce(value)}
}

// Revisions implements admin.Daemon.
func (o adminView) Revisions() admin.Revisions {
	out := admin.Revisions{VM: o.d.settings.VM, Values: map[string]uint64{}}
	for _, name := range append(o.d.config.Values(), contract.ValueIndex) {
		out.Values[name] = o.d.configSync.InForce(name)
	}
	return out
}

// VMs implements admin.Daemon.
func (o adminView) VMs() []admin.VM {
	list := []admin.VM{}
	if s := o.d.config.Snapshot(); s != nil {
		for _, vm := range s.VMs() {
			list = append(list, vmOf(vm))
		}
	}
	slices.SortFunc(list, func(a, b admin.VM) int { return strings.Compare(a.VM, b.VM) })
	return list
}

// Placement implements admin.Daemon.
func (o adminView) Placement(backend string) (admin.Placement, bool) {
	s := o.d.config.Snapshot()
	if s == nil {
		return admin.Placement{}, false
	}
	b := s.BackendServer(backend)
	if b == nil {
		return admin.Placement{}, false
	}
	return admin.Placement{BackendServer: b.ID, Service: b.Service, Address: b.Address, Slots: b.Slots, VM: vmOf(b.VM)}, true
}

// vmOf returns a VM of the catalog in the form of the admin API.
func vmOf(vm *catalog.VM) admin.VM {
	return admin.VM{
		VM: vm.ID, DataCentre: vm.Locality.DataCentre, Region: vm.Locality.Region,
		PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress,
	}
}

// Documents implements admin.Daemon.
func (o adminView) Documents(value string) (contract.Documents, error) {
	return o.d.config.Documents(value)
}

// Values implements admin.Daemon.
func (o adminView) Values() []string { return o.d.config.Values() }

// Trail implements admin.Daemon.
func (o adminView) Trail() *audit.Trail { return o.d.audit }

// Explain implements admin.Daemon.
func (o adminView) Explain(customer, method, path string) admin.Decision {
	return decisionStatus(o.d.settings.VM, o.d.entry.Explain(customer, method, path))
}

// overrides maps the names used by the admin API to overrides.
var overrides = map[string]ejection.Override{
	ejection.NoOverride.String():   ejection.NoOverride,
	ejection.PinInService.String(): ejection.PinInService,
	ejection.ForceOut.String():     ejection.ForceOut,
}

// Override implements admin.Daemon.
func (o adminView) Override(backend, override, operator string) (bool, error) {
	value, ok := overrides[override]
	if !ok {
		return false, fmt.Errorf("override %q must be none, pin-in-service or force-out", override)
	}
	before := ""
	for _, e := range o.d.home.Explain(time.Now()) {
		if e.BackendServer == backend {
			before = e.Ejection.Override.String()
		}
	}
	found := o.d.home.SetOverride(time.Now(), backend, value)
	if found {
		o.d.audit.Add(audit.Entry{
			Actor: "operator " + operator, Action: "override", Subject: "backend server " + backend, From: before, To: override, Accepted: true,
		})
	}
	return found, nil
}

// Drain implements admin.Daemon.
func (o adminView) Drain(operator string) { o.d.Drain("operator " + operator) }

// WriteMetrics implements admin.Daemon.
func (o adminView) WriteMetrics(w io.Writer) {
	o.d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// configurationStatus returns the state of configuration distribution in the form of the admin API.
func configurationStatus(s configsync.Status) admin.Configuration {
	out := admin.Configuration{
		IndexRevision: s.IndexRevision, IndexValues: s.IndexValues, Held: s.Held, HighestRevision: s.HighestRevision,
		Conflicts: s.Conflicts, BytesSent: s.Bytes.Sent, BytesReceived: s.Bytes.Received,
		Platform: admin.Platform{
			Heard: s.Platform.Heard, Age: contract.Duration(s.Platform.Age), Reader: s.Platform.Reader, Revision: s.Platform.Revision,
			Down: s.Platform.Down, Behind: s.Platform.Behind, LastError: s.Platform.LastError, Unread: s.Platform.Unread,
		},
		Members: admin.Members(s.Members),
	}
	if !s.Platform.Heard {
		out.Platform.Age = 0 // nothing was received yet, so there is no age
	}
	for _, r := range s.Refused {
		out.Refused = append(out.Refused, admin.RefusedValue{Value: r.Name, Revision: r.Revision, InForce: r.InForce, Reason: r.Reason})
	}
	return out
}

// backendStatus returns the state of a backend server in the form of the admin API.
func backendStatus(e home.Explanation) admin.BackendServer {
	x := e.Ejection
	return admin.BackendServer{
		BackendServer: e.BackendServer, Service: e.Service, Address: e.Address, InFlight: e.InFlight, Waiting: e.Waiting,
		Slots: e.Slots, HeldInServiceUntil: e.HeldInServiceUntil,
		Ejection: admin.Ejection{
			State: admin.State{
				Mode: admin.Mode(x.State.Mode.String()), Allowed: x.State.Allowed,
				Remaining: contract.Duration(x.State.Remaining), Permit: contract.Duration(x.State.Permit),
			},
			Since: x.Since, Override: x.Override.String(), Latency: admin.Evidence(x.Latency), Errors: admin.Evidence(x.Errors),
			SlowRatio: x.SlowRatio, ErrorShare: x.ErrorShare, NormalErrorShare: x.NormalErrorShare,
			BaselineMedian: contract.Duration(x.BaselineMedian), BaselineEntries: x.BaselineEntries,
			NextHoldOff: contract.Duration(x.NextHoldOff), ProbesPassed: x.ProbesPassed, ProbesNeeded: x.ProbesNeeded,
			Ejections: x.Ejections, Pauses: x.Pauses, Reason: x.Reason,
		},
	}
}

// decisionStatus returns an explained routing decision in the form of the admin API.
func decisionStatus(vm string, d entry.Decision) admin.Decision {
	out := admin.Decision{
		VM: vm, Customer: d.Customer, Refusal: d.Refusal, Detail: d.Detail, Route: d.Route, Service: d.Service,
		AtMostOnce: d.AtMostOnce, Repeatable: d.Repeatable, Deadline: contract.Duration(d.Deadline), Limits: d.Limits, Floor: d.Floor,
	}
	for _, c := range d.Candidates {
		out.Candidates = append(out.Candidates, admin.Candidate{
			BackendServer: c.Backend, VM: c.VM, DataCentre: c.Locality.DataCentre, Region: c.Locality.Region, Tier: c.Tier, Mode: c.Mode,
			Usable: c.Usable, Reason: c.Reason, InFlight: c.Load, Allowed: c.Slots, Latency: contract.Duration(c.Latency), Score: c.Score,
		})
	}
	return out
}
