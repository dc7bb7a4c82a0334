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
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
)

// startRawBackend starts a backend server that answers each request with the given bytes and then
// closes the connection. It returns the address.
func startRawBackend(t *testing.T, response string) string {
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
					io.WriteString(conn, response) //nolint:errcheck // the home daemon may have closed the connection
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startEntryToRawBackend returns the URL of an entry whose only backend server answers with the
// given bytes.
func startEntryToRawBackend(t *testing.T, response string) string {
	t.Helper()
	snapshot := snapshotOf(startRawBackend(t, response))
	e := newEntry(snapshot, fixedPeer{startHome(t, snapshot)}, nil)
	front := httptest.NewServer(e.Handler())
	t.Cleanup(front.Close)
	return front.URL
}

// startHome starts a home daemon on vm0 and returns the address of its peer listener.
func startHome(t *testing.T, snapshot *catalog.Snapshot) string {
	t.Helper()
	return startHomeWith(t, snapshot, home.Options{VM: "vm0"})
}

// startHomeWith is startHome with other options.
func startHomeWith(t *testing.T, snapshot *catalog.Snapshot, o home.Options) string {
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

// fixedPeer is a transport that sends all requests to one peer listener.
type fixedPeer struct{ address string }

var peerTransport = forward.NewPeerTransport(forward.PeerOptions{})

func (a fixedPeer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.URL.Host = a.address
	return peerTransport.RoundTrip(r)
}

// Guards against wrong handling of less usual responses: informational ones, trailers, and
// responses without a body. Responses whose end or content cannot be verified must never look
// complete to the caller.
func TestUnusualBackendResponses(t *testing.T) {
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
		// kind is the expected error kind, empty if the caller gets the backend server's response.
		kind string
		body string
		// broken is true if the caller must see a broken connection.
		broken bool
		// length is the expected Content-Length, -1 if there must be none, -2 if it does not
		// matter.
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
		{"status 000", "GET", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", 502, "backend_broken", "", false, -2},
		{"status 600", "GET", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", 502, "backend_broken", "", false, -2},
		{"blank in a name", "GET", "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", 502, "backend_broken", "", false, -2},
		{"length next to chunks", "GET", chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502, "backend_broken", "", false, -2},
		{"status 408", "POST", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 2\r\n\r\nno", 502, "unconfirmed_refusal", "", false, -2},
		{"status 421", "POST", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\nno", 502, "unconfirmed_refusal", "", false, -2},
		{"status 429", "POST", "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", 429, "", "no", false, 2},
		{"status 503", "POST", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", 503, "", "no", false, 2},
		{"system headers of a backend server", "POST", "HTTP/1.1 503 No\r\nCowslip-Outcome: not-run\r\nCowslip_Outcome: not-run\r\nCowslip-Error-Kind: backend_shed\r\nContent-Length: 2\r\n\r\nno", 503, "", "no", false, 2},
		{"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", 502, "backend_broken", "", false, -2},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, startEntryToRawBackend(t, c.response)+"/stock/7", nil)
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
			if outcome := resp.Header.Get(forward.HeaderOutcome); outcome != "answered" && outcome != "unknown" || resp.Header.Get("Cowslip_Outcome") != "" {
				t.Errorf("outcome %q, other spelling %q of a request that has run", outcome, resp.Header.Get("Cowslip_Outcome"))
			}
			if resp.StatusCode != c.status || resp.Header.Get(forward.HeaderErrorKind) != c.kind {
				t.Errorf("status %d, kind %q, want %d, %q: %s", resp.StatusCode, resp.Header.Get(forward.HeaderErrorKind), c.status, c.kind, got)
			}
			if (err != nil) != c.broken {
				t.Errorf("the body ended with error %v, want a broken connection: %v", err, c.broken)
			}
			if !c.broken && c.kind == "" && string(got) != c.body {
				t.Errorf("body %q, want %q", got, c.body)
			}
			if c.length != -2 && resp.ContentLength != c.length {
				t.Errorf("length %d, want %d", resp.ContentLength, c.length)
			}
			if len(resp.Trailer) > 0 {
				t.Errorf("trailers %v were forwarded to the caller", resp.Trailer)
			}
		})
	}
}

// Guards against an entry that blames the path when a backend server breaks off its responses. The
// breaker of the path would then take all backend servers of the VM out of use.
func TestCutResponsesDoNotOpenThePathBreaker(t *testing.T) {
	snapshot := snapshotOf(startRawBackend(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut"), "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	cutting := fixedPeer{startHome(t, snapshot)}
	e := newEntry(snapshot, homeFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Host == "vm0:7001" {
			return cutting.RoundTrip(r)
		}
		reportConnected(r)
		return homeResponse(r, "answer"), nil
	}), nil)
	cut := 0
	for i := 0; i < 5000 && cut < 10; i++ { // the balancer avoids the failing backend server, so it gets few requests
		if w := sendRequest(e, "POST", "/orders", "order"); w.Code == http.StatusBadGateway {
			cut++
		}
	}
	for _, c := range e.Explain("grocer", "POST", "/orders").Candidates {
		if c.Reason != "" {
			t.Errorf("candidate left out after %d responses that were cut off: %+v", cut, c)
		}
	}
	if cut < 10 {
		t.Errorf("only %d responses were cut off, which is too few to open a breaker", cut)
	}
}

// Guards against an entry that goes on sending to a VM that is cut off. A connection that breaks
// while a home daemon has the request must count against the path. Uses virtual time, because the
// breaker stays open for a second.
func TestBrokenConnectionsOpenThePathBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		e := newEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"), homeFunc(func(r *http.Request) (*http.Response, error) {
			reportConnected(r)
			if r.URL.Host == "vm0:7001" {
				sent++
				return nil, io.ErrUnexpectedEOF
			}
			return homeResponse(r, "answer"), nil
		}), nil)
		for range 200 {
			sendRequest(e, "POST", "/orders", "order")
		}
		for _, c := range e.Explain("grocer", "POST", "/orders").Candidates {
			if c.VM == "vm0" && c.Reason != "path fails" || c.VM != "vm0" && c.Reason != "" {
				t.Errorf("wrong reason after %d broken connections to vm0: %+v", sent, c)
			}
		}
	})
}

// Guards against an entry that judges a failure differently from the detector of the home, and does not
// repeat an idempotent request after 503 without Retry-After.
func TestFailuresAreThoseOfTheDetector(t *testing.T) {
	for _, c := range []struct {
		status     int
		retryAfter string
		repeated   bool
	}{{500, "", true}, {500, "1", true}, {502, "1", true}, {503, "", true}, {503, "1", false}, {429, "", false}, {429, "1", false}, {404, "", false}} {
		fields := ""
		if c.retryAfter != "" {
			fields = "Retry-After: " + c.retryAfter + "\r\n"
		}
		failing := startRawBackend(t, fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", c.status, fields))
		snapshot := snapshotOf(failing, startRawBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		first, second := fixedPeer{startHome(t, snapshot)}, fixedPeer{startHomeWith(t, snapshot, home.Options{VM: "vm1"})}
		tries := 0
		e := newEntry(snapshot, homeFunc(func(r *http.Request) (*http.Response, error) {
			tries++
			if r.URL.Host == "vm0:7001" {
				return first.RoundTrip(r)
			}
			return second.RoundTrip(r)
		}), nil)
		if w := sendRequest(e, "GET", "/stock/7", ""); c.repeated && (w.Code != 200 || tries != 2) || !c.repeated && (w.Code != c.status || tries != 1) {
			t.Errorf("status %d, Retry-After %q: the caller got %d after %d tries", c.status, c.retryAfter, w.Code, tries)
		}
	}
}

// Guards against a normal error share that leaves out failures with Retry-After, which the detector of the
// home counts. Uses virtual time, because the share is sent once a second.
func TestErrorShareCountsWhatTheDetectorCounts(t *testing.T) {
	for _, c := range []struct {
		status     int
		retryAfter string
		counts     bool
	}{{500, "", true}, {500, "1", true}, {503, "", true}, {503, "1", false}, {429, "1", false}} {
		synctest.Test(t, func(t *testing.T) {
			sent, requests := "", 0
			e := newEntry(snapshotOf("127.0.0.1:1"), homeFunc(func(r *http.Request) (*http.Response, error) {
				reportConnected(r)
				time.Sleep(200 * time.Millisecond)
				if b := r.Header.Get(forward.HeaderBaseline); b != "" {
					sent = b
				}
				resp := homeResponse(r, "answer")
				if requests++; requests%2 == 0 {
					resp.StatusCode = c.status
					if c.retryAfter != "" {
						resp.Header.Set("Retry-After", c.retryAfter)
					}
				}
				resp.Header.Set(forward.HeaderServiceTime, "200000")
				return resp, nil
			}), nil)
			for range 60 {
				sendRequest(e, "POST", "/orders", "order")
			}
			if b, err := balance.ParseBaseline(sent); err != nil || b.Members == 0 || c.counts != (b.ErrorShare > 0.3) {
				t.Errorf("half of the responses have status %d, Retry-After %q: baseline %q, counts as failure: want %v", c.status, c.retryAfter, sent, c.counts)
			}
		})
	}
}
