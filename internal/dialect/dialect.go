package dialect

import (
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// Request is what a backend server is told about a request, besides what its caller sent.
type Request struct {
	// ID is the request id. It is empty if the backend server is not told one.
	ID string
	// Customer is the name of the customer whose contract applies.
	Customer string
	// Organisation is the name of the organisation that the request belongs to, or empty for none.
	Organisation string
	// Backend is the id of the backend server that the request is for.
	Backend string
	// OriginService is the service on the VM where the request entered the fleet. It is empty if
	// unknown.
	OriginService string
	// Remaining is the time until the deadline. Zero means that there is no deadline.
	Remaining time.Duration
}

// Caller is what a caller states about its request.
type Caller struct {
	// ID identifies the request. It is empty if the caller sent none.
	ID string
	// Timeout is how long the caller waits. It is 0 if the caller does not say.
	Timeout time.Duration
	// APIKey is the key with which the caller identifies itself. It is empty if the caller sent none,
	// or several.
	APIKey string
}

// Dialect translates between the request path and the headers of a deployment. Implementations keep
// no state, so they are safe for concurrent use.
type Dialect interface {
	// ParseCaller reads what the caller states from the headers of its request.
	ParseCaller(h http.Header) Caller
	// RemoveCredentials removes the key of the caller, and what backend servers may take for the name of
	// its organisation. It is called for requests to other daemons and to backend servers, in
	// deployments whose callers are identified by keys.
	RemoveCredentials(h http.Header)
	// SetRequestHeaders sets the headers for the backend server and removes those that callers must
	// not set.
	SetRequestHeaders(h http.Header, r Request)
	// ReadResponse returns what the head of a backend server's response says about the request with
	// the id.
	ReadResponse(resp *http.Response, id string) runstate.Response
	// Convention returns what statuses mean to callers and backend servers. It is not changed.
	Convention() *runstate.Convention
	// AllowsCloseDelimited reports whether the end of the connection may mark the end of a response
	// without a length.
	AllowsCloseDelimited() bool
}
