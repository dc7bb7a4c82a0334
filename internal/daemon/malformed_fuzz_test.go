package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// requestView is a request as one side, the daemon or a backend server, parsed it.
type requestView struct {
	method, path, query string
	body                bytes.Buffer
	// complete is set after the end of the body.
	complete bool
	// remoteAddr is the address of the peer of the connection.
	remoteAddr string
}

func newRequestView(r *http.Request) *requestView {
	return &requestView{method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery, remoteAddr: r.RemoteAddr}
}

// requestViews collects the views of both sides by request id.
type requestViews struct {
	mu      sync.Mutex
	callers map[string]*requestView
	backend map[string][]*requestView
	// inputs holds the latest inputs by the address of their connection. A fault may show only
	// while a later input is sent.
	inputs map[string][]byte
	faults []string
	// running counts the handlers of callers' requests. A sync.WaitGroup does not fit, because a
	// late connection may add to it during Wait.
	running int
	idle    *sync.Cond
}

// maxKept bounds the inputs and the views without a counterpart.
const maxKept = 4096

func newRequestViews() *requestViews {
	s := &requestViews{callers: map[string]*requestView{}, backend: map[string][]*requestView{}, inputs: map[string][]byte{}}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// recordInput records the input sent from the address of a connection.
func (s *requestViews) recordInput(from string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inputs) >= maxKept {
		clear(s.inputs)
	}
	if len(s.callers) >= maxKept {
		clear(s.callers) // most requests were refused and have no counterpart
	}
	s.inputs[from] = bytes.Clone(data)
}

// addRunning adds change to the number of running handlers.
func (s *requestViews) addRunning(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
	s.idle.Broadcast()
}

// waitIdle returns when no handler is running.
func (s *requestViews) waitIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running > 0 {
		s.idle.Wait()
	}
}

// recordingBody records what the daemon reads of a caller's body.
type recordingBody struct {
	io.ReadCloser
	mu   sync.Mutex
	view *requestView
}

func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.body.Write(p[:n])
	b.view.complete = b.view.complete || err == io.EOF
	return n, err
}

// wrapCallers records the requests that the callers' listener reads.
func (s *requestViews) wrapCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.addRunning(1)
		defer s.addRunning(-1)
		got := newRequestView(r)
		got.complete = r.Body == http.NoBody
		r.Body = &recordingBody{ReadCloser: r.Body, view: got}
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.callers[w.Header().Get(forward.HeaderRequestID)] = got
		}()
		next.ServeHTTP(w, r)
	})
}

// wrapBackend returns a backend server that records its requests and checks their headers and
// length.
func (s *requestViews) wrapBackend(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := newRequestView(r)
		if _, err := got.body.ReadFrom(r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		id := r.Header.Get(forward.HeaderRequestID)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.backend[id] = append(s.backend[id], got)
		switch {
		case id == "":
			s.faults = append(s.faults, "a request without an id, which no daemon sends: "+got.method+" "+got.path)
		case r.Header.Get("Authorization") != "":
			s.faults = append(s.faults, "the API key reached the backend server")
		case originFault(r.Header, "127.0.0.1") != "":
			s.faults = append(s.faults, originFault(r.Header, "127.0.0.1"))
		case r.ContentLength >= 0 && r.ContentLength != int64(got.body.Len()):
			s.faults = append(s.faults, "the framing does not match the body")
		}
	})
}

// check compares the views of all requests whose handler has ended. It returns the faults found
// since the last call, each with the input that caused it.
func (s *requestViews) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	s.faults = nil
	for id, list := range s.backend {
		caller := s.callers[id]
		if caller == nil {
			continue // its handler has not ended, or the fault is already recorded
		}
		for _, b := range list {
			input := fmt.Sprintf("; the input was %q", s.inputs[caller.remoteAddr])
			switch {
			case b.method != caller.method || b.path != caller.path || b.query != caller.query:
				faults = append(faults, caller.method+" "+caller.path+"?"+caller.query+" became "+b.method+" "+b.path+"?"+b.query+input)
			case !caller.complete || !bytes.Equal(b.body.Bytes(), caller.body.Bytes()):
				faults = append(faults, "the body "+caller.body.String()+" became "+b.body.String()+input)
			}
		}
		delete(s.backend, id)
		delete(s.callers, id)
	}
	return faults
}

// FuzzCallerBytes sends arbitrary bytes to the callers' listener. A backend server must never
// receive a request whose method, target or body differs from what net/http parsed, a request that
// net/http did not parse, or the customer or address of another caller.
func FuzzCallerBytes(f *testing.F) {
	const head = "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	for _, seed := range []string{
		"GET /stock/7?a=%2F HTTP/1.1\r\n" + head + "\r\n",
		"POST /a HTTP/1.1\r\n" + head + "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n" + head + "\r\n",
		"POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n3;e=1\r\nabc\r\n0\r\nX-A: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\n" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + head + "\r\n",
		"PUT //a/..;/%2e%2e%5Cb HTTP/1.0\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"GET http://y/a%2Fb?%00 HTTP/1.1\r\n" + head + "Connection: Host, close\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n\r\n",
		"GET /a HTTP/1.1\r\n" + head + "X-Forwarded-For: 203.0.113.1\r\nx_forwarded_for: 203.0.113.1\r\nForwarded: for=x\r\nCowslip_Customer: x\r\nConnection: X-Forwarded-For, close\r\n\r\n",
		"HEAD /a;b HTTP/1.1\n" + head + "X:\r\n y\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
	} {
		f.Add([]byte(seed))
	}
	s := newRequestViews()
	limits := settings.Default().Limits
	// Input that ends in the middle of a request holds the connection until one of these timeouts.
	short := contract.Duration(20 * time.Millisecond)
	limits.HeaderTimeout, limits.BodyStallTimeout, limits.IdleTimeout = short, short, short
	fleet := newTestFleetWith(f, 1, fleetOptions{callers: s.wrapCallers, backend: s.wrapBackend, limits: limits})
	address := fleet.entry.Listener.Addr().String()
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Skip("no connection: ", err)
		}
		defer conn.Close()
		s.recordInput(conn.LocalAddr().String(), data)
		conn.SetDeadline(time.Now().Add(200 * time.Millisecond)) //nolint:errcheck // HTTP/2 connections stay open much longer
		conn.Write(data)                                         //nolint:errcheck // the daemon may have closed the connection
		io.Copy(io.Discard, conn)                                //nolint:errcheck // ends with the connection
		s.waitIdle()
		for _, fault := range s.check() {
			t.Error(fault)
		}
	})
}
