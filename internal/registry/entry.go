package registry

import (
	"cmp"
	"slices"
	"time"
)

// incarnationGrace is how long a write with an earlier start must stand in the store until its
// incarnation counts as the present one. A present incarnation with a later start would have written
// again by then, as backend servers write every 1.5 s. With the time until the write is known and in
// force, it must stay below the time within which a draining backend server must get no more
// requests. If it is too short for once, the next write of the later start puts that right.
const incarnationGrace = 1600 * time.Millisecond

// write is one write of a registration.
type write struct {
	revision     uint64
	registration *Registration
	// since is when the first known write of the same incarnation arrived.
	since time.Time
}

// replaces reports whether a write makes another one of the same key obsolete: it is not older, by
// revision and by the start of the backend server. Each of these alone can mislead. A late write of an
// earlier incarnation has the higher revision, and the present incarnation has the earlier start if
// the clock of its VM went back.
func (w write) replaces(other write) bool {
	return w.revision >= other.revision && w.registration.Started >= other.registration.Started
}

// entry is the state of one key. It is the same for every order in which the changes of the key
// arrive, but for the time at which one incarnation overrules another.
//
// A registration that is removed during a hold stays in use until heldUntil. If it does not return
// by then, or is removed without a hold, only a tombstone remains.
type entry struct {
	// writes are the writes since the last removal that no other one replaces, usually one. They
	// are ordered by descending start, and so by ascending revision.
	writes []write
	// overruledRevision is the highest revision of a write that was overruled.
	overruledRevision uint64
	// removedRevision is the revision of the latest removal, 0 if there was none. removedAt is when
	// it became known.
	removedRevision uint64
	removedAt       time.Time
	// leftStart is the latest start of an incarnation that has left, or 0, and left the registration that
	// has left last.
	leftStart int64
	left      *Registration
	// held is the registration that was removed during a hold, nil if there is none. heldRevision is
	// that of its last write.
	held         *Registration
	heldRevision uint64
	heldUntil    time.Time
}

// inUse returns the write of the registration in use, without a registration if there is none.
func (e *entry) inUse() write {
	if len(e.writes) > 0 {
		return e.writes[0]
	}
	return write{revision: e.heldRevision, registration: e.held}
}

// add adds a write and reports whether it was new. A restored write is one that a store may have
// from the copy that it came back from.
func (e *entry) add(w write, restored bool) bool {
	obsolete := w.revision <= max(e.removedRevision, e.overruledRevision)
	if restored && e.supersededBeforeEra(w) {
		return false
	}
	w.registration = e.keepDraining(w)
	if obsolete || slices.ContainsFunc(e.writes, func(known write) bool { return known.replaces(w) }) {
		return false
	}
	for _, known := range e.writes {
		if known.registration.Started == w.registration.Started && known.since.Before(w.since) {
			w.since = known.since
		}
	}
	if before := e.inUse().registration; before != nil && before.Started < w.registration.Started {
		e.noteLeft(before)
	}
	e.writes = slices.DeleteFunc(e.writes, w.replaces)
	e.writes = append(e.writes, w)
	slices.SortFunc(e.writes, func(a, b write) int { return cmp.Compare(b.registration.Started, a.registration.Started) })
	e.held = nil
	return true
}

// supersededBeforeEra reports whether the incarnation of a write was removed, or followed by a later
// one, in an earlier era than that of the write. The copy that the store came back from still has it.
func (e *entry) supersededBeforeEra(w write) bool {
	era := EraOf(w.revision)
	if e.leftStart > 0 && EraOf(e.removedRevision) < era && w.registration.Started <= e.leftStart {
		return true
	}
	return slices.ContainsFunc(e.writes, func(known write) bool {
		return EraOf(known.revision) < era && known.registration.Started > w.registration.Started
	})
}

// keepDraining returns the registration of a write. It is draining if its incarnation was so in an
// earlier era: a copy of the store may be older than the begin of the drain, which is never taken back.
func (e *entry) keepDraining(w write) *Registration {
	wasDraining := slices.ContainsFunc(e.writes, func(known write) bool {
		return known.registration.Draining && known.registration.Started == w.registration.Started && EraOf(known.revision) < EraOf(w.revision)
	})
	if !wasDraining || w.registration.Draining {
		return w.registration
	}
	kept := *w.registration
	kept.Draining = true
	return &kept
}

// overrule ends the writes with a later start than one of a higher revision that has stood for
// incarnationGrace, and reports whether there were any.
func (e *entry) overrule(now time.Time) bool {
	for i := len(e.writes) - 1; i > 0; i-- {
		if !now.Before(e.writes[i].since.Add(incarnationGrace)) {
			e.overruledRevision = max(e.overruledRevision, e.writes[i-1].revision)
			e.writes = slices.Delete(e.writes, 0, i)
			return true
		}
	}
	return false
}

// remove ends the writes up to the revision, and reports whether that was new. During a hold, the
// registration stays in use unless its backend server was draining.
func (e *entry) remove(now time.Time, revision uint64, holdUntil time.Time) bool {
	if revision <= e.removedRevision {
		return false
	}
	before := e.inUse()
	e.removedRevision, e.removedAt = revision, now
	e.writes = slices.DeleteFunc(e.writes, func(w write) bool { return w.revision <= revision })
	if len(e.writes) > 0 || before.registration == nil {
		return true
	}
	if !before.registration.Draining && now.Before(holdUntil) {
		e.held, e.heldRevision, e.heldUntil = before.registration, before.revision, holdUntil
	} else {
		e.noteLeft(before.registration)
	}
	return true
}

// noteLeft records that an incarnation has left.
func (e *entry) noteLeft(r *Registration) { e.leftStart, e.left = max(e.leftStart, r.Started), r }

// endHold ends the hold of a registration whose time is over, and reports whether there was one.
func (e *entry) endHold(now time.Time) bool {
	if e.held == nil || now.Before(e.heldUntil) {
		return false
	}
	e.noteLeft(e.held)
	e.held = nil
	return true
}

// nextExpiry returns when the next write overrules others, the held registration or, without one, the
// tombstone ends. It returns the zero time while none of these is due.
func (e *entry) nextExpiry() time.Time {
	switch {
	case len(e.writes) > 1:
		first := e.writes[1].since
		for _, w := range e.writes[2:] {
			first = earlier(first, w.since)
		}
		return first.Add(incarnationGrace)
	case e.held != nil:
		return e.heldUntil
	case len(e.writes) > 0 || e.removedAt.IsZero():
		return time.Time{}
	default:
		return e.removedAt.Add(tombstoneTTL)
	}
}
