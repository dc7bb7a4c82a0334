package catalog

import (
	"cmp"
	"slices"
)

// A table spreads its entries over tableSize pages of tableSize slots by the low bits of the hash. With 37,000 entries a
// slot holds about nine, so a look-up compares few hashes and a change copies one page and one slot.
const (
	tableBits = 6
	tableSize = 1 << tableBits
	tableMask = tableSize - 1
)

// table is an immutable multimap from a hash to pointers. Versions share the pages that did not change. Several entries of
// one hash are in the order of their ranks, and by name at an equal rank, whatever the order in which they were put.
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

// slot returns the entries that may have the hash.
func (t *table[V]) slot(hash uint64) []entry[V] {
	p := t.pages[hash&tableMask]
	if p == nil {
		return nil
	}
	return p[hash>>tableBits&tableMask]
}

// all calls yield for each entry until it returns false.
func (t *table[V]) all(yield func(uint64, *V) bool) {
	for _, p := range t.pages {
		if p == nil {
			continue
		}
		for _, slot := range p {
			for _, e := range slot {
				if !yield(e.hash, e.value) {
					return
				}
			}
		}
	}
}

// tableEdit makes the next version of a table. Pages and slots are copied at their first change.
type tableEdit[V any] struct {
	table[V]
	owned [tableSize]*[tableSize]bool
}

func (t *table[V]) edit() *tableEdit[V] { return &tableEdit[V]{table: *t} }

// own returns the slot of the hash, which the caller may change.
func (e *tableEdit[V]) own(hash uint64) *[]entry[V] {
	pageNumber, slotNumber := hash&tableMask, hash>>tableBits&tableMask
	if e.owned[pageNumber] == nil {
		e.owned[pageNumber] = new([tableSize]bool)
		p := new(page[V])
		if old := e.pages[pageNumber]; old != nil {
			*p = *old
		}
		e.pages[pageNumber] = p
	}
	slot := &e.pages[pageNumber][slotNumber]
	if !e.owned[pageNumber][slotNumber] {
		e.owned[pageNumber][slotNumber] = true
		*slot = slices.Clone(*slot)
	}
	return slot
}

// put replaces the entry of the hash that is equal by order, or adds one. An entry that is replaced keeps its rank unless
// the new one is lower. It returns the number of entries of the hash.
func (e *tableEdit[V]) put(hash, rank uint64, value *V, order func(a, b *V) int) (entries int) {
	slot := e.own(hash)
	if i := indexOf(*slot, hash, value, order); i >= 0 {
		rank = min(rank, (*slot)[i].rank)
		*slot = slices.Delete(*slot, i, i+1)
		e.count--
	}
	at := slices.IndexFunc(*slot, func(other entry[V]) bool {
		return other.hash == hash && cmp.Or(cmp.Compare(rank, other.rank), order(value, other.value)) < 0
	})
	if at < 0 {
		at = len(*slot)
	}
	*slot = slices.Insert(*slot, at, entry[V]{hash, rank, value})
	e.count++
	for _, other := range *slot {
		if other.hash == hash {
			entries++
		}
	}
	return entries
}

// remove drops the entry of the hash that is equal by order.
func (e *tableEdit[V]) remove(hash uint64, value *V, order func(a, b *V) int) {
	slot := e.own(hash)
	if i := indexOf(*slot, hash, value, order); i >= 0 {
		*slot = slices.Delete(*slot, i, i+1)
		e.count--
	}
}

func indexOf[V any](slot []entry[V], hash uint64, value *V, order func(a, b *V) int) int {
	return slices.IndexFunc(slot, func(e entry[V]) bool { return e.hash == hash && order(value, e.value) == 0 })
}

// finish returns the new version. Slots that grew by appending give back their unused capacity.
func (e *tableEdit[V]) finish() table[V] {
	for pageNumber, owned := range e.owned {
		if owned == nil {
			continue
		}
		for slotNumber := range owned {
			if slot := &e.pages[pageNumber][slotNumber]; owned[slotNumber] && cap(*slot) > len(*slot) {
				*slot = append(make([]entry[V], 0, len(*slot)), *slot...)
			}
		}
	}
	return e.table
}
