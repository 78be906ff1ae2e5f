package line

import "slices"

// ring is a queue that discards its oldest values in order to stay within a number of
// values and a total size.
type ring[T any] struct {
	items        []slot[T]
	head         int
	count        int
	totalSize    int
	maxTotalSize int
}

// slot is a value of a ring with its size.
type slot[T any] struct {
	value T
	size  int
}

// newRing returns a ring for at most count values with a total size of at most maxTotalSize.
// Sizes are in any unit that all calls of push share.
func newRing[T any](count, maxTotalSize int) *ring[T] {
	return &ring[T]{items: make([]slot[T], count), maxTotalSize: maxTotalSize}
}

// push adds a value and returns the number of discarded values. A value larger than
// maxTotalSize, or any value if the ring has no slots, is not kept and counts as discarded.
func (r *ring[T]) push(value T, size int) (dropped int) {
	if size > r.maxTotalSize || len(r.items) == 0 {
		return 1
	}
	for r.count == len(r.items) || r.totalSize+size > r.maxTotalSize {
		r.pop()
		dropped++
	}
	r.items[(r.head+r.count)%len(r.items)] = slot[T]{value: value, size: size}
	r.count++
	r.totalSize += size
	return dropped
}

// pop removes the oldest value. It clears the slot so that the garbage collector can
// free the value.
func (r *ring[T]) pop() {
	r.totalSize -= r.items[r.head].size
	r.items[r.head] = slot[T]{}
	r.head = (r.head + 1) % len(r.items)
	r.count--
}

// appendTo appends all values to values, oldest first.
func (r *ring[T]) appendTo(values []T) []T {
	values = slices.Grow(values, r.count)
	for i := range r.count {
		values = append(values, r.items[(r.head+i)%len(r.items)].value)
	}
	return values
}
