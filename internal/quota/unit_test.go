package quota

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// oneHolder returns a holder of all parts, which has been one for a minute, and its plan.
func oneHolder(active func() bool) (*Holder, *Plan) {
	p := NewPlan([]string{"a"}, []Daemon{{"vm0", "a", "vm0:1"}})
	h := NewHolder(origin.Add(-time.Minute), "vm0", "a", platformBounds, active)
	h.SetPlan(origin.Add(-time.Minute), p)
	return h, p
}

func always() bool { return true }

func takerOf(p *Plan) *Taker {
	t := NewTaker(origin, "entry", p.regions[0], platformBounds)
	t.SetPlan(p)
	return t
}

// Guards against a token that is used more than 1 s after it was asked for, because its holder was
// paused.
func TestLateAnswerIsNoToken(t *testing.T) {
	for after, want := range map[time.Duration]Decision{tokenLife: Admitted, tokenLife + 1: Unreachable} {
		_, p := oneHolder(always)
		k := takerOf(p)
		var a Attempt
		if d := k.Take(origin, "o", Limits{5, 5}, &a); d != AskHolder {
			t.Fatalf("decision %d", d)
		}
		if d := k.Answered(origin.Add(after), &a, Answer{Status: Granted, Tokens: 1, Epoch: 1}, true); d != want {
			t.Errorf("decision %d after %v, want %d", d, after, want)
		}
	}
}

// Guards against requests that each wait for a holder that does not answer, against a holder that is
// given up for good, and against a refusal without a time to come back.
func TestSilentHolderCostsOnlyItsPart(t *testing.T) {
	p := NewPlan([]string{"a", "b"}, []Daemon{{"vm0", "a", "vm0:1"}, {"vm1", "b", "vm1:1"}})
	k := takerOf(p)
	grant := Answer{Status: Granted, Tokens: 1, Epoch: 1}
	var a Attempt
	if d := k.Take(origin, "o", Limits{5, 5}, &a); d != AskHolder || a.VM != "vm0" || a.Far {
		t.Fatalf("decision %d, asks %s", d, a.VM)
	}
	if d := k.Answered(origin.Add(NearTimeout), &a, Answer{}, false); d != AskHolder || a.VM != "vm1" || !a.Far {
		t.Fatalf("decision %d, asks %s", d, a.VM)
	}
	if d := k.Answered(origin.Add(NearTimeout+FarTimeout), &a, Answer{}, false); d != Unreachable || a.RetryAfter <= 0 {
		t.Errorf("decision %d, %v", d, a.RetryAfter)
	}
	var b Attempt
	if d := k.Take(origin.Add(time.Second), "other", Limits{5, 5}, &b); d != Unreachable {
		t.Errorf("decision %d in the pause", d)
	}
	var c Attempt
	if d := k.Take(origin.Add(NearTimeout+silencePause), "o", Limits{5, 5}, &c); d != AskHolder || c.VM != "vm0" {
		t.Errorf("decision %d after the pause, asks %s", d, c.VM)
	}
	if d := k.Answered(origin.Add(NearTimeout+silencePause), &c, grant, true); d != Admitted {
		t.Errorf("decision %d", d)
	}
}

// Guards against a daemon that grants although others may hold its parts by now, and against one that
// grants parts of others.
func TestOnlyTheHolderGrants(t *testing.T) {
	active := false
	h, _ := oneHolder(func() bool { return active })
	ask := Ask{Organisation: "o", Want: 1}
	if got := h.Take(origin, &ask, Limits{5, 5}).Status; got != NotHolder {
		t.Errorf("status %d without contact", got)
	}
	active = true
	if got := h.Take(origin, &ask, Limits{5, 5}).Status; got != Granted {
		t.Errorf("status %d with contact", got)
	}
	for _, ask := range []Ask{{Organisation: "o", Want: 1, Part: 1}, {Organisation: "o", Want: 1, Part: maxRegionParts}} {
		if got := h.Take(origin, &ask, Limits{5, 5}).Status; got != NotHolder {
			t.Errorf("status %d for part %d of 1", got, ask.Part)
		}
	}
	h.SetPlan(origin, NewPlan([]string{"a"}, []Daemon{{"vm1", "a", ""}}))
	if got := h.Take(origin, &ask, Limits{5, 5}).Status; got != NotHolder {
		t.Errorf("status %d after another daemon took over", got)
	}
}

// grantsUntil asks a holder every millisecond and returns how many tokens it granted.
func grantsUntil(h *Holder, from, until time.Duration, l Limits) (granted int) {
	for at := from; at < until; at += time.Millisecond {
		granted += h.Take(origin.Add(at), &Ask{Organisation: "o", Want: 1}, l).Tokens
	}
	return granted
}

// Guards against a lowered limit that takes longer than a window to be binding, and against a raised one
// that is not used at once.
func TestChangedLimits(t *testing.T) {
	high, low := Limits{20, 20}, Limits{2, 2}
	d := platformBounds.divide(low, 1)
	h, _ := oneHolder(always)
	grantsUntil(h, 0, 3*time.Second, high)
	if got, bound := grantsUntil(h, 3*time.Second, 8*time.Second, low), int(2*5+d.burst); got > bound || got < 2*5 {
		t.Errorf("%d tokens in the window after the limit was lowered, want 10 to %d", got, bound)
	}
	if got := grantsUntil(h, 8*time.Second, 10*time.Second, high); got < 39 {
		t.Errorf("%d tokens in 2 s after the limit was raised to 20 a second", got)
	}
	if got := grantsUntil(h, 10*time.Second, 11*time.Second, Limits{-1, 5}); got != 0 {
		t.Errorf("%d tokens with a limit that cannot be read", got)
	}
}

// Guards against refused callers that return together, or that find no token at the time that they were
// told, and against an account of them that grows.
func TestRefusedComeBackSpreadOut(t *testing.T) {
	h, _ := oneHolder(always)
	l := Limits{10, 1}
	ask := Ask{Organisation: "o", Want: 1}
	for h.Take(origin, &ask, l).Status == Granted {
	}
	var places []time.Duration
	for range 40 {
		places = append(places, h.Take(origin, &ask, l).Wait)
	}
	for i, at := range places {
		if i > 0 && at-places[i-1] < 99*time.Millisecond {
			t.Fatalf("places %v and %v", places[i-1], at)
		}
		if got := h.Take(origin.Add(at), &ask, l); got.Status != Granted {
			t.Fatalf("the entry of place %v got status %d", at, got.Status)
		}
	}
	seen := map[time.Duration]int{}
	for range 1000 {
		wait := h.Take(origin.Add(places[39]), &ask, l).Wait
		if seen[wait/(100*time.Millisecond)]++; wait > platformBounds.Window {
			t.Fatalf("an entry was told to come back after %v", wait)
		}
	}
	for _, n := range seen {
		if n > 60 {
			t.Errorf("%d of 1000 entries were told to come back in the same tenth of a second", n)
		}
	}
}

// Guards against an organisation that loses quota by tokens that no request used, and by those whose
// requests were refused for another reason.
func TestUnusedTokensComeBack(t *testing.T) {
	h, p := oneHolder(always)
	k := takerOf(p)
	l := Limits{20, 20}
	take := func(at time.Duration) Attempt {
		var a Attempt
		if k.Take(origin.Add(at), "o", l, &a) == AskHolder {
			if d := k.Answered(origin.Add(at), &a, h.Take(origin.Add(at), &a.Ask, l), true); d != Admitted {
				t.Fatalf("decision %d", d)
			}
		}
		return a
	}
	for range 20 {
		take(0)
	}
	for range 20 {
		k.Release(origin.Add(500*time.Millisecond), "o", false)
	}
	asks := k.Stats().Asks
	for range 20 {
		take(600 * time.Millisecond)
	}
	if got := k.Stats().Asks; got != asks {
		t.Errorf("%d asks although there were tokens at hand", got-asks)
	}
	for range 20 {
		k.Release(origin.Add(3*time.Second), "o", false)
	}
	// A request that ends before it asks returns nothing yet.
	var left Attempt
	if d := k.Take(origin.Add(3*time.Second), "o", l, &left); d != AskHolder || len(left.Ask.Returns) == 0 {
		t.Fatalf("decision %d, returns %v", d, left.Ask.Returns)
	}
	k.Withdraw(&left)
	b := h.buckets[partKey{"o", 0}]
	before := b.grants
	a := take(3 * time.Second)
	if len(a.Ask.Returns) == 0 || before-b.grants < 18 {
		t.Errorf("returns %v; %d grants counted before, %d after", a.Ask.Returns, before, b.grants)
	}
}

// Guards against an organisation far above its limit that costs a message for each refused request. A
// message may bring each token, and for each part one refusal in each maxBlock, or one between two
// tokens if these are closer.
func TestHotOrganisationCostsFewMessages(t *testing.T) {
	for rate, bound := range map[float64]int{5: 5 + 3*2, 126: 126 + 9*14} {
		s := newSimulation(97, threeRegions, 5)
		s.limits["hot"] = Limits{rate, rate}
		s.traffic("hot", 3.6*rate, 20*time.Second, func() *simulatedDaemon { return s.daemons[0] })
		s.run(21 * time.Second)
		t.Logf("rate %v: %d admitted, %d refused, %d messages", rate, s.admitted["hot"], s.refused["hot"], s.messages)
		if s.messages > 20*bound {
			t.Errorf("%d messages in 20 s, the bound is %d a second", s.messages, bound)
		}
		if got := float64(s.admitted["hot"]); got < 0.95*rate*20 {
			t.Errorf("%v requests admitted, the limit allows %v", got, rate*20)
		}
	}
}

// Guards against a daemon that joins or leaves and moves parts between others.
func TestPartsMoveOnlyToOrFromTheDaemonThatChanged(t *testing.T) {
	var daemons []Daemon
	for i := range 50 {
		daemons = append(daemons, Daemon{VM: fmt.Sprint("vm", i), Region: "a"})
	}
	before, after := NewPlan([]string{"a"}, daemons[:49]), NewPlan([]string{"a"}, daemons)
	moved := 0
	for i := range 5000 {
		name := fmt.Sprint("o", i/5)
		from, to := before.Holder("a", name, i%5), after.Holder("a", name, i%5)
		if from != to {
			if moved++; to != "vm49" {
				t.Fatalf("part %d of %s moved from %s to %s", i%5, name, from, to)
			}
		}
	}
	if moved < 60 || moved > 150 {
		t.Errorf("%d of 5000 parts moved to one of 50 daemons", moved)
	}
}

// FuzzMessages guards against messages that crash a daemon, or that change when they are passed on.
func FuzzMessages(f *testing.F) {
	ask := Ask{Organisation: "o", Part: 3, Want: 2, Epoch: 9, Returns: []Return{{1, 2}}}
	f.Add(ask.Append(nil))
	for _, a := range []Answer{{Status: Granted, Tokens: 2, Epoch: 7, Stamp: 300}, {Status: Refused, Wait: time.Second, Free: time.Millisecond}, {}} {
		f.Add(a.Append(nil))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, err := DecodeAsk(data); err == nil {
			if again, err := DecodeAsk(a.Append(nil)); err != nil || !reflect.DeepEqual(a, again) {
				t.Errorf("%+v became %+v, %v", a, again, err)
			}
			h, _ := oneHolder(always)
			h.Take(origin, &a, Limits{5, 5})
		}
		if a, err := DecodeAnswer(data); err == nil {
			if again, err := DecodeAnswer(a.Append(nil)); err != nil || a != again {
				t.Errorf("%+v became %+v, %v", a, again, err)
			}
		}
	})
}
