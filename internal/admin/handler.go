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
	// maxBodyBytes bounds a request body. The bodies hold only a few short fields.
	maxBodyBytes = 4 << 10
	// maxAuditWait bounds how long a request for the audit trail waits for new entries.
	maxAuditWait = 30 * time.Second
)

// Daemon is the daemon as seen by the admin handler. Its methods are called concurrently.
type Daemon interface {
	// Status returns the response to GET /v1/status. Pages of the audit trail take the VM and the
	// incarnation from it.
	Status() Status
	// Ready returns an empty string when the daemon accepts requests, and otherwise the reason why
	// not.
	Ready() string
	// Revision returns the revision in force of one value, 0 for none.
	Revision(value string) Revision
	// Revisions returns the revisions in force of all values, including the index.
	Revisions() Revisions
	// VMs returns the VMs of the configuration in force, sorted by name.
	VMs() []VM
	// Placement returns where a backend server runs. It returns false when the configuration in
	// force has no such backend server.
	Placement(backend string) (Placement, bool)
	// Explain returns how a request would be routed now. It sends no request and uses up none of
	// the customer's limits.
	Explain(customer, method, path string) Decision
	// Documents returns the documents in force of one value.
	Documents(value string) (contract.Documents, error)
	// Values returns the names of the configuration values in force.
	Values() []string
	// Trail returns the audit trail.
	Trail() *audit.Trail
	// Override sets the override of a backend server and records it in the audit trail. It returns
	// false when this VM has no such backend server, and an error for an unknown override.
	Override(backend, override, operator string) (bool, error)
	// Drain starts a graceful shutdown and returns at once. A second call has no effect.
	Drain(operator string)
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Handler returns the HTTP handler of the admin API. It rejects requests that a web page could
// send.
func Handler(d Daemon) http.Handler {
	r := chi.NewRouter()
	r.Use(rejectCrossSiteRequests)
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) { ready(w, d) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { d.WriteMetrics(w) })
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	r.Get("/v1/revision", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, d.Revision(r.URL.Query().Get("value"))) })
	r.Get("/v1/revisions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Revisions()) })
	r.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.VMs()) })
	r.Get("/v1/backends/{id}", func(w http.ResponseWriter, r *http.Request) { placement(w, r, d) })
	r.Get("/v1/explain", func(w http.ResponseWriter, r *http.Request) { explain(w, r, d) })
	r.Get("/v1/values", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Values()) })
	r.Get("/v1/documents", func(w http.ResponseWriter, r *http.Request) { documents(w, r, d) })
	r.Get("/v1/audit", func(w http.ResponseWriter, r *http.Request) { auditTrail(w, r, d) })
	r.Put("/v1/backends/{id}/override", func(w http.ResponseWriter, r *http.Request) { override(w, r, d) })
	r.Post("/v1/drain", func(w http.ResponseWriter, r *http.Request) { drain(w, r, d) })
	return r
}

// rejectCrossSiteRequests answers 403 to requests that a web page in an operator's browser could
// send to a loopback listener. These are requests with an Origin header, and requests whose Host is
// a name other than localhost, which DNS rebinding would produce.
func rejectCrossSiteRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.Host)
		if err != nil {
			host = r.Host
		}
		if r.Header.Get("Origin") != "" || host != "localhost" && net.ParseIP(host) == nil {
			http.Error(w, "the admin listener refuses requests with an Origin header or with a Host other than an IP address or localhost", http.StatusForbidden)
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
		http.Error(w, "the query parameters customer=NAME and path=PATH are required", http.StatusBadRequest)
		return
	}
	writeJSON(w, d.Explain(q.Get("customer"), method, q.Get("path")))
}

func documents(w http.ResponseWriter, r *http.Request, d Daemon) {
	docs, err := d.Documents(r.URL.Query().Get("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, Documents(docs))
}

func placement(w http.ResponseWriter, r *http.Request, d Daemon) {
	id := chi.URLParam(r, "id")
	found, ok := d.Placement(id)
	if !ok {
		http.Error(w, "no service in force has a backend server "+id, http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func auditTrail(w http.ResponseWriter, r *http.Request, d Daemon) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil && q.Get("from") != "" {
		http.Error(w, "the query parameter from must be a sequence number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil && q.Get("wait") != "" {
		http.Error(w, "the query parameter wait must be a duration such as 10s", http.StatusBadRequest)
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
	writeJSON(w, page)
}

func override(w http.ResponseWriter, r *http.Request, d Daemon) {
	var body OverrideRequest
	if !readJSON(w, r, &body) {
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
		writeJSON(w, body)
	}
}

func drain(w http.ResponseWriter, r *http.Request, d Daemon) {
	var body DrainRequest
	if !readJSON(w, r, &body) {
		return
	}
	d.Drain(body.Operator)
	w.WriteHeader(http.StatusAccepted)
}

// readJSON decodes a JSON body of at most maxBodyBytes. If that fails, it sends the error response
// and returns false. The content type is required because a web page can't send it to another
// origin without a CORS preflight request.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if r.Header.Get("Content-Type") != "application/json" {
		http.Error(w, "the content type must be application/json", http.StatusUnsupportedMediaType)
		return false
	}
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "cannot decode the request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON sends v as the response. Empty lists are [], not null, so that scripts can loop over
// them.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := jsonv2.Marshal(v, jsontext.AllowInvalidUTF8(true), jsonv2.Deterministic(true))
	if err != nil {
		http.Error(w, "cannot encode the response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(body, '\n')) //nolint:errcheck // a failed write means that the client has disconnected
}
