package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/recovery"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// ErrHistoryGone is returned by Store.Watch when the changes after the revision are no longer
// available, and by Store.Watch and Store.Probe when the store has come back from a copy and is in a
// later era than the revision. The caller must list the store again.
var ErrHistoryGone = errors.New("changes after the requested store revision are no longer available")

// errStalled is the cause for which a call ends whose response makes no progress.
var errStalled = errors.New("no part of the store's response arrived in time")

// errNoContact is the cause for which a watch ends while the store does not answer probes.
var errNoContact = errors.New("the store did not answer a probe")

// errNoRevision is the failure of a list without a revision.
var errNoRevision = errors.New("the store returned a list without a revision")

// Store is a client of the store that holds the configuration and the registrations.
type Store interface {
	// List returns all values and a revision above 0. Each value is as of this revision or a later
	// one. It calls progress whenever a part of a response arrives.
	List(ctx context.Context, progress func()) ([]Change, uint64, error)
	// Peek returns some of the registrations, always the first ones of the same order. They may be
	// outdated, which costs the store less.
	Peek(ctx context.Context) ([]Change, error)
	// Probe makes the cheapest call that shows whether the store answers. It says nothing about the
	// content, but returns ErrHistoryGone if the store is in a later era than the revision.
	Probe(ctx context.Context, revision uint64) error
	// Watch returns the changes after a revision as soon as there are any, or none once wait has
	// passed. It also returns the revision from which the next watch continues. It calls progress
	// whenever a part of the response arrives.
	Watch(ctx context.Context, after uint64, wait time.Duration, progress func()) ([]Change, uint64, error)
}

// Timing of a Reader.
const (
	// watchWait is how long the store may hold a watch that has no change to return. If the store
	// drops a waiting watch without an error, and answers probes, the reader notices after watchWait
	// plus responseGrace. Only few daemons read, so the store can bear the calls.
	watchWait = 2 * time.Second
	// probeInterval is the time after the latest response until the store is probed while a watch
	// waits, probeTimeout the time within which it must answer. The sum is how late the reader
	// notices that the store is silent; others begin to read then. A probe costs the store a tenth of
	// a watch.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// responseGrace is added to watchWait for the time until the response to a watch begins.
	responseGrace = 600 * time.Millisecond
	// batchDelay is the pause after a watch with changes, so that one call returns all changes of a
	// burst.
	batchDelay = 300 * time.Millisecond
	// listTimeout is the time-out of each response to a list.
	listTimeout = 2 * time.Second
	// stallTimeout ends a response of which nothing arrives for that time. A large one may take much
	// longer over a narrow link, and would only be begun again.
	stallTimeout = time.Second
	// transferLimit bounds a call whose response never ends, however much of it arrives.
	transferLimit = 10 * time.Second
	// initialBackoff is the delay after the first failed call. It doubles with each further one, up
	// to maxBackoff, which bounds how late the reader notices that the store is back.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 600 * time.Millisecond
	// takeoverBackoff is the shortest delay of a reader that takes over from others and has had no
	// response yet. Many daemons do so at once while the store is away, and each is to try once.
	takeoverBackoff = 300 * time.Millisecond
	// outageThreshold is the time without a response after which registrations may have expired in
	// the store.
	outageThreshold = time.Second
)

// Update is a list or a batch of changes that a Reader received.
type Update struct {
	Changes []Change
	// Revision is the revision of the store. Full means that Changes holds all values.
	Revision uint64
	Full     bool
	// Fresh means that, with this update applied, the state is complete and as new as the store, so
	// that it may be put in force.
	Fresh bool
	// RemovalHold is set after an outage of the store: for this time, removals may be registrations
	// that expired during the outage and are about to return. It is 0 otherwise.
	RemovalHold time.Duration
	// ConfirmedAt is the reading of the clock of Reader.ConfirmWith as of which the update has everything that the store
	// had acknowledged. 0 means unknown.
	ConfirmedAt time.Duration
}

// Reader reads a Store and passes on what it received.
type Reader struct {
	store Store
	log   *telemetry.Logger
	// onUpdate receives each update. Only the goroutine of Run calls it.
	onUpdate func(Update)
	// onStatus is called when LastContact or StoreAvailable may have changed without an update. Calls
	// may be concurrent with those of onUpdate.
	onStatus func()
	after    uint64
	// storeAvailable is true while the latest call to the store succeeded, failing while it failed.
	// Before the end of the first call neither is. receiving is true while changes arrive that are not
	// yet passed on.
	storeAvailable, failing, receiving atomic.Bool
	// start is the origin of lastContact, which is the time in nanoseconds at which the store was last
	// known to answer.
	start       time.Time
	lastContact atomic.Int64

	confirmations confirmations
}

// NewReader returns a Reader that passes each update to onUpdate, and calls onStatus when LastContact
// or StoreAvailable may have changed without one. It starts with the changes after the given
// revision, or with a full list if that is 0.
func NewReader(store Store, log *telemetry.Logger, after uint64, onUpdate func(Update), onStatus func()) *Reader {
	return &Reader{store: store, log: log, after: after, onUpdate: onUpdate, onStatus: onStatus, start: time.Now()}
}

// ConfirmWith makes the reader state Update.ConfirmedAt by the clock, and make its watches wait less
// where the latest one would become too old otherwise. It must be called before Run.
func (r *Reader) ConfirmWith(clock keylease.Clock) { r.confirmations.clock = clock }

// LimitWait makes the reader ask before each watch how long that may wait, 0 for no limit. It must be
// called before Run.
func (r *Reader) LimitWait(limit func() time.Duration) { r.confirmations.limit = limit }

// LastContact returns the time at which the store was last known to answer. Any goroutine may call
// it.
func (r *Reader) LastContact() time.Time { return r.start.Add(time.Duration(r.lastContact.Load())) }

// noteContact records that the store was there at the given time. It is that of the call if the
// response may have waited, so that a process that was paused does not take it for new.
func (r *Reader) noteContact(at time.Time) {
	since := int64(at.Sub(r.start))
	for {
		before := r.lastContact.Load()
		if since <= before || r.lastContact.CompareAndSwap(before, since) {
			return
		}
	}
}

// StoreAvailable reports whether the latest call to the store succeeded. Any goroutine may call it.
func (r *Reader) StoreAvailable() bool { return r.storeAvailable.Load() }

// Failing reports whether the latest call to the store failed. Any goroutine may call it.
func (r *Reader) Failing() bool { return r.failing.Load() }

// Receiving reports whether changes are arriving that are not yet passed on. Any goroutine may call
// it.
func (r *Reader) Receiving() bool { return r.receiving.Load() }

// Run reads until ctx ends: a full list first unless NewReader got a revision, then the changes.
// After ErrHistoryGone it lists again; after other errors it retries with backoff.
func (r *Reader) Run(ctx context.Context) {
	state := readerState{lastResponse: time.Now(), revision: r.after, era: EraOf(r.after), known: r.after != 0}
	state.unconfirmed = r.after != 0
	for ctx.Err() == nil {
		err := recovery.Call(func() error {
			if state.unconfirmed {
				if err := r.probe(ctx, state.revision); err != nil {
					return err
				}
			}
			if state.revision == 0 {
				return r.list(ctx, &state)
			}
			return r.watch(ctx, &state)
		})
		switch {
		case err == nil:
		case errors.Is(err, ErrHistoryGone):
			r.log.Info("The store no longer has the changes after this revision; reading a full list.", "era", EraOf(state.revision), "revision", StoreRevisionOf(state.revision))
			state.revision = 0
			if state.listsInARow++; state.listsInARow > 1 {
				pause.For(ctx, maxBackoff)
			}
		default:
			r.handleFailure(ctx, &state, err)
		}
	}
}

type readerState struct {
	// revision is where the next watch continues. 0 means that a list is needed.
	revision uint64
	// era is the latest known era of the store. known is set once there is one.
	era   uint64
	known bool
	// listsInARow counts the lists since the latest watch that the store answered. From the second one
	// on they are paced: a store that never answers a watch would be listed without a pause.
	listsInARow int
	// lastResponse is the time of the latest successful call.
	lastResponse        time.Time
	consecutiveFailures int
	// unconfirmed means that the store may be away. The next call is preceded by a probe, which costs
	// less if it is, and the next watch returns at once.
	unconfirmed bool
}

func (r *Reader) list(ctx context.Context, s *readerState) error {
	w, callCtx := newWatchdog(ctx, listTimeout)
	defer w.stop()
	begin := r.confirmations.now()
	// The first part of the next page may take as long as that of the first one.
	changes, revision, err := r.store.List(callCtx, func() {
		r.noteContact(time.Now())
		w.extend(listTimeout)
	})
	if err != nil {
		return w.explain(err)
	}
	if revision == 0 {
		return errNoRevision // a watch could not continue from it
	}
	r.noteContact(time.Now())
	r.handleResponse(s, Update{Changes: changes, Revision: revision, Full: true, Fresh: true, ConfirmedAt: r.confirmations.ofCall(begin)})
	return nil
}

func (r *Reader) watch(ctx context.Context, s *readerState) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	wait := r.confirmations.watchWait()
	w, callCtx := newWatchdog(ctx, wait+responseGrace)
	defer w.stop()
	if s.unconfirmed {
		wait = 0
	} else {
		revision := s.revision
		probes.Go(func() { r.probeDuringWatch(callCtx, w, revision) })
	}
	begin, clockBegin := time.Now(), r.confirmations.now()
	changes, revision, err := r.store.Watch(callCtx, s.revision, wait, func() {
		r.receiving.Store(true)
		r.noteContact(time.Now())
		w.extend(stallTimeout)
	})
	if err != nil {
		r.receiving.Store(false)
		return w.explain(err)
	}
	// The store answers by the end of the wait.
	r.noteContact(earlier(time.Now(), begin.Add(wait)))
	r.handleResponse(s, Update{Changes: changes, Revision: revision, ConfirmedAt: r.confirmations.ofWatch(clockBegin, wait, len(changes) == 0)})
	r.receiving.Store(false)
	if len(changes) > 0 {
		pause.For(ctx, batchDelay)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// probeDuringWatch probes the store until ctx ends or a response arrives. It ends the watch from a
// revision if the store does not answer, as a store that is silent cannot be told from one without
// changes otherwise, or if the store is in a later era.
func (r *Reader) probeDuringWatch(ctx context.Context, w *watchdog, revision uint64) {
	for pause.For(ctx, probeInterval) && !r.receiving.Load() {
		err := r.probe(ctx, revision)
		if errors.Is(err, ErrHistoryGone) {
			w.cancel(err)
			return
		}
		if err != nil && !r.receiving.Load() {
			w.cancel(fmt.Errorf("%w: %w", errNoContact, err)) // no effect once the watch has ended
			return
		}
		if err == nil {
			r.onStatus()
		}
	}
}

// probe makes one cheap call to the store.
func (r *Reader) probe(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, probeTimeout, errStalled)
	defer cancel()
	begin := time.Now()
	err := recovery.Call(func() error { return r.store.Probe(ctx, revision) })
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	r.noteContact(begin)
	return nil
}

func (r *Reader) handleResponse(s *readerState, u Update) {
	now := time.Now()
	if s.consecutiveFailures > 0 && now.Sub(s.lastResponse) > outageThreshold {
		u.RemovalHold = removalHold
	}
	r.noteEra(s, &u)
	if !u.Full {
		s.listsInARow = 0
	}
	if s.consecutiveFailures > 0 {
		r.log.Info("The store is available again.", "revision", u.Revision, "away", now.Sub(s.lastResponse), "failures", s.consecutiveFailures)
	}
	s.consecutiveFailures, s.lastResponse, s.unconfirmed = 0, now, false
	s.revision = max(s.revision, u.Revision)
	r.onUpdate(u)
	// Other daemons rely on the state of a daemon whose store is available, so apply the update
	// first.
	r.failing.Store(false)
	r.storeAvailable.Store(true)
	if len(u.Changes) == 0 {
		r.onStatus()
	}
}

// noteEra notices that the store has come back from a copy. What backend servers wrote after the copy
// was made is lost until they write it again, so removals are held.
func (r *Reader) noteEra(s *readerState, u *Update) {
	era := EraOf(u.Revision)
	if s.known && era > s.era {
		u.RemovalHold = removalHold
		r.log.Warn("The store came back from a copy that may lack its latest changes.", "era", era, "before", s.era, "revision", StoreRevisionOf(u.Revision))
	}
	s.era, s.known = max(s.era, era), true
}

func (r *Reader) handleFailure(ctx context.Context, s *readerState, err error) {
	if ctx.Err() != nil {
		return
	}
	if s.consecutiveFailures == 0 {
		r.log.Warn("A call to the store failed; retrying with backoff.", "revision", s.revision, "err", err)
		// The latest response may be as old as the watch that failed, so the outage is counted from
		// now.
		s.lastResponse = time.Now()
	}
	s.consecutiveFailures++
	s.unconfirmed = true
	r.failing.Store(true)
	r.storeAvailable.Store(false)
	r.onStatus()
	backoff := min(maxBackoff, initialBackoff<<min(s.consecutiveFailures-1, 4))
	if r.after != 0 && r.lastContact.Load() == 0 {
		backoff = max(backoff, takeoverBackoff)
	}
	pause.For(ctx, backoff)
}
