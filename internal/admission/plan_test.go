package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against requests that ask all homes in turn under load, and against a wait at another home
// than the one with the shortest queue.
func TestPlanStaysAtShortestQueue(t *testing.T) {
	now := time.Now()
	p := NewPlan(now, at(now, 1, 2*time.Second, 9*time.Second), time.Second)
	p.Refused(now, "a", Full, 700*time.Millisecond)
	if p.Action() != Try || p.Backend() != "" {
		t.Fatalf("after one full home: action %d at %q", p.Action(), p.Backend())
	}
	p.Refused(now, "b", Full, 300*time.Millisecond)
	if wait, brief := p.Patience(now); p.Action() != Stay || p.Backend() != "b" || brief || wait != maxStay {
		t.Fatalf("after two full homes: action %d at %q for %v", p.Action(), p.Backend(), wait)
	}
	later := now.Add(maxStay)
	p.Refused(later, "b", Full, 200*time.Millisecond)
	if p.Action() != Stay || p.Backend() != "b" {
		t.Errorf("after a stay that its bound ended: action %d at %q", p.Action(), p.Backend())
	}
	p.Refused(later, "b", Full, time.Minute)
	if p.Action() != Refuse {
		t.Errorf("with a wait beyond the deadline: action %d", p.Action())
	}
}

// Guards against work of others that is destroyed at a server which almost certainly fails it, while
// a sound one serves it before its deadline.
func TestPlanWeighsInsisting(t *testing.T) {
	now := time.Now()
	const goal, deadline = 500 * time.Millisecond, 2 * time.Second
	for _, c := range []struct {
		name  string
		inner bool
		// full and wait are the number of full homes and the wait that they name.
		full int
		wait time.Duration
		want Action
	}{
		{"a call that is served in time", true, 1, 100 * time.Millisecond, Stay},
		{"a call that is served late", true, 1, time.Second, Stay},
		{"a call that is not served", true, 1, 3 * time.Second, Insist},
		{"a call with only suspect servers", true, 0, 0, Pause},
		{"new work that is served in time", false, 1, 100 * time.Millisecond, Stay},
		{"new work that is served late", false, 1, time.Second, Insist},
		{"new work with only suspect servers", false, 0, 0, Insist},
	} {
		r := at(now, 1, goal, deadline)
		r.Inner = c.inner
		p := NewPlan(now, r, time.Second)
		p.Refused(now, "s", Suspect, 0)
		for range c.full {
			p.Refused(now, "f", Full, c.wait)
		}
		p.Exhausted(now)
		if p.Action() != c.want {
			t.Errorf("%s: action %d, want %d", c.name, p.Action(), c.want)
		}
		if p.Action() == Insist && (p.MaxGray(false) >= p.MaxGray(true) || p.MaxGray(true) >= 1) {
			t.Errorf("%s: goes to servers that are gray with probability %v and %v", c.name, p.MaxGray(false), p.MaxGray(true))
		}
	}
}

// Guards against requests without any server that wait on or ask again without a pause.
func TestPlanEnds(t *testing.T) {
	start := time.Now()
	now := start
	p := NewPlan(now, at(now, 1, 2*time.Second, 9*time.Second), time.Second)
	rounds := 0
	for p.Action() != Refuse {
		p.Refused(now, "s", Suspect, 0)
		p.Exhausted(now)
		if p.Action() == Pause {
			rounds++
			now = now.Add(p.Again(now))
		}
	}
	if waited := now.Sub(start); waited < time.Second || waited > 2*time.Second || rounds > 8 {
		t.Errorf("refused after %v and %d rounds", waited, rounds)
	}
}

// Guards against callers that are told to come back later than they do, all at once, or while there is
// no room.
func TestPlanTellsWhenToComeBack(t *testing.T) {
	now, random := time.Now(), rand.New(rand.NewPCG(1, 2))
	const left = 9 * time.Second
	for _, wait := range []time.Duration{0, 10 * time.Millisecond, time.Second, 2900 * time.Millisecond, 4 * time.Second} {
		p := NewPlan(now, at(now, 1, left, left), time.Second)
		p.Refused(now, "a", Full, wait)
		least, most := time.Hour, time.Duration(0)
		for range 200 {
			after := p.ComeBack(now, random)
			if after > left/3 || after != 0 && after < wait {
				t.Errorf("wait %v: told %v", wait, after)
			}
			least, most = min(least, after), max(most, after)
		}
		if wait == 4*time.Second && most != 0 {
			t.Errorf("told %v although there is room after %v", most, wait)
		}
		if wait == time.Second && (least == 0 || most < least*5/4) {
			t.Errorf("wait %v: told %v to %v", wait, least, most)
		}
	}
}
