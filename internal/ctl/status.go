package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

var statusCommand = command{
	name:    "status",
	args:    "[daemon | backend ID | service NAME | customer NAME] [FLAGS]",
	summary: "Show the state of daemons, of a backend server, of a service or of a customer.",
	details: "Without arguments one line for each daemon, then the problems. Exit status 1 means that a daemon reports a problem,\n" +
		"that the backend server is out, or that fewer backend servers of the service are in service than its floor.\n\n" + targetDetails,
	examples: []string{
		"cowslipctl status                                      # the daemon on this VM",
		"cowslipctl status --fleet --admin 10.0.0.17:7002       # all daemons that this one knows",
		"cowslipctl status --documents fleet/                   # all VMs of the documents",
		"cowslipctl status daemon --admin 10.0.0.17:7002        # all about one daemon",
		"cowslipctl status backend portal-1                     # where it runs, its mode and load",
		"cowslipctl status service buyer-portal --output json   # its backend servers, for scripts",
		"cowslipctl status customer hotel-borg                  # the contract in force",
	},
	setup: func(p *flaggy.Parser) runFunc {
		t := new(targetFlags)
		t.register(p)
		return func(out *output, args []string) int { return runStatus(out, args, t) }
	},
}

func runStatus(out *output, args []string, t *targetFlags) int {
	ctx := context.Background()
	switch {
	case len(args) == 0, len(args) == 1 && args[0] == "daemon":
		return statusOfDaemons(ctx, out, t, len(args) == 1)
	case len(args) == 2 && args[0] == "backend":
		return statusOfBackend(ctx, out, t, args[1])
	case len(args) == 2 && args[0] == "service":
		return statusOfService(ctx, out, t, args[1])
	case len(args) == 2 && args[0] == "customer":
		return statusOfCustomer(ctx, out, t, args[1])
	default:
		return out.failUsage("expected no arguments, or daemon, backend ID, service NAME or customer NAME")
	}
}

type daemonsResult struct {
	Daemons    []admin.Status `json:"daemons"`
	Problems   []string       `json:"problems"`
	NotReached []failure      `json:"notReached"`
}

func statusOfDaemons(ctx context.Context, out *output, t *targetFlags, detailed bool) int {
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	daemons, failures, status := splitReplies(out, queryAll(ctx, list.targets, t.timeout, getStatus))
	list.warnUnaddressable(out)
	result := daemonsResult{daemons, []string{}, failures}
	for _, st := range daemons {
		result.Problems = append(result.Problems, problemsOf(st)...)
	}
	out.result(result, func(w io.Writer) {
		if detailed {
			for _, st := range daemons {
				writeDaemon(w, st)
			}
		} else if len(daemons) > 0 {
			writeDaemons(w, daemons)
		}
		for _, problem := range result.Problems {
			fmt.Fprintln(w, "problem: "+problem)
		}
	})
	if status == ExitOK && len(result.Problems) > 0 {
		return ExitFindings
	}
	return status
}

// problemsOf lists what an operator should look into at one daemon. An ejected backend server isn't
// a problem: ejection is there to handle it.
func problemsOf(st admin.Status) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, st.VM+": "+fmt.Sprintf(format, args...)) }
	conf := st.Configuration
	if !st.Ready {
		add("requests are refused as no_configuration: %s", st.Reason)
	}
	if conf.Held < conf.IndexValues {
		add("%d of %d values of the index are missing", conf.IndexValues-conf.Held, conf.IndexValues)
	}
	for _, r := range conf.Refused {
		add("value %s at revision %d is refused, revision %d stays in force: %s", r.Value, r.Revision, r.InForce, r.Reason)
	}
	for _, name := range conf.Conflicts {
		add("value %s was received with two different contents at the same revision", name)
	}
	for _, f := range st.Findings {
		add("%s of value %s was not taken: %s", f.Ref, f.Value, strings.TrimSuffix(string(f.Reason)+": "+f.Detail, ": "))
	}
	for _, conflict := range st.Conflicts {
		add("%s %s is claimed by %s and %s; %s keeps it", conflict.What, conflict.ID, conflict.InForce, conflict.Refused, conflict.InForce)
	}
	if conf.Platform.Down {
		add("the platform does not respond: %s", orDash(conf.Platform.LastError))
	}
	if conf.Platform.Behind {
		add("the platform serves revision %d, older than the fleet holds", conf.Platform.Revision)
	}
	for _, b := range st.BackendServers {
		if b.Ejection.Override != "none" {
			add("backend server %s has the override %s", b.BackendServer, b.Ejection.Override)
		}
	}
	return list
}

// writeDaemons writes a table with one row for each daemon.
func writeDaemons(w io.Writer, daemons []admin.Status) {
	highest := uint64(0)
	for _, st := range daemons {
		highest = max(highest, st.Configuration.IndexRevision)
	}
	rows := [][]string{{"VM", "DATA CENTRE", "REGION", "STATE", "INDEX", "VALUES", "PLATFORM", "BACKEND SERVERS"}}
	for _, st := range daemons {
		conf := st.Configuration
		index := fmt.Sprint(conf.IndexRevision)
		if conf.IndexRevision < highest {
			index += fmt.Sprintf(" (behind %d)", highest)
		}
		rows = append(rows, []string{
			st.VM, st.DataCentre, st.Region, stateText(st), index, fmt.Sprintf("%d/%d", conf.Held, conf.IndexValues),
			platformText(conf.Platform), modeCountsText(st.BackendServers),
		})
	}
	writeTable(w, rows...)
}

func stateText(st admin.Status) string {
	switch {
	case st.Leaving:
		return "leaving"
	case st.Ready:
		return "ready"
	default:
		return "waiting"
	}
}

func platformText(p admin.Platform) string {
	text := "never heard"
	if p.Heard {
		text = "heard " + formatContractDuration(p.Age) + " ago"
	}
	for _, flag := range []struct {
		isSet bool
		name  string
	}{{p.Reader, "reader"}, {p.Down, "down"}, {p.Behind, "behind"}} {
		if flag.isSet {
			text += ", " + flag.name
		}
	}
	return text
}

// modeCountsText returns the number of backend servers by mode, such as "3 active, 1 ejected".
func modeCountsText(list []admin.BackendServer) string {
	counts := map[string]int{}
	for _, b := range list {
		counts[b.Ejection.State.Mode.String()]++
	}
	var parts []string
	for _, mode := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[mode], mode))
	}
	return orDash(strings.Join(parts, ", "))
}

// writeDaemon writes all details of one daemon.
func writeDaemon(w io.Writer, st admin.Status) {
	conf, members := st.Configuration, st.Configuration.Members
	writeTable(w,
		[]string{"daemon", st.VM + " in " + st.DataCentre + ", " + st.Region},
		[]string{"state", strings.TrimSuffix(stateText(st)+", "+st.Reason, ", ")},
		[]string{"process", fmt.Sprintf("version %s, started %s, incarnation %016x", st.Version, formatTime(st.Started), st.Incarnation)},
		[]string{"configuration", fmt.Sprintf("index at revision %d, %d of %d values held, highest revision %d", conf.IndexRevision, conf.Held, conf.IndexValues, conf.HighestRevision)},
		[]string{"in force", fmt.Sprintf("%d customers, %d services, %d VMs", st.Customers, st.Services, st.VMs)},
		[]string{"platform", fmt.Sprintf("%s, %d calls, last revision named %d, %d values to read", platformText(conf.Platform), st.PlatformCalls, conf.Platform.Revision, conf.Platform.Unread)},
		[]string{"VM list", fmt.Sprintf("%d live, %d leaving, %d VMs in the configuration", members.ListedLive, members.ListedLeaving, members.Known)},
		[]string{"peers", orDash(strings.Join(members.Peers, ", "))},
		[]string{"not responding", orDash(strings.Join(members.Failing, ", "))},
		[]string{"readers here", orDash(strings.Join(members.Readers, ", "))},
		[]string{"peer messages", fmt.Sprintf("%d bytes sent, %d bytes received", conf.BytesSent, conf.BytesReceived)},
		[]string{"state kept", fmt.Sprintf("%d operation keys, limits of %d customers", st.Operations, st.LimitedCustomers)},
	)
	if len(st.BackendServers) > 0 {
		writeBackends(w, st.BackendServers, func(admin.BackendServer) string { return st.VM })
	}
}

func writeBackends(w io.Writer, list []admin.BackendServer, vmOf func(admin.BackendServer) string) {
	rows := [][]string{{"BACKEND SERVER", "SERVICE", "VM", "MODE", "SINCE", "IN FLIGHT", "WAITING", "ALLOWED", "REASON"}}
	for _, b := range list {
		state := b.Ejection.State
		rows = append(rows, []string{
			b.BackendServer, b.Service, vmOf(b), state.Mode.String(), formatTime(b.Ejection.Since), fmt.Sprint(b.InFlight), fmt.Sprint(b.Waiting),
			fmt.Sprintf("%d of %d", state.Allowed, b.Slots), b.Ejection.Reason,
		})
	}
	writeTable(w, rows...)
}
