package configsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkInvariants checks what must hold for every process at every moment.
func (m *model) checkInvariants(t *rapid.T) {
	if m.documents {
		m.checkDocuments(t)
	}
	for _, d := range m.daemons {
		for _, r := range d.syncer.store.Revisions() {
			if r.Number < d.highestHeld[r.Name] {
				t.Fatalf("%s holds %s at %d after %d", d.vm.ID, r.Name, r.Number, d.highestHeld[r.Name])
			}
			d.highestHeld[r.Name] = r.Number
			inForce := d.syncer.InForce(r.Name)
			if inForce < d.highestInForce[r.Name] || inForce > r.Number {
				t.Fatalf("%s has %s in force at %d after %d, held %d", d.vm.ID, r.Name, inForce, d.highestInForce[r.Name], r.Number)
			}
			d.highestInForce[r.Name] = inForce
		}
		if len(d.highestHeld) != len(d.syncer.store.Revisions()) {
			t.Fatalf("%s lost a value", d.vm.ID)
		}
		if ready, _ := d.syncer.Ready(m.now); ready && !d.ready {
			d.ready = true
			for name, revision := range d.startRevisions {
				if d.syncer.InForce(name) < revision && d.syncer.refused[name].revision < revision {
					t.Fatalf("%s serves %s at %d, a peer asked at the start held %d", d.vm.ID, name, d.syncer.InForce(name), revision)
				}
			}
			for _, name := range []string{IndexName, VMsName, "contracts/000", "contracts/001"} {
				if d.syncer.InForce(name) == 0 {
					t.Fatalf("%s serves without %s", d.vm.ID, name)
				}
			}
		}
	}
}

// heal ends all faults but those of the platform.
func (m *model) heal() {
	clear(m.blocked)
	for _, d := range m.daemons {
		d.paused = false
	}
}

// run lets all daemons work for a duration, in steps of 200 ms, and delivers every message at once.
func (m *model) run(t *rapid.T, duration time.Duration) {
	for end := m.now.Add(duration); m.now.Before(end); m.now = m.now.Add(200 * time.Millisecond) {
		for _, d := range m.daemons {
			m.read(d)
			m.exchange(d)
			m.push(d)
			m.apply(d)
		}
		for len(m.packets) > 0 {
			m.deliver(0, false)
		}
		m.checkInvariants(t)
	}
}

// Guards against a process that goes back to a lower revision, or serves something older than a
// peer it asked at its start, and against a fleet that does not converge after arbitrary faults of
// network, platform and processes: first without the platform, then with it.
func TestFleetNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 7).Draw(t, "n"), rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		restored := false
		content := 0
		pick := func(t *rapid.T) *daemon { return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")] }
		index := func(t *rapid.T, n int) int {
			if n == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, n-1).Draw(t, "message")
		}
		work := func(t *rapid.T) {
			d := pick(t)
			m.read(d)
			m.exchange(d)
			m.push(d)
			m.apply(d)
		}
		deliver := func(t *rapid.T) { m.deliver(index(t, len(m.packets)), false) }
		t.Repeat(map[string]func(*rapid.T){
			"work": work, "work more": work, "work most": work,
			"deliver": deliver, "deliver more": deliver, "deliver most": deliver,
			"deliver all": func(*rapid.T) {
				for len(m.packets) > 0 {
					m.deliver(0, false)
				}
			},
			"lose":   func(t *rapid.T) { m.deliver(index(t, len(m.packets)), true) },
			"repeat": func(t *rapid.T) { m.duplicates[index(t, len(m.duplicates))].arrive() },
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"change": func(t *rapid.T) {
				content++
				m.platform.put(fmt.Sprintf("contracts/%03d", rapid.IntRange(0, 1).Draw(t, "bucket")), fmt.Sprint(content))
			},
			"platform down":  func(t *rapid.T) { m.platform.down = rapid.Bool().Draw(t, "down") },
			"platform stale": func(t *rapid.T) { m.platform.visibleUpTo = rapid.Uint64Range(0, m.platform.revision).Draw(t, "upTo") },
			"platform restored": func(t *rapid.T) {
				if back := rapid.Uint64Range(0, 6).Draw(t, "back"); back == 6 && m.platform.revision > 6 {
					restored = true
					m.platform.restore(rapid.Uint64Range(4, m.platform.revision).Draw(t, "revision"))
				}
			},
			"restart": func(t *rapid.T) { m.restart(pick(t)) },
			"pause":   func(t *rapid.T) { d := pick(t); d.paused = !d.paused },
			"block": func(t *rapid.T) {
				pair := [2]*daemon{pick(t), pick(t)}
				m.blocked[pair] = !m.blocked[pair]
			},
			"": func(t *rapid.T) { m.checkInvariants(t) },
		})
		for len(m.packets) > 0 {
			m.deliver(0, true)
		}
		highest := map[string]uint64{}
		for _, d := range m.daemons {
			for _, r := range d.syncer.store.Revisions() {
				highest[r.Name] = max(highest[r.Name], r.Number)
			}
		}
		m.heal()
		m.platform.down = true
		m.run(t, 40*time.Second)
		for _, d := range m.daemons {
			for name, want := range highest {
				if got := d.syncer.InForce(name); got != want {
					t.Fatalf("%s has %s in force at %d without the platform, want %d", d.vm.ID, name, got, want)
				}
			}
		}
		m.platform.down, m.platform.visibleUpTo = false, 0
		m.run(t, 2*time.Minute)
		for _, d := range m.daemons {
			if ready, reason := d.syncer.Ready(m.now); !ready {
				t.Fatalf("%s is not ready: %s", d.vm.ID, reason)
			}
			// After a restore two contents can share a revision. Then only the revisions must agree.
			if !restored && d.syncer.store.Digest() != m.daemons[0].syncer.store.Digest() {
				t.Fatalf("%s holds %v, %s holds %v", d.vm.ID, d.syncer.store.Revisions(), m.daemons[0].vm.ID, m.daemons[0].syncer.store.Revisions())
			}
			for name := range m.platform.versions {
				want := max(highest[name], m.platform.latest(name).Revision)
				if got := d.syncer.InForce(name); got != want {
					t.Fatalf("%s has %s in force at %d, want %d", d.vm.ID, name, got, want)
				}
			}
		}
	})
}
