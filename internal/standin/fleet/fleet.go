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

// Programs are the programs that a fleet runs.
var Programs = []string{"cowsliprund", "cowslipctl", "standin-platform", "standin-backend"}

// Build compiles the programs into dir. It must run inside the module.
func Build(ctx context.Context, dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range Programs {
		args = append(args, "github.com/cowsliprun/cowsliprun/cmd/"+p)
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build failed: %w\n%s", err, out)
	}
	return nil
}

// Options of New.
type Options struct {
	// Bin holds the programs that Build made, Dir receives settings, values and logs.
	Bin, Dir string
	// Platform is the address of the platform's stand-in.
	Platform  string
	Documents contract.Documents
	// Callers returns the callers' address of a VM. Default: a free loopback address.
	Callers func(vm string) string
	// Peers bounds the seed peers of each daemon and the VMs that the platform lists as live. Default: all VMs.
	Peers int
	// PeerListen returns the address on which the daemon of a VM listens for peers, when the address of the VM document is
	// that of a relay. Default: the address of the VM document.
	PeerListen func(vm contract.VM) string
	// PlatformFor returns the URL at which the daemon of a VM reaches the platform. Default: PlatformURL.
	PlatformFor func(vm string) string
}

// Fleet is a running fleet.
type Fleet struct {
	opts      Options
	Platform  *Process
	Daemons   map[string]*Process
	Backends  map[string]*Process
	callers   map[string]string
	documents contract.Documents
	client    *http.Client
}

// New prepares a fleet. Nothing runs before Start.
func New(o Options) *Fleet {
	if o.Callers == nil {
		o.Callers = func(string) string { return FreeAddress() }
	}
	f := &Fleet{
		opts: o, Daemons: map[string]*Process{}, Backends: map[string]*Process{}, callers: map[string]string{},
		documents: o.Documents, client: &http.Client{Timeout: 15 * time.Second},
	}
	for _, vm := range o.Documents.VMs {
		f.callers[vm.VM] = o.Callers(vm.VM)
	}
	return f
}

// Start starts the platform, all backend servers and all daemons, and waits until every daemon serves.
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

// ValuesDir is the directory of rendered values that the platform's stand-in loads.
func (f *Fleet) ValuesDir() string { return filepath.Join(f.opts.Dir, "values") }

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

// StartPlatform starts the platform's stand-in with the documents in force.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	if err := f.writeValues(f.documents); err != nil {
		return err
	}
	p, err := start("platform", f.opts.Dir, f.program("standin-platform"), "--listen", f.opts.Platform, "--values", f.ValuesDir())
	if err != nil {
		return err
	}
	f.Platform = p
	if err := f.await(ctx, p, f.PlatformURL()+"/v1/stats"); err != nil {
		return err
	}
	return f.PublishVMs(ctx, nil)
}

// PlatformURL returns the address of the platform's stand-in.
func (f *Fleet) PlatformURL() string { return "http://" + f.opts.Platform }

// Publish replaces the documents at the platform, as the operators' means of publication would.
func (f *Fleet) Publish(ctx context.Context, docs contract.Documents) error {
	f.documents = docs
	if err := f.writeValues(docs); err != nil {
		return err
	}
	_, err := f.request(ctx, http.MethodPost, f.PlatformURL()+"/v1/reload", nil)
	return err
}

// PublishVMs publishes the platform's list of live and leaving VMs.
func (f *Fleet) PublishVMs(ctx context.Context, leaving map[string]bool) error {
	type entry struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var list []entry
	for _, vm := range f.listed() {
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

// listed returns the VMs that run daemons.
func (f *Fleet) listed() []contract.VM {
	vms := f.documents.VMs
	if f.opts.Peers > 0 && f.opts.Peers < len(vms) {
		return vms[:f.opts.Peers]
	}
	return vms
}

// StartBackend starts the stand-in of a backend server.
func (f *Fleet) StartBackend(b contract.BackendServer) error {
	p, err := start(b.ID, f.opts.Dir, f.program("standin-backend"), "--id", b.ID, "--listen", b.Address, "--journal", f.journal(b.ID))
	if err != nil {
		return err
	}
	f.Backends[b.ID] = p
	return f.await(context.Background(), p, "http://"+b.Address+"/healthz")
}

func (f *Fleet) journal(id string) string { return filepath.Join(f.opts.Dir, id+".executions") }

// Executions counts, per operation name, how often operations ran at all backend servers, those that were killed included.
func (f *Fleet) Executions() (map[string]int, error) {
	counts := map[string]int{}
	for id := range f.Backends {
		data, err := os.ReadFile(f.journal(id))
		if err != nil {
			return nil, err
		}
		for name := range strings.Lines(string(data)) {
			counts[strings.TrimSpace(name)]++
		}
	}
	return counts, nil
}

func (f *Fleet) program(name string) string { return filepath.Join(f.opts.Bin, name) }

// WaitReady waits until a daemon has a configuration.
func (f *Fleet) WaitReady(ctx context.Context, vm string) error {
	return f.await(ctx, f.Daemons[vm], "http://"+f.vm(vm).AdminAddress+"/ready")
}

// await polls url until it answers 200, the process ends or ctx ends.
func (f *Fleet) await(ctx context.Context, p *Process, address string) error {
	for {
		resp, err := f.client.Get(address)
		if err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status counts
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.Exited():
			return fmt.Errorf("%s ended; see %s", p.Name, p.Log)
		case <-ctx.Done():
			return fmt.Errorf("%s does not answer at %s: %w; see %s", p.Name, address, ctx.Err(), p.Log)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *Fleet) vm(id string) contract.VM {
	for _, vm := range f.documents.VMs {
		if vm.VM == id {
			return vm
		}
	}
	return contract.VM{}
}

// CallersURL returns the address at which callers reach a VM.
func (f *Fleet) CallersURL(vm string) string { return "http://" + f.callers[vm] }

// AdminURL returns the address at which operators reach a VM.
func (f *Fleet) AdminURL(vm string) string { return "http://" + f.vm(vm).AdminAddress }

// Documents returns the documents that were published last.
func (f *Fleet) Documents() contract.Documents { return f.documents }

// SetFaults changes the faults of a backend server.
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

// Stats returns the counters of a backend server.
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
	return "", fmt.Errorf("no backend server %q in the fleet", id)
}

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

// Stop stops all daemons gracefully, then the stand-ins.
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

// Kill ends all processes at once.
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
