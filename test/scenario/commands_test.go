package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.yaml.in/yaml/v3"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/cowsliprun/cowsliprun/internal/standin/platform"
)

// cmdFault implements "fault BACKEND JSON": it replaces the faults of a backend server. {} removes
// them.
func cmdFault(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: fault BACKEND JSON")
	}
	f, err := backend.ParseFaults([]byte(args[1]))
	ts.Check(err)
	ts.Check(h.fleet.SetFaults(context.Background(), args[0], f))
}

// expandNames replaces each name of the form VM/* by the VM, which names its daemon, and the
// backend servers of the VM.
func (h *harness) expandNames(names []string) []string {
	var out []string
	for _, name := range names {
		vm, withBackends := strings.CutSuffix(name, "/*")
		out = append(out, vm)
		if !withBackends {
			continue
		}
		for _, svc := range h.fleet.Documents().Services {
			for _, b := range svc.BackendServers {
				if b.VM == vm {
					out = append(out, b.ID)
				}
			}
		}
	}
	return out
}

// cmdSigkill implements "sigkill NAME...": it ends processes with SIGKILL. The name kill is taken
// by a command of testscript.
func cmdSigkill(ts *testscript.TestScript, h *harness, args []string) {
	for _, name := range h.expandNames(args) {
		p := h.process(ts, name)
		h.setExitExpected(name, true)
		h.markStopped(name)
		p.Kill()
	}
}

// cmdPause implements "pause NAME...": it stops processes with SIGSTOP and waits until all their
// threads are stopped.
func cmdPause(ts *testscript.TestScript, h *harness, args []string) {
	for _, name := range h.expandNames(args) {
		h.setPaused(name, true)
		p := h.process(ts, name)
		ts.Check(p.Signal(syscall.SIGSTOP))
		h.awaitCondition(ts, name+" is stopped by SIGSTOP", func() (bool, string) { return isStopped(p.PID()), "a thread of the process still runs" })
	}
}

// isStopped reports whether all threads of a process are stopped. Threads may run on for a moment
// after the signal.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// cmdResume implements "resume NAME...": it continues paused processes with SIGCONT.
func cmdResume(ts *testscript.TestScript, h *harness, args []string) {
	for _, name := range h.expandNames(args) {
		p := h.process(ts, name)
		if err := p.Signal(syscall.SIGCONT); err != nil {
			ts.Fatalf("%v: %s", err, describeExit(p))
		}
		h.setPaused(name, false)
	}
}

// cmdTerm implements "term NAME...": it sends SIGTERM to processes and does not wait for their end.
func cmdTerm(ts *testscript.TestScript, h *harness, args []string) {
	for _, name := range h.expandNames(args) {
		h.setExitExpected(name, true)
		ts.Check(h.process(ts, name).Signal(syscall.SIGTERM))
	}
}

// cmdStart implements "start NAME...": it starts processes that have ended.
func cmdStart(ts *testscript.TestScript, h *harness, args []string) {
	for _, name := range h.expandNames(args) {
		h.setExitExpected(name, false)
		if h.fleet.Daemons[name] != nil {
			ts.Check(h.startDaemon(name))
			continue
		}
		for _, svc := range h.fleet.Documents().Services {
			for _, b := range svc.BackendServers {
				if b.ID == name {
					ts.Check(h.fleet.StartBackend(b))
				}
			}
		}
	}
}

// cmdLinger implements "linger TIME": it waits, so that a daemon that would exit too early does so
// before the next check. A correct daemon passes for any TIME.
func cmdLinger(ts *testscript.TestScript, _ *harness, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdDrain implements "drain VM": it starts the drain of a daemon on its admin listener.
func cmdDrain(ts *testscript.TestScript, h *harness, args []string) {
	h.setExitExpected(args[0], true)
	h.send(ts, http.MethodPost, h.adminURLs[args[0]]+"/v1/drain", admin.DrainRequest{Operator: "scenario"})
}

// cmdOverride implements "override BACKEND none|pin-in-service|force-out": it sets the operator's
// override of a backend server.
func cmdOverride(ts *testscript.TestScript, h *harness, args []string) {
	for _, svc := range h.fleet.Documents().Services {
		for _, b := range svc.BackendServers {
			if b.ID == args[0] {
				address := h.adminURLs[b.VM] + "/v1/backends/" + b.ID + "/override"
				h.send(ts, http.MethodPut, address, admin.OverrideRequest{Override: args[1], Operator: "scenario"})
				return
			}
		}
	}
	ts.Fatalf("the documents have no backend server %s", args[0])
}

// cmdPlatform implements "platform up", "platform down", "platform stale REVISION", "platform
// error N" and "platform restore REVISION", which change how the platform responds, and "platform
// revision VARIABLE", which stores the platform's revision in a variable of the script.
func cmdPlatform(ts *testscript.TestScript, h *harness, args []string) {
	base, fault := h.fleet.PlatformURL(), h.fleet.PlatformURL()+"/v1/fault?mode="
	switch args[0] {
	case "up":
		h.send(ts, http.MethodPut, fault+platform.ModeNone, nil)
	case "down":
		h.send(ts, http.MethodPut, fault+platform.ModeDown, nil)
	case "stale":
		h.send(ts, http.MethodPut, fault+platform.ModeStale+"&revision="+args[1], nil)
	case "error":
		h.send(ts, http.MethodPut, fault+platform.ModeError+"&every="+args[1], nil)
	case "restore":
		h.send(ts, http.MethodPost, base+"/v1/restore?revision="+args[1], nil)
	case "revision":
		var changes struct {
			Revision uint64 `json:"revision"`
		}
		ts.Check(json.Unmarshal(h.send(ts, http.MethodGet, base+"/v1/changes?after=0&wait=0s", nil), &changes))
		ts.Setenv(args[1], strconv.FormatUint(changes.Revision, 10))
	default:
		ts.Fatalf("unknown argument of platform: %q", args[0])
	}
}

// cmdVMList implements "vmlist [VM...]": it publishes the platform's list of VMs, with the named
// ones as leaving and all others as live.
func cmdVMList(ts *testscript.TestScript, h *harness, args []string) {
	leaving := map[string]bool{}
	for _, vm := range args {
		leaving[vm] = true
	}
	ts.Check(h.fleet.PublishVMs(context.Background(), leaving))
}

// send sends a request with a JSON body and returns the response body. A status other than 2xx
// fails the scenario.
func (h *harness) send(ts *testscript.TestScript, method, address string, body any) []byte {
	data, err := json.Marshal(body)
	ts.Check(err)
	req, err := http.NewRequest(method, address, bytes.NewReader(data))
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if resp.StatusCode/100 != 2 {
		u, _ := url.Parse(address)
		ts.Fatalf("%s %s: %s: %s", method, u.Path, resp.Status, answer)
	}
	return answer
}

// documentChange is one entry of a file for publish: it replaces top-level fields of a document. A
// document that does not exist yet starts as a copy of the document From with the new name.
type documentChange struct {
	Kind string         `yaml:"kind"`
	Name string         `yaml:"name"`
	From string         `yaml:"from"`
	Set  map[string]any `yaml:"set"`
}

// cmdPublish implements "publish FILE": it changes documents at the platform. FILE is a list of
// documentChange in YAML. Documents are published unchecked, since operators may publish without
// cowslipctl check too.
func cmdPublish(ts *testscript.TestScript, h *harness, args []string) {
	var list []documentChange
	ts.Check(yaml.Unmarshal([]byte(ts.ReadFile(args[0])), &list))
	docs := h.fleet.Documents()
	for _, c := range list {
		var err error
		switch c.Kind {
		case contract.KindContract:
			docs.Contracts, err = applyChange(docs.Contracts, c, func(d *contract.Contract) *string { return &d.Customer })
		case contract.KindService:
			docs.Services, err = applyChange(docs.Services, c, func(d *contract.Service) *string { return &d.Service })
		default:
			err = fmt.Errorf("publish cannot change documents of kind %q", c.Kind)
		}
		ts.Check(err)
	}
	ts.Check(h.fleet.Publish(context.Background(), docs))
}

// applyChange returns a copy of docs with the change. nameOf returns a pointer to a document's
// name.
func applyChange[T any](docs []T, c documentChange, nameOf func(*T) *string) ([]T, error) {
	docs = slices.Clone(docs)
	find := func(n string) int { return slices.IndexFunc(docs, func(d T) bool { return *nameOf(&d) == n }) }
	at := find(c.Name)
	if at < 0 {
		from := find(c.From)
		if from < 0 {
			return nil, fmt.Errorf("the documents have no %s %q", c.Kind, c.Name)
		}
		docs = append(docs, docs[from])
		at = len(docs) - 1
		*nameOf(&docs[at]) = c.Name
	}
	data, err := yaml.Marshal(docs[at])
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := yaml.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	for field, value := range c.Set {
		fields[field] = value
	}
	if data, err = yaml.Marshal(fields); err != nil {
		return nil, err
	}
	var changed T
	if err := yaml.Unmarshal(data, &changed); err != nil {
		return nil, err
	}
	docs[at] = changed
	return docs, nil
}
