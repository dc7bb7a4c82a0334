package operation

import (
	"container/heap"
	"container/list"
	"fmt"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Options of a Memory. Zero values select the defaults.
type Options struct {
	// KeyLife is how long after its issue time a key can be used. Default: 120 s.
	KeyLife time.Duration
	// MaxSkew is how far in the future an issue time may lie. Default: 10 s.
	MaxSkew time.Duration
	// Keep is how long an ended operation is kept at least, so that repeats that wait for it learn its result when it ends
	// close to the end of the key life. Default: 5 s.
	Keep time.Duration
	// MaxEntries bounds the keys in memory. Default: 16,384, enough for 136 operations a second.
	MaxEntries int
	// MaxBytes bounds the memory, with a whole recorded response reserved for each running operation. Default: 24 MiB.
	MaxBytes int64
	// CustomerPercent bounds one customer's part of MaxEntries and MaxBytes. Default: 50.
	CustomerPercent int
}

func (o Options) withDefaults() Options {
	setDefault(&o.KeyLife, 120*time.Second)
	setDefault(&o.MaxSkew, 10*time.Second)
	setDefault(&o.Keep, 5*time.Second)
	setDefault(&o.MaxEntries, 16384)
	setDefault(&o.MaxBytes, 24<<20)
	setDefault(&o.CustomerPercent, 50)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Request is one request with an operation key.
type Request struct {
	Customer string
	// Route is the path prefix of the route in the customer's contract.
	Route string
	Key   Key
	// Body is the digest of the whole body.
	Body Digest
}

// Action is what the owner does with a request.
type Action uint8

// The actions.
const (
	// Refuse: answer with Decision.Err.
	Refuse Action = iota
	// Run: hand over to a backend server, then call Finish with Decision.Ticket in every case.
	Run
	// Wait: wait for Decision.Done, then call Begin again. When the deadline passes first, answer with
	// StillRunning.
	Wait
	// Replay: answer with Decision.Response.
	Replay
	// ReplayDigest: the operation was answered, but the body was too large to record. Decision.Response has no body.
	ReplayDigest
)

// Decision is the answer of Begin.
type Decision struct {
	Action   Action
	Err      *errkind.Error
	Ticket   Ticket
	Done     <-chan struct{}
	Response *Response
}

// Ticket names one run of a key.
type Ticket struct {
	key Key
	run uint64
}

// Memory is the owner's record of its operation keys. It is safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	opts        Options
	owner       string
	incarnation uint64
	entries     map[Key]*entry
	byEnd       endHeap
	notRun      *list.List
	customers   map[string]*usage
	total       usage
	// horizon is the largest issue time of a forgotten key that may have run, in Unix milliseconds.
	horizon int64
	runs    uint64
}

// NewMemory returns the empty memory of a process. The incarnation must be drawn at random at the start of the process: a
// second process with the same one would run the keys of the first.
func NewMemory(owner string, incarnation uint64, opts Options) *Memory {
	return &Memory{opts: opts.withDefaults(), owner: owner, incarnation: incarnation,
		entries: map[Key]*entry{}, notRun: list.New(), customers: map[string]*usage{}}
}

// Begin decides about a request. now is the owner's wall clock.
func (m *Memory) Begin(now time.Time, r Request) Decision {
	if r.Key.Owner != m.owner || r.Key.Incarnation != m.incarnation {
		return refuse(OtherIncarnation, fmt.Sprintf("key names incarnation %016x of VM %s, this is %016x of %s",
			r.Key.Incarnation, r.Key.Owner, m.incarnation, m.owner))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	if e := m.entries[r.Key]; e != nil {
		return m.repeat(now, e, r)
	}
	return m.first(now, r)
}

func (m *Memory) first(now time.Time, r Request) Decision {
	if r.Key.IssuedMilli <= m.horizon {
		return refuse(KeyTooOld, "the owner no longer has a record of keys issued at that time")
	}
	if d := m.checkAge(now, r.Key); d != nil {
		return *d
	}
	e := &entry{request: r, base: entryBytes(r)}
	need := usage{entries: 1, bytes: e.base + MaxResponseBytes}
	if err := m.makeRoom(r.Customer, need); err != nil {
		return Decision{Err: err}
	}
	m.entries[r.Key] = e
	m.charge(r.Customer, need)
	e.charged = need.bytes
	return m.start(e)
}

func (m *Memory) checkAge(now time.Time, k Key) *Decision {
	age := now.Sub(k.Issued())
	if age >= m.opts.KeyLife {
		d := refuse(KeyTooOld, fmt.Sprintf("key is %s old, its life is %s", age.Round(time.Second), m.opts.KeyLife))
		return &d
	}
	if -age > m.opts.MaxSkew {
		d := refuse(KeyFromFuture, fmt.Sprintf("key was issued %s ahead of the owner's clock, allowed are %s",
			(-age).Round(time.Second), m.opts.MaxSkew))
		return &d
	}
	return nil
}

// repeat decides by the entry of a known key.
func (m *Memory) repeat(now time.Time, e *entry, r Request) Decision {
	if e.request != r {
		return refuse(OtherRequest, "key was used with another customer, route or body")
	}
	switch e.state {
	case running:
		return Decision{Action: Wait, Done: e.done}
	case answered:
		action := Replay
		if !e.response.Recorded {
			action = ReplayDigest
		}
		return Decision{Action: action, Response: e.response}
	case notRun:
		if d := m.checkAge(now, r.Key); d != nil {
			return *d
		}
		need := usage{bytes: e.base + MaxResponseBytes - e.charged}
		m.unlistNotRun(e)
		if err := m.makeRoom(r.Customer, need); err != nil {
			e.element = m.notRun.PushBack(e)
			return Decision{Err: err}
		}
		m.charge(r.Customer, need)
		e.charged += need.bytes
		heap.Remove(&m.byEnd, e.index)
		return m.start(e)
	default:
		return Decision{Err: errkind.New(e.kind, "an earlier request with this key ended so; "+adviceReconcile)}
	}
}

func (m *Memory) start(e *entry) Decision {
	m.runs++
	e.state, e.run, e.done = running, m.runs, make(chan struct{})
	return Decision{Action: Run, Ticket: Ticket{key: e.request.Key, run: e.run}}
}

// Finish records how a run ended and wakes the requests that wait for it. It reports false for a ticket whose run has
// already ended.
func (m *Memory) Finish(now time.Time, t Ticket, result Result) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[t.key]
	if e == nil || e.state != running || e.run != t.run {
		return false
	}
	bytes := e.base
	switch result.Outcome {
	case errkind.Answered:
		e.state, e.response = answered, result.Response.recorded()
		bytes += e.response.bytes()
	case errkind.NotRun:
		e.state, e.element = notRun, m.notRun.PushBack(e)
	default:
		e.state, e.kind = unknown, result.unknownKind()
	}
	m.charge(e.request.Customer, usage{bytes: bytes - e.charged})
	e.charged = bytes
	e.end = max(e.request.Key.IssuedMilli+m.opts.KeyLife.Milliseconds(), now.Add(m.opts.Keep).UnixMilli())
	heap.Push(&m.byEnd, e)
	close(e.done)
	return true
}

// forget removes entries past their end. Running entries are not in the heap and stay.
func (m *Memory) forget(now time.Time) {
	for len(m.byEnd) > 0 && m.byEnd[0].end <= now.UnixMilli() {
		e := m.byEnd[0]
		if e.state != notRun {
			m.horizon = max(m.horizon, e.request.Key.IssuedMilli)
		}
		m.remove(e)
	}
}

func (m *Memory) remove(e *entry) {
	heap.Remove(&m.byEnd, e.index)
	m.unlistNotRun(e)
	delete(m.entries, e.request.Key)
	m.charge(e.request.Customer, usage{entries: -1, bytes: -e.charged})
}

func (m *Memory) unlistNotRun(e *entry) {
	if e.element != nil {
		m.notRun.Remove(e.element)
		e.element = nil
	}
}
