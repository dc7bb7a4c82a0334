package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

var overrideNames = []string{"pin-in-service", "force-out", "none"}

var overrideCommand = command{
	name:    "override",
	args:    "ID pin-in-service|force-out|none [FLAGS]",
	summary: "Set or clear an operator's decision on a backend server.",
	details: "pin-in-service keeps it in service whatever the evidence. force-out wants it out whatever the evidence; the floor of the\n" +
		"service still holds, so it goes out only when enough siblings grant reservations. none leaves the decision to the\n" +
		"evidence. The override is kept in the memory of the daemon and is lost when the daemon stops.\n\n" + targetDetails,
	examples: []string{
		"cowslipctl override portal-1 force-out        # before work on a backend server",
		"cowslipctl override portal-1 none             # afterwards",
		"cowslipctl override portal-1 pin-in-service --admin 10.0.0.17:7002",
	},
	setup: func(p *flaggy.Parser) runFunc {
		t := new(targetFlags)
		t.register(p)
		operator := operatorName()
		p.String(&operator, "", "operator", "name of the operator, for the audit trail (default: the user)")
		return func(out *output, args []string) int { return runOverride(out, args, t, operator) }
	},
}

type overrideResult struct {
	VM            string `json:"vm"`
	BackendServer string `json:"backendServer"`
	From          string `json:"from"`
	To            string `json:"to"`
	// Mode is the mode before the override. It changes within a second if the reservations allow
	// it.
	Mode admin.Mode `json:"mode"`
}

func runOverride(out *output, args []string, t *targetFlags, operator string) int {
	if len(args) != 2 || !slices.Contains(overrideNames, args[1]) {
		return out.failUsage("name a backend server and one of pin-in-service, force-out and none")
	}
	id, to := args[0], args[1]
	ctx := context.Background()
	daemon, backend, err := findBackend(ctx, t, id)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	path := "/v1/backends/" + url.PathEscape(id) + "/override"
	if err := newClient(daemon.address, t.timeout).sendJSON(ctx, http.MethodPut, path, admin.OverrideRequest{Override: to, Operator: operator}, nil); err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	result := overrideResult{daemon.vm, id, backend.Ejection.Override, to, backend.Ejection.State.Mode}
	out.result(result, func(w io.Writer) {
		fmt.Fprintf(w, "override of backend server %s on VM %s: %s to %s; its mode was %s\n", id, daemon.vm, result.From, to, result.Mode)
		fmt.Fprintf(w, "cowslipctl explain backend %s shows its effect\n", id)
	})
	return ExitOK
}
