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

// node is one daemon, reduced to its propagation of configuration.
type node struct {
	vm       membership.VM
	runner   *configsync.Runner
	client   *configsync.Client
	platform *platform.Client
	server   *http.Server
	listener net.Listener
	peers    traffic
	reads    traffic
	stop     context.CancelFunc
	stopped  chan struct{}
}

// unimplemented lies one level below configsync.Handler, whose methods therefore win.
type unimplemented struct {
	peerapiconnect.UnimplementedPeerServiceHandler
}

type peerService struct {
	unimplemented
	*configsync.Handler
}

// fleet is a set of nodes with a stand-in of the platform.
type fleet struct {
	nodes    []*node
	store    *standin.Store
	standin  *standin.Server
	values   *values
	baseURL  string
	platform *http.Server

	mu sync.Mutex
	// applied holds the time at which each node put the awaited value in force.
	awaitName     string
	awaitRevision uint64
	applied       map[string]time.Time
	all           chan struct{}
}

func newFleet(n int, o options) (*fleet, error) {
	f := &fleet{store: standin.NewStore()}
	f.standin, f.values = standin.New(f.store, ""), newValues(f.store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.baseURL = "http://" + listener.Addr().String()
	f.platform = &http.Server{Handler: f.standin.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.platform.Serve(listener) }()
	var vms []membership.VM
	var list []standin.VM
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
		list = append(list, standin.VM{ID: vm.ID, State: "live"})
		f.nodes = append(f.nodes, &node{vm: vm, listener: listener})
	}
	if err := f.standin.SetVMs(list); err != nil {
		return nil, err
	}
	if err := f.values.load(vms, o.buckets); err != nil {
		return nil, err
	}
	for i, nd := range f.nodes {
		f.start(nd, uint64(i)+1, o.fanout)
	}
	return f, nil
}

func (f *fleet) start(nd *node, seed uint64, fanout int) {
	var seeds []string
	for i := range min(3, len(f.nodes)) {
		seeds = append(seeds, f.nodes[i].vm.Address)
	}
	nd.client = configsync.NewClient(nd.peers.dial)
	nd.platform = platform.New(platform.Options{BaseURL: f.baseURL, DialContext: nd.reads.dial})
	nd.runner = configsync.New(configsync.Options{
		Members:     membership.New(membership.Config{Self: nd.vm, Seeds: seeds, Salt: seed * 0x9e3779b97f4a7c15}),
		Incarnation: seed, Seed: seed, Platform: nd.platform, Peers: nd.client, Fanout: fanout,
		Apply: func(u configsync.Update) ([]byte, error) { return nil, f.apply(nd, u.Name, u.Revision, u.Content) },
	})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	mux := http.NewServeMux()
	mux.Handle(peerapiconnect.NewPeerServiceHandler(&peerService{Handler: nd.runner.Handler()}, configsync.HandlerOptions()...))
	nd.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = nd.server.Serve(countedListener{nd.listener, &nd.peers}) }()
	ctx, cancel := context.WithCancel(context.Background())
	nd.stop, nd.stopped = cancel, make(chan struct{})
	go func() {
		nd.runner.Run(ctx)
		close(nd.stopped)
	}()
}

func (f *fleet) apply(nd *node, name string, revision uint64, content []byte) error {
	if name == configsync.VMsName {
		var vms []membership.VM
		if err := json.Unmarshal(content, &vms); err != nil {
			return err
		}
		nd.runner.SetDirectory(membership.NewDirectory(vms))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.awaitName && revision >= f.awaitRevision {
		if _, known := f.applied[nd.vm.ID]; !known {
			f.applied[nd.vm.ID] = time.Now()
		}
		if len(f.applied) == len(f.nodes) && f.all != nil {
			close(f.all)
			f.all = nil
		}
	}
	return nil
}

// change makes one change and returns the times until it was in force at each node.
func (f *fleet) change(i, generation int, timeout time.Duration) ([]time.Duration, error) {
	all := make(chan struct{})
	f.mu.Lock()
	f.awaitName, f.awaitRevision = contractName(i), f.store.Revision()+1
	f.applied, f.all = map[string]time.Time{}, all
	f.mu.Unlock()
	began := time.Now()
	if _, _, err := f.values.change(i, generation); err != nil {
		return nil, err
	}
	select {
	case <-all:
	case <-time.After(timeout):
		return nil, fmt.Errorf("change was not in force everywhere after %s", timeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Duration
	for _, at := range f.applied {
		times = append(times, at.Sub(began))
	}
	return times, nil
}

// waitReady returns the time until all nodes were ready.
func (f *fleet) waitReady(timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for {
		reason := ""
		for _, nd := range f.nodes {
			if ready, why := nd.runner.Ready(); !ready {
				reason = nd.vm.ID + ": " + why
				break
			}
		}
		if reason == "" {
			return time.Since(began), nil
		}
		if time.Since(began) > timeout {
			return 0, fmt.Errorf("not ready after %s: %s", timeout, reason)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) close() {
	for _, nd := range f.nodes {
		nd.stop()
	}
	for _, nd := range f.nodes {
		<-nd.stopped
		nd.client.Close()
		nd.platform.Close()
		_ = nd.server.Close()
	}
	_ = f.platform.Close()
}
