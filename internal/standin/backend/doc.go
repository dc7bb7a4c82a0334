// Package backend is a stand-in for a backend server. Tests, measurements and the local example
// use it. It answers any request with a description of that request, counts the operations that it
// runs, and injects faults on request: latency, errors, truncated or corrupted responses, load
// shedding, hanging requests, and faults that come and go.
package backend
