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

const pollInterval = 50 * time.Millisecond

// condition reports whether something holds now, and what was seen instead.
type condition func() (bool, string)

// conditions maps the words after await and holds to what they mean.
var conditions = map[string]func(*testscript.TestScript, *world, []string) condition{
	"mode":            modeIs,
	"answered":        moreAnswered,
	"limited":         moreLimited,
	"document":        documentInForce,
	"content":         contentInForce,
	"told":            told,
	"conflict":        func(_ *testscript.TestScript, w *world, _ []string) condition { return w.anyStatus(hasConflict) },
	"finding":         findingShown,
	"audit":           auditHas,
	"leaving":         func(_ *testscript.TestScript, w *world, a []string) condition { return w.status(a[0], isLeaving) },
	"ready":           func(_ *testscript.TestScript, w *world, a []string) condition { return w.status(a[0], isReady) },
	"platform-behind": func(_ *testscript.TestScript, w *world, _ []string) condition { return w.anyStatus(isBehind) },
	"platform-down":   func(_ *testscript.TestScript, w *world, _ []string) condition { return w.anyStatus(isDown) },
	"exited":          exited,
	"running":         isRunning,
	"parked":          isParked,
}

// cmdAwait polls until a condition holds: await CONDITION ARGS.
func cmdAwait(ts *testscript.TestScript, w *world, args []string) {
	w.awaitAll(ts, strings.Join(args, " "), conditionOf(ts, w, args))
}

// cmdHolds requires that a condition holds now: holds CONDITION ARGS.
func cmdHolds(ts *testscript.TestScript, neg bool, args []string) {
	if ok, seen := conditionOf(ts, worldOf(ts), args)(); ok == neg {
		ts.Fatalf("%s is %v: %s", strings.Join(args, " "), ok, seen)
	}
}

func conditionOf(ts *testscript.TestScript, w *world, args []string) condition {
	if len(args) < 1 || conditions[args[0]] == nil {
		ts.Fatalf("unknown condition %q", args)
	}
	return conditions[args[0]](ts, w, args[1:])
}

func (w *world) awaitAll(ts *testscript.TestScript, name string, c condition) {
	end := time.Now().Add(hangLimit)
	for {
		ok, seen := c()
		if ok {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("gave up waiting: %s; seen: %s", name, seen)
		}
		time.Sleep(pollInterval)
	}
}

// get reads JSON from the admin listener of a VM.
func (w *world) get(vm, path string, into any) error {
	resp, err := w.client.Get(w.admins[vm] + path)
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

func (w *world) status(vm string, test func(admin.Status) bool) condition {
	return func() (bool, string) {
		var st admin.Status
		if err := w.get(vm, "/v1/status", &st); err != nil {
			return false, err.Error()
		}
		return test(st), fmt.Sprintf("ready %v (%s), leaving %v", st.Ready, st.Reason, st.Leaving)
	}
}

// anyStatus holds when it holds at one daemon: only the readers know the state of the platform.
func (w *world) anyStatus(test func(admin.Status) bool) condition {
	return func() (bool, string) {
		for _, vm := range w.running() {
			if ok, _ := w.status(vm, test)(); ok {
				return true, ""
			}
		}
		return false, "at no daemon"
	}
}

func isLeaving(st admin.Status) bool { return st.Leaving }
func isReady(st admin.Status) bool   { return st.Ready }
func isBehind(st admin.Status) bool  { return st.Configuration.Platform.Behind }
func isDown(st admin.Status) bool    { return st.Configuration.Platform.Down }

func hasConflict(st admin.Status) bool { return len(st.Configuration.Conflicts) > 0 }

// backends returns the backend servers as their homes show them. Daemons that do not respond are left out.
func (w *world) backends() map[string]admin.BackendServer {
	all := map[string]admin.BackendServer{}
	for _, vm := range w.running() {
		var st admin.Status
		if w.get(vm, "/v1/status", &st) != nil {
			continue
		}
		for _, b := range st.BackendServers {
			all[b.BackendServer] = b
		}
	}
	return all
}

func (w *world) allActive() (bool, string) {
	seen, want := w.backends(), 0
	for _, svc := range w.fleet.Documents().Services {
		want += len(svc.BackendServers)
	}
	for id, b := range seen {
		if b.Ejection.State.Mode.String() != ejection.Active.String() {
			return false, id + " is " + b.Ejection.State.Mode.String()
		}
	}
	return len(seen) == want, fmt.Sprintf("%d of %d backend servers", len(seen), want)
}

// modeIs: mode BACKEND MODE...
func modeIs(_ *testscript.TestScript, w *world, args []string) condition {
	return func() (bool, string) {
		b, ok := w.backends()[args[0]]
		mode := b.Ejection.State.Mode.String()
		return ok && slices.Contains(args[1:], mode), fmt.Sprintf("%s, %s", mode, b.Ejection.Reason)
	}
}

// moreAnswered: answered LOAD N, counted from now.
func moreAnswered(ts *testscript.TestScript, w *world, args []string) condition {
	return more(ts, w, args, func(c counts) int { return c.answered })
}

// moreLimited: limited LOAD N, counted from now.
func moreLimited(ts *testscript.TestScript, w *world, args []string) condition {
	return more(ts, w, args, func(c counts) int { return c.limited })
}

func more(ts *testscript.TestScript, w *world, args []string, of func(counts) int) condition {
	l := w.loads[args[0]]
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	if l == nil {
		ts.Fatalf("no load %s", args[0])
	}
	start := of(l.counts())
	return func() (bool, string) {
		now := l.counts()
		return of(now)-start >= n, fmt.Sprintf("%+v", now)
	}
}

// documentInForce: document KIND NAME GENERATION [VM...], on all running daemons when no VM is given. Generation 0 stands for a
// document that does not exist.
func documentInForce(ts *testscript.TestScript, w *world, args []string) condition {
	ref := contract.Ref{Kind: args[0], Name: args[1]}
	want, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	return w.onVMs(args[3:], func(vm string) (bool, string) {
		var docs contract.Documents
		if err := w.get(vm, "/v1/documents?value="+url.QueryEscape(contract.ValueOf(ref)), &docs); err != nil {
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

// contentInForce: content KIND NAME TEXT [VM...], the document in force contains the text as JSON.
func contentInForce(_ *testscript.TestScript, w *world, args []string) condition {
	ref := contract.Ref{Kind: args[0], Name: args[1]}
	return w.onVMs(args[3:], func(vm string) (bool, string) {
		var docs contract.Documents
		if err := w.get(vm, "/v1/documents?value="+url.QueryEscape(contract.ValueOf(ref)), &docs); err != nil {
			return false, err.Error()
		}
		for _, doc := range docs.All() {
			if doc.Ref() == ref {
				data, err := json.Marshal(doc)
				return err == nil && strings.Contains(string(data), args[2]), string(data)
			}
		}
		return false, "no such document"
	})
}

func (w *world) onVMs(vms []string, test func(vm string) (bool, string)) condition {
	return func() (bool, string) {
		list := vms
		if len(list) == 0 {
			list = w.running()
		}
		for _, vm := range list {
			if ok, seen := test(vm); !ok {
				return false, vm + ": " + seen
			}
		}
		return len(list) > 0, "on " + strings.Join(list, ", ")
	}
}

// findingShown: finding KIND NAME REASON [VM...]
func findingShown(_ *testscript.TestScript, w *world, args []string) condition {
	return w.onVMs(args[3:], func(vm string) (bool, string) {
		var st admin.Status
		if err := w.get(vm, "/v1/status", &st); err != nil {
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

// auditHas: audit ACCEPTED SUBJECT TEXT [VM...], an entry with the text in its reason.
func auditHas(_ *testscript.TestScript, w *world, args []string) condition {
	return w.onVMs(args[3:], func(vm string) (bool, string) {
		var page admin.AuditPage
		if err := w.get(vm, "/v1/audit", &page); err != nil {
			return false, err.Error()
		}
		for _, e := range page.Entries {
			if strconv.FormatBool(e.Accepted) == args[0] && e.Subject == args[1] && strings.Contains(e.Reason, args[2]) {
				return true, ""
			}
		}
		return false, fmt.Sprintf("%d entries without it", len(page.Entries))
	})
}

// told: told VM CUSTOMER PATH WANT, what a caller of the VM gets for a lookup: an error kind or "answered".
func told(_ *testscript.TestScript, w *world, args []string) condition {
	return func() (bool, string) {
		l := &load{world: w, key: args[1] + "-key", client: w.client}
		want := expected{method: http.MethodGet, path: args[2], echo: "told"}
		a := l.send(args[0], want.request(), want)
		return a.kind == args[3] || a.isAnswered() && args[3] == "answered", a.String()
	}
}

// exited: exited NAME. An exit status other than 0 is a failure at once.
func exited(ts *testscript.TestScript, w *world, args []string) condition {
	p := w.process(ts, args[0])
	return func() (bool, string) {
		select {
		case <-p.Exited():
			if err := p.Err(); err != nil {
				ts.Fatalf("%s: %v", p.Name, err)
			}
			w.daemonStopped(p.Name)
			return true, "exited"
		default:
			return false, "still running"
		}
	}
}

func isRunning(ts *testscript.TestScript, w *world, args []string) condition {
	done := exited(ts, w, args)
	return func() (bool, string) {
		gone, seen := done()
		return !gone, seen
	}
}

func (w *world) process(ts *testscript.TestScript, name string) *fleet.Process {
	if name == "platform" {
		return w.fleet.Platform
	}
	if p := w.fleet.Daemons[name]; p != nil {
		return p
	}
	p := w.fleet.Backends[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	return p
}
