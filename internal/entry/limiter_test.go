package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// recordingLimiter refuses all requests if refuse is set, and records the releases.
type recordingLimiter struct {
	refuse   bool
	admitted int
	released []bool
}

func (l *recordingLimiter) Admit(context.Context, *catalog.Customer) *errkind.Error {
	if l.refuse {
		return &errkind.Error{Kind: errkind.RateLimited, RetryAfter: 350 * time.Millisecond}
	}
	l.admitted++
	return nil
}

func (l *recordingLimiter) Release(_ *catalog.Customer, mayHaveRun bool) {
	l.released = append(l.released, mayHaveRun)
}

func newLimitedEntry(l entry.Limiter, transport http.RoundTripper) *entry.Entry {
	snapshot := snapshotOf("127.0.0.1:1")
	return entry.New(entry.Options{
		VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, Limiter: l, Transport: transport,
		Snapshot: func() *catalog.Snapshot { return snapshot },
	})
}

// Guards against a request above a limit whose body is read before it is refused: the caller sends no
// byte of it.
func TestRefusedBeforeTheBodyIsRead(t *testing.T) {
	server := httptest.NewServer(newLimitedEntry(&recordingLimiter{refuse: true}, homeFunc(hangUntilDone)).Handler())
	defer server.Close()
	for _, length := range []int{1000, 200 << 10, 1 << 20} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // the test then hangs for longer
		fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", apiKey, length)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") != "0.35" {
			t.Errorf("length %d: %v, %v", length, resp, err)
		}
	}
}

// Guards against a quota that is charged for requests that certainly did not run: those whose body does
// not arrive or is too large, and those that no home took.
func TestReleaseSaysWhetherTheRequestMayHaveRun(t *testing.T) {
	l := &recordingLimiter{}
	e := newLimitedEntry(l, homeFunc(func(r *http.Request) (*http.Response, error) {
		return nil, &net.OpError{Op: "dial", Err: io.ErrUnexpectedEOF}
	}))
	if w := sendRequest(e, "POST", "/orders", "order"); w.Code != 503 {
		t.Fatalf("status %d", w.Code)
	}
	r := httptest.NewRequest("POST", "/orders", io.MultiReader())
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.ContentLength = 9 << 20
	w := httptest.NewRecorder()
	if e.Handler().ServeHTTP(w, r); w.Code != http.StatusRequestEntityTooLarge || l.admitted != 1 {
		t.Errorf("status %d, %d admitted", w.Code, l.admitted)
	}
	r = httptest.NewRequest("POST", "/orders", failingReader{})
	r.Header.Set("Authorization", "Bearer "+apiKey)
	func() {
		defer func() { recover() }() // the entry aborts the response
		e.Handler().ServeHTTP(httptest.NewRecorder(), r)
	}()
	if l.admitted != 2 || len(l.released) != 2 || l.released[0] || l.released[1] {
		t.Errorf("%d admitted, released %v", l.admitted, l.released)
	}
}
