package dialect

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// Cowslip is the dialect of this product.
type Cowslip struct{}

// ParseCaller implements Dialect. It ignores request ids of callers: the entry generates one for
// each request.
func (Cowslip) ParseCaller(h http.Header) Caller {
	c := Caller{APIKey: bearerToken(h)}
	if ms, err := strconv.ParseInt(h.Get(forward.HeaderCallerTimeout), 10, 32); err == nil && ms > 0 {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	return c
}

// bearerToken returns the bearer token of the request, or "".
func bearerToken(h http.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// RemoveCredentials implements Dialect. The name of the customer is a header of the daemons, which
// callers cannot set.
func (Cowslip) RemoveCredentials(h http.Header) { h.Del("Authorization") }

// SetRequestHeaders implements Dialect.
func (Cowslip) SetRequestHeaders(h http.Header, r Request) {
	if r.Remaining > 0 {
		forward.SetDeadline(h, r.Remaining)
	}
	if r.ID != "" {
		h.Set(forward.HeaderRequestID, r.ID)
	}
	if customer := cmp.Or(r.Organisation, r.Customer); customer != "" {
		h.Set(forward.HeaderCustomer, customer)
	}
}

// cowslipConvention: callers learn from the header Cowslip-Outcome whether their request ran, not from
// its status. But clients may repeat any request after 408 and 421 without reading it (RFC 9110,
// sections 15.5.9 and 15.5.20). Backend servers cannot state that they did not run a request.
var cowslipConvention = runstate.Convention{Promises: []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest}}

// Convention implements Dialect.
func (Cowslip) Convention() *runstate.Convention { return &cowslipConvention }

// ReadResponse implements Dialect. Backend servers need not echo the request id.
func (Cowslip) ReadResponse(resp *http.Response, id string) runstate.Response {
	head := runstate.Response{Status: resp.StatusCode, Names: runstate.NamesThis}
	if got := resp.Header.Get(forward.HeaderRequestID); got != "" && got != id {
		head.Names = runstate.NamesOther
	}
	return head
}

// AllowsCloseDelimited implements Dialect.
func (Cowslip) AllowsCloseDelimited() bool { return false }
