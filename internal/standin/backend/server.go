package backend

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	// baseLatency is the response time without faults.
	baseLatency    = 2 * time.Millisecond
	maxStreamBytes = 1 << 30 // of a response of /size/{bytes}
	maxFaultsBytes = 4 << 10 // of a body of PUT /_faults; the rest is not read
)

// HeaderServiceTime is the response header with the time from the arrival of the request to the
// response, in microseconds.
const HeaderServiceTime = "X-Service-Time-Us"

// Server is the stand-in. Create it with New. It is safe for concurrent use.
type Server struct {
	id string

	mu          sync.Mutex
	faults      Faults
	faultsSetAt time.Time
	stats       Stats
	random      *rand.Rand
	// journal receives the name of each operation that runs, one per line. It may be nil.
	journal io.Writer
}

// Stats holds the counters of a server since its start.
type Stats struct {
	// Server is the id of the server.
	Server string `json:"server"`
	// Requests counts received requests, without those to /healthz, /_stats and /_faults.
	Requests int `json:"requests"`
	// Probes counts requests to the health endpoint.
	Probes int `json:"probes"`
	// Executions counts the runs of each operation, by operation name. A request whose body is
	// truncated does not run.
	Executions map[string]int `json:"executions"`
	// CutUploads counts requests whose body was truncated.
	CutUploads int `json:"cutUploads"`
	// Cancelled counts requests that the client cancelled before the response began.
	Cancelled int `json:"cancelled"`
}

// New returns a server without faults. The seed of its random numbers decides which requests the
// shares in Faults affect.
func New(id string, seed uint64) *Server {
	return &Server{id: id, faultsSetAt: time.Now(), stats: Stats{Server: id, Executions: map[string]int{}}, random: rand.New(rand.NewPCG(seed, seed))}
}

// Handler returns the HTTP handler for /healthz, /_faults, /_stats and /size/{bytes}. On any other
// path GET and HEAD are lookups, and each other method is an operation, which the server counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.health)
	r.Get("/_stats", s.showStats)
	r.Get("/_faults", s.showFaults)
	r.Put("/_faults", s.replaceFaults)
	r.Get("/size/{bytes}", s.streamBytes)
	r.Handle("/*", http.HandlerFunc(s.serveRequest))
	return r
}

// SetFaults replaces the faults. Flapping starts with the faults on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsSetAt = f, time.Now()
}

// SetJournal makes the server write the name of each operation that runs to w, before it responds.
// A file keeps the names when the process is killed, which loses the counters.
func (s *Server) SetJournal(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = w
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.stats
	copied.Executions = maps.Clone(s.stats.Executions)
	return copied
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.stats.Probes++
	fails := s.faults.HealthFails
	s.mu.Unlock()
	if fails {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n") //nolint:errcheck // on an error the client is gone
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, f)
}

func (s *Server) replaceFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxFaultsBytes))
	if err != nil {
		return
	}
	f, err := ParseFaults(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // on an error the client is gone
}

// responsePlan is the latency and the faults of the response to one request.
type responsePlan struct {
	latency                      time.Duration
	fail, cut, wrong, shed, hang bool
}

// planResponse counts a request and draws the faults of its response.
func (s *Server) planResponse() responsePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	p := responsePlan{latency: baseLatency}
	if !s.faults.activeAt(s.faultsSetAt, time.Now()) {
		return p
	}
	hit := func(share float64) bool { return share > 0 && s.random.Float64() < share }
	p.latency += time.Duration(s.faults.LatencyMs * float64(time.Millisecond))
	p.fail, p.cut, p.wrong = hit(s.faults.ErrorShare), hit(s.faults.CutShare), hit(s.faults.WrongShare)
	p.shed, p.hang = hit(s.faults.ShedShare), hit(s.faults.HangShare)
	return p
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	p := s.planResponse()
	digest := sha256.New()
	length, err := io.Copy(digest, r.Body)
	if err != nil {
		s.updateStats(func(st *Stats) { st.CutUploads++ })
		panic(http.ErrAbortHandler)
	}
	if p.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "injected fault: load shed", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		if err := s.recordExecution(operationName(r)); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if !s.awaitLatency(r, p) {
		return
	}
	if p.fail {
		http.Error(w, "injected fault: internal error", http.StatusInternalServerError)
		return
	}
	body, _ := json.Marshal(map[string]any{
		"server": s.id, "method": r.Method, "path": r.URL.Path, "echo": r.Header.Get("X-Echo"),
		"received": length, "sha256": hex.EncodeToString(digest.Sum(nil)),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(time.Since(start).Microseconds(), 10))
	s.writeAnswer(w, append(body, '\n'), p)
}

// recordExecution counts a run of an operation and writes its name to the journal.
func (s *Server) recordExecution(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions[name]++
	if s.journal == nil {
		return nil
	}
	_, err := io.WriteString(s.journal, name+"\n")
	return err
}

// operationName returns the name under which an operation is counted: the header X-Operation, or
// else the path.
func operationName(r *http.Request) string {
	if name := r.Header.Get("X-Operation"); name != "" {
		return name
	}
	return r.URL.Path
}

// awaitLatency waits for the planned latency. It reports false, and counts the request as
// cancelled, if the client cancels it first.
func (s *Server) awaitLatency(r *http.Request, p responsePlan) bool {
	latency := p.latency
	if p.hang {
		latency = time.Hour
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		s.updateStats(func(st *Stats) { st.Cancelled++ })
		return false
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, body []byte, p responsePlan) {
	digest := sha256.Sum256(body)
	if p.wrong {
		body[len(body)/2] ^= 0x20
	}
	w.Header().Set("Content-Digest", fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(digest[:])))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.cut {
		w.Write(body[:len(body)/2]) //nolint:errcheck // the response is truncated on purpose
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	w.Write(body) //nolint:errcheck // on an error the client is gone
}

// streamBytes serves /size/{bytes}: it streams a body of that size with chunked encoding. Of the
// faults only latency, hanging and truncation apply.
func (s *Server) streamBytes(w http.ResponseWriter, r *http.Request) {
	p := s.planResponse()
	total, err := strconv.ParseInt(chi.URLParam(r, "bytes"), 10, 64)
	if err != nil || total < 0 || total > maxStreamBytes {
		http.Error(w, "size in bytes is not an integer from 0 to 1073741824", http.StatusBadRequest)
		return
	}
	if !s.awaitLatency(r, p) {
		return
	}
	chunk := make([]byte, 32<<10)
	for i := range chunk {
		chunk[i] = byte(i)
	}
	for sent := int64(0); sent < total; {
		if p.cut && sent >= total/2 {
			panic(http.ErrAbortHandler)
		}
		n, err := w.Write(chunk[:min(int64(len(chunk)), total-sent)])
		if err != nil {
			return
		}
		sent += int64(n)
	}
}

func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}
