// Package ring provides a bounded queue that connects the goroutines of a host.
package ring

import "sync"

// Ring is a bounded first-in, first-out queue with several producers and one
// consumer.
type Ring[T any] struct {
	mu            sync.Mutex
	notFull       sync.Cond
	capacity      int
	items         []T // circular; grows up to capacity
	head          int
	length        int
	closed        bool
	stateUpdates  int // number of state updates among the items
	counts        Counts
	isStateUpdate func(T) bool
	ready         chan struct{}
}

// Counts holds the counters of a ring.
type Counts struct {
	Accepted uint64 // items added to the ring
	Refused  uint64 // items refused because the ring was full
	Dropped  uint64 // state updates dropped to make room for newer items
}

// initialSize is the number of items for which a new ring allocates memory.
const initialSize = 16

// New returns a ring that refuses new items while it is full.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{
		capacity: capacity,
		items:    make([]T, min(capacity, initialSize)),
		ready:    make(chan struct{}, 1),
	}
	r.notFull.L = &r.mu
	return r
}

// NewDropping returns a ring that drops its oldest state update to make room for
// a new item. It refuses a new item only if it is full and holds no state
// update. A state update is an item that a later one replaces.
func NewDropping[T any](capacity int, isStateUpdate func(T) bool) *Ring[T] {
	r := New[T](capacity)
	r.isStateUpdate = isStateUpdate
	return r
}

// Put appends an item. It returns false if the item was refused because the ring
// is full and has nothing to drop, or because it is closed.
func (r *Ring[T]) Put(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.length == r.capacity && !r.dropOldestStateUpdate() {
		r.counts.Refused++
		return false
	}
	r.append(item)
	return true
}

// PutWait appends an item and blocks while the ring is full. It is meant for a
// bounded number of producers whose items must not be lost. It returns false if
// the ring is closed.
func (r *Ring[T]) PutWait(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.length == r.capacity && !r.closed {
		r.notFull.Wait()
	}
	if r.closed {
		return false
	}
	r.append(item)
	return true
}

// Drain removes items, oldest first, and appends them to batch until batch has
// reached its capacity or the ring is empty.
func (r *Ring[T]) Drain(batch []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.length > 0 && len(batch) < cap(batch) {
		batch = append(batch, r.pop())
	}
	if r.length > 0 {
		r.signal() // not all items fitted into batch
	}
	r.notFull.Broadcast()
	return batch
}

// Ready returns a channel that receives a signal when there may be items to
// drain, and when the ring is closed.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close closes the ring. Later items are refused; items in the ring can still be
// drained.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notFull.Broadcast()
	r.signal()
}

// Closed reports whether the ring is closed.
func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Counts returns the counters.
func (r *Ring[T]) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *Ring[T]) append(item T) {
	if r.length == len(r.items) {
		r.grow()
	}
	r.items[r.index(r.length)] = item
	r.length++
	r.counts.Accepted++
	if r.isStateUpdate != nil && r.isStateUpdate(item) {
		r.stateUpdates++
	}
	r.signal()
}

// grow doubles the size of the buffer, up to the capacity of the ring.
func (r *Ring[T]) grow() {
	larger := make([]T, min(r.capacity, 2*len(r.items)))
	for i := range r.length {
		larger[i] = r.items[r.index(i)]
	}
	r.items, r.head = larger, 0
}

func (r *Ring[T]) pop() T {
	item := r.items[r.head]
	var zero T
	r.items[r.head] = zero
	r.head = r.index(1)
	r.length--
	if r.isStateUpdate != nil && r.isStateUpdate(item) {
		r.stateUpdates--
	}
	return item
}

// dropOldestStateUpdate removes the oldest state update and closes the gap. It
// returns false if there is none.
func (r *Ring[T]) dropOldestStateUpdate() bool {
	if r.stateUpdates == 0 {
		return false
	}
	at := 0
	for !r.isStateUpdate(r.items[r.index(at)]) {
		at++
	}
	// Move the items before the gap up by one, so that the free slot is at the
	// head, where pop clears it.
	dropped := r.items[r.index(at)]
	for ; at > 0; at-- {
		r.items[r.index(at)] = r.items[r.index(at-1)]
	}
	r.items[r.head] = dropped
	r.pop()
	r.counts.Dropped++
	return true
}

func (r *Ring[T]) index(offset int) int { return (r.head + offset) % len(r.items) }

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default: // a signal is already pending
	}
}
