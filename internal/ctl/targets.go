package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

// maxConcurrentCalls bounds the concurrent calls, so that a command for 1,200 daemons needs few
// sockets.
const maxConcurrentCalls = 32

// targetFlags are the flags that select the daemons that a command calls.
type targetFlags struct {
	admin     []string
	documents string
	fleet     bool
	timeout   time.Duration
}

// targetDetails is the part of a command's help that explains targetFlags.
const targetDetails = "Daemons are named by --admin, or taken from the VM documents with --documents; without either, the admin\n" +
	"listener on this VM is asked (" + DefaultAdminAddress + "). --fleet asks one of them for all VMs of its configuration and\n" +
	"then asks the daemons of these VMs."

func (t *targetFlags) register(p *flaggy.Parser) {
	t.timeout = DefaultClientTimeout
	p.StringSlice(&t.admin, "a", "admin", "host:port of an admin listener; may be repeated (default "+DefaultAdminAddress+")")
	p.String(&t.documents, "", "documents", "directory of documents; the admin addresses of its VMs are asked")
	p.Bool(&t.fleet, "", "fleet", "ask all VMs in the configuration of the first daemon that responds")
	p.Duration(&t.timeout, "", "timeout", "time limit of one call to a daemon (default "+DefaultClientTimeout.String()+")")
}

// target is one daemon to call. The field vm is empty when only the address is known.
type target struct {
	address, vm string
}

func (t target) String() string {
	if t.vm == "" {
		return t.address
	}
	return t.vm + " (" + t.address + ")"
}

// targetList is a list of daemons to call, and of VMs whose daemon can't be called.
type targetList struct {
	targets []target
	// unaddressable are the VMs without an admin address, or with one that several VMs share.
	unaddressable []string
}

// resolve returns the daemons that the flags select, at least one. With --fleet it calls daemons to
// get the list of VMs.
func (t *targetFlags) resolve(ctx context.Context) (targetList, error) {
	var list targetList
	for _, address := range t.admin {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return list, fmt.Errorf("--admin %q is not host:port", address)
		}
		list.targets = append(list.targets, target{address: address})
	}
	if t.documents != "" {
		docs, issues := loadDocuments(t.documents)
		if len(issues) > 0 {
			return list, fmt.Errorf("%s has %d faults; see cowslipctl check", t.documents, len(issues))
		}
		var vms []admin.VM
		for _, vm := range docs.VMs {
			vms = append(vms, admin.VM{VM: vm.VM, AdminAddress: vm.AdminAddress})
		}
		list.add(vms)
	}
	if len(t.admin) == 0 && t.documents == "" {
		list.targets = []target{{address: DefaultAdminAddress}}
	}
	if len(list.targets) == 0 {
		return list, fmt.Errorf("no VM of %s has an admin address that can be reached from here; name one with --admin", t.documents)
	}
	if !t.fleet {
		return list, nil
	}
	vms, _, err := firstReply(ctx, list.targets, t.timeout, func(ctx context.Context, c *client) (all []admin.VM, err error) {
		return all, c.getJSON(ctx, "/v1/vms", &all)
	})
	if err != nil {
		return list, err
	}
	list = targetList{}
	list.add(vms)
	if len(list.targets) == 0 {
		return list, errors.New("no VM of the configuration has an admin address that can be reached from here; run cowslipctl on the VMs")
	}
	return list, nil
}

// add appends the VMs to the list. An admin address that several VMs share is a loopback address,
// which reaches only the daemon of the VM where cowslipctl runs. VMs with such an address, or
// without any, are unaddressable.
func (l *targetList) add(vms []admin.VM) {
	uses := map[string]int{}
	for _, vm := range vms {
		uses[vm.AdminAddress]++
	}
	for _, vm := range vms {
		if vm.AdminAddress == "" || uses[vm.AdminAddress] > 1 {
			l.unaddressable = append(l.unaddressable, vm.VM)
		} else {
			l.targets = append(l.targets, target{vm.AdminAddress, vm.VM})
		}
	}
}

// warnUnaddressable writes a warning that names the VMs whose daemons are not called.
func (l targetList) warnUnaddressable(out *output) {
	if len(l.unaddressable) > 0 {
		fmt.Fprintf(out.Err, "cowslipctl %s: %d VMs have no admin address that can be reached from here and are not asked: %s\n",
			out.command, len(l.unaddressable), namesText(l.unaddressable))
	}
}

// reply is the response of one daemon, or the error of the call.
type reply[T any] struct {
	target target
	value  T
	err    error
}

// queryAll calls query for each daemon, up to maxConcurrentCalls at the same time. It returns the
// replies in the order of the daemons. The timeout bounds each HTTP call.
func queryAll[T any](ctx context.Context, targets []target, timeout time.Duration, query func(context.Context, *client) (T, error)) []reply[T] {
	replies := make([]reply[T], len(targets))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, t := range targets {
		semaphore <- struct{}{}
		wg.Go(func() {
			value, err := query(ctx, newClient(t.address, timeout))
			replies[i] = reply[T]{t, value, err}
			<-semaphore
		})
	}
	wg.Wait()
	return replies
}

// firstReply calls query for one daemon after the other until one responds. It returns the value or
// the refusal of that daemon, or the error of the last daemon when none responds.
func firstReply[T any](ctx context.Context, targets []target, timeout time.Duration, query func(context.Context, *client) (T, error)) (value T, from target, err error) {
	for _, from = range targets {
		value, err = query(ctx, newClient(from.address, timeout))
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			return value, from, err
		}
	}
	return value, from, err
}

// failure is a daemon without a usable response, in the JSON output of a command.
type failure struct {
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
	Reason  string `json:"reason"`
}

// splitReplies separates the values from the failures and writes a line for each failure to
// standard error. The status is the highest exit status of the failures, or ExitOK.
func splitReplies[T any](out *output, replies []reply[T]) (values []T, failures []failure, status int) {
	failures = []failure{}
	for _, r := range replies {
		if r.err == nil {
			values = append(values, r.value)
			continue
		}
		failures = append(failures, failure{r.target.address, r.target.vm, r.err.Error()})
		status = max(status, out.fail(exitStatusOf(r.err), "%v", r.err))
	}
	return values, failures, status
}

func getStatus(ctx context.Context, c *client) (st admin.Status, err error) {
	return st, c.getJSON(ctx, "/v1/status", &st)
}

// findBackend looks up on which VM a backend server runs. It returns the daemon of that VM, and the
// state of the backend server from that daemon's status.
func findBackend(ctx context.Context, t *targetFlags, id string) (daemon target, backend admin.BackendServer, err error) {
	list, err := t.resolve(ctx)
	if err != nil {
		return daemon, backend, err
	}
	placement, _, err := firstReply(ctx, list.targets, t.timeout, func(ctx context.Context, c *client) (p admin.Placement, err error) {
		return p, c.getJSON(ctx, "/v1/backends/"+url.PathEscape(id), &p)
	})
	if isNotFound(err) {
		return daemon, backend, fmt.Errorf("no service in force has a backend server %q", id)
	}
	if err != nil {
		return daemon, backend, err
	}
	candidates := list.targets
	if placement.VM.AdminAddress != "" {
		candidates = append([]target{{placement.VM.AdminAddress, placement.VM.VM}}, candidates...)
	}
	for _, daemon = range candidates {
		var st admin.Status
		st, err = getStatus(ctx, newClient(daemon.address, t.timeout))
		if err != nil || st.VM != placement.VM.VM {
			continue
		}
		i := slices.IndexFunc(st.BackendServers, func(b admin.BackendServer) bool { return b.BackendServer == id })
		if i < 0 {
			return daemon, backend, fmt.Errorf("the daemon of %s does not have backend server %q in force yet", st.VM, id)
		}
		return target{daemon.address, st.VM}, st.BackendServers[i], nil
	}
	if err == nil {
		err = &unreachableError{address: placement.VM.VM, reason: "its admin listener cannot be reached from here; run cowslipctl on that VM, or name the listener with --admin"}
	}
	return daemon, backend, fmt.Errorf("backend server %s runs on VM %s: %w", id, placement.VM.VM, err)
}

// operatorName returns the default of --operator: the user who runs the command, for the audit
// trail. Behind sudo, that is the user who called sudo.
func operatorName() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if user := os.Getenv(name); user != "" {
			return user
		}
	}
	return "unknown"
}
