package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/platform"
	standin "github.com/cowsliprun/cowsliprun/internal/standin/platform"
)

// daemon is one daemon, reduced to its propagation of configuration.
type daemon struct {
	vm              membership.VM
	runner          *configsync.Runner
	client          *configsync.Client
	platform        *platform.Client
	server          *http.Server
	listener        net.Listener
	peerTraffic     traffic
	platformTraffic traffic
	stop            context.CancelFunc
	stopped         chan struct{}
}

// unimplementedMethods answers the methods that configsync.Handler does not have. It is nested one
// level deeper than the handler, so that the handler's methods take precedence.
type unimplementedMethods struct {
	peerapiconnect.UnimplementedPeerServiceHandler
}

// peerService serves the requests of other daemons.
type peerService struct {
	unimplementedMethods
	*configsync.Handler
}

// fleet is a set of daemons with a stand-in platform. Its methods, except apply, must be called by
// one goroutine.
type fleet struct {
	daemons         []*daemon
	store           *standin.Store
	platformStandin *standin.Server
	publisher       *publisher
	platformURL     string
	platformServer  *http.Server

	mu sync.Mutex // guards the fields below
	// awaitedName and awaitedRevision identify the change that measureChange waits for.
	awaitedName     string
	awaitedRevision uint64
	// appliedAt holds the time at which each VM put the awaited change in force.
	appliedAt map[string]time.Time
	// allApplied is closed when all daemons have done so, and nil afterwards.
	allApplied chan struct{}
}

func newFleet(n int, o options) (*fleet, error) {
	f := &fleet{store: standin.NewStore()}
	f.platformStandin, f.publisher = standin.New(f.store, ""), newPublisher(f.store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.platformURL = "http://" + listener.Addr().String()
	f.platformServer = &http.Server{Handler: f.platformStandin.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.platformServer.Serve(listener) }()
	var vms []membership.VM
	var listedVMs []standin.VM
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		dc := i % o.dataCentres
		vm := membership.VM{
			ID: fmt.Sprintf("vm%04d", i), DataCentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("region%d", dc%2),
			Address: listener.Addr().String(),
		}
		vms = append(vms, vm)
		listedVMs = append(listedVMs, standin.VM{ID: vm.ID, State: "live"})
		f.daemons = append(f.daemons, &daemon{vm: vm, listener: listener})
	}
	if err := f.platformStandin.SetVMs(listedVMs); err != nil {
		return nil, err
	}
	if err := f.publisher.publishAll(vms, o.buckets); err != nil {
		return nil, err
	}
	for i, d := range f.daemons {
		f.startDaemon(d, uint64(i)+1, o.fanout)
	}
	return f, nil
}

// startDaemon serves peers on d's listener and runs its propagation until d.stop is called. The
// first daemons of the fleet, up to three, are its seed peers.
func (f *fleet) startDaemon(d *daemon, seed uint64, fanout int) {
	var seeds []string
	for i := range min(3, len(f.daemons)) {
		seeds = append(seeds, f.daemons[i].vm.Address)
	}
	d.client = configsync.NewClient(d.peerTraffic.dial)
	d.platform = platform.New(platform.Options{BaseURL: f.platformURL, DialContext: d.platformTraffic.dial})
	d.runner = configsync.New(configsync.Options{
		Members:     membership.New(membership.Config{Self: d.vm, Seeds: seeds, Salt: seed * 0x9e3779b97f4a7c15}),
		Incarnation: seed, Seed: seed, Platform: d.platform, Peers: d.client, Fanout: fanout,
		Apply: func(u configsync.Update) ([]byte, error) { return nil, f.apply(d, u.Name, u.Revision, u.Content) },
	})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	mux := http.NewServeMux()
	mux.Handle(peerapiconnect.NewPeerServiceHandler(&peerService{Handler: d.runner.Handler()}, configsync.HandlerOptions()...))
	d.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(countingListener{d.listener, &d.peerTraffic}) }()
	ctx, cancel := context.WithCancel(context.Background())
	d.stop, d.stopped = cancel, make(chan struct{})
	go func() {
		d.runner.Run(ctx)
		close(d.stopped)
	}()
}

// apply puts the list of VMs in force and records when d received the awaited change. It is called
// concurrently.
func (f *fleet) apply(d *daemon, name string, revision uint64, content []byte) error {
	if name == configsync.VMsName {
		var vms []membership.VM
		if err := json.Unmarshal(content, &vms); err != nil {
			return err
		}
		d.runner.SetDirectory(membership.NewDirectory(vms))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.awaitedName && revision >= f.awaitedRevision {
		if _, applied := f.appliedAt[d.vm.ID]; !applied {
			f.appliedAt[d.vm.ID] = time.Now()
		}
		if len(f.appliedAt) == len(f.daemons) && f.allApplied != nil {
			close(f.allApplied)
			f.allApplied = nil
		}
	}
	return nil
}

// measureChange changes a contract of bucket i and returns the time until each daemon put the
// change in force. It fails if one has not done so within timeout.
func (f *fleet) measureChange(i, generation int, timeout time.Duration) ([]time.Duration, error) {
	allApplied := make(chan struct{})
	f.mu.Lock()
	f.awaitedName, f.awaitedRevision = contractBucketName(i), f.store.Revision()+1
	f.appliedAt, f.allApplied = map[string]time.Time{}, allApplied
	f.mu.Unlock()
	began := time.Now()
	if _, _, err := f.publisher.changeContract(i, generation); err != nil {
		return nil, err
	}
	select {
	case <-allApplied:
	case <-time.After(timeout):
		return nil, fmt.Errorf("configuration change was not in force at all daemons after %s", timeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Duration
	for _, at := range f.appliedAt {
		times = append(times, at.Sub(began))
	}
	return times, nil
}

// waitReady waits until all daemons are ready and returns how long that took. It fails after
// timeout.
func (f *fleet) waitReady(timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for {
		reason := ""
		for _, d := range f.daemons {
			if ready, why := d.runner.Ready(); !ready {
				reason = d.vm.ID + ": " + why
				break
			}
		}
		if reason == "" {
			return time.Since(began), nil
		}
		if time.Since(began) > timeout {
			return 0, fmt.Errorf("not all daemons were ready after %s: %s", timeout, reason)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// close stops all daemons and the stand-in platform.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		<-d.stopped
		d.client.Close()
		d.platform.Close()
		_ = d.server.Close()
	}
	_ = f.platformServer.Close()
}
