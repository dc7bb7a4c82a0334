// Package audit keeps the trail of changes: who or what changed what, from which revision to which, accepted or refused, and
// why. The trail is bounded and in memory; each entry is also written as a JSON line, because VMs keep nothing.
package audit
