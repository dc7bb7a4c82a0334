package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// Guards against clients other than daemons that use services without a contract, or push
// configuration, through the peer listener.
func TestPeerListenerServesDaemonsOnly(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "", "")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Settings{
		SeedPeers:    []settings.SeedPeer{{Address: "10.0.1.1:7001"}, {Address: "seed.example:7001"}},
		PeerNetworks: []string{"10.0.8.0/24", "fd00:8::/64"},
	}
	g := newPeerGuard(s, log)
	h := g.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	ask := func(from, path string) *httptest.ResponseRecorder {
		r := httptest.NewRequest("POST", path, nil)
		r.RemoteAddr = from
		r.Header.Set(forward.HeaderBackend, "b1")
		r.Header.Set(forward.HeaderRequestID, "id1")
		for _, name := range []string{"X-Forwarded-For", "X-Real-Ip", "Forwarded"} {
			r.Header.Set(name, "10.0.1.1") // a peer's address, which must be ignored here
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	const data, push, reserve = "/stock/7", peerapiconnect.PeerServicePushProcedure, peerapiconnect.PeerServiceReserveProcedure
	check := func(from, path string, want int) {
		t.Helper()
		w := ask(from, path)
		if w.Code != want {
			t.Errorf("%s from %s: status %d, want %d", path, from, w.Code, want)
		}
		if want != 200 && (w.Header().Get(forward.HeaderOutcome) != "not-run" || w.Header().Get(forward.HeaderRequestID) != "id1") {
			t.Errorf("the refusal of %s does not state that the request was not run: %v", from, w.Header())
		}
	}
	for _, known := range []string{"10.0.1.1:5", "10.0.8.200:5", "[fd00:8::7]:5", "[::ffff:10.0.8.1]:5"} {
		check(known, push, 200)
		check(known, peerapiconnect.PeerServiceExchangeProcedure, 200)
		check(known, peerapiconnect.PeerServicePullProcedure, 200)
		check(known, reserve, 503)
		check(known, data, 503)
	}
	check("10.0.2.1:5", push, 403)
	g.update(catalog.Build([]catalog.Source{{Revision: 1, Documents: contract.Documents{
		VMs: []contract.VM{{VM: "vm1", DataCentre: "dc1", PeerAddress: "10.0.2.1:7001"}},
	}}}))
	for _, known := range []string{"10.0.1.1:5", "10.0.2.1:5", "[::ffff:10.0.2.1]:5"} {
		check(known, data, 200)
		check(known, reserve, 200)
	}
	for _, unknown := range []string{"10.0.2.2:5", "10.0.9.1:5", "[fd00:9::7]:5", "127.0.0.1:5", "@", ""} {
		check(unknown, data, 403)
		check(unknown, push, 403)
	}
	g.update(catalog.Build(nil))
	check("10.0.2.1:5", data, 403)
	out.Reset()
	for range 100 {
		check("10.0.3.3:5", data, 403)
	}
	if n := strings.Count(out.String(), "10.0.3.3"); n == 0 || n > 10 {
		t.Errorf("%d log lines for 100 refusals", n)
	}
}

// Guards against a caller that passes for an entry. Internal headers that callers send must reach
// neither a home nor a backend server, whatever their spelling, and not as trailers or through the
// Connection header either.
func TestCallersCannotSetHeadersOfTheSystem(t *testing.T) {
	var mu sync.Mutex
	var seen []http.Header
	record := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(w, r) // reads the body, after which the trailers are available
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, r.Header.Clone(), r.Trailer.Clone())
		})
	}
	fleet := newTestFleetWith(t, 2, fleetOptions{peer: record, backend: record})
	headers := []string{
		forward.HeaderBackend, forward.HeaderService, forward.HeaderCustomer, forward.HeaderRequestID, forward.HeaderDeadline, forward.HeaderPriority,
		forward.HeaderBaseline, forward.HeaderState, forward.HeaderServiceTime, forward.HeaderOutcome, forward.HeaderErrorKind, forward.HeaderOperation,
		forward.HeaderEntry, forward.HeaderVM, forward.HeaderReplayed, forward.HeaderOperationKey, forward.TrailerLength, forward.TrailerDigest, "Cowslip-Future",
	}
	for _, target := range []string{"/stock/7", "/orders/7"} {
		req, err := http.NewRequest("POST", fleet.entry.URL+target, struct{ *strings.Reader }{strings.NewReader("order")})
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Connection", "Cowslip-Customer, Cowslip-Backend")
		req.Trailer = http.Header{}
		for _, name := range headers {
			for _, spelling := range []string{strings.ToLower(name), strings.ToUpper(name), name} {
				req.Header[spelling] = []string{"forged"}
			}
			req.Trailer.Set(name, "forged")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 || resp.Header.Get(forward.HeaderRequestID) == "forged" {
			t.Errorf("%d %v", resp.StatusCode, resp.Header)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(seen) != 8 {
		t.Fatalf("%d headers and trailers seen, want those of 2 requests at a home and a backend server", len(seen))
	}
	for _, h := range seen {
		for name, values := range h {
			if strings.Contains(strings.Join(values, " "), "forged") {
				t.Errorf("the caller's %s was passed on", name)
			}
		}
	}
}
