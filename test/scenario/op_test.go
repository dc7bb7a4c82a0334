package scenario

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// singleOpLoad is the load that holds the operations of the command op, so that check covers them.
const singleOpLoad = "op"

// cmdOp implements three commands that send one operation step by step. "op issue NAME VM" obtains
// an operation key. "op send NAME VM OUTCOME..." sends the operation once under that key and
// requires one of the outcomes. "op until NAME VM OUTCOME..." sends it until one of the outcomes
// results.
func cmdOp(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: op issue NAME VM, op send|until NAME VM OUTCOME...")
	}
	l := h.loads[singleOpLoad]
	if l == nil {
		l = &load{
			name: singleOpLoad, kind: kindOperation, harness: h, apiKey: "shop-key", client: &http.Client{Transport: &http.Transport{}},
			cancel: func() {}, startedAt: time.Now(),
		}
		h.loads[singleOpLoad] = l
	}
	l.vms = []string{args[2]}
	name := singleOpLoad + "-" + args[1]
	want := expectation{method: http.MethodPost, path: "/orders/" + name, echo: name, body: strings.Repeat(name+" ", 100)}
	if args[0] == "issue" {
		r := &record{name: name}
		if l.sendUntilAdmitted(context.Background(), r, 0, want.request, want).operationKey == "" {
			ts.Fatalf("VM issued no operation key: %v", r.attempts)
		}
		l.addRecord(r)
		return
	}
	at := slices.IndexFunc(l.records, func(r *record) bool { return r.name == name })
	if at < 0 {
		ts.Fatalf("no operation key was issued for operation %s", args[1])
	}
	r := l.records[at]
	want.operationKey = r.attempts[0].operationKey
	sendOnce := func() (bool, string) {
		a := l.sendUntilAdmitted(context.Background(), r, 0, want.request, want)
		r.answered = r.answered || a.isAnswered()
		return slices.Contains(args[3:], a.outcome), a.String()
	}
	if args[0] == "until" {
		h.awaitCondition(ts, strings.Join(args, " "), sendOnce)
	} else if ok, seen := sendOnce(); !ok {
		ts.Fatalf("op %s: want outcome %v, got %v", args[1], args[3:], seen)
	}
}
