package scenario

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.yaml.in/yaml/v3"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
	"github.com/cowsliprun/cowsliprun/internal/standin/freeport"
)

// stepTimeout limits each wait of a scenario, so that none waits forever. It is no performance
// bound: the conditions normally hold within seconds.
const stepTimeout = 90 * time.Second

// platformName is the name of the platform's process, and of the platform as an endpoint of cut and
// heal.
const platformName = "platform"

// harness holds the fleet of one scenario, and the loads and monitors that run with it. The
// commands of a scenario run one after another, so that only fields that background goroutines use
// are guarded by mu.
type harness struct {
	// dir is the working directory of the scenario and of the fleet.
	dir    string
	fleet  *fleet.Fleet
	client *http.Client
	// relays holds the relay of each VM and of the platform, if the layout has relays.
	relays       map[string]*relay
	links        *linkStates
	loads        map[string]*load
	transfers    map[string]*transfer
	floorMonitor *floorMonitor
	// callerAddresses holds the address, and adminURLs the base URL, of each VM's listeners.
	callerAddresses map[string]string
	adminURLs       map[string]string
	addresses       *addressMap

	mu sync.Mutex
	// pids holds the process ids of the running daemons, by VM.
	pids map[string]int
	// paused holds the processes that are stopped by SIGSTOP, by name.
	paused map[string]bool
	// exitExpected holds the processes that the scenario killed or asked to stop, by name.
	exitExpected map[string]bool
}

func newHarness(dir string) *harness {
	return &harness{
		dir: dir, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}, relays: map[string]*relay{}, links: newLinkStates(),
		loads: map[string]*load{}, transfers: map[string]*transfer{}, callerAddresses: map[string]string{}, adminURLs: map[string]string{}, pids: map[string]int{},
		paused: map[string]bool{}, exitExpected: map[string]bool{}, addresses: newAddressMap(),
	}
}

// close ends the loads, the floor monitor, all processes and the relays.
func (h *harness) close() {
	for _, l := range h.loads {
		l.stop()
	}
	if h.floorMonitor != nil {
		h.floorMonitor.stop()
	}
	if h.fleet != nil {
		h.fleet.Kill()
	}
	for _, r := range h.relays {
		r.close()
	}
	h.client.CloseIdleConnections()
}

// layout is the YAML form of a fleet in a scenario file.
type layout struct {
	VMs         int                   `yaml:"vms"`
	DataCentres []contract.DataCentre `yaml:"dataCentres"`
	Backends    int                   `yaml:"backends"`
	Slots       int                   `yaml:"slots"`
	Services    []contract.Service    `yaml:"services"`
	Contracts   []contract.Contract   `yaml:"contracts"`
	// Relays routes the connections between daemons, and from daemons to the platform, through
	// relays, which the commands cut and heal need. A relay accepts connections even while its
	// daemon is dead, so scenarios that kill daemons do not use relays.
	Relays bool `yaml:"relays"`
}

// defaultLayout has a service of six backend servers on three VMs in two data centres. Its floor is
// four of six.
const defaultLayout = `
vms: 3
dataCentres: [{dataCentre: rvk1, region: reykjavik}, {dataCentre: rvk2, region: reykjavik}]
backends: 6
slots: 5
services: [{service: stock, floorPercent: 66, preset: fast-detection, detector: {coldStart: 1}}]
`

// defaultContract has limits that no scenario reaches. Its retry budget allows as many retries as
// requests, for a customer who wants every request answered.
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

// cmdFleet implements "fleet [FILE]": it starts a fleet and waits until every backend server is
// active. FILE is a layout in YAML; fields that it omits come from defaultLayout. A layout without
// contracts gets defaultContract.
func cmdFleet(ts *testscript.TestScript, h *harness, args []string) {
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
	h.launch(ts, docs, freeAddress(), l.Relays)
}

// launch starts a fleet with the documents, waits until every backend server is active, and starts
// the floor monitor.
func (h *harness) launch(ts *testscript.TestScript, docs contract.Documents, platform string, relays bool) {
	listen := map[string]string{}
	for _, vm := range docs.VMs {
		listen[vm.VM] = vm.PeerAddress
		h.callerAddresses[vm.VM] = freeAddress()
		h.adminURLs[vm.VM] = "http://" + vm.AdminAddress
		if !relays {
			continue
		}
		listen[vm.VM] = freeAddress()
		r, err := newRelay(vm.VM, vm.PeerAddress, listen[vm.VM], h.links, h.vmOfConn)
		ts.Check(err)
		h.relays[vm.VM] = r
	}
	platformForDaemons := platform
	if relays {
		platformForDaemons = freeAddress()
		r, err := newRelay(platformName, platformForDaemons, platform, h.links, h.vmOfConn)
		ts.Check(err)
		h.relays[platformName] = r
	}
	h.fleet = fleet.New(fleet.Options{
		Bin: programDir, Dir: h.dir, Platform: platform, Documents: docs,
		Callers:     func(vm string) string { return h.callerAddresses[vm] },
		PeerListen:  func(vm contract.VM) string { return listen[vm.VM] },
		PlatformFor: func(string) string { return "http://" + platformForDaemons },
	})
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	ts.Check(h.fleet.StartPlatform(ctx))
	for _, svc := range docs.Services {
		for _, b := range svc.BackendServers {
			ts.Check(h.fleet.StartBackend(b))
		}
	}
	for _, vm := range docs.VMs {
		ts.Check(h.startDaemon(vm.VM))
	}
	for _, vm := range docs.VMs {
		ts.Check(h.fleet.WaitReady(ctx, vm.VM))
	}
	h.awaitCondition(ts, "all backend servers are active", h.allBackendsActive)
	h.floorMonitor = startFloorMonitor(h, docs.Services)
}

// startDaemon starts the daemon of a VM and records its process id.
func (h *harness) startDaemon(vm string) error {
	if err := h.fleet.StartDaemon(vm); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pids[vm] = h.fleet.Daemons[vm].PID()
	return nil
}

func (h *harness) setExitExpected(name string, expected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitExpected[name] = expected
}

// unexpectedExits describes the processes that ended although the scenario neither killed them nor
// asked them to stop.
func (h *harness) unexpectedExits() []string {
	processes := maps.Clone(h.fleet.Daemons)
	maps.Copy(processes, h.fleet.Backends)
	processes[platformName] = h.fleet.Platform
	var list []string
	for name, p := range processes {
		select {
		case <-p.Exited():
			if !h.exitExpected[name] {
				list = append(list, describeExit(p))
			}
		default:
		}
	}
	slices.Sort(list)
	return list
}

// describeExit returns how a process ended and the last 2000 bytes of its log.
func describeExit(p *fleet.Process) string {
	log, _ := os.ReadFile(p.Log)
	return fmt.Sprintf("process %s exited with %v; the last bytes of its log:\n%s", p.Name, p.Err(), log[max(0, len(log)-2000):])
}

// markStopped records that the daemon of a VM no longer runs.
func (h *harness) markStopped(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pids, vm)
	delete(h.paused, vm)
}

// daemonPIDs returns the process ids of the running daemons, by VM.
func (h *harness) daemonPIDs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.pids)
}

// runningVMs returns the sorted VMs whose daemons run and are not paused.
func (h *harness) runningVMs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var vms []string
	for vm := range h.pids {
		if !h.paused[vm] {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

func (h *harness) setPaused(name string, paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused[name] = paused
}

// freeAddress returns a loopback address on which nothing listens. Nobody else gets it, so that it is
// still free when the daemon that has it starts again.
func freeAddress() string {
	port, err := freeport.Next(1)
	if err != nil {
		panic(err)
	}
	return "127.0.0.1:" + strconv.Itoa(port)
}
