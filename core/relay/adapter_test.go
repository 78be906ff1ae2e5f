package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

var adapterOfA = stock.Item{Model: "a", Adapter: "a1"}

// An endpoint that loads a model takes no order on an adapter meanwhile: another
// one that holds the model is asked.
func TestAdapterIsAskedWhereNoModelIsLoaded(t *testing.T) {
	for _, busy := range []string{"e1", "e2"} {
		t.Run(busy, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
			for _, e := range []string{"e1", "e2"} {
				w.report(e, func(r *stock.Report) {
					withModels("a")(r)
					if e == busy {
						r.Loads = []stock.Load{{Item: stock.Item{Model: "b"}, ReadyAt: w.now.Add(9 * time.Second)}}
					}
				})
			}
			w.arrive(streamRoute(), adapterOfA)
			wait := onlyEffect[Wait](w)
			assert.NotEqual(t, busy, wait.Instance)
			assert.Less(t, wait.ReadyAt.Sub(w.now), time.Second)
		})
	}
}

// A load that takes longer than its requests can wait is asked for elsewhere if it
// is there sooner.
func TestLoadThatIsHeldUpIsAskedForElsewhere(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", nil)
	w.report("e2", nil)
	w.arrive(streamRoute(), modelA)
	first := onlyEffect[Wait](w).Instance
	w.report(first, func(r *stock.Report) {
		r.Loads = []stock.Load{{Item: modelA, ReadyAt: w.now.Add(30 * time.Second)}}
	})
	assert.Empty(t, effectsOf[Refuse](w))
	for _, a := range effectsOf[SendDemand](w) {
		if a.Instance == first {
			assert.Empty(t, a.Demand.Wants)
			continue
		}
		assert.Equal(t, modelA, a.Demand.Wants[0].Item)
	}
	assert.Len(t, effectsOf[SendDemand](w), 2)
}

// The weight store is not asked for a model because the one endpoint that holds it
// has no place for one more adapter at the moment.
func TestAdapterBringsNoModelFromTheStore(t *testing.T) {
	model := stock.Item{Model: "e"}
	for name, c := range map[string]struct {
		lost, asked bool
	}{"holder has its agent": {false, false}, "holder has lost its agent": {true, true}} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
			w.report("e1", withModels("e"))
			w.report("e2", nil)
			long := streamRoute()
			long.Timeout = 35 * time.Second
			w.arrive(long, stock.Item{Model: model.Model, Adapter: "a1"})
			if c.lost {
				w.apply(AgentLost{Instance: "e1"})
			}
			elsewhere := false
			for range 30 {
				w.advance(100 * time.Millisecond)
				for _, a := range effectsOf[SendDemand](w) {
					elsewhere = elsewhere || a.Instance == "e2" && len(a.Demand.Wants) > 0
				}
			}
			assert.Equal(t, c.asked, elsewhere)
		})
	}
}
