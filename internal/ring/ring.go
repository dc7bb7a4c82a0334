// Package ring provides a bounded queue between goroutines. Producers never block: when the ring is
// full, Offer drops the new item and Push drops the oldest one. Dropped items are counted.
package ring

import "sync"

// Ring is a bounded queue, safe for concurrent use. Create it with New.
type Ring[T any] struct {
	mu    sync.Mutex
	items []T
	// head is the index of the oldest item, size the number of items from there on, around the end.
	head    int
	size    int
	dropped uint64
	// ready holds at most one signal, so that adding an item never blocks.
	ready chan struct{}
}

// New returns a ring that holds at most capacity items. A capacity below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), ready: make(chan struct{}, 1)}
}

// Offer appends item and reports whether there was room. A full ring drops the new item.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		r.dropped++
		return false
	}
	r.append(item)
	return true
}

// Push appends item. A full ring drops its oldest item.
func (r *Ring[T]) Push(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		r.head = (r.head + 1) % len(r.items)
		r.size--
		r.dropped++
	}
	r.append(item)
}

// append stores item and signals Ready. The caller holds mu and has made room.
func (r *Ring[T]) append(item T) {
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Drain removes and returns all items, oldest first.
func (r *Ring[T]) Drain() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, r.size)
	var zero T
	for ; r.size > 0; r.size-- {
		out = append(out, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
	}
	return out
}

// Snapshot returns all items, oldest first, and leaves them in the ring.
func (r *Ring[T]) Snapshot() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, r.size)
	for i := range r.size {
		out = append(out, r.items[(r.head+i)%len(r.items)])
	}
	return out
}

// Ready returns a channel that receives a value after items were added. One value may stand for
// several items, so that its receiver must call Drain.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Dropped returns the number of items dropped since New because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
