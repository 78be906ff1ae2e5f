// Package timer provides a priority queue of deadlines. It reads no clock: callers
// pass in the current time.
package timer

import (
	"container/heap"
	"time"
)

// Queue is a priority queue that holds at most one deadline per key. The zero
// value is not usable; call New. Queue is not safe for concurrent use.
type Queue[K comparable] struct {
	heap  entryHeap[K]
	byKey map[K]*entry[K]
	// seq is the number of keys added so far.
	seq uint64
}

// New returns an empty queue.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{byKey: make(map[K]*entry[K])}
}

// Set sets the deadline of a key and replaces any previous one.
func (q *Queue[K]) Set(key K, deadline time.Time) {
	if e, ok := q.byKey[key]; ok {
		e.deadline = deadline
		heap.Fix(&q.heap, e.heapIndex)
		return
	}
	q.seq++
	e := &entry[K]{key: key, deadline: deadline, seq: q.seq}
	q.byKey[key] = e
	heap.Push(&q.heap, e)
}

// Remove removes a key and its deadline. It does nothing if the key has none.
func (q *Queue[K]) Remove(key K) {
	if e, ok := q.byKey[key]; ok {
		heap.Remove(&q.heap, e.heapIndex)
		delete(q.byKey, key)
	}
}

// PopDue removes and returns the key with the earliest deadline if that is not after
// now; otherwise it returns false. Keys with equal deadlines are returned in the
// order in which they were added to the queue.
func (q *Queue[K]) PopDue(now time.Time) (K, bool) {
	var zero K
	if len(q.heap) == 0 || q.heap[0].deadline.After(now) {
		return zero, false
	}
	key := q.heap[0].key
	q.Remove(key)
	return key, true
}

// NextDeadline returns the earliest deadline, or the zero time if the queue is empty.
func (q *Queue[K]) NextDeadline() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].deadline
}

// Len returns the number of deadlines.
func (q *Queue[K]) Len() int { return len(q.heap) }

// entry is a key with its deadline.
type entry[K comparable] struct {
	key      K
	deadline time.Time
	// seq is the order in which keys were added; it orders equal deadlines.
	seq uint64
	// heapIndex is the index of the entry in the heap, which entryHeap maintains.
	heapIndex int
}

// entryHeap implements heap.Interface, with the earliest deadline first.
type entryHeap[K comparable] []*entry[K]

func (h entryHeap[K]) Len() int { return len(h) }

func (h entryHeap[K]) Less(i, j int) bool {
	if c := h[i].deadline.Compare(h[j].deadline); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h entryHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *entryHeap[K]) Push(x any) {
	e := x.(*entry[K])
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap[K]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
