package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Paths in the repository, in whose root the command runs.
const (
	program  = "target/cowsliprun-sidecar"
	template = "deploy/settings.yaml.tmpl"
)

// Ports of a machine. They are the same on all machines.
type ports struct{ callers, peer, ready, admin, app int }

// machine is one VM: a daemon and the upstream beside it.
type machine struct {
	ip, zone, service string
	settingsFile      string
	command           *exec.Cmd
	logFile           *os.File
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	dir      string
	ports    ports
	store    *store
	address  string // of the store
	machines []*machine
	bounds   map[string]any
}

// bounds returns the bounds of a small deployment.
func smallBounds() map[string]any {
	return map[string]any{
		"Contact": "3000ms", "Drain": "2500ms", "Grace": "6s", "Config": "2500ms", "BudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetSlack": 60, "FloorShare": 0.7,
	}
}

// newFleet starts a store and prepares machines with one upstream each, of the services in order.
func newFleet(r *record, services ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: newStore(), bounds: smallBounds()}
	zones := []string{"zone-a", "zone-b"}
	for i, service := range services {
		f.machines = append(f.machines, &machine{ip: fmt.Sprintf("127.0.0.%d", i+1), zone: zones[i%len(zones)], service: service})
	}
	list, err := freePorts(len(services), 6)
	if err != nil {
		return nil, err
	}
	f.ports = ports{list[0], list[1], list[2], list[3], list[4]}
	f.address = fmt.Sprintf("127.0.0.1:%d", list[5])
	return f, f.store.serve(f.address)
}

// freePorts returns ports that are free on all machines.
func freePorts(machines, count int) ([]int, error) {
	var found []int
	for range 100 * count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		open := []net.Listener{l}
		for i := 1; i < machines; i++ {
			other, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, port))
			if err != nil {
				break
			}
			open = append(open, other)
		}
		for _, l := range open {
			l.Close()
		}
		if len(open) == machines {
			if found = append(found, port); len(found) == count {
				return found, nil
			}
		}
	}
	return nil, errors.New("no free ports")
}

// fields returns the settings of a machine as the platform gives them.
func (f *fleet) fields(m *machine) map[string]any {
	return map[string]any{
		"Ip": m.ip, "Zone": m.zone, "Region": "region-1", "Service": m.service, "AppAddr": f.app(m),
		"Listen":    map[string]any{"Inbound": f.at(m, f.ports.peer), "Outbound": f.callers(m), "Ready": f.at(m, f.ports.ready)},
		"PortRange": []any{f.ports.admin}, "Platform": map[string]any{"Address": f.address}, "Bounds": f.bounds,
		"Zones":  map[string]any{"zone-a": "region-1", "zone-b": "region-1"},
		"Limits": map[string]any{"MaxFds": 4100, "NicMbps": 1000.0},
	}
}

func (f *fleet) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (f *fleet) callers(m *machine) string      { return f.at(m, f.ports.callers) }
func (f *fleet) app(m *machine) string          { return f.at(m, f.ports.app) }

// writeSettings fills in the template for a machine. The file is replaced in one step.
func (f *fleet) writeSettings(m *machine) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	m.settingsFile = filepath.Join(f.dir, m.ip+".yaml")
	rendered := m.settingsFile + ".new"
	if err := os.WriteFile(rendered, []byte(render(string(text), f.fields(m))), 0o600); err != nil {
		return err
	}
	return os.Rename(rendered, m.settingsFile)
}

// start starts the daemon of a machine.
func (f *fleet) start(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.logFile = log
	m.command = exec.Command(programPath())
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPRUN_NODE_FILE=" + m.settingsFile}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	f.record.logf("daemon %s started", m.ip)
	return nil
}

// programPath returns the program of the daemons.
func programPath() string {
	if p := os.Getenv("SIDECAR"); p != "" {
		return p
	}
	return program
}

// kill ends the daemon of a machine with a signal and waits for its end.
func (f *fleet) kill(m *machine, signal syscall.Signal) {
	if m.command == nil {
		return
	}
	f.record.logf("daemon %s gets %v", m.ip, signal)
	m.command.Process.Signal(signal) //nolint:errcheck // it may have ended
	m.command.Wait()                 //nolint:errcheck // the status does not matter, and another Wait may run
	m.command = nil
	m.logFile.Close()
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.awaitReady(m, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the daemon of a machine says that it is ready.
func (f *fleet) awaitReady(m *machine, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + f.at(m, f.ports.ready) + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.record.logf("daemon %s is ready", m.ip)
			return nil
		}
	}
	return fmt.Errorf("the daemon of %s did not become ready", m.ip)
}

// close ends all daemons and the store.
func (f *fleet) close() {
	for _, m := range f.machines {
		f.kill(m, syscall.SIGKILL)
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.@]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does, as far as that of the project needs it.
func render(text string, fields map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		switch value := lookup(fields, parts[1]).(type) {
		case nil:
			return ""
		case map[string]any:
			var out strings.Builder
			for key, item := range value {
				out.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", fmt.Sprint(item)).Replace(parts[2]))
			}
			return out.String()
		default:
			return parts[2]
		}
	})
	return valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := lookup(fields, parts[1])
		if parts[2] != "" {
			data, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// lookup returns the value at a dotted path, or nil.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			if name != "0" || len(v) == 0 {
				return nil
			}
			value = v[0]
		default:
			return nil
		}
	}
	return value
}

// lastFatal returns the line of a daemon's log that says why its process ended.
func (f *fleet) lastFatal(m *machine) string {
	data, err := os.ReadFile(filepath.Join(f.dir, m.ip+".log"))
	if err != nil {
		return err.Error()
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "fatal error:") || strings.HasPrefix(line, "panic:") {
			return line
		}
	}
	return "no reason in its log"
}
