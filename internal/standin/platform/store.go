package platform

import (
	"bytes"
	"errors"
	"slices"
	"sync"
)

const (
	// MaxValueBytes is the largest value that the platform stores.
	MaxValueBytes = 1 << 20
	// keptVersions bounds the old versions of each value, which stale answers and restores use.
	keptVersions = 64
)

// Errors of Put.
var (
	ErrTooLarge        = errors.New("value is larger than 1 MiB")
	ErrRevisionDiffers = errors.New("value has another revision")
)

// VM is one entry of the list of VMs.
type VM struct {
	ID string `json:"id"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Change names a value and the revision at which it last changed.
type Change struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type version struct {
	revision uint64
	data     []byte
}

// vmsKey holds the list of VMs among the values. It cannot be the name of a value.
const vmsKey = "\x00vms"

// Store holds values with one revision counter. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	values   map[string][]version
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{values: map[string][]version{}, changed: make(chan struct{})}
}

// Put stores data and returns the value's revision. Equal content keeps its revision. A non-nil ifRevision must be the
// revision of the value, 0 for a value that does not exist.
func (s *Store) Put(name string, data []byte, ifRevision *uint64) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var last version
	if held := s.values[name]; len(held) > 0 {
		last = held[len(held)-1]
	}
	if ifRevision != nil && *ifRevision != last.revision {
		return last.revision, ErrRevisionDiffers
	}
	if last.revision > 0 && bytes.Equal(last.data, data) {
		return last.revision, nil
	}
	s.revision++
	versions := append(s.values[name], version{s.revision, bytes.Clone(data)})
	s.values[name] = versions[max(0, len(versions)-keptVersions):]
	s.notify()
	return s.revision, nil
}

// Restore forgets all changes after revision and continues to count from there.
func (s *Store) Restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, versions := range s.values {
		kept := slices.DeleteFunc(versions, func(v version) bool { return v.revision > revision })
		if len(kept) == 0 {
			delete(s.values, name)
		} else {
			s.values[name] = kept
		}
	}
	s.revision = min(s.revision, revision)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// at returns the value as of a revision.
func (s *Store) at(name string, revision uint64) (version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lastAt(s.values[name], revision)
}

func lastAt(versions []version, revision uint64) (version, bool) {
	for _, v := range slices.Backward(versions) {
		if v.revision <= revision {
			return v, true
		}
	}
	return version{}, false
}

// changesAt lists what changed after a revision and up to another, by revision, with a channel that is closed at the
// next change.
func (s *Store) changesAt(after, upTo uint64) (uint64, []Change, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := []Change{}
	for name, versions := range s.values {
		if v, ok := lastAt(versions, upTo); ok && name != vmsKey && v.revision > after {
			changes = append(changes, Change{name, v.revision})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return int(a.Revision) - int(b.Revision) })
	return min(s.revision, upTo), changes, s.changed
}
