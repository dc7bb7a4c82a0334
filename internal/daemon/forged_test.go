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

// forgedOrigin returns a fault when the header of a request at a backend server states another customer or another caller's
// connection than that of the tests, or "".
func forgedOrigin(h http.Header, wantFor string) string {
	want := map[string]string{forward.HeaderCustomer: "grocer", forward.HeaderForwardedFor: wantFor, forward.HeaderForwardedProto: "http"}
	for name, value := range want {
		if got := h[name]; len(got) != 1 || got[0] != value {
			return fmt.Sprintf("%s is %q, want %q", name, got, value)
		}
	}
	for name := range h {
		// CGI variables have underscores in place of hyphens.
		spelled := strings.ToLower(strings.ReplaceAll(name, "_", "-"))
		stated := strings.HasPrefix(spelled, "x-forwarded-") || spelled == "forwarded" || spelled == "x-real-ip" || spelled == "cowslip-customer"
		if stated && want[name] == "" {
			return "the header " + name + " of the caller reached the backend server"
		}
	}
	return ""
}

// headers notes the headers of the requests at the backend servers.
type headers struct {
	mu   sync.Mutex
	seen []http.Header
}

func (s *headers) wrap(http.Handler) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen = append(s.seen, r.Header)
	})
}

// forgedHeaders are what a caller may try in order to pass for another customer or another caller.
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

// Guards against a caller that forges the address or the customer that backend servers see, over both versions of HTTP, also
// when the owner of an operation key is another daemon, whose caller is the first one.
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
			var seen headers
			p := newPathWith(t, 2, pathOptions{backend: seen.wrap, trusted: c.trusted})
			key := p.key(t)
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			h2 := &http.Transport{Protocols: protocols}
			defer h2.CloseIdleConnections()
			for i, transport := range []http.RoundTripper{http.DefaultTransport, h2} {
				for _, target := range []string{"GET /stock/7", "PUT /manifest", "POST " + order} {
					method, path, _ := strings.Cut(target, " ")
					r, err := http.NewRequest(method, p.entries[1].URL+path, strings.NewReader("order"))
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
						key = p.key(t)
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
				if fault := forgedOrigin(h, c.wantFor); fault != "" {
					t.Errorf("%s: %v", fault, h)
				}
			}
		})
	}
}
