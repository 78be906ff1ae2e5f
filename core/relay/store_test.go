package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

// Loads from the weight store share its bandwidth. In a simulated day 16 endpoints were
// lost at once, 32 loads were started within seconds, and none of the models was loaded in
// time. A request that needs a load beyond the limit is refused at once, with the time at
// which the load could be done.
func TestStoreLoadsAreLimited(t *testing.T) {
	const fromStore = 9 * time.Second
	for name, loading := range map[string]int{"store is free": 1, "store is busy": maxStoreLoads} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm), testEntry("e3", llm))
			readyAt := router.now.Add(7 * time.Second)
			for n := range 3 {
				router.report(fmt.Sprintf("e%d", n+1), func(r *stock.Report) {
					r.Copies.Disk = []string{"a"}
					if n < loading {
						r.Loads = []stock.ScheduledLoad{{Item: stock.Item{Model: []string{"b", "c"}[n]}, ReadyAt: readyAt.Add(time.Duration(n) * time.Second)}}
					}
				})
			}
			router.arrive(patientRoute(), stock.Item{Model: "d"})
			if loading < maxStoreLoads {
				assert.Equal(t, router.now.Add(fromStore), onlyEffect[Wait](router).ReadyAt)
				return
			}
			refused := onlyEffect[Refuse](router)
			assert.Equal(t, TooLate, refused.Reason)
			assert.Equal(t, readyAt.Add(fromStore), refused.RetryAt)
			// Models on disk can still be loaded, and requests can join a load in progress.
			router.arrive(streamRoute(), stock.Item{Model: "a"})
			assert.Empty(t, effectsOf[Refuse](router))
			router.arrive(patientRoute(), stock.Item{Model: "b"})
			assert.Equal(t, readyAt, onlyEffect[Wait](router).ReadyAt)
		})
	}
}

// Callers disconnect from a stream that sends nothing for some time. A request whose caller
// would disconnect before the model is loaded is refused at once with the time to retry,
// and the model is loaded for that time. In a simulated day six such requests were held for
// 16 s each.
func TestTooLongLoadIsRefusedWithRetryTime(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", nil)
	router.arrive(streamRoute(), stock.Item{Model: "e"})
	refused, readyAt := onlyEffect[Refuse](router), router.now.Add(9*time.Second)
	assert.Equal(t, TooLate, refused.Reason)
	assert.Equal(t, readyAt, refused.RetryAt)
	request := onlyEffect[SendDemand](router).Demand.Wants[0]
	assert.Equal(t, stock.Item{Model: "e"}, request.Item)
	assert.Equal(t, 1, request.Waiting)

	router.report("e1", func(r *stock.Report) { r.Loads = []stock.ScheduledLoad{{Item: request.Item, ReadyAt: readyAt}} })
	router.advance(firstReplicaTimeout)
	assert.Empty(t, router.state.pendingLoads)
	router.advance(9*time.Second - firstReplicaTimeout)
	router.report("e1", withModels("e"))
	router.arrive(streamRoute(), stock.Item{Model: "e"})
	assert.Len(t, effectsOf[Send](router), 1)
}
