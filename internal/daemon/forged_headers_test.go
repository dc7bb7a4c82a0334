package daemon

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// originFault returns "", or what is wrong with the headers that a backend server received: a
// customer or a caller's address other than that of the test, or a header of the caller about its
// origin that was passed on.
func originFault(h http.Header, wantFor string) string {
	want := map[string]string{forward.HeaderCustomer: "grocer", forward.HeaderForwardedFor: wantFor, forward.HeaderForwardedProto: "http"}
	for name, value := range want {
		if got := h[name]; len(got) != 1 || got[0] != value {
			return fmt.Sprintf("%s is %q, want %q", name, got, value)
		}
	}
	for name := range h {
		// CGI turns hyphens into underscores, so a backend server may not tell these names apart.
		normalized := strings.ToLower(strings.ReplaceAll(name, "_", "-"))
		reserved := strings.HasPrefix(normalized, "x-forwarded-") || normalized == "forwarded" || normalized == "x-real-ip" || normalized == "cowslip-customer"
		if reserved && want[name] == "" {
			return "the header " + name + " of the caller reached the backend server"
		}
	}
	return ""
}

// headerRecorder records the headers of the requests that reach the backend servers.
type headerRecorder struct {
	mu   sync.Mutex
	seen []http.Header
}

func (s *headerRecorder) wrap(http.Handler) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen = append(s.seen, r.Header)
	})
}

// forgedHeaders returns headers with which a caller may try to pass for another customer or another
// caller.
func forgedHeaders() http.Header {
	h := http.Header{"Connection": {"X-Forwarded-For, Cowslip-Customer, X-Forwarded-Proto"}}
	for _, name := range []string{
		"X-Forwarded-For", "x_forwarded_for", "X-Forwarded_For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Forwarded-Port", "X-Forwarded-Server",
		"Forwarded", "X-Real-Ip", "X_Real_IP", "Cowslip-Customer", "Cowslip_Customer", "Cowslip-Backend", "Cowslip-Operation", "Cowslip-Priority",
	} {
		h[name] = []string{"203.0.113.1", "forged"}
	}
	return h
}

// Guards against a caller that forges the address or the customer that backend servers see, with
// HTTP/1.1 and HTTP/2. This includes requests whose operation key another daemon owns, which
// receives them from the first daemon and not from the caller.
func TestBackendServersSeeCallerAndCustomer(t *testing.T) {
	for _, c := range []struct {
		name    string
		trusted []netip.Prefix
		wantFor string
	}{
		{"untrusted", nil, "127.0.0.1"},
		{"trusted", []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, "192.0.2.7, 127.0.0.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var seen headerRecorder
			fleet := newTestFleetWith(t, 2, fleetOptions{backend: seen.wrap, trustedProxies: c.trusted})
			key := fleet.requestKey(t)
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			h2 := &http.Transport{Protocols: protocols}
			defer h2.CloseIdleConnections()
			for i, transport := range []http.RoundTripper{http.DefaultTransport, h2} {
				for _, target := range []string{"GET /stock/7", "PUT /manifest", "POST " + order} {
					method, path, _ := strings.Cut(target, " ")
					r, err := http.NewRequest(method, fleet.entries[1].URL+path, strings.NewReader("order"))
					if err != nil {
						t.Fatal(err)
					}
					r.Header = forgedHeaders()
					r.Header.Set(forward.HeaderIdempotencyKey, key)
					r.Header.Set("Authorization", "Bearer "+testKey)
					if c.trusted != nil {
						r.Header["X-Forwarded-For"] = []string{"203.0.113.1, 192.0.2.7"}
					}
					if i == 1 {
						r.Header.Del("Connection") // HTTP/2 has no such header
						key = fleet.requestKey(t)
						r.Header.Set(forward.HeaderIdempotencyKey, key)
					}
					resp, err := transport.RoundTrip(r)
					if err != nil || resp.StatusCode != http.StatusOK {
						t.Fatalf("%s: %v %v", target, resp, err)
					}
					resp.Body.Close()
				}
			}
			if len(seen.seen) != 6 {
				t.Errorf("%d requests reached the backend servers, want 6", len(seen.seen))
			}
			for _, h := range seen.seen {
				if fault := originFault(h, c.wantFor); fault != "" {
					t.Errorf("%s: %v", fault, h)
				}
			}
		})
	}
}
