package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// pollInterval is the time between two polls of a condition, and of the floor monitor.
const pollInterval = 50 * time.Millisecond

// condition reports whether something holds now. The text describes the observed state for error
// messages.
type condition func() (bool, string)

// conditions maps the first argument of await and holds to the function that parses the rest.
var conditions = map[string]func(*testscript.TestScript, *harness, []string) condition{
	"mode":     modeIs,
	"answered": moreAnswered,
	"limited":  moreLimited,
	"document": documentInForce,
	"content":  contentInForce,
	"told":     callerReceives,
	"conflict": func(_ *testscript.TestScript, h *harness, _ []string) condition {
		return h.anyStatusCondition(hasConflict)
	},
	"finding": hasFinding,
	"audit":   auditContains,
	"leaving": func(_ *testscript.TestScript, h *harness, a []string) condition {
		return h.statusCondition(a[0], isLeaving)
	},
	"ready": func(_ *testscript.TestScript, h *harness, a []string) condition {
		return h.statusCondition(a[0], isReady)
	},
	"platform-behind": func(_ *testscript.TestScript, h *harness, _ []string) condition {
		return h.anyStatusCondition(isPlatformBehind)
	},
	"platform-down": func(_ *testscript.TestScript, h *harness, _ []string) condition {
		return h.anyStatusCondition(isPlatformDown)
	},
	"exited":  hasExited,
	"running": isRunning,
	"parked":  isParked,
}

// cmdAwait implements "await CONDITION ARGS": it polls until the condition holds.
func cmdAwait(ts *testscript.TestScript, h *harness, args []string) {
	h.awaitCondition(ts, strings.Join(args, " "), parseCondition(ts, h, args))
}

// cmdHolds implements "[!] holds CONDITION ARGS": it requires that the condition holds now, or
// with ! that it does not.
func cmdHolds(ts *testscript.TestScript, neg bool, args []string) {
	if ok, seen := parseCondition(ts, harnessOf(ts), args)(); ok == neg {
		ts.Fatalf("condition %s is %v: %s", strings.Join(args, " "), ok, seen)
	}
}

func parseCondition(ts *testscript.TestScript, h *harness, args []string) condition {
	if len(args) < 1 || conditions[args[0]] == nil {
		ts.Fatalf("unknown condition %q", args)
	}
	return conditions[args[0]](ts, h, args[1:])
}

// awaitCondition polls c until it holds, and fails the scenario after stepTimeout.
func (h *harness) awaitCondition(ts *testscript.TestScript, name string, c condition) {
	end := time.Now().Add(stepTimeout)
	for {
		ok, seen := c()
		if ok {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("condition %s did not hold within the step timeout; last seen: %s", name, seen)
		}
		time.Sleep(pollInterval)
	}
}

// getJSON decodes a JSON response of the admin listener of a VM.
func (h *harness) getJSON(vm, path string, into any) error {
	resp, err := h.client.Get(h.adminURLs[vm] + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, data)
	}
	return json.Unmarshal(data, into)
}

// statusCondition holds if test holds for the status of the daemon of a VM.
func (h *harness) statusCondition(vm string, test func(admin.Status) bool) condition {
	return func() (bool, string) {
		var st admin.Status
		if err := h.getJSON(vm, "/v1/status", &st); err != nil {
			return false, err.Error()
		}
		return test(st), fmt.Sprintf("ready %v (%s), leaving %v", st.Ready, st.Reason, st.Leaving)
	}
}

// anyStatusCondition holds if test holds for the status of at least one running daemon. Only
// daemons that read the platform know its state.
func (h *harness) anyStatusCondition(test func(admin.Status) bool) condition {
	return func() (bool, string) {
		for _, vm := range h.runningVMs() {
			if ok, _ := h.statusCondition(vm, test)(); ok {
				return true, ""
			}
		}
		return false, "no daemon reports it"
	}
}

func isLeaving(st admin.Status) bool        { return st.Leaving }
func isReady(st admin.Status) bool          { return st.Ready }
func isPlatformBehind(st admin.Status) bool { return st.Configuration.Platform.Behind }
func isPlatformDown(st admin.Status) bool   { return st.Configuration.Platform.Down }

func hasConflict(st admin.Status) bool { return len(st.Configuration.Conflicts) > 0 }

// backendStatuses returns the status of each backend server, by id, as the daemon of its VM
// reports it. Backend servers of daemons that do not respond are left out.
func (h *harness) backendStatuses() map[string]admin.BackendServer {
	all := map[string]admin.BackendServer{}
	for _, vm := range h.runningVMs() {
		var st admin.Status
		if h.getJSON(vm, "/v1/status", &st) != nil {
			continue
		}
		for _, b := range st.BackendServers {
			all[b.BackendServer] = b
		}
	}
	return all
}

// allBackendsActive is a condition: every backend server of the documents is active.
func (h *harness) allBackendsActive() (bool, string) {
	seen, want := h.backendStatuses(), 0
	for _, svc := range h.fleet.Documents().Services {
		want += len(svc.BackendServers)
	}
	for id, b := range seen {
		if b.Ejection.State.Mode.String() != ejection.Active.String() {
			return false, id + " is " + b.Ejection.State.Mode.String()
		}
	}
	return len(seen) == want, fmt.Sprintf("%d of %d backend servers", len(seen), want)
}

// modeIs implements the condition "mode BACKEND MODE...": the backend server is in one of the
// modes.
func modeIs(_ *testscript.TestScript, h *harness, args []string) condition {
	return func() (bool, string) {
		b, ok := h.backendStatuses()[args[0]]
		mode := b.Ejection.State.Mode.String()
		return ok && slices.Contains(args[1:], mode), fmt.Sprintf("mode %s, reason %s", mode, b.Ejection.Reason)
	}
}

// moreAnswered implements the condition "answered LOAD N": N more requests of the load were
// answered since the command began.
func moreAnswered(ts *testscript.TestScript, h *harness, args []string) condition {
	return countIncreased(ts, h, args, func(c counts) int { return c.answered })
}

// moreLimited implements the condition "limited LOAD N": limits refused N more attempts of the load
// since the command began.
func moreLimited(ts *testscript.TestScript, h *harness, args []string) condition {
	return countIncreased(ts, h, args, func(c counts) int { return c.limited })
}

// countIncreased holds when a counter of the load args[0] has grown by args[1] since now.
func countIncreased(ts *testscript.TestScript, h *harness, args []string, count func(counts) int) condition {
	l := h.loads[args[0]]
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	if l == nil {
		ts.Fatalf("no load has the name %s", args[0])
	}
	start := count(l.counts())
	return func() (bool, string) {
		now := l.counts()
		return count(now)-start >= n, fmt.Sprintf("%+v", now)
	}
}

// documentInForce implements the condition "document KIND NAME GENERATION [VM...]": the document
// is in force in this generation on the VMs, by default on all running ones. Generation 0 means
// that no such document is in force.
func documentInForce(ts *testscript.TestScript, h *harness, args []string) condition {
	ref := contract.Ref{Kind: args[0], Name: args[1]}
	want, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	return h.onAllVMs(args[3:], func(vm string) (bool, string) {
		var docs contract.Documents
		if err := h.getJSON(vm, "/v1/documents?value="+url.QueryEscape(contract.ValueOf(ref)), &docs); err != nil {
			return false, err.Error()
		}
		var got uint64
		for _, doc := range docs.All() {
			if doc.Ref() == ref {
				got = doc.Version()
			}
		}
		return got == want, fmt.Sprintf("generation %d", got)
	})
}

// contentInForce implements the condition "content KIND NAME TEXT [VM...]": the JSON of the
// document in force contains the text.
func contentInForce(_ *testscript.TestScript, h *harness, args []string) condition {
	ref := contract.Ref{Kind: args[0], Name: args[1]}
	return h.onAllVMs(args[3:], func(vm string) (bool, string) {
		var docs contract.Documents
		if err := h.getJSON(vm, "/v1/documents?value="+url.QueryEscape(contract.ValueOf(ref)), &docs); err != nil {
			return false, err.Error()
		}
		for _, doc := range docs.All() {
			if doc.Ref() == ref {
				data, err := json.Marshal(doc)
				return err == nil && strings.Contains(string(data), args[2]), string(data)
			}
		}
		return false, "no such document is in force"
	})
}

// onAllVMs holds if test holds on all of the VMs, by default on all running ones.
func (h *harness) onAllVMs(vms []string, test func(vm string) (bool, string)) condition {
	return func() (bool, string) {
		list := vms
		if len(list) == 0 {
			list = h.runningVMs()
		}
		for _, vm := range list {
			if ok, seen := test(vm); !ok {
				return false, vm + ": " + seen
			}
		}
		return len(list) > 0, "on " + strings.Join(list, ", ")
	}
}

// hasFinding implements the condition "finding KIND NAME REASON [VM...]": the status lists a
// finding with this reason for the document.
func hasFinding(_ *testscript.TestScript, h *harness, args []string) condition {
	return h.onAllVMs(args[3:], func(vm string) (bool, string) {
		var st admin.Status
		if err := h.getJSON(vm, "/v1/status", &st); err != nil {
			return false, err.Error()
		}
		for _, f := range st.Findings {
			if f.Ref == (contract.Ref{Kind: args[0], Name: args[1]}) && string(f.Reason) == args[2] {
				return true, ""
			}
		}
		return false, fmt.Sprintf("findings %+v", st.Findings)
	})
}

// auditContains implements the condition "audit ACCEPTED SUBJECT TEXT [VM...]": the audit trail
// has an entry for the subject whose reason contains the text. ACCEPTED is true or false.
func auditContains(_ *testscript.TestScript, h *harness, args []string) condition {
	return h.onAllVMs(args[3:], func(vm string) (bool, string) {
		var page admin.AuditPage
		if err := h.getJSON(vm, "/v1/audit", &page); err != nil {
			return false, err.Error()
		}
		for _, e := range page.Entries {
			if strconv.FormatBool(e.Accepted) == args[0] && e.Subject == args[1] && strings.Contains(e.Reason, args[2]) {
				return true, ""
			}
		}
		return false, fmt.Sprintf("%d audit entries, none of which matches", len(page.Entries))
	})
}

// callerReceives implements the condition "told VM CUSTOMER PATH WANT": a lookup of the customer
// through the VM ends with WANT, which is an error kind or "answered".
func callerReceives(_ *testscript.TestScript, h *harness, args []string) condition {
	return func() (bool, string) {
		l := &load{harness: h, apiKey: args[1] + "-key", client: h.client}
		want := expectation{method: http.MethodGet, path: args[2], echo: "told"}
		a := l.send(args[0], want.request(), want)
		return a.errorKind == args[3] || a.isAnswered() && args[3] == "answered", a.String()
	}
}

// hasExited implements the condition "exited NAME": the process has ended. An exit status other
// than 0 fails the scenario at once.
func hasExited(ts *testscript.TestScript, h *harness, args []string) condition {
	p := h.process(ts, args[0])
	return func() (bool, string) {
		select {
		case <-p.Exited():
			if err := p.Err(); err != nil {
				ts.Fatalf("%s: %v", p.Name, err)
			}
			h.markStopped(p.Name)
			return true, "exited"
		default:
			return false, "the process is still running"
		}
	}
}

// isRunning implements the condition "running NAME": the process has not ended.
func isRunning(ts *testscript.TestScript, h *harness, args []string) condition {
	done := hasExited(ts, h, args)
	return func() (bool, string) {
		gone, seen := done()
		return !gone, seen
	}
}

// process returns the process of a VM's daemon, of a backend server or of the platform, by name.
func (h *harness) process(ts *testscript.TestScript, name string) *fleet.Process {
	if name == "platform" {
		return h.fleet.Platform
	}
	if p := h.fleet.Daemons[name]; p != nil {
		return p
	}
	p := h.fleet.Backends[name]
	if p == nil {
		ts.Fatalf("no process has the name %s", name)
	}
	return p
}
