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

// defaultWait is the default time limit of a wait. A change is in force everywhere within 16 s by design.
const defaultWait = 30 * time.Second

// pollInterval is the time between two questions to a daemon while a command waits.
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
		q := waitQuestion{limit: defaultWait}
		p.UInt64(&q.revision, "r", "revision", "revision that must be in force")
		p.StringSlice(&q.values, "", "value", "name of a value, such as vms or contracts/007; may be repeated")
		p.Duration(&q.limit, "", "limit", "time limit of the whole wait (default "+defaultWait.String()+")")
		return func(out *output, args []string) int { return runWait(out, args, t, q) }
	},
}

type waitQuestion struct {
	revision uint64
	values   []string
	limit    time.Duration
}

// waitState is what one daemon lacks. Lacks is empty when it lacks nothing.
type waitState struct {
	VM      string `json:"vm,omitempty"`
	Address string `json:"address"`
	Lacks   string `json:"lacks,omitempty"`
	// NotTaken are documents that this daemon has not taken.
	NotTaken []contract.Finding `json:"notTaken,omitempty"`
}

type waitResult struct {
	InForce bool              `json:"inForce"`
	Waited  contract.Duration `json:"waited"`
	Daemons []waitState       `json:"daemons"`
	// NotAsked are VMs without an admin address that can be reached.
	NotAsked []string `json:"notAsked"`
}

// held is what one daemon has in force.
type held struct {
	status    admin.Status
	revisions admin.Revisions
}

func getHeld(ctx context.Context, c *client) (h held, err error) {
	if err = c.getJSON(ctx, "/v1/revisions", &h.revisions); err != nil {
		return h, err
	}
	h.status, err = getStatus(ctx, c)
	return h, err
}

func runWait(out *output, args []string, t *targetFlags, q waitQuestion) int {
	if len(args) > 0 || q.revision == 0 && len(q.values) == 0 {
		return out.usage("give --revision, --value, or both")
	}
	if index := slices.IndexFunc(q.values, func(v string) bool { return !isValueName(v) }); index >= 0 {
		return out.usage("%q is not a value; write for example vms, services/12, contracts/007 or index", q.values[index])
	}
	// The limit ends the pauses, not the calls: a round that it cut would call every daemon unreachable.
	limit, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	ctx := context.Background()
	c, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	c.warn(out)
	start := time.Now()
	result := waitResult{NotAsked: c.notAskable}
	for {
		result.Daemons = q.judge(ask(ctx, c.targets, t.timeout, getHeld))
		result.InForce = !slices.ContainsFunc(result.Daemons, func(s waitState) bool { return s.Lacks != "" })
		if result.InForce || !pause.For(limit, pollInterval) {
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
		return out.fail(StatusTimeout, "not in force on all daemons within %s", limit)
	case len(r.NotAsked) > 0:
		return StatusUnreachable
	case slices.ContainsFunc(r.Daemons, func(s waitState) bool { return len(s.NotTaken) > 0 }):
		return StatusFindings
	default:
		return StatusOK
	}
}

// judge compares what the daemons have in force.
func (q waitQuestion) judge(replies []reply[held]) []waitState {
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
			states[i].Lacks = lacks(r.value, wanted)
		}
	}
	return states
}

// lacks names the values that are not in force as wanted, a refused one with the reason.
func lacks(h held, wanted map[string]uint64) string {
	refused := map[string]string{}
	for _, r := range h.status.Configuration.Refused {
		refused[r.Value] = fmt.Sprintf("revision %d is refused: %s", r.Revision, r.Reason)
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		text := ""
		if got := h.revisions.Values[name]; got < wanted[name] {
			text = fmt.Sprintf("%s at %d, wanted %d", name, got, wanted[name])
		}
		if reason := refused[name]; reason != "" {
			text = strings.TrimPrefix(text+"; ", "; ") + name + " " + reason
		}
		if text != "" {
			list = append(list, text)
		}
	}
	const shown = 3
	if len(list) > shown {
		list = append(list[:shown], fmt.Sprintf("%d more values", len(list)-shown))
	}
	return strings.Join(list, "; ")
}

func writeWait(w io.Writer, r waitResult) {
	if r.InForce {
		fmt.Fprintf(w, "in force on %d daemons after %s\n", len(r.Daemons), short(time.Duration(r.Waited)))
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
