package keylease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

const (
	modelLimit = 5 * time.Second
	// modelRates is by how many millionths a clock may run too fast or too slow.
	modelRates = 5000
)

// model is a fleet of daemons whose messages are delayed at will: a paused daemon, a link that is cut
// and a buffer that is full are delays. Times are true times unless they are named otherwise.
type model struct {
	now   time.Duration
	store modelStore
	nodes []*modelNode
	// inFlight are messages that have yet to arrive.
	inFlight []func()
	// trusted counts the checks at which a daemon trusted keys, replaced those at which its
	// configuration was not the newest one.
	trusted, replaced int
}

// modelStore holds the moments at which the configurations were acknowledged. The first one has the
// revision 1.
type modelStore struct{ acknowledged []time.Duration }

func (s *modelStore) revision() uint64 { return uint64(len(s.acknowledged)) }

// modelNode is a daemon.
type modelNode struct {
	m    *model
	base time.Duration
	// rate is that of the clock in millionths above the true one.
	rate int64

	// The rest is lost with a restart. incarnation identifies the clock.
	incarnation uint64
	lease       *Lease
	// known is the revision of the configuration, inForce that of the published one.
	known, inForce uint64
	pings          map[*modelNode]*Pings
}

func (n *modelNode) clock() time.Duration {
	return n.base + n.m.now + n.m.now*time.Duration(n.rate)/1_000_000
}

// restart starts the daemon anew, on a machine that was started anew too.
func (n *modelNode) restart(t *rapid.T) {
	n.incarnation++
	n.base = time.Duration(rapid.IntRange(0, 1000).Draw(t, "base")) * time.Hour
	n.known, n.inForce, n.pings = 0, 0, map[*modelNode]*Pings{}
	n.lease = New(n.clock, modelLimit, func() uint64 { return n.inForce })
}

// send delays a message to a daemon, which is lost if the daemon is restarted meanwhile.
func (n *modelNode) send(arrive func()) {
	incarnation := n.incarnation
	n.m.inFlight = append(n.m.inFlight, func() {
		if n.incarnation == incarnation {
			arrive()
		}
	})
}

// call makes a call to the store: a list, or a watch that waits for a configuration after the one that
// is known.
func (n *modelNode) call(t *rapid.T, list bool) {
	m, begin, after := n.m, n.clock(), n.known
	m.inFlight = append(m.inFlight, func() {
		// The call has arrived at the store.
		wait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
		storeRate := time.Duration(rapid.IntRange(-modelRates, modelRates).Draw(t, "store clock"))
		over := m.now + wait - wait*storeRate/1_000_000
		var answer func()
		answer = func() {
			revision := m.store.revision()
			empty := !list && revision <= after
			if empty && m.now < over {
				m.inFlight = append(m.inFlight, answer) // goes on waiting
				return
			}
			n.send(func() {
				at := begin
				if empty && n.clock()-begin >= Shorten(wait) {
					at += Shorten(wait)
				}
				n.learn(t, revision)
				n.lease.Offer(Confirmation{At: at, Configuration: n.known})
			})
		}
		m.inFlight = append(m.inFlight, answer)
	})
}

// learn takes a configuration, which comes into force at once or later.
func (n *modelNode) learn(t *rapid.T, revision uint64) {
	n.known = max(n.known, revision)
	if rapid.IntRange(0, 2).Draw(t, "publish") > 0 {
		n.publish()
	}
}

func (n *modelNode) publish() {
	n.inForce = n.known
	n.lease.Adopt()
}

// ping sends a ping to another daemon.
func (n *modelNode) ping(to *modelNode) {
	sent := n.clock()
	to.send(func() {
		received, clock := to.clock(), to.incarnation
		n.send(func() {
			if n.pings[to] == nil {
				n.pings[to] = &Pings{}
			}
			n.pings[to].Add(Ping{Sent: sent, Received: received, Answered: n.clock(), Clock: clock})
		})
	})
}

// status sends a status to a follower.
func (n *modelNode) status(to *modelNode) {
	c, clock := n.lease.Latest(), n.incarnation
	c.At = c.At.Truncate(time.Millisecond)
	to.send(func() {
		if to.pings[n] == nil || c.At == 0 {
			return
		}
		if at, ok := to.pings[n].Localize(to.clock(), clock, c.At); ok {
			to.lease.Offer(Confirmation{At: at, Configuration: c.Configuration})
		}
	})
}

// fetch sends the configuration of another daemon to this one.
func (n *modelNode) fetch(t *rapid.T, from *modelNode) {
	revision := from.known
	n.send(func() { n.learn(t, revision) })
}

func (m *model) check(t *rapid.T) {
	needed := uint64(0)
	for i, at := range m.store.acknowledged {
		if m.now-at >= modelLimit {
			needed = uint64(i + 1)
		}
	}
	for i, n := range m.nodes {
		if !n.lease.Fresh() {
			continue
		}
		m.trusted++
		if n.inForce < m.store.revision() {
			m.replaced++
		}
		if n.inForce < needed {
			t.Fatalf("daemon %d trusts the keys of configuration %d, %d was acknowledged %v ago", i, n.inForce, needed, m.now-m.store.acknowledged[needed-1])
		}
	}
}

// Guards against a daemon that trusts a revoked key later than the limit after the acknowledgement:
// whatever messages are delayed, in whatever order they arrive, whoever is paused or restarted, and
// however the clocks run.
func TestNoRevokedKeyIsTrustedForTooLong(t *testing.T) {
	trusted, replaced := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Hour}
		for range rapid.IntRange(2, 5).Draw(t, "daemons") {
			n := &modelNode{m: m, rate: int64(rapid.IntRange(-modelRates, modelRates).Draw(t, "rate"))}
			n.restart(t)
			m.nodes = append(m.nodes, n)
		}
		node := func(label string) *modelNode { return rapid.SampledFrom(m.nodes).Draw(t, label) }
		step := func(t *rapid.T, longest int) {
			m.now += time.Duration(rapid.IntRange(0, longest).Draw(t, "ms")) * time.Millisecond
		}
		deliver := func(t *rapid.T, i int) {
			arrive := m.inFlight[i]
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			arrive()
		}
		actions := map[string]func(*rapid.T){
			"configure": func(*rapid.T) { m.store.acknowledged = append(m.store.acknowledged, m.now) },
			"wait":      func(t *rapid.T) { step(t, 100) },
			"wait long": func(t *rapid.T) { step(t, 6000) },
			"list":      func(t *rapid.T) { node("daemon").call(t, true) },
			"watch":     func(t *rapid.T) { node("daemon").call(t, false) },
			"ping":      func(t *rapid.T) { node("daemon").ping(node("to")) },
			"status":    func(t *rapid.T) { node("daemon").status(node("to")) },
			"fetch":     func(t *rapid.T) { node("daemon").fetch(t, node("from")) },
			"publish":   func(t *rapid.T) { node("daemon").publish() },
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					node("daemon").restart(t)
				}
			},
			"": func(t *rapid.T) { m.check(t) },
		}
		for _, name := range []string{"deliver", "deliver 2", "deliver 3", "deliver 4"} {
			actions[name] = func(t *rapid.T) {
				if len(m.inFlight) > 0 {
					step(t, 10)
					deliver(t, rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message"))
				}
			}
		}
		actions["deliver all"] = func(t *rapid.T) {
			for range len(m.inFlight) {
				step(t, 10)
				deliver(t, 0)
			}
		}
		for range 12 { // a single one has a few dozen steps
			t.Repeat(actions)
		}
		trusted, replaced = trusted+m.trusted, replaced+m.replaced
	})
	// Otherwise the test would show nothing.
	if t.Logf("keys were trusted at %d checks, with a replaced configuration at %d", trusted, replaced); trusted < 100 || replaced < 10 {
		t.Errorf("keys were trusted at %d checks, with a replaced configuration at %d", trusted, replaced)
	}
}
