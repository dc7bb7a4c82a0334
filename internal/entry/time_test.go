package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// connected tells the entry that the home has the request, as a transport does.
func connected(r *http.Request) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

// hang responds only to the end of the request, as a paused home does.
func hang(r *http.Request) (*http.Response, error) {
	connected(r)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// A caller may shorten the deadline of its contract but never extend it, and the home must learn the shorter one. Virtual time.
func TestCallerShortensDeadline(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"200": 200 * time.Millisecond, "60000": 10 * time.Second, "": 10 * time.Second, "0": 10 * time.Second, "-5": 10 * time.Second, "1s": 10 * time.Second,
		"99999999999999": 10 * time.Second,
	} {
		t.Run(header, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := 0
				h := newEntry(snapshotOf("127.0.0.1:1"), homes(func(r *http.Request) (*http.Response, error) {
					told, _ = strconv.Atoi(r.Header.Get(forward.HeaderDeadline))
					return hang(r)
				}), nil)
				start := time.Now()
				w := ask(h, "POST", "/orders", "order", forward.HeaderCallerTimeout, header)
				if took := time.Since(start); took != want {
					t.Errorf("the request ended after %v, want %v", took, want)
				}
				if told != int(want.Milliseconds()) {
					t.Errorf("the home was told %d ms, want %v", told, want)
				}
				if w.Code != 504 || w.Header().Get(forward.HeaderOutcome) != "unknown" {
					t.Errorf("%d %v", w.Code, w.Header())
				}
			})
		})
	}
}

// A lookup at a hanging backend server must be tried elsewhere after the time for one try, long before the deadline, and an
// operation must not, because it may run. Virtual time.
func TestHangingTryIsRepeatedElsewhere(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		took   time.Duration
		tries  int
	}{
		// 20 times the normal 20 ms are above the least time of 250 ms.
		{"GET", 200, 400 * time.Millisecond, 2},
		{"POST", 504, 10 * time.Second, 1},
	} {
		t.Run(c.method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hanging, tries := "", 0
				h := newEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"), homes(func(r *http.Request) (*http.Response, error) {
					tries++
					if hanging == "next" {
						hanging = r.URL.Host
					}
					if r.URL.Host == hanging {
						return hang(r)
					}
					connected(r)
					resp := answered(r, "answer")
					resp.Header.Set(forward.HeaderServiceTime, "20000")
					return resp, nil
				}), nil)
				for range 100 { // teaches the entry the normal time of the service
					if w := ask(h, "GET", "/stock/7", ""); w.Code != 200 {
						t.Fatalf("%d %s", w.Code, w.Body)
					}
					time.Sleep(50 * time.Millisecond)
				}
				hanging, tries = "next", 0
				start := time.Now()
				w := ask(h, c.method, "/stock/7", "")
				if took := time.Since(start); w.Code != c.status || took != c.took || tries != c.tries {
					t.Errorf("status %d after %v and %d tries, want %d after %v and %d", w.Code, took, tries, c.status, c.took, c.tries)
				}
			})
		})
	}
}

// A response that belongs to another request must never reach a caller (R2): a lookup is tried elsewhere, and an operation is
// told that its outcome is unknown.
func TestResponseOfAnotherRequestIsDropped(t *testing.T) {
	for _, id := range []string{"", "another"} {
		for method, want := range map[string]int{"GET": 200, "POST": 502} {
			t.Run(fmt.Sprintf("%s %q", method, id), func(t *testing.T) {
				tries := 0
				h := newEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"), homes(func(r *http.Request) (*http.Response, error) {
					connected(r)
					tries++
					resp := answered(r, fmt.Sprintf("answer %d", tries))
					if tries == 1 {
						resp.Header.Set(forward.HeaderRequestID, id)
					}
					return resp, nil
				}), nil)
				w := ask(h, method, "/stock/7", "")
				if w.Code != want || w.Body.String() == "answer 1" {
					t.Errorf("%d %s", w.Code, w.Body)
				}
				if method == "POST" && (tries != 1 || w.Header().Get(forward.HeaderOutcome) != "unknown") {
					t.Errorf("%d tries, %v", tries, w.Header())
				}
			})
		}
	}
}
