package ctl

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// defaultDrainLimit is above the default of limits.drainStopLimit, 60 s, with the end of reservations before it.
const defaultDrainLimit = 90 * time.Second

var drainCommand = command{
	name:    "drain",
	args:    "[--admin HOST:PORT] [--yes] [--wait] [FLAGS]",
	summary: "Stop one daemon gracefully: it takes no new work, finishes what is in flight, and exits.",
	details: "The command shows what will happen and asks, unless --yes is given. A drain cannot be taken back: the daemon must be\n" +
		"started again. Its backend servers get no requests until then. Drain one VM at a time.\n" +
		"A warning names each service that would be left with fewer backend servers in service than its floor. The floor bounds\n" +
		"ejection, not planned stops, so the drain goes on.\n" +
		"--wait ends when the daemon has stopped; exit status 4 means that it was still there at --limit.",
	examples: []string{
		"cowslipctl drain                                       # the daemon on this VM, after a question",
		"cowslipctl drain --admin 10.0.0.17:7002 --yes --wait   # for scripts",
	},
	setup: func(p *flaggy.Parser) runFunc {
		d := drainFlags{address: DefaultAdminAddress, timeout: DefaultClientTimeout, limit: defaultDrainLimit, operator: operatorName()}
		p.String(&d.address, "a", "admin", "host:port of the admin listener (default "+DefaultAdminAddress+")")
		p.Bool(&d.yes, "y", "yes", "do not ask")
		p.Bool(&d.wait, "w", "wait", "wait until the daemon has stopped")
		p.Duration(&d.limit, "", "limit", "time limit of --wait (default "+defaultDrainLimit.String()+")")
		p.String(&d.operator, "", "operator", "who asks, for the audit trail (default: the user)")
		p.Duration(&d.timeout, "", "timeout", "time limit of one call to the daemon (default "+DefaultClientTimeout.String()+")")
		return func(out *output, args []string) int { return runDrain(out, args, d) }
	},
}

type drainFlags struct {
	address, operator string
	yes, wait         bool
	limit, timeout    time.Duration
}

type drainResult struct {
	VM string `json:"vm"`
	// Stopped is false when the command did not wait, or the daemon was still there at the limit.
	Stopped bool `json:"stopped"`
	// BelowFloor are the services that the drain leaves below their floor, or of which that is not known.
	BelowFloor []floorWarning `json:"belowFloor"`
	// FloorsNotChecked is the reason why the floors could not be compared, empty when they were.
	FloorsNotChecked string `json:"floorsNotChecked,omitempty"`
}

func runDrain(out *output, args []string, d drainFlags) int {
	if len(args) > 0 {
		return out.usage("name the daemon with --admin")
	}
	ctx := context.Background()
	c := newClient(d.address, d.timeout)
	st, err := getStatus(ctx, c)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	result := drainResult{VM: st.VM, BelowFloor: []floorWarning{}}
	writeDrainPlan(out.Err, d.address, st)
	if warnings, err := floorsAfterDrain(ctx, c, st, d.timeout); err != nil {
		result.FloorsNotChecked = err.Error()
		fmt.Fprintf(out.Err, "  WARNING: the floors of its services could not be checked: %v\n", err)
	} else {
		result.BelowFloor = append(result.BelowFloor, warnings...)
		writeFloorWarnings(out.Err, warnings)
	}
	if !d.yes && !confirmed(out) {
		return out.fail(StatusUsage, "not confirmed, nothing done; --yes drains without a question")
	}
	if err := c.sendJSON(ctx, http.MethodPost, "/v1/drain", admin.DrainRequest{Operator: d.operator}, nil); err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	status := StatusOK
	if d.wait {
		if result.Stopped = waitStopped(ctx, c, d.limit, st.Incarnation); !result.Stopped {
			status = out.fail(StatusTimeout, "the daemon of %s has not stopped within %s", st.VM, d.limit)
		}
	}
	out.result(result, func(w io.Writer) {
		if result.Stopped {
			fmt.Fprintf(w, "the daemon of %s has stopped\n", st.VM)
		} else {
			fmt.Fprintf(w, "the daemon of %s is draining\n", st.VM)
		}
	})
	return status
}

// writeDrainPlan says what a drain does to this daemon.
func writeDrainPlan(w io.Writer, address string, st admin.Status) {
	fmt.Fprintf(w, "Drain of the daemon of %s at %s:\n", st.VM, address)
	if st.Leaving {
		fmt.Fprintln(w, "  It is leaving already.")
	}
	inFlight := 0
	for _, b := range st.BackendServers {
		inFlight += b.InFlight
	}
	fmt.Fprintf(w, "  %d backend servers (%s) with %d requests in flight get no new work until the daemon is started again.\n",
		len(st.BackendServers), countModes(st.BackendServers), inFlight)
	fmt.Fprintln(w, "  Reservations that it granted end first, within 3 s. Then requests in flight end, at most limits.drainStopLimit of its")
	fmt.Fprintln(w, "  settings. The process exits.")
	if n := st.Configuration.Members.ListedLeaving; n > 0 {
		fmt.Fprintf(w, "  The platform lists %d VMs as leaving already. Drain one VM at a time.\n", n)
	}
}

func confirmed(out *output) bool {
	fmt.Fprint(out.Err, "Drain it? [y/N] ")
	answer, _ := bufio.NewReader(out.In).ReadString('\n') // an end of the input is no
	fmt.Fprintln(out.Err)
	answer = strings.ToLower(strings.TrimSpace(answer))
	return answer == "y" || answer == "yes"
}

// waitStopped waits until nothing accepts connections at the address, or a new process does.
func waitStopped(ctx context.Context, c *client, limit time.Duration, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for pause.For(ctx, pollInterval) {
		st, err := getStatus(ctx, c)
		var unreachable *unreachableError
		if errors.As(err, &unreachable) && ctx.Err() == nil && !unreachable.timeout || err == nil && st.Incarnation != incarnation {
			return true
		}
	}
	return false
}
