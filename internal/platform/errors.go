package platform

import (
	"errors"
	"fmt"
)

// Kind says why a call failed.
type Kind uint8

// The kinds of failure.
const (
	// Unreachable means that the dial failed, the connection broke or the call timed out.
	Unreachable Kind = iota
	// BadStatus means that the response had an HTTP status other than 200 and 404.
	BadStatus
	// NotFound means that the response had the HTTP status 404: there is no value of that name.
	NotFound
	// TooLarge means that the response body exceeds its size limit.
	TooLarge
	// Malformed means that the response does not follow the protocol, or that the request could not
	// be built, such as for an invalid base URL.
	Malformed
)

var kindNames = [...]string{"unreachable", "bad status", "not found", "too large", "malformed"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Error is the failure of one call to the platform.
type Error struct {
	Kind Kind
	// Call is the path and query of the request.
	Call string
	// Cause is the underlying error. It may be nil.
	Cause error
}

// Error returns the call, the kind and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("platform %s: %s", e.Call, e.Kind)
	}
	return fmt.Sprintf("platform %s: %s: %v", e.Call, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether err is, or wraps, an Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
