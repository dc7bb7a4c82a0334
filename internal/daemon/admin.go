package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// operator is the operators' view of the daemon.
type operator struct{ d *Daemon }

var _ admin.Daemon = operator{}

// Status implements admin.Daemon.
func (o operator) Status() admin.Status {
	d := o.d
	st := admin.Status{
		VM: d.settings.VM, DataCentre: d.settings.DataCentre, Region: d.settings.Region, Version: Version,
		Incarnation: d.incarnation, Started: d.started, Reason: o.Ready(), Leaving: d.home.Leaving(),
		Configuration: d.sync.Status(), Findings: d.book.Findings(), BackendServers: d.home.Explain(time.Now()),
		Operations: d.memory.Stats().Entries, LimitedCustomers: d.shares.Customers(), PlatformCalls: d.platform.calls(),
	}
	st.Ready = st.Reason == ""
	if s := d.book.Snapshot(); s != nil {
		st.Customers, st.Services, st.VMs = s.CustomerCount(), len(s.Services()), len(s.VMs())
	}
	return st
}

// Ready implements admin.Daemon.
func (o operator) Ready() string {
	if o.d.snapshot() != nil {
		return ""
	}
	if ok, reason := o.d.sync.Ready(); !ok {
		return reason
	}
	return "the configuration is being put in force"
}

// Revision implements admin.Daemon.
func (o operator) Revision(value string) admin.Revision {
	return admin.Revision{VM: o.d.settings.VM, Value: value, Revision: o.d.sync.InForce(value)}
}

// Documents implements admin.Daemon.
func (o operator) Documents(value string) (contract.Documents, error) {
	return o.d.book.Documents(value)
}

// Values implements admin.Daemon.
func (o operator) Values() []string { return o.d.book.Values() }

// Trail implements admin.Daemon.
func (o operator) Trail() *audit.Trail { return o.d.audit }

// Explain implements admin.Daemon.
func (o operator) Explain(customer, method, path string) admin.Decision {
	return o.d.entry.Explain(customer, method, path)
}

// overrides maps the names of the API to overrides.
var overrides = map[string]ejection.Override{
	ejection.NoOverride.String():   ejection.NoOverride,
	ejection.PinInService.String(): ejection.PinInService,
	ejection.ForceOut.String():     ejection.ForceOut,
}

// Override implements admin.Daemon.
func (o operator) Override(backend, override, operator string) (bool, error) {
	value, ok := overrides[override]
	if !ok {
		return false, fmt.Errorf("override %q is not none, pin-in-service or force-out", override)
	}
	found := o.d.home.SetOverride(time.Now(), backend, value)
	if found {
		o.d.audit.Add(audit.Entry{Actor: "operator " + operator, Action: "override", Subject: "backend server " + backend, To: override, Accepted: true})
	}
	return found, nil
}

// Drain implements admin.Daemon.
func (o operator) Drain(operator string) { o.d.Drain("operator " + operator) }

// WriteMetrics implements admin.Daemon.
func (o operator) WriteMetrics(w io.Writer) {
	o.d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
