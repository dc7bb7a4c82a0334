// Package backend is a stand-in for a backend server, used by tests and the local example. It answers lookups, counts the
// operations that it runs, and shows faults on demand: latency, errors, cut or wrong answers, shedding, flapping, pauses.
package backend
