package registry

import (
	"maps"
	"slices"
	"time"
)

// removalHold is how long a backend server is kept if the store returns from an outage without its
// registration. Registrations that expired during the outage are back within about 2 s.
const removalHold = 2200 * time.Millisecond

// tombstoneTTL is how long a removal is remembered, so that an older registration from another
// source does not undo it.
const tombstoneTTL = 5 * time.Minute

// Table holds the latest known state of all keys. It is not safe for concurrent use.
type Table struct {
	configuration         *Configuration
	configurationRevision uint64
	// configurationKey is the key under which the configuration was published.
	configurationKey string
	entries          map[string]*entry
	// order holds the keys of entries in ascending order, nil after one was added or deleted.
	order []string
	// completeRevision is the revision of the store up to which the table has all changes.
	completeRevision uint64
	// restoredRevision is the revision of the first full list of the present era. Writes of this era
	// up to it may come from the copy with which the era began.
	restoredRevision uint64
	// expireAt is the earliest time at which Expire has something to do, zero if there is none.
	expireAt time.Time
	// holdUntil is the end of the hold: until then, removed registrations may be about to return.
	holdUntil time.Time
	// callers are those of the configuration, nil before the first snapshot.
	callers *callers
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Configuration returns the latest configuration and its revision, or nil and 0.
func (t *Table) Configuration() (*Configuration, uint64) {
	return t.configuration, t.configurationRevision
}

// HoldRemovals keeps registrations that are removed before the given time in use until that time,
// because they may have expired during an outage of the store and be about to return. It never
// shortens a hold.
func (t *Table) HoldRemovals(until time.Time) {
	if until.After(t.holdUntil) {
		t.holdUntil = until
	}
}

// RemovalHold returns the remaining time of the hold, or 0.
func (t *Table) RemovalHold(now time.Time) time.Duration { return max(t.holdUntil.Sub(now), 0) }

// Changes returns the full state as changes, ordered by key after the configuration. Registrations
// that are only held are left out.
func (t *Table) Changes() []Change {
	var out []Change
	if t.configuration != nil {
		out = append(out, Change{Key: t.configurationKey, Revision: t.configurationRevision, Configuration: t.configuration})
	}
	for _, key := range t.keys() {
		for _, w := range t.entries[key].writes {
			out = append(out, Change{Key: key, Revision: w.revision, Registration: w.registration})
		}
	}
	return out
}

// SetComplete records that the table has all changes of the store up to the revision.
func (t *Table) SetComplete(revision uint64) {
	t.completeRevision = max(t.completeRevision, revision)
}

// Apply takes changes in any order and reports whether any of them was newer than the table.
// Changes that are not newer are ignored. So are registrations that the table lacks although it is
// complete up to their revision: they were removed, by a removal that a table of a restarted daemon
// never saw.
func (t *Table) Apply(now time.Time, changes []Change) bool {
	changed := false
	for i := range changes {
		if t.apply(now, &changes[i]) {
			changed = true
		}
	}
	return changed
}

func (t *Table) apply(now time.Time, c *Change) bool {
	if c.Configuration != nil {
		return t.applyConfiguration(c)
	}
	if c.Registration == nil && !c.Removed && c.Fault == "" {
		return false
	}
	e := t.entries[c.Key]
	if e == nil {
		if c.Revision <= t.completeRevision {
			return false
		}
		e = &entry{}
		t.entries[c.Key] = e
		t.order = nil
	}
	if c.Registration != nil {
		isNew := e.add(write{c.Revision, c.Registration, now}, c.Revision <= t.restoredRevision)
		t.expireBy(e.nextExpiry())
		return isNew
	}
	return t.remove(now, e, c.Revision)
}

// applyConfiguration takes a configuration of a later version. The revision does not order
// configurations: a store that came back from a copy may give an older version a higher revision.
func (t *Table) applyConfiguration(c *Change) bool {
	if t.configuration != nil && c.Configuration.Version <= t.configuration.Version {
		if c.Configuration.Version == t.configuration.Version {
			t.configurationRevision = max(t.configurationRevision, c.Revision)
		}
		return false
	}
	t.configuration, t.configurationKey = c.Configuration, c.Key
	t.configurationRevision = max(t.configurationRevision, c.Revision)
	return true
}

// remove ends the writes of an entry up to the revision, and reports whether that was new.
func (t *Table) remove(now time.Time, e *entry, revision uint64) bool {
	if !e.remove(now, revision, t.holdUntil) {
		return false
	}
	t.expireBy(e.nextExpiry())
	return true
}

// expireBy notes that Expire has something to do at the given time, unless it is zero.
func (t *Table) expireBy(at time.Time) {
	if !at.IsZero() && (t.expireAt.IsZero() || at.Before(t.expireAt)) {
		t.expireAt = at
	}
}

// Replace takes a full list whose items are as of the revision or later, and reports whether it
// changed anything. Registrations that the list lacks are removed, unless they are newer than the
// revision.
func (t *Table) Replace(now time.Time, revision uint64, changes []Change) bool {
	if EraOf(revision) > EraOf(t.restoredRevision) {
		t.restoredRevision = revision
	}
	changed := t.Apply(now, changes)
	present := make(map[string]bool, len(changes))
	for i := range changes {
		present[changes[i].Key] = true
	}
	for key, e := range t.entries {
		if !present[key] && len(e.writes) > 0 && t.remove(now, e, revision) {
			changed = true
		}
	}
	t.SetComplete(revision)
	return changed
}

// Expire ends registrations whose hold is over or that a later incarnation has overruled, and deletes
// old tombstones. It reports whether a registration ended.
func (t *Table) Expire(now time.Time) bool {
	if t.expireAt.IsZero() || now.Before(t.expireAt) {
		return false
	}
	changed := false
	t.expireAt = time.Time{}
	for key, e := range t.entries {
		changed = e.endHold(now) || changed
		changed = e.overrule(now) || changed
		if e.inUse().registration == nil && !e.removedAt.IsZero() && !now.Before(e.removedAt.Add(tombstoneTTL)) {
			delete(t.entries, key)
			t.order = nil
			continue
		}
		t.expireBy(e.nextExpiry())
	}
	return changed
}

// keys returns the keys in ascending order.
func (t *Table) keys() []string {
	if t.order == nil {
		t.order = slices.Sorted(maps.Keys(t.entries))
	}
	return t.order
}

// Registrations returns the registrations in use, held ones included, ordered by key.
func (t *Table) Registrations() []*Registration {
	var out []*Registration
	for _, w := range t.inUse() {
		out = append(out, w.registration)
	}
	return out
}

// Former returns the latest registrations of keys that have none in use, ordered by key, for as long as
// their removal is remembered. Their daemons may still be there.
func (t *Table) Former() []*Registration {
	var out []*Registration
	for _, key := range t.keys() {
		if e := t.entries[key]; e.left != nil && e.inUse().registration == nil {
			out = append(out, e.left)
		}
	}
	return out
}

// inUse returns the writes of the registrations in use, ordered by key.
func (t *Table) inUse() []write {
	var out []write
	for _, key := range t.keys() {
		if w := t.entries[key].inUse(); w.registration != nil {
			out = append(out, w)
		}
	}
	return out
}
