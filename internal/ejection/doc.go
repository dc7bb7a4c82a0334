// Package ejection decides when a home takes a backend server out of service and how it returns. A
// home is the daemon on the VM of a backend server, and forwards requests to it. An entry is a
// daemon that receives requests from callers and sends them to homes.
//
// The package detects gray failures, in which a backend server still responds, but slowly or
// wrongly. It compares the requests that the home forwards with baselines, which the entries send
// about the other backend servers of the service. The comparison yields evidence, a number that
// grows with each slow or failed request and shrinks with each normal one.
//
// A permit is the time until which a backend server may be out of service. The caller obtains it
// from the homes of the other backend servers, so that enough of them stay in service.
//
// The package is decision logic: it takes times and events and returns decisions. It does no I/O
// and starts no goroutine. It is not safe for concurrent use, so the caller holds a lock.
package ejection
