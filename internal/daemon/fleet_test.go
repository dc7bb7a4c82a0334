package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/operation"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// testKey is the API key of the only customer.
const testKey = "test-key"

// testFleet is a small fleet in one process, with real loopback sockets. Each VM has an entry, a
// home and one backend server. entry is the first of entries.
type testFleet struct {
	entry          *httptest.Server
	entries        []*httptest.Server
	homes          []*home.Home
	backends       []*backend.Server
	backendServers []*httptest.Server
	// backendAddresses holds the host:port of each backend server.
	backendAddresses []string
	// stopPeerListeners holds functions that close a peer listener with all its connections, as
	// killing the daemon does.
	stopPeerListeners []func()
}

// backendSlots is so low that a few requests fill a backend server.
const backendSlots = 2

// fleetOptions configure a testFleet.
type fleetOptions struct {
	// peer, backend and callers wrap the handlers of all peer listeners, backend servers and
	// callers' listeners.
	peer, backend, callers func(http.Handler) http.Handler
	// service holds the settings of the only service, "stock".
	service contract.Service
	// trustedProxies are the networks of proxies that the entries trust.
	trustedProxies []netip.Prefix
	// limits apply to the callers' listeners. Default: those of settings.Default.
	limits settings.Limits
	// slots is the number of slots of each backend server. Default: backendSlots.
	slots int
	// retryBudgetPercent is that of the contract, nil for the default.
	retryBudgetPercent *int
	// maxRequestBytes is that of the contract. Default: 8 MiB.
	maxRequestBytes int64
	// deadline is that of the contract, 0 for the default.
	deadline time.Duration
	// operations bounds the operation keys. Default: that of operation.NewMemory.
	operations operation.Options
	// confirm makes homes confirm requests and ask for their end.
	confirm bool
}

func (o *fleetOptions) setDefaults() {
	for _, wrap := range []*func(http.Handler) http.Handler{&o.peer, &o.backend, &o.callers} {
		if *wrap == nil {
			*wrap = func(h http.Handler) http.Handler { return h }
		}
	}
	if o.limits == (settings.Limits{}) {
		o.limits = settings.Default().Limits
	}
	if o.maxRequestBytes == 0 {
		o.maxRequestBytes = 8 << 20
	}
	if o.slots == 0 {
		o.slots = backendSlots
	}
	o.service.Service = "stock"
}

func newTestFleet(t testing.TB, vms int) *testFleet {
	t.Helper()
	return newTestFleetWith(t, vms, fleetOptions{})
}

// newTestFleetWith starts a fleet of vms VMs with options o, which ends with the test.
func newTestFleetWith(t testing.TB, vms int, o fleetOptions) *testFleet {
	t.Helper()
	o.setDefaults()
	fleet := &testFleet{}
	digest := sha256.Sum256([]byte(testKey))
	svc := o.service
	var docs contract.Documents
	var current atomic.Pointer[catalog.Snapshot]
	for i := range vms {
		vm := fmt.Sprintf("vm%d", i)
		b := backend.New(fmt.Sprintf("b%d", i), 1)
		srv := httptest.NewServer(o.backend(b.Handler()))
		t.Cleanup(srv.Close)
		h := home.New(home.Options{VM: vm})
		e := entry.New(entry.Options{VM: vm, Snapshot: current.Load, Incarnation: uint64(i + 1), Leaving: h.Leaving, Memory: operation.NewMemory(vm, uint64(i+1), o.operations), TrustedProxies: o.trustedProxies, Confirm: o.confirm})
		address, stop := servePeerListener(t, o.peer(peerHandler(h, http.HandlerFunc(e.ServeOperation), http.NotFoundHandler())))
		front := httptest.NewUnstartedServer(nil)
		front.Config = newCallersServer(o.limits, o.callers(e.Handler()))
		front.Config.ErrorLog = newServerErrorLog(telemetry.Discard(), "callers")
		front.Start()
		t.Cleanup(front.Close)
		fleet.entries, fleet.stopPeerListeners = append(fleet.entries, front), append(fleet.stopPeerListeners, stop)
		fleet.homes, fleet.backends = append(fleet.homes, h), append(fleet.backends, b)
		fleet.backendServers = append(fleet.backendServers, srv)
		fleet.backendAddresses = append(fleet.backendAddresses, srv.Listener.Addr().String())
		docs.VMs = append(docs.VMs, contract.VM{VM: vm, DataCentre: "dc1", PeerAddress: address})
		svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: fmt.Sprintf("b%d", i), VM: vm, Address: fleet.backendAddresses[i], Slots: o.slots})
	}
	fleet.entry = fleet.entries[0]
	docs.Services = []contract.Service{svc}
	docs.DataCentres = []contract.DataCentre{{DataCentre: "dc1", Region: "r1"}}
	docs.Contracts = []contract.Contract{{
		Customer: "grocer", APIKeySHA256: []string{hex.EncodeToString(digest[:])},
		Routes:             []contract.Route{{PathPrefix: "/", Service: "stock"}, {PathPrefix: "/orders/once", Service: "stock", AtMostOnce: true}},
		RetryBudgetPercent: o.retryBudgetPercent, Deadline: contract.Duration(o.deadline),
		Limits: contract.Limits{RatePerSecond: 1e6, Concurrency: 1000, MaxRequestBytes: o.maxRequestBytes},
	}}
	snapshot := catalog.Build([]catalog.Source{{Revision: 1, Documents: docs}})
	for _, h := range fleet.homes {
		h.Apply(snapshot)
	}
	current.Store(snapshot)
	return fleet
}

// servePeerListener serves h as a peer listener does.
func servePeerListener(t testing.TB, h http.Handler) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := newPeerServer(settings.Default().Limits, h)
	srv.ErrorLog = newServerErrorLog(telemetry.Discard(), "peer")
	go srv.Serve(listener) //nolint:errcheck // ends with Close
	stop = func() { srv.Close() }
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// do sends a request through the first entry and returns the response with its whole body.
func (fleet *testFleet) do(t *testing.T, method, target string, body io.Reader) (*http.Response, []byte, error) {
	t.Helper()
	return fleet.send(t, fleet.entry, method, target, body, "")
}

// send sends a request through an entry, with an operation key unless key is "", and returns the
// response with its whole body.
func (fleet *testFleet) send(t *testing.T, via *httptest.Server, method, target string, body io.Reader, key string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, via.URL+target, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// setFaults sets the faults of all backend servers.
func (fleet *testFleet) setFaults(f backend.Faults) {
	for _, b := range fleet.backends {
		b.SetFaults(f)
	}
}

// Guards against a broken request path: caller, entry, home, backend server and back, with a query.
func TestLookupReturnsCompleteResponse(t *testing.T) {
	fleet := newTestFleet(t, 2)
	resp, body, err := fleet.do(t, "GET", "/stock/7?size=2", nil)
	if err != nil || resp.StatusCode != 200 || resp.Header.Get(forward.HeaderOutcome) != "answered" {
		t.Fatalf("%v, %v, %s", err, resp, body)
	}
	var answer struct{ Path string }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Path != "/stock/7" {
		t.Fatalf("%v in %s", err, body)
	}
}

// Guards against a truncated or corrupt response that reaches a caller as a complete one. Lookups
// are retried, so a caller gets either a complete response of another try or, when all fail as
// here, an error.
func TestTruncatedOrCorruptResponsesAreNotForwarded(t *testing.T) {
	for name, f := range map[string]backend.Faults{"cut": {CutShare: 1}, "wrong": {WrongShare: 1}} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 2)
			fleet.setFaults(f)
			resp, body, err := fleet.do(t, "GET", "/stock/7", nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != 502 || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
				t.Fatalf("%d %v %s", resp.StatusCode, resp.Header, body)
			}
		})
	}
}

// Guards against a truncated streamed response that looks complete to the caller: its connection
// must break.
func TestTruncatedStreamBreaksTheConnection(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.setFaults(backend.Faults{CutShare: 1})
	_, body, err := fleet.do(t, "GET", "/size/4000000", nil)
	if err == nil {
		t.Fatalf("a truncated response of %d bytes looks complete", len(body))
	}
}

// Guards against large bodies that are changed or truncated, in either direction.
func TestLargeBodiesArriveUnchanged(t *testing.T) {
	fleet := newTestFleet(t, 1)
	_, body, err := fleet.do(t, "GET", "/size/5000000", nil)
	if err != nil || len(body) != 5000000 {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	upload := bytes.Repeat([]byte("catalogue"), 500000)
	for name, reader := range map[string]io.Reader{"known length": bytes.NewReader(upload), "chunked": io.MultiReader(bytes.NewReader(upload))} {
		resp, body, err := fleet.do(t, "PUT", "/catalogue", reader)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v %s", name, err, body)
		}
		digest := sha256.Sum256(upload)
		if !strings.Contains(string(body), hex.EncodeToString(digest[:])) {
			t.Errorf("%s: the backend server received another body: %s", name, body)
		}
	}
}

// Guards against a truncated upload that the backend server takes for a complete one, whether or
// not its length was declared.
func TestTruncatedUploadIsNotExecuted(t *testing.T) {
	fleet := newTestFleet(t, 1)
	for _, framing := range []string{"Content-Length: 3000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186A0\r\n"} {
		conn, err := net.Dial("tcp", fleet.entry.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "PUT /manifest HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s%s", testKey, framing, strings.Repeat("x", 100000))
		conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // the connection was opened above
		io.Copy(io.Discard, conn)        //nolint:errcheck // waits until the daemon has closed the connection
		conn.Close()
	}
	if n := fleet.backends[0].Stats().Executions["/manifest"]; n != 0 {
		t.Errorf("a truncated upload was executed %d times", n)
	}
}

// Guards against uploads above the contract's size limit, with or without a declared length.
func TestRequestTooLargeIsRefused(t *testing.T) {
	fleet := newTestFleet(t, 1)
	upload := make([]byte, 9<<20)
	for name, reader := range map[string]io.Reader{"known length": bytes.NewReader(upload), "chunked": io.MultiReader(bytes.NewReader(upload))} {
		resp, body, err := fleet.do(t, "PUT", "/catalogue", reader)
		if err != nil || resp.StatusCode != 413 {
			t.Errorf("%s: %v %v %s", name, err, resp, body)
		}
	}
	if n := fleet.backends[0].Stats().Executions["/catalogue"]; n != 0 {
		t.Errorf("a refused upload was executed %d times", n)
	}
}

// Guards against requests that fail because a home drains. It refuses them as not run, so the entry
// must try another home, also for operations that are not safe to repeat.
func TestDrainingHomeIsAvoided(t *testing.T) {
	fleet := newTestFleet(t, 3)
	if err := fleet.homes[0].Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := fleet.homes[1].Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		resp, body, err := fleet.do(t, "POST", "/orders", strings.NewReader("order"))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %s", err, body)
		}
	}
	if n := fleet.backends[2].Stats().Executions["/orders"]; n != 20 {
		t.Errorf("%d executions of 20 orders", n)
	}
}

// Guards against the outcome "not-run" for a lookup whose first try may have run and whose second
// one was refused.
func TestRefusalAfterAmbiguousFailureIsUnknown(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.setFaults(backend.Faults{CutShare: 1})
	fleet.backendServers[1].Close()
	for range 30 {
		before := fleet.backends[0].Stats().Requests
		resp, body, err := fleet.do(t, "GET", "/stock/7", nil)
		if err != nil {
			t.Fatal(err)
		}
		reached := fleet.backends[0].Stats().Requests > before
		if outcome := resp.Header.Get(forward.HeaderOutcome); reached && outcome != "unknown" {
			t.Fatalf("the outcome is %q although a backend server had the request: %s", outcome, body)
		}
	}
	if fleet.backends[0].Stats().Requests == 0 {
		t.Error("no request reached the backend server that truncates its responses")
	}
}

// Guards against a large upload that is lost because a draining home refuses it. The refusal comes
// before the body is read, so the body must reach another home complete.
func TestRefusedLargeUploadIsSentToAnotherHome(t *testing.T) {
	fleet := newTestFleet(t, 2)
	if err := fleet.homes[0].Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	upload := bytes.Repeat([]byte("linen"), 600000)
	for range 6 {
		resp, body, err := fleet.do(t, "PUT", "/manifest", bytes.NewReader(upload))
		if err != nil || resp.StatusCode != 200 || !strings.Contains(string(body), fmt.Sprint(len(upload))) {
			t.Fatalf("%v %v %s", err, resp, body)
		}
	}
	if n := fleet.backends[1].Stats().Executions["/manifest"]; n != 6 {
		t.Errorf("%d executions of 6 uploads", n)
	}
}

// Guards against a retry of an operation that is not safe to repeat, after its first try reached a
// backend server.
func TestFailedOperationIsNotRepeated(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.setFaults(backend.Faults{CutShare: 1})
	resp, body, err := fleet.do(t, "POST", "/orders", strings.NewReader("order"))
	if err != nil || resp.StatusCode != 502 || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	total := 0
	for _, b := range fleet.backends {
		total += b.Stats().Executions["/orders"]
	}
	if total != 1 {
		t.Errorf("%d executions of one order", total)
	}
}

// Guards against uploads that a backend server does not read and that stop other uploads between
// the same two daemons. These share a connection, whose buffer was once only as large as that of
// one stream.
func TestStalledUploadsDoNotStopOthers(t *testing.T) {
	const stalled, size = 8, 64 << 20 // more than the system's socket buffers hold
	var sent atomic.Int64
	stop := make(chan struct{})
	var received sync.WaitGroup
	received.Add(stalled)
	fleet := newTestFleetWith(t, 1, fleetOptions{slots: stalled + 1, maxRequestBytes: size, deadline: time.Hour, service: contract.Service{Detector: map[string]float64{"coldStart": 0}},
		backend: func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/stalled" {
					received.Done()
					<-stop
					panic(http.ErrAbortHandler)
				}
				next.ServeHTTP(w, r)
			})
		}})
	var callers sync.WaitGroup
	for range stalled {
		callers.Go(func() {
			req, _ := http.NewRequest("PUT", fleet.entry.URL+"/stalled", io.TeeReader(io.LimitReader(zeros{}, size), countWriter{&sent}))
			req.ContentLength = size
			req.Header.Set("Authorization", "Bearer "+testKey)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		})
	}
	received.Wait()
	for before := int64(-1); before != sent.Load(); { // until all buffers in between are full
		before = sent.Load()
		time.Sleep(100 * time.Millisecond)
	}
	req, _ := http.NewRequest("PUT", fleet.entry.URL+"/catalogue", bytes.NewReader(make([]byte, 4<<20)))
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(forward.HeaderCallerTimeout, "30000") // in ms, ends the test when the upload hangs
	resp, err := http.DefaultClient.Do(req)
	close(stop)
	callers.Wait()
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("status %d %v", resp.StatusCode, resp.Header)
	}
}

// zeros is an endless body of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// countWriter adds the number of bytes written to it to n.
type countWriter struct{ n *atomic.Int64 }

func (w countWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a drain that closes connections on which callers would have sent their next
// request. Such a request gets no response, and its caller cannot tell whether it ran.
func TestDrainClosesCallerConnectionsBetweenRequests(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		w := httptest.NewRecorder()
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		closeWhenLeaving(func() bool { return leaving }, next).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		if got := w.Header().Get("Connection"); (got == "close") != leaving || w.Code != http.StatusNoContent {
			t.Errorf("leaving %v: Connection is %q, status %d", leaving, got, w.Code)
		}
	}
}
