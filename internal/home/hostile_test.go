package home

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// hostileDeadline is the deadline of requests to hostile backend servers. hostileLimit ends a test
// whose request does not end by it.
const (
	hostileDeadline = 300 * time.Millisecond
	hostileLimit    = 20 * time.Second
)

// hostileServer is a backend server that reads the head of each request and then writes what it
// wants until its connection ends. closed receives a value when the home has closed a connection.
type hostileServer struct {
	address string
	closed  chan struct{}
}

func startHostileServer(t *testing.T, respond func(w io.Writer) error) *hostileServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &hostileServer{address: listener.Addr().String(), closed: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *hostileServer) serve(conn net.Conn, respond func(w io.Writer) error) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if respond(conn) == nil {
		conn.Read(make([]byte, 1)) //nolint:errcheck // waits until the home closes the connection
	}
	s.closed <- struct{}{}
}

// repeat writes the text again and again, with a pause, until the connection ends.
func repeat(begin, text string, pause time.Duration) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, begin)
		for err == nil {
			_, err = io.WriteString(w, text)
			time.Sleep(pause)
		}
		return err
	}
}

// closeDelimited is a dialect whose responses may end with the connection.
type closeDelimited struct{ dialect.Cowslip }

func (closeDelimited) AllowsCloseDelimited() bool { return true }

// discardResponse counts what a home passes on.
type discardResponse struct {
	header http.Header
	status int
	bytes  int
}

func (d *discardResponse) Header() http.Header { return d.header }
func (d *discardResponse) WriteHeader(s int)   { d.status = s }
func (d *discardResponse) Flush()              {}
func (d *discardResponse) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// complete reports whether the entry daemon would take the response for a complete one.
func (d *discardResponse) complete() bool {
	return d.header.Get(forward.HeaderOutcome) == errkind.Answered.String() && d.header.Get(forward.TrailerDigest) != ""
}

// serveHostile sends one request through a home to the backend server. It reports whether the home
// broke the response off.
func serveHostile(t *testing.T, s *hostileServer) (h *Home, w *discardResponse, aborted bool) {
	t.Helper()
	w = &discardResponse{header: http.Header{}}
	h, aborted = serveHostileTo(t, s, w)
	return h, w, aborted
}

// serveHostileTo is serveHostile with a receiver of its own.
func serveHostileTo(t *testing.T, s *hostileServer, w http.ResponseWriter) (h *Home, aborted bool) {
	t.Helper()
	h = New(Options{VM: "vm1", Dialect: closeDelimited{}})
	h.Apply(catalog.Build([]catalog.Source{
		{Value: "services/1", Revision: 1, Documents: contract.Documents{Services: []contract.Service{{Service: "stock", BackendServers: []contract.BackendServer{{ID: "b1", VM: "vm1", Address: s.address, Slots: 1}}}}}},
		{Value: "vms", Revision: 1, Documents: contract.Documents{VMs: []contract.VM{{VM: "vm1"}}}},
	}))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://stock/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(forward.HeaderBackend, "b1")
	r.Header.Set(forward.HeaderRequestID, "id")
	forward.SetDeadline(r.Header, hostileDeadline)
	done := make(chan bool, 1)
	go func() {
		defer func() {
			v := recover()
			if err, ok := v.(error); v != nil && !(ok && errors.Is(err, http.ErrAbortHandler)) {
				t.Errorf("panic: %v", v)
			}
			done <- v != nil
		}()
		h.ServeHTTP(w, r)
	}()
	select {
	case aborted = <-done:
	case <-time.After(hostileLimit):
		t.Fatal("the request did not end")
	}
	return h, aborted
}

// slowResponse is the response to a caller that reads slowly.
type slowResponse struct{ discardResponse }

func (w *slowResponse) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return w.discardResponse.Write(p)
}

// mostLiveBytes returns the largest size of the live memory while f ran.
func mostLiveBytes(f func()) uint64 {
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	for most := uint64(0); ; {
		most = max(most, liveBytes())
		select {
		case <-done:
			return max(most, liveBytes())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a home that keeps the bytes of a backend server that sends without end, until its
// memory is used up and the requests of all callers end with it. Not parallel, as it measures memory.
func TestBytesWithoutEndAreNotKept(t *testing.T) {
	const most = 16 << 20 // of the 64 MiB that a daemon may use for control; a server sends that in less than the deadline
	line := strings.Repeat("x", 1<<16)
	for name, begin := range map[string]string{
		"status line":      "HTTP/1.1 200 ",
		"header line":      "HTTP/1.1 200 OK\r\nX-A: ",
		"chunk extension":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"trailer":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
		"until the close":  "HTTP/1.1 200 OK\r\n\r\n",
		"body with length": "HTTP/1.1 200 OK\r\nContent-Length: 600000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := 0
			server := startHostileServer(t, func(w io.Writer) error {
				_, err := io.WriteString(w, begin)
				for n := 0; err == nil; sent += n {
					n, err = io.WriteString(w, line)
				}
				return err
			})
			before := liveBytes()
			w := &slowResponse{discardResponse: discardResponse{header: http.Header{}}}
			after := mostLiveBytes(func() { serveHostileTo(t, server, w) })
			<-server.closed
			if after > before+most {
				t.Errorf("live memory grew by %d bytes while %d were sent, want at most %d", after-before, sent, most)
			}
			if w.complete() {
				t.Errorf("%d bytes were passed on as complete", w.bytes)
			}
		})
	}
}

// Guards against a backend server that sends bytes without end, in a head or a body, quickly or
// slowly. The request must end by its deadline, the connection must be closed, the slot must be free
// again, and nothing that looks complete may be passed on.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	line := strings.Repeat("x", 1000)
	for name, respond := range map[string]func(w io.Writer) error{
		"status line, fast":      repeat("HTTP/1.1 200 ", line, 0),
		"status line, slow":      repeat("HTTP/1.1 200 ", "x", 20*time.Millisecond),
		"header lines, fast":     repeat(head, "X-A: "+line+"\r\n", 0),
		"header lines, slow":     repeat(head, "X-A: a\r\n", 20*time.Millisecond),
		"one header line, fast":  repeat(head+"X-A: ", line, 0),
		"interim responses":      repeat("", "HTTP/1.1 102 Processing\r\n\r\n", 0),
		"body with length, slow": repeat(head+"Content-Length: 60000\r\n\r\n", "x", 20*time.Millisecond),
		"long body, slow":        repeat(head+"Content-Length: 6000000\r\n\r\n", "x", 20*time.Millisecond),
		"chunked body, fast":     repeat(head+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+line+"\r\n", 0),
		"chunked body, slow":     repeat(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20*time.Millisecond),
		"chunk size, fast":       repeat(head+"Transfer-Encoding: chunked\r\n\r\n", "0", 0),
		"chunk extension, fast":  repeat(head+"Transfer-Encoding: chunked\r\n\r\n1;", line, 0),
		"trailers, fast":         repeat(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: "+line+"\r\n", 0),
		"until the close, fast":  repeat(head+"\r\n", line, 0),
		"until the close, slow":  repeat(head+"\r\n", "x", 20*time.Millisecond),
		"nothing":                func(io.Writer) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startHostileServer(t, respond)
			h, w, aborted := serveHostile(t, server)
			if w.complete() {
				t.Errorf("status %d with %d bytes was passed on as complete", w.status, w.bytes)
			}
			if !aborted && w.header.Get(forward.HeaderOutcome) == errkind.NotRun.String() {
				t.Errorf("the request is said not to have run: %v", w.header)
			}
			select {
			case <-server.closed:
			case <-time.After(hostileLimit):
				t.Error("the connection was not closed")
			}
			if inFlight, _, _ := h.member("b1").slots.load(); inFlight != 0 {
				t.Errorf("%d slots are still in use", inFlight)
			}
		})
	}
}

// Guards against a response that breaks off halfway and is passed on as complete, at each way in
// which HTTP marks the end of a body, for bodies that are buffered and for bodies that are streamed.
func TestResponsesThatBreakOffAreNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, size := range []int{1000, 500_000} {
		half := strings.Repeat("x", size/2)
		for name, begin := range map[string]string{
			"length":          fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size),
			"chunked":         fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, size),
			"chunk":           fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, size/2),
			"close by resets": head + "\r\n",
		} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				server := startHostileServer(t, func(w io.Writer) error {
					if _, err := io.WriteString(w, begin+half); err != nil {
						return err
					}
					time.Sleep(hostileDeadline / 10) // lets the home read what was sent
					// With this a close sends a reset, and not the proper end of the connection.
					return errors.Join(w.(*net.TCPConn).SetLinger(0), io.ErrUnexpectedEOF)
				})
				if _, w, _ := serveHostile(t, server); w.complete() {
					t.Errorf("status %d with %d bytes was passed on as complete", w.status, w.bytes)
				}
			})
		}
	}
}

// Guards against a refusal of a backend server that is passed on only at the deadline because its
// body has no end.
func TestRefusalWithEndlessBodyIsPassedOnAtOnce(t *testing.T) {
	server := startHostileServer(t, repeat("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100000\r\n\r\n", "x", 20*time.Millisecond))
	x := &exchange{transport: forward.NewBackendTransport(), dialect: refusing{}, backend: "b1", address: server.address}
	ctx, cancel := context.WithTimeout(t.Context(), hostileLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://stock/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if err := x.send(ctx, r); errkind.Of(err) != errkind.BackendShed || ctx.Err() != nil {
		t.Errorf("the refusal ends with %v", err)
	}
	select {
	case <-server.closed:
	case <-time.After(hostileLimit):
		t.Error("the connection was not closed")
	}
}

// refusing is a dialect in which status 503 means that the request did not run.
type refusing struct{ dialect.Cowslip }

func (refusing) ReadResponse(resp *http.Response, id string) runstate.Response {
	head := dialect.Cowslip{}.ReadResponse(resp, id)
	head.StatesNotRun = resp.StatusCode == http.StatusServiceUnavailable
	return head
}

func (refusing) Convention() *runstate.Convention {
	return &runstate.Convention{Refusals: []int{http.StatusServiceUnavailable}}
}

// Guards against a success for a response whose head breaks off, at each byte of it, with a proper
// end of the connection and with a reset.
func TestHeadThatBreaksOffIsNoSuccess(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Signature: 3e1b\r\nContent-Length: 12\r\n\r\nhello, world"
	for end := range len(response) {
		for _, reset := range []bool{false, true} {
			server := startHostileServer(t, func(w io.Writer) error {
				_, err := io.WriteString(w, response[:end])
				if reset {
					err = errors.Join(err, w.(*net.TCPConn).SetLinger(0))
				}
				return errors.Join(err, io.ErrUnexpectedEOF)
			})
			if _, w, _ := serveHostile(t, server); w.complete() {
				t.Errorf("after %q (reset %v): status %d with %d bytes was passed on as complete", response[:end], reset, w.status, w.bytes)
			}
		}
	}
}

// startRefusingServer starts a backend server that refuses the first request on a connection and
// answers each further one with another copy of that refusal, although it runs it. It returns the
// address and the number of requests that ran.
func startRefusingServer(t *testing.T, refusal func(id string, copies int) string) (address string, ran *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	ran = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				first := ""
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if n == 0 {
						first = r.Header.Get(forward.HeaderRequestID)
					} else {
						ran.Add(1)
					}
					io.WriteString(conn, refusal(first, n)) //nolint:errcheck // the home sees a broken connection
				}
			}()
		}
	}()
	return listener.Addr().String(), ran
}

// naming is a dialect with refusals that name their request, if they are well formed.
type naming struct{ refusing }

func (naming) ReadResponse(resp *http.Response, id string) runstate.Response {
	head := refusing{}.ReadResponse(resp, id)
	if resp.Header.Get(forward.HeaderRequestID) == "" {
		head.Names = runstate.NamesNone
	}
	return head
}

// Guards against "not run" for a request that runs: the copy of an earlier refusal arrives as its
// answer, also if the refused request comes again under the same id.
func TestCopyOfEarlierRefusalIsNotBelieved(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	named := func(id string, _ int) string { return head + forward.HeaderRequestID + ": " + id + "\r\n\r\n" }
	for name, c := range map[string]struct {
		refusal func(id string, copies int) string
		ids     []string
	}{
		"another request":        {named, []string{"a", "b", "c"}},
		"the same request again": {named, []string{"a", "a", "b", "a"}},
		"refusals without an id": {func(string, int) string { return head + "\r\n" }, []string{"a", "b", "a"}},
		"copies without an id": {func(id string, copies int) string {
			if copies > 0 {
				return head + "\r\n"
			}
			return named(id, 0)
		}, []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			address, ran := startRefusingServer(t, c.refusal)
			transport := forward.NewBackendTransport()
			for _, id := range c.ids {
				x := &exchange{transport: transport, dialect: naming{}, backend: "b1", address: address}
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://stock/1", http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set(forward.HeaderRequestID, id)
				time.Sleep(20 * time.Millisecond) // the connection before becomes reusable
				before := ran.Load()
				err = x.send(t.Context(), r)
				if outcome := errkind.Of(err).Answer().Outcome; outcome == errkind.NotRun && ran.Load() > before {
					t.Errorf("request %s ran, but ends with %v", id, err)
				}
			}
		})
	}
}
