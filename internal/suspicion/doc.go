// Package suspicion estimates, request by request, the probability that a backend server is gray. A
// gray backend server accepts connections but fails a large share of its requests.
//
// The estimate is the forward filter of a two-state hidden Markov model (healthy and gray). It
// reacts quickly at low request rates: at 7 requests a second, one failure is enough to hold back
// requests that cannot be repeated, and a few successes end that.
package suspicion
