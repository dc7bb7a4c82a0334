package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment, those of the smallest site files.
const (
	drainBound  = 2500 * time.Millisecond
	configBound = 2500 * time.Millisecond
	contact     = 3 * time.Second
	graceBound  = 6 * time.Second
)

// machine is one machine: a daemon with its upstream.
type machine struct {
	ip, zone       string
	outbound       string
	ready, inbound string
	gate           *gate
	upstream       *upstream
	settingsFile   string
	process        *exec.Cmd
	ended          chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	store    *store
	log      *record
	folder   string
	machines []*machine
	version  int
	// links are the proxies between the last machine and the others.
	links []*link
}

// service names a service with the number of its machines.
type service struct {
	name     string
	machines int
	slots    int
	work     time.Duration
}

// newFleet opens the store and the upstreams and starts the daemons, which are not awaited.
func newFleet(log *record, services []service, configuration func(version int) any) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), log: log, folder: folder}
	total := 0
	for _, s := range services {
		total += s.machines
	}
	ports, err := freePorts(total, 6)
	if err != nil {
		return f, err
	}
	n := 0
	for _, s := range services {
		for range s.machines {
			n++
			m := &machine{ip: hostAddress(n), zone: []string{"a", "b"}[n%2]}
			m.inbound, m.outbound, m.ready = address(m.ip, ports[0]), address(m.ip, ports[1]), address(m.ip, ports[2])
			if n == total {
				m.inbound = address(m.ip, ports[5])
			}
			m.upstream = &upstream{
				id: fmt.Sprintf("i-%02d", n), service: s.name, zone: m.zone, address: address(m.ip, ports[4]), slots: s.slots, work: s.work,
				log: log, born: time.Now().UnixMilli(),
			}
			if err := m.upstream.start(); err != nil {
				return f, err
			}
			if m.gate, err = f.store.newGate(); err != nil {
				return f, err
			}
			f.store.put("servers/"+m.upstream.id, m.upstream.registration("ready"))
			if err := f.writeSettings(m, s.name, ports[3]); err != nil {
				return f, err
			}
			f.machines = append(f.machines, m)
		}
	}
	if err := f.openLinks(ports[0], ports[5]); err != nil {
		return f, err
	}
	f.version = 7
	f.store.put("op/config", configuration(f.version))
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return f, err
		}
	}
	return f, nil
}

// openLinks opens the proxies between the last machine and the others. Daemons expect the others at
// the port that they have themselves; the last one has another port, so both ways lead through the
// proxies.
func (f *fleet) openLinks(port, portOfLast int) error {
	for i, m := range f.machines {
		from, to := address(m.ip, portOfLast), address(m.ip, port)
		isLast := i == len(f.machines)-1
		if isLast {
			from, to = to, from
		}
		l, err := newLink(from, to, !isLast)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
	}
	return nil
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// hostAddress returns the loopback address of the machine with the number n. Fleets of other processes
// have others.
func hostAddress(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, pid%250, n)
}

// freePorts returns ports that are free at all addresses of the machines.
func freePorts(hosts, count int) ([]int, error) {
	var ports []int
	for port := 21000; port < 32000 && len(ports) < count; port++ {
		var open []net.Listener
		free := true
		for i := 1; i <= hosts && free; i++ {
			l, err := net.Listen("tcp", address(hostAddress(i), port))
			if free = err == nil; free {
				open = append(open, l)
			}
		}
		for _, l := range open {
			l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("found %d free ports, want %d", len(ports), count)
	}
	return ports, nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// writeSettings fills the template of the deploy file as the platform does. The only other change is
// that daemons of loopback addresses are peers.
func (f *fleet) writeSettings(m *machine, service string, adminPort int) error {
	data, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return err
	}
	values := map[string]any{
		"Ip": m.ip, "Zone": m.zone, "Region": "r", "Listen.Outbound": m.outbound, "Listen.Inbound": m.inbound, "Listen.Ready": m.ready,
		"PortRange.0": adminPort, "Platform.Address": m.gate.address, "Bounds.FloorShare": 0.7, "Bounds.BudgetRatio": 0.2,
		"Bounds.BudgetWindow": "10s", "Bounds.BudgetSlack": 60, "Service": service, "AppAddr": m.upstream.address,
		"Limits.MaxFds": 4100, "Limits.NicMbps": 1000.0, "Bounds.Grace": graceBound.String(),
	}
	text := string(data)
	begin, end := strings.Index(text, "{{#Zones}}"), strings.Index(text, "{{/Zones}}")
	if begin >= 0 && end > begin {
		zones := "\n  - {dataCentre: \"a\", region: \"r\"}\n  - {dataCentre: \"b\", region: \"r\"}\n"
		text = text[:begin] + zones + text[end+len("{{/Zones}}"):]
	}
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			missing = parts[1]
			return ""
		}
		if parts[2] != "" {
			quoted, _ := json.Marshal(value)
			return string(quoted)
		}
		return fmt.Sprint(value)
	})
	if missing != "" {
		return fmt.Errorf("the template of the settings has the placeholder %s, which this stand-in does not know", missing)
	}
	text = strings.Replace(text, `"10.0.0.0/8"`, `"127.0.0.0/8"`, 1)
	m.settingsFile = filepath.Join(f.folder, m.upstream.id+".yaml")
	return os.WriteFile(m.settingsFile, []byte(text), 0o600)
}

// startDaemon starts the program of the deploy file. Its log goes into the folder of the fleet.
func (f *fleet) startDaemon(m *machine) error {
	out, err := os.OpenFile(filepath.Join(f.folder, m.upstream.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.process = exec.Command("target/cowsliprun-sidecar")
	m.process.Env = append(os.Environ(), "COWSLIPRUN_NODE_FILE="+m.settingsFile)
	m.process.Stdout, m.process.Stderr = out, out
	if err := m.process.Start(); err != nil {
		return err
	}
	started.Store(m.process.Process, true)
	m.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		err := process.Wait()
		f.log.event("process", "", m.upstream.id, fmt.Sprint("the daemon ended: ", err))
		close(ended)
	}(m.process, m.ended)
	f.log.event("process", "", m.upstream.id, fmt.Sprintf("the daemon of %s starts", m.ip))
	return nil
}

// started holds the processes that were started.
var started sync.Map

// endProcesses kills all processes that were started. Those that have ended do not mind.
func endProcesses() {
	started.Range(func(process, _ any) bool {
		process.(*os.Process).Kill() //nolint:errcheck // it may have ended
		return true
	})
}

// awaitReady waits until all daemons answer their readiness check with 200.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for {
			resp, err := client.Get("http://" + m.ready + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("the daemon of %s is not ready", m.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.process != nil && m.process.Process != nil {
			m.process.Process.Kill() //nolint:errcheck // it may have ended
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs of the daemons:", f.folder)
	}
}

// route describes a route of the operator's configuration.
func route(name, prefix, kind, service, timeout, goal string) map[string]any {
	return map[string]any{
		"Name": name, "Host": "shop.example", "Prefix": prefix, "Kind": kind, "Timeout": timeout, "Goal": goal, "Priority": 1,
		"Service": service, "MaxAttempts": 2,
	}
}

// configurationOf returns a value of op/config.
func configurationOf(version int, services []service, routes ...map[string]any) any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s.name, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
}
