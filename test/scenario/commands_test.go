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

// cmdFault sets the faults of a backend server: fault BACKEND JSON. {} makes it healthy.
func cmdFault(ts *testscript.TestScript, w *world, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: fault BACKEND JSON")
	}
	f, err := backend.ParseFaults([]byte(args[1]))
	ts.Check(err)
	ts.Check(w.fleet.SetFaults(context.Background(), args[0], f))
}

// expand replaces vmN/* by the daemon of the VM and its backend servers.
func (w *world) expand(names []string) []string {
	var out []string
	for _, name := range names {
		vm, whole := strings.CutSuffix(name, "/*")
		out = append(out, vm)
		if !whole {
			continue
		}
		for _, svc := range w.fleet.Documents().Services {
			for _, b := range svc.BackendServers {
				if b.VM == vm {
					out = append(out, b.ID)
				}
			}
		}
	}
	return out
}

// cmdKill ends processes with SIGKILL: sigkill NAME... (kill is a command of testscript itself.)
func cmdKill(ts *testscript.TestScript, w *world, args []string) {
	for _, name := range w.expand(args) {
		p := w.process(ts, name)
		w.setMayEnd(name, true)
		w.daemonStopped(name)
		p.Kill()
	}
}

// cmdPause stops processes with SIGSTOP: pause NAME...
func cmdPause(ts *testscript.TestScript, w *world, args []string) {
	for _, name := range w.expand(args) {
		w.setPaused(name, true)
		p := w.process(ts, name)
		ts.Check(p.Signal(syscall.SIGSTOP))
		w.awaitAll(ts, name+" is stopped", func() (bool, string) { return isStopped(p.PID()), "some thread still runs" })
	}
}

// isStopped reports whether all threads of a process are stopped. They go on for a moment after the signal.
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

// cmdResume continues paused processes: resume NAME...
func cmdResume(ts *testscript.TestScript, w *world, args []string) {
	for _, name := range w.expand(args) {
		p := w.process(ts, name)
		if err := p.Signal(syscall.SIGCONT); err != nil {
			ts.Fatalf("%v: %s", err, endOf(p))
		}
		w.setPaused(name, false)
	}
}

// cmdTerm asks processes to stop with SIGTERM and does not wait: term NAME...
func cmdTerm(ts *testscript.TestScript, w *world, args []string) {
	for _, name := range w.expand(args) {
		w.setMayEnd(name, true)
		ts.Check(w.process(ts, name).Signal(syscall.SIGTERM))
	}
}

// cmdStart starts processes that have ended: start NAME...
func cmdStart(ts *testscript.TestScript, w *world, args []string) {
	for _, name := range w.expand(args) {
		w.setMayEnd(name, false)
		if w.fleet.Daemons[name] != nil {
			ts.Check(w.startDaemon(name))
			continue
		}
		for _, svc := range w.fleet.Documents().Services {
			for _, b := range svc.BackendServers {
				if b.ID == name {
					ts.Check(w.fleet.StartBackend(b))
				}
			}
		}
	}
}

// cmdLinger lets time pass: linger TIME. It gives a daemon that ends too early the time to show it; a right one stays as it is
// however long this takes.
func cmdLinger(ts *testscript.TestScript, _ *world, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdDrain drains a daemon by its admin listener: drain VM.
func cmdDrain(ts *testscript.TestScript, w *world, args []string) {
	w.setMayEnd(args[0], true)
	w.send(ts, http.MethodPost, w.admins[args[0]]+"/v1/drain", admin.DrainRequest{Operator: "scenario"})
}

// cmdOverride sets an operator's decision: override BACKEND none|pin-in-service|force-out.
func cmdOverride(ts *testscript.TestScript, w *world, args []string) {
	for _, svc := range w.fleet.Documents().Services {
		for _, b := range svc.BackendServers {
			if b.ID == args[0] {
				address := w.admins[b.VM] + "/v1/backends/" + b.ID + "/override"
				w.send(ts, http.MethodPut, address, admin.OverrideRequest{Override: args[1], Operator: "scenario"})
				return
			}
		}
	}
	ts.Fatalf("no backend server %s", args[0])
}

// cmdPlatform changes how the platform answers: platform up|down, stale REVISION, error N, restore REVISION, or stores its
// revision in a variable of the script: platform revision VARIABLE.
func cmdPlatform(ts *testscript.TestScript, w *world, args []string) {
	base, fault := w.fleet.PlatformURL(), w.fleet.PlatformURL()+"/v1/fault?mode="
	switch args[0] {
	case "up":
		w.send(ts, http.MethodPut, fault+platform.ModeNone, nil)
	case "down":
		w.send(ts, http.MethodPut, fault+platform.ModeDown, nil)
	case "stale":
		w.send(ts, http.MethodPut, fault+platform.ModeStale+"&revision="+args[1], nil)
	case "error":
		w.send(ts, http.MethodPut, fault+platform.ModeError+"&every="+args[1], nil)
	case "restore":
		w.send(ts, http.MethodPost, base+"/v1/restore?revision="+args[1], nil)
	case "revision":
		var changes struct {
			Revision uint64 `json:"revision"`
		}
		ts.Check(json.Unmarshal(w.send(ts, http.MethodGet, base+"/v1/changes?after=0&wait=0s", nil), &changes))
		ts.Setenv(args[1], strconv.FormatUint(changes.Revision, 10))
	default:
		ts.Fatalf("unknown state of the platform %q", args[0])
	}
}

// cmdVMList publishes the platform's list of VMs, in which the named ones are leaving: vmlist [VM...].
func cmdVMList(ts *testscript.TestScript, w *world, args []string) {
	leaving := map[string]bool{}
	for _, vm := range args {
		leaving[vm] = true
	}
	ts.Check(w.fleet.PublishVMs(context.Background(), leaving))
}

func (w *world) send(ts *testscript.TestScript, method, address string, body any) []byte {
	data, err := json.Marshal(body)
	ts.Check(err)
	req, err := http.NewRequest(method, address, bytes.NewReader(data))
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
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

// change is one entry of the file of publish: it replaces top-level fields of a document. A document that does not exist begins
// as a copy of From with the name of the new one.
type change struct {
	Kind string         `yaml:"kind"`
	Name string         `yaml:"name"`
	From string         `yaml:"from"`
	Set  map[string]any `yaml:"set"`
}

// cmdPublish changes documents at the platform: publish FILE, a list of changes in YAML. Documents are not checked, as an
// operator's own means of publication might not do either.
func cmdPublish(ts *testscript.TestScript, w *world, args []string) {
	var list []change
	ts.Check(yaml.Unmarshal([]byte(ts.ReadFile(args[0])), &list))
	docs := w.fleet.Documents()
	for _, c := range list {
		var err error
		switch c.Kind {
		case contract.KindContract:
			docs.Contracts, err = apply(docs.Contracts, c, func(d *contract.Contract) *string { return &d.Customer })
		case contract.KindService:
			docs.Services, err = apply(docs.Services, c, func(d *contract.Service) *string { return &d.Service })
		default:
			err = fmt.Errorf("publish does not change documents of kind %q", c.Kind)
		}
		ts.Check(err)
	}
	ts.Check(w.fleet.Publish(context.Background(), docs))
}

// apply returns a copy of docs with the change.
func apply[T any](docs []T, c change, name func(*T) *string) ([]T, error) {
	docs = slices.Clone(docs)
	find := func(n string) int { return slices.IndexFunc(docs, func(d T) bool { return *name(&d) == n }) }
	at := find(c.Name)
	if at < 0 {
		from := find(c.From)
		if from < 0 {
			return nil, fmt.Errorf("no %s %q", c.Kind, c.Name)
		}
		docs = append(docs, docs[from])
		at = len(docs) - 1
		*name(&docs[at]) = c.Name
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
