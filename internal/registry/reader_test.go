package registry

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// scriptedStore answers each call with the next step of its script. Without steps, lists fail and
// watches wait for changes that never come.
type scriptedStore struct {
	lists, watches []func() ([]Change, uint64, error)
	calls          int
}

func (s *scriptedStore) List(context.Context, func()) ([]Change, uint64, error) {
	s.calls++
	return nextStep(&s.lists)
}

func (s *scriptedStore) Peek(ctx context.Context) ([]Change, error) {
	changes, _, err := s.List(ctx, func() {})
	return changes, err
}

// Probe always succeeds, so only lists and watches show faults.
func (s *scriptedStore) Probe(context.Context, uint64) error { return nil }

func (s *scriptedStore) Watch(ctx context.Context, after uint64, wait time.Duration, progress func()) ([]Change, uint64, error) {
	s.calls++
	if len(s.watches) > 0 {
		return nextStep(&s.watches)
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func nextStep(script *[]func() ([]Change, uint64, error)) ([]Change, uint64, error) {
	if len(*script) == 0 {
		return nil, 0, errors.New("store unavailable")
	}
	step := (*script)[0]
	*script = (*script)[1:]
	return step()
}

func respond(revision uint64, changes ...Change) func() ([]Change, uint64, error) {
	return func() ([]Change, uint64, error) { return changes, revision, nil }
}

func failWith(err error) func() ([]Change, uint64, error) {
	return func() ([]Change, uint64, error) { return nil, 0, err }
}

func runReader(d time.Duration, store Store, after uint64) []Update {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var got []Update
	NewReader(store, telemetry.Discard(), after, func(u Update) { got = append(got, u) }, func() {}).Run(ctx)
	return got
}

// Guards against changes that are lost because the store has dropped its history: the reader must
// list again.
func TestReaderListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{
			lists:   []func() ([]Change, uint64, error){respond(40, registrationChange("s", 39, nil))},
			watches: []func() ([]Change, uint64, error){failWith(ErrHistoryGone)},
		}
		got := runReader(time.Second, store, 37)
		if len(got) == 0 || !got[0].Full || got[0].Revision != 40 {
			t.Errorf("%+v", got)
		}
	})
}

// Guards against a reader that lists again and again, without a pause, because the store names no
// revision to continue from.
func TestListWithoutRevisionIsAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{lists: slices.Repeat([]func() ([]Change, uint64, error){respond(0)}, 1000)}
		if got := runReader(10*time.Second, store, 0); len(got) != 0 {
			t.Errorf("%d updates", len(got))
		}
		if most := int(10*time.Second/maxBackoff) + 5; store.calls > most {
			t.Errorf("%d calls in 10 s, want at most %d", store.calls, most)
		}
	})
}

// Guards against changes that arrive late because the store dropped a waiting watch without an
// error. The reader must give up the watch and have the change within 3 s.
func TestReaderDetectsUnansweredWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		hang := func() ([]Change, uint64, error) {
			time.Sleep(watchWait + responseGrace)
			return nil, 0, context.DeadlineExceeded
		}
		store := &scriptedStore{watches: []func() ([]Change, uint64, error){hang, respond(41, registrationChange("s", 41, nil))}}
		var arrivedAfter time.Duration
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		NewReader(store, telemetry.Discard(), 37, func(u Update) {
			if len(u.Changes) > 0 && arrivedAfter == 0 {
				arrivedAfter = time.Since(start)
			}
		}, func() {}).Run(ctx)
		if arrivedAfter == 0 || arrivedAfter > 3*time.Second {
			t.Errorf("the change arrived after %v, want at most 3 s", arrivedAfter)
		}
	})
}

// mutableStore is a store without changes that can fall silent.
type mutableStore struct {
	scriptedStore
	silent atomic.Bool
	probes atomic.Int64
}

func (s *mutableStore) Probe(ctx context.Context, _ uint64) error {
	s.probes.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *mutableStore) Watch(ctx context.Context, after uint64, wait time.Duration, _ func()) ([]Change, uint64, error) {
	if pause.For(ctx, wait) && s.silent.Load() {
		<-ctx.Done()
	}
	return nil, after, ctx.Err()
}

// Guards against a reader that takes a silent store for one without changes, and says for seconds that
// it reaches the store. Also guards against more than four probes to a watch.
func TestReaderNoticesASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &mutableStore{}
		reader := NewReader(store, telemetry.Discard(), 37, func(Update) {}, func() {})
		go reader.Run(t.Context())
		for i := range 20 {
			time.Sleep(4*watchWait + time.Duration(i)*110*time.Millisecond)
			if !reader.StoreAvailable() || time.Since(reader.LastContact()) > probeInterval {
				t.Errorf("round %d: available %v, last contact %v ago", i, reader.StoreAvailable(), time.Since(reader.LastContact()))
			}
			silentAt := time.Now()
			store.silent.Store(true)
			for reader.StoreAvailable() {
				time.Sleep(10 * time.Millisecond)
			}
			if noticed := time.Since(silentAt); noticed > probeInterval+probeTimeout+10*time.Millisecond {
				t.Errorf("round %d: silence was noticed after %v, want at most %v", i, noticed, probeInterval+probeTimeout)
			}
			if !reader.LastContact().Before(silentAt.Add(time.Millisecond)) {
				t.Errorf("round %d: contact %v after the silence began", i, reader.LastContact().Sub(silentAt))
			}
			store.silent.Store(false)
		}
		time.Sleep(10 * watchWait)
		before := store.probes.Load()
		time.Sleep(50 * watchWait)
		if probes := store.probes.Load() - before; probes > 4*50 {
			t.Errorf("%d probes during 50 watches, want at most 4 each", probes)
		}
	})
}

// Guards against backend servers that are dropped when the store returns from an outage, because
// their registrations expired meanwhile. Also guards against a reader that calls a failing store
// too often.
func TestOutageHoldsRemovalsAndBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := func() ([]Change, uint64, error) { return nil, 0, errors.New("connection refused") }
		store := &scriptedStore{}
		for range 12 {
			store.watches = append(store.watches, down)
		}
		store.watches = append(store.watches, respond(50))
		got := runReader(10*time.Second, store, 37)
		if len(got) == 0 || got[0].RemovalHold != removalHold {
			t.Fatalf("%+v", got)
		}
		if store.calls > 25 {
			t.Errorf("%d calls to the failing store in 10 s, want at most 25", store.calls)
		}
	})
}

// Guards against a response that stalls, or never ends, and keeps the reader from the changes.
func TestReaderEndsTransfersWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		parts int
		limit time.Duration
	}{
		"stalled": {5, 500*time.Millisecond + stallTimeout},
		"endless": {1000, transferLimit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin, ended := time.Now(), time.Duration(0)
				store := &drippingStore{parts: c.parts, ended: func() { ended = time.Since(begin) }}
				ctx, cancel := context.WithTimeout(t.Context(), c.limit+time.Second)
				defer cancel()
				NewReader(store, telemetry.Discard(), 37, func(Update) {}, func() {}).Run(ctx)
				if ended == 0 || ended > c.limit {
					t.Errorf("ended after %v, want at most %v", ended, c.limit)
				}
			})
		})
	}
}

// drippingStore sends a number of parts of a response, one each 100 ms, and then nothing.
type drippingStore struct {
	scriptedStore
	parts int
	// ended is called when a call has ended.
	ended func()
}

func (s *drippingStore) Watch(ctx context.Context, _ uint64, _ time.Duration, progress func()) ([]Change, uint64, error) {
	for range s.parts {
		if !pause.For(ctx, 100*time.Millisecond) {
			break
		}
		progress()
	}
	<-ctx.Done()
	if s.calls == 0 {
		s.ended()
	}
	s.calls++
	return nil, 0, ctx.Err()
}
