// Package operation makes sure that an at-most-once operation runs at most once. An operation key
// names the one process that may run the operation, its owner. Memory is that process's record of
// what became of each key.
//
// # Why a key runs at most once
//
// A key names the VM and the incarnation of its owner. So no other process runs it, whatever its
// view of the fleet. Within the owner, two rules hold, and neither depends on a clock:
//
//   - While the memory has an entry for a key, the entry decides: only a key that never ran, or
//     whose run ended as not run, may run. An entry with a run in progress is never removed.
//   - When the memory removes an entry whose key may have run, it raises a horizon to the issue
//     time in that key. A key that is not in the memory and was issued at or before the horizon is
//     refused as expired.
//
// The issue time is a constant within the key. So the second rule holds whatever the clock of the
// entry shows that issues the key. It also holds when the owner's clock steps, and for a request
// that reads the time before a pause and calls Begin after it. Clocks only decide how long keys can
// be used. The owner compares the issue time with its own clock. It refuses keys that are older
// than the key life, or issued further in the future than the allowed clock skew.
//
// # Bodies
//
// A key is bound to its customer, route and body digest. The digest must be known before anything
// is sent to a backend server. So the owner reads the whole body before it calls Begin, at most
// MaxBodyBytes and within a budget for all uploads (UploadBudget). Operations with larger bodies
// are refused as request_too_large.
package operation
