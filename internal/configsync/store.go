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
	// IndexName is the value that lists the names of all others, except VMListName.
	IndexName = "index"
	// VMsName and DataCentresName are the values that membership depends on.
	VMsName         = "vms"
	DataCentresName = "datacentres"
	// VMListName holds the platform's list of live and leaving VMs, which readers propagate
	// like a value. Its revision is that of the list. The index does not list it.
	VMListName = "vm-list"

	// maxContentBytes is the platform's limit for the content of a value, decompressed.
	maxContentBytes = 1 << 20
	// maxValues bounds the values of a store. A full configuration has 580.
	maxValues = 1024
	// maxNameBytes bounds a name. The longest name in use has 13 bytes.
	maxNameBytes = 64
)

// Errors of Store.Put. Value.Content also returns ErrInvalidContent, ParseIndex ErrInvalidName.
var (
	ErrInvalidName    = errors.New("value name is empty, longer than 64 bytes, or not of the characters a-z, 0-9, - and /")
	ErrInvalidContent = errors.New("content is not gzip or is larger than 1 MiB when decompressed")
	ErrTooManyValues  = errors.New("store is full: it holds 1024 values")
	ErrZeroRevision   = errors.New("value has the revision zero")
)

// Revision identifies what a daemon holds of a value.
type Revision struct {
	Name string
	// Number is the revision that the platform gave the value.
	Number uint64
	// Hash is the XXH64 of the decompressed content.
	Hash uint64
	// Residue is the XXH64 of the decompressed residue, or 0 when there is none.
	Residue uint64
}

// Value is a revision with its content.
type Value struct {
	Revision
	// Data is the content, compressed with gzip.
	Data []byte
	// Residues are what a peer needs besides Data to have the same in force, each compressed
	// with gzip.
	Residues [][]byte
	// Carried is the content that is in force while Data is not applied yet, compressed with
	// gzip.
	Carried []byte
	// applied is true once SetApplied was called for this revision.
	applied bool
}

// Content returns the decompressed content, or ErrInvalidContent.
func (v Value) Content() ([]byte, error) { return decompress(v.Data) }

// Outcome says what Put did.
type Outcome uint8

// The outcomes.
const (
	// Invalid: the value was refused with an error.
	Invalid Outcome = iota
	// Stored: the value is new or newer than the one held, and is held now.
	Stored
	// Same: this revision with this content is held already.
	Same
	// Older: a higher revision is held, and stays.
	Older
	// Conflict: the same revision is held with different content, which stays.
	Conflict
)

// Store keeps the highest revision of each value in memory. It is safe for concurrent use.
type Store struct {
	mu     sync.RWMutex
	values map[string]Value
	// digest is the XOR of the digests of all entries, so that a change costs one step and the
	// order of changes makes no difference.
	digest uint64
	// highest is the highest revision held of a value other than VMListName.
	highest uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{values: map[string]Value{}} }

// Put stores data, compressed with gzip, if revision is higher than the one held. It returns what
// it did and the revision held before. A lower revision never replaces a higher one.
func (s *Store) Put(name string, revision uint64, data []byte) (Outcome, uint64, error) {
	if !validName(name) {
		return Invalid, 0, ErrInvalidName
	}
	if revision == 0 {
		return Invalid, 0, ErrZeroRevision
	}
	if held := s.Revision(name); held > revision {
		return Older, held, nil
	}
	content, err := decompress(data)
	if err != nil {
		return Invalid, s.Revision(name), err
	}
	v := Value{Revision: Revision{Name: name, Number: revision, Hash: xxhash.Sum64(content)}, Data: data}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.values[name]
	switch {
	case held.Revision.Number > revision:
		return Older, held.Revision.Number, nil
	case held.Revision.Number == revision && held.Hash != v.Hash:
		return Conflict, revision, nil
	case held.Revision.Number == revision:
		return Same, revision, nil
	case !known && len(s.values) >= maxValues:
		return Invalid, 0, ErrTooManyValues
	}
	if known {
		s.digest ^= entryDigest(held.Revision)
		v.Residue, v.Residues, v.Carried = held.Residue, held.Residues, held.Carried
		if held.applied {
			v.carryFrom(held)
		}
	}
	s.digest ^= entryDigest(v.Revision)
	s.values[name] = v
	if name != VMListName {
		s.highest = max(s.highest, revision)
	}
	return Stored, held.Revision.Number, nil
}

// Get returns the value held, or false when there is none. The caller must not change its bytes.
func (s *Store) Get(name string) (Value, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[name]
	return v, ok
}

// Revision returns the revision held, or 0 for none.
func (s *Store) Revision(name string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.values[name].Revision.Number
}

// Revisions lists the revisions held, ordered by name.
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

// Digest is equal for stores that hold the same revisions with the same content and residues.
func (s *Store) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// HighestRevision returns the highest revision held of the platform's values, without VMListName.
func (s *Store) HighestRevision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.highest
}

// entryDigest hashes one entry. Without a residue it leaves the residue out, so that a fleet
// without residues has the same digests as before residues were introduced.
func entryDigest(r Revision) uint64 {
	b := make([]byte, 0, maxNameBytes+24)
	b = binary.BigEndian.AppendUint64(b, r.Number)
	b = binary.BigEndian.AppendUint64(b, r.Hash)
	if r.Residue != 0 {
		b = binary.BigEndian.AppendUint64(b, r.Residue)
	}
	return xxhash.Sum64(append(b, r.Name...))
}

// validName reports whether a name has 1 to maxNameBytes bytes, all of them a-z, 0-9, "-" or "/".
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '/'
	})
}

// decompress returns the content of data, or ErrInvalidContent.
func decompress(data []byte) ([]byte, error) {
	content, err := compress.Unpack(data, maxContentBytes)
	if err != nil {
		return nil, ErrInvalidContent
	}
	return content, nil
}
