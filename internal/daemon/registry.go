package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/feed"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/listener"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/recovery"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/suspicion"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// restartTime is the usual time from the end of a daemon's home until the next daemon on the VM
	// serves.
	restartTime = 2 * time.Second
	// expireInterval is the time between two checks for expired registrations.
	expireInterval = 250 * time.Millisecond
	// entryExpireInterval is the time between two searches for expired state of the entry, which
	// visit all backend servers.
	entryExpireInterval = 5 * time.Second
	// loadReportTTL is how long load reports of other daemons are used: about the time that one
	// request takes.
	loadReportTTL = 300 * time.Millisecond
	// preferredBackends is the number of backend servers of a service that an entry normally uses:
	// enough for those that remain to have free slots while a third of them is gray.
	preferredBackends = 32
	// peerIdleTimeout and peerPingAfter apply to connections to other daemons. In a large region an
	// entry uses each of dozens of them every ten seconds or so: shorter times would cost a dial for
	// every other request, or more pings than requests. Requests on a dead connection are not
	// confirmed, and go elsewhere.
	peerIdleTimeout = 30 * time.Second
	peerPingAfter   = 20 * time.Second
	// bytesPerSecondOfMbps is 1 Mbit/s in bytes a second.
	bytesPerSecondOfMbps = 1e6 / 8
	// maxCapacityWait bounds how long a request waits while all backend servers refuse it.
	maxCapacityWait = 2 * time.Second
)

// RegistryOptions are the arguments of NewRegistryDaemon besides the settings.
type RegistryOptions struct {
	// Store returns the client of the registry at url. Required.
	Store func(url string) registry.Store
	// Dialect defines the headers of callers and backend servers. Default: dialect.Cowslip.
	Dialect dialect.Dialect
	// Log receives the log, and the audit trail as JSON lines. Required.
	Log io.Writer
}

// RegistryDaemon is one proxy process whose configuration comes from a registry. It has entry and
// home like Daemon, but no documents, shares of limits or operation keys. It serves once the state
// of the registry is complete, and from the begin of a drain it reports that it is not ready.
// Create it with NewRegistryDaemon, then call Run once.
type RegistryDaemon struct {
	settings settings.Settings
	log      *telemetry.Logger
	audit    *audit.Trail
	metrics  *metrics.Set

	entry *entry.Entry
	home  *home.Home
	guard *peerGuard
	feed  *feed.Source
	quota *registryQuota

	// mu guards fresh, table, buildOptions, lastPublish, unpublished and configurationInForce.
	mu sync.Mutex
	// fresh is set once the table has been complete and as new as the registry. It stays set.
	fresh        bool
	table        *registry.Table
	buildOptions registry.BuildOptions
	// configurationInForce is the operator's configuration of snapshot.
	configurationInForce *registry.Configuration
	// lastPublish is the time of the latest snapshot.
	lastPublish time.Time
	// unpublished is true while the table has changes that are not in force. publishDue wakes the
	// goroutine that puts them in force.
	unpublished bool
	publishDue  chan struct{}
	// snapshot is the configuration in force, nil until the table is fresh.
	snapshot atomic.Pointer[catalog.Snapshot]
	// configured is closed once there is a snapshot.
	configured chan struct{}
	// keys is the lease on the trust in API keys, nil without registry.strictRevocation.
	// versionInForce is the version of the operator's configuration in snapshot.
	keys           *keylease.Lease
	versionInForce atomic.Uint64
	// feedPeers are the daemons that the feed may follow. Before the table is fresh they may be
	// outdated.
	feedPeers atomic.Pointer[[]feed.Peer]
	// originService is the service stated as the origin of callers' requests. Reload may change it.
	originService atomic.Pointer[string]
	// leaving is set when the drain begins, and stopping when no more requests are handed over.
	leaving, stopping atomic.Bool
	// endRequests ends the requests of callers. They get an error response.
	endRequests context.CancelCauseFunc
	// unknownKinds is the number of routes in force whose kind this version does not know.
	unknownKinds atomic.Int64
	// organisationFaults is the number of parts of the organisations in force that cannot be used.
	organisationFaults atomic.Int64

	callers, peer, ready, admin *namedServer
}

// namedServer is an HTTP server with its listener, which is nil until it is opened.
type namedServer struct {
	name     string
	server   *http.Server
	listener *listener.Listener
}

// NewRegistryDaemon builds a daemon and opens its listeners. Connections are not served before Run.
// On error, no listener is left open.
func NewRegistryDaemon(s settings.Settings, o RegistryOptions) (*RegistryDaemon, error) {
	log, err := telemetry.NewLogger(o.Log, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(s.Listen.Peer)
	if err != nil {
		return nil, err
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	d := &RegistryDaemon{
		settings: s, log: log, audit: audit.New(s.VM, audit.DefaultCapacity, o.Log), metrics: metrics.NewSet(),
		table: registry.NewTable(), publishDue: make(chan struct{}, 1), configured: make(chan struct{}),
	}
	d.keys = d.newKeyLease()
	d.feed = feed.New(feed.Options{
		Self: s.VM, DataCentre: s.DataCentre, Store: o.Store(s.Registry.URL), Transport: forward.NewPeerTransport(forward.PeerOptions{}),
		Peers: func() []feed.Peer { return *d.feedPeers.Load() }, RemotePeers: d.remoteFeedPeers, Apply: d.applyUpdate, State: d.registryState, RemovalHold: d.removalHold,
		LinkBytesPerSecond: s.Limits.LinkMbps * bytesPerSecondOfMbps, Keys: d.keys, Log: log.Part("registry"),
	})
	d.buildOptions = registry.BuildOptions{
		Regions: map[string]string{}, PeerPort: peerPort, FloorPercent: int(100 * s.Registry.FloorShare),
		RetryPercent: retryPercent(s.Registry.RetryRatio),
	}
	for _, dc := range s.DataCentres {
		d.buildOptions.Regions[dc.DataCentre] = dc.Region
	}
	d.buildOptions.Regions[s.DataCentre] = s.Region
	d.originService.Store(&s.Application.Service)
	d.feedPeers.Store(new([]feed.Peer))
	seed := newIncarnation()
	suspect := suspicion.Default()
	d.home = home.New(home.Options{
		VM: s.VM, Log: log.Part("home"), Seed: seed, Dialect: o.Dialect, Suspicion: &suspect, ReplacementDelay: restartTime, ChargeRetry: d.chargeRetry, Queue: s.Registry.Admission == settings.AdmissionQueue,
	})
	transport := forward.NewPeerTransport(forward.PeerOptions{IdleTimeout: peerIdleTimeout, PingAfter: peerPingAfter})
	d.quota = newRegistryQuota(&s, d.snapshot.Load, d.feed.Silence, transport, log.Part("quota"))
	d.entry = entry.New(entry.Options{
		VM: s.VM, Locality: catalog.Locality{DataCentre: s.DataCentre, Region: s.Region}, Snapshot: d.snapshot.Load, Incarnation: seed,
		Leaving: d.leaving.Load, Stopping: d.stopping.Load, Transport: transport, Limiter: d.quota, Observer: requestMetrics{d.metrics}, Seed: seed,
		Log: log.Part("entry"), Dialect: o.Dialect, OriginService: func() string { return *d.originService.Load() },
		Retry: registryRetryOptions, Confirm: true, MaxWait: maxCapacityWait, Configured: d.configured, Outdated: d.feed.Outdated, KeysTrusted: d.keysTrusted(),
		Admission: admissionOptions(&s.Registry, d.metrics),
		Balance:   balance.Options{RegionWide: true, ExcludeAvoided: true, LoadTTL: loadReportTTL, SubsetSize: preferredBackends},
	})
	d.guard = newPeerGuard(s, log.Part("peer"))
	d.registerGauges()
	return d, d.listen()
}

// listen opens all configured listeners, or none.
func (d *RegistryDaemon) listen() error {
	s := &d.settings
	requests, endRequests := context.WithCancelCause(context.Background())
	d.endRequests = endRequests
	d.callers = &namedServer{name: "callers", server: newCallersServer(s.Limits, closeWhenLeaving(d.leaving.Load, d.entry.Handler()))}
	d.callers.server.BaseContext = func(net.Listener) context.Context { return requests }
	d.peer = &namedServer{name: "peer", server: newPeerServer(s.Limits, d.guard.wrap(peerHandler(d.home, http.NotFoundHandler(), d.controlHandler())))}
	d.ready = &namedServer{name: "ready", server: newAuxiliaryServer(s.Limits, http.HandlerFunc(d.serveReady))}
	d.admin = &namedServer{name: "admin", server: newAuxiliaryServer(s.Limits, http.HandlerFunc(d.serveMetrics))}
	addresses := map[*namedServer]string{d.callers: s.Listen.Callers, d.peer: s.Listen.Peer, d.ready: s.Listen.Ready, d.admin: s.Listen.Admin}
	for l, address := range addresses {
		if address == "" {
			continue // listen.ready is optional
		}
		limit := 0
		if l == d.callers {
			limit = s.Limits.MaxConnections
		}
		opened, err := listener.Listen(address, limit)
		if err != nil {
			d.closeListeners()
			return eris.Wrapf(err, "cannot open the %s listener", l.name)
		}
		l.listener = opened
		l.server.ErrorLog = newServerErrorLog(d.log.Part("daemon"), l.name)
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (d *RegistryDaemon) closeListeners() {
	for _, s := range d.openServers() {
		s.listener.Close()
	}
}

// openServers returns the servers whose listeners are open.
func (d *RegistryDaemon) openServers() []*namedServer {
	return slices.DeleteFunc([]*namedServer{d.callers, d.peer, d.ready, d.admin}, func(l *namedServer) bool { return l.listener == nil })
}

// newAuxiliaryServer returns a server for health checks and operators.
func newAuxiliaryServer(limits settings.Limits, handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: time.Duration(limits.HeaderTimeout), MaxHeaderBytes: limits.MaxHeaderBytes}
}

// serveReady responds with status 200 while the daemon accepts requests, and with 503 otherwise.
func (d *RegistryDaemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || d.snapshot.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics responds with the metrics in the text format of Prometheus.
func (d *RegistryDaemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.metrics.WritePrometheus(w)
}

// Run serves until ctx ends or a listener fails, and then stops. When ctx ends it drains first. It
// returns the error of a failed listener.
func (d *RegistryDaemon) Run(ctx context.Context) error {
	log := d.log.Part("daemon")
	log.Info("The daemon is starting.", "vm", d.settings.VM, "data_centre", d.settings.DataCentre, "service", d.settings.Application.Service)
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){d.feed.Run, d.expireState, d.publishDelayed} {
		loops.Go(func() { loop(workCtx) })
	}
	failed := make(chan error, 4)
	for _, s := range d.openServers() {
		go func() {
			if err := s.server.Serve(s.listener); !isServerClosed(err) {
				failed <- err
			}
		}()
	}
	var err error
	select {
	case err = <-failed:
		log.Error("A listener failed; the daemon stops.", "err", err)
	case <-ctx.Done():
		d.drain()
	}
	stop()
	loops.Wait()
	log.Info("The daemon has stopped.")
	return err
}

// controlHandler serves the requests of other daemons that are not for a backend server: streams of
// the registry's content, and asks for tokens of quotas.
func (d *RegistryDaemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(feed.Path, d.feed.Handler())
	mux.Handle(feed.ConfigurationPath, d.feed.Handler())
	mux.Handle(quotaPath, d.quota)
	mux.Handle(feed.ClockPath, d.feed.Handler())
	return mux
}

// registryState returns the whole content of the table, for other daemons.
func (d *RegistryDaemon) registryState() []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Changes()
}

// removalHold returns for how long removed registrations are still kept because the registry was
// unavailable, or 0.
func (d *RegistryDaemon) removalHold() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.RemovalHold(time.Now())
}

// expireState removes registrations that were kept while the registry was unavailable and have not
// come back. It also drives the periodic work of the home and drops expired state of the entry.
func (d *RegistryDaemon) expireState(ctx context.Context) {
	var entryExpired time.Time
	for pause.For(ctx, expireInterval) {
		now := time.Now()
		expireEntry := now.Sub(entryExpired) >= entryExpireInterval
		if expireEntry {
			entryExpired = now
		}
		recovery.Do(func() { d.tick(now, expireEntry) }, func(err error) {
			d.log.Part("daemon").Error("A step of the periodic work failed.", "err", err)
		})
	}
}

func (d *RegistryDaemon) tick(now time.Time, expireEntry bool) {
	d.expireTable(now)
	d.home.Tick(now)
	d.quota.tick(now)
	if expireEntry {
		d.entry.Expire(now)
	}
}

func (d *RegistryDaemon) expireTable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.Expire(now) {
		d.publishSoon(now)
	}
}

// noteConfiguration records a new version of the operator's configuration in the audit trail and
// logs what is unusual about it. before is the snapshot that was in force, or nil. The caller holds
// mu.
func (d *RegistryDaemon) noteConfiguration(before *catalog.Snapshot) {
	c, revision := d.table.Configuration()
	if c == d.configurationInForce {
		return
	}
	d.configurationInForce = c
	from, to := "", strconv.FormatUint(c.Version, 10)
	var organisationsBefore *catalog.Organisations
	if before != nil {
		from = strconv.FormatUint(before.Customer(registry.CustomerName).Generation, 10)
		organisationsBefore = before.Organisations()
	}
	d.audit.Add(audit.Entry{Actor: "operator", Action: "configuration", Subject: "revision " + strconv.FormatUint(revision, 10), From: from, To: to, Accepted: true})
	d.noteUnknownKinds(c)
	d.noteOrganisations(organisationsBefore, d.snapshot.Load().Organisations(), c, revision)
}

// chargeRetry takes a retry of another daemon's request, which this daemon's home is about to
// serve, from this daemon's retry budget. It reports whether the budget allowed it.
func (d *RegistryDaemon) chargeRetry(now time.Time, customer, service string, rerun bool) bool {
	return d.entry.ChargeRetry(now, customer, service, rerun)
}

// Reload applies the service of the VM from changed settings. Changed addresses, VM or registry
// settings are only logged: they need a restart, which the platform makes when they change.
func (d *RegistryDaemon) Reload(s settings.Settings) {
	log := d.log.Part("daemon")
	if before := *d.originService.Load(); before != s.Application.Service {
		d.originService.Store(&s.Application.Service)
		log.Info("The service of this VM changed.", "from", before, "to", s.Application.Service)
	}
	if s.Listen != d.settings.Listen || s.VM != d.settings.VM || s.Registry != d.settings.Registry {
		log.Warn("Changes of vm, listen or registry in the settings need a restart.")
	}
}
