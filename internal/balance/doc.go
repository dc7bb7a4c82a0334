// Package balance chooses the backend server for each request at an entry.
//
// An entry is the daemon that receives a request from a caller. A home is the daemon on the VM of a
// backend server, and forwards requests to it. The state of a backend server comes from data
// traffic only: the Cowslip-State header of its home, and the entry's own requests in flight,
// latencies and failures. A circuit breaker per VM avoids paths that fail. The balancer draws two
// random candidates and takes the one with the lower score, (load + 1) × latency / slots.
//
// State is kept only for services with traffic and is dropped when idle. Each service has a mutex,
// and each breaker has its own.
package balance
