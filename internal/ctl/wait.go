package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// defaultWaitLimit is the default time limit of a wait. By design, a change is in force on all
// daemons within 16 s.
const defaultWaitLimit = 30 * time.Second

// pollInterval is the time between two polls of the daemons while a command waits.
const pollInterval = 250 * time.Millisecond

var waitCommand = command{
	name:    "wait",
	args:    "--revision N | --value NAME ... [--revision N] [FLAGS]",
	summary: "Wait until a published revision is in force on all daemons.",
	details: "--revision N is done when every daemon has the index in force at N or later, and every other value at the highest\n" +
		"revision that any daemon has in force. Publish the index last, and give its revision.\n" +
		"--value NAME --revision N is done when every daemon has that value in force at N or later. --value NAME alone is done\n" +
		"when all daemons have the same revision of it, which is also so before the first of them has read the new one.\n\n" +
		"At the time limit the daemons that lag are named, and the exit status is 4. Exit status 1 means that the revision is in\n" +
		"force, but documents of it were not taken. Exit status 3 means that VMs without an admin address were not asked.\n" +
		"The command publishes nothing: that is done with the platform's own means.\n\n" + targetDetails,
	examples: []string{
		"cowslipctl wait --revision 1234 --fleet                            # a publication, on all daemons",
		"cowslipctl wait --value contracts/007 --revision 1230 --fleet      # one value",
		"cowslipctl wait --value vms --value datacentres --documents fleet/ # the same revision everywhere",
		"cowslipctl wait --revision 1234 --fleet --limit 2m --output json   # for scripts",
	},
	setup: func(p *flaggy.Parser) runFunc {
		t := new(targetFlags)
		t.register(p)
		q := waitFlags{limit: defaultWaitLimit}
		p.UInt64(&q.revision, "r", "revision", "revision that must be in force")
		p.StringSlice(&q.values, "", "value", "name of a value, such as vms or contracts/007; may be repeated")
		p.Duration(&q.limit, "", "limit", "time limit of the whole wait (default "+defaultWaitLimit.String()+")")
		return func(out *output, args []string) int { return runWait(out, args, t, q) }
	},
}

// waitFlags are the flags that describe what to wait for, and how long.
type waitFlags struct {
	revision uint64
	values   []string
	limit    time.Duration
}

// waitState is how far one daemon is. Lacks names the values that it lacks, or the error of the
// call. It is empty when the daemon has everything in force.
type waitState struct {
	VM      string `json:"vm,omitempty"`
	Address string `json:"address"`
	Lacks   string `json:"lacks,omitempty"`
	// NotTaken are the documents that this daemon has rejected.
	NotTaken []contract.Finding `json:"notTaken,omitempty"`
}

type waitResult struct {
	InForce bool              `json:"inForce"`
	Waited  contract.Duration `json:"waited"`
	Daemons []waitState       `json:"daemons"`
	// NotAsked are the VMs without an admin address that can be reached from here.
	NotAsked []string `json:"notAsked"`
}

// snapshot is the status of one daemon and its revisions in force.
type snapshot struct {
	status    admin.Status
	revisions admin.Revisions
}

func getSnapshot(ctx context.Context, c *client) (s snapshot, err error) {
	if err = c.getJSON(ctx, "/v1/revisions", &s.revisions); err != nil {
		return s, err
	}
	s.status, err = getStatus(ctx, c)
	return s, err
}

func runWait(out *output, args []string, t *targetFlags, q waitFlags) int {
	if len(args) > 0 || q.revision == 0 && len(q.values) == 0 {
		return out.failUsage("give --revision, --value, or both")
	}
	if index := slices.IndexFunc(q.values, func(v string) bool { return !isValueName(v) }); index >= 0 {
		return out.failUsage("%q is not a value; write for example vms, services/12, contracts/007 or index", q.values[index])
	}
	// waitCtx ends the pauses, not the calls. If it cut off a round of calls, the result would
	// report every daemon as unreachable.
	waitCtx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	ctx := context.Background()
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	list.warnUnaddressable(out)
	start := time.Now()
	result := waitResult{NotAsked: list.unaddressable}
	for {
		result.Daemons = q.evaluate(queryAll(ctx, list.targets, t.timeout, getSnapshot))
		result.InForce = !slices.ContainsFunc(result.Daemons, func(s waitState) bool { return s.Lacks != "" })
		if result.InForce || !pause.For(waitCtx, pollInterval) {
			break
		}
	}
	result.Waited = contract.Duration(time.Since(start).Round(time.Millisecond))
	out.result(result, func(w io.Writer) { writeWait(w, result) })
	return result.status(out, q.limit)
}

func isValueName(name string) bool {
	return name == contract.ValueIndex || slices.Contains(contract.ValueNames(), name)
}

func (r waitResult) status(out *output, limit time.Duration) int {
	switch {
	case !r.InForce:
		return out.fail(ExitTimeout, "not in force on all daemons within %s", limit)
	case len(r.NotAsked) > 0:
		return ExitUnreachable
	case slices.ContainsFunc(r.Daemons, func(s waitState) bool { return len(s.NotTaken) > 0 }):
		return ExitFindings
	default:
		return ExitOK
	}
}

// evaluate compares the revisions that the daemons have in force with those that the flags ask for.
func (q waitFlags) evaluate(replies []reply[snapshot]) []waitState {
	highest := map[string]uint64{}
	for _, r := range replies {
		for name, revision := range r.value.revisions.Values {
			highest[name] = max(highest[name], revision)
		}
	}
	wanted := map[string]uint64{}
	switch {
	case len(q.values) == 0:
		wanted = maps.Clone(highest)
		wanted[contract.ValueIndex] = q.revision
	case q.revision > 0:
		for _, name := range q.values {
			wanted[name] = q.revision
		}
	default:
		for _, name := range q.values {
			wanted[name] = max(highest[name], 1)
		}
	}
	states := make([]waitState, len(replies))
	for i, r := range replies {
		states[i] = waitState{VM: cmp.Or(r.value.status.VM, r.target.vm), Address: r.target.address, NotTaken: r.value.status.Findings}
		if r.err != nil {
			states[i].Lacks = r.err.Error()
		} else {
			states[i].Lacks = lacksText(r.value, wanted)
		}
	}
	return states
}

// lacksText names the values whose revision in force is lower than wanted, and those whose newer
// revision the daemon refused, with the reason. It returns an empty string when there are none.
func lacksText(s snapshot, wanted map[string]uint64) string {
	refused := map[string]string{}
	for _, r := range s.status.Configuration.Refused {
		refused[r.Value] = fmt.Sprintf("revision %d is refused: %s", r.Revision, r.Reason)
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		text := ""
		if got := s.revisions.Values[name]; got < wanted[name] {
			text = fmt.Sprintf("%s at %d, wanted %d", name, got, wanted[name])
		}
		if reason := refused[name]; reason != "" {
			text = strings.TrimPrefix(text+"; ", "; ") + name + " " + reason
		}
		if text != "" {
			list = append(list, text)
		}
	}
	const maxShown = 3
	if len(list) > maxShown {
		list = append(list[:maxShown], fmt.Sprintf("%d more values", len(list)-maxShown))
	}
	return strings.Join(list, "; ")
}

func writeWait(w io.Writer, r waitResult) {
	if r.InForce {
		fmt.Fprintf(w, "in force on %d daemons after %s\n", len(r.Daemons), formatDuration(time.Duration(r.Waited)))
	}
	for _, s := range r.Daemons {
		name := target{s.Address, s.VM}
		if s.Lacks != "" {
			fmt.Fprintf(w, "lags: %s: %s\n", name, s.Lacks)
		}
		for _, f := range s.NotTaken {
			fmt.Fprintf(w, "not taken: %s: %s: %s\n", name, f.Ref, strings.TrimSuffix(string(f.Reason)+": "+f.Detail, ": "))
		}
	}
}
