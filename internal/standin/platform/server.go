package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxWait bounds a watch, so that a lost reader does not hold its call for long.
	maxWait = 60 * time.Second
	// RevisionHeader carries the revision of a value.
	RevisionHeader = "Revision"
)

// Server is the HTTP side of the stand-in.
type Server struct {
	store  *Store
	dir    string
	faults faults

	valueCalls, changesCalls, vmsCalls, refused atomic.Uint64
}

// Stats counts calls by kind. A watch counts once.
type Stats struct {
	Value   uint64 `json:"value"`
	Changes uint64 `json:"changes"`
	VMs     uint64 `json:"vms"`
	// Refused counts the calls among them that a fault answered.
	Refused uint64 `json:"refused"`
}

// New returns a server over store. Reload loads dir, which may be empty.
func New(store *Store, dir string) *Server { return &Server{store: store, dir: dir} }

// SetFault changes how readers are answered.
func (s *Server) SetFault(f Fault) {
	s.faults.set(f)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.notify()
}

// Stats returns the calls counted so far.
func (s *Server) Stats() Stats {
	return Stats{s.valueCalls.Load(), s.changesCalls.Load(), s.vmsCalls.Load(), s.refused.Load()}
}

// Handler returns the handler of both sides.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/value", s.reader(&s.valueCalls, s.getValue))
	mux.HandleFunc("GET /v1/changes", s.reader(&s.changesCalls, s.getChanges))
	mux.HandleFunc("GET /v1/vms", s.reader(&s.vmsCalls, s.getVMs))
	s.registerOperator(mux)
	return mux
}

func (s *Server) reader(calls *atomic.Uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if s.faults.get().Mode == ModeDown {
			s.refused.Add(1)
		}
		if s.faults.strike(w, r) {
			s.refused.Add(1)
			return
		}
		next(w, r)
	}
}

func (s *Server) getValue(w http.ResponseWriter, r *http.Request) {
	v, ok := s.store.at(r.URL.Query().Get("name"), s.faults.upTo())
	if !ok {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data) // a failed write is the reader's loss
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		revision, changed, next := s.store.changesAt(after, s.faults.upTo())
		// A reader ahead of the store is told at once: the store is stale or was restored.
		if len(changed) > 0 || revision < after || wait <= 0 {
			writeJSON(w, map[string]any{"revision": revision, "changed": changed})
			return
		}
		select {
		case <-next:
			if s.faults.get().Mode == ModeDown {
				panic(http.ErrAbortHandler)
			}
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getVMs(w http.ResponseWriter, _ *http.Request) {
	v, ok := s.store.at(vmsKey, s.faults.upTo())
	list := []VM{}
	if ok {
		if err := json.Unmarshal(v.data, &list); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	writeJSON(w, map[string]any{"revision": v.revision, "vms": list})
}

func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content) // a failed write is the reader's loss
}
