// Package ring holds the bounded queue that joins the duties of a host.
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
	stateUpdates  int // state updates among the items
	counts        Counts
	isStateUpdate func(T) bool
	ready         chan struct{}
}

// Counts says what became of the items put so far.
type Counts struct {
	Accepted uint64 // accepted
	Refused  uint64 // refused because the ring was full
	Dropped  uint64 // state updates dropped to make room
}

// firstSize is how many items a new ring has memory for.
const initialSize = 16

// New returns a ring that refuses what it has no room for.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{
		capacity: capacity,
		items:    make([]T, min(capacity, initialSize)),
		ready:    make(chan struct{}, 1),
	}
	r.notFull.L = &r.mu
	return r
}

// NewDropping returns a ring that, when full, drops its oldest state update
// in favour of a new item, and refuses only when it holds none. A state update
// is an item that a later one replaces.
func NewDropping[T any](capacity int, isStateUpdate func(T) bool) *Ring[T] {
	r := New[T](capacity)
	r.isStateUpdate = isStateUpdate
	return r
}

// Put appends an item; false means that it was refused: the ring was full by
// its policy, or is closed.
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

// PutWait appends an item and waits for room. It is for producers that are
// bounded themselves and whose items must not be lost. False means that the
// ring is closed.
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

// Drain moves items, oldest first, to the end of batch until batch is at its
// capacity or the ring is empty.
func (r *Ring[T]) Drain(batch []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.length > 0 && len(batch) < cap(batch) {
		batch = append(batch, r.pop())
	}
	if r.length > 0 {
		r.signal() // the consumer left some behind
	}
	r.notFull.Broadcast()
	return batch
}

// Ready is signalled when there may be something to drain, and when the ring
// closes.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close refuses all later items; those inside can still be drained.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notFull.Broadcast()
	r.signal()
}

// Closed says whether the ring was closed.
func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// Len returns the number of items inside.
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

// grow doubles the memory, up to the capacity.
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

// dropOldestState removes the oldest state update and closes the gap.
func (r *Ring[T]) dropOldestStateUpdate() bool {
	if r.stateUpdates == 0 {
		return false
	}
	at := 0
	for !r.isStateUpdate(r.items[r.index(at)]) {
		at++
	}
	// The items before the gap move up by one, so that pop clears the freed
	// slot at the head.
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
	default: // a signal is already waiting
	}
}
