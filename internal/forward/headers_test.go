package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Guards against a time to come back that is rounded to whole seconds, or lost when an error names
// its own.
func TestRetryAfterKeepsFractions(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "1", 250 * time.Millisecond: "0.25", 1234567 * time.Microsecond: "1.234", time.Microsecond: "0.001", 3 * time.Second: "3"} {
		w := httptest.NewRecorder()
		WriteError(w, &errkind.Error{Kind: errkind.RateLimited, RetryAfter: after})
		if got := w.Header().Get("Retry-After"); got != want {
			t.Errorf("Retry-After for %v = %q, want %q", after, got, want)
		}
	}
}
