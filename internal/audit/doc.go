// Package audit records changes: who or what changed what, from which revision to which, accepted
// or refused, and why. The trail is bounded and kept in memory only. Each entry is also written as
// a JSON line, because VMs have no permanent storage.
package audit
