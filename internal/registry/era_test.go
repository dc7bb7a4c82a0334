package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// at returns the revision for a store revision in an era.
func at(era, storeRevision uint64) uint64 {
	revision, ok := MakeRevision(era, storeRevision)
	if !ok {
		panic("out of range")
	}
	return revision
}

func configurationChange(revision, version uint64) Change {
	return Change{Key: "op/config", Revision: revision, Configuration: &Configuration{Version: version}}
}

func draining(r *Registration) { r.Draining = true }

// Guards against facts that are lost with a store that comes back from a copy: an older
// configuration in force, a server that drains or has left in use again, or an earlier incarnation in
// the place of the present one.
func TestCopyOfTheStoreTakesNothingBack(t *testing.T) {
	table := NewTable()
	table.Replace(epoch, at(1, 80), []Change{
		configurationChange(at(1, 10), 9), registrationChange("drains", at(1, 20), nil), registrationChange("left", at(1, 30), nil),
		registrationChange("restarted", at(1, 40), nil), registrationChange("stays", at(1, 50), nil),
	})
	table.Apply(epoch, []Change{
		configurationChange(at(1, 90), 10), registrationChange("drains", at(1, 91), draining), {Key: "servers/left", Revision: at(1, 92), Removed: true},
		registrationChange("restarted", at(1, 93), func(r *Registration) { r.Started = 2 }),
	})
	table.HoldRemovals(epoch.Add(removalHold))
	table.Replace(epoch, at(2, 82), []Change{
		configurationChange(at(2, 10), 9), registrationChange("drains", at(2, 20), nil), registrationChange("left", at(2, 30), nil),
		registrationChange("restarted", at(2, 40), nil), registrationChange("stays", at(2, 50), nil),
	})
	check := func(when string) {
		t.Helper()
		if c, _ := table.Configuration(); c.Version != 10 {
			t.Errorf("%s: version %d in force, want 10", when, c.Version)
		}
		for _, r := range table.Registrations() {
			if r.ID == "left" || r.ID == "drains" && !r.Draining || r.ID == "restarted" && r.Started != 2 {
				t.Errorf("%s: %+v is in use", when, *r)
			}
		}
	}
	check("after the list")
	table.Expire(epoch.Add(2 * incarnationGrace))
	check("later")
	table.Apply(epoch, []Change{registrationChange("left", at(2, 83), nil)})
	if !slices.Contains(registeredIDs(table), "left") {
		t.Error("a server that registers again in the new era is not in use")
	}
}

// Guards against an older version that overrules a newer one by its later era, whichever comes first.
func TestVersionOrdersConfigurations(t *testing.T) {
	for _, changes := range [][]Change{
		{configurationChange(at(2, 80), 9), configurationChange(at(1, 100), 10)},
		{configurationChange(at(1, 100), 10), configurationChange(at(2, 80), 9)},
	} {
		table := NewTable()
		table.Apply(epoch, changes)
		if c, _ := table.Configuration(); c.Version != 10 {
			t.Errorf("version %d in force, want 10", c.Version)
		}
	}
}

// Guards against a reader that continues a watch in a store that came back from a copy: revisions are
// given out again there, and removals may be registrations that the copy lacks.
func TestReaderListsAgainInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{
			watches: []func() ([]Change, uint64, error){failWith(ErrHistoryGone)},
			lists:   []func() ([]Change, uint64, error){respond(at(2, 30))},
		}
		got := runReader(time.Second, store, at(1, 40))
		if len(got) == 0 || !got[0].Full || got[0].Revision != at(2, 30) || got[0].RemovalHold != removalHold {
			t.Errorf("%+v", got)
		}
	})
}

// returningStore is a store whose probes tell of a later era while a watch waits.
type returningStore struct {
	scriptedStore
	returnsAt time.Time
}

func (s *returningStore) Probe(_ context.Context, revision uint64) error {
	if EraOf(revision) < 2 && time.Now().After(s.returnsAt) {
		return ErrHistoryGone
	}
	return nil
}

// Guards against a watch from the earlier era that goes on although probes tell of a later one.
func TestProbeEndsAWatchOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		store := &returningStore{returnsAt: begin.Add(300 * time.Millisecond)}
		store.lists = []func() ([]Change, uint64, error){respond(at(2, 30))}
		listed := make(chan time.Duration, 1)
		reader := NewReader(store, telemetry.Discard(), at(1, 40), func(u Update) {
			if u.Full {
				listed <- time.Since(begin)
			}
		}, func() {})
		go reader.Run(t.Context())
		select {
		case after := <-listed:
			if after > 2*probeInterval {
				t.Errorf("listed after %v, want at most %v", after, 2*probeInterval)
			}
		case <-time.After(2 * watchWait):
			t.Error("not listed")
		}
	})
}

// modelServer is the truth about one backend server.
type modelServer struct {
	started  int64
	draining bool
	present  bool
}

// modelStore is a store that can return from a copy.
type modelStore struct {
	era, revision uint64
	items         map[string]Change
	log           []Change
	copied        *modelStore
}

func (s *modelStore) write(c Change) {
	s.revision++
	c.Revision = at(s.era, s.revision)
	if c.Removed {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c
	}
	s.log = append(s.log, c)
}

func (s *modelStore) copy() {
	s.copied = &modelStore{revision: s.revision, items: maps.Clone(s.items)}
}

// restore makes the store return from its copy, with the revisions of the new era.
func (s *modelStore) restore() {
	s.era++
	s.revision, s.items, s.log = s.copied.revision, maps.Clone(s.copied.items), nil
	for key, c := range s.items {
		c.Revision = at(s.era, StoreRevisionOf(c.Revision))
		s.items[key] = c
	}
}

func (s *modelStore) list() []Change { return slices.Collect(maps.Values(s.items)) }

// modelDaemon is the table of a daemon with what it must not forget.
type modelDaemon struct {
	table    *Table
	revision uint64
	version  uint64
	// drained and left hold the incarnations that the daemon has known to drain, or to be gone.
	drained, left, seen map[string]bool
}

func newModelDaemon() *modelDaemon {
	return &modelDaemon{table: NewTable(), drained: map[string]bool{}, left: map[string]bool{}, seen: map[string]bool{}}
}

// sync brings the daemon up to date with the store, by a list or by what a watch returns.
func (d *modelDaemon) sync(clock time.Time, s *modelStore, list bool) {
	now := at(s.era, s.revision)
	if EraOf(d.revision) != s.era {
		d.table.HoldRemovals(clock.Add(removalHold))
	}
	if list || EraOf(d.revision) != s.era {
		d.table.Replace(clock, now, s.list())
	} else {
		d.table.Apply(clock, slices.DeleteFunc(slices.Clone(s.log), func(c Change) bool { return c.Revision <= d.revision }))
		d.table.SetComplete(now)
	}
	d.revision = now
}

// follow takes the full state of another daemon.
func (d *modelDaemon) follow(clock time.Time, other *modelDaemon) {
	if hold := other.table.RemovalHold(clock); hold > 0 {
		d.table.HoldRemovals(clock.Add(hold))
	}
	d.table.Replace(clock, other.revision, other.table.Changes())
	d.revision = max(d.revision, other.revision)
}

// check requires that nothing was taken back. gone tells the incarnations that have ended.
func (d *modelDaemon) check(t *rapid.T, gone map[string]bool) {
	if c, _ := d.table.Configuration(); c != nil {
		if c.Version < d.version {
			t.Fatalf("version %d in force after %d", c.Version, d.version)
		}
		d.version = c.Version
	}
	inUse := map[string]bool{}
	for _, r := range d.table.Registrations() {
		id := fmt.Sprint(r.ID, "/", r.Started)
		inUse[id] = true
		if (d.drained[id] || d.left[id]) && !r.Draining { // one that drains gets no requests
			t.Fatalf("%s is in use again (draining %v, left %v)", id, d.drained[id], d.left[id])
		}
		d.drained[id] = d.drained[id] || r.Draining
		d.seen[id] = true
	}
	for id := range d.seen {
		if gone[id] && !inUse[id] {
			d.left[id] = true
		}
	}
}

// Guards against any order of writes, copies, returns of the store, readers and relays in which a
// daemon goes back in configurations, drains or departures, or after which daemons disagree once the
// store is stable.
func TestNoDaemonGoesBackOverReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{items: map[string]Change{}}
		store.copy()
		servers := make([]modelServer, 3)
		gone := map[string]bool{}
		daemons := []*modelDaemon{newModelDaemon(), newModelDaemon(), newModelDaemon()}
		version, starts := uint64(0), int64(0)
		publish := func(i int) {
			s := servers[i]
			store.write(registrationChange(fmt.Sprint("s", i), 0, func(r *Registration) { r.Started, r.Draining = s.started, s.draining }))
		}
		end := func(i int) {
			gone[fmt.Sprint("s", i, "/", servers[i].started)] = true
			servers[i] = modelServer{}
		}
		clock := epoch
		// repair makes the operator and the servers write again what the store lacks.
		repair := func() {
			store.write(configurationChange(0, version))
			for i, s := range servers {
				if s.present {
					publish(i)
				} else {
					store.write(Change{Key: fmt.Sprint("servers/s", i), Removed: true})
				}
			}
		}
		// elapse lets the time pass in which registrations are held.
		elapse := func() {
			for _, d := range daemons {
				d.sync(clock, store, false)
			}
			repair()
			for _, d := range daemons {
				d.sync(clock, store, false)
			}
			clock = clock.Add(removalHold + incarnationGrace)
			for _, d := range daemons {
				d.table.Expire(clock)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			s := &servers[i]
			d := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			switch action := rapid.IntRange(0, 10).Draw(t, "action"); {
			case action == 0:
				version++
				store.write(configurationChange(0, version))
			case action == 1 && !s.present:
				starts++
				*s = modelServer{started: starts, present: true}
				publish(i)
			case action == 1, action == 2 && s.present:
				s.draining = s.draining || action == 2
				publish(i)
			case action == 3 && s.present:
				end(i)
				store.write(Change{Key: fmt.Sprint("servers/s", i), Removed: true})
			case action == 4 && s.present:
				end(i)
				starts++
				servers[i] = modelServer{started: starts, present: true}
				publish(i)
			case action == 10:
				elapse()
			case action == 5:
				store.copy()
			case action == 6:
				store.restore()
			case action == 7:
				d.follow(clock, daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "source")])
			default:
				d.sync(clock, store, action == 8)
			}
			for _, d := range daemons {
				d.check(t, gone)
			}
		}
		elapse()
		for _, d := range daemons {
			d.check(t, gone)
			for i, s := range servers {
				got := slices.IndexFunc(d.table.Registrations(), func(r *Registration) bool { return r.ID == fmt.Sprint("s", i) })
				if (got >= 0) != s.present {
					t.Fatalf("server %d is present: %v, the table has it: %v", i, s.present, got >= 0)
				}
				if got >= 0 && (d.table.Registrations()[got].Started != s.started || d.table.Registrations()[got].Draining != s.draining) {
					t.Fatalf("server %d is %+v, the table has %+v", i, s, *d.table.Registrations()[got])
				}
			}
		}
	})
}

// Guards against lists without a pause from a store that has none of the changes that it is asked for:
// each may have several megabytes.
func TestListsInARowArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{
			lists:   slices.Repeat([]func() ([]Change, uint64, error){respond(at(1, 40))}, 1000),
			watches: slices.Repeat([]func() ([]Change, uint64, error){failWith(ErrHistoryGone)}, 1000),
		}
		runReader(10*time.Second, store, at(1, 37))
		if most := 2*int(10*time.Second/maxBackoff) + 5; store.calls > most {
			t.Errorf("%d calls in 10 s, want at most %d", store.calls, most)
		}
	})
}
