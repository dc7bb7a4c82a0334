package catalog

import (
	"cmp"
	"slices"
)

// A table distributes its entries by the low bits of the hash over tableSize pages of tableSize
// buckets. With 37,000 entries, a bucket holds about nine. So a look-up compares few hashes, and a
// change copies one page and one bucket.
const (
	tableBits = 6
	tableSize = 1 << tableBits
	tableMask = tableSize - 1
)

// table is an immutable multimap from hashes to pointers. Versions of a table share unchanged
// pages and buckets. Entries with the same hash are sorted by rank, and by the compare function of
// put for equal ranks, whatever the order in which they were put.
type table[V any] struct {
	pages [tableSize]*page[V]
	count int
}

type page[V any] [tableSize][]entry[V]

type entry[V any] struct {
	hash  uint64
	rank  uint64
	value *V
}

// bucket returns the entries that may have the hash.
func (t *table[V]) bucket(hash uint64) []entry[V] {
	p := t.pages[hash&tableMask]
	if p == nil {
		return nil
	}
	return p[hash>>tableBits&tableMask]
}

// all calls yield for each entry, with its hash, until yield returns false.
func (t *table[V]) all(yield func(uint64, *V) bool) {
	for _, p := range t.pages {
		if p == nil {
			continue
		}
		for _, bucket := range p {
			for _, e := range bucket {
				if !yield(e.hash, e.value) {
					return
				}
			}
		}
	}
}

// tableBuilder makes the next version of a table. It copies pages and buckets before their first
// change.
type tableBuilder[V any] struct {
	table[V]
	copied [tableSize]*[tableSize]bool
}

func (t *table[V]) builder() *tableBuilder[V] { return &tableBuilder[V]{table: *t} }

// mutableBucket returns the bucket of the hash for changes.
func (b *tableBuilder[V]) mutableBucket(hash uint64) *[]entry[V] {
	pageNumber, bucketNumber := hash&tableMask, hash>>tableBits&tableMask
	if b.copied[pageNumber] == nil {
		b.copied[pageNumber] = new([tableSize]bool)
		p := new(page[V])
		if old := b.pages[pageNumber]; old != nil {
			*p = *old
		}
		b.pages[pageNumber] = p
	}
	bucket := &b.pages[pageNumber][bucketNumber]
	if !b.copied[pageNumber][bucketNumber] {
		b.copied[pageNumber][bucketNumber] = true
		*bucket = slices.Clone(*bucket)
	}
	return bucket
}

// put replaces the entry with this hash that compare finds equal, or adds one. A replaced entry's
// rank stays unless the new rank is lower. put returns the number of entries with this hash.
func (b *tableBuilder[V]) put(hash, rank uint64, value *V, compare func(a, b *V) int) (entries int) {
	bucket := b.mutableBucket(hash)
	if i := indexOf(*bucket, hash, value, compare); i >= 0 {
		rank = min(rank, (*bucket)[i].rank)
		*bucket = slices.Delete(*bucket, i, i+1)
		b.count--
	}
	at := slices.IndexFunc(*bucket, func(other entry[V]) bool {
		return other.hash == hash && cmp.Or(cmp.Compare(rank, other.rank), compare(value, other.value)) < 0
	})
	if at < 0 {
		at = len(*bucket)
	}
	*bucket = slices.Insert(*bucket, at, entry[V]{hash, rank, value})
	b.count++
	for _, other := range *bucket {
		if other.hash == hash {
			entries++
		}
	}
	return entries
}

// remove deletes the entry with this hash that compare finds equal.
func (b *tableBuilder[V]) remove(hash uint64, value *V, compare func(a, b *V) int) {
	bucket := b.mutableBucket(hash)
	if i := indexOf(*bucket, hash, value, compare); i >= 0 {
		*bucket = slices.Delete(*bucket, i, i+1)
		b.count--
	}
}

func indexOf[V any](bucket []entry[V], hash uint64, value *V, compare func(a, b *V) int) int {
	return slices.IndexFunc(bucket, func(e entry[V]) bool { return e.hash == hash && compare(value, e.value) == 0 })
}

// finish returns the new version. Buckets that grew by appending release their unused capacity.
func (b *tableBuilder[V]) finish() table[V] {
	for pageNumber, copied := range b.copied {
		if copied == nil {
			continue
		}
		for bucketNumber := range copied {
			if bucket := &b.pages[pageNumber][bucketNumber]; copied[bucketNumber] && cap(*bucket) > len(*bucket) {
				*bucket = append(make([]entry[V], 0, len(*bucket)), *bucket...)
			}
		}
	}
	return b.table
}
