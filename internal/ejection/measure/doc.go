// Package measure simulates services in virtual time and feeds their requests to package ejection.
// It reports detection times and false ejections, next to those of a comparison detector that
// counts consecutive failures, as common proxies do. The same seed gives the same results.
//
// The simulated requests do not react to the decisions. An ejected backend server gets the same
// requests as before, its permit to be out of service is always granted, and load balancing moves
// no load away from a slow one. The counts of false ejections therefore lack the protection that
// reservations give.
package measure
