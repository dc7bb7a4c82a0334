package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// regionPageItems is the number of values on one page of the region's store.
	regionPageItems = 50
	// storeLatency is the time that the region's store takes to respond.
	storeLatency = 4 * time.Millisecond
	// callTimeout is the time after which a call from a VM that the store does not answer fails.
	callTimeout = 200 * time.Millisecond
)

// region is a fleet of one region in virtual time: real Sources, with a store and streams in memory.
type region struct {
	store *memoryStore
	// calls counts the calls to the store, a list with one for each page. looks counts those for peers
	// and probes the probes, which cost a tenth.
	calls, looks, probes atomic.Int64
	// refused holds the VMs whose calls the store refuses, unanswered those that it does not answer.
	refused, unanswered sync.Map
	// nodes is written with nodesMu held. Daemons and the store use node; the test reads it directly.
	nodesMu sync.RWMutex
	nodes   map[string]*regionNode
	names   []string
	// linkBytesPerSecond is the bandwidth of each VM's link. 0 means unlimited.
	linkBytesPerSecond int64
	// away is true while the store is there for nobody.
	away atomic.Bool
	// split is true while the regions do not reach each other.
	split atomic.Bool
	// newLease returns the lease of a daemon on the trust in keys. It is nil if there are none.
	newLease func(n *regionNode) *keylease.Lease
}

// regionNode is one daemon of a region.
type regionNode struct {
	region *region
	vm     string
	source *Source
	stop   context.CancelFunc
	done   chan struct{}
	// started is true from the start of the daemon, killed once it has ended. cutOff is true while
	// it neither sends nor gets anything.
	started, killed, cutOff atomic.Bool
	// sentBytes counts what the daemon has sent to followers.
	sentBytes atomic.Int64
	// held, if set, delays what the daemon sends and gets until it is closed.
	held atomic.Pointer[chan struct{}]
	// lease is nil if the region has none.
	lease *keylease.Lease
	// uplink carries what the daemon sends, if the region's links are limited.
	uplink link

	mu    sync.Mutex
	table *registry.Table
	// peers are those of the table, unless it has changed since.
	peers   []Peer
	changed bool
}

// newRegion returns a region of which no backend server is registered and no daemon runs yet.
func newRegion(size int) *region { return newNarrowRegion(size, 0) }

// newNarrowRegion returns a region whose VMs have links of limited bandwidth. 0 means unlimited.
func newNarrowRegion(size int, linkBytesPerSecond int64) *region {
	return newRegionWithLeases(size, linkBytesPerSecond, nil)
}

// newRegionWithLeases returns a region whose daemons have leases on the trust in keys, unless newLease
// is nil.
func newRegionWithLeases(size int, linkBytesPerSecond int64, newLease func(n *regionNode) *keylease.Lease) *region {
	r := &region{store: newMemoryStore(), nodes: map[string]*regionNode{}, linkBytesPerSecond: linkBytesPerSecond, newLease: newLease}
	for i := range size {
		r.names = append(r.names, fmt.Sprintf("vm%04d", i))
		r.add(r.names[i])
	}
	return r
}

// registerAll registers all backend servers.
func (r *region) registerAll() {
	for _, name := range r.names {
		r.store.put(name)
	}
}

// add makes a daemon that has yet to start.
func (r *region) add(vm string) {
	n := &regionNode{region: r, vm: vm, table: registry.NewTable(), done: make(chan struct{})}
	if r.newLease != nil {
		n.lease = r.newLease(n)
	}
	n.source = New(Options{
		Self: vm, DataCentre: dataCentreOf(vm), Store: regionStore{daemonStore{r.store, vm}, r}, Transport: n, Peers: n.knownPeers, RemotePeers: n.remotePeers, Apply: n.apply,
		State:       func() []registry.Change { n.mu.Lock(); defer n.mu.Unlock(); return n.table.Changes() },
		RemovalHold: func() time.Duration { return 0 }, LinkBytesPerSecond: float64(r.linkBytesPerSecond), Keys: n.lease, Log: telemetry.Discard(),
	})
	r.nodesMu.Lock()
	defer r.nodesMu.Unlock()
	r.nodes[vm] = n
}

// node returns the present daemon of a VM, or nil.
func (r *region) node(vm string) *regionNode {
	r.nodesMu.RLock()
	defer r.nodesMu.RUnlock()
	return r.nodes[vm]
}

func (n *regionNode) start() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.started.Store(true)
	go func() { defer close(n.done); n.source.Run(ctx) }()
}

// kill ends a daemon. Its streams break at once.
func (n *regionNode) kill() {
	n.killed.Store(true)
	n.stop()
	n.source.CloseStreams()
	<-n.done
}

// startAll starts all daemons within 0.3 s, those that are to read not first.
func (r *region) startAll() {
	for i := range 30 {
		for k := range r.names {
			if (k+7)%30 == i {
				r.nodes[r.names[k]].start()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *region) stopAll() {
	for _, n := range r.nodes {
		if !n.killed.Load() {
			n.kill()
		}
	}
	time.Sleep(callTimeout + streamTimeout) // streams and calls end
}

// dataCentreOf spreads the VMs over four data centres.
func dataCentreOf(vm string) string { return "dc" + string(vm[len(vm)-1]%4+'0') }

func (n *regionNode) knownPeers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed {
		n.peers, n.changed = NearPeers(regionOf(n.vm), candidatesOf(n.table.Registrations()), candidatesOf(n.table.Former())), false
	}
	return n.peers
}

func (n *regionNode) remotePeers() map[string][]Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return RemotePeers(regionOf(n.vm), candidatesOf(n.table.Registrations()))
}

func (n *regionNode) apply(u registry.Update) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	if u.Full {
		changed = n.table.Replace(time.Now(), u.Revision, u.Changes)
	} else {
		changed = n.table.Apply(time.Now(), u.Changes)
		n.table.SetComplete(u.Revision)
	}
	n.changed = n.changed || changed
	return changed
}

// candidatesOf returns the daemons beside registered backend servers.
func candidatesOf(registrations []*registry.Registration) []Candidate {
	out := make([]Candidate, 0, len(registrations))
	for _, r := range registrations {
		out = append(out, Candidate{Peer{VM: r.ID, DataCentre: dataCentreOf(r.ID), Region: regionOf(r.ID), Address: r.ID}, r.Draining})
	}
	return out
}

// regionOf returns the region of a VM: the part of its id before a dot, if there is one.
func regionOf(vm string) string {
	region, _, found := strings.Cut(vm, ".")
	if !found {
		return ""
	}
	return region
}

// RoundTrip implements http.RoundTripper with a stream of another daemon of the region.
func (n *regionNode) RoundTrip(req *http.Request) (*http.Response, error) {
	to := n.region.node(req.URL.Host)
	if to == nil || !to.started.Load() || to.killed.Load() {
		return nil, errors.New("connection refused")
	}
	if n.isCutFrom(to) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if !to.awaitRelease(req.Context()) || !n.awaitRelease(req.Context()) {
		return nil, req.Context().Err()
	}
	r, w := io.Pipe()
	context.AfterFunc(req.Context(), func() { r.CloseWithError(req.Context().Err()) })
	writer := &regionWriter{from: to, to: n, pipe: w, ctx: req.Context(), status: make(chan int, 1)}
	if bandwidth := n.region.linkBytesPerSecond; bandwidth > 0 {
		writer.narrow = newNarrowWriter(req.Context(), &to.uplink, bandwidth, w)
	}
	go func() {
		defer w.Close()
		to.source.Handler().ServeHTTP(writer, req)
		writer.WriteHeader(http.StatusOK)
		writer.narrow.close()
	}()
	select {
	case status := <-writer.status:
		return &http.Response{StatusCode: status, Body: r}, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

// isCutFrom reports whether nothing passes between two daemons.
func (n *regionNode) isCutFrom(other *regionNode) bool {
	return n.cutOff.Load() || other.cutOff.Load() || n.region.split.Load() && regionOf(n.vm) != regionOf(other.vm)
}

// regionWriter carries a stream from one daemon to another.
type regionWriter struct {
	from, to *regionNode
	pipe     *io.PipeWriter
	ctx      context.Context
	// narrow is set if the link of the sender is limited.
	narrow *narrowWriter
	// status receives the status of the response.
	status chan int
}

func (w *regionWriter) Header() http.Header { return http.Header{} }
func (w *regionWriter) Flush()              { w.WriteHeader(http.StatusOK) }

func (w *regionWriter) WriteHeader(status int) {
	select {
	case w.status <- status:
	default: // only the first one counts
	}
}

func (w *regionWriter) Write(p []byte) (int, error) {
	if w.from.isCutFrom(w.to) {
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	if !w.from.awaitRelease(w.ctx) || !w.to.awaitRelease(w.ctx) {
		return 0, w.ctx.Err()
	}
	w.WriteHeader(http.StatusOK)
	w.from.sentBytes.Add(int64(len(p)))
	if w.narrow != nil {
		return w.narrow.Write(p)
	}
	return w.pipe.Write(p)
}

// awaitRelease waits while what the daemon sends and gets is held. It returns false if ctx ends first.
func (n *regionNode) awaitRelease(ctx context.Context) bool {
	held := n.held.Load()
	if held == nil {
		return true
	}
	select {
	case <-*held:
		return true
	case <-ctx.Done():
		return false
	}
}

// until returns how long it takes until the condition holds for all daemons that run and are not
// cut off, and fails the test after the limit.
func (r *region) until(t *testing.T, what string, limit time.Duration, condition func(*regionNode) bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		var late []string
		for vm, n := range r.nodes {
			if !n.killed.Load() && !n.cutOff.Load() && !condition(n) {
				late = append(late, vm)
			}
		}
		if len(late) == 0 {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			slices.Sort(late)
			t.Errorf("%s: not after %v at %d daemons, the first is %s", what, limit, len(late), late[0])
			return time.Since(begin)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (n *regionNode) knows(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.table.Registrations(), func(r *registry.Registration) bool { return r.ID == key })
}

// change registers a backend server and requires that all daemons know it within the limit.
func (r *region) change(t *testing.T, key string, limit time.Duration) {
	t.Helper()
	r.store.put(key)
	took := r.until(t, "change "+key, limit, func(n *regionNode) bool { return n.knows(key) })
	t.Logf("%s known after %v, %d calls so far", key, took, r.calls.Load())
}

// The bounds of a deployment.
const (
	// startBound is the time until all daemons serve after a start of all, changeBound the time until
	// a change is in force, also beside failures.
	startBound  = 2 * time.Second
	changeBound = 2500 * time.Millisecond
	// controlBytesBound is the bound of control traffic a second and daemon.
	controlBytesBound = 4096
)

// Guards against calls, followers or delays that grow with the region, at a start of all daemons, in
// normal operation, and while readers and relays fail.
func TestRegionOfManyDaemons(t *testing.T) {
	for _, size := range []int{14, 176, 600} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playRegion(t, size) }) })
	}
}

func playRegion(t *testing.T, size int) {
	r := newRegion(size)
	r.registerAll()
	r.startAll()
	defer r.stopAll()
	took := r.until(t, "all serve after a start", startBound, func(n *regionNode) bool { return n.source.Fresh() })
	t.Logf("all serve after %v with %d calls", took, r.calls.Load())
	r.checkStartCalls(t, size)
	time.Sleep(5 * time.Second)
	before := r.calls.Load()
	for _, n := range r.nodes {
		n.sentBytes.Store(0)
	}
	time.Sleep(10 * time.Second)
	if calls := r.calls.Load() - before; calls > 12*readersPerRegion {
		t.Errorf("%d calls in 10 s without a change", calls)
	}
	most, total := 0, int64(0)
	for _, n := range r.nodes {
		most = max(most, n.source.Followers())
		total += n.sentBytes.Load()
	}
	t.Logf("at most %d followers; %d bytes a second and daemon", most, total/10/int64(size))
	if most > maxFollowers+maxFollowers/2 {
		t.Errorf("a daemon has %d followers", most)
	}
	if total > 10*controlBytesBound*int64(size) {
		t.Errorf("%d bytes in 10 s without a change", total)
	}
	r.change(t, "a1", time.Second)

	r.nodes[r.names[0]].kill()
	r.nodes[r.names[4]].kill()
	r.change(t, "a2", changeBound)
	before = r.calls.Load()
	time.Sleep(5 * time.Second)
	// The successors of the reader and of the relays are no reason for others to read.
	if calls := r.calls.Load() - before; calls > 8*readersPerRegion {
		t.Errorf("%d calls in 5 s after a reader and a relay were replaced", calls)
	}

	r.nodes[r.names[1]].cutOff.Store(true)
	r.nodes[r.names[2]].cutOff.Store(true)
	time.Sleep(50 * time.Millisecond)
	r.change(t, "a3", changeBound)
	r.nodes[r.names[1]].cutOff.Store(false)
	r.nodes[r.names[2]].cutOff.Store(false)
	time.Sleep(5 * time.Second)
	r.change(t, "a4", changeBound)
}

// checkStartCalls checks that the calls of a start of all daemons grow at most with their number.
func (r *region) checkStartCalls(t *testing.T, size int) {
	t.Helper()
	calls, looks := r.calls.Load(), r.looks.Load()
	if calls > int64(2*size) {
		t.Errorf("%d calls at a start of %d daemons, want at most 2 each", calls, size)
	}
	if looks > int64(6*size) {
		t.Errorf("%d looks for peers at a start of %d daemons, want at most 6 each", looks, size)
	}
}

// Guards against daemons that all list the store at the first start of a region, when the backend
// servers register a moment after the daemons have started.
func TestFirstStartOfRegion(t *testing.T) {
	for _, size := range []int{14, 176, 600} {
		for _, delay := range []time.Duration{600 * time.Millisecond, time.Second, 1700 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRegion(size)
					r.startAll()
					defer r.stopAll()
					time.Sleep(delay)
					r.registerAll()
					r.until(t, "all serve after the registrations", startBound, func(n *regionNode) bool { return n.source.Fresh() })
					r.checkStartCalls(t, size)
				})
			})
		}
	}
}

// Guards against a change that the usual readers cannot see and no other daemon looks for, and
// against a store that is away and gets calls of every daemon.
func TestRegionWhoseReadersAreRefused(t *testing.T) {
	for _, size := range []int{14, 176} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(size)
				r.registerAll()
				r.startAll()
				defer r.stopAll()
				time.Sleep(5 * time.Second)
				for i, vm := range r.names {
					if i < readersPerRegion || i%3 == 0 {
						r.refused.Store(vm, true)
					}
				}
				for i := range 4 {
					r.change(t, fmt.Sprint("b", i), changeBound)
					time.Sleep(1300 * time.Millisecond)
				}
				for _, vm := range r.names {
					r.refused.Store(vm, true)
				}
				time.Sleep(2 * time.Second)
				before, probesBefore := r.calls.Load(), r.probes.Load()
				time.Sleep(10 * time.Second)
				// Each daemon that tries does so once in maxBackoff.
				calls, probes := r.calls.Load()-before, r.probes.Load()-probesBefore
				t.Logf("%d calls and %d probes in 10 s while the store is away", calls, probes)
				if cost := calls + probes/10; cost > 20*maxReaders {
					t.Errorf("calls and probes cost as much as %d calls in 10 s while the store is away", cost)
				}
				r.refused.Clear()
				r.change(t, "b9", changeBound)
			})
		})
	}
}
