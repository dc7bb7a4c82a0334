package audit

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// DefaultCapacity is the number of entries that a daemon keeps. At about 300 bytes an entry this is about 1 MB.
const DefaultCapacity = 4096

// Entry is one change, or one refused change.
type Entry struct {
	// Sequence grows by one per entry of a daemon. A gap after a read means that entries were lost to the bound.
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	VM       string    `json:"vm"`
	// Actor is who or what made the change: "operator", "platform", "peer VM", "detector", "daemon".
	Actor string `json:"actor"`
	// Action is what was done, such as "configuration", "ejection", "return", "drain", "override".
	Action string `json:"action"`
	// Subject is what changed: a value, document, backend server or VM.
	Subject  string `json:"subject"`
	From     string `json:"from,omitempty"`
	To       string `json:"to,omitempty"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// Trail is a bounded list of entries, safe for concurrent use.
type Trail struct {
	vm  string
	out io.Writer

	mu      sync.Mutex
	entries []Entry
	next    uint64
	changed chan struct{}
}

// New returns an empty trail. Each entry is also written to out as one JSON line; out may be nil.
func New(vm string, capacity int, out io.Writer) *Trail {
	return &Trail{vm: vm, out: out, entries: make([]Entry, 0, max(capacity, 1)), changed: make(chan struct{})}
}

// Add appends an entry. It fills in Sequence and VM, and Time when that is zero.
func (t *Trail) Add(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Sequence, e.VM = t.next, t.vm
	if e.Time.IsZero() {
		e.Time = time.Now().UTC()
	}
	t.next++
	if len(t.entries) == cap(t.entries) {
		copy(t.entries, t.entries[1:])
		t.entries = t.entries[:len(t.entries)-1]
	}
	t.entries = append(t.entries, e)
	if t.out != nil {
		json.NewEncoder(t.out).Encode(struct { //nolint:errcheck // standard output is the last resort
			Audit Entry `json:"audit"`
		}{e})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Since returns the kept entries with a sequence of at least from, and a channel that is closed at the next change.
func (t *Trail) Since(from uint64) ([]Entry, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := len(t.entries)
	for start > 0 && t.entries[start-1].Sequence >= from {
		start--
	}
	return append([]Entry(nil), t.entries[start:]...), t.changed
}
