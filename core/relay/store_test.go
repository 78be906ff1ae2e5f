package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

// Loads from the weight store share it: on a played day 16 endpoints went at once,
// 32 loads were begun within seconds and none of their models came in time. What
// would be one load too many is refused at once, with the time at which it would be
// there.
func TestWeightStoreIsNotAskedForMoreThanItCarries(t *testing.T) {
	const fromStore = 9 * time.Second
	for name, loading := range map[string]int{"store is free": 1, "store is busy": storeLoadsMost} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, member("e1", llm), member("e2", llm), member("e3", llm))
			readyAt := w.now.Add(7 * time.Second)
			for n := range 3 {
				w.report(fmt.Sprintf("e%d", n+1), func(r *stock.Report) {
					r.Copies.Disk = []string{"a"}
					if n < loading {
						r.Loads = []stock.Load{{Item: stock.Item{Model: []string{"b", "c"}[n]}, ReadyAt: readyAt.Add(time.Duration(n) * time.Second)}}
					}
				})
			}
			w.arrive(streamRoute(), stock.Item{Model: "d"})
			if loading < storeLoadsMost {
				assert.Equal(t, w.now.Add(fromStore), only[Wait](w).ReadyAt)
				return
			}
			refused := only[Refuse](w)
			assert.Equal(t, TooLate, refused.Reason)
			assert.Equal(t, readyAt.Add(fromStore), refused.RetryAt)
			// A model on disk is loaded all the same, and a load that is on its way joined.
			w.arrive(streamRoute(), stock.Item{Model: "a"})
			assert.Empty(t, effectsOf[Refuse](w))
			w.arrive(streamRoute(), stock.Item{Model: "b"})
			assert.Equal(t, readyAt, only[Wait](w).ReadyAt)
		})
	}
}
