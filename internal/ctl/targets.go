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

// maxParallel bounds the calls at the same time, so that a question to 1,200 daemons needs few sockets.
const maxParallel = 32

// targetFlags are the flags that say which daemons a command asks.
type targetFlags struct {
	admin     []string
	documents string
	fleet     bool
	timeout   time.Duration
}

// targetDetails is the part of the help that explains the flags.
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

// target is one daemon to ask. VM is empty when only the address is known.
type target struct {
	address, vm string
}

func (t target) String() string {
	if t.vm == "" {
		return t.address
	}
	return t.vm + " (" + t.address + ")"
}

// targetList is what targetFlags.resolve returns.
type targetList struct {
	targets []target
	// notAskable are VMs without an admin address of their own. They cannot be asked from here.
	notAskable []string
}

// resolve returns the daemons that the flags name.
func (t *targetFlags) resolve(ctx context.Context) (targetList, error) {
	var c targetList
	for _, address := range t.admin {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return c, fmt.Errorf("--admin %q is not host:port", address)
		}
		c.targets = append(c.targets, target{address: address})
	}
	if t.documents != "" {
		docs, issues := load(t.documents)
		if len(issues) > 0 {
			return c, fmt.Errorf("%s has %d faults; see cowslipctl check", t.documents, len(issues))
		}
		var vms []admin.VM
		for _, vm := range docs.VMs {
			vms = append(vms, admin.VM{VM: vm.VM, AdminAddress: vm.AdminAddress})
		}
		c.add(vms)
	}
	if len(t.admin) == 0 && t.documents == "" {
		c.targets = []target{{address: DefaultAdminAddress}}
	}
	if len(c.targets) == 0 {
		return c, fmt.Errorf("no VM of %s has an admin address that can be reached from here; name one with --admin", t.documents)
	}
	if !t.fleet {
		return c, nil
	}
	vms, _, err := firstReply(ctx, c.targets, t.timeout, func(ctx context.Context, c *client) (list []admin.VM, err error) {
		return list, c.getJSON(ctx, "/v1/vms", &list)
	})
	if err != nil {
		return c, err
	}
	c = targetList{}
	c.add(vms)
	if len(c.targets) == 0 {
		return c, errors.New("no VM of the configuration has an admin address that can be reached from here; run cowslipctl on the VMs")
	}
	return c, nil
}

// add takes the VMs whose admin address is theirs alone. An address that several VMs have is a loopback address, which leads
// to the daemon of the VM where it is used.
func (c *targetList) add(vms []admin.VM) {
	uses := map[string]int{}
	for _, vm := range vms {
		uses[vm.AdminAddress]++
	}
	for _, vm := range vms {
		if vm.AdminAddress == "" || uses[vm.AdminAddress] > 1 {
			c.notAskable = append(c.notAskable, vm.VM)
		} else {
			c.targets = append(c.targets, target{vm.AdminAddress, vm.VM})
		}
	}
}

// warn tells which VMs are not asked.
func (c targetList) warn(out *output) {
	if len(c.notAskable) > 0 {
		fmt.Fprintf(out.Err, "cowslipctl %s: %d VMs have no admin address that can be reached from here and are not asked: %s\n",
			out.command, len(c.notAskable), namesText(c.notAskable))
	}
}

// reply is the answer of one daemon.
type reply[T any] struct {
	target target
	value  T
	err    error
}

// ask calls f for each daemon and returns the replies in the order of the daemons.
func ask[T any](ctx context.Context, list []target, timeout time.Duration, f func(context.Context, *client) (T, error)) []reply[T] {
	replies := make([]reply[T], len(list))
	free := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, t := range list {
		free <- struct{}{}
		wg.Go(func() {
			value, err := f(ctx, newClient(t.address, timeout))
			replies[i] = reply[T]{t, value, err}
			<-free
		})
	}
	wg.Wait()
	return replies
}

// firstReply asks the daemons one after the other until one responds. The error is that of the last one.
func firstReply[T any](ctx context.Context, list []target, timeout time.Duration, f func(context.Context, *client) (T, error)) (value T, from target, err error) {
	for _, from = range list {
		value, err = f(ctx, newClient(from.address, timeout))
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			return value, from, err
		}
	}
	return value, from, err
}

// failure is a daemon without a usable response, for the output.
type failure struct {
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
	Reason  string `json:"reason"`
}

// splitReplies separates the values from the failures, writes a line for each failure, and returns the exit status of the failures.
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

// findBackend asks where a backend server runs and returns the daemon of that VM with what it knows about it.
func findBackend(ctx context.Context, t *targetFlags, id string) (at target, found admin.BackendServer, err error) {
	c, err := t.resolve(ctx)
	if err != nil {
		return at, found, err
	}
	place, _, err := firstReply(ctx, c.targets, t.timeout, func(ctx context.Context, c *client) (p admin.Placement, err error) {
		return p, c.getJSON(ctx, "/v1/backends/"+url.PathEscape(id), &p)
	})
	if isNotFound(err) {
		return at, found, fmt.Errorf("no service in force has a backend server %q", id)
	}
	if err != nil {
		return at, found, err
	}
	candidates := c.targets
	if place.VM.AdminAddress != "" {
		candidates = append([]target{{place.VM.AdminAddress, place.VM.VM}}, candidates...)
	}
	for _, at = range candidates {
		var st admin.Status
		st, err = getStatus(ctx, newClient(at.address, t.timeout))
		if err != nil || st.VM != place.VM.VM {
			continue
		}
		i := slices.IndexFunc(st.BackendServers, func(b admin.BackendServer) bool { return b.BackendServer == id })
		if i < 0 {
			return at, found, fmt.Errorf("the daemon of %s does not have backend server %q in force yet", st.VM, id)
		}
		return target{at.address, st.VM}, st.BackendServers[i], nil
	}
	if err == nil {
		err = &unreachableError{address: place.VM.VM, reason: "its admin listener cannot be reached from here; run cowslipctl on that VM, or name the listener with --admin"}
	}
	return at, found, fmt.Errorf("backend server %s runs on VM %s: %w", id, place.VM.VM, err)
}

// operatorName is the default of --operator: who runs the command, for the audit trail.
func operatorName() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if user := os.Getenv(name); user != "" {
			return user
		}
	}
	return "unknown"
}
