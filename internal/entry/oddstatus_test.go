package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// Guards against a status that is none, from a home daemon of another version, which the caller would
// get as an answer. Below 100 and above 999 net/http panics.
func TestOddStatusOfHomeIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			e := newEntry(snapshotOf("127.0.0.1:1"), homeFunc(func(r *http.Request) (*http.Response, error) {
				reportConnected(r)
				resp := homeResponse(r, "answer")
				resp.StatusCode = status
				return resp, nil
			}), nil)
			w := sendRequest(e, "POST", "/orders", "order")
			if w.Code != http.StatusBadGateway || w.Header().Get(forward.HeaderErrorKind) != "path_broken" || w.Header().Get(forward.HeaderOutcome) != "unknown" {
				t.Errorf("status %d, kind %q, outcome %q", w.Code, w.Header().Get(forward.HeaderErrorKind), w.Header().Get(forward.HeaderOutcome))
			}
		})
	}
}

// Guards against a crash of the request, which ends the caller's connection, when a home daemon of another
// version reports an error that only entries raise. It comes without a response that could be kept.
func TestFailureReportedByHomeIsAnError(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		e := newEntry(snapshotOf("127.0.0.1:1"), homeFunc(func(r *http.Request) (*http.Response, error) {
			reportConnected(r)
			resp := homeResponse(r, "failed")
			resp.StatusCode = http.StatusBadGateway
			resp.Header.Set(forward.HeaderOutcome, "unknown")
			resp.Header.Set(forward.HeaderErrorKind, "backend_failed")
			return resp, nil
		}), nil)
		w := sendRequest(e, method, "/stock/7", "")
		if w.Code != http.StatusBadGateway || w.Header().Get(forward.HeaderErrorKind) != "backend_failed" || w.Header().Get(forward.HeaderOutcome) != "unknown" {
			t.Errorf("%s: status %d, kind %q, outcome %q", method, w.Code, w.Header().Get(forward.HeaderErrorKind), w.Header().Get(forward.HeaderOutcome))
		}
	}
}
