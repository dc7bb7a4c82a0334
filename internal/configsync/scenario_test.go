package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/platform"
	"pgregory.net/rapid"
)

// Guards against a restarted daemon that serves what a stale platform supplies although its peers
// hold newer values.
func TestRestartWithStalePlatformAsksPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(4, 7).Draw(t, "n"), rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		m.platform.put("contracts/000", "new")
		m.run(t, 20*time.Second)
		m.platform.visibleUpTo = rapid.Uint64Range(4, 5).Draw(t, "upTo")
		m.platform.down = rapid.Bool().Draw(t, "down")
		d := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
		m.restart(d)
		for range 100 {
			m.run(t, 200*time.Millisecond)
			if !d.ready {
				continue
			}
			if got := d.syncer.InForce("contracts/000"); got != 5 {
				t.Fatalf("serves contracts/000 at revision %d, want 5", got)
			}
			if n := len(d.syncer.start.answered); n < 3 {
				t.Fatalf("serves after %d peers answered, want at least 3", n)
			}
			return
		}
		_, reason := d.syncer.Ready(m.now)
		t.Fatalf("not ready after 20 s: %s", reason)
	})
}

// Guards against a store that accepts a lower revision. A stale platform answers a starting daemon
// only after a peer supplied a newer value, so the daemon asked for the older one before it held
// the newer.
func TestLateAnswerOfStalePlatformReplacesNothing(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(2, seed)
		m.platform.put("contracts/000", "new")
		peer, fresh := m.daemons[0], m.daemons[1]
		for _, name := range []string{VMsName, IndexName, "contracts/000", "contracts/001"} {
			v := m.platform.latest(name)
			peer.syncer.Receive(m.now, SourcePlatform, []Value{{Revision: Revision{Name: name, Number: v.Revision}, Data: compress.Pack(v.Data)}})
		}
		m.apply(peer)
		m.platform.visibleUpTo = 4
		late := 0
		for range 20 {
			m.now = m.now.Add(readerCallInterval)
			m.read(fresh)
			if len(m.packets) == 0 {
				continue
			}
			if answer := m.packets[len(m.packets)-1]; len(fresh.syncer.read.readOrder) > 0 && fresh.syncer.read.readOrder[0] == "contracts/000" {
				late++
				m.packets = m.packets[:len(m.packets)-1]
				m.exchange(fresh)
				for len(m.packets) > 0 {
					m.deliver(0, false)
				}
				m.packets = append(m.packets, answer)
			}
			for len(m.packets) > 0 {
				m.deliver(0, false)
			}
		}
		m.apply(fresh)
		if held, inForce := fresh.syncer.store.Revision("contracts/000"), fresh.syncer.InForce("contracts/000"); held != 5 || inForce != 5 {
			t.Errorf("seed %d: holds revision %d, %d in force, want 5, which the peer supplied", seed, held, inForce)
		}
		if late == 0 {
			t.Errorf("seed %d: the platform gave no late answer", seed)
		}
	}
}

// Guards against a reader that waits until a restored platform passes the cursor, and misses what
// changes below it.
func TestRestoredPlatformIsReadBelowCursor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 4).Draw(t, "n"), rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		var behind, caughtUp int
		for range 4 {
			m.platform.put("contracts/000", "lost by the restore")
		}
		m.run(t, 20*time.Second)
		m.daemons[0].syncer.cfg.Emit = func(e Event) {
			switch e.Kind {
			case EventPlatformBehind:
				behind++
			case EventPlatformCaughtUp:
				caughtUp++
			}
		}
		m.platform.restore(4)
		m.platform.put("contracts/001", "new")
		m.run(t, time.Minute)
		for _, d := range m.daemons {
			if a, b := d.syncer.InForce("contracts/000"), d.syncer.InForce("contracts/001"); a != 8 || b != 5 {
				t.Fatalf("%s has revisions %d and %d in force, want 8, which stays, and 5, which is new", d.vm.ID, a, b)
			}
		}
		if behind != 1 || caughtUp != 0 || !m.daemons[0].syncer.read.behind {
			t.Fatalf("reported behind %d times and caught up %d times", behind, caughtUp)
		}
		for m.platform.revision < 9 {
			m.platform.put("contracts/000", string(rune('a'+m.platform.revision)))
		}
		m.run(t, time.Minute)
		if got := m.daemons[0].syncer.InForce("contracts/000"); got != 9 || caughtUp != 1 {
			t.Fatalf("contracts/000 in force at %d, caught up %d times", got, caughtUp)
		}
	})
}

// Guards against a daemon that depends on readers that are gone, and against one that exceeds its
// budget of calls.
func TestFallbackReadsWithinBudget(t *testing.T) {
	m := newModel(7, 1)
	for i := range 30 {
		m.platform.put(fmt.Sprintf("services/%02d", i), "0")
	}
	for minute := range 60 {
		now := m.now.Add(time.Duration(minute) * time.Minute)
		members := membership.New(membership.Config{Self: m.daemons[0].vm})
		members.SetDirectory(m.directory)
		s := NewSyncer(now, SyncerConfig{Store: NewStore(), Members: members, Random: rand.New(rand.NewPCG(uint64(minute), 0))})
		s.HandleChanges(now, s.NextReadStep(now), now, m.platform.changes(0), nil)
		calls, callsAfterFallback := 0, 0
		for tick := range 600 {
			at := now.Add(time.Duration(tick) * 100 * time.Millisecond)
			if members.IsReader(at) {
				break
			}
			step := s.NextReadStep(at)
			if step.Kind == StepWait {
				continue
			}
			if step.Kind == StepChanges && at.Sub(now) < fallbackAfter {
				t.Fatalf("listed changes after %s, before the fallback is due", at.Sub(now))
			}
			calls++
			if tick >= 410 {
				callsAfterFallback++
			}
			m.platform.answerStep(step, at)(at, s)
			s.platformAnsweredAt = now // as if no peer reported an answer of the platform
		}
		if calls > 5+7 {
			t.Fatalf("%d calls in a minute, want at most 5 at the start and 7 from the budget", calls)
		}
		if !members.IsReader(now) && callsAfterFallback == 0 {
			t.Fatalf("no call after 40 s without a reader")
		}
	}
}

// Guards against values that the platform lists but does not supply: they must hold up neither
// other values nor the start.
func TestUnreadableValueDelaysNothing(t *testing.T) {
	m := newModel(1, 1)
	delete(m.platform.versions, "contracts/000")
	m.platform.versions["gone"] = nil
	s := m.daemons[0].syncer
	refused := 0
	s.cfg.Emit = func(e Event) {
		if e.Kind == EventRefused && e.Name == "gone" {
			refused++
		}
	}
	listed := m.platform.changes(0)
	listed.Changed[0].Name = "gone"
	read := func(ticks int) {
		for range ticks {
			m.now = m.now.Add(100 * time.Millisecond)
			step := s.NextReadStep(m.now)
			if step.Kind == StepChanges && step.After == 0 {
				s.HandleChanges(m.now, step, m.now, listed, nil)
			} else if step.Kind != StepWait {
				m.platform.answerStep(step, m.now)(m.now, s)
			}
		}
	}
	read(1000)
	if s.store.Revision(IndexName) == 0 || refused != 1 || s.unreadCount() != 0 {
		t.Fatalf("index at %d, refused %d times, %d unread", s.store.Revision(IndexName), refused, s.unreadCount())
	}
	m.platform.versions["gone"] = []platform.Value{{Name: "gone", Revision: listed.Changed[0].Revision}}
	read(1000)
	if s.store.Revision("gone") == 0 {
		t.Fatal("a value that the platform supplies again was not read")
	}
}

// Guards against a daemon that waits forever for a value that a peer offered and whose message was
// lost.
func TestLostPushIsRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 7).Draw(t, "n"), rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		m.run(t, 20*time.Second)
		m.platform.down = true
		source := m.daemons[0]
		source.syncer.Receive(m.now, SourcePlatform, []Value{{Revision: Revision{Name: "contracts/000", Number: 9}, Data: compress.Pack([]byte("new"))}})
		offer, _ := source.syncer.store.Get("contracts/000")
		for _, d := range m.daemons[1:] {
			if wanted := d.syncer.WantedOffers(m.now, source.vm.ID, []Revision{offer.Revision}); len(wanted) != 1 {
				t.Fatalf("%s wants %v", d.vm.ID, wanted)
			}
			if wanted := d.syncer.WantedOffers(m.now, "another", []Revision{offer.Revision}); len(wanted) != 0 {
				t.Fatalf("%s wants %v twice", d.vm.ID, wanted)
			}
		}
		m.run(t, 40*time.Second)
		for _, d := range m.daemons {
			if got := d.syncer.InForce("contracts/000"); got != 9 {
				t.Fatalf("%s has revision %d in force", d.vm.ID, got)
			}
		}
	})
}
