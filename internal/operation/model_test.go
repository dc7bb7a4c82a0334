package operation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// The defaults of rapid, 100 checks of 30 steps, are too few: it takes about 10 suitable steps
// until the memory removes a key.
func init() {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const modelKeyLife = 20 * time.Second

// process is one incarnation of a daemon. A replaced process may still run, because it was cut off
// and not stopped.
type process struct {
	memory      *Memory
	owner       string
	incarnation uint64
	clockOffset time.Duration
	paused      bool
	runs        []*run
}

// run is a run that a process has begun.
type run struct {
	forward  *forward
	ticket   Ticket
	executed bool
}

// forward is one message of an attempt, from an entry to a process on the VM that the key names.
type forward struct {
	attempt *attempt
	// pending is true until the message is delivered or lost.
	pending bool
	outcome errkind.Outcome
}

// attempt is one request of a caller at an entry.
type attempt struct {
	request    Request
	forwards   []*forward
	toldNotRun bool
	closed     bool
}

// fleetModel is a fleet whose messages are lost, late or repeated, and whose processes are killed,
// replaced, paused or cut off. Clocks differ and step, and the entries' view of incarnations may be
// outdated.
type fleetModel struct {
	now        time.Time
	processes  []*process
	attempts   []*attempt
	pending    []*forward
	keys       []Key
	executions map[Key]int
	nextID     uint64
}

var modelOwners = []string{"vm0", "vm1"}

func newFleetModel() *fleetModel {
	m := &fleetModel{now: testTime, executions: map[Key]int{}}
	for _, o := range modelOwners {
		m.startProcess(o)
	}
	return m
}

func (m *fleetModel) startProcess(owner string) {
	m.nextID++
	opts := Options{KeyLife: modelKeyLife, MaxSkew: 5 * time.Second, MinRetention: time.Second, MaxEntries: 4, CustomerPercent: 75}
	m.processes = append(m.processes, &process{memory: NewMemory(owner, m.nextID, opts), owner: owner, incarnation: m.nextID})
}

// pick draws one item. Actions without an item do nothing, because rapid ends a sequence early when
// many actions are skipped.
func pick[T any](t *rapid.T, from []T, label string) (item T, ok bool) {
	if len(from) == 0 {
		return item, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, label)], true
}

func seconds(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low*2, high*2).Draw(t, label)) * time.Second / 2
}

// issueKey issues a key at an entry. The entry has its own clock, and the incarnation in the key
// may be outdated.
func (m *fleetModel) issueKey(t *rapid.T) {
	// Keys are few, so that each gets many repeats.
	p, ok := pick(t, m.processes, "process")
	if !ok || len(m.keys) > 0 && rapid.IntRange(0, 4).Draw(t, "new key") != 0 {
		return
	}
	k := Key{Owner: p.owner, Incarnation: p.incarnation, IssuedMilli: m.now.Add(seconds(t, -3, 6, "skew")).UnixMilli()}
	m.nextID++
	k.Random[0], k.Random[1] = byte(m.nextID), byte(m.nextID>>8)
	m.keys = append(m.keys, k)
}

func (m *fleetModel) send(t *rapid.T) {
	k, ok := pick(t, m.keys[max(0, len(m.keys)-3):], "key")
	if !ok {
		return
	}
	r := Request{Customer: rapid.SampledFrom([]string{"a", "a", "a", "a", "a", "a", "b"}).Draw(t, "customer"), Route: "/orders", Key: k}
	r.Body[0] = byte(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1}).Draw(t, "body"))
	a := &attempt{request: r}
	m.attempts = append(m.attempts, a)
	m.forward(a)
}

func (m *fleetModel) forward(a *attempt) {
	f := &forward{attempt: a, pending: true}
	a.forwards = append(a.forwards, f)
	m.pending = append(m.pending, f)
}

// forwardAgain lets an entry forward a request again although it does not know how the earlier
// forwards ended.
func (m *fleetModel) forwardAgain(t *rapid.T) {
	if a, ok := pick(t, m.attempts, "attempt"); ok && !a.closed {
		m.forward(a)
	}
}

func (m *fleetModel) deliver(t *rapid.T) {
	f, ok := pick(t, m.pending, "forward")
	if !ok {
		return
	}
	var at []*process
	for _, p := range m.processes {
		if p.owner == f.attempt.request.Key.Owner && !p.paused {
			at = append(at, p)
		}
	}
	p, ok := pick(t, at, "receiver")
	if !ok {
		return
	}
	stale := seconds(t, 0, 8, "stale clock")
	d := p.memory.Begin(m.now.Add(p.clockOffset-stale), f.attempt.request)
	switch d.Action {
	case Wait:
		return // the forward stays and calls Begin again later
	case Run:
		p.runs = append(p.runs, &run{forward: f, ticket: d.Ticket})
	case Replay, ReplayDigest:
		f.outcome = errkind.Answered
	default:
		f.outcome = d.Err.Kind.Answer().Outcome
	}
	m.removePending(f)
}

func (m *fleetModel) removePending(f *forward) {
	f.pending = false
	for i, other := range m.pending {
		if other == f {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return
		}
	}
}

// loseMessage drops a message. The entry only sees that no response arrives.
func (m *fleetModel) loseMessage(t *rapid.T) {
	if f, ok := pick(t, m.pending, "forward"); ok {
		m.removePending(f)
	}
}

func (m *fleetModel) activeRun(t *rapid.T) (*process, *run, bool) {
	p, ok := pick(t, m.processes, "process")
	if !ok || p.paused {
		return nil, nil, false
	}
	r, ok := pick(t, p.runs, "run")
	return p, r, ok
}

func (m *fleetModel) execute(t *rapid.T) {
	_, r, ok := m.activeRun(t)
	if !ok || r.executed {
		return
	}
	r.executed = true
	k := r.forward.attempt.request.Key
	m.executions[k]++
	if m.executions[k] > 1 {
		t.Fatalf("operation with key %s ran %d times", k, m.executions[k])
	}
	if r.forward.attempt.toldNotRun {
		t.Fatalf("a request ran after its caller was told that it did not run")
	}
}

func (m *fleetModel) finish(t *rapid.T) {
	p, r, ok := m.activeRun(t)
	if !ok {
		return
	}
	result := Result{Outcome: errkind.NotRun}
	if r.executed {
		result = Result{Outcome: rapid.SampledFrom([]errkind.Outcome{errkind.Answered, errkind.Unknown}).Draw(t, "outcome"),
			Kind: errkind.BackendBroken, Response: &Response{Status: 200, Recorded: true}}
	}
	if !p.memory.Finish(m.now.Add(p.clockOffset), r.ticket, result) {
		t.Fatalf("the memory has no record of a run in progress")
	}
	r.forward.outcome = result.Outcome
	for i, other := range p.runs {
		if other == r {
			p.runs = append(p.runs[:i], p.runs[i+1:]...)
			break
		}
	}
}

// closeAttempt ends an attempt at its entry. The caller is told what the outcomes of the forwards
// allow.
func (m *fleetModel) closeAttempt(t *rapid.T) {
	a, ok := pick(t, m.attempts, "attempt")
	if !ok || a.closed {
		return
	}
	a.closed = true
	var outcomes []errkind.Outcome
	for _, f := range a.forwards {
		outcomes = append(outcomes, f.outcome) // the zero value is unknown
	}
	a.toldNotRun = AttemptOutcome(outcomes...) == errkind.NotRun
}

func (m *fleetModel) replaceProcess(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "replace") != 0 {
		return
	}
	owner := rapid.SampledFrom(modelOwners).Draw(t, "owner")
	if rapid.Bool().Draw(t, "killed") {
		kept := m.processes[:0:0]
		for _, p := range m.processes {
			if p.owner != owner {
				kept = append(kept, p)
			}
		}
		m.processes = kept
	}
	m.startProcess(owner)
}

func (m *fleetModel) pauseOrResume(t *rapid.T) {
	p, ok := pick(t, m.processes, "process")
	if !ok {
		return
	}
	p.paused = !p.paused && rapid.IntRange(0, 2).Draw(t, "pause") == 0
}

func (m *fleetModel) stepClock(t *rapid.T) {
	p, ok := pick(t, m.processes, "process")
	if !ok {
		return
	}
	p.clockOffset = rapid.SampledFrom([]time.Duration{0, 0, 0, -30 * time.Second, 30 * time.Second}).Draw(t, "clock")
}

func (m *fleetModel) checkBounds(t *rapid.T) {
	for _, p := range m.processes {
		if s := p.memory.Stats(); s.Entries > 4 || s.Bytes < 0 {
			t.Fatalf("memory exceeds its bounds: %+v", s)
		}
	}
}

// Guards against a key that runs twice, and against a request that runs after its caller was told
// that it did not. Messages are repeated, lost, late or out of order, processes are killed,
// replaced and paused, clocks step, and views are outdated.
func TestAtMostOnceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		t.Repeat(map[string]func(*rapid.T){
			"":           m.checkBounds,
			"issue key":  m.issueKey,
			"send":       m.send,
			"send again": m.forwardAgain,
			"deliver 1":  m.deliver,
			"deliver 2":  m.deliver,
			"deliver 3":  m.deliver,
			"lose":       m.loseMessage,
			"execute 1":  m.execute,
			"execute 2":  m.execute,
			"finish 1":   m.finish,
			"finish 2":   m.finish,
			"close":      m.closeAttempt,
			"replace":    m.replaceProcess,
			"pause":      m.pauseOrResume,
			"step clock": m.stepClock,
			"pass time":  func(t *rapid.T) { m.now = m.now.Add(seconds(t, 0, 12, "time")) },
		})
	})
}
