package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// Cowslip is the dialect of this product.
type Cowslip struct{}

// ParseCaller implements Dialect. It ignores request ids of callers: the entry generates one for
// each request.
func (Cowslip) ParseCaller(h http.Header) Caller {
	ms, err := strconv.ParseInt(h.Get(forward.HeaderCallerTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return Caller{}
	}
	return Caller{Timeout: time.Duration(ms) * time.Millisecond}
}

// SetRequestHeaders implements Dialect.
func (Cowslip) SetRequestHeaders(h http.Header, r Request) {
	if r.Remaining > 0 {
		forward.SetDeadline(h, r.Remaining)
	}
	if r.ID != "" {
		h.Set(forward.HeaderRequestID, r.ID)
	}
	if r.Customer != "" {
		h.Set(forward.HeaderCustomer, r.Customer)
	}
}

// CheckResponse implements Dialect. It accepts every response, because backend servers with this
// dialect neither echo a request id nor state that they did not run a request.
func (Cowslip) CheckResponse(*http.Response, string) *errkind.Error { return nil }

// AllowsCloseDelimited implements Dialect.
func (Cowslip) AllowsCloseDelimited() bool { return false }
