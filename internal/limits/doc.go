// Package limits enforces a customer's rate limit and concurrency limit across the whole fleet.
//
// A tenth of each limit is reserved for base allowances. The rest is divided into fixed quotas, one
// for each region (Plan). One daemon of a region holds the region's quota of a customer, and grants
// it to entries as shares. This daemon is the customer's holder. It is found by rendezvous hashing
// over the VMs of the region (View). Holder implements the granting side, Limiter the spending side
// at an entry.
//
// # Leases
//
// A share is a lease. It lasts 5 s for limits of 100 requests a second and more, and 40 s for
// smaller limits (LeaseFor). At the entry it ends one lease after the entry sent its request. The
// holder counts the lease from when it received the request and adds a margin for clocks that run
// at different rates. So a share never ends later at the entry than at the holder.
//
// Requests of an entry carry a sequence number. An entry accepts only the response to its latest
// request about a customer, and tells the holder in each request what it holds. The holder ignores
// requests that arrive out of order. So a returned or reduced share is free as soon as the holder
// learns of it.
//
// A holder never lets more than the region's quota be used, whatever view of the region the other
// daemons have. While two daemons both act as the holder, at most two quotas are in use. A new
// holder waits for one lease before it grants. A contract that turns a small limit into a large one
// shortens this wait, so shares of the previous holder may add to the quota for at most 40 s after
// such a change.
//
// A new share starts with one token, an advance on its rate. Its token bucket holds the same
// fraction of the contract's burst as the share has of the contract's rate, and at least one
// request. So n entries with shares admit at most the quota, the burst and n requests at once.
//
// # Base allowance
//
// An entry without a share admits requests from a small token bucket. The bucket is refilled at the
// entry's part of the reserved tenth times Plan.BaseFactor. Factor and bucket size save messages
// for customers whose traffic is spread thinly over many entries. In a fleet of N daemons, base
// allowances admit at most N times Plan.BaseBurst requests at once. In the long run they admit
// BaseFactor/10 of the rate, on top of the nine tenths of the rate that shares admit.
//
// # Concurrency
//
// An entry without a share admits its part of the reserved tenth of the concurrency limit
// (Plan.BaseConcurrency), and four times as much while its holder waits (Plan.WaitingConcurrency).
// The base allowances of all daemons together are at most a tenth of the limit, 0.4 of it while
// holders wait, or one request for each daemon when that is more. The larger allowance never adds
// to a share of the entry.
//
// Requests in flight may outlive their share. The entry then admits no new request while it has as
// many in flight as share and base allowance allow. It keeps reporting them, and the holder counts
// the larger of grant and report until the lease ends. The holder does not know of requests in
// flight at an entry that cannot reach it. They exceed the limit by at most the region's quota for
// each lease within the deadline: with a deadline of 10 s, by two quotas.
package limits
