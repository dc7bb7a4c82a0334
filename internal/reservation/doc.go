// Package reservation prevents ejections from taking a service below its floor. The floor is the
// number of backend servers that ejections must leave in service.
//
// The home of a backend server is the daemon on its VM. A backend server X may be out of service
// only while its home holds unexpired reservations on F other backend servers of the service. F is
// the floor under the terms in force at X's home. The terms of a service are its members and its
// floor. A reservation is the promise of a home that its backend server stays in service until a
// certain time. The grantor of a reservation is the home that gives it, or that home's backend
// server. The requester is the home that asks for it, or X.
//
// # Safety
//
// Claim: at each instant, for each X that is out, there are terms t with two properties. They were
// in force at X's home within the last Lease. And at least F(t) members of t other than X are
// neither ejected nor drained by a running home. When all homes have had the same terms for one
// Lease, ejections therefore leave at least F backend servers in service.
//
//   - X is out only before the F-th largest expiry of the reservations that its home holds
//     (Manager.MayBeOut). F reservations are therefore unexpired at that instant.
//   - The requester counts Lease less ClockMargin from before it sent the request. The grantor
//     counts Lease plus ClockMargin from when it received the request. The request is sent before
//     it is received, and the rate of each clock is within ClockMargin of true time. The
//     reservation therefore never ends earlier at the grantor than at the requester. Delayed, lost,
//     duplicated or reordered messages can only make it end later at the grantor.
//   - The grantor's backend server is ejected or drained only after HeldUntil. A grantor that holds
//     enough reservations to be out itself grants nothing, so HeldUntil does not change while it is
//     out. Until then, a suspect backend server renews what it granted before it became suspect,
//     and grants nothing new.
//   - A restarted home has lost the record of what it granted. The earlier process received those
//     requests before the start, so HeldUntil is at least Lease plus ClockMargin after the start.
//     The same wait applies to a backend server that is added by a change of configuration.
//   - A granted reservation is kept through changes of configuration, also when its backend server
//     is removed. After a change of terms the requester no longer renews under the old terms. What
//     it holds then cannot be extended under them.
//   - A process checks the time at each use, in case it was suspended. When the monotonic clock
//     stood still meanwhile, the wall clock shows it. The difference shortens the held
//     reservations, and a jump or a late Tick drops them all. Granted reservations are never
//     shortened.
//
// Outside the claim: when a home crashes or its VM fails, its backend servers fail too, whatever it
// granted. A VM that was suspended cannot notice it if its wall clock is not corrected on resuming.
package reservation
