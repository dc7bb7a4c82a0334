package configsync

import "time"

// EventKind says what happened.
type EventKind string

// The kinds of event.
const (
	// EventAccepted: a newer revision is held.
	EventAccepted EventKind = "accepted"
	// EventInForce: a revision was applied.
	EventInForce EventKind = "in force"
	// EventRefused: a value was refused; Reason says why. The one in force stays.
	EventRefused EventKind = "refused"
	// EventConflict: other content came with the revision that is held. The one in force stays.
	EventConflict EventKind = "conflict"
	// EventPlatformDown and EventPlatformUp: calls to the platform began to fail, or work again.
	EventPlatformDown EventKind = "platform down"
	EventPlatformUp   EventKind = "platform up"
	// EventPlatformBehind: the platform answers a lower revision (To) than the highest held (From): it is stale, or was
	// restored from a backup.
	EventPlatformBehind EventKind = "platform behind"
	// EventPlatformCaughtUp ends EventPlatformBehind.
	EventPlatformCaughtUp EventKind = "platform caught up"
	// EventReady: the start procedure is over.
	EventReady EventKind = "ready"
)

// Event is an entry for the audit trail.
type Event struct {
	At   time.Time
	Kind EventKind
	// Name of the value, empty when the event concerns none.
	Name string
	// From and To are revisions, 0 for none.
	From, To uint64
	// Source is the ID of the daemon that supplied the value, or SourcePlatform.
	Source string
	Reason string
}

// SourcePlatform is the source of values that this daemon read from the platform.
const SourcePlatform = "platform"
