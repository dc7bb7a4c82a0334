package feed

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
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
	// oldest is the revision below which the history is no longer available.
	oldest uint64
	// copied is the content at the time of the last copy, with its revision.
	copied         []registry.Change
	copiedRevision uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, changed: make(chan struct{}), watchers: map[string]int{}}
}

func (s *memoryStore) put(id string) {
	s.write(registry.Change{Key: id, Registration: &registry.Registration{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1}})
}

// drain writes that a backend server is leaving, remove that its registration has ended.
func (s *memoryStore) drain(id string) {
	s.write(registry.Change{Key: id, Registration: &registry.Registration{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1, Draining: true}})
}

func (s *memoryStore) remove(id string) { s.write(registry.Change{Key: id, Removed: true}) }

// write writes a value at the next revision.
func (s *memoryStore) write(c registry.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Revision = s.revision
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory makes all readers list the store again.
func (s *memoryStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy keeps the present content for a later restore.
func (s *memoryStore) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedRevision = slices.Clone(s.changes), s.revision
}

// restore makes the store come back from its copy, in the next era.
func (s *memoryStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	inNextEra := func(revision uint64) uint64 {
		next, _ := registry.MakeRevision(registry.EraOf(s.revision)+1, registry.StoreRevisionOf(revision))
		return next
	}
	s.changes = slices.Clone(s.copied)
	for i := range s.changes {
		s.changes[i].Revision = inNextEra(s.changes[i].Revision)
	}
	s.revision = inNextEra(s.copiedRevision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) gone(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision < s.oldest || registry.EraOf(revision) != registry.EraOf(s.revision)
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

func (v daemonStore) List(context.Context, func()) ([]registry.Change, uint64, error) {
	changes, revision, _ := v.after(0)
	latest := map[string]registry.Change{}
	for _, c := range changes {
		latest[c.Key] = c
	}
	items := make([]registry.Change, 0, len(latest))
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		if !latest[key].Removed {
			items = append(items, latest[key])
		}
	}
	return items, revision, nil
}

func (v daemonStore) Peek(ctx context.Context) ([]registry.Change, error) {
	changes, _, err := v.List(ctx, func() {})
	return slices.DeleteFunc(changes, func(c registry.Change) bool { return c.Configuration != nil }), err
}

func (v daemonStore) Probe(_ context.Context, revision uint64) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision != 0 && registry.EraOf(revision) < registry.EraOf(v.revision) {
		return registry.ErrHistoryGone
	}
	return nil
}

func (v daemonStore) Watch(ctx context.Context, after uint64, wait time.Duration, progress func()) ([]registry.Change, uint64, error) {
	v.addWatchers(1)
	defer v.addWatchers(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if v.gone(after) {
			return nil, 0, registry.ErrHistoryGone
		}
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

// take returns the decoded frames that a follower lacks.
func take(t *testing.T, h *hub, f *follower) (frames []frame) {
	t.Helper()
	encoded, _ := h.take(f)
	for _, data := range encoded {
		decoded, err := readFrame(bytes.NewReader(data), func() {})
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, decoded)
	}
	return frames
}

func newTestHub() *hub {
	h := newHub()
	h.fullState = func() []registry.Change { return []registry.Change{{Key: "all"}} }
	h.currentStatus = func() status { return status{Revision: 9, Reading: true} }
	h.removalHold = func() time.Duration { return 0 }
	return h
}

// Guards against a slow follower that misses changes because the recent ones are bounded: it must
// get the full state.
func TestSlowFollowerGetsFullState(t *testing.T) {
	h := newTestHub()
	f := h.add(false, 0, false)
	if first := take(t, h, f); len(first) != 2 || !first[0].Full || first[0].Revision != 9 || first[1].Status.Revision != 9 {
		t.Fatalf("%+v", first)
	}
	h.send([]registry.Change{{Key: "one"}})
	if second := take(t, h, f); len(second) != 2 || second[0].Full || len(second[0].Changes) != 1 {
		t.Fatalf("%+v", second)
	}
	for range maxRecentPackets + 1 {
		h.send([]registry.Change{{Key: "many"}})
	}
	if third := take(t, h, f); len(third) != 2 || !third[0].Full || third[0].Changes[0].Key != "all" {
		t.Errorf("%+v", third)
	}
}

// Guards against a follower that has the state up to a revision and then misses a change, or gets
// the full state although the changes since then are known.
func TestFollowerResumesByRevision(t *testing.T) {
	h := newTestHub()
	for r := uint64(1); r <= 5; r++ {
		h.send([]registry.Change{{Key: fmt.Sprint(r), Revision: r}})
	}
	if got := take(t, h, h.add(true, 3, false)); len(got) != 3 || got[0].Full || got[0].Changes[0].Revision != 4 || got[1].Changes[0].Revision != 5 {
		t.Errorf("after revision 3: %+v", got)
	}
	h.send([]registry.Change{{Key: "late", Revision: 2}}) // out of order
	if got := take(t, h, h.add(true, 5, false)); len(got) != 1 || got[0].Status == nil {
		t.Errorf("after revision 5: %+v", got)
	}
	h.sendFull(registry.Update{Full: true, Revision: 7, Changes: []registry.Change{{Revision: 8}}})
	if got := take(t, h, h.add(true, 7, false)); len(got) != 2 || !got[0].Full {
		t.Errorf("after revision 7, with a full state of up to 8: %+v", got)
	}
	if got := take(t, h, h.add(true, 8, false)); len(got) != 1 || got[0].Full {
		t.Errorf("after revision 8: %+v", got)
	}
	for range maxRecentPackets + 1 {
		h.send([]registry.Change{{Key: "many", Revision: 9}})
	}
	if got := take(t, h, h.add(true, 8, false)); !got[0].Full {
		t.Errorf("after revision 8, with changes forgotten: %+v", got[0])
	}
}
