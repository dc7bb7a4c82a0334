package audit

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// DefaultCapacity is the number of entries that a daemon keeps: about 1 MB at 300 bytes an entry.
const DefaultCapacity = 4096

// Entry is one accepted or refused change.
type Entry struct {
	// Sequence grows by one per entry of a daemon, from 0. A gap between two reads means that
	// entries were dropped because the trail was full.
	Sequence uint64 `json:"sequence"`
	// Time is when the change was made, in UTC.
	Time time.Time `json:"time"`
	// VM is the id of the VM whose daemon wrote the entry.
	VM string `json:"vm"`
	// Actor is who or what made the change, such as "operator NAME", "platform", "peer VM",
	// "detector" or "signal".
	Actor string `json:"actor"`
	// Action is what was done, such as "configuration", "mode", "drain" or "override".
	Action string `json:"action"`
	// Subject is what changed: a configuration value, document, backend server or VM.
	Subject string `json:"subject"`
	// From and To are the states before and after the change, such as revisions or modes. Empty if
	// there is none.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Accepted is false for a change that was refused. Reason tells why.
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// Trail is a bounded list of the latest entries, safe for concurrent use. Create it with New.
type Trail struct {
	vm  string
	out io.Writer

	mu      sync.Mutex
	entries []Entry
	// next is the sequence number of the next entry.
	next uint64
	// changed is closed and replaced when an entry is added.
	changed chan struct{}
}

// New returns an empty trail that keeps the latest capacity entries, at least one. Each entry is
// also written to out as one JSON line; out may be nil.
func New(vm string, capacity int, out io.Writer) *Trail {
	return &Trail{vm: vm, out: out, entries: make([]Entry, 0, max(capacity, 1)), changed: make(chan struct{})}
}

// Add appends an entry, and drops the oldest one of a full trail. It sets Sequence and VM, and Time
// when that is zero. Errors of writing the JSON line are ignored.
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
		json.NewEncoder(t.out).Encode(struct { //nolint:errcheck // there is no other place to report it
			Audit Entry `json:"audit"`
		}{e})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Since returns a copy of the kept entries with a sequence of at least from, oldest first, and a
// channel that is closed when the next entry is added.
func (t *Trail) Since(from uint64) ([]Entry, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := len(t.entries)
	for start > 0 && t.entries[start-1].Sequence >= from {
		start--
	}
	return append([]Entry(nil), t.entries[start:]...), t.changed
}
