// Package limits enforces one customer's rate and concurrency for the whole fleet.
//
// Each region has a fixed part of a customer's limits (Plan). A tenth of the limits is reserved for base allowances; the
// rest of the region's part is granted as shares by one daemon of the region, the holder, found by rendezvous hash
// (View). Holder decides about shares, User spends them at an entry.
//
// # Leases
//
// A share lasts 5 s for limits of 100 requests a second and more, and 40 s below (LeaseOf). It ends one lease after the entry sent its
// request; the holder counts it from when it received the request, with a margin for clock rates, so the holder's end is
// never earlier. Requests of an entry carry a sequence number. An entry accepts only the response to its latest request
// about a customer, and tells the holder in each request what it holds. The holder ignores requests that arrive out of
// order, so a returned or reduced share is free as soon as the holder learns of it.
//
// Whatever the daemons' views are, one holder never lets more than the part be used. While two daemons both take themselves for
// the holder, at most two parts are in use. A contract that turns a small limit into a large one shortens the wait of a new
// holder, so shares of the earlier holder may add to the part for at most 40 s after such a change.
//
// A share starts with one token, paid in advance from its rate, and its bucket holds the part of the contract's burst that the share is of
// the rate, at least one request. So n entries with shares admit at most the part, the burst and n requests at once.
//
// # Base allowance
//
// An entry without a share admits requests from a small bucket, refilled at its part of the reserved tenth times
// Plan.BaseFactor. Factor and bucket size save messages for customers whose traffic is spread thinly over many entries. In a
// fleet of N daemons base allowances admit at most N times Plan.BaseBurst requests at once and BaseFactor/10 of the rate
// in the long run, on top of nine tenths of the rate from shares.
//
// # Concurrency
//
// An entry without a share admits its part of the reserved tenth (Plan.BaseConcurrency), and four times as many while its holder
// waits (Plan.WaitingConcurrency). All fixed parts together are at most a tenth of the limit, or 0.4 while holders wait, or one
// request for each daemon when that is more. The larger part never adds to a share of the entry.
//
// Requests in flight may outlive their share. The entry admits no new request while it has as many in flight as share and
// base allowance allow, keeps reporting them, and the holder counts the larger of grant and report until the lease ends. The
// holder does not know of requests at an entry that can not reach it. They exceed the limit by at most the region's part for each
// lease within the deadline: with a deadline of 10 s, two parts.
package limits
