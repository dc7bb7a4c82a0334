package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// backendResult is a backend server with the VM where it runs.
type backendResult struct {
	VM string `json:"vm"`
	admin.BackendServer
}

func statusOfBackend(ctx context.Context, out *output, t *targetFlags, id string) int {
	daemon, backend, err := findBackend(ctx, t, id)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	out.result(backendResult{daemon.vm, backend}, func(w io.Writer) {
		writeBackends(w, []admin.BackendServer{backend}, func(admin.BackendServer) string { return daemon.vm })
	})
	return exitStatusOfBackend(backend)
}

// exitStatusOfBackend returns ExitFindings for a backend server that is out of service, so that
// scripts can test for it.
func exitStatusOfBackend(b admin.BackendServer) int {
	if b.Ejection.State.Mode.IsOut() {
		return ExitFindings
	}
	return ExitOK
}

type serviceResult struct {
	Service        string          `json:"service"`
	Generation     uint64          `json:"generation"`
	Floor          int             `json:"floor"`
	InService      int             `json:"inService"`
	Total          int             `json:"total"`
	BackendServers []backendResult `json:"backendServers"`
	// Unknown are the backend servers whose daemon did not respond, could not be called, or does
	// not have them in force.
	Unknown    []string  `json:"unknown"`
	NotReached []failure `json:"notReached"`
}

func statusOfService(ctx context.Context, out *output, t *targetFlags, name string) int {
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	svc, vms, err := serviceInForce(ctx, list.targets, t, name)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	homes := targetList{}
	homes.add(vmsRunning(svc, vms))
	daemons, failures, status := splitReplies(out, queryAll(ctx, homes.targets, t.timeout, getStatus))
	homes.warnUnaddressable(out)
	result := serviceResult{Service: name, Generation: svc.Generation, Total: len(svc.BackendServers), NotReached: failures}
	result.Floor = floorOf(svc)
	known := backendsByID(daemons)
	for _, b := range svc.BackendServers {
		found, ok := known[b.ID]
		if !ok {
			result.Unknown = append(result.Unknown, b.ID)
			continue
		}
		result.BackendServers = append(result.BackendServers, found)
		if !found.Ejection.State.Mode.IsOut() {
			result.InService++
		}
	}
	out.result(result, func(w io.Writer) { writeService(w, result) })
	switch {
	case status != ExitOK:
		return status
	case len(result.Unknown) > 0:
		return ExitUnreachable
	case result.InService < result.Floor:
		return ExitFindings
	default:
		return ExitOK
	}
}

// floorOf returns the number of backend servers of a service that ejection must leave in service.
func floorOf(svc contract.Service) int {
	percent := svc.FloorPercent
	if percent == 0 {
		percent = catalog.DefaultFloorPercent
	}
	return catalog.FloorCount(len(svc.BackendServers), percent)
}

// backendsByID returns the backend servers that the statuses of daemons list, by id.
func backendsByID(daemons []admin.Status) map[string]backendResult {
	known := map[string]backendResult{}
	for _, st := range daemons {
		for _, b := range st.BackendServers {
			known[b.BackendServer] = backendResult{st.VM, b}
		}
	}
	return known
}

// serviceInForce returns the service and all VMs as they are in force at the first daemon that
// responds.
func serviceInForce(ctx context.Context, targets []target, t *targetFlags, name string) (contract.Service, []admin.VM, error) {
	docs, from, err := documentsInForce(ctx, targets, t, serviceValue(name))
	if err != nil {
		return contract.Service{}, nil, err
	}
	for _, svc := range docs.Services {
		if svc.Service == name {
			var vms []admin.VM
			return svc, vms, newClient(from.address, t.timeout).getJSON(ctx, "/v1/vms", &vms)
		}
	}
	return contract.Service{}, nil, fmt.Errorf("no service %q is in force at the daemon at %s", name, from)
}

// documentsInForce returns the documents of one value as they are in force at the first daemon that
// responds, and that daemon.
func documentsInForce(ctx context.Context, targets []target, t *targetFlags, value string) (admin.Documents, target, error) {
	return firstReply(ctx, targets, t.timeout, func(ctx context.Context, c *client) (d admin.Documents, err error) {
		return d, c.getJSON(ctx, documentsPath(value), &d)
	})
}

// serviceValue returns the name of the configuration value that holds a service.
func serviceValue(name string) string {
	return contract.ValueOf(contract.Ref{Kind: contract.KindService, Name: name})
}

func documentsPath(value string) string { return "/v1/documents?value=" + url.QueryEscape(value) }

// vmsRunning returns those of the VMs that run backend servers of the service.
func vmsRunning(svc contract.Service, vms []admin.VM) []admin.VM {
	hasBackend := map[string]bool{}
	for _, b := range svc.BackendServers {
		hasBackend[b.VM] = true
	}
	var homes []admin.VM
	for _, vm := range vms {
		if hasBackend[vm.VM] {
			homes = append(homes, vm)
		}
	}
	return homes
}

func writeService(w io.Writer, r serviceResult) {
	fmt.Fprintf(w, "service %s, generation %d: %d of %d backend servers in service, floor %d\n", r.Service, r.Generation, r.InService, r.Total, r.Floor)
	var list []admin.BackendServer
	vms := map[string]string{}
	for _, b := range r.BackendServers {
		list = append(list, b.BackendServer)
		vms[b.BackendServer.BackendServer] = b.VM
	}
	if len(list) > 0 {
		writeBackends(w, list, func(b admin.BackendServer) string { return vms[b.BackendServer] })
	}
	if len(r.Unknown) > 0 {
		fmt.Fprintf(w, "not known, because their daemons were not reached: %s\n", strings.Join(r.Unknown, ", "))
	}
}

// customerState is the contract in force at one daemon, nil for none, and the revision of its
// value.
type customerState struct {
	VM       string             `json:"vm"`
	Revision uint64             `json:"revision"`
	Contract *contract.Contract `json:"contract"`
}

type customerResult struct {
	Customer   string          `json:"customer"`
	Daemons    []customerState `json:"daemons"`
	NotReached []failure       `json:"notReached"`
}

func statusOfCustomer(ctx context.Context, out *output, t *targetFlags, name string) int {
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	value := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: name})
	states, failures, status := splitReplies(out, queryAll(ctx, list.targets, t.timeout, func(ctx context.Context, c *client) (customerState, error) {
		return getCustomerState(ctx, c, value, name)
	}))
	list.warnUnaddressable(out)
	result := customerResult{name, states, failures}
	missing := 0
	for _, s := range states {
		if s.Contract == nil {
			missing++
		}
	}
	out.result(result, func(w io.Writer) { writeCustomer(w, result) })
	if status == ExitOK && missing > 0 {
		return ExitFindings
	}
	return status
}

func getCustomerState(ctx context.Context, c *client, value, name string) (customerState, error) {
	var revision admin.Revision
	if err := c.getJSON(ctx, "/v1/revision?value="+url.QueryEscape(value), &revision); err != nil {
		return customerState{}, err
	}
	var docs admin.Documents
	if err := c.getJSON(ctx, documentsPath(value), &docs); err != nil {
		return customerState{}, err
	}
	state := customerState{VM: revision.VM, Revision: revision.Revision}
	for i := range docs.Contracts {
		if docs.Contracts[i].Customer == name {
			state.Contract = &docs.Contracts[i]
		}
	}
	return state, nil
}

func writeCustomer(w io.Writer, r customerResult) {
	rows := [][]string{{"VM", "GENERATION", "VALUE AT REVISION"}}
	var newest *contract.Contract
	for _, s := range r.Daemons {
		generation := "no contract"
		if s.Contract != nil {
			generation = fmt.Sprint(s.Contract.Generation)
			if newest == nil || s.Contract.Generation > newest.Generation {
				newest = s.Contract
			}
		}
		rows = append(rows, []string{s.VM, generation, fmt.Sprint(s.Revision)})
	}
	if newest != nil {
		writeContract(w, *newest)
	} else {
		fmt.Fprintf(w, "customer %s has no contract in force\n", r.Customer)
	}
	if len(rows) > 1 {
		writeTable(w, rows...)
	}
}

func writeContract(w io.Writer, c contract.Contract) {
	fmt.Fprintf(w, "customer %s, generation %d: %s\n", c.Customer, c.Generation, limitsText(c.Limits))
	rows := [][]string{{"ROUTE", "METHODS", "SERVICE", "AT MOST ONCE", "DEADLINE"}}
	for _, r := range c.Routes {
		deadline := r.Deadline
		if deadline == 0 {
			deadline = c.Deadline
		}
		text := "default"
		if deadline != 0 {
			text = deadline.String()
		}
		methods := strings.Join(r.Methods, " ")
		if methods == "" {
			methods = "all"
		}
		rows = append(rows, []string{r.PathPrefix, methods, r.Service, yesNo(r.AtMostOnce), text})
	}
	writeTable(w, rows...)
}

func limitsText(l contract.Limits) string {
	text := fmt.Sprintf("%g requests/s, %d in flight", l.RatePerSecond, l.Concurrency)
	if l.Burst > 0 {
		text += fmt.Sprintf(", burst %d", l.Burst)
	}
	if l.MaxRequestBytes > 0 {
		text += fmt.Sprintf(", body at most %d bytes", l.MaxRequestBytes)
	}
	return text
}
