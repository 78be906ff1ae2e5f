package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

var adapterOfA = stock.Item{Model: "a", Adapter: "a1"}

// An endpoint that is loading a model can't load an adapter at the same time. The adapter
// is requested from another endpoint that holds the model.
func TestAdapterLoadAvoidsEndpointThatLoadsModel(t *testing.T) {
	for _, busy := range []string{"e1", "e2"} {
		t.Run(busy, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
			for _, e := range []string{"e1", "e2"} {
				router.report(e, func(r *stock.Report) {
					withModels("a")(r)
					if e == busy {
						r.Loads = []stock.ScheduledLoad{{Item: stock.Item{Model: "b"}, ReadyAt: router.now.Add(9 * time.Second)}}
					}
				})
			}
			router.arrive(streamRoute(), adapterOfA)
			wait := onlyEffect[Wait](router)
			assert.NotEqual(t, busy, wait.Instance)
			assert.Less(t, wait.ReadyAt.Sub(router.now), time.Second)
		})
	}
}

// A load that would be done too late for its requests is requested from another endpoint
// that is done in time.
func TestLoadThatIsHeldUpIsAskedForElsewhere(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", nil)
	router.report("e2", nil)
	router.arrive(streamRoute(), modelA)
	first := onlyEffect[Wait](router).Instance
	router.report(first, func(r *stock.Report) {
		r.Loads = []stock.ScheduledLoad{{Item: modelA, ReadyAt: router.now.Add(30 * time.Second)}}
	})
	assert.Empty(t, effectsOf[Refuse](router))
	for _, a := range effectsOf[SendDemand](router) {
		if a.Instance == first {
			assert.Empty(t, a.Demand.Wants)
			continue
		}
		assert.Equal(t, modelA, a.Demand.Wants[0].Item)
	}
	assert.Len(t, effectsOf[SendDemand](router), 2)
}

// If the only holder of a model can't load an adapter at the moment, the model is not
// loaded from the weight store elsewhere. It is if the holder's agent is disconnected.
func TestAdapterDoesNotLoadModelFromStore(t *testing.T) {
	model := stock.Item{Model: "e"}
	for name, c := range map[string]struct {
		agentLost, wantElsewhere bool
	}{"holder has its agent": {false, false}, "holder has lost its agent": {true, true}} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
			router.report("e1", withModels("e"))
			router.report("e2", nil)
			patient := streamRoute()
			patient.Timeout = 35 * time.Second
			router.arrive(patient, stock.Item{Model: model.Model, Adapter: "a1"})
			if c.agentLost {
				router.apply(AgentLost{Instance: "e1"})
			}
			elsewhere := false
			for range 30 {
				router.advance(100 * time.Millisecond)
				for _, a := range effectsOf[SendDemand](router) {
					elsewhere = elsewhere || a.Instance == "e2" && len(a.Demand.Wants) > 0
				}
			}
			assert.Equal(t, c.wantElsewhere, elsewhere)
		})
	}
}
