// Package measure runs seeded streams of events in virtual time through the decision logic of package ejection and
// reports detection times and false ejections, next to a comparison detector as common proxies have it.
//
// The streams do not react to the decisions: an ejected backend server gets the same requests as before, its permit is
// always granted, and balancing does not move load away from a slow one. False ejections are therefore counted without
// the protection that reservations give.
package measure
