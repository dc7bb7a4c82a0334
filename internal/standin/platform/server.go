package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxWait bounds a long poll, so that a reader that is gone does not hold its call for long.
	maxWait = 60 * time.Second
	// RevisionHeader is the response header that carries the revision of a value.
	RevisionHeader = "Revision"
)

// Server serves a Store over HTTP. Create it with New. It is safe for concurrent use.
type Server struct {
	store *Store
	// valuesDir is the directory that Reload reads, or empty.
	valuesDir string
	faults    faultInjector

	valueCalls, changesCalls, vmsCalls, refused atomic.Uint64
}

// Stats holds the number of calls of the reader API since the start, by path.
type Stats struct {
	Value uint64 `json:"value"`
	// Changes counts a long poll once, however long it waits.
	Changes uint64 `json:"changes"`
	VMs     uint64 `json:"vms"`
	// Refused counts those of the calls above that an injected fault ended on arrival.
	Refused uint64 `json:"refused"`
}

// New returns a server for store. Reload reads dir; an empty dir makes Reload do nothing.
func New(store *Store, dir string) *Server { return &Server{store: store, valuesDir: dir} }

// SetFault replaces the fault of the reader API and wakes pending long polls, which ModeDown and
// ModeStale affect too.
func (s *Server) SetFault(f Fault) {
	s.faults.set(f)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.notifyWatchers()
}

// Stats returns the present counters.
func (s *Server) Stats() Stats {
	return Stats{s.valueCalls.Load(), s.changesCalls.Load(), s.vmsCalls.Load(), s.refused.Load()}
}

// Handler returns the handler of the reader API and the operator API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/value", s.readerHandler(&s.valueCalls, s.getValue))
	mux.HandleFunc("GET /v1/changes", s.readerHandler(&s.changesCalls, s.getChanges))
	mux.HandleFunc("GET /v1/vms", s.readerHandler(&s.vmsCalls, s.getVMs))
	s.registerOperatorRoutes(mux)
	return mux
}

// readerHandler wraps a handler of the reader API: it counts the call and applies the fault.
func (s *Server) readerHandler(calls *atomic.Uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if s.faults.get().Mode == ModeDown {
			s.refused.Add(1)
		}
		if s.faults.apply(w, r) {
			s.refused.Add(1)
			return
		}
		next(w, r)
	}
}

func (s *Server) getValue(w http.ResponseWriter, r *http.Request) {
	v, ok := s.store.valueAt(r.URL.Query().Get("name"), s.faults.maxVisibleRevision())
	if !ok {
		http.Error(w, "no value of this name exists at the visible revision", http.StatusNotFound)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data) // on an error the reader is gone
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after is not an unsigned integer", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		revision, changed, next := s.store.changesBetween(after, s.faults.maxVisibleRevision())
		// A reader that is ahead of the store gets an answer at once, because the store is stale or
		// was restored.
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
	v, ok := s.store.valueAt(vmListKey, s.faults.maxVisibleRevision())
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
	_ = json.NewEncoder(w).Encode(content) // on an error the reader is gone
}
