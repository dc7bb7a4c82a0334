package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/go-chi/chi/v5"
	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const (
	maxBodyBytes = 4 << 10
	maxAuditWait = 30 * time.Second
)

// Daemon is what the handler needs of the daemon.
type Daemon interface {
	// Status returns what GET /v1/status shows. Pages of the audit trail take VM and incarnation from it.
	Status() Status
	// Ready returns an empty text when the daemon serves, else the reason why not.
	Ready() string
	// Revision returns the revision in force of one value, 0 for none; Revisions returns those of all values.
	Revision(value string) Revision
	Revisions() Revisions
	// VMs returns the VMs of the configuration in force, by name.
	VMs() []VM
	// Placement reports false when the configuration in force has no such backend server.
	Placement(backend string) (Placement, bool)
	// Explain returns what would happen to a request now. It sends none and takes nothing from the limits.
	Explain(customer, method, path string) Decision
	// Documents returns the documents in force of one value.
	Documents(value string) (contract.Documents, error)
	// Values returns the names of the values in force.
	Values() []string
	// Trail returns the audit trail.
	Trail() *audit.Trail
	// Override reports false when this VM has no such backend server, and an error for an unknown override.
	Override(backend, override, operator string) (bool, error)
	// Drain begins a graceful stop and returns at once. A second call changes nothing.
	Drain(operator string)
	// WriteMetrics writes all metrics in the text format of Prometheus.
	WriteMetrics(w io.Writer)
}

// Handler returns the handler of the admin listener.
func Handler(d Daemon) http.Handler {
	r := chi.NewRouter()
	r.Use(refuseForeignPages)
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) { ready(w, d) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { d.WriteMetrics(w) })
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Status()) })
	r.Get("/v1/revision", func(w http.ResponseWriter, r *http.Request) { write(w, d.Revision(r.URL.Query().Get("value"))) })
	r.Get("/v1/revisions", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Revisions()) })
	r.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) { write(w, d.VMs()) })
	r.Get("/v1/backends/{id}", func(w http.ResponseWriter, r *http.Request) { placement(w, r, d) })
	r.Get("/v1/explain", func(w http.ResponseWriter, r *http.Request) { explain(w, r, d) })
	r.Get("/v1/values", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Values()) })
	r.Get("/v1/documents", func(w http.ResponseWriter, r *http.Request) { documents(w, r, d) })
	r.Get("/v1/audit", func(w http.ResponseWriter, r *http.Request) { trail(w, r, d) })
	r.Put("/v1/backends/{id}/override", func(w http.ResponseWriter, r *http.Request) { override(w, r, d) })
	r.Post("/v1/drain", func(w http.ResponseWriter, r *http.Request) { drain(w, r, d) })
	return r
}

// refuseForeignPages refuses requests that a web page in an operator's browser could send to a loopback listener: those with
// an Origin, and those whose Host is a name other than localhost (DNS rebinding).
func refuseForeignPages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.Host)
		if err != nil {
			host = r.Host
		}
		if r.Header.Get("Origin") != "" || host != "localhost" && net.ParseIP(host) == nil {
			http.Error(w, "the admin listener answers operators' tools only, addressed by IP number or localhost", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func ready(w http.ResponseWriter, d Daemon) {
	if reason := d.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func explain(w http.ResponseWriter, r *http.Request, d Daemon) {
	q := r.URL.Query()
	method := q.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	if q.Get("customer") == "" || q.Get("path") == "" {
		http.Error(w, "the query needs customer=NAME and path=PATH", http.StatusBadRequest)
		return
	}
	write(w, d.Explain(q.Get("customer"), method, q.Get("path")))
}

func documents(w http.ResponseWriter, r *http.Request, d Daemon) {
	docs, err := d.Documents(r.URL.Query().Get("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, Documents(docs))
}

func placement(w http.ResponseWriter, r *http.Request, d Daemon) {
	id := chi.URLParam(r, "id")
	found, ok := d.Placement(id)
	if !ok {
		http.Error(w, "no service in force has a backend server "+id, http.StatusNotFound)
		return
	}
	write(w, found)
}

func trail(w http.ResponseWriter, r *http.Request, d Daemon) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil && q.Get("from") != "" {
		http.Error(w, "from is not a sequence number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil && q.Get("wait") != "" {
		http.Error(w, "wait is not a duration such as 10s", http.StatusBadRequest)
		return
	}
	entries, changed := d.Trail().Since(from)
	if len(entries) == 0 && wait > 0 {
		timer := time.NewTimer(min(wait, maxAuditWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		entries, _ = d.Trail().Since(from)
	}
	status := d.Status()
	page := AuditPage{VM: status.VM, Incarnation: status.Incarnation, Entries: entries, Next: from}
	if len(entries) > 0 {
		page.Next = entries[len(entries)-1].Sequence + 1
	}
	write(w, page)
}

func override(w http.ResponseWriter, r *http.Request, d Daemon) {
	var body OverrideRequest
	if !read(w, r, &body) {
		return
	}
	id := chi.URLParam(r, "id")
	found, err := d.Override(id, body.Override, body.Operator)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !found:
		http.Error(w, "this VM has no backend server "+id, http.StatusNotFound)
	default:
		write(w, body)
	}
}

func drain(w http.ResponseWriter, r *http.Request, d Daemon) {
	var body DrainRequest
	if !read(w, r, &body) {
		return
	}
	d.Drain(body.Operator)
	w.WriteHeader(http.StatusAccepted)
}

// read decodes a small JSON body. The content type is required because a web page cannot send it to another origin without
// asking first.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if r.Header.Get("Content-Type") != "application/json" {
		http.Error(w, "the content type must be application/json", http.StatusUnsupportedMediaType)
		return false
	}
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// write sends a response. Lists without items are [], so that scripts can loop over them.
func write(w http.ResponseWriter, v any) {
	body, err := jsonv2.Marshal(v, jsontext.AllowInvalidUTF8(true), jsonv2.Deterministic(true))
	if err != nil {
		http.Error(w, "response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(body, '\n')) //nolint:errcheck // the operator's tool is gone when this fails
}
