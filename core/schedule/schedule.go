// Package schedule provides timers for deterministic state machines.
package schedule

import (
	"container/heap"
	"time"
)

// Timer is a value that becomes due at a given time.
type Timer[T any] struct {
	at       time.Time
	sequence uint64
	position int
	value    T
}

// Timers is a heap of timers. Timers due at the same time fire in the order in which
// they were added. The zero value is ready to use.
type Timers[T any] struct {
	heap     timerHeap[T]
	sequence uint64
}

// Add schedules a value and returns its timer.
func (t *Timers[T]) Add(at time.Time, value T) *Timer[T] {
	t.sequence++
	added := &Timer[T]{at: at, sequence: t.sequence, value: value}
	heap.Push(&t.heap, added)
	return added
}

// Stop removes a timer. It ignores nil and timers that have fired or were stopped.
func (t *Timers[T]) Stop(which *Timer[T]) {
	if which == nil || which.position < 0 {
		return
	}
	heap.Remove(&t.heap, which.position)
}

// Pop removes the earliest timer if it is due at now and returns its value; false if
// none is due.
func (t *Timers[T]) Pop(now time.Time) (T, bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&t.heap).(*Timer[T]).value, true
}

// Next returns when the earliest timer is due; the zero time if there is none.
func (t *Timers[T]) Next() time.Time {
	if len(t.heap) == 0 {
		return time.Time{}
	}
	return t.heap[0].at
}

type timerHeap[T any] []*Timer[T]

// Len implements heap.Interface.
func (h timerHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *timerHeap[T]) Push(x any) {
	added := x.(*Timer[T])
	added.position = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.position = -1
	return removed
}
