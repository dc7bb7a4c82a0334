// Package ring provides the bounded queue that joins the goroutines of a daemon. A producer never blocks: when the ring is
// full the caller decides by the method it calls whether the new item or the oldest one is lost, and the loss is counted.
package ring

import "sync"

// Ring is a bounded queue, safe for concurrent use. Create it with New.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	size    int
	dropped uint64
	ready   chan struct{}
}

// New returns a ring that holds at most capacity items. A capacity below 1 is taken as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), ready: make(chan struct{}, 1)}
}

// Offer appends item and reports whether it fitted. A full ring keeps its items and counts the new one as dropped.
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

// Push appends item. A full ring loses its oldest item, which is counted as dropped.
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

// Ready receives a value after items were added. One value may stand for several items.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Dropped returns how many items were lost because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
