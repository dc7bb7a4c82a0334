package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps all history until a restore.
type store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	log      []event
	copied   []event
	changed  chan struct{}
	// away is true while the store does not accept connections.
	away bool
	// turnedAway holds the addresses at which all calls get 503. Each machine has an address of its own.
	turnedAway map[string]bool
	open       map[net.Conn]bool
}

// event is one write of a key, or its removal.
type event struct {
	Key       string `json:"Key"`
	Value     string `json:"Value,omitempty"`
	Rev       uint64 `json:"Rev"`
	CreateRev uint64 `json:"CreateRev,omitempty"`
	Lease     int    `json:"Lease"`
	Removed   bool   `json:"Removed,omitempty"`
}

func newStore(addresses []string) (*store, error) {
	s := &store{era: 1, revision: 100, changed: make(chan struct{}), open: map[net.Conn]bool{}, turnedAway: map[string]bool{}}
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.open[c] = true
			if s.away {
				c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.open, c)
		}
	}}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		go server.Serve(listener) //nolint:errcheck // it ends with the process
	}
	return s, nil
}

// put writes a value and returns when it is acknowledged. It returns false while the store is away.
func (s *store) put(key, value string) bool {
	return s.write(event{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
}

// sequence is the part of an entry that changes with each heartbeat.
var sequence = regexp.MustCompile(`"Sequence":[0-9]+`)

// putEntry writes the entry of an upstream. It changes when more than its sequence changes.
func (s *store) putEntry(key, value string) {
	s.mu.Lock()
	for _, e := range s.items(key, "") {
		before, _ := base64.StdEncoding.DecodeString(e.Value)
		if e.Key == key && sequence.ReplaceAllString(string(before), "") == sequence.ReplaceAllString(value, "") {
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.put(key, value)
}

func (s *store) remove(key string) bool { return s.write(event{Key: key, Removed: true}) }

func (s *store) write(e event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.revision++
	e.Rev, e.CreateRev = s.revision, s.revision
	s.log = append(s.log, e)
	s.wake()
	return true
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy keeps the present content for a later restore.
func (s *store) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = slices.Clone(s.log)
}

// leave makes the store unreachable: connections are reset and new ones are closed.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.open {
		c.Close()
	}
}

// restore brings the store back from its copy, in the next era.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.log = slices.Clone(s.copied)
	s.revision = s.log[len(s.log)-1].Rev
	s.wake()
}

// turnAway makes the store answer all calls at an address with 503, also those that wait, until it is
// told to serve them again.
func (s *store) turnAway(address string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[address] = away
	s.wake()
}

// items returns the present items with a prefix after a key, in order. The caller holds mu.
func (s *store) items(prefix, after string) []event {
	latest := map[string]event{}
	for _, e := range s.log {
		latest[e.Key] = e
	}
	out := []event{}
	for key, e := range latest {
		if !e.Removed && key > after && strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b event) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// ServeHTTP answers the reading calls. An answer takes 4 ms, as the pages say.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	switch {
	case s.turnedAway[local.String()]:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/kv-range":
		s.answer(w, map[string]any{"items": s.items(query.Get("Prefix"), query.Get("after")), "HasMore": false, "StoreRevision": s.revision})
	case r.URL.Path == "/kv-watch":
		s.watch(w, r, local.String())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, v any) {
	if s.away {
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller has left
}

// watch waits for changes. The caller holds mu.
func (s *store) watch(w http.ResponseWriter, r *http.Request, local string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	era := s.era
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.turnedAway[local] {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision || era != s.era {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.log {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("Prefix")) {
				events = append(events, e)
			}
		}
		changed := s.changed
		over := false
		if len(events) == 0 {
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timer.C:
				over = true
			case <-r.Context().Done():
				over = true
			}
			s.mu.Lock()
		}
		if len(events) > 0 || over {
			s.answer(w, map[string]any{"events": events, "StoreRevision": s.revision})
			return
		}
	}
}
