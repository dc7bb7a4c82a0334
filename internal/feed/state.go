package feed

import (
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// receivedStatus is a status of another daemon and the time of its arrival, in nanoseconds since the
// start of the Source.
type receivedStatus struct {
	status
	at int64
}

// status returns the present status. What it says also holds for a state that is read after the
// call.
func (s *Source) status() status {
	out := status{
		Revision: s.completeRevision.Load(), ConfiguredUpTo: s.configuredRevision.Load(),
		Reading: s.storeAvailable(), Complete: s.fresh.Load(), AgeMs: s.Age().Milliseconds(), StoreAgeMs: s.storeAge().Milliseconds(),
	}
	out.Settled = registry.EraOf(out.Revision) > 0 && s.eras.isSettledUpTo(out.Revision)
	s.addConfirmation(&out)
	// A configuration is added before configuredRevision rises, so it is read after it.
	out.Configuration = s.configurations.version.Load()
	return out
}

// Outdated reports whether newer content than that of this daemon is known to be on its way. Any
// goroutine may call it.
func (s *Source) Outdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind() || s.reader != nil && s.reader.reader.Receiving()
}

// elapsed returns the time since the start of the Source.
func (s *Source) elapsed() time.Duration { return time.Since(s.start) }

// Age returns the time since the state was known to be as new as the store. Any goroutine may call
// it.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	s.noteReader()
	s.mu.Unlock()
	return max(s.elapsed()-time.Duration(s.confirmed.Load()), 0)
}

// Silence returns the time since this daemon heard of another one that it follows, or of the store,
// whatever they said. Any goroutine may call it.
func (s *Source) Silence() time.Duration {
	s.mu.Lock()
	s.noteReader()
	s.mu.Unlock()
	return s.elapsed() - time.Duration(s.heard.Load())
}

// storeAge returns the time since a reader was known to reach the store.
func (s *Source) storeAge() time.Duration {
	s.mu.Lock()
	s.noteReader()
	s.mu.Unlock()
	return max(s.elapsed()-time.Duration(s.reached.Load()), 0)
}

// receivePatience is how long a reader may know of content that it has yet to get. After that others
// are to try: its path to the store may be slow.
const receivePatience = 2 * time.Second

// storeAvailable reports whether this daemon reads the store and its latest call succeeded, lately
// enough that nobody else needs to read.
func (s *Source) storeAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerAvailable()
}

// readerAvailable is storeAvailable for callers that hold mu.
func (s *Source) readerAvailable() bool {
	confirmed := time.Duration(s.confirmed.Load())
	return s.reader != nil && s.reader.reader.StoreAvailable() && s.elapsed()-confirmed < receivePatience || s.readerBegins()
}

// readerBegins reports whether this daemon has no state yet, and its first list of the store makes
// progress. The caller holds mu.
func (s *Source) readerBegins() bool {
	if s.reader == nil || s.fresh.Load() || s.reader.reader.Failing() {
		return false
	}
	contact := s.reader.reader.LastContact()
	return contact.After(s.reader.started) && time.Since(contact) < storeTimeout
}

// readerCurrent reports whether this daemon reads the store and knows of nothing newer that is on
// its way. The caller holds mu.
func (s *Source) readerCurrent() bool {
	return s.reader != nil && s.reader.reader.StoreAvailable() && !s.reader.reader.Receiving() && !s.behind()
}

// handleFrame applies one frame of a stream.
func (s *Source) handleFrame(st *stream, f frame) {
	elapsed := int64(time.Since(s.start))
	st.lastFrame.Store(elapsed)
	raise(&s.heard, elapsed)
	st.complete = st.complete || f.Full && f.Complete
	if f.Full || len(f.Changes) > 0 || f.RemovalHoldMs > 0 {
		s.apply(registry.Update{Changes: f.Changes, Revision: f.Revision, Full: f.Full, RemovalHold: time.Duration(f.RemovalHoldMs) * time.Millisecond})
	}
	if f.Status == nil {
		return
	}
	s.noteAnnouncement(st, f.Status.Configuration)
	s.noteStatusOfEra(st, f.Status) // after the announcement, which the daemon has heard by then
	s.noteConfirmation(st, f.Status)
	if st.complete {
		r := &receivedStatus{*f.Status, elapsed}
		st.status.Store(r)
		s.handleStatus(r)
	}
	s.announceConfirmation()
}

// noteStatusOfEra takes what a status says of the era of the store. While this daemon has no state, a
// reader that has none either, and that the store answers, is reason enough for others not to read.
func (s *Source) noteStatusOfEra(st *stream, status *status) {
	s.noteEra(&registry.Update{Revision: status.Revision})
	if status.Settled {
		s.eras.adopt(registry.EraOf(status.Revision), s.confirmationClock())
	}
	s.eras.noteRegion(st.peer.Region)
	if !st.remote && status.Reading && !status.Complete && !s.fresh.Load() {
		raise(&s.reached, int64(s.elapsed()-status.storeAge()))
	}
}

// noteAnnouncement notes the configuration that another daemon has, and has it fetched if it is
// newer than that of this daemon.
func (s *Source) noteAnnouncement(st *stream, version uint64) {
	st.configuration.Store(version)
	raise(&s.announced, version)
	if !s.behind() {
		return
	}
	select {
	case s.fetchDue <- struct{}{}:
	default: // the goroutine is about to look
	}
}

// handleStatus takes what a daemon says whose registrations this one has. It does not count as fresh
// before this one has the daemon's configuration too.
func (s *Source) handleStatus(r *receivedStatus) {
	configured := s.configurations.version.Load() >= r.Configuration
	age := r.age() + s.elapsed() - time.Duration(r.at)
	s.apply(registry.Update{Revision: r.Revision, Fresh: configured && r.Complete && age < storeTimeout})
	if configured {
		raise(&s.configuredRevision, r.ConfiguredUpTo)
	}
	if !r.Complete {
		return
	}
	raise(&s.reached, r.at-int64(r.storeAge()))
	s.announceContact()
	if configured && !s.behind() {
		raise(&s.confirmed, r.at-int64(r.age()))
	}
}

// announceReader sends a status to the followers after a response of the store without changes, or
// when the store did not answer.
func (s *Source) announceReader() {
	s.mu.Lock()
	s.noteReader()
	s.mu.Unlock()
	s.announcedContact.Store(s.reached.Load())
	s.wakeFollowers()
}

// announceContact sends a status to the followers if the store was heard of much later than the last
// status says that was sent for this reason. Waiting for a heartbeat would add to the age at each
// daemon on the way.
func (s *Source) announceContact() {
	if s.storeAvailable() {
		return // announceReader does
	}
	reached, announced := s.reached.Load(), s.announcedContact.Load()
	if reached-announced >= int64(contactStep) && s.announcedContact.CompareAndSwap(announced, reached) {
		s.wakeFollowers()
	}
}

// raise sets v to at least value.
func raise[T int64 | uint64](v interface {
	Load() T
	CompareAndSwap(before, after T) bool
}, value T) {
	for {
		current := v.Load()
		if value <= current || v.CompareAndSwap(current, value) {
			return
		}
	}
}

// withoutConfiguration returns the changes but for the configuration, which other daemons fetch. A
// large one would hold up the registrations.
func withoutConfiguration(changes []registry.Change) []registry.Change {
	isConfiguration := func(c registry.Change) bool { return c.Configuration != nil }
	if !slices.ContainsFunc(changes, isConfiguration) {
		return changes
	}
	return slices.DeleteFunc(slices.Clone(changes), isConfiguration)
}

// applyFromStore applies an update that this daemon has read, which has all changes up to its
// revision.
func (s *Source) applyFromStore(u registry.Update) {
	s.holdFresh(&u)
	s.apply(u)
	raise(&s.configuredRevision, u.Revision)
}

// apply applies an update and passes on what was new. completeRevision rises only after the changes
// are applied and queued for the followers. A heartbeat with the new revision before that could
// make a follower continue from it without the changes, or ignore them as known when they come. Calls
// wait for each other, because the same change may come on two ways: the one that finds it applied
// must not say so before the other one has queued it. A full list of the store goes to all followers
// even if it changed nothing here: it may end what only they still have.
func (s *Source) apply(u registry.Update) {
	s.noteEra(&u)
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.confirm(u)
	isNew := s.options.Apply(u)
	newConfiguration := s.addConfigurations(u.Changes)
	s.adoptConfirmations()
	u.Changes = withoutConfiguration(u.Changes)
	becomesFresh := u.Fresh && !s.fresh.Load()
	switch {
	case becomesFresh, u.Full && (isNew || u.Fresh):
		s.hub.sendFull(u)
	case isNew && len(u.Changes) > 0:
		s.hub.send(u.Changes)
	case newConfiguration:
		s.wakeFollowers()
	case u.ConfirmedAt > 0 && !isNew && len(u.Changes) > 0:
		// The changes came on another way before, so nothing else tells the followers.
		s.wakeFollowers()
	}
	if u.Fresh {
		s.fresh.Store(true)
	}
	raise(&s.completeRevision, u.Revision)
}

// addConfigurations keeps the configurations among applied changes for other daemons, and reports
// whether there was a newer one.
func (s *Source) addConfigurations(changes []registry.Change) bool {
	before := s.configurations.version.Load()
	followers, _ := s.hub.count()
	for i := range changes {
		if changes[i].Configuration != nil {
			s.configurations.add(changes[i], followers > 0)
		}
	}
	return s.configurations.version.Load() > before
}
