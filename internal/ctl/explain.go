package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

var explainCommand = command{
	name:    "explain",
	args:    "request --customer C --path P [--method M] | backend ID [FLAGS]",
	summary: "Show what would happen to a request, or why a backend server is in its mode.",
	details: "explain request shows the route, the limits and the backend servers as the daemon sees them. No request is sent.\n" +
		"Exit status 1 means that the request would be refused.\n\n" +
		"explain backend asks the daemon of the VM where the backend server runs. Exit status 1 means that it is out.\n\n" + targetDetails,
	examples: []string{
		"cowslipctl explain request --customer hotel-borg --path /stock/7",
		"cowslipctl explain request --customer hotel-borg --path /orders --method POST --admin 10.0.0.17:7002",
		"cowslipctl explain backend portal-1",
		"cowslipctl explain backend portal-1 --output json  # for scripts",
	},
	setup: func(p *flaggy.Parser) runFunc {
		t := new(targetFlags)
		t.register(p)
		var q requestFlags
		p.String(&q.customer, "c", "customer", "customer of the request")
		p.String(&q.path, "p", "path", "path of the request")
		p.String(&q.method, "m", "method", "method of the request (default GET)")
		return func(out *output, args []string) int {
			switch {
			case len(args) == 1 && args[0] == "request":
				return explainRequest(out, t, q)
			case len(args) == 2 && args[0] == "backend":
				return explainBackend(out, t, args[1])
			default:
				return out.failUsage("expected the arguments request, or backend ID")
			}
		}
	},
}

// requestFlags are the flags that describe the request to explain.
type requestFlags struct{ customer, path, method string }

// explainPath returns the path and query of the call to the admin API.
func (q requestFlags) explainPath() string {
	v := url.Values{"customer": {q.customer}, "path": {q.path}}
	if q.method != "" {
		v.Set("method", strings.ToUpper(q.method))
	}
	return "/v1/explain?" + v.Encode()
}

type explainResult struct {
	Decisions  []admin.Decision `json:"decisions"`
	NotReached []failure        `json:"notReached"`
}

func explainRequest(out *output, t *targetFlags, q requestFlags) int {
	if q.customer == "" || !strings.HasPrefix(q.path, "/") {
		return out.failUsage("name --customer, and --path with a path that begins with /")
	}
	ctx := context.Background()
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	decisions, failures, status := splitReplies(out, queryAll(ctx, list.targets, t.timeout, func(ctx context.Context, c *client) (d admin.Decision, err error) {
		return d, c.getJSON(ctx, q.explainPath(), &d)
	}))
	list.warnUnaddressable(out)
	out.result(explainResult{decisions, failures}, func(w io.Writer) {
		for _, d := range decisions {
			writeDecision(w, d)
		}
	})
	for _, d := range decisions {
		if status == ExitOK && d.Refusal != "" {
			status = ExitFindings
		}
	}
	return status
}

func writeDecision(w io.Writer, d admin.Decision) {
	if d.Refusal != "" {
		fmt.Fprintf(w, "%s would refuse the request of customer %s as %s: %s\n", d.VM, d.Customer, d.Refusal, d.Detail)
	} else {
		fmt.Fprintf(w, "%s would serve the request of customer %s by service %s\n", d.VM, d.Customer, d.Service)
	}
	if d.Route == "" {
		return
	}
	retry := "a retry is allowed only when it is certain that the request did not run"
	if d.Repeatable {
		retry = "a retry is allowed although the first try may have run"
	}
	rows := [][]string{
		{"route", fmt.Sprintf("%s, deadline %s", d.Route, formatContractDuration(d.Deadline))},
		{"at most once", yesNo(d.AtMostOnce)},
		{"retry", retry},
		{"limits", limitsText(d.Limits) + " for the whole fleet"},
	}
	if d.Floor > 0 {
		rows = append(rows, []string{"floor", fmt.Sprintf("ejection leaves %d of %d backend servers in service", d.Floor, len(d.Candidates))})
	}
	writeTable(w, rows...)
	if len(d.Candidates) == 0 {
		return
	}
	table := [][]string{{"BACKEND SERVER", "VM", "DATA CENTRE", "DISTANCE", "MODE", "USABLE", "IN FLIGHT", "LATENCY", "SCORE", "REASON"}}
	for _, c := range d.Candidates {
		latency := "unknown"
		if c.Latency > 0 {
			latency = formatDuration(time.Duration(c.Latency))
		}
		table = append(table, []string{
			c.BackendServer, c.VM, c.DataCentre, c.Tier, orDash(c.Mode), yesNo(c.Usable), fmt.Sprintf("%d of %d", c.InFlight, c.Allowed),
			latency, fmt.Sprintf("%.3g", c.Score), orDash(c.Reason),
		})
	}
	writeTable(w, table...)
}

func explainBackend(out *output, t *targetFlags, id string) int {
	daemon, backend, err := findBackend(context.Background(), t, id)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	out.result(backendResult{daemon.vm, backend}, func(w io.Writer) { writeEjection(w, daemon, backend) })
	return exitStatusOfBackend(backend)
}

func writeEjection(w io.Writer, daemon target, b admin.BackendServer) {
	e := b.Ejection
	fmt.Fprintf(w, "backend server %s of service %s on VM %s, address %s\n", b.BackendServer, b.Service, daemon.vm, b.Address)
	writeTable(w,
		[]string{"mode", fmt.Sprintf("%s since %s", e.State.Mode, formatTime(e.Since))},
		[]string{"reason", e.Reason},
		[]string{"override", e.Override},
		[]string{"latency evidence", evidenceText(e.Latency)},
		[]string{"", fmt.Sprintf("recent service time %.2f times the baseline of %s from %d entries", e.SlowRatio, formatContractDuration(e.BaselineMedian), e.BaselineEntries)},
		[]string{"error evidence", evidenceText(e.Errors)},
		[]string{"", fmt.Sprintf("recent error share %.4f, normal %.4f", e.ErrorShare, e.NormalErrorShare)},
		[]string{"hold-off", holdOffText(e)},
		[]string{"probes", probesText(e)},
		[]string{"reservations", reservationText(b)},
		[]string{"load", fmt.Sprintf("%d in flight, %d waiting, %d of %d slots allowed", b.InFlight, b.Waiting, e.State.Allowed, b.Slots)},
		[]string{"history", fmt.Sprintf("%d ejections and %d pauses of the process since the daemon started", e.Ejections, e.Pauses)},
	)
}

func evidenceText(e admin.Evidence) string {
	text := fmt.Sprintf("%.1f of %g", e.Value, e.Threshold)
	if e.Value > 0 {
		text += fmt.Sprintf(", from %d requests since %s", e.Samples, formatTime(e.Since))
	}
	return text
}

// probesText shows the number of passed probes only in the mode probing. In other modes the count
// is left over from the last ejection.
func probesText(e admin.Ejection) string {
	if e.State.Mode != admin.ModeProbing {
		return fmt.Sprintf("%d in a row are needed after a hold-off", e.ProbesNeeded)
	}
	return fmt.Sprintf("%d passed in a row of %d needed", e.ProbesPassed, e.ProbesNeeded)
}

func holdOffText(e admin.Ejection) string {
	next := "the next one lasts " + formatContractDuration(e.NextHoldOff)
	if e.State.Mode == admin.ModeEjected && e.State.Remaining > 0 {
		return "ends in " + formatContractDuration(e.State.Remaining) + "; " + next
	}
	return "none running; " + next
}

// reservationText describes the reservations in both directions: those that siblings granted to
// this backend server, and those that it granted to siblings. Siblings are the other backend
// servers of the service.
func reservationText(b admin.BackendServer) string {
	var parts []string
	if b.Ejection.State.Permit > 0 {
		parts = append(parts, "those held let it be out for "+formatContractDuration(b.Ejection.State.Permit)+", renewed while it is out")
	} else {
		parts = append(parts, "none held, so it must stay in service")
	}
	if time.Now().Before(b.HeldInServiceUntil) {
		parts = append(parts, "granted to siblings until "+formatTime(b.HeldInServiceUntil)+", so it cannot be ejected before")
	} else {
		parts = append(parts, "none granted to siblings")
	}
	return strings.Join(parts, "; ")
}
