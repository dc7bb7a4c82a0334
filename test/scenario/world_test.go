package scenario

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.yaml.in/yaml/v3"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// hangLimit guards against a scenario that waits for ever. It is no bound of performance: conditions hold within seconds.
const hangLimit = 90 * time.Second

// platformName is the name of the platform's process, and of its end of the paths that cut takes.
const platformName = "platform"

// world is the fleet of one scenario with what drives and watches it.
type world struct {
	dir       string
	fleet     *fleet.Fleet
	client    *http.Client
	relays    map[string]*relay
	paths     *paths
	loads     map[string]*load
	transfers map[string]*transfer
	floor     *floorWatch
	callers   map[string]string
	admins    map[string]string
	addresses *pageAddresses

	mu     sync.Mutex
	pids   map[string]int  // of the daemons that run now, by VM
	paused map[string]bool // daemons that are stopped by a signal and respond to nothing
	mayEnd map[string]bool // processes that the script killed or asked to stop
}

func newWorld(dir string) *world {
	return &world{
		dir: dir, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}, relays: map[string]*relay{}, paths: newPaths(),
		loads: map[string]*load{}, transfers: map[string]*transfer{}, callers: map[string]string{}, admins: map[string]string{}, pids: map[string]int{},
		paused: map[string]bool{}, mayEnd: map[string]bool{}, addresses: newPageAddresses(),
	}
}

func (w *world) close() {
	for _, l := range w.loads {
		l.stop()
	}
	if w.floor != nil {
		w.floor.stop()
	}
	if w.fleet != nil {
		w.fleet.Kill()
	}
	for _, r := range w.relays {
		r.close()
	}
	w.client.CloseIdleConnections()
}

// layout is the short description of a fleet in a scenario.
type layout struct {
	VMs         int                   `yaml:"vms"`
	DataCentres []contract.DataCentre `yaml:"dataCentres"`
	Backends    int                   `yaml:"backends"`
	Slots       int                   `yaml:"slots"`
	Services    []contract.Service    `yaml:"services"`
	Contracts   []contract.Contract   `yaml:"contracts"`
	// Relays leads the traffic between daemons, and from daemons to the platform, through relays, which cut needs. A relay accepts
	// connections while its daemon is dead, so scenarios that kill daemons do without.
	Relays bool `yaml:"relays"`
}

// defaultLayout is a service of six backend servers on three VMs in two data centres. The floor is four of six.
const defaultLayout = `
vms: 3
dataCentres: [{dataCentre: rvk1, region: reykjavik}, {dataCentre: rvk2, region: reykjavik}]
backends: 6
slots: 5
services: [{service: stock, floorPercent: 66, preset: fast-detection, detector: {coldStart: 1}}]
`

// defaultContract limits nothing that a scenario reaches. The share of retries is that of a customer who wants every answer.
const defaultContract = `
customer: shop
routes:
- {pathPrefix: /stock, methods: [GET], service: stock, deadline: 3s}
- {pathPrefix: /notes, methods: [POST], service: stock, deadline: 3s}
- {pathPrefix: /orders, methods: [POST], service: stock, atMostOnce: true, deadline: 3s}
- {pathPrefix: /size, methods: [GET], service: stock, deadline: 1m}
- {pathPrefix: /upload, methods: [PUT], service: stock, deadline: 1m}
limits: {ratePerSecond: 100000, burst: 100000, concurrency: 10000, maxRequestBytes: 268435456}
retryBudgetPercent: 100
`

// cmdFleet starts a fleet and waits until every backend server is in full service: fleet [FILE]. Fields that the file leaves
// out are those of defaultLayout; without contracts there is defaultContract.
func cmdFleet(ts *testscript.TestScript, w *world, args []string) {
	var l layout
	ts.Check(yaml.Unmarshal([]byte(defaultLayout), &l))
	if len(args) == 1 {
		ts.Check(yaml.Unmarshal([]byte(ts.ReadFile(args[0])), &l))
	}
	if len(l.Contracts) == 0 {
		var c contract.Contract
		ts.Check(yaml.Unmarshal([]byte(defaultContract), &c))
		l.Contracts = []contract.Contract{c}
	}
	docs := fleet.Layout{
		DataCentres: l.DataCentres, VMs: l.VMs, Services: l.Services, BackendsPerService: l.Backends, Slots: l.Slots, Contracts: l.Contracts,
	}.Documents(freeAddress)
	w.launch(ts, docs, freeAddress(), l.Relays)
}

// launch starts a fleet with these documents and waits until every backend server is in full service.
func (w *world) launch(ts *testscript.TestScript, docs contract.Documents, platform string, relays bool) {
	listen := map[string]string{}
	for _, vm := range docs.VMs {
		listen[vm.VM] = vm.PeerAddress
		w.callers[vm.VM] = freeAddress()
		w.admins[vm.VM] = "http://" + vm.AdminAddress
		if !relays {
			continue
		}
		listen[vm.VM] = freeAddress()
		r, err := newRelay(vm.VM, vm.PeerAddress, listen[vm.VM], w.paths, w.daemonOf)
		ts.Check(err)
		w.relays[vm.VM] = r
	}
	readers := platform
	if relays {
		readers = freeAddress()
		r, err := newRelay(platformName, readers, platform, w.paths, w.daemonOf)
		ts.Check(err)
		w.relays[platformName] = r
	}
	w.fleet = fleet.New(fleet.Options{
		Bin: programs, Dir: w.dir, Platform: platform, Documents: docs,
		Callers:     func(vm string) string { return w.callers[vm] },
		PeerListen:  func(vm contract.VM) string { return listen[vm.VM] },
		PlatformFor: func(string) string { return "http://" + readers },
	})
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	ts.Check(w.fleet.StartPlatform(ctx))
	for _, svc := range docs.Services {
		for _, b := range svc.BackendServers {
			ts.Check(w.fleet.StartBackend(b))
		}
	}
	for _, vm := range docs.VMs {
		ts.Check(w.startDaemon(vm.VM))
	}
	for _, vm := range docs.VMs {
		ts.Check(w.fleet.WaitReady(ctx, vm.VM))
	}
	w.awaitAll(ts, "all backend servers are active", w.allActive)
	w.floor = watchFloor(w, docs.Services)
}

func (w *world) startDaemon(vm string) error {
	if err := w.fleet.StartDaemon(vm); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids[vm] = w.fleet.Daemons[vm].PID()
	return nil
}

func (w *world) setMayEnd(name string, mayEnd bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayEnd[name] = mayEnd
}

// endedBySelf describes the processes that ended although the script neither killed them nor asked them to stop.
func (w *world) endedBySelf() []string {
	processes := maps.Clone(w.fleet.Daemons)
	maps.Copy(processes, w.fleet.Backends)
	processes[platformName] = w.fleet.Platform
	var list []string
	for name, p := range processes {
		select {
		case <-p.Exited():
			if !w.mayEnd[name] {
				list = append(list, endOf(p))
			}
		default:
		}
	}
	slices.Sort(list)
	return list
}

// endOf describes how a process ended, with the end of its log.
func endOf(p *fleet.Process) string {
	log, _ := os.ReadFile(p.Log)
	return fmt.Sprintf("%s ended with %v; the end of its log:\n%s", p.Name, p.Err(), log[max(0, len(log)-2000):])
}

func (w *world) daemonStopped(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pids, vm)
	delete(w.paused, vm)
}

// processIDs returns the process ids of the daemons that run, by VM.
func (w *world) processIDs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.pids)
}

// running returns the VMs whose daemons run and are not paused, in order.
func (w *world) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var vms []string
	for vm := range w.pids {
		if !w.paused[vm] {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

func (w *world) setPaused(name string, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[name] = paused
}

// Ports lie below the range from which the system draws the local ports of connections, so that the port of a stopped process
// stays free until its restart.
const (
	firstPort = 20000
	portCount = 12000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 61) }

// freeAddress returns a loopback address that nothing listens on and that no other scenario of this process got.
func freeAddress() string {
	for range portCount {
		port := firstPort + int(nextPort.Add(1))%portCount
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			listener.Close()
			return listener.Addr().String()
		}
	}
	panic(fmt.Sprintf("no free port in %d to %d", firstPort, firstPort+portCount-1))
}
