// Package ejection decides when a backend server is taken out of service and how it returns. It detects gray failures
// from the requests that a home daemon forwards to its backend server, compared with what the entries report about the
// other backend servers of the service.
//
// The package is decision logic: it takes the time and events and returns decisions. It does no I/O, starts no goroutine
// and is not safe for concurrent use; the caller holds a lock. docs/ejection.md describes it for operators.
package ejection
