// Package quota enforces the rate limits of organisations across a fleet whose daemons get their
// configuration from a registry.
//
// The quota of an organisation is divided into parts, at least one for each region (Bounds.divide).
// Each part is held by one daemon of its region, which rendezvous hashing over the region's daemons
// determines (Plan). The holder keeps a token bucket for each part (Holder). For each request an entry
// takes a token from a holder (Taker). docs/design/quota.md has the reasons and the bounds.
//
// The types of this package decide without I/O. The caller passes the time, which must be monotonic,
// and carries the messages.
package quota
