package feed

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// reconcileInterval is the time between two checks of the streams and of the need to read.
	reconcileInterval = 100 * time.Millisecond
	// avoidDuration is how long a daemon is not followed after its stream broke.
	avoidDuration = 2 * time.Second
	// readerLinger is how long a daemon goes on reading after the last reason for it has gone, so
	// that a short gap does not cost a new list.
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
	// Apply applies an update and reports whether any of it was new. Calls may be concurrent.
	Apply func(registry.Update) bool
	// State returns the full state as changes. Calls may be concurrent.
	State func() []registry.Change
	// RemovalHold returns the remaining time for which removals are held. Calls may be concurrent.
	RemovalHold func() time.Duration
	// LinkBytesPerSecond is the bandwidth of the VM's link, 0 if it is not known. Configurations for
	// other daemons take at most transferShare of it.
	LinkBytesPerSecond float64
	Log                *telemetry.Logger
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
	// announced is the highest revision of a configuration that another daemon has. fetchDue wakes the
	// goroutine that fetches it.
	announced atomic.Uint64
	fetchDue  chan struct{}
	// fresh is set once the full state has come from a stream or from a read of this daemon. It
	// stays set.
	fresh atomic.Bool
	// confirmed is the last time at which the state was known to be as new as the store, reached the
	// last time at which a reader was known to reach the store, and usualReader that for the region's
	// usual readers. They are in nanoseconds since start.
	confirmed, reached, usualReader atomic.Int64
	// brokenStreams counts the streams that broke, failedTransfers the transfers of a configuration.
	brokenStreams, failedTransfers atomic.Uint64
	// nextPeek is the time of the next look for peers, and peekInterval the time from that to the
	// one after it. Only the goroutine of Run uses them.
	nextPeek     time.Time
	peekInterval time.Duration
	// readers counts the readers that have yet to end.
	readers sync.WaitGroup

	mu sync.Mutex
	// reader is the running reader, nil while this daemon does not read the store.
	reader  *readerRun
	streams map[string]*stream
	// lastFollow is the time at which the latest stream began.
	lastFollow time.Time
	// avoidUntil maps the ids of VMs that are not followed for now to the end of that time.
	avoidUntil map[string]time.Time
	// fetchAfter maps the ids of VMs that failed to send the configuration to the time until which
	// others are asked first.
	fetchAfter map[string]time.Time
}

// receivedStatus is a status of another daemon and the time of its arrival, in nanoseconds since the
// start of the Source.
type receivedStatus struct {
	status
	at int64
}

// readerRun is one run of a registry.Reader.
type readerRun struct {
	reader *registry.Reader
	cancel context.CancelFunc
	// lastNeeded is the last time at which there was a reason to read.
	lastNeeded time.Time
}

// New returns a Source. Nothing is read or followed before Run.
func New(options Options) *Source {
	s := &Source{
		options: options, start: time.Now(), peekInterval: minPeekInterval, fetchDue: make(chan struct{}, 1),
		streams: map[string]*stream{}, avoidUntil: map[string]time.Time{}, fetchAfter: map[string]time.Time{},
	}
	s.configurations.pacer.bytesPerSecond = transferShare * options.LinkBytesPerSecond
	s.awaitReaders()
	s.hub = newHub()
	s.hub.pacer.bytesPerSecond = fullStateShare * options.LinkBytesPerSecond
	s.hub.fullState = func() []registry.Change { return withoutConfiguration(options.State()) }
	s.hub.currentStatus, s.hub.removalHold, s.hub.report = s.status, options.RemovalHold, s.reportEncoding
	return s
}

// awaitReaders gives the usual readers firstStateTimeout before others begin to read.
func (s *Source) awaitReaders() {
	begin := int64(time.Since(s.start) + firstStateTimeout - streamTimeout)
	s.confirmed.Store(begin)
	s.reached.Store(begin)
	s.usualReader.Store(begin)
}

// Handler returns the handler that serves other daemons: the stream to followers at Path, and the
// configuration at ConfigurationPath.
func (s *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(Path, s.hub)
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

// Outdated reports whether newer content than that of this daemon is known to be on its way. Any
// goroutine may call it.
func (s *Source) Outdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind() || s.reader != nil && s.reader.reader.Receiving()
}

// Age returns the time since the state was known to be as new as the store. It is more than 0 while a
// change is on its way to this daemon. Any goroutine may call it.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	current := s.readerCurrent()
	s.mu.Unlock()
	if current {
		return 0
	}
	return max(time.Since(s.start)-time.Duration(s.confirmed.Load()), 0)
}

// storeAge returns the time since a reader was known to reach the store.
func (s *Source) storeAge() time.Duration {
	if s.storeAvailable() {
		return 0
	}
	return max(time.Since(s.start)-time.Duration(s.reached.Load()), 0)
}

// Followers returns the number of daemons that follow this one. Any goroutine may call it.
func (s *Source) Followers() int {
	all, _ := s.hub.count()
	return all
}

// Stats counts what a Source has done since its start.
type Stats struct {
	// SentBytes are the bytes sent to followers, FullStates the full states among them.
	SentBytes, FullStates uint64
	// ConfigurationBytes are the bytes of configurations sent to other daemons. RefusedTransfers are
	// the requests for one that came while there was too much to send.
	ConfigurationBytes, RefusedTransfers uint64
	// BrokenStreams are the streams from other daemons that broke, FailedTransfers the transfers of a
	// configuration from them.
	BrokenStreams, FailedTransfers uint64
}

// Stats returns the counts. Any goroutine may call it.
func (s *Source) Stats() Stats {
	return Stats{
		SentBytes: s.hub.sentBytes.Load(), FullStates: s.hub.fullStates.Load(),
		ConfigurationBytes: s.configurations.sentBytes.Load(), RefusedTransfers: s.configurations.refused.Load(),
		BrokenStreams: s.brokenStreams.Load(), FailedTransfers: s.failedTransfers.Load(),
	}
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

// status returns the present status. What it says also holds for a state that is read after the
// call.
func (s *Source) status() status {
	out := status{
		Revision: s.completeRevision.Load(), ConfiguredUpTo: s.configuredRevision.Load(),
		Reading: s.storeAvailable(), Complete: s.fresh.Load(), AgeMs: s.Age().Milliseconds(), StoreAgeMs: s.storeAge().Milliseconds(),
	}
	// A configuration is added before configuredRevision rises, so it is read after it.
	out.Configuration = s.configurations.revision.Load()
	return out
}

// storeAvailable reports whether this daemon reads the store and its latest call succeeded.
func (s *Source) storeAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerAvailable()
}

// readerAvailable is storeAvailable for callers that hold mu.
func (s *Source) readerAvailable() bool { return s.reader != nil && s.reader.reader.StoreAvailable() }

// readerCurrent reports whether this daemon reads the store and knows of nothing newer that is on
// its way. The caller holds mu.
func (s *Source) readerCurrent() bool {
	return s.readerAvailable() && !s.reader.reader.Receiving() && !s.behind()
}

// Run keeps the state up to date until ctx ends. It returns once all readers have stopped.
func (s *Source) Run(ctx context.Context) {
	var fetches sync.WaitGroup
	fetches.Go(func() { s.fetchConfigurations(ctx) })
	for {
		s.lookForPeers(ctx)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.start)
	if s.readerAvailable() {
		s.reached.Store(int64(elapsed))
	}
	if s.readerCurrent() {
		s.confirmed.Store(int64(elapsed))
	}
	v := s.view(now)
	p := v.decide()
	usual := v.peers[:min(readersPerRegion, len(v.peers))]
	if s.readerAvailable() && containsVM(usual, s.options.Self) {
		s.usualReader.Store(int64(elapsed))
	}
	wanted := map[string]bool{}
	for _, peer := range p.readers {
		wanted[peer.VM] = true
		s.follow(ctx, now, peer, true)
		if st := s.streams[peer.VM]; st != nil {
			st.usual.Store(containsVM(usual, peer.VM))
		}
	}
	for _, peer := range p.relays {
		if !wanted[peer.VM] {
			wanted[peer.VM] = true
			s.follow(ctx, now, peer, false)
		}
	}
	for vm, st := range s.streams {
		if !wanted[vm] {
			st.cancel()
		}
	}
	_, dependants := s.hub.count()
	s.setReading(ctx, now, p.read || dependants > 0)
}

// view returns what the decision on the daemon's place depends on. The caller holds mu.
func (s *Source) view(now time.Time) view {
	elapsed := now.Sub(s.start)
	v := view{self: s.options.Self, dataCentre: s.options.DataCentre}
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	v.peers = s.options.Peers()
	if len(s.avoidUntil) > 0 {
		v.peers = slices.DeleteFunc(slices.Clone(v.peers), func(p Peer) bool { return !s.avoidUntil[p.VM].IsZero() })
	}
	v.lost = elapsed - time.Duration(s.reached.Load())
	hearsReaders := containsVM(v.peers[:min(readersPerRegion, len(v.peers))], s.options.Self)
	for _, st := range s.streams {
		last := st.lastFrame.Load()
		v.connected = v.connected || last != 0 && elapsed-time.Duration(last) < streamTimeout
		hearsReaders = hearsReaders || st.usual.Load()
	}
	if hearsReaders {
		v.lost = elapsed - time.Duration(s.usualReader.Load())
	}
	return v
}

// follow starts a stream to a peer unless there is one, or another one is about to bring the first
// full state. The caller holds mu.
func (s *Source) follow(ctx context.Context, now time.Time, p Peer, reader bool) {
	if before := s.streams[p.VM]; before != nil {
		if before.reader == reader {
			return
		}
		before.cancel()
	} else if s.awaitsFirstState(now) {
		return
	}
	s.lastFollow = now
	ctx, cancel := context.WithCancel(ctx)
	st := &stream{peer: p, reader: reader, cancel: cancel, complete: s.fresh.Load()}
	s.streams[p.VM] = st
	go func() {
		defer cancel()
		err := st.follow(ctx, s.options.Transport, s.completeRevision.Load(), s.handleFrame)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.streams[p.VM] == st {
			delete(s.streams, p.VM)
		}
		if ctx.Err() == nil {
			s.avoidUntil[p.VM] = time.Now().Add(avoidDuration)
			s.brokenStreams.Add(1)
			s.options.Log.Warn("The stream of registrations from another daemon broke.", "vm", p.VM, "err", err)
		}
	}()
}

// awaitsFirstState reports whether a stream that began lately may bring the first full state. A second
// stream would bring it again; once there is a state, it brings only what is newer. The caller holds
// mu.
func (s *Source) awaitsFirstState(now time.Time) bool {
	return !s.fresh.Load() && len(s.streams) > 0 && now.Sub(s.lastFollow) < firstStateTimeout
}

// handleFrame applies one frame of a stream.
func (s *Source) handleFrame(st *stream, f frame) {
	elapsed := int64(time.Since(s.start))
	st.lastFrame.Store(elapsed)
	st.complete = st.complete || f.Full && f.Complete
	if f.Full || len(f.Changes) > 0 || f.RemovalHoldMs > 0 {
		s.apply(registry.Update{Changes: f.Changes, Revision: f.Revision, Full: f.Full, RemovalHold: time.Duration(f.RemovalHoldMs) * time.Millisecond})
	}
	if f.Status == nil {
		return
	}
	s.noteAnnouncement(st, f.Status.Configuration)
	if st.complete {
		r := &receivedStatus{*f.Status, elapsed}
		st.status.Store(r)
		s.handleStatus(r)
	}
	if f.Status.Reading && st.usual.Load() {
		raise(&s.usualReader, elapsed)
	}
}

// noteAnnouncement notes the configuration that another daemon has, and has it fetched if it is
// newer than that of this daemon.
func (s *Source) noteAnnouncement(st *stream, revision uint64) {
	st.configuration.Store(revision)
	raise(&s.announced, revision)
	if !s.behind() {
		return
	}
	select {
	case s.fetchDue <- struct{}{}:
	default: // the goroutine is about to look
	}
}

// handleStatus takes what a daemon says whose registrations this one has. It does not count as fresh
// before this one has the daemon's configuration too.
func (s *Source) handleStatus(r *receivedStatus) {
	configured := s.configurations.revision.Load() >= r.Configuration
	age := r.age() + time.Since(s.start) - time.Duration(r.at)
	s.apply(registry.Update{Revision: r.Revision, Fresh: configured && r.Complete && age < streamTimeout})
	if configured {
		raise(&s.configuredRevision, r.ConfiguredUpTo)
	}
	if !r.Complete {
		return
	}
	raise(&s.reached, r.at-int64(r.storeAge()))
	if configured && !s.behind() {
		raise(&s.confirmed, r.at-int64(r.age()))
	}
}

// raise sets v to at least value.
func raise[T int64 | uint64](v interface {
	Load() T
	CompareAndSwap(before, after T) bool
}, value T) {
	for {
		current := v.Load()
		if value <= current || v.CompareAndSwap(current, value) {
			return
		}
	}
}

// withoutConfiguration returns the changes but for the configuration, which other daemons fetch. A
// large one would hold up the registrations.
func withoutConfiguration(changes []registry.Change) []registry.Change {
	isConfiguration := func(c registry.Change) bool { return c.Configuration != nil }
	if !slices.ContainsFunc(changes, isConfiguration) {
		return changes
	}
	return slices.DeleteFunc(slices.Clone(changes), isConfiguration)
}

// applyFromStore applies an update that this daemon has read, which has all changes up to its
// revision.
func (s *Source) applyFromStore(u registry.Update) {
	s.apply(u)
	raise(&s.configuredRevision, u.Revision)
}

// apply applies an update and passes on what was new. completeRevision rises only after the changes
// are applied and queued for the followers. A heartbeat with the new revision before that could
// make a follower continue from it without the changes. A full list of the store goes to all
// followers even if it changed nothing here: it may end what only they still have.
func (s *Source) apply(u registry.Update) {
	isNew := s.options.Apply(u)
	newConfiguration := s.addConfigurations(u.Changes)
	u.Changes = withoutConfiguration(u.Changes)
	becomesFresh := u.Fresh && !s.fresh.Load()
	switch {
	case becomesFresh, u.Full && (isNew || u.Fresh):
		s.hub.sendFull(u)
	case isNew && len(u.Changes) > 0:
		s.hub.send(u.Changes)
	case newConfiguration:
		s.hub.wake()
	}
	if u.Fresh {
		s.fresh.Store(true)
	}
	raise(&s.completeRevision, u.Revision)
}

// addConfigurations keeps the configurations among applied changes for other daemons, and reports
// whether there was a newer one.
func (s *Source) addConfigurations(changes []registry.Change) bool {
	before := s.configurations.revision.Load()
	followers, _ := s.hub.count()
	for i := range changes {
		if changes[i].Configuration != nil {
			s.configurations.add(changes[i], followers > 0)
		}
	}
	return s.configurations.revision.Load() > before
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
		run := &readerRun{reader: registry.NewReader(s.options.Store, s.options.Log, after, s.applyFromStore), cancel: cancel, lastNeeded: now}
		s.reader = run
		all, dependants := s.hub.count()
		s.options.Log.Info("This daemon starts to read the store.", "after", after, "followers", all, "dependants", dependants)
		s.readers.Go(func() { run.reader.Run(readCtx) })
	case needed:
		s.reader.lastNeeded = now
	case s.reader != nil && now.Sub(s.reader.lastNeeded) > readerLinger:
		s.options.Log.Info("This daemon stops reading the store and follows other daemons.", "revision", s.completeRevision.Load())
		s.reader.cancel()
		s.reader = nil
	}
}
