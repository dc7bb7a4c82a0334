package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// waitTimeout bounds the wait for something that must happen. A test that passes never waits that
// long.
const waitTimeout = 20 * time.Second

// memoryStore is a store in memory whose watches wait for the next change.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	changes  []registry.Change
	changed  chan struct{}
	watchers map[string]int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{changed: make(chan struct{}), watchers: map[string]int{}}
}

func (s *memoryStore) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, registry.Change{Key: id, Revision: s.revision, Registration: &registry.Registration{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1}})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) after(revision uint64) ([]registry.Change, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []registry.Change
	for _, c := range s.changes {
		if c.Revision > revision {
			out = append(out, c)
		}
	}
	return out, s.revision, s.changed
}

// daemonStore is the store as one daemon sees it. It counts the running watches of that daemon.
type daemonStore struct {
	*memoryStore
	vm string
}

func (v daemonStore) List(context.Context, bool) ([]registry.Change, uint64, error) {
	changes, revision, _ := v.after(0)
	return changes, revision, nil
}

func (v daemonStore) Watch(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change, uint64, error) {
	v.addWatchers(1)
	defer v.addWatchers(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, revision, changed := v.after(after)
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (v daemonStore) addWatchers(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers[v.vm] += n
}

// node is one daemon of a test.
type node struct {
	source *Source
	mu     sync.Mutex
	table  *registry.Table
	server *httptest.Server
	stop   context.CancelFunc
	done   chan struct{}
}

func (n *node) apply(u registry.Update) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if u.Full {
		return n.table.Replace(time.Now(), u.Revision, u.Changes)
	}
	return n.table.Apply(time.Now(), u.Changes)
}

func (n *node) knows(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.table.Registrations() {
		if r.ID == id {
			return true
		}
	}
	return false
}

func startNodes(t *testing.T, store *memoryStore, count int) []*node {
	var peers []Peer
	nodes := make([]*node, count)
	for i := range nodes {
		n := &node{table: registry.NewTable(), done: make(chan struct{})}
		n.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.source.Handler().ServeHTTP(w, r) }))
		nodes[i] = n
		peers = append(peers, Peer{VM: fmt.Sprint("vm", i), Address: n.server.Listener.Addr().String()})
	}
	for i, n := range nodes {
		n.source = New(Options{
			Self: peers[i].VM, Store: daemonStore{store, peers[i].VM}, Transport: &http.Transport{}, Peers: func() []Peer { return peers }, Apply: n.apply,
			State:       func() []registry.Change { n.mu.Lock(); defer n.mu.Unlock(); return n.table.Changes() },
			RemovalHold: func() time.Duration { return 0 }, Log: telemetry.Discard(),
		})
		n.server.Start()
		ctx, stop := context.WithCancel(context.Background())
		n.stop = stop
		go func() { defer close(n.done); n.source.Run(ctx) }()
		t.Cleanup(n.shutdown)
	}
	return nodes
}

func (n *node) shutdown() {
	n.stop()
	<-n.done
	n.server.CloseClientConnections()
	n.server.Close()
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(waitTimeout); !condition(); <-ticker.C {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
	}
}

func (s *memoryStore) watchingVMs() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, n := range s.watchers {
		if n > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a fleet in which every daemon reads the store, against followers that miss a
// change, and against followers that get no more changes once all readers have stopped.
func TestOnlyElectedDaemonsReadTheStore(t *testing.T) {
	store := newMemoryStore()
	store.put("first")
	nodes := startNodes(t, store, 6)
	await(t, "all daemons have the full state", func() bool {
		for _, n := range nodes {
			if !n.source.Fresh() || !n.knows("first") {
				return false
			}
		}
		return true
	})
	await(t, "only the elected daemons read", func() bool { return len(store.watchingVMs()) == readersPerRegion })
	store.put("second")
	await(t, "all daemons have the change", func() bool {
		for _, n := range nodes {
			if !n.knows("second") {
				return false
			}
		}
		return true
	})
	stoppedVMs := map[string]bool{}
	for _, name := range store.watchingVMs() {
		stoppedVMs[name] = true
	}
	var remaining []*node
	for i, n := range nodes {
		if stoppedVMs[fmt.Sprint("vm", i)] {
			n.shutdown()
		} else {
			remaining = append(remaining, n)
		}
	}
	store.put("third")
	await(t, "the other daemons get a change without the first readers", func() bool {
		for _, n := range remaining {
			if !n.knows("third") {
				return false
			}
		}
		return true
	})
}

// Guards against a slow follower that misses changes because they exceed maxPending: it must get
// the full state.
func TestSlowFollowerGetsFullState(t *testing.T) {
	h := &hub{closed: make(chan struct{}), followers: map[*follower]struct{}{},
		fullState:   func() ([]registry.Change, uint64) { return []registry.Change{{Key: "all"}}, 7 },
		statusFrame: func() frame { return frame{Revision: 9, StoreAvailable: true} },
	}
	f := h.add()
	if first := h.next(f); !first.Full || first.Revision != 7 {
		t.Fatalf("%+v", first)
	}
	h.send([]registry.Change{{Key: "one"}})
	if second := h.next(f); second.Full || len(second.Changes) != 1 {
		t.Fatalf("%+v", second)
	}
	for range maxPending + 1 {
		h.send([]registry.Change{{Key: "many"}})
	}
	if third := h.next(f); !third.Full || third.Changes[0].Key != "all" {
		t.Errorf("%+v", third)
	}
}
