package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// reconcileInterval is the time between two checks of the streams and of the need to read.
	reconcileInterval = 100 * time.Millisecond
	// avoidDuration is how long a daemon is not followed after its stream broke.
	avoidDuration = 2 * time.Second
	// readerLinger is how long a daemon that reaches the store goes on reading after the last reason
	// for it has gone, so that a short gap does not cost a new list.
	readerLinger = time.Second
	// firstStateTimeout is how long a starting daemon waits for the state of a reader before others
	// than the usual readers begin to read.
	firstStateTimeout = 400 * time.Millisecond
	// peekTimeout bounds a look for peers. A page takes several round trips, and one that is given
	// up too early has to begin anew while all others call too.
	peekTimeout = 1500 * time.Millisecond
	// minPeekInterval is the time between the first two looks for peers while none are known. It
	// doubles up to maxPeekInterval.
	minPeekInterval = 250 * time.Millisecond
	maxPeekInterval = time.Second
)

// Options are the settings of New.
type Options struct {
	// Self is the id of the daemon's own VM, DataCentre its data centre.
	Self, DataCentre string
	// Store is the client of the store, used while this daemon reads.
	Store registry.Store
	// Transport sends the requests to other daemons.
	Transport http.RoundTripper
	// Peers returns the daemons of the region, this one included, in the order in which they are to
	// read the store, or nil while none are known. The caller does not change them.
	Peers func() []Peer
	// RemotePeers returns the daemons of each other region that has any. Default: nil, and there are
	// none.
	RemotePeers func() map[string][]Peer
	// Apply applies an update and reports whether any of it was new. Calls may be concurrent.
	Apply func(registry.Update) bool
	// State returns the full state as changes. Calls may be concurrent.
	State func() []registry.Change
	// RemovalHold returns the remaining time for which removals are held. Calls may be concurrent.
	RemovalHold func() time.Duration
	// LinkBytesPerSecond is the bandwidth of the VM's link, 0 if it is not known. Configurations for
	// other daemons take at most transferShare of it.
	LinkBytesPerSecond float64
	// Keys is told of confirmations that the configuration is the newest one. They are passed on to
	// followers. Default: nil, and there are none.
	Keys *keylease.Lease
	Log  *telemetry.Logger
}

// Source keeps the state of a daemon up to date, from the store or from other daemons, and serves
// it to followers.
type Source struct {
	options Options
	hub     *hub
	start   time.Time

	// completeRevision is the store revision up to which the daemon has all registrations, and
	// configuredRevision that up to which its configuration is the latest one.
	completeRevision, configuredRevision atomic.Uint64
	configurations                       configurations
	// announced is the highest version of a configuration that a followed daemon has. fetchDue wakes the
	// goroutine that fetches it.
	announced atomic.Uint64
	fetchDue  chan struct{}
	// fresh is set once the full state has come from a stream or from a read of this daemon. It
	// stays set.
	fresh atomic.Bool
	// eras holds what is known of the present era of the store. heldList is set once this daemon has a
	// list that counts when the era is settled.
	eras     *eraState
	heldList atomic.Bool
	// confirmed is the last time at which the state was known to be as new as the store, and reached
	// the last time at which a reader was known to reach the store. They are in nanoseconds since
	// start.
	confirmed, reached atomic.Int64
	// heard is the last time at which another daemon or the store was heard of, whatever it said.
	heard atomic.Int64
	// announcedContact is the value of reached that was last announced to the followers.
	announcedContact atomic.Int64
	// announcedConfirmation is the moment of the confirmation that was last announced to the followers.
	announcedConfirmation atomic.Int64
	// brokenStreams counts the streams that broke, failedTransfers the transfers of a configuration,
	// and searches how often this daemon began to look for other readers.
	brokenStreams, failedTransfers, searches atomic.Uint64
	// nextPeek is the time of the next look for peers, and peekInterval the time from that to the
	// one after it. Only the goroutine of Run uses them.
	nextPeek     time.Time
	peekInterval time.Duration
	// applyMu is held while an update is applied and queued for the followers.
	applyMu sync.Mutex
	// readers counts the readers that have yet to end.
	readers sync.WaitGroup

	mu sync.Mutex
	// reader is the running reader, nil while this daemon does not read the store.
	reader  *readerRun
	streams map[string]*stream
	// searching is true while this daemon looks for other readers.
	searching bool
	// leaseLost is true while the keys are not confirmed that were.
	leaseLost bool
	// lastFollow is the time at which the latest stream began.
	lastFollow time.Time
	// avoidUntil maps the ids of VMs that are not followed for now to the end of that time.
	avoidUntil map[string]time.Time
	// fetchAfter maps the ids of VMs that failed to send the configuration to the time until which
	// others are asked first.
	fetchAfter map[string]time.Time
}

// readerRun is one run of a registry.Reader.
type readerRun struct {
	reader  *registry.Reader
	started time.Time
	cancel  context.CancelFunc
	// lastNeeded is the last time at which there was a reason to read.
	lastNeeded time.Time
}

// New returns a Source. Nothing is read or followed before Run.
func New(options Options) *Source {
	s := &Source{
		options: options, start: time.Now(), peekInterval: minPeekInterval, fetchDue: make(chan struct{}, 1),
		eras: newEraState(), streams: map[string]*stream{}, avoidUntil: map[string]time.Time{}, fetchAfter: map[string]time.Time{},
	}
	s.configurations.pacer.bytesPerSecond = transferShare * options.LinkBytesPerSecond
	s.awaitReaders()
	s.hub = newHub()
	if options.Keys != nil {
		s.hub.clock = max(rand.Uint64(), 1)
	}
	s.hub.pacer.bytesPerSecond = fullStateShare * options.LinkBytesPerSecond
	s.hub.fullState = func() []registry.Change { return withoutConfiguration(options.State()) }
	s.hub.currentStatus, s.hub.removalHold, s.hub.report = s.status, options.RemovalHold, s.reportEncoding
	return s
}

// awaitReaders gives the usual readers firstStateTimeout before others begin to read.
func (s *Source) awaitReaders() {
	begin := int64(time.Since(s.start) + firstStateTimeout - storeTimeout)
	s.confirmed.Store(begin)
	s.reached.Store(begin)
}

// Handler returns the handler that serves other daemons: the stream to followers at Path, and the
// configuration at ConfigurationPath.
func (s *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(Path, s.hub)
	mux.HandleFunc(ClockPath, s.serveClock)
	mux.HandleFunc(ConfigurationPath, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-s.hub.closed:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			s.configurations.ServeHTTP(w, r)
		}
	})
	return mux
}

// Fresh reports whether the full state has come from a stream or from a read of this daemon, so
// that the daemon may serve. Any goroutine may call it.
func (s *Source) Fresh() bool { return s.fresh.Load() }

// Followers returns the number of daemons that follow this one. Any goroutine may call it.
func (s *Source) Followers() int {
	all, _ := s.hub.count()
	return all
}

// Reading reports whether this daemon reads the store. Any goroutine may call it.
func (s *Source) Reading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader != nil
}

// CloseStreams ends the streams to followers, which then follow other daemons. It must be called at
// most once.
func (s *Source) CloseStreams() { close(s.hub.closed) }

func (s *Source) reportEncoding(err error) {
	s.options.Log.Error("A frame for other daemons cannot be encoded.", "err", err)
}

// Run keeps the state up to date until ctx ends. It returns once all readers have stopped.
func (s *Source) Run(ctx context.Context) {
	var fetches sync.WaitGroup
	fetches.Go(func() { s.fetchConfigurations(ctx) })
	for {
		s.lookForPeers(ctx)
		s.settleEra(time.Now())
		s.reconcile(ctx, time.Now())
		if !pause.For(ctx, reconcileInterval) {
			break
		}
	}
	// All of them end with ctx.
	fetches.Wait()
	s.readers.Wait()
}

// lookForPeers reads a part of the store, which may be outdated, while no peers are known.
func (s *Source) lookForPeers(ctx context.Context) {
	now := time.Now()
	if len(s.options.Peers()) > 0 || s.Reading() || now.Before(s.nextPeek) {
		return
	}
	s.nextPeek = now.Add(s.peekInterval)
	s.peekInterval = min(2*s.peekInterval, maxPeekInterval)
	callCtx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	changes, err := s.options.Store.Peek(callCtx)
	if err != nil {
		s.options.Log.Info("A look for peers in the store failed.", "err", err)
		return
	}
	s.apply(registry.Update{Changes: changes})
	if len(s.options.Peers()) > 0 {
		s.awaitReaders()
	}
}

// reconcile follows and reads as the place of this daemon demands.
func (s *Source) reconcile(ctx context.Context, now time.Time) {
	remote := s.remotePeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteReader()
	v := s.view(now)
	p := v.decide()
	s.logSearch(&v)
	s.logLease()
	wanted := map[string]bool{}
	for _, peer := range p.readers {
		wanted[peer.VM] = true
		s.follow(ctx, now, peer, true, false)
	}
	for _, peer := range p.relays {
		if !wanted[peer.VM] {
			wanted[peer.VM] = true
			s.follow(ctx, now, peer, false, false)
		}
	}
	for _, peer := range s.remoteSources(remote) {
		if !wanted[peer.VM] {
			wanted[peer.VM] = true
			s.follow(ctx, now, peer, false, true)
		}
	}
	if len(p.relays) == 0 || !s.relayHearsOfStore() {
		for _, vm := range s.sources(v.peers) {
			wanted[vm] = true
		}
	}
	for vm, st := range s.streams {
		// What only a daemon of another region has announced is still to be fetched.
		announces := st.remote && st.configuration.Load() > s.configurations.version.Load()
		if !wanted[vm] && !announces {
			st.cancel()
		}
	}
	_, dependants := s.hub.count()
	// A daemon that reaches the store goes on until it can rely on others.
	alone := s.reader != nil && !s.reader.reader.Failing() && !v.hearsOfStore
	s.setReading(ctx, now, p.read || dependants > 0 || alone)
}

// noteReader records what the reader of this daemon knows. The caller holds mu.
func (s *Source) noteReader() {
	if s.reader == nil {
		return
	}
	contact := int64(s.reader.reader.LastContact().Sub(s.start))
	if s.reader.reader.StoreAvailable() {
		raise(&s.heard, contact)
	}
	if s.readerCurrent() {
		raise(&s.confirmed, contact)
	}
	if s.readerAvailable() {
		raise(&s.reached, contact)
	}
}

// sources returns the VMs of the first readersPerRegion readers in the order that reach the store,
// this daemon included if it does. They are followed until others have taken their place: one that
// was silent is no source before it has reached the store again. The caller holds mu.
func (s *Source) sources(peers []Peer) []string {
	var vms []string
	for i := range peers {
		vm := peers[i].VM
		st := s.streams[vm]
		if st != nil && st.reader && st.reachesStore(s.elapsed()) || vm == s.options.Self && s.readerAvailable() {
			vms = append(vms, vm)
		}
		if len(vms) == readersPerRegion {
			break
		}
	}
	return vms
}

// relayHearsOfStore reports whether a relay that this daemon follows hears of the store. The caller
// holds mu.
func (s *Source) relayHearsOfStore() bool {
	for _, st := range s.streams {
		if !st.reader && !st.remote && st.hearsOfStore(s.elapsed()) {
			return true
		}
	}
	return false
}

// logSearch logs when this daemon begins and ends to look for other readers. The caller holds mu.
func (s *Source) logSearch(v *view) {
	searching := v.lost > storeTimeout && s.fresh.Load()
	if searching == s.searching {
		return
	}
	s.searching = searching
	if !searching {
		s.options.Log.Info("The store is heard of again.", "revision", s.completeRevision.Load())
		return
	}
	s.searches.Add(1)
	s.options.Log.Info("The store was not heard of in time; looking for other readers.", "age", v.lost, "connected", v.connected, "reads", s.reader != nil, "followed", s.describeFollowed())
}

// describeFollowed returns the daemons that this one follows and what they have said last, for the
// log. The caller holds mu.
func (s *Source) describeFollowed() string {
	followed := make([]string, 0, len(s.streams))
	for vm, st := range s.streams {
		followed = append(followed, st.describe(vm, s.elapsed()))
	}
	slices.Sort(followed)
	return strings.Join(followed, " ")
}

// view returns what the decision on the daemon's place depends on. The caller holds mu.
func (s *Source) view(now time.Time) view {
	elapsed := now.Sub(s.start)
	v := view{self: s.options.Self, dataCentre: s.options.DataCentre, complete: s.fresh.Load()}
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	v.peers, v.unlisted = s.order()
	v.lost = elapsed - time.Duration(s.reached.Load())
	for _, st := range s.streams {
		last := st.lastFrame.Load()
		v.connected = v.connected || last != 0 && !st.remote && elapsed-time.Duration(last) < streamTimeout
		v.hearsOfStore = v.hearsOfStore || !st.remote && st.hearsOfStore(elapsed)
	}
	return v
}

// order returns the daemons of the region in the agreed order without those that are avoided, or none
// while none are known. The daemon itself is always one of them, and unlisted if it was added. The
// caller holds mu.
func (s *Source) order() (peers []Peer, unlisted bool) {
	peers = s.options.Peers()
	if len(peers) == 0 {
		return nil, false
	}
	if len(s.avoidUntil) > 0 {
		peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !s.avoidUntil[p.VM].IsZero() })
	}
	if containsVM(peers, s.options.Self) {
		return peers, false
	}
	self := Peer{VM: s.options.Self, DataCentre: s.options.DataCentre, Standby: true}
	return append(slices.Clip(peers), self), true
}

// follow starts a stream to a peer unless there is one, or another one is about to bring the first
// full state. remote means that it is followed only for what it knows. The caller holds mu.
func (s *Source) follow(ctx context.Context, now time.Time, p Peer, reader, remote bool) {
	if before := s.streams[p.VM]; before != nil {
		if before.reader == reader && before.remote == remote {
			return
		}
		before.cancel()
	} else if !remote && s.awaitsFirstState(now) {
		return
	}
	if !remote {
		s.lastFollow = now
	}
	ctx, cancel := context.WithCancel(ctx)
	st := &stream{peer: p, reader: reader, remote: remote, cancel: cancel, complete: s.fresh.Load()}
	s.streams[p.VM] = st
	if s.options.Keys != nil {
		go s.pingPeer(ctx, st)
	}
	go func() {
		defer cancel()
		err := st.follow(ctx, s.options.Transport, s.completeRevision.Load(), s.handleFrame)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.streams[p.VM] == st {
			delete(s.streams, p.VM)
			s.forgetAnnouncement()
		}
		if ctx.Err() == nil {
			s.avoidUntil[p.VM] = time.Now().Add(avoidDuration)
			s.brokenStreams.Add(1)
			s.options.Log.Warn("The stream of registrations from another daemon broke.", "vm", p.VM, "err", err)
		}
	}()
}

// forgetAnnouncement forgets the version that only a daemon has announced that is no longer followed.
// After a return of the store from a copy nobody else may have it, and a daemon that waits for it would
// never again count its state as new. The caller holds mu.
func (s *Source) forgetAnnouncement() {
	latest := uint64(0)
	for _, st := range s.streams {
		latest = max(latest, st.configuration.Load())
	}
	s.announced.Store(latest)
}

// awaitsFirstState reports whether a stream that began lately may bring the first full state. A second
// stream would bring it again; once there is a state, it brings only what is newer. The caller holds
// mu.
func (s *Source) awaitsFirstState(now time.Time) bool {
	return !s.fresh.Load() && len(s.streams) > 0 && now.Sub(s.lastFollow) < firstStateTimeout
}

// watchWaitLimit returns the longest time that a watch of the store may wait, 0 for no limit.
func (s *Source) watchWaitLimit() time.Duration {
	if s.options.Keys == nil || s.eras.isSettled() {
		return 0
	}
	return settleWatchWait
}

// setReading starts or stops reading the store. The caller holds mu.
func (s *Source) setReading(ctx context.Context, now time.Time, needed bool) {
	switch {
	case needed && s.reader == nil:
		readCtx, cancel := context.WithCancel(ctx)
		after := uint64(0)
		if s.fresh.Load() {
			after = min(s.completeRevision.Load(), s.configuredRevision.Load())
		}
		run := &readerRun{
			reader:  registry.NewReader(s.options.Store, s.options.Log, after, s.applyFromStore, s.announceReader),
			started: now, cancel: cancel, lastNeeded: now,
		}
		run.reader.LimitWait(s.watchWaitLimit)
		if s.options.Keys != nil {
			run.reader.ConfirmWith(s.options.Keys.Now)
		}
		s.reader = run
		all, dependants := s.hub.count()
		s.options.Log.Info("This daemon starts to read the store.", "after", after, "followers", all, "dependants", dependants)
		s.readers.Go(func() { run.reader.Run(readCtx) })
	case needed:
		s.reader.lastNeeded = now
	case s.reader != nil && (s.reader.reader.Failing() || now.Sub(s.reader.lastNeeded) > readerLinger):
		s.options.Log.Info("This daemon stops reading the store and follows other daemons.", "revision", s.completeRevision.Load())
		s.reader.cancel()
		s.reader = nil
	}
}
