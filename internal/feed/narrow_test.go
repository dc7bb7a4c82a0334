package feed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

const (
	// narrowLink is the bandwidth of a small VM, 14 Mbit/s, in bytes a second.
	narrowLink = 14_000_000 / 8
	// windowBytes is how much of one stream the sender's kernel takes before the link has sent it.
	windowBytes = 64 << 10
	// chunkBytes is the unit in which streams share a link.
	chunkBytes = 4 << 10
	// storedRouteBytes is the size of a route in a response of the store.
	storedRouteBytes = 245
	// queueBound is how long packets may wait at a link before its VM counts as slow.
	queueBound = 500 * time.Millisecond
)

// link is the link of a VM. It sends in the order of the calls.
type link struct {
	mu      sync.Mutex
	freeAt  time.Time
	longest time.Duration
}

// send returns when the bytes have left the link.
func (l *link) send(bytes, bandwidth int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(bandwidth))
	l.longest = max(l.longest, time.Until(l.freeAt))
	return l.freeAt
}

func (l *link) longestQueue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longest
}

// narrowWriter sends a stream over a link.
type narrowWriter struct {
	ctx       context.Context
	link      *link
	bandwidth int64
	queue     chan narrowChunk
	sent      chan struct{}
}

type narrowChunk struct {
	data []byte
	at   time.Time
}

func newNarrowWriter(ctx context.Context, l *link, bandwidth int64, to io.Writer) *narrowWriter {
	w := &narrowWriter{ctx: ctx, link: l, bandwidth: bandwidth, queue: make(chan narrowChunk, windowBytes/chunkBytes), sent: make(chan struct{})}
	go func() {
		defer close(w.sent)
		for chunk := range w.queue {
			if !pause.For(ctx, time.Until(chunk.at)) {
				continue // the follower has left
			}
			_, _ = to.Write(chunk.data)
		}
	}()
	return w
}

func (w *narrowWriter) Write(p []byte) (int, error) {
	for chunk := range slices.Chunk(p, chunkBytes) {
		at := w.link.send(int64(len(chunk)), w.bandwidth)
		select {
		case w.queue <- narrowChunk{slices.Clone(chunk), at}:
		case <-w.ctx.Done():
			return 0, w.ctx.Err()
		}
	}
	return len(p), nil
}

// close returns once all has been sent.
func (w *narrowWriter) close() {
	if w != nil {
		close(w.queue)
		<-w.sent
	}
}

// transfer takes the time for which the changes occupy the link of a VM that reads the store.
func (r *region) transfer(ctx context.Context, changes []registry.Change, progress func()) error {
	if r.linkBytesPerSecond == 0 {
		return nil
	}
	size := 0
	for i := range changes {
		if c := changes[i].Configuration; c != nil {
			size += len(c.Routes) * storedRouteBytes
		}
	}
	for ; size > 0; size -= chunkBytes {
		if !pause.For(ctx, time.Duration(min(size, chunkBytes))*time.Second/time.Duration(r.linkBytesPerSecond)) {
			return ctx.Err()
		}
		progress()
	}
	return nil
}

// randomRoutes returns routes that compress no better than those of an operator.
func randomRoutes(random *rand.Rand, count int) []registry.Route {
	routes := make([]registry.Route, count)
	for i := range routes {
		name := fmt.Sprintf("%x", random.Uint64())
		routes[i] = registry.Route{
			Name: "route-" + name[:7], Host: "shop.example", PathPrefix: "/" + name[7:] + "/", Timeout: 4 * time.Second, Goal: 2 * time.Second,
			Parts: []catalog.WeightedService{{Service: "portal", Weight: 1}},
		}
	}
	return routes
}

func (n *regionNode) configurationVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, _ := n.table.Configuration()
	if c == nil {
		return 0
	}
	return c.Version
}

// configure publishes a configuration, and a moment later a registration, and requires that all
// daemons have both within changeBound.
func (r *region) configure(t *testing.T, version uint64, routes []registry.Route) {
	t.Helper()
	r.store.write(registry.Change{Key: "op/config", Configuration: &registry.Configuration{Version: version, Routes: routes}})
	time.Sleep(100 * time.Millisecond)
	r.change(t, fmt.Sprint("z", version), changeBound)
	took := r.until(t, fmt.Sprint("configuration ", version), changeBound, func(n *regionNode) bool { return n.configurationVersion() >= version })
	t.Logf("version %d with %d routes known %v after the registration", version, len(routes), took)
}

// Guards against a configuration that comes into force late, and changes of registrations behind it,
// because it travels whole and several times over the narrow link of one daemon.
func TestLargeConfigurationsOverNarrowLinks(t *testing.T) {
	for _, size := range []int{42, 96} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playLargeConfigurations(t, size) })
		})
	}
}

func playLargeConfigurations(t *testing.T, size int) {
	r := newNarrowRegion(size, narrowLink)
	random := rand.New(rand.NewPCG(26, 0))
	routes := randomRoutes(random, 8)
	r.store.write(registry.Change{Key: "op/config", Configuration: &registry.Configuration{Version: 1, Routes: routes}})
	r.registerAll()
	r.startAll()
	defer r.stopAll()
	r.until(t, "all serve after a start", startBound, func(n *regionNode) bool { return n.source.Fresh() })
	time.Sleep(5 * time.Second)
	before := map[string]uint64{} // streams that broke while others had yet to start
	for vm, n := range r.nodes {
		before[vm] = n.source.Stats().BrokenStreams
	}
	for i := range uint64(3) {
		routes = append(slices.Clip(routes), randomRoutes(random, 1400)...)
		r.configure(t, 2*i+2, routes)
		r.configure(t, 2*i+3, routes)
		time.Sleep(3 * time.Second)
	}
	for vm, n := range r.nodes {
		if broken := n.source.Stats().BrokenStreams - before[vm]; broken > 0 {
			t.Errorf("%s lost %d streams, want none", vm, broken)
		}
		if longest := n.uplink.longestQueue(); longest > queueBound {
			t.Errorf("packets waited up to %v at the link of %s, want at most %v", longest, vm, queueBound)
		}
	}
}

// Guards against a configuration that stays away from daemons whose source stops in the middle of the
// transfer, without a word or with a broken connection.
func TestLargeConfigurationWhileItsSourcesFail(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newNarrowRegion(42, narrowLink)
		random := rand.New(rand.NewPCG(27, 0))
		r.registerAll()
		r.startAll()
		defer r.stopAll()
		r.until(t, "all serve after a start", startBound, func(n *regionNode) bool { return n.source.Fresh() })
		time.Sleep(5 * time.Second)
		for i, fail := range []func(n *regionNode){
			func(n *regionNode) { n.cutOff.Store(true) },
			func(n *regionNode) { n.kill() },
		} {
			version := uint64(i + 1)
			r.store.write(registry.Change{Key: "op/config", Configuration: &registry.Configuration{Version: version, Routes: randomRoutes(random, 4000)}})
			has := func(n *regionNode) bool { return n.configurationVersion() >= version }
			for !has(r.nodes[r.names[i]]) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond) // transfers have begun
			fail(r.nodes[r.names[i]])
			took := r.until(t, fmt.Sprint("configuration ", version), changeBound, has)
			t.Logf("all others have it %v after its source failed", took)
			time.Sleep(4 * time.Second)
		}
	})
}

// Guards against a link that is full, and streams that end, because all followers get the full state
// after the store has dropped its history.
func TestListOfStoreOverNarrowLinks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newNarrowRegion(42, narrowLink)
		random := rand.New(rand.NewPCG(28, 0))
		r.registerAll()
		for range 2048 { // of other regions
			r.store.put(fmt.Sprintf("z-%016x", random.Uint64()))
		}
		r.startAll()
		defer r.stopAll()
		r.until(t, "all serve after a start", startBound, func(n *regionNode) bool { return n.source.Fresh() })
		time.Sleep(5 * time.Second)
		for _, n := range r.nodes {
			n.uplink.forget()
		}
		r.store.dropHistory()
		r.change(t, "z1", changeBound)
		time.Sleep(3 * time.Second)
		longest := time.Duration(0)
		for _, n := range r.nodes {
			longest = max(longest, n.uplink.longestQueue())
		}
		if t.Logf("packets waited up to %v", longest); longest > queueBound {
			t.Errorf("packets waited up to %v, want at most %v", longest, queueBound)
		}
	})
}

// forget begins the count of the longest queue anew.
func (l *link) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = 0
}
