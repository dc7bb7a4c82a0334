package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// fakeDaemon implements the methods that the tests call. Others panic, because Daemon is nil.
type fakeDaemon struct {
	Daemon
	status  Status
	changes []string
}

func (d *fakeDaemon) Status() Status        { return d.status }
func (d *fakeDaemon) Ready() string         { return d.status.Reason }
func (d *fakeDaemon) Drain(operator string) { d.changes = append(d.changes, "drain by "+operator) }
func (d *fakeDaemon) Trail() *audit.Trail   { return audit.New("vm1", 1, nil) }
func (d *fakeDaemon) Revisions() Revisions  { return Revisions{VM: "vm1"} }

func (d *fakeDaemon) WriteMetrics(io.Writer) {}

func (d *fakeDaemon) Placement(id string) (Placement, bool) {
	return Placement{BackendServer: id}, id == "b1"
}

func (d *fakeDaemon) Override(backend, override, operator string) (bool, error) {
	d.changes = append(d.changes, "override "+backend+" "+override+" by "+operator)
	return backend == "b1", nil
}

type call struct {
	method, path, body string
	host               string
	header             http.Header
}

func (c call) send(d Daemon) *httptest.ResponseRecorder {
	req := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	req.Host = "127.0.0.1:7002"
	if c.host != "" {
		req.Host = c.host
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	w := httptest.NewRecorder()
	Handler(d).ServeHTTP(w, req)
	return w
}

var jsonBody = http.Header{"Content-Type": {"application/json"}}

// Guards against a web page in an operator's browser that drains a daemon or reads its state
// through the loopback listener. It could send a request with an Origin, use a name that resolves
// to 127.0.0.1, or submit a form, which needs no CORS preflight.
func TestCrossSiteRequestsAreRejected(t *testing.T) {
	origin := http.Header{"Content-Type": {"application/json"}, "Origin": {"http://127.0.0.1:7002"}}
	form := http.Header{"Content-Type": {"text/plain"}}
	for _, c := range []struct {
		name string
		call call
		want int
	}{
		{"status with Origin", call{method: "GET", path: "/v1/status", header: origin}, http.StatusForbidden},
		{"metrics with Origin", call{method: "GET", path: "/metrics", header: origin}, http.StatusForbidden},
		{"drain with Origin", call{method: "POST", path: "/v1/drain", body: "{}", header: origin}, http.StatusForbidden},
		{"foreign Host", call{method: "GET", path: "/v1/status", host: "attacker.example:7002"}, http.StatusForbidden},
		{"foreign Host without port", call{method: "GET", path: "/v1/status", host: "attacker.example"}, http.StatusForbidden},
		{"foreign Host with a forged local one", call{method: "GET", path: "/v1/status", host: "attacker.example:7002", header: http.Header{
			"X-Forwarded-Host": {"127.0.0.1:7002"}, "Forwarded": {"host=127.0.0.1"}, "X-Forwarded-For": {"127.0.0.1"}}}, http.StatusForbidden},
		{"Host that looks like an address", call{method: "GET", path: "/v1/status", host: "127.0.0.1.example:7002"}, http.StatusForbidden},
		{"drain as a form", call{method: "POST", path: "/v1/drain", body: "{}", header: form}, http.StatusUnsupportedMediaType},
		{"drain without content type", call{method: "POST", path: "/v1/drain", body: "{}"}, http.StatusUnsupportedMediaType},
		{"override as a form", call{method: "PUT", path: "/v1/backends/b1/override", body: "{}", header: form}, http.StatusUnsupportedMediaType},
		{"drain by GET", call{method: "GET", path: "/v1/drain", header: jsonBody}, http.StatusMethodNotAllowed},
		{"unknown field", call{method: "POST", path: "/v1/drain", body: `{"force":true}`, header: jsonBody}, http.StatusBadRequest},
		{"large body", call{method: "POST", path: "/v1/drain", body: `{"operator":"` + strings.Repeat("a", maxBodyBytes) + `"}`, header: jsonBody}, http.StatusBadRequest},
	} {
		d := &fakeDaemon{}
		if got := c.call.send(d).Code; got != c.want || len(d.changes) > 0 {
			t.Errorf("%s: status %d, want %d; changes %v", c.name, got, c.want, d.changes)
		}
	}
}

// Guards against a check for cross-site requests that also rejects operators' tools, and against
// wrong statuses or lost changes. Tools address the listener by IP address or localhost, with or
// without port.
func TestOperatorRequestsAreServed(t *testing.T) {
	d := &fakeDaemon{}
	for _, host := range []string{"127.0.0.1:7002", "localhost:7002", "localhost", "10.0.0.17:7002", "[::1]:7002"} {
		if got := (call{method: "GET", path: "/v1/status", host: host}).send(d).Code; got != http.StatusOK {
			t.Errorf("Host %s: status %d", host, got)
		}
	}
	calls := []struct {
		call call
		want int
	}{
		{call{method: "POST", path: "/v1/drain", body: `{"operator":"anna"}`, header: jsonBody}, http.StatusAccepted},
		{call{method: "PUT", path: "/v1/backends/b1/override", body: `{"override":"none","operator":"anna"}`, header: jsonBody}, http.StatusOK},
		{call{method: "PUT", path: "/v1/backends/b2/override", body: `{"override":"none","operator":"anna"}`, header: jsonBody}, http.StatusNotFound},
		{call{method: "GET", path: "/v1/backends/b1"}, http.StatusOK},
		{call{method: "GET", path: "/v1/backends/b2"}, http.StatusNotFound},
		{call{method: "GET", path: "/v1/audit?from=x"}, http.StatusBadRequest},
		{call{method: "GET", path: "/ready"}, http.StatusOK},
	}
	for _, c := range calls {
		if got := c.call.send(d).Code; got != c.want {
			t.Errorf("%s %s: status %d, want %d", c.call.method, c.call.path, got, c.want)
		}
	}
	want := []string{"drain by anna", "override b1 none by anna", "override b2 none by anna"}
	if !reflect.DeepEqual(d.changes, want) {
		t.Errorf("changes %v, want %v", d.changes, want)
	}
	d.status.Reason = "values are missing"
	if got := (call{method: "GET", path: "/ready"}).send(d); got.Code != http.StatusServiceUnavailable || !strings.Contains(got.Body.String(), "values are missing") {
		t.Errorf("/ready without a configuration: %d %s", got.Code, got.Body)
	}
}

// Guards against JSON fields without a lowerCamel name, as happens without a tag, and against
// durations that appear as a number without unit, as happens with a plain time.Duration.
func TestJSONFieldsAreLowerCamelAndDurationsText(t *testing.T) {
	lowerCamel := regexp.MustCompile("^[a-z][A-Za-z0-9]*$")
	seen := map[reflect.Type]bool{}
	var walk func(typ reflect.Type)
	walk = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Slice, reflect.Pointer, reflect.Map:
			walk(typ.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		if seen[typ] || typ == reflect.TypeFor[time.Time]() {
			return
		}
		seen[typ] = true
		for _, field := range reflect.VisibleFields(typ) {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "-" || field.Anonymous {
				continue
			}
			if !lowerCamel.MatchString(name) {
				t.Errorf("%s.%s has the JSON name %q", typ, field.Name, name)
			}
			if field.Type == reflect.TypeFor[time.Duration]() {
				t.Errorf("%s.%s is a number of nanoseconds in JSON", typ, field.Name)
			}
			walk(field.Type)
		}
	}
	for _, v := range []any{
		Status{}, Revision{}, Revisions{}, VM{}, Placement{}, Documents{}, AuditPage{}, OverrideRequest{}, DrainRequest{}, Decision{}, Candidate{},
	} {
		walk(reflect.TypeOf(v))
	}
}

// Guards against values that change between the daemon and a tool: incarnations above 2^53,
// durations, and the latency of a candidate.
func TestJSONRoundTrip(t *testing.T) {
	status := Status{
		VM: "vm1", Incarnation: 1<<64 - 1, Started: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Findings: []contract.Finding{}, Conflicts: nil,
		BackendServers: []BackendServer{{BackendServer: "b1", Ejection: Ejection{State: State{Mode: "ejected", Remaining: contract.Duration(2500 * time.Millisecond)}}}},
	}
	body := (call{method: "GET", path: "/v1/status"}).send(&fakeDaemon{status: status}).Body.String()
	for _, want := range []string{`"remaining":"2.5s"`, `"incarnation":"18446744073709551615"`, `"conflicts":[]`, `"mode":"ejected"`} {
		if !strings.Contains(body, want) {
			t.Errorf("%s is missing in %s", want, body)
		}
	}
	var decoded Status
	if err := json.Unmarshal([]byte(body), &decoded); err != nil || decoded.Incarnation != status.Incarnation || !reflect.DeepEqual(decoded.BackendServers, status.BackendServers) {
		t.Errorf("%v, read %+v", err, decoded)
	}
	candidate := Candidate{BackendServer: "b1", Usable: true, Latency: contract.Duration(2500 * time.Microsecond), Score: 0.5}
	text, err := json.Marshal(candidate)
	var decodedCandidate Candidate
	if err != nil || !strings.Contains(string(text), `"latency":"2.5ms"`) || json.Unmarshal(text, &decodedCandidate) != nil || decodedCandidate != candidate {
		t.Errorf("%v, %s is read as %+v", err, text, decodedCandidate)
	}
}
