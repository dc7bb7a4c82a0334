package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/http"
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
	"github.com/cowsliprun/cowsliprun/internal/listener"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/operation"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// Daemon is one proxy process. Create it with New, then call Run once. Drain and Addresses may be
// called from any goroutine.
type Daemon struct {
	settings settings.Settings
	// incarnation tells this process from earlier ones on the same VM.
	incarnation uint64
	log         *telemetry.Logger
	audit       *audit.Trail

	// config holds the configuration in force.
	config     *inforce.Configuration
	configSync *configsync.Runner
	home       *home.Home
	entry      *entry.Entry
	// operations remembers the operation keys that this daemon owns, with the responses of their
	// runs.
	operations *operation.Memory
	// limitsHolder grants shares of those customers' limits that this daemon holds for its region.
	// shares holds the shares granted to this daemon.
	limitsHolder *limits.Holder
	shares       *limits.Limiter
	peers        *peerClients
	platform     *platformClient
	metrics      *metrics.Set
	// controlTraffic counts the bytes of the control messages that this daemon initiates, in both
	// directions. Those that it answers are counted by the daemons that initiate them.
	controlTraffic forward.Traffic
	// comparisonsSent counts the comparison requests. lastControlBytes and lastComparisonBytes are
	// the byte counts at the last call of updateComparisonBudget.
	comparisonsSent                       atomic.Uint64
	lastControlBytes, lastComparisonBytes uint64
	started                               time.Time

	// publishPending wakes the goroutine that puts applied values in force.
	publishPending chan struct{}
	// regionPlanned is set once a limits plan has included VMs of this region. Only the goroutine
	// that publishes uses it.
	regionPlanned bool
	// sharesWanted wakes the goroutine that requests shares of limits.
	sharesWanted chan struct{}
	// startGate opens when the values that the start procedure collected are in force.
	startGate startGate

	guard     *peerGuard
	drainOnce sync.Once
	// drainDone is closed when the drain has finished.
	drainDone chan struct{}
	listeners listeners
}

// Options are the arguments of New besides the settings.
type Options struct {
	// Log receives the log and Audit the audit trail, as JSON lines. Both are required.
	Log, Audit io.Writer
}

// New builds a daemon and opens its listeners. Connections are not served before Run. On error, no
// listener is left open.
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
		log: log, audit: audit.New(s.VM, audit.DefaultCapacity, o.Audit), metrics: metrics.NewSet(), config: inforce.New(),
		publishPending: make(chan struct{}, 1), sharesWanted: make(chan struct{}, 1), drainDone: make(chan struct{}),
	}
	d.platform = newPlatformClient(s.Platform)
	d.peers = newPeerClients(&d.controlTraffic)
	d.configSync = d.newRunner()
	d.home = home.New(home.Options{VM: s.VM, Observer: d.modeChanged, Log: log.Part("home"), Seed: d.incarnation})
	plan := limits.Plan{Daemons: 1} // until updateLimitsPlan
	d.limitsHolder = limits.NewHolder(time.Now(), s.VM, plan)
	d.shares = limits.NewLimiter(time.Now(), limits.Sender{VM: s.VM, Incarnation: d.incarnation}, plan)
	d.operations = operation.NewMemory(s.VM, d.incarnation, operation.Options{})
	d.entry = entry.New(entry.Options{
		VM: s.VM, Locality: catalog.Locality{DataCentre: s.DataCentre, Region: s.Region},
		Snapshot: d.snapshot, Incarnation: d.incarnation, Memory: d.operations, Leaving: d.home.Leaving,
		Limiter: &limiter{shares: d.shares, sharesWanted: d.sharesWanted}, Transport: forward.NewPeerTransport(forward.PeerOptions{}),
		Observer: requestMetrics{d.metrics}, Seed: d.incarnation, Log: log.Part("entry"), TrustedProxies: prefixes(s.TrustedProxies),
	})
	d.guard = newPeerGuard(s, log.Part("peer"))
	d.registerGauges()
	return d, nil
}

// newIncarnation returns a random number that tells this process from earlier ones on the same VM.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24.
	return binary.BigEndian.Uint64(b[:])
}

// newRunner returns the part that keeps the configuration up to date from the platform and from
// peers.
func (d *Daemon) newRunner() *configsync.Runner {
	seeds := make([]string, 0, len(d.settings.SeedPeers))
	for _, p := range d.settings.SeedPeers {
		seeds = append(seeds, p.Address)
	}
	self := membership.VM{ID: d.settings.VM, DataCentre: d.settings.DataCentre, Region: d.settings.Region, Address: d.settings.Listen.Peer}
	return configsync.New(configsync.Options{
		Members:     membership.New(membership.Config{Self: self, Seeds: seeds, Salt: d.incarnation}),
		Incarnation: d.incarnation, Platform: d.platform, Peers: configsync.NewClient(d.controlTraffic.Dial), Apply: d.apply, Seed: d.incarnation,
	})
}

// snapshot returns the configuration in force, or nil until the values of the start procedure are
// in force. Before that, peers may hold newer values.
func (d *Daemon) snapshot() *catalog.Snapshot {
	if !d.startGate.isOpen() {
		return nil
	}
	return d.config.Snapshot()
}

// Run serves until ctx ends, a drain has finished or a listener fails, and then stops. When ctx
// ends it drains first. It returns the error of a failed listener.
func (d *Daemon) Run(ctx context.Context) error {
	log := d.log.Part("daemon")
	log.Info("The daemon is starting.", "vm", d.settings.VM, "data_centre", d.settings.DataCentre, "incarnation", d.incarnation)
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		d.configSync.Run, d.publish, d.reportSyncEvents, d.tickHome, d.tickShares, d.trackLiveVMs,
	} {
		loops.Go(func() { loop(workCtx) })
	}
	failed := d.serve()
	var err error
	select {
	case err = <-failed:
		log.Error("A listener failed; the daemon stops.", "err", err)
	case <-ctx.Done():
		d.Drain("signal")
	case <-d.drainDone:
	}
	if err == nil {
		<-d.drainDone
	}
	d.close()
	stop()
	loops.Wait()
	log.Info("The daemon has stopped.")
	return err
}

// Drain begins the graceful stop and returns at once. Run returns when the drain has finished. Only
// the first call has an effect. The audit trail names actor.
func (d *Daemon) Drain(actor string) {
	d.drainOnce.Do(func() {
		d.audit.Add(audit.Entry{Actor: actor, Action: "drain", Subject: "VM " + d.settings.VM, Accepted: true})
		d.log.Part("daemon").Info("The drain begins.", "actor", actor)
		d.configSync.SetLeaving(true)
		go d.drain()
	})
}

const (
	// callersGracePeriod is the time after the home has drained in which callers are still served
	// and each response closes its HTTP/1 connection, so that connections end between two requests.
	// HTTP/2 does not need it: it has the GOAWAY frame for that.
	callersGracePeriod = time.Second
	// acceptedGracePeriod is the time between closing a listener and http.Server.Shutdown. Shutdown closes a connection without a response if its request is read
	// after Shutdown began, so requests on accepted connections get this time to be read.
	acceptedGracePeriod = 250 * time.Millisecond
)

// drain waits for requests in flight at the home, then at the callers' listener, then at the peer
// listener. All of them together get the time limits.drainStopLimit of the settings.
func (d *Daemon) drain() {
	defer close(d.drainDone)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Limits.DrainStopLimit))
	defer cancel()
	if err := d.home.Drain(ctx); err != nil {
		d.log.Part("daemon").Warn("The drain stop limit has passed; requests to backend servers are aborted.", "limit", d.settings.Limits.DrainStopLimit)
	}
	pause.For(ctx, callersGracePeriod)
	if err := stopServing(ctx, d.listeners.callersListener, d.listeners.callers); err != nil {
		d.log.Part("daemon").Warn("The drain stop limit has passed; requests of callers are aborted.", "limit", d.settings.Limits.DrainStopLimit)
	}
	// The peer listener closes last: operations that other daemons forwarded to this one, which
	// owns their keys, may still run.
	if err := stopServing(ctx, d.listeners.peerListener, d.listeners.peer); err != nil {
		d.log.Part("daemon").Warn("The drain stop limit has passed; requests of other daemons are aborted.", "limit", d.settings.Limits.DrainStopLimit)
	}
}

// stopServing accepts the connections that clients have opened, closes the listener and waits until
// all requests have their responses, and those have been delivered. It returns the error of ctx if
// ctx ends before the last response.
func stopServing(ctx context.Context, l *listener.Listener, server *http.Server) error {
	l.Drain(ctx)
	pause.For(ctx, acceptedGracePeriod)
	err := server.Shutdown(ctx)
	l.WaitLingering(ctx)
	return err
}

// modeChanged records that the detector changed the mode of a backend server.
func (d *Daemon) modeChanged(backend, service string, from, to ejection.Mode, reason string) {
	d.audit.Add(audit.Entry{
		Actor: "detector", Action: "mode", Subject: "backend server " + backend + " of service " + service,
		From: from.String(), To: to.String(), Accepted: true, Reason: reason,
	})
	d.log.Part("home").Info("A backend server changed its mode.", "backend", backend, "service", service, "from", from, "to", to, "reason", reason)
}

// Addresses returns the addresses of the open listeners, which the system chooses for port 0.
func (d *Daemon) Addresses() (callers, peer, admin net.Addr) {
	return d.listeners.callersAddr, d.listeners.peerAddr, d.listeners.adminAddr
}
