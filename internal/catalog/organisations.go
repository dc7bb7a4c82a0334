package catalog

import (
	"slices"
	"sort"
	"strings"
)

// Organisations are the organisations of a configuration. They are immutable and safe for concurrent
// use, so that snapshots of the same configuration share them.
type Organisations struct {
	// byName is sorted by name.
	byName []Customer
	byKey  map[KeyDigest]*Customer
	// limited counts the organisations with a rate limit.
	limited int
}

// NewOrganisations returns the organisations of a list, which it sorts by name and keeps. keys holds
// the digests of the keys of the organisation at the same index. A key of several organisations
// identifies none of them, and of organisations with the same name only the first one is kept.
func NewOrganisations(list []Customer, keys [][]KeyDigest) *Organisations {
	total := 0
	for i := range list {
		list[i].Organisation, list[i].keys = true, keys[i]
		total += len(keys[i])
	}
	compare := func(a, b Customer) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(list, compare) {
		slices.SortStableFunc(list, compare)
	}
	list = slices.CompactFunc(list, func(a, b Customer) bool { return a.Name == b.Name })
	o := &Organisations{byName: list, byKey: make(map[KeyDigest]*Customer, total)}
	for i := range list {
		o.add(&list[i])
	}
	return o
}

func (o *Organisations) add(c *Customer) {
	if c.Limits.RatePerSecond > 0 {
		o.limited++
	}
	for _, digest := range c.keys {
		if owner, known := o.byKey[digest]; known && owner != c {
			o.byKey[digest] = nil // an entry stays, so that a third organisation does not get the key
			continue
		}
		o.byKey[digest] = c
	}
}

// Count returns the number of organisations.
func (o *Organisations) Count() int {
	if o == nil {
		return 0
	}
	return len(o.byName)
}

// Limited returns the number of organisations with a rate limit.
func (o *Organisations) Limited() int {
	if o == nil {
		return 0
	}
	return o.limited
}

// ByKey returns the organisation that the key identifies, or nil.
func (o *Organisations) ByKey(digest KeyDigest) *Customer {
	if o == nil {
		return nil
	}
	return o.byKey[digest]
}

// ByName returns the organisation with the name, or nil.
func (o *Organisations) ByName(name string) *Customer {
	if o == nil {
		return nil
	}
	i, found := sort.Find(len(o.byName), func(i int) int { return strings.Compare(name, o.byName[i].Name) })
	if !found {
		return nil
	}
	return &o.byName[i]
}

// All returns all organisations, sorted by name. The slice must not be changed.
func (o *Organisations) All() []Customer {
	if o == nil {
		return nil
	}
	return o.byName
}

// Difference is how the organisations of two configurations differ.
type Difference struct {
	// Added and Removed count the organisations by name.
	Added, Removed int
	// Revoked are the keys that identified an organisation before, and identify none now. There are at
	// most as many as Compare was asked for; RevokedCount counts all of them.
	Revoked      []KeyDigest
	RevokedCount int
}

// Compare returns how the organisations differ from those of an earlier configuration, with at most
// maxRevoked revoked keys. Either may be nil.
func (o *Organisations) Compare(before *Organisations, maxRevoked int) Difference {
	var d Difference
	if o == before {
		return d
	}
	all := before.All()
	for i := range all {
		c := &all[i]
		if o.ByName(c.Name) == nil {
			d.Removed++
		}
		for _, digest := range c.keys {
			if before.byKey[digest] != c || o.ByKey(digest) != nil {
				continue
			}
			d.RevokedCount++
			if len(d.Revoked) < maxRevoked {
				d.Revoked = append(d.Revoked, digest)
			}
		}
	}
	d.Added = o.Count() - (before.Count() - d.Removed)
	return d
}

// Organisations returns the organisations of the configuration, or nil if it has none. The methods of
// Organisations accept nil.
func (s *Snapshot) Organisations() *Organisations { return s.organisations }
