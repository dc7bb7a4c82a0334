// Package operation decides which operations run. An operation key names the one process that may run the operation, and
// Memory is that process's record of what became of each key.
//
// # Why a key runs at most once
//
// A key names the owner's VM and incarnation, so no other process runs it, whatever its view of the fleet. Within the owner
// two rules hold, and neither depends on a clock:
//
//   - While the memory has an entry for a key, the entry decides: only a key that never ran, or whose run ended as not run,
//     may run. An entry with a run in progress is never removed.
//   - When the memory removes an entry whose key may have run, it raises a horizon to the issue time in that key. A key that
//     is not in the memory and was issued at or before the horizon is refused as expired.
//
// The issue time is a constant inside the key, so the second rule holds for any clock of the entry that issued the key, any
// step of the owner's clock, and a request that read the time before a pause and calls Begin after it. Clocks decide only how long keys can be
// used: the owner compares the issue time with its own clock and refuses keys older than the key life or issued further in the future than the
// allowed skew.
//
// # Bodies
//
// A key is bound to its customer, route and body digest. The digest must be known before anything is handed to a backend
// server, so the owner reads the whole body, at most MaxBodyBytes and within a budget for all uploads (Uploads), before it
// calls Begin. Operations with larger bodies are refused as request_too_large.
package operation
