package configsync

import "time"

// EventKind says what happened. The daemon writes it to the audit trail.
type EventKind string

// The kinds of event.
const (
	// EventAccepted: a newer revision was received and is held now.
	EventAccepted EventKind = "accepted"
	// EventInForce: a revision was applied and is in force.
	EventInForce EventKind = "in force"
	// EventRefused: a value or a residue was refused; Reason says why. The value in force
	// stays.
	EventRefused EventKind = "refused"
	// EventConflict: different content exists at the revision held. The content held stays.
	EventConflict EventKind = "conflict"
	// EventPlatformDown and EventPlatformUp: calls to the platform began to fail, or succeed
	// again.
	EventPlatformDown EventKind = "platform down"
	EventPlatformUp   EventKind = "platform up"
	// EventPlatformBehind: the platform answered a lower revision (To) than the highest held
	// (From). It is stale, or was restored from a backup.
	EventPlatformBehind EventKind = "platform behind"
	// EventPlatformCaughtUp: the platform answers at least the highest revision held again.
	EventPlatformCaughtUp EventKind = "platform caught up"
	// EventReady: the start procedure is complete, and the daemon may serve.
	EventReady EventKind = "ready"
)

// Event is an entry for the audit trail.
type Event struct {
	At   time.Time
	Kind EventKind
	// Name is the name of the value, empty when the event concerns none.
	Name string
	// From and To are the revisions before and after, unless the kind says otherwise, 0 for
	// none.
	From, To uint64
	// Source is the ID of the VM that supplied the value, or SourcePlatform.
	Source string
	// Reason explains the event to an operator. It is empty when the kind says enough.
	Reason string
}

// SourcePlatform is the source of values that this daemon read from the platform itself.
const SourcePlatform = "platform"
