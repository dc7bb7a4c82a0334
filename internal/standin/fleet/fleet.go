package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
)

// Programs are the names of the commands that Build compiles.
var Programs = []string{"cowsliprund", "cowslipctl", "standin-platform", "standin-backend"}

// Build compiles Programs into dir. The working directory must be inside the module. The error
// contains the output of the compiler.
func Build(ctx context.Context, dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range Programs {
		args = append(args, "github.com/cowsliprun/cowsliprun/cmd/"+p)
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go build of the fleet's programs failed: %w\n%s", err, out)
	}
	return nil
}

// Options configure New. All addresses are of the form host:port.
type Options struct {
	// Bin is the directory of the programs that Build compiled. Dir is the existing directory that
	// receives settings, values, logs and journals.
	Bin, Dir string
	// Platform is the listen address of the platform's stand-in.
	Platform string
	// Documents is the initial configuration. Its addresses are those that the processes use.
	Documents contract.Documents
	// Callers returns the address on which the daemon of a VM listens for callers. Default: a free
	// loopback address.
	Callers func(vm string) string
	// Peers limits the VMs that the platform lists, and thus the seed peers of each daemon, to the
	// first so many. Default: all VMs.
	Peers int
	// PeerListen returns the address on which the daemon of a VM listens for peers. It is needed if
	// the VM document holds the address of a relay. Default: the address in the VM document.
	PeerListen func(vm contract.VM) string
	// PlatformFor returns the URL at which the daemon of a VM reaches the platform. Default:
	// PlatformURL.
	PlatformFor func(vm string) string
}

// Fleet is a set of processes on loopback. Create it with New. Methods that start processes or
// publish documents must not run concurrently with any other method.
type Fleet struct {
	opts Options
	// Platform is the process of the platform's stand-in, nil before StartPlatform.
	Platform *Process
	// Daemons holds the last started daemon of each VM.
	Daemons map[string]*Process
	// Backends holds the last started process of each backend server, by its id.
	Backends map[string]*Process
	// callerAddresses holds the address on which each VM listens for callers.
	callerAddresses map[string]string
	// documents is the configuration that was published last.
	documents contract.Documents
	client    *http.Client
}

// New returns a fleet without processes. Start, or StartPlatform, StartBackend and StartDaemon,
// start them.
func New(o Options) *Fleet {
	if o.Callers == nil {
		o.Callers = func(string) string { return FreeAddress() }
	}
	f := &Fleet{
		opts: o, Daemons: map[string]*Process{}, Backends: map[string]*Process{}, callerAddresses: map[string]string{},
		documents: o.Documents, client: &http.Client{Timeout: 15 * time.Second},
	}
	for _, vm := range o.Documents.VMs {
		f.callerAddresses[vm.VM] = o.Callers(vm.VM)
	}
	return f
}

// Start starts the platform's stand-in, all backend servers and all daemons, and waits until every
// daemon is ready. After an error the processes that have started still run; Kill ends them.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	for _, svc := range f.documents.Services {
		for _, b := range svc.BackendServers {
			if err := f.StartBackend(b); err != nil {
				return err
			}
		}
	}
	for _, vm := range f.documents.VMs {
		if err := f.StartDaemon(vm.VM); err != nil {
			return err
		}
	}
	for _, vm := range f.documents.VMs {
		if err := f.WaitReady(ctx, vm.VM); err != nil {
			return err
		}
	}
	return nil
}

// ValuesDir returns the directory of rendered values that the platform's stand-in loads.
func (f *Fleet) ValuesDir() string { return filepath.Join(f.opts.Dir, "values") }

// writeValues renders docs into ValuesDir.
func (f *Fleet) writeValues(docs contract.Documents) error {
	values, err := contract.Render(docs)
	if err != nil {
		return err
	}
	for name, data := range values {
		file := filepath.Join(f.ValuesDir(), filepath.FromSlash(name)+".json")
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(file, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform's stand-in with the documents that were published last, waits
// until it responds, and publishes all VMs as live.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	if err := f.writeValues(f.documents); err != nil {
		return err
	}
	p, err := startProcess("platform", f.opts.Dir, f.programPath("standin-platform"), "--listen", f.opts.Platform, "--values", f.ValuesDir())
	if err != nil {
		return err
	}
	f.Platform = p
	if err := f.waitForOK(ctx, p, f.PlatformURL()+"/v1/stats"); err != nil {
		return err
	}
	return f.PublishVMs(ctx, nil)
}

// PlatformURL returns the base URL of the platform's stand-in.
func (f *Fleet) PlatformURL() string { return "http://" + f.opts.Platform }

// Publish replaces the documents at the platform: it writes the rendered values and makes the
// platform load them. It does not wait until daemons apply them.
func (f *Fleet) Publish(ctx context.Context, docs contract.Documents) error {
	f.documents = docs
	if err := f.writeValues(docs); err != nil {
		return err
	}
	_, err := f.request(ctx, http.MethodPost, f.PlatformURL()+"/v1/reload", nil)
	return err
}

// PublishVMs publishes the platform's list of VMs. Those in leaving are listed as leaving, the
// others as live.
func (f *Fleet) PublishVMs(ctx context.Context, leaving map[string]bool) error {
	type entry struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var list []entry
	for _, vm := range f.listedVMs() {
		state := "live"
		if leaving[vm.VM] {
			state = "leaving"
		}
		list = append(list, entry{vm.VM, state})
	}
	body, err := json.Marshal(map[string]any{"vms": list})
	if err != nil {
		return err
	}
	_, err = f.request(ctx, http.MethodPut, f.PlatformURL()+"/v1/vms", body)
	return err
}

// listedVMs returns the VMs that the platform lists: all, or the first Options.Peers.
func (f *Fleet) listedVMs() []contract.VM {
	vms := f.documents.VMs
	if f.opts.Peers > 0 && f.opts.Peers < len(vms) {
		return vms[:f.opts.Peers]
	}
	return vms
}

// StartBackend starts the stand-in for a backend server and waits until its health check passes or
// the process exits.
func (f *Fleet) StartBackend(b contract.BackendServer) error {
	p, err := startProcess(b.ID, f.opts.Dir, f.programPath("standin-backend"), "--id", b.ID, "--listen", b.Address, "--journal", f.journalFile(b.ID))
	if err != nil {
		return err
	}
	f.Backends[b.ID] = p
	return f.waitForOK(context.Background(), p, "http://"+b.Address+"/healthz")
}

// journalFile returns the file to which a backend server writes the operations that it runs.
func (f *Fleet) journalFile(id string) string { return filepath.Join(f.opts.Dir, id+".executions") }

// Executions returns how often each operation ran, by operation name, in total over all backend
// servers. It reads their journals, so that runs at killed processes count.
func (f *Fleet) Executions() (map[string]int, error) {
	counts := map[string]int{}
	for id := range f.Backends {
		data, err := os.ReadFile(f.journalFile(id))
		if err != nil {
			return nil, err
		}
		for name := range strings.Lines(string(data)) {
			counts[strings.TrimSpace(name)]++
		}
	}
	return counts, nil
}

func (f *Fleet) programPath(name string) string { return filepath.Join(f.opts.Bin, name) }

// WaitReady waits until the daemon of a VM is ready, its process exits or ctx ends.
func (f *Fleet) WaitReady(ctx context.Context, vm string) error {
	return f.waitForOK(ctx, f.Daemons[vm], "http://"+f.vmDocument(vm).AdminAddress+"/ready")
}

// waitForOK polls the URL in address until it answers 200. It returns an error if the process exits
// or ctx ends first.
func (f *Fleet) waitForOK(ctx context.Context, p *Process, address string) error {
	for {
		resp, err := f.client.Get(address)
		if err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status matters
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.Exited():
			return fmt.Errorf("%s exited before it was ready; see its log %s", p.Name, p.Log)
		case <-ctx.Done():
			return fmt.Errorf("%s did not answer 200 at %s: %w; see its log %s", p.Name, address, ctx.Err(), p.Log)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// vmDocument returns the document of a VM, or a zero document.
func (f *Fleet) vmDocument(id string) contract.VM {
	for _, vm := range f.documents.VMs {
		if vm.VM == id {
			return vm
		}
	}
	return contract.VM{}
}

// CallersURL returns the base URL at which callers reach the daemon of a VM.
func (f *Fleet) CallersURL(vm string) string { return "http://" + f.callerAddresses[vm] }

// AdminURL returns the base URL of the admin listener of a VM's daemon.
func (f *Fleet) AdminURL(vm string) string { return "http://" + f.vmDocument(vm).AdminAddress }

// Documents returns the documents that were published last.
func (f *Fleet) Documents() contract.Documents { return f.documents }

// SetFaults replaces the faults of the backend server with this id.
func (f *Fleet) SetFaults(ctx context.Context, id string, faults backend.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	address, err := f.backendAddress(id)
	if err != nil {
		return err
	}
	_, err = f.request(ctx, http.MethodPut, "http://"+address+"/_faults", body)
	return err
}

// Stats returns the counters of the backend server with this id.
func (f *Fleet) Stats(ctx context.Context, id string) (backend.Stats, error) {
	var stats backend.Stats
	address, err := f.backendAddress(id)
	if err != nil {
		return stats, err
	}
	body, err := f.request(ctx, http.MethodGet, "http://"+address+"/_stats", nil)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(body, &stats)
}

func (f *Fleet) backendAddress(id string) (string, error) {
	for _, svc := range f.documents.Services {
		for _, b := range svc.BackendServers {
			if b.ID == id {
				return b.Address, nil
			}
		}
	}
	return "", fmt.Errorf("the published documents have no backend server %q", id)
}

// request sends a request and returns the response body. A status of 300 or more is an error.
func (f *Fleet) request(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= 300 {
		u, _ := url.Parse(address)
		err = fmt.Errorf("%s %s: status %d: %s", method, u.Path, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return data, err
}

// Stop stops all daemons gracefully and in parallel, then the backend servers, then the platform.
// It returns the errors of all processes, joined.
func (f *Fleet) Stop() error {
	var failures []error
	stopAll := func(processes map[string]*Process) {
		results := make(chan error, len(processes))
		for _, p := range processes {
			go func() { results <- p.Stop() }()
		}
		for range processes {
			failures = append(failures, <-results)
		}
	}
	stopAll(f.Daemons)
	stopAll(f.Backends)
	if f.Platform != nil {
		failures = append(failures, f.Platform.Stop())
	}
	return errors.Join(failures...)
}

// Kill ends all processes with SIGKILL and waits for them.
func (f *Fleet) Kill() {
	for _, processes := range []map[string]*Process{f.Daemons, f.Backends} {
		for _, p := range processes {
			p.Kill()
		}
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
}
