package operation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// The defaults of rapid, 100 checks of 30 steps, are too few: a forgotten key takes about 10 fitting steps.
func init() {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const modelLife = 20 * time.Second

// process is one incarnation of a daemon. A process that was replaced may still run: it was cut off, not stopped.
type process struct {
	memory      *Memory
	owner       string
	incarnation uint64
	clock       time.Duration
	paused      bool
	runs        []*run
}

// run is a run that a process has begun.
type run struct {
	forward  *forward
	ticket   Ticket
	executed bool
}

// forward is one message of an attempt, from an entry to a process at the VM that the key names.
type forward struct {
	attempt *attempt
	// pending is true until the message was delivered or lost.
	pending bool
	outcome errkind.Outcome
}

// attempt is one request of a caller at an entry.
type attempt struct {
	request  Request
	forwards []*forward
	toldNot  bool
	closed   bool
}

// world is a fleet with lost, late and repeated messages, processes that are killed, replaced, paused or cut off, clocks that
// differ and step, and entries whose view of the incarnations is old.
type world struct {
	now        time.Time
	processes  []*process
	attempts   []*attempt
	pending    []*forward
	keys       []Key
	executions map[Key]int
	next       uint64
}

var modelOwners = []string{"vm0", "vm1"}

func newWorld() *world {
	w := &world{now: testTime, executions: map[Key]int{}}
	for _, o := range modelOwners {
		w.start(o)
	}
	return w
}

func (w *world) start(owner string) {
	w.next++
	opts := Options{KeyLife: modelLife, MaxSkew: 5 * time.Second, Keep: time.Second, MaxEntries: 4, CustomerPercent: 75}
	w.processes = append(w.processes, &process{memory: NewMemory(owner, w.next, opts), owner: owner, incarnation: w.next})
}

// pick chooses one item. Actions without an item do nothing: rapid ends a sequence early when many actions are skipped.
func pick[T any](t *rapid.T, from []T, label string) (item T, ok bool) {
	if len(from) == 0 {
		return item, false
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, label)], true
}

func seconds(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low*2, high*2).Draw(t, label)) * time.Second / 2
}

// issueKey issues a key at an entry with its own clock and an incarnation that may be old or of the wrong VM.
func (w *world) issueKey(t *rapid.T) {
	// Few keys at a time, so that each gets many repeats.
	p, ok := pick(t, w.processes, "process")
	if !ok || len(w.keys) > 0 && rapid.IntRange(0, 4).Draw(t, "new key") != 0 {
		return
	}
	k := Key{Owner: p.owner, Incarnation: p.incarnation, IssuedMilli: w.now.Add(seconds(t, -3, 6, "skew")).UnixMilli()}
	w.next++
	k.Random[0], k.Random[1] = byte(w.next), byte(w.next>>8)
	w.keys = append(w.keys, k)
}

func (w *world) send(t *rapid.T) {
	k, ok := pick(t, w.keys[max(0, len(w.keys)-3):], "key")
	if !ok {
		return
	}
	r := Request{Customer: rapid.SampledFrom([]string{"a", "a", "a", "a", "a", "a", "b"}).Draw(t, "customer"), Route: "/orders", Key: k}
	r.Body[0] = byte(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1}).Draw(t, "body"))
	a := &attempt{request: r}
	w.attempts = append(w.attempts, a)
	w.forward(a)
}

func (w *world) forward(a *attempt) {
	f := &forward{attempt: a, pending: true}
	a.forwards = append(a.forwards, f)
	w.pending = append(w.pending, f)
}

// sendAgain is an entry that forwards a request once more although it does not know how the first forward ended.
func (w *world) sendAgain(t *rapid.T) {
	if a, ok := pick(t, w.attempts, "attempt"); ok && !a.closed {
		w.forward(a)
	}
}

func (w *world) deliver(t *rapid.T) {
	f, ok := pick(t, w.pending, "forward")
	if !ok {
		return
	}
	var at []*process
	for _, p := range w.processes {
		if p.owner == f.attempt.request.Key.Owner && !p.paused {
			at = append(at, p)
		}
	}
	p, ok := pick(t, at, "receiver")
	if !ok {
		return
	}
	stale := seconds(t, 0, 8, "stale clock")
	d := p.memory.Begin(w.now.Add(p.clock-stale), f.attempt.request)
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
	w.drop(f)
}

func (w *world) drop(f *forward) {
	f.pending = false
	for i, other := range w.pending {
		if other == f {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return
		}
	}
}

// lose drops a message. The entry only sees that no response came.
func (w *world) lose(t *rapid.T) {
	if f, ok := pick(t, w.pending, "forward"); ok {
		w.drop(f)
	}
}

func (w *world) activeRun(t *rapid.T) (*process, *run, bool) {
	p, ok := pick(t, w.processes, "process")
	if !ok || p.paused {
		return nil, nil, false
	}
	r, ok := pick(t, p.runs, "run")
	return p, r, ok
}

func (w *world) execute(t *rapid.T) {
	_, r, ok := w.activeRun(t)
	if !ok || r.executed {
		return
	}
	r.executed = true
	k := r.forward.attempt.request.Key
	w.executions[k]++
	if w.executions[k] > 1 {
		t.Fatalf("key %s ran %d times", k, w.executions[k])
	}
	if r.forward.attempt.toldNot {
		t.Fatalf("a caller was told not run, and its request ran afterwards")
	}
}

func (w *world) finish(t *rapid.T) {
	p, r, ok := w.activeRun(t)
	if !ok {
		return
	}
	result := Result{Outcome: errkind.NotRun}
	if r.executed {
		result = Result{Outcome: rapid.SampledFrom([]errkind.Outcome{errkind.Answered, errkind.Unknown}).Draw(t, "outcome"),
			Kind: errkind.BackendBroken, Response: &Response{Status: 200, Recorded: true}}
	}
	if !p.memory.Finish(w.now.Add(p.clock), r.ticket, result) {
		t.Fatalf("the memory forgot a run in progress")
	}
	r.forward.outcome = result.Outcome
	for i, other := range p.runs {
		if other == r {
			p.runs = append(p.runs[:i], p.runs[i+1:]...)
			break
		}
	}
}

// close ends an attempt at its entry: the caller is told what the forwards allow.
func (w *world) close(t *rapid.T) {
	a, ok := pick(t, w.attempts, "attempt")
	if !ok || a.closed {
		return
	}
	a.closed = true
	var outcomes []errkind.Outcome
	for _, f := range a.forwards {
		outcomes = append(outcomes, f.outcome) // the zero value is unknown
	}
	a.toldNot = AttemptOutcome(outcomes...) == errkind.NotRun
}

func (w *world) replace(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "replace") != 0 {
		return
	}
	owner := rapid.SampledFrom(modelOwners).Draw(t, "owner")
	if rapid.Bool().Draw(t, "killed") {
		kept := w.processes[:0:0]
		for _, p := range w.processes {
			if p.owner != owner {
				kept = append(kept, p)
			}
		}
		w.processes = kept
	}
	w.start(owner)
}

func (w *world) pause(t *rapid.T) {
	p, ok := pick(t, w.processes, "process")
	if !ok {
		return
	}
	p.paused = !p.paused && rapid.IntRange(0, 2).Draw(t, "pause") == 0
}

func (w *world) step(t *rapid.T) {
	p, ok := pick(t, w.processes, "process")
	if !ok {
		return
	}
	p.clock = rapid.SampledFrom([]time.Duration{0, 0, 0, -30 * time.Second, 30 * time.Second}).Draw(t, "clock")
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.processes {
		if s := p.memory.Stats(); s.Entries > 4 || s.Bytes < 0 {
			t.Fatalf("memory out of bounds: %+v", s)
		}
	}
}

// No key may run twice, and no request may run whose caller was told that it did not run, under any order of duplicates, lost
// and late messages, kills, replacements, pauses, clock steps and old views.
func TestAtMostOnceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"":           w.check,
			"issue key":  w.issueKey,
			"send":       w.send,
			"send again": w.sendAgain,
			"deliver 1":  w.deliver,
			"deliver 2":  w.deliver,
			"deliver 3":  w.deliver,
			"lose":       w.lose,
			"execute 1":  w.execute,
			"execute 2":  w.execute,
			"finish 1":   w.finish,
			"finish 2":   w.finish,
			"close":      w.close,
			"replace":    w.replace,
			"pause":      w.pause,
			"step clock": w.step,
			"pass time":  func(t *rapid.T) { w.now = w.now.Add(seconds(t, 0, 12, "time")) },
		})
	})
}
