// Package aging provides a map of bounded size that forgets entries which have not been written
// for long.
package aging

// Map is a map of bounded size. When newer holds half of the limit, it replaces older, whose
// entries are forgotten. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	newer, older map[K]V
	limit        int
}

// New returns an empty map of at most limit entries.
func New[K comparable, V any](limit int) *Map[K, V] {
	return &Map[K, V]{newer: make(map[K]V), older: make(map[K]V), limit: limit}
}

// Reserve makes room for n entries, so that the next n calls of Put forget none.
func (m *Map[K, V]) Reserve(n int) {
	if len(m.newer)+n > m.limit/2 {
		m.older, m.newer = m.newer, make(map[K]V)
	}
}

// Put sets the value of a key.
func (m *Map[K, V]) Put(key K, value V) {
	if _, ok := m.newer[key]; !ok {
		m.Reserve(1)
	}
	m.newer[key] = value
}

// Get returns the value of a key; false if there is none or it has been forgotten.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if v, ok := m.newer[key]; ok {
		return v, true
	}
	v, ok := m.older[key]
	return v, ok
}
