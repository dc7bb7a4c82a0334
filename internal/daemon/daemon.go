package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/operation"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// Daemon is one running process. Create it with New, then call Run once.
type Daemon struct {
	settings    settings.Settings
	incarnation uint64
	log         *telemetry.Logger
	audit       *audit.Trail

	book     *inforce.Book
	sync     *configsync.Runner
	home     *home.Home
	entry    *entry.Entry
	memory   *operation.Memory
	holder   *limits.Holder
	shares   *limits.User
	peers    *peerClients
	platform *platformClient
	metrics  *metrics.Set
	// control counts the bytes of the control messages that this daemon starts; the ones it answers are counted at the others.
	control forward.Traffic
	// compared counts comparisons. lastTotal and lastCompared are the byte counts at the last division of the budget.
	compared                atomic.Uint64
	lastTotal, lastCompared uint64
	started                 time.Time

	// published wakes the goroutine that puts applied values in force.
	published chan struct{}
	// planned is true once the limits are divided with this region. The goroutine that publishes owns it.
	planned bool
	// askShares wakes the goroutine that asks for shares of limits.
	askShares chan struct{}
	// start opens when what the start procedure gathered is in force.
	start startGate

	guard     *peerGuard
	drainOnce sync.Once
	drained   chan struct{}
	listeners listeners
}

// Options of New besides the settings.
type Options struct {
	// Log receives log lines and Audit the audit trail as JSON lines. Both are required.
	Log, Audit io.Writer
}

// New builds the daemon and opens its listeners. Nothing is served before Run.
func New(s settings.Settings, o Options) (*Daemon, error) {
	d, err := build(s, o)
	if err != nil {
		return nil, err
	}
	return d, d.listen()
}

// build returns the daemon without its listeners.
func build(s settings.Settings, o Options) (*Daemon, error) {
	log, err := telemetry.NewLogger(o.Log, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, incarnation: newIncarnation(), started: time.Now().UTC(),
		log: log, audit: audit.New(s.VM, audit.DefaultCapacity, o.Audit), metrics: metrics.NewSet(), book: inforce.New(),
		published: make(chan struct{}, 1), askShares: make(chan struct{}, 1), drained: make(chan struct{}),
	}
	d.platform = newPlatformClient(s.Platform)
	d.peers = newPeerClients(&d.control)
	d.sync = d.newRunner()
	d.home = home.New(home.Options{VM: s.VM, Observer: d.modeChanged, Log: log.Part("home"), Seed: d.incarnation})
	plan := limits.Plan{Daemons: 1} // updatePlan replaces it
	d.holder = limits.NewHolder(time.Now(), s.VM, plan)
	d.shares = limits.NewUser(time.Now(), limits.Sender{VM: s.VM, Incarnation: d.incarnation}, plan)
	d.memory = operation.NewMemory(s.VM, d.incarnation, operation.Options{})
	d.entry = entry.New(entry.Options{
		VM: s.VM, Locality: catalog.Locality{DataCentre: s.DataCentre, Region: s.Region},
		Snapshot: d.snapshot, Incarnation: d.incarnation, Memory: d.memory, Leaving: d.home.Leaving,
		Limiter: &limiter{user: d.shares, ask: d.askShares}, Transport: forward.NewPeerTransport(nil),
		Observer: requestMetrics{d.metrics}, Seed: d.incarnation, Log: log.Part("entry"), TrustedProxies: prefixes(s.TrustedProxies),
	})
	d.guard = newPeerGuard(s, log.Part("peer"))
	d.addGauges()
	return d, nil
}

// newIncarnation draws the number that tells this process from earlier ones of the same VM.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24.
	return binary.BigEndian.Uint64(b[:])
}

func (d *Daemon) newRunner() *configsync.Runner {
	seeds := make([]string, 0, len(d.settings.SeedPeers))
	for _, p := range d.settings.SeedPeers {
		seeds = append(seeds, p.Address)
	}
	self := membership.VM{ID: d.settings.VM, DataCentre: d.settings.DataCentre, Region: d.settings.Region, Address: d.settings.Listen.Peer}
	return configsync.New(configsync.Options{
		Members:     membership.New(membership.Config{Self: self, Seeds: seeds, Salt: d.incarnation}),
		Incarnation: d.incarnation, Platform: d.platform, Peers: configsync.NewClient(d.control.Dial), Apply: d.apply, Seed: d.incarnation,
	})
}

// snapshot returns the configuration in force once the start procedure is over: before that, newer values may exist at peers.
func (d *Daemon) snapshot() *catalog.Snapshot {
	if !d.start.isOpen() {
		return nil
	}
	return d.book.Snapshot()
}

// Run serves until ctx ends or a drain is over, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	log := d.log.Part("daemon")
	log.Info("The daemon starts.", "vm", d.settings.VM, "data_centre", d.settings.DataCentre, "incarnation", d.incarnation)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){
		d.sync.Run, d.publish, d.writeSyncEvents, d.tickHome, d.tickShares, d.watchViews,
	} {
		duties.Go(func() { duty(work) })
	}
	failed := d.serve()
	var err error
	select {
	case err = <-failed:
		log.Error("A listener failed.", "err", err)
	case <-ctx.Done():
		d.Drain("signal")
	case <-d.drained:
	}
	if err == nil {
		<-d.drained
	}
	d.close()
	stop()
	duties.Wait()
	log.Info("The daemon has stopped.")
	return err
}

// Drain begins the graceful stop and returns at once. Run returns when it is over.
func (d *Daemon) Drain(actor string) {
	d.drainOnce.Do(func() {
		d.audit.Add(audit.Entry{Actor: actor, Action: "drain", Subject: "VM " + d.settings.VM, Accepted: true})
		d.log.Part("daemon").Info("The drain begins.", "actor", actor)
		d.sync.SetLeaving(true)
		go d.drain()
	})
}

const (
	// callersGrace is the time after the home's drain in which callers are still served, each response closing its connection.
	// It lets connections in use end between two requests; HTTP/2 has a message for that and needs no such time.
	callersGrace = time.Second
	// acceptedGrace is the time after the callers' listener is closed in which the requests of accepted connections are read.
	// http.Server.Shutdown closes a connection without a response when it reads a request after its begin.
	acceptedGrace = 250 * time.Millisecond
)

// drain lets the home finish, then the callers' side, then the peers. All share the stop limit of the settings.
func (d *Daemon) drain() {
	defer close(d.drained)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Limits.DrainStopLimit))
	defer cancel()
	if err := d.home.Drain(ctx); err != nil {
		d.log.Part("daemon").Warn("The stop limit cuts requests to backend servers.", "limit", d.settings.Limits.DrainStopLimit)
	}
	pause.For(ctx, callersGrace)
	d.listeners.callersOn.Close()
	pause.For(ctx, acceptedGrace)
	if err := d.listeners.callers.Shutdown(ctx); err != nil {
		d.log.Part("daemon").Warn("The stop limit cuts requests of callers.", "limit", d.settings.Limits.DrainStopLimit)
	}
	// The peer listener ends last: operations that other entries sent to this daemon as their owner may still run.
	if err := d.listeners.peer.Shutdown(ctx); err != nil {
		d.log.Part("daemon").Warn("The stop limit cuts requests of other daemons.", "limit", d.settings.Limits.DrainStopLimit)
	}
}

func (d *Daemon) modeChanged(backend, service string, from, to ejection.Mode, reason string) {
	d.audit.Add(audit.Entry{
		Actor: "detector", Action: "mode", Subject: "backend server " + backend + " of service " + service,
		From: from.String(), To: to.String(), Accepted: true, Reason: reason,
	})
	d.log.Part("home").Info("A backend server changed its mode.", "backend", backend, "service", service, "from", from, "to", to, "reason", reason)
}

// Addresses returns the addresses that the listeners got, for settings with port 0.
func (d *Daemon) Addresses() (callers, peer, admin net.Addr) {
	return d.listeners.callersAddr, d.listeners.peerAddr, d.listeners.adminAddr
}
