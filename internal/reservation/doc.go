// Package reservation keeps ejection from taking a service below its floor.
//
// A backend server X may be out only while its home holds unexpired reservations on F other backend servers of the
// service, where F is the floor under the terms (members and floor) in force at X's home. A reservation states that its
// backend server stays in service until a time.
//
// # Safety
//
// Claim: at each instant, for each X that is out there are terms t that were in force at X's home within the last Lease,
// such that at least F(t) members of t other than X are neither ejected nor drained by a running home. When all homes
// have the same terms for one Lease, ejection therefore leaves at least F backend servers in service.
//
//   - X is out only before the F-th largest expiry of what its home holds (Manager.MayBeOut), so F reservations are
//     unexpired at that instant.
//   - The requester counts Lease less ClockMargin from before the request was sent. The grantor counts Lease plus
//     ClockMargin from when it received the request. Sending precedes receiving, so with clocks whose rates are each
//     within ClockMargin of true time the grantor's end is never the earlier one. Delay, loss, duplication and
//     reordering of messages can only lengthen the grantor's side.
//   - The grantor's backend server goes out or is drained only after HeldUntil. It grants nothing while it holds enough
//     reservations to be out, so HeldUntil does not move while it is out. Until then a suspect one renews what it granted
//     before it was suspect, and grants nothing new.
//   - A restarted home has lost what it granted. Requests that the earlier process granted were received before the
//     start, so HeldUntil is at least Lease plus ClockMargin after the start. The same wait applies to a backend server
//     that appears through a change of configuration.
//   - What was granted is kept through changes of configuration, also when the backend server is removed. On a change of
//     terms the requester stops renewing under the old terms, and its expiry under them is the latest end they can have.
//   - A process that was suspended checks the time at each use. When the monotonic clock stood still meanwhile, the wall
//     clock shows it: the difference shortens held reservations, and a jump or a late Tick drops them all. Granted
//     reservations are never shortened.
//
// Outside the claim: a home that crashes, or whose VM fails, takes its backend servers along in spite of what it granted.
// A VM that is suspended and whose wall clock is not corrected on resuming can't notice it.
package reservation
