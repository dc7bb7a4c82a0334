package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// floorWarning describes a service that, once a VM has drained, has fewer backend servers known to
// be in service than its floor.
type floorWarning struct {
	Service string `json:"service"`
	Floor   int    `json:"floor"`
	// Remaining counts the backend servers on other VMs that are known to be in service.
	Remaining int `json:"remaining"`
	// Out are the backend servers on other VMs that are ejected, probing or draining.
	Out []outBackend `json:"out"`
	// Unknown are the backend servers on other VMs whose daemon did not respond, could not be
	// called, or does not have them in force. When they could make up the floor, it is not known
	// whether the drain breaks it.
	Unknown []string `json:"unknown"`
}

// outBackend is a backend server that gets no requests of callers.
type outBackend struct {
	BackendServer string     `json:"backendServer"`
	VM            string     `json:"vm"`
	Mode          admin.Mode `json:"mode"`
}

// isCertain reports whether the drain breaks the floor even if all unknown backend servers are in
// service.
func (f floorWarning) isCertain() bool { return f.Remaining+len(f.Unknown) < f.Floor }

// drainFloorWarnings returns the services that the drain of the VM of st would leave, or may leave,
// below their floor. The timeout bounds all calls together, so that many daemons that don't respond
// delay a drain no longer than one.
func drainFloorWarnings(ctx context.Context, c *client, st admin.Status, timeout time.Duration) ([]floorWarning, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	services, err := servicesOnVM(ctx, c, st)
	if err != nil || len(services) == 0 {
		return nil, err
	}
	var vms []admin.VM
	if err := c.getJSON(ctx, "/v1/vms", &vms); err != nil {
		return nil, err
	}
	others := targetList{}
	others.add(vms) // including the VM to drain, to detect addresses that several VMs share
	others.targets = slices.DeleteFunc(others.targets, func(t target) bool {
		return t.vm == st.VM || !slices.ContainsFunc(services, func(svc contract.Service) bool { return runsOn(svc, t.vm) })
	})
	var daemons []admin.Status
	for _, r := range queryAll(ctx, others.targets, timeout, getStatus) {
		if r.err == nil {
			daemons = append(daemons, r.value)
		}
	}
	var warnings []floorWarning
	for _, svc := range services {
		if w := floorAfterDrain(svc, st.VM, daemons); w.Remaining < w.Floor {
			warnings = append(warnings, w)
		}
	}
	return warnings, nil
}

// servicesOnVM returns the services in force that have backend servers on the VM of a daemon,
// sorted by name.
func servicesOnVM(ctx context.Context, c *client, st admin.Status) ([]contract.Service, error) {
	var names []string
	for _, b := range st.BackendServers {
		names = append(names, b.Service)
	}
	slices.Sort(names)
	var services []contract.Service
	for _, name := range slices.Compact(names) {
		var docs admin.Documents
		if err := c.getJSON(ctx, documentsPath(serviceValue(name)), &docs); err != nil {
			return nil, err
		}
		i := slices.IndexFunc(docs.Services, func(svc contract.Service) bool { return svc.Service == name })
		if i >= 0 { // a service that was removed since the status was read has no floor
			services = append(services, docs.Services[i])
		}
	}
	return services, nil
}

func runsOn(svc contract.Service, vm string) bool {
	return slices.ContainsFunc(svc.BackendServers, func(b contract.BackendServer) bool { return b.VM == vm })
}

// floorAfterDrain compares the floor of a service with the backend servers that remain when vm has
// drained. Their modes come from the statuses in daemons.
func floorAfterDrain(svc contract.Service, vm string, daemons []admin.Status) floorWarning {
	w := floorWarning{Service: svc.Service, Floor: floorOf(svc), Out: []outBackend{}, Unknown: []string{}}
	known := backendsByID(daemons)
	for _, b := range svc.BackendServers {
		if b.VM == vm {
			continue
		}
		found, ok := known[b.ID]
		switch {
		case !ok:
			w.Unknown = append(w.Unknown, b.ID)
		case found.Ejection.State.Mode.IsOut():
			w.Out = append(w.Out, outBackend{b.ID, found.VM, found.Ejection.State.Mode})
		default:
			w.Remaining++
		}
	}
	return w
}

// writeFloorWarnings writes a line for each service that would be left below its floor. All
// services for which that is not known share one line, because in many fleets most admin listeners
// are on loopback and can't be called from other VMs.
func writeFloorWarnings(out io.Writer, warnings []floorWarning) {
	var uncertain []string
	for _, w := range warnings {
		if !w.isCertain() {
			uncertain = append(uncertain, w.Service)
			continue
		}
		var notCounted []string
		for _, b := range w.Out {
			notCounted = append(notCounted, fmt.Sprintf("%s (%s)", b.BackendServer, b.Mode))
		}
		for _, id := range w.Unknown {
			notCounted = append(notCounted, id+" (not known)")
		}
		text := ""
		if len(notCounted) > 0 {
			text = "; not counted on other VMs: " + namesText(notCounted)
		}
		fmt.Fprintf(out, "  WARNING: service %s would have %d backend servers in service, below its floor of %d%s\n", w.Service, w.Remaining, w.Floor, text)
	}
	if len(uncertain) > 0 {
		fmt.Fprintf(out, "  WARNING: daemons of other VMs were not reached, so it is not known whether the floor would be kept of %d of its services: %s\n",
			len(uncertain), namesText(uncertain))
	}
}
