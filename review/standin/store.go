package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: /kv-key, /kv-range and /kv-watch. It serves
// each daemon on a listener of its own, so that single daemons can be cut off from it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []any
	changed  chan struct{}
}

// storeItem is one item as it is sent.
type storeItem struct {
	Key       string
	Value     []byte
	Rev       uint64
	CreateRev uint64
	Lease     int
}

// removal is the event of a removed item.
type removal struct {
	Key     string
	Rev     uint64
	Removed bool
}

func newStore() *store {
	return &store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: data, Rev: s.revision, CreateRev: s.revision}
	if before, ok := s.items[key]; ok {
		item.CreateRev = before.CreateRev
	}
	s.items[key] = item
	s.addEvent(item)
	return time.Now()
}

// remove deletes an item and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.addEvent(removal{Key: key, Rev: s.revision, Removed: true})
	return time.Now()
}

// addEvent records an event and wakes the watches. The caller holds mu.
func (s *store) addEvent(event any) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// gate is one daemon's access to the store.
type gate struct {
	store   *store
	address string

	mu    sync.Mutex
	cut   chan struct{} // set while the store does not answer this daemon
	calls int
	// lastCall is when the latest call began.
	lastCall time.Time
}

// newGate opens a listener on a loopback address for one daemon.
func (s *store) newGate() (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, address: l.Addr().String()}
	go http.Serve(l, g) //nolint:errcheck // it ends with the process
	return g, nil
}

// silence keeps the store from answering the daemon, calls that wait included. Until resume, every
// call stays without an answer.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut == nil {
		g.cut = make(chan struct{})
	}
}

// resume ends silence.
func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut != nil {
		close(g.cut)
		g.cut = nil
	}
}

// isCut reports whether the daemon is cut off.
func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut != nil
}

// callCount returns the number of calls so far.
func (g *gate) callCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// sinceCall returns the time since the latest call began.
func (g *gate) sinceCall() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.lastCall)
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.calls++
	g.lastCall = time.Now()
	g.mu.Unlock()
	time.Sleep(4 * time.Millisecond) // the time of an answer in the site files
	body, status := g.store.answer(r)
	if g.isCut() {
		<-r.Context().Done() // nothing is answered until the caller gives up
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have left
}

// answer returns the body and the status for a call.
func (s *store) answer(r *http.Request) (any, int) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		item, ok := s.items[q.Get("Key")]
		if !ok {
			return map[string]any{"StoreRevision": s.revision}, http.StatusNotFound
		}
		return struct {
			storeItem
			StoreRevision uint64
		}{item, s.revision}, http.StatusOK
	case "/kv-range":
		return s.list(q.Get("Prefix"), q.Get("after")), http.StatusOK
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		return s.watch(r, q.Get("Prefix"), after, time.Duration(wait)*time.Millisecond), http.StatusOK
	default:
		return map[string]any{}, http.StatusNotFound
	}
}

// pageSize is the number of items of a page.
const pageSize = 500

func (s *store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	items := make([]storeItem, len(keys))
	for i, key := range keys {
		items[i] = s.items[key]
	}
	return map[string]any{"items": items, "HasMore": more, "StoreRevision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) any {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := []any{}, s.revision, s.changed
		for _, event := range s.events {
			key, rev := "", uint64(0)
			switch e := event.(type) {
			case storeItem:
				key, rev = e.Key, e.Rev
			case removal:
				key, rev = e.Key, e.Rev
			}
			if rev > after && strings.HasPrefix(key, prefix) {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "StoreRevision": revision}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return map[string]any{}
		case <-end.C:
			return map[string]any{"events": events, "StoreRevision": revision}
		}
	}
}
