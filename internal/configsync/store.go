package configsync

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliprun/cowsliprun/internal/compress"
)

const (
	// IndexName is the value that lists the names of all buckets.
	IndexName = "index"
	// VMsName and DataCentresName are the values that membership needs.
	VMsName         = "vms"
	DataCentresName = "datacentres"
	// ListName holds the platform's list of live and leaving VMs, which readers spread like a value. Its revision is that of
	// the list. It is not part of the index.
	ListName = "vm-list"

	// maxContentBytes is the platform's bound of a value.
	maxContentBytes = 1 << 20
	// maxValues bounds the store. The design has 580 values.
	maxValues = 1024
	// maxNameBytes bounds a name. The longest name of the design has 13 bytes.
	maxNameBytes = 64
)

// Errors of Put.
var (
	ErrName    = errors.New("name is not valid")
	ErrContent = errors.New("content is not gzip or is larger than 1 MiB")
	ErrFull    = errors.New("too many values")
	ErrZero    = errors.New("revision is zero")
)

// Revision names a value, the revision held and the XXH64 of its content.
type Revision struct {
	Name     string
	Revision uint64
	Hash     uint64
	// Residue is the XXH64 of the residue, or 0 when there is none.
	Residue uint64
}

// Value is a revision with its content, compressed with gzip.
type Value struct {
	Revision
	Data []byte
	// Residues are what a peer needs besides Data to have the same in force, compressed with gzip.
	Residues [][]byte
	// Carried is the content in force while Data is not applied yet, compressed with gzip.
	Carried []byte
	// applied is false until SetApplied is called for this revision.
	applied bool
}

// Content returns the decompressed content.
func (v Value) Content() ([]byte, error) { return unpack(v.Data) }

// Outcome says what Put did.
type Outcome uint8

// The outcomes.
const (
	// Invalid: the value was refused, with an error.
	Invalid Outcome = iota
	// Stored: the value is new.
	Stored
	// Same: the value is held already.
	Same
	// Older: a higher revision is held.
	Older
	// Conflict: other content is held at the same revision, and stays.
	Conflict
)

// Store keeps the highest revision of each value. It is safe for concurrent use.
type Store struct {
	mu     sync.RWMutex
	values map[string]Value
	// digest is the XOR of the digests of all entries, so that one change costs one step.
	digest  uint64
	highest uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{values: map[string]Value{}} }

// Put stores data, compressed with gzip, when its revision is higher than the one held. It returns the revision held
// before. A lower revision never replaces a higher one.
func (s *Store) Put(name string, revision uint64, data []byte) (Outcome, uint64, error) {
	if !validName(name) {
		return Invalid, 0, ErrName
	}
	if revision == 0 {
		return Invalid, 0, ErrZero
	}
	if held := s.Revision(name); held > revision {
		return Older, held, nil
	}
	content, err := unpack(data)
	if err != nil {
		return Invalid, s.Revision(name), err
	}
	v := Value{Revision: Revision{Name: name, Revision: revision, Hash: xxhash.Sum64(content)}, Data: data}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.values[name]
	switch {
	case held.Revision.Revision > revision:
		return Older, held.Revision.Revision, nil
	case held.Revision.Revision == revision && held.Hash != v.Hash:
		return Conflict, revision, nil
	case held.Revision.Revision == revision:
		return Same, revision, nil
	case !known && len(s.values) >= maxValues:
		return Invalid, 0, ErrFull
	}
	if known {
		s.digest ^= entryDigest(held.Revision)
		v.Residue, v.Residues, v.Carried = held.Residue, held.Residues, held.Carried
		if held.applied {
			v.carry(held)
		}
	}
	s.digest ^= entryDigest(v.Revision)
	s.values[name] = v
	if name != ListName {
		s.highest = max(s.highest, revision)
	}
	return Stored, held.Revision.Revision, nil
}

// Get returns the value held.
func (s *Store) Get(name string) (Value, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[name]
	return v, ok
}

// Revision returns the revision held, or 0.
func (s *Store) Revision(name string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.values[name].Revision.Revision
}

// Revisions lists what is held, by name.
func (s *Store) Revisions() []Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Revision, 0, len(s.values))
	for _, v := range s.values {
		list = append(list, v.Revision)
	}
	slices.SortFunc(list, func(a, b Revision) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Digest is equal for stores that hold the same revisions with the same content.
func (s *Store) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// Highest returns the highest revision held of the platform's values, the list of VMs aside.
func (s *Store) Highest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.highest
}

func entryDigest(r Revision) uint64 {
	b := make([]byte, 0, maxNameBytes+24)
	b = binary.BigEndian.AppendUint64(b, r.Revision)
	b = binary.BigEndian.AppendUint64(b, r.Hash)
	if r.Residue != 0 {
		b = binary.BigEndian.AppendUint64(b, r.Residue)
	}
	return xxhash.Sum64(append(b, r.Name...))
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '/'
	})
}

// unpack returns the content of data, or ErrContent.
func unpack(data []byte) ([]byte, error) {
	content, err := compress.Unpack(data, maxContentBytes)
	if err != nil {
		return nil, ErrContent
	}
	return content, nil
}
