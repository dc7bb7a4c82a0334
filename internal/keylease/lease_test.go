package keylease

import (
	"testing"
	"time"
)

// Guards against a confirmation that becomes younger on its way: because the clocks run apart for as
// long as a ping is used, because a ping was of a daemon that has been restarted since, or because a
// clock stood still.
func TestLocalizedMomentIsNeverTooLate(t *testing.T) {
	const own, other = 10 * time.Hour, 3 * time.Hour // the readings when the ping is sent and received
	for _, c := range []struct {
		name string
		// pings are added in turn, ten seconds apart.
		pings []Ping
		clock uint64
		at    time.Duration
		now   time.Duration
		ok    bool
		// latest is the latest moment that is safe.
		latest time.Duration
	}{
		{"just after the ping", []Ping{{own, other, own + 1, 1}}, 1, other, own + time.Second, true, own},
		// The other clock is fast by 0.5% and the own one slow by 0.5%.
		{"after 50 s", []Ping{{own, other, own + 1, 1}}, 1, other + 50*time.Second, own + 50*time.Second, true, own + 50*time.Second*99/100},
		{"before the ping", []Ping{{own, other, own + 1, 1}}, 1, other - 50*time.Second, own + time.Second, true, own - 50*time.Second*101/100},
		{"ping too old", []Ping{{own, other, own + 1, 1}}, 1, other + 61*time.Second, own + 61*time.Second, false, 0},
		{"restarted since", []Ping{{own, other, own + 1, 1}}, 2, other, own + time.Second, false, 0},
		{"no ping", nil, 1, other, own, false, 0},
		// The own clock stood still for 3 s after the first ping: the second shows that.
		{"own clock stood still", []Ping{{own, other, own + 1, 1}, {own + 7*time.Second, other + 10*time.Second, own + 7*time.Second + 1, 1}}, 1, other + 10*time.Second, own + 8*time.Second, true, own + 7*time.Second},
		{"in the future", []Ping{{own, other, own + 1, 1}}, 1, other + 5*time.Second, own + 3*time.Second, false, 0},
	} {
		var p Pings
		for _, ping := range c.pings {
			p.Add(ping)
		}
		at, ok := p.Localize(c.now, c.clock, c.at)
		if ok != c.ok || ok && at > c.latest {
			t.Errorf("%s: %v (%v), want at most %v (%v)", c.name, at, ok, c.latest, c.ok)
		}
		if ok && at < c.latest-time.Second {
			t.Errorf("%s: %v, which is much older than %v", c.name, at, c.latest)
		}
	}
}

// Guards against a ping that was delayed on its way and makes all confirmations older until the next
// one.
func TestDelayedPingIsOfNoHarm(t *testing.T) {
	var p Pings
	p.Add(Ping{Sent: 100 * time.Second, Received: 7 * time.Second, Answered: 101 * time.Second, Clock: 1})
	p.Add(Ping{Sent: 105 * time.Second, Received: 13 * time.Second, Answered: 107 * time.Second, Clock: 1})
	if at, ok := p.Localize(108*time.Second, 1, 13*time.Second); !ok || at < 105900*time.Millisecond {
		t.Errorf("%v (%v)", at, ok)
	}
}

// Guards against a lease that counts a confirmation before its configuration is in force, that never
// counts one because each configuration is replaced before it can be fetched, or that lasts too long.
func TestLeaseCountsConfirmationsInForce(t *testing.T) {
	now, inForce := time.Hour, uint64(0)
	l := New(func() time.Duration { return now }, 5*time.Second, func() uint64 { return inForce })
	if l.Fresh() || l.Confirmed() || l.Age() < 1000*time.Hour {
		t.Error("fresh without a confirmation")
	}
	for i := range uint64(100) { // more than are kept
		l.Offer(Confirmation{now + time.Duration(i)*time.Millisecond - time.Second, i + 1})
	}
	if l.Fresh() {
		t.Error("fresh without the configuration in force")
	}
	inForce = 7
	if l.Adopt(); !l.Fresh() || l.Latest() != (Confirmation{now + 6*time.Millisecond - time.Second, 7}) {
		t.Errorf("with configuration 7: %v", l.Latest())
	}
	l.Offer(Confirmation{now + 1, 7})
	if l.Latest().At > now {
		t.Error("a moment in the future was taken")
	}
	now += 4 * time.Second
	if l.Fresh() {
		t.Errorf("fresh %v after the confirmation", l.Age())
	}
	l.Offer(Confirmation{now, 8})
	if l.Fresh() {
		t.Error("fresh with a configuration that is not the newest one")
	}
}

// Guards against a clock that stands still or jumps back to the start of the process.
func TestBootClockGoesOn(t *testing.T) {
	before := BootClock()
	time.Sleep(time.Millisecond)
	if after := BootClock(); before <= 0 || after-before < time.Millisecond {
		t.Errorf("%v, then %v", before, after)
	}
}
