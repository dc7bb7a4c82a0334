package operation

import (
	"container/heap"
	"container/list"
	"fmt"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Options configures a Memory. Zero values select the defaults.
type Options struct {
	// KeyLife is how long after its issue time a key can be used. Default: 120 s.
	KeyLife time.Duration
	// MaxSkew is how far in the future an issue time may be. Default: 10 s.
	MaxSkew time.Duration
	// MinRetention is the shortest time for which an ended operation is kept. It lets repeats that
	// wait for an operation learn its result when it ends close to the end of the key life.
	// Default: 5 s.
	MinRetention time.Duration
	// MaxEntries bounds the keys in memory. Default: 16,384, enough for 136 operations per second.
	MaxEntries int
	// MaxBytes bounds the memory, including MaxResponseBytes reserved for each running operation.
	// Default: 24 MiB.
	MaxBytes int64
	// CustomerPercent bounds one customer's part of MaxEntries and of MaxBytes. Default: 50.
	CustomerPercent int
}

func (o Options) withDefaults() Options {
	setDefault(&o.KeyLife, 120*time.Second)
	setDefault(&o.MaxSkew, 10*time.Second)
	setDefault(&o.MinRetention, 5*time.Second)
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

// Request is one request with an operation key. Two requests with the same key must be equal.
type Request struct {
	Customer string
	// Route is the path prefix of the route in the customer's contract.
	Route string
	Key   Key
	// Body is the digest of the whole body.
	Body Digest
}

// Action is what the owner has to do with a request.
type Action uint8

// The actions.
const (
	// Refuse: answer with Decision.Err.
	Refuse Action = iota
	// Run: send the request to a backend server, then call Finish with Decision.Ticket in every
	// case.
	Run
	// Wait: wait for Decision.Done, then call Begin again. If the deadline passes first, answer
	// with the error of StillRunning.
	Wait
	// Replay: answer with Decision.Response.
	Replay
	// ReplayDigest: the operation was answered, but its response is not recorded in full.
	// Decision.Response has neither headers nor body.
	ReplayDigest
)

// Decision is the result of Begin. Which fields are set depends on Action.
type Decision struct {
	Action   Action
	Err      *errkind.Error
	Ticket   Ticket
	Done     <-chan struct{}
	Response *Response
}

// Ticket identifies one run of a key.
type Ticket struct {
	key Key
	run uint64
}

// Memory is the owner's record of its operation keys. It is safe for concurrent use. Unexported
// methods require mu to be held.
type Memory struct {
	mu          sync.Mutex
	opts        Options
	owner       string
	incarnation uint64
	entries     map[Key]*entry
	// byExpiry has all entries that are not running. notRunEntries has those of keys that did not
	// run, oldest first.
	byExpiry      expiryHeap
	notRunEntries *list.List
	customers     map[string]*usage
	total         usage
	// horizonMilli is the latest issue time of a removed key that may have run, in Unix
	// milliseconds. It never decreases.
	horizonMilli int64
	// lastRun is the number of the last run.
	lastRun uint64
}

// NewMemory returns the empty memory of a process. The incarnation must be drawn at random when the
// process starts: a second process with the same one would run the keys of the first again.
func NewMemory(owner string, incarnation uint64, opts Options) *Memory {
	return &Memory{opts: opts.withDefaults(), owner: owner, incarnation: incarnation,
		entries: map[Key]*entry{}, notRunEntries: list.New(), customers: map[string]*usage{}}
}

// Begin decides what to do with a request. now is the owner's wall clock time.
func (m *Memory) Begin(now time.Time, r Request) Decision {
	if r.Key.Owner != m.owner || r.Key.Incarnation != m.incarnation {
		return refuse(OtherIncarnation, fmt.Sprintf("operation key belongs to incarnation %016x of VM %s, this process is incarnation %016x of VM %s",
			r.Key.Incarnation, r.Key.Owner, m.incarnation, m.owner))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(now)
	if e := m.entries[r.Key]; e != nil {
		return m.beginRepeat(now, e, r)
	}
	return m.beginNew(now, r)
}

// beginNew decides about a key that is not in memory.
func (m *Memory) beginNew(now time.Time, r Request) Decision {
	if r.Key.IssuedMilli <= m.horizonMilli {
		return refuse(KeyTooOld, "the owner of the operation key no longer has records of keys issued at that time")
	}
	if d := m.checkAge(now, r.Key); d != nil {
		return *d
	}
	e := &entry{request: r, baseBytes: entryBytes(r)}
	need := usage{entries: 1, bytes: e.baseBytes + MaxResponseBytes}
	if err := m.makeRoom(r.Customer, need); err != nil {
		return Decision{Err: err}
	}
	m.entries[r.Key] = e
	m.charge(r.Customer, need)
	e.chargedBytes = need.bytes
	return m.startRun(e)
}

// checkAge returns the refusal of a key that is too old or issued too far in the future, or nil.
func (m *Memory) checkAge(now time.Time, k Key) *Decision {
	age := now.Sub(k.Issued())
	if age >= m.opts.KeyLife {
		d := refuse(KeyTooOld, fmt.Sprintf("operation key is %s old, the key life is %s", age.Round(time.Second), m.opts.KeyLife))
		return &d
	}
	if -age > m.opts.MaxSkew {
		d := refuse(KeyFromFuture, fmt.Sprintf("operation key was issued %s ahead of the owner's clock, the allowed clock skew is %s",
			(-age).Round(time.Second), m.opts.MaxSkew))
		return &d
	}
	return nil
}

// beginRepeat decides about a key that is in memory.
func (m *Memory) beginRepeat(now time.Time, e *entry, r Request) Decision {
	if e.request != r {
		return refuse(OtherRequest, "operation key was used with another customer, route or body")
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
		need := usage{bytes: e.baseBytes + MaxResponseBytes - e.chargedBytes}
		m.unlistNotRun(e)
		if err := m.makeRoom(r.Customer, need); err != nil {
			e.notRunElement = m.notRunEntries.PushBack(e)
			return Decision{Err: err}
		}
		m.charge(r.Customer, need)
		e.chargedBytes += need.bytes
		heap.Remove(&m.byExpiry, e.heapIndex)
		return m.startRun(e)
	default:
		return Decision{Err: errkind.New(e.kind, "an earlier request with this operation key ended with this error; "+adviceReconcile)}
	}
}

func (m *Memory) startRun(e *entry) Decision {
	m.lastRun++
	e.state, e.run, e.done = running, m.lastRun, make(chan struct{})
	return Decision{Action: Run, Ticket: Ticket{key: e.request.Key, run: e.run}}
}

// Finish records how a run ended and wakes up the requests that wait for it. It returns false for a
// ticket whose run has already ended.
func (m *Memory) Finish(now time.Time, t Ticket, result Result) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[t.key]
	if e == nil || e.state != running || e.run != t.run {
		return false
	}
	bytes := e.baseBytes
	switch result.Outcome {
	case errkind.Answered:
		e.state, e.response = answered, result.Response.forRecord()
		bytes += e.response.recordBytes()
	case errkind.NotRun:
		e.state, e.notRunElement = notRun, m.notRunEntries.PushBack(e)
	default:
		e.state, e.kind = unknown, result.unknownKind()
	}
	m.charge(e.request.Customer, usage{bytes: bytes - e.chargedBytes})
	e.chargedBytes = bytes
	e.expiresMilli = max(e.request.Key.IssuedMilli+m.opts.KeyLife.Milliseconds(), now.Add(m.opts.MinRetention).UnixMilli())
	heap.Push(&m.byExpiry, e)
	close(e.done)
	return true
}

// removeExpired removes expired entries. Running entries are not in the heap and stay.
func (m *Memory) removeExpired(now time.Time) {
	for len(m.byExpiry) > 0 && m.byExpiry[0].expiresMilli <= now.UnixMilli() {
		e := m.byExpiry[0]
		if e.state != notRun {
			m.horizonMilli = max(m.horizonMilli, e.request.Key.IssuedMilli)
		}
		m.remove(e)
	}
}

func (m *Memory) remove(e *entry) {
	heap.Remove(&m.byExpiry, e.heapIndex)
	m.unlistNotRun(e)
	delete(m.entries, e.request.Key)
	m.charge(e.request.Customer, usage{entries: -1, bytes: -e.chargedBytes})
}

func (m *Memory) unlistNotRun(e *entry) {
	if e.notRunElement != nil {
		m.notRunEntries.Remove(e.notRunElement)
		e.notRunElement = nil
	}
}
