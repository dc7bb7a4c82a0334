// Package errkind holds the closed list of error kinds, and the one table that maps each kind to
// the response that a caller gets: HTTP status, outcome, Retry-After, and whether another backend
// server may be tried.
//
// The outcome is a promise to the caller. NotRun is used only if it is certain that the request did
// not run: no byte of it was handed to a backend server, or the backend server itself states that
// it did not run it. Every other request that ends without the backend server's own response is
// Unknown. The exception is Ran, for an at-most-once operation that ran and ended but whose
// response was not kept.
package errkind
