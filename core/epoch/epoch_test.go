package epoch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/epoch"
)

func ExampleRevision_After() {
	before := epoch.At(3, 1200)
	// The store has come back from a copy.
	after := epoch.At(4, 1150)
	fmt.Println(after, after.After(before), before.After(after))
	// Output: 4/1150 true false
}

// Guards against a revision, or a fencing token, that is taken for older because the store gives its number
// out again.
func TestLaterErasAreLater(t *testing.T) {
	order := []epoch.Revision{
		{}, epoch.At(0, 1), epoch.At(0, 1<<39), epoch.At(1, 1), epoch.At(1, 150), epoch.At(2, 0), epoch.At(2, 140), epoch.At(8191, 1),
	}
	for i, a := range order {
		for j, b := range order {
			assert.Equal(t, i > j, a.After(b), "%s after %s", a, b)
			assert.Equal(t, i > j, a.Token() > b.Token(), "token of %s above that of %s", a, b)
			assert.Equal(t, order[max(i, j)], epoch.Latest(a, b))
			assert.Equal(t, i == j, a.Compare(b) == 0)
		}
		assert.Less(t, a.Token(), int64(1)<<53)
	}
}
