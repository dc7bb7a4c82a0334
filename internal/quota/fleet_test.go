package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// platformBounds are the bounds of the platform that the requirements name.
	platformBounds = Bounds{Window: 5 * time.Second, Excess: 0.25, Slack: 20}
	threeRegions   = []string{"a", "b", "c"}
)

// simulation runs the takers and holders of a fleet in virtual time over a network that may be cut.
type simulation struct {
	now     time.Duration
	events  eventQueue
	random  *rand.Rand
	daemons []*simulatedDaemon
	bounds  Bounds
	limits  map[string]Limits
	// sent holds the times at which requests that ran were admitted, by organisation.
	sent                           map[string][]time.Duration
	admitted, refused, unreachable map[string]int
	// contract holds one bucket for the whole fleet by organisation, and aboveContract counts the
	// requests that it has no token for.
	contract      map[string]*bucket
	aboveContract int
	messages      int
	notRunShare   float64
	cut           func(a, b *simulatedDaemon) bool
}

type simulatedDaemon struct {
	Daemon
	holder *Holder
	taker  *Taker
	// down is true while the process does not run. pausedUntil is the end of a pause.
	down        bool
	pausedUntil time.Duration
	// lastHeard is when the daemon last heard of the registry.
	lastHeard time.Duration
	isolated  bool
	process   int
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type eventQueue struct {
	list []event
	next int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].number < q.list[j].number
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(e any)    { q.list = append(q.list, e.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func newSimulation(daemons int, regions []string, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), bounds: platformBounds, limits: map[string]Limits{}, sent: map[string][]time.Duration{},
		admitted: map[string]int{}, refused: map[string]int{}, unreachable: map[string]int{}, contract: map[string]*bucket{}, cut: func(_, _ *simulatedDaemon) bool { return false },
	}
	for i := range daemons {
		s.daemons = append(s.daemons, &simulatedDaemon{Daemon: Daemon{VM: fmt.Sprint("vm", i), Region: regions[i%len(regions)]}})
	}
	for _, d := range s.daemons {
		s.start(d, regions)
	}
	s.setPlans(regions, func(*simulatedDaemon) bool { return true }, 0)
	s.sweep()
	return s
}

// sweep drops idle state every 4 s, as the daemon does, but all at once: the order of the map would make
// runs differ.
func (s *simulation) sweep() {
	for _, d := range s.daemons {
		for d.holder.Sweep(s.clock()); len(d.holder.sweeping) > 0; {
			d.holder.Sweep(s.clock())
		}
		for d.taker.Sweep(s.clock()); len(d.taker.sweeping) > 0; {
			d.taker.Sweep(s.clock())
		}
	}
	s.after(4*time.Second, s.sweep)
}

// organisations returns the organisations in a fixed order.
func (s *simulation) organisations() []string { return slices.Sorted(maps.Keys(s.limits)) }

func (s *simulation) clock() time.Time { return origin.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.events.next++
	heap.Push(&s.events, event{s.now + d, s.events.next, do})
}

func (s *simulation) run(until time.Duration) {
	for s.events.Len() > 0 && s.events.list[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// start starts the daemon's process with nothing remembered.
func (s *simulation) start(d *simulatedDaemon, regions []string) {
	d.process++
	d.down, d.lastHeard = false, s.now
	d.holder = NewHolder(s.clock(), d.VM, d.Region, s.bounds, func() bool { return !d.isolated || s.now-d.lastHeard < takeoverTime })
	d.taker = NewTaker(s.clock(), d.VM, d.Region, s.bounds)
}

// setPlans gives each daemon the plan of the listed daemons after a time of up to spread.
func (s *simulation) setPlans(regions []string, listed func(*simulatedDaemon) bool, spread time.Duration) {
	s.setPlansOf(s.daemons, regions, listed, spread)
}

func (s *simulation) setPlansOf(at []*simulatedDaemon, regions []string, listed func(*simulatedDaemon) bool, spread time.Duration) {
	var list []Daemon
	for _, d := range s.daemons {
		if listed(d) {
			list = append(list, d.Daemon)
		}
	}
	p := NewPlan(regions, list)
	for _, d := range at {
		set := func() {
			if !d.isolated {
				d.holder.SetPlan(s.clock(), p)
				d.taker.SetPlan(p)
			}
		}
		if spread == 0 {
			set()
		} else {
			s.after(time.Duration(s.random.Int64N(int64(spread))), set)
		}
	}
}

// traffic sends requests of an organisation at a rate, at random times and daemons.
func (s *simulation) traffic(organisation string, rate float64, until time.Duration, at func() *simulatedDaemon) {
	if s.now < until {
		s.request(at(), organisation)
		s.after(seconds(s.random.ExpFloat64()/rate), func() { s.traffic(organisation, rate, until, at) })
	}
}

func (s *simulation) anyDaemon() *simulatedDaemon { return s.daemons[s.random.IntN(len(s.daemons))] }

func (s *simulation) request(d *simulatedDaemon, organisation string) {
	if d.down || d.pausedUntil > s.now {
		return
	}
	s.countAgainstContract(organisation)
	a := &Attempt{}
	s.proceed(d, organisation, a, d.taker.Take(s.clock(), organisation, s.limits[organisation], a))
}

func (s *simulation) countAgainstContract(organisation string) {
	b := s.contract[organisation]
	if b == nil {
		l := s.limits[organisation]
		b = &bucket{level: l.Burst, at: s.now, moved: 1, division: division{rate: l.Rate, burst: l.Burst, history: time.Hour, maxGrants: 1e6}}
		b.slot = b.slotAt(s.now)
		s.contract[organisation] = b
	}
	if b.advance(s.now); b.take(1) == 0 {
		s.aboveContract++
	}
}

func (s *simulation) proceed(d *simulatedDaemon, organisation string, a *Attempt, decision Decision) {
	switch decision {
	case Admitted:
		s.admitted[organisation]++
		ran := s.random.Float64() >= s.notRunShare
		if ran {
			s.sent[organisation] = append(s.sent[organisation], s.now)
		}
		process := d.process
		s.after(time.Duration(s.random.Int64N(int64(2*time.Second))), func() {
			if process == d.process {
				d.taker.Release(s.clock(), organisation, ran)
			}
		})
	case Limited:
		s.refused[organisation]++
	case Unreachable:
		s.unreachable[organisation]++
	case AskHolder:
		s.ask(d, organisation, a)
	}
}

// ask carries one ask and its answer over the network.
func (s *simulation) ask(d *simulatedDaemon, organisation string, a *Attempt) {
	s.messages++
	to := s.daemons[slices.IndexFunc(s.daemons, func(o *simulatedDaemon) bool { return o.VM == a.VM })]
	process, done := d.process, false
	finish := func(answer Answer, answered bool) {
		if !done && process == d.process && d.pausedUntil <= s.now {
			done = true
			s.proceed(d, organisation, a, d.taker.Answered(s.clock(), a, answer, answered))
		}
	}
	delay, timeout := 900*time.Microsecond, NearTimeout
	if a.Far {
		delay, timeout = 20*time.Millisecond, FarTimeout
	}
	s.after(timeout, func() { finish(Answer{}, false) })
	if s.cut(d, to) {
		return
	}
	ask, err := DecodeAsk(a.Ask.Append(nil))
	if err != nil {
		panic(err)
	}
	s.after(delay, func() { s.handle(to, ask, func(answer Answer) { s.after(delay, func() { finish(answer, true) }) }) })
}

// handle has a holder answer, after its pause if it is in one.
func (s *simulation) handle(to *simulatedDaemon, ask Ask, reply func(Answer)) {
	switch {
	case to.down:
	case to.pausedUntil > s.now:
		s.after(to.pausedUntil-s.now, func() { s.handle(to, ask, reply) })
	default:
		answer := to.holder.Take(s.clock(), &ask, s.limits[ask.Organisation])
		decoded, err := DecodeAnswer(answer.Append(nil))
		if err != nil {
			panic(err)
		}
		reply(decoded)
	}
}

// checkWindows reports the organisations that exceeded the bound in any window.
func (s *simulation) checkWindows(t *testing.T) {
	t.Helper()
	for organisation, times := range s.sent {
		l := s.limits[organisation]
		bound := int((l.Rate*s.bounds.Window.Seconds()+l.Burst)*(1+s.bounds.Excess) + s.bounds.Slack)
		most := mostInWindow(times, s.bounds.Window)
		t.Logf("%s: rate %v, burst %v: at most %d of %d in a window, %d admitted, %d refused, %d without an answer, %d messages in all",
			organisation, l.Rate, l.Burst, most, bound, s.admitted[organisation], s.refused[organisation], s.unreachable[organisation], s.messages)
		if most > bound {
			t.Errorf("%s: %d requests in a window, the bound is %d", organisation, most, bound)
		}
	}
}

func mostInWindow(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
