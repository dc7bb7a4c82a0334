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

// floorWarning is a service that has fewer backend servers known to be in service than its floor once a VM has drained.
type floorWarning struct {
	Service string `json:"service"`
	Floor   int    `json:"floor"`
	// Remaining counts the backend servers on other VMs that are known to be in service.
	Remaining int `json:"remaining"`
	// Out are the backend servers on other VMs that are ejected, probing or draining.
	Out []outBackend `json:"out"`
	// Unknown are the backend servers on other VMs whose daemon was not reached or does not have them in force. When the floor may be
	// kept with them, it is not known whether the drain breaks it.
	Unknown []string `json:"unknown"`
}

type outBackend struct {
	BackendServer string     `json:"backendServer"`
	VM            string     `json:"vm"`
	Mode          admin.Mode `json:"mode"`
}

// isCertain reports that the floor would not be kept even if all unknown backend servers are in service.
func (f floorWarning) isCertain() bool { return f.Remaining+len(f.Unknown) < f.Floor }

// floorsAfterDrain returns the services of a VM that would be left below their floor, or may be. The other daemons are asked within the
// timeout as a whole, so that those that do not respond delay a drain no longer.
func floorsAfterDrain(ctx context.Context, c *client, st admin.Status, timeout time.Duration) ([]floorWarning, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	services, err := servicesOf(ctx, c, st)
	if err != nil || len(services) == 0 {
		return nil, err
	}
	var vms []admin.VM
	if err := c.getJSON(ctx, "/v1/vms", &vms); err != nil {
		return nil, err
	}
	others := targetList{}
	others.add(vms) // all of them, to find the addresses that several VMs have
	others.targets = slices.DeleteFunc(others.targets, func(t target) bool {
		return t.vm == st.VM || !slices.ContainsFunc(services, func(svc contract.Service) bool { return runsOn(svc, t.vm) })
	})
	var daemons []admin.Status
	for _, r := range ask(ctx, others.targets, timeout, getStatus) {
		if r.err == nil {
			daemons = append(daemons, r.value)
		}
	}
	var warnings []floorWarning
	for _, svc := range services {
		if w := floorWithout(svc, st.VM, daemons); w.Remaining < w.Floor {
			warnings = append(warnings, w)
		}
	}
	return warnings, nil
}

// servicesOf returns the services in force that have backend servers on the VM of a daemon, by name.
func servicesOf(ctx context.Context, c *client, st admin.Status) ([]contract.Service, error) {
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

// floorWithout compares the floor of a service with its backend servers on other VMs, as their daemons show them.
func floorWithout(svc contract.Service, vm string, daemons []admin.Status) floorWarning {
	w := floorWarning{Service: svc.Service, Floor: floorOf(svc), Out: []outBackend{}, Unknown: []string{}}
	known := backendsOf(daemons)
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

// writeFloorWarnings writes a line for each service that would be left below its floor, and one for all services of which that is
// not known: daemons whose admin listener is on loopback only are the rule in many fleets.
func writeFloorWarnings(out io.Writer, warnings []floorWarning) {
	var unsure []string
	for _, w := range warnings {
		if !w.isCertain() {
			unsure = append(unsure, w.Service)
			continue
		}
		var list []string
		for _, b := range w.Out {
			list = append(list, fmt.Sprintf("%s (%s)", b.BackendServer, b.Mode))
		}
		for _, id := range w.Unknown {
			list = append(list, id+" (not known)")
		}
		text := ""
		if len(list) > 0 {
			text = "; not counted on other VMs: " + namesText(list)
		}
		fmt.Fprintf(out, "  WARNING: service %s would have %d backend servers in service, below its floor of %d%s\n", w.Service, w.Remaining, w.Floor, text)
	}
	if len(unsure) > 0 {
		fmt.Fprintf(out, "  WARNING: daemons of other VMs were not reached, so it is not known whether the floor would be kept of %d of its services: %s\n",
			len(unsure), namesText(unsure))
	}
}
