// Package balance chooses the backend server for a request at an entry.
//
// What is known of a backend server comes from data traffic only: the Cowslip-State header of its home, the entry's own
// outstanding requests, latencies and failures. A circuit breaker per VM avoids paths that fail. Two candidates are drawn
// at random and the one with the lower (load + 1) × latency / effective slots is taken.
//
// State is held only for services with traffic and is dropped when idle. Each service has one mutex; breakers have their
// own.
package balance
