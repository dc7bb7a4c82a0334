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

// defaultDrainLimit is the default of --limit. It exceeds the longest drain with default settings:
// granted reservations end first, then limits.drainStopLimit (60 s by default) bounds the requests
// in flight.
const defaultDrainLimit = 90 * time.Second

var drainCommand = command{
	name:    "drain",
	args:    "[--admin HOST:PORT] [--yes] [--wait] [FLAGS]",
	summary: "Stop one daemon gracefully: it takes no new work, finishes what is in flight, and exits.",
	details: "The command shows what will happen and asks for confirmation, unless --yes is given. A drain cannot be taken back:\n" +
		"the daemon must be started again. Its backend servers get no requests until then. Drain one VM at a time.\n" +
		"A warning names each service that would be left with fewer backend servers in service than its floor. The floor bounds\n" +
		"ejection, not planned stops, so the drain goes on.\n" +
		"--wait ends when the daemon has stopped; exit status 4 means that it was still there at --limit.",
	examples: []string{
		"cowslipctl drain                                       # the daemon on this VM, after a confirmation",
		"cowslipctl drain --admin 10.0.0.17:7002 --yes --wait   # for scripts",
	},
	setup: func(p *flaggy.Parser) runFunc {
		d := drainFlags{address: DefaultAdminAddress, timeout: DefaultClientTimeout, limit: defaultDrainLimit, operator: operatorName()}
		p.String(&d.address, "a", "admin", "host:port of the admin listener (default "+DefaultAdminAddress+")")
		p.Bool(&d.yes, "y", "yes", "do not ask")
		p.Bool(&d.wait, "w", "wait", "wait until the daemon has stopped")
		p.Duration(&d.limit, "", "limit", "time limit of --wait (default "+defaultDrainLimit.String()+")")
		p.String(&d.operator, "", "operator", "name of the operator, for the audit trail (default: the user)")
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
	// Stopped is false when the command did not wait, or when the daemon still ran at the time
	// limit.
	Stopped bool `json:"stopped"`
	// BelowFloor are the services that the drain leaves below their floor, or may leave below it.
	BelowFloor []floorWarning `json:"belowFloor"`
	// FloorsNotChecked is the error that prevented the check of the floors, empty when it was done.
	FloorsNotChecked string `json:"floorsNotChecked,omitempty"`
}

func runDrain(out *output, args []string, d drainFlags) int {
	if len(args) > 0 {
		return out.failUsage("name the daemon with --admin")
	}
	ctx := context.Background()
	c := newClient(d.address, d.timeout)
	st, err := getStatus(ctx, c)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	result := drainResult{VM: st.VM, BelowFloor: []floorWarning{}}
	writeDrainPlan(out.Err, d.address, st)
	if warnings, err := drainFloorWarnings(ctx, c, st, d.timeout); err != nil {
		result.FloorsNotChecked = err.Error()
		fmt.Fprintf(out.Err, "  WARNING: the floors of its services could not be checked: %v\n", err)
	} else {
		result.BelowFloor = append(result.BelowFloor, warnings...)
		writeFloorWarnings(out.Err, warnings)
	}
	if !d.yes && !confirmDrain(out) {
		return out.fail(ExitUsage, "not confirmed, nothing done; --yes drains without confirmation")
	}
	if err := c.sendJSON(ctx, http.MethodPost, "/v1/drain", admin.DrainRequest{Operator: d.operator}, nil); err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	status := ExitOK
	if d.wait {
		if result.Stopped = waitUntilStopped(ctx, c, d.limit, st.Incarnation); !result.Stopped {
			status = out.fail(ExitTimeout, "the daemon of %s has not stopped within %s", st.VM, d.limit)
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

// writeDrainPlan writes what a drain of this daemon will do.
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
		len(st.BackendServers), modeCountsText(st.BackendServers), inFlight)
	fmt.Fprintln(w, "  Reservations that it granted end first, within 3 s. Then requests in flight end, at most limits.drainStopLimit of its")
	fmt.Fprintln(w, "  settings. The process exits.")
	if n := st.Configuration.Members.ListedLeaving; n > 0 {
		fmt.Fprintf(w, "  The platform lists %d VMs as leaving already. Drain one VM at a time.\n", n)
	}
}

// confirmDrain asks the operator and reports whether the answer is yes.
func confirmDrain(out *output) bool {
	fmt.Fprint(out.Err, "Drain it? [y/N] ")
	answer, _ := bufio.NewReader(out.In).ReadString('\n') // end of input counts as no
	fmt.Fprintln(out.Err)
	answer = strings.ToLower(strings.TrimSpace(answer))
	return answer == "y" || answer == "yes"
}

// waitUntilStopped polls the daemon until its address refuses connections or a process with another
// incarnation responds there. It returns false when neither happens within limit. A call that times
// out isn't a sign of a stopped daemon.
func waitUntilStopped(ctx context.Context, c *client, limit time.Duration, incarnation uint64) bool {
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
