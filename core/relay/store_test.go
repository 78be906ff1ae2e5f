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
	for name, loading := range map[string]int{"store is free": 1, "store is busy": maxStoreLoads} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm), testMember("e3", llm))
			readyAt := w.now.Add(7 * time.Second)
			for n := range 3 {
				w.report(fmt.Sprintf("e%d", n+1), func(r *stock.Report) {
					r.Copies.Disk = []string{"a"}
					if n < loading {
						r.Loads = []stock.Load{{Item: stock.Item{Model: []string{"b", "c"}[n]}, ReadyAt: readyAt.Add(time.Duration(n) * time.Second)}}
					}
				})
			}
			w.arrive(patientRoute(), stock.Item{Model: "d"})
			if loading < maxStoreLoads {
				assert.Equal(t, w.now.Add(fromStore), onlyEffect[Wait](w).ReadyAt)
				return
			}
			refused := onlyEffect[Refuse](w)
			assert.Equal(t, TooLate, refused.Reason)
			assert.Equal(t, readyAt.Add(fromStore), refused.RetryAt)
			// A model on disk is loaded all the same, and a load that is on its way joined.
			w.arrive(streamRoute(), stock.Item{Model: "a"})
			assert.Empty(t, effectsOf[Refuse](w))
			w.arrive(patientRoute(), stock.Item{Model: "b"})
			assert.Equal(t, readyAt, onlyEffect[Wait](w).ReadyAt)
		})
	}
}

// Callers of streams leave after some time without a word: one that would leave
// before its model is loaded is told at once when to come back, and the model is
// loaded for then. On a played day six such requests were held for 16 s each.
func TestCallerThatWouldLeaveIsToldWhenToComeBack(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", nil)
	w.arrive(streamRoute(), stock.Item{Model: "e"})
	refused, readyAt := onlyEffect[Refuse](w), w.now.Add(9*time.Second)
	assert.Equal(t, TooLate, refused.Reason)
	assert.Equal(t, readyAt, refused.RetryAt)
	want := onlyEffect[SendDemand](w).Demand.Wants[0]
	assert.Equal(t, stock.Item{Model: "e"}, want.Item)
	assert.Equal(t, 1, want.Waiting)

	w.report("e1", func(r *stock.Report) { r.Loads = []stock.Load{{Item: want.Item, ReadyAt: readyAt}} })
	w.advance(firstCopyTimeout)
	assert.Empty(t, w.s.pendingLoads)
	w.advance(9*time.Second - firstCopyTimeout)
	w.report("e1", withModels("e"))
	w.arrive(streamRoute(), stock.Item{Model: "e"})
	assert.Len(t, effectsOf[Send](w), 1)
}
