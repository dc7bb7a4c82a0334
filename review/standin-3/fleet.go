package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two writes of an upstream.
const heartbeat = 1500 * time.Millisecond

// ports are the same on all machines.
type ports struct{ outbound, inbound, ready, admin, app, store int }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir          string
	ports        ports
	store        *store
	machines     []*machine
	strictRevoke bool
	quotas       bool
	record       *record
}

// machine has a daemon and, beside it, an upstream.
type machine struct {
	fleet                     *fleet
	ip, zone, region, service string
	upstream                  *upstream

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }
func (m *machine) outbound() string        { return m.address(m.fleet.ports.outbound) }
func (m *machine) ready() string           { return m.address(m.fleet.ports.ready) }
func (m *machine) appAddress() string      { return m.address(m.fleet.ports.app) }

// storeAddress is the store's address for this machine, so that the store can tell machines apart.
func (m *machine) storeAddress() string { return m.address(m.fleet.ports.store) }

// place says where a machine is and what its upstream belongs to.
type place struct{ zone, region, service string }

// newFleet opens the store, starts the upstreams and registers them. Daemons are started by the case.
func newFleet(r *record, places []place) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r}
	for i, p := range places {
		f.machines = append(f.machines, &machine{fleet: f, ip: fmt.Sprintf("127.93.%d.%d", os.Getpid()%200+1, i+1), zone: p.zone, region: p.region, service: p.service})
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	var addresses []string
	for _, m := range f.machines {
		addresses = append(addresses, m.storeAddress())
	}
	if f.store, err = newStore(addresses); err != nil {
		return nil, err
	}
	for i, m := range f.machines {
		if m.upstream, err = newUpstream(m, fmt.Sprintf("i-%04d", i+1)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Ports are chosen below those that the system gives to outgoing connections, which could take the
// port of a daemon that is being restarted.
const (
	firstPort = 20_000
	lastPort  = 31_000
)

// choosePorts finds ports that are free on all machines.
func (f *fleet) choosePorts() error {
	next := firstPort + rand.IntN(lastPort-firstPort)
	for _, port := range []*int{&f.ports.outbound, &f.ports.inbound, &f.ports.ready, &f.ports.admin, &f.ports.app, &f.ports.store} {
		for !f.isFree(next) {
			next++
			if next > lastPort {
				return errors.New("no port is free on all machines")
			}
		}
		*port = next
		next++
	}
	return nil
}

func (f *fleet) isFree(port int) bool {
	for _, m := range f.machines {
		l, err := net.Listen("tcp", m.address(port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// start starts the daemon of a machine with the command of the deploy file.
func (m *machine) start() error {
	text, err := settingsOf(m.fleet, m)
	if err != nil {
		return err
	}
	file := filepath.Join(m.fleet.dir, m.ip+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/cowsliprun-sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPRUN_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.fleet.record.note("daemon %s ended: %v", m.ip, err)
		close(ended)
	}()
	m.fleet.record.note("daemon %s started", m.ip)
	return nil
}

// kill ends the daemon at once and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.process, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill() //nolint:errcheck // it has ended
	<-ended
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready() + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the daemons of the machines and waits until they are ready.
func (f *fleet) startAll(machines []*machine) error {
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready", m.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the folder. The logs of the daemons are kept if keepLogs is set.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		os.CopyFS(dir, os.DirFS(f.dir)) //nolint:errcheck // for inspection only
	}
	os.RemoveAll(f.dir)
}

// publish writes a configuration of the operator.
func (f *fleet) publish(c map[string]any) {
	text, _ := json.Marshal(c)
	ok := f.store.put("op/config", string(text))
	f.record.note("operator writes version %v, acknowledged: %v", c["Version"], ok)
}

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
