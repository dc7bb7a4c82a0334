package home

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// Guards against entries that avoid a backend server for half a minute although its daemon was
// replaced within two seconds. They learn from the Cowslip-State header how long to avoid it.
func TestDrainedHomeReportsWhenSuccessorFollows(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second} {
		h := New(Options{VM: "v", ReplacementDelay: after})
		h.members["b"] = newMember(&catalog.BackendServer{ID: "b", Service: "s", Slots: 1}, &catalog.Service{}, ejection.Config{}, time.Now())
		if err := h.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(forward.HeaderBackend, "b")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		state, err := balance.ParseState(w.Header().Get(forward.HeaderState))
		if err != nil || state.Mode != balance.Draining || state.Remaining != after {
			t.Errorf("with ReplacementDelay %v: state %+v, error %v", after, state, err)
		}
	}
}
