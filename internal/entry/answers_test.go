package entry_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
)

// rawBackend answers each request with the bytes and then closes the connection. It returns its address.
func rawBackend(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.Copy(io.Discard, req.Body)  //nolint:errcheck // the response does not depend on it
					io.WriteString(conn, response) //nolint:errcheck // the home may have closed the connection
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// overRawBackend returns the URL of an entry whose only home is in front of a backend server that answers with the bytes.
func overRawBackend(t *testing.T, response string) string {
	t.Helper()
	snapshot := snapshotOf(rawBackend(t, response))
	e := newEntry(snapshot, toAddress{serveHome(t, snapshot)}, nil)
	front := httptest.NewServer(e.Handler())
	t.Cleanup(front.Close)
	return front.URL
}

// serveHome returns the address of the peer listener of a home on vm0.
func serveHome(t *testing.T, snapshot *catalog.Snapshot) string {
	t.Helper()
	return serveHomeWith(t, snapshot, home.Options{VM: "vm0"})
}

func serveHomeWith(t *testing.T, snapshot *catalog.Snapshot, o home.Options) string {
	t.Helper()
	h := home.New(o)
	h.Apply(snapshot)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	peer := httptest.NewUnstartedServer(h)
	peer.Config.Protocols = protocols
	peer.Start()
	t.Cleanup(peer.Close)
	return peer.Listener.Addr().String()
}

// toAddress sends all requests to one peer listener.
type toAddress struct{ address string }

var peerTransport = forward.NewPeerTransport(nil)

func (a toAddress) RoundTrip(r *http.Request) (*http.Response, error) {
	r.URL.Host = a.address
	return peerTransport.RoundTrip(r)
}

// Guards what callers get for the less usual forms of responses: informational ones, trailers, those without a body, and those
// whose end or content cannot be proved, which must never look whole.
func TestResponsesOfBackendServers(t *testing.T) {
	digest := func(body string) string {
		sum := sha256.Sum256([]byte(body))
		return "Content-Digest: sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":\r\n"
	}
	const large = 200_000
	body := strings.Repeat("x", large)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, method, response string
		status                 int
		kind                   string
		body                   string
		// broken is true when the caller must see a cut connection.
		broken bool
		length int64
	}{
		{"informational response", "GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "", "ok", false, 2},
		{"unasked upgrade", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbytes", 502, "answer_invalid", "", false, -2},
		{"trailers", "GET", chunked + "Trailer: X-A, Cowslip-Body-Length\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\nCowslip-Body-Length: 9\r\n\r\n", 200, "", "ok", false, -2},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", 200, "", "", false, 7},
		{"HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, "", "", false, -1},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", "", false, 0},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", 304, "", "", false, -2},
		{"empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "", "", false, 0},
		{"no length, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nwhole?", 502, "answer_invalid", "", false, -2},
		{"no length, HTTP/1.1", "GET", "HTTP/1.1 200 OK\r\n\r\nwhole?", 502, "answer_invalid", "", false, -2},
		{"cut body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 502, "answer_invalid", "", false, -2},
		{"cut large body", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large+1, body), 200, "", body, true, large + 1},
		{"cut chunk", "GET", chunked + "\r\n9\r\ncut", 502, "backend_broken", "", false, -2},
		{"cut large chunks", "GET", chunked + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n9\r\ncut", large, body), 200, "", body, true, -1},
		{"matching digest", "GET", "HTTP/1.1 200 OK\r\n" + digest("ok") + "Content-Length: 2\r\n\r\nok", 200, "", "ok", false, 2},
		{"wrong digest", "GET", "HTTP/1.1 200 OK\r\n" + digest("ok") + "Content-Length: 2\r\n\r\nko", 502, "answer_invalid", "", false, -2},
		{"wrong digest of a chunked body", "GET", chunked + digest("ok") + "\r\n2\r\nko\r\n0\r\n\r\n", 502, "backend_broken", "", false, -2},
		{"wrong digest of a large body", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", digest("ok"), large, body), 200, "", body, true, large},
		{"two Content-Length that differ", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", 502, "backend_broken", "", false, -2},
		{"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", 502, "backend_broken", "", false, -2},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, overRawBackend(t, c.response)+"/stock/7", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+apiKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || resp.Header.Get(forward.HeaderErrorKind) != c.kind {
				t.Errorf("status %d, kind %q, want %d, %q: %s", resp.StatusCode, resp.Header.Get(forward.HeaderErrorKind), c.status, c.kind, got)
			}
			if (err != nil) != c.broken {
				t.Errorf("the body ended with %v, want a broken connection: %v", err, c.broken)
			}
			if !c.broken && c.kind == "" && string(got) != c.body {
				t.Errorf("body %q, want %q", got, c.body)
			}
			if c.length != -2 && resp.ContentLength != c.length {
				t.Errorf("length %d, want %d", resp.ContentLength, c.length)
			}
			if len(resp.Trailer) > 0 {
				t.Errorf("trailers %v were passed on", resp.Trailer)
			}
		})
	}
}

// A backend server that cuts its responses must not make the entry take the path to its VM for broken, because that would take
// all backend servers of the VM out of use.
func TestCutResponsesAreNotTakenForABrokenPath(t *testing.T) {
	snapshot := snapshotOf(rawBackend(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut"), "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	cutting := toAddress{serveHome(t, snapshot)}
	e := newEntry(snapshot, homes(func(r *http.Request) (*http.Response, error) {
		if r.URL.Host == "vm0:7001" {
			return cutting.RoundTrip(r)
		}
		connected(r)
		return answered(r, "answer"), nil
	}), nil)
	cut := 0
	for i := 0; i < 5000 && cut < 10; i++ { // the balancer avoids the failing backend server, so it gets few requests
		if w := ask(e, "POST", "/orders", "order"); w.Code == http.StatusBadGateway {
			cut++
		}
	}
	for _, c := range e.Explain("grocer", "POST", "/orders").Candidates {
		if c.Reason != "" {
			t.Errorf("after %d cut responses: %+v", cut, c)
		}
	}
	if cut < 10 {
		t.Errorf("%d responses were cut, which would not open a breaker", cut)
	}
}

// A connection that breaks while a home has the request must count against the path. Otherwise an entry goes on sending to a
// VM that is cut off. Virtual time, because the breaker is open for a second.
func TestBrokenConnectionsOpenTheBreakerOfThePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		e := newEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"), homes(func(r *http.Request) (*http.Response, error) {
			connected(r)
			if r.URL.Host == "vm0:7001" {
				sent++
				return nil, io.ErrUnexpectedEOF
			}
			return answered(r, "answer"), nil
		}), nil)
		for range 200 {
			ask(e, "POST", "/orders", "order")
		}
		for _, c := range e.Explain("grocer", "POST", "/orders").Candidates {
			if c.VM == "vm0" && c.Reason != "path fails" || c.VM != "vm0" && c.Reason != "" {
				t.Errorf("after %d broken connections to vm0: %+v", sent, c)
			}
		}
	})
}
