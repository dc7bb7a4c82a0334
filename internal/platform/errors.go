package platform

import (
	"errors"
	"fmt"
)

// Kind says why a call failed.
type Kind uint8

// The kinds of failure.
const (
	// Unreachable covers failed dials, broken connections and timeouts.
	Unreachable Kind = iota
	// BadStatus is an HTTP status other than 200 and 404.
	BadStatus
	// NotFound means that the platform has no value of that name.
	NotFound
	// TooLarge means that the answer exceeds its bound.
	TooLarge
	// Malformed means that the answer does not follow the protocol.
	Malformed
)

var kindNames = [...]string{"unreachable", "bad status", "not found", "too large", "malformed"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Error is the failure of one call.
type Error struct {
	Kind Kind
	// Call is the path and query of the call.
	Call string
	// Cause may be nil.
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

// IsKind reports whether err is an Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
