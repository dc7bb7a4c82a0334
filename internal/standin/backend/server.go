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
	baseLatency   = 2 * time.Millisecond
	maxSizeBytes  = 1 << 30
	maxFaultBytes = 4 << 10
)

// HeaderServiceTime states in a response how long the server took for it, in microseconds.
const HeaderServiceTime = "X-Service-Time-Us"

// Server is the stand-in. Create it with New.
type Server struct {
	id string

	mu     sync.Mutex
	faults Faults
	since  time.Time
	stats  Stats
	random *rand.Rand
	// journal receives the name of each operation that runs, one a line.
	journal io.Writer
}

// Stats counts what the server did.
type Stats struct {
	Server string `json:"server"`
	// Requests counts requests that reached the server, health checks excluded.
	Requests int `json:"requests"`
	// Probes counts requests to the health endpoint.
	Probes int `json:"probes"`
	// Executions counts, per operation name, how often an operation ran. A cut upload does not run.
	Executions map[string]int `json:"executions"`
	// CutUploads counts request bodies that ended early.
	CutUploads int `json:"cutUploads"`
	// Cancelled counts requests that the client gave up.
	Cancelled int `json:"cancelled"`
}

// New returns a healthy server. The seed decides which requests a share of faults hits.
func New(id string, seed uint64) *Server {
	return &Server{id: id, since: time.Now(), stats: Stats{Server: id, Executions: map[string]int{}}, random: rand.New(rand.NewPCG(seed, seed))}
}

// Handler returns the HTTP handler: /healthz, /_faults, /_stats, /size/{bytes}, and any other path as a lookup or operation.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.health)
	r.Get("/_stats", s.showStats)
	r.Get("/_faults", s.showFaults)
	r.Put("/_faults", s.changeFaults)
	r.Get("/size/{bytes}", s.size)
	r.Handle("/*", http.HandlerFunc(s.serve))
	return r
}

// SetFaults replaces the faults. A flapping server starts with its faults on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.since = f, time.Now()
}

// SetJournal makes the server write the name of each operation to w before it runs. A file keeps them when the process is
// killed, which loses the counters.
func (s *Server) SetJournal(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = w
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Executions = maps.Clone(s.stats.Executions)
	return out
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
	io.WriteString(w, "ok\n") //nolint:errcheck // the client is gone when this fails
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, f)
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxFaultBytes))
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
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the client is gone when this fails
}

// plan is what the faults decide for one request.
type plan struct {
	latency                        time.Duration
	fail, cut, wrong, shed, hanged bool
}

func (s *Server) plan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	p := plan{latency: baseLatency}
	if !s.faults.active(s.since, time.Now()) {
		return p
	}
	hit := func(share float64) bool { return share > 0 && s.random.Float64() < share }
	p.latency += time.Duration(s.faults.LatencyMs * float64(time.Millisecond))
	p.fail, p.cut, p.wrong = hit(s.faults.ErrorShare), hit(s.faults.CutShare), hit(s.faults.WrongShare)
	p.shed, p.hanged = hit(s.faults.ShedShare), hit(s.faults.HangShare)
	return p
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	p := s.plan()
	digest := sha256.New()
	length, err := io.Copy(digest, r.Body)
	if err != nil {
		s.count(func(st *Stats) { st.CutUploads++ })
		panic(http.ErrAbortHandler)
	}
	if p.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		if err := s.execute(operationName(r)); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if !s.delay(r, p) {
		return
	}
	if p.fail {
		http.Error(w, "failure on demand", http.StatusInternalServerError)
		return
	}
	body, _ := json.Marshal(map[string]any{
		"server": s.id, "method": r.Method, "path": r.URL.Path, "echo": r.Header.Get("X-Echo"),
		"received": length, "sha256": hex.EncodeToString(digest.Sum(nil)),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(time.Since(start).Microseconds(), 10))
	s.answer(w, append(body, '\n'), p)
}

// execute counts one run of an operation.
func (s *Server) execute(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions[name]++
	if s.journal == nil {
		return nil
	}
	_, err := io.WriteString(s.journal, name+"\n")
	return err
}

// operationName names an operation in the counters: the X-Operation header of the test, or the path.
func operationName(r *http.Request) string {
	if name := r.Header.Get("X-Operation"); name != "" {
		return name
	}
	return r.URL.Path
}

// delay waits for the planned latency and reports whether the client is still there.
func (s *Server) delay(r *http.Request, p plan) bool {
	latency := p.latency
	if p.hanged {
		latency = time.Hour
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		s.count(func(st *Stats) { st.Cancelled++ })
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, body []byte, p plan) {
	digest := sha256.Sum256(body)
	if p.wrong {
		body[len(body)/2] ^= 0x20
	}
	w.Header().Set("Content-Digest", fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(digest[:])))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.cut {
		w.Write(body[:len(body)/2]) //nolint:errcheck // the answer is cut on purpose
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	w.Write(body) //nolint:errcheck // the client is gone when this fails
}

// size streams a body of the requested size with chunked encoding.
func (s *Server) size(w http.ResponseWriter, r *http.Request) {
	p := s.plan()
	total, err := strconv.ParseInt(chi.URLParam(r, "bytes"), 10, 64)
	if err != nil || total < 0 || total > maxSizeBytes {
		http.Error(w, "size is not a number from 0 to 1073741824", http.StatusBadRequest)
		return
	}
	if !s.delay(r, p) {
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

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}
