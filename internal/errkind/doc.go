// Package errkind holds the closed list of error kinds and the one table that maps each kind to the response a caller
// gets: HTTP status, outcome, whether another backend server may be tried, and the Retry-After advice.
//
// The outcome is a promise to the caller. NotRun is used only when it is certain that no byte of the request was handed
// to a backend server. Everything else that ends without the backend server's own response is Unknown.
package errkind
