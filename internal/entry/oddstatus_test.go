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
