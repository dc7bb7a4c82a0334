package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a list.
const pageItems = 500

// storeItem is one value of the store, or the removal of one.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64
	Removed   bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	server   *http.Server
}

func newStore() *store {
	return &store{era: 1, revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// serve answers calls at the address until close.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener) //nolint:errcheck // it ends with close
	return nil
}

func (s *store) close() { s.server.Close() }

// put writes a value and returns once it is acknowledged.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: data, Rev: s.revision, CreateRev: s.revision}
	if before, ok := s.items[key]; ok {
		it.CreateRev = before.CreateRev
	}
	s.items[key] = it
	s.add(it)
}

// add appends an event. The caller holds mu.
func (s *store) add(e storeItem) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// respond sends a response of the store. The caller does not hold mu.
func (s *store) respond(w http.ResponseWriter, era uint64, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may be gone
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	era, revision := s.era, s.revision
	s.mu.Unlock()
	if !ok {
		s.respond(w, era, http.StatusNotFound, map[string]any{"StoreRevision": revision})
		return
	}
	s.respond(w, era, http.StatusOK, struct {
		storeItem
		StoreRevision uint64
	}{it, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("Prefix"), query.Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	era, revision := s.era, s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	s.respond(w, era, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "HasMore": more, "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		era, revision, changed := s.era, s.revision, s.changed
		events := []storeItem{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("Prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if after > revision {
			s.respond(w, era, http.StatusGone, map[string]any{"StoreRevision": revision})
			return
		}
		if len(events) > 0 || over {
			s.respond(w, era, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
