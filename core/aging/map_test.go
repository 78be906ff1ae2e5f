package aging

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func ExampleMap() {
	m := New[string, int](4)
	m.Put("a", 1)
	m.Put("b", 2)
	m.Put("c", 3) // "a" and "b" are old now.
	m.Put("b", 4)
	m.Put("d", 5) // "a" is forgotten.
	_, hasA := m.Get("a")
	b, _ := m.Get("b")
	fmt.Println(hasA, b)
	// Output: false 4
}

func TestSizeIsBounded(t *testing.T) {
	m := New[int, int](100)
	for i := range 10_000 {
		m.Put(i, i)
		assert.LessOrEqual(t, len(m.newer)+len(m.older), 100)
		for age := range min(i+1, 50) {
			v, ok := m.Get(i - age)
			assert.True(t, ok)
			assert.Equal(t, i-age, v)
		}
	}
}
