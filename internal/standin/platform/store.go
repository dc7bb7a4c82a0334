package platform

import (
	"bytes"
	"errors"
	"slices"
	"sync"
)

const (
	// MaxValueBytes is the maximum size of a stored value.
	MaxValueBytes = 1 << 20
	// maxVersionsPerValue bounds the version history of each value. ModeStale and Restore read it.
	maxVersionsPerValue = 64
)

// Errors returned by Store.Put.
var (
	// ErrTooLarge reports data of more than MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds the limit of 1 MiB")
	// ErrRevisionDiffers reports that the value is not at the revision that the writer expects.
	ErrRevisionDiffers = errors.New("value is not at the expected revision")
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	// ID is the name of the VM.
	ID string `json:"id"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Change reports a value and the revision of its last change.
type Change struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// version is the content of a value since one revision.
type version struct {
	revision uint64
	data     []byte
}

// vmListKey is the key of the list of VMs in Store.values. The NUL byte keeps it apart from the
// names of values.
const vmListKey = "\x00vms"

// Store holds versioned values in memory. One revision counter covers all values: each change takes
// the next revision. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// values holds the versions of each value, oldest first.
	values map[string][]version
	// changed is closed and replaced whenever watchers must look again.
	changed chan struct{}
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{values: map[string][]version{}, changed: make(chan struct{})}
}

// Put stores a copy of data and returns the revision of the value. Storing equal content changes
// nothing and returns the present revision. If ifRevision is not nil and differs from the value's
// revision, which is 0 for a missing value, Put returns the present revision and
// ErrRevisionDiffers. Data of more than MaxValueBytes gives ErrTooLarge.
func (s *Store) Put(name string, data []byte, ifRevision *uint64) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var last version
	if existing := s.values[name]; len(existing) > 0 {
		last = existing[len(existing)-1]
	}
	if ifRevision != nil && *ifRevision != last.revision {
		return last.revision, ErrRevisionDiffers
	}
	if last.revision > 0 && bytes.Equal(last.data, data) {
		return last.revision, nil
	}
	s.revision++
	versions := append(s.values[name], version{s.revision, bytes.Clone(data)})
	s.values[name] = versions[max(0, len(versions)-maxVersionsPerValue):]
	s.notifyWatchers()
	return s.revision, nil
}

// Restore drops all changes after revision, as a restore from a backup does. Later changes take
// the revisions after it again. A revision in the future changes nothing.
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
	s.notifyWatchers()
}

// notifyWatchers wakes all pending watches. The caller holds s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// valueAt returns the version of a value that was in force at a revision. It reports false if the
// value did not exist then or that version is no longer kept.
func (s *Store) valueAt(name string, revision uint64) (version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return latestAt(s.values[name], revision)
}

// latestAt returns the last of versions whose revision is at most the given one.
func latestAt(versions []version, revision uint64) (version, bool) {
	for _, v := range slices.Backward(versions) {
		if v.revision <= revision {
			return v, true
		}
	}
	return version{}, false
}

// changesBetween returns the current revision, capped at upTo, and the values whose last change up
// to upTo came after the revision after, in the order of their revisions. The channel is closed at
// the next change.
func (s *Store) changesBetween(after, upTo uint64) (uint64, []Change, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := []Change{}
	for name, versions := range s.values {
		if v, ok := latestAt(versions, upTo); ok && name != vmListKey && v.revision > after {
			changes = append(changes, Change{name, v.revision})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return int(a.Revision) - int(b.Revision) })
	return min(s.revision, upTo), changes, s.changed
}
