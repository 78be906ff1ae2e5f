package relay

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// tableWithout returns a later version of the test table whose engine lacks a model, or that lacks
// the whole service if the model is empty.
func tableWithout(model string) *route.Table {
	old := testTable()
	services := []*route.Service{{Name: plain}}
	if model != "" {
		engine := *old.Engine(llm)
		engine.Models = maps.Clone(engine.Models)
		delete(engine.Models, model)
		services = append(services, &route.Service{Name: llm, Engine: &engine})
	}
	return route.NewTable(old.Version+1, route.Limits{}, nil, services)
}

// Guards against a request that is sent again and again to an endpoint that lacks its model, because
// the configuration no longer has the service or the model.
func TestModelThatLeavesTheConfiguration(t *testing.T) {
	for name, lost := range map[string]string{"model": "c", "service": ""} {
		t.Run(name+", waits for its load", func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm))
			router.report("e1", withModels("a"))
			router.arrive(patientRoute(), stock.Item{Model: "c"})
			require.Empty(t, effectsOf[Send](router))
			router.apply(RoutesAdopted{Table: tableWithout(lost)})
			router.advance(100 * time.Millisecond)
			require.Empty(t, effectsOf[Send](router))
			onlyEffect[Refuse](router)
			requireIdle(t, router)
		})
		t.Run(name+", is at an endpoint that has lost it", func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm))
			router.report("e1", withModels("c"))
			id := router.arrive(streamRoute(), stock.Item{Model: "c"})
			onlyEffect[Send](router)
			router.apply(RoutesAdopted{Table: tableWithout(lost)})
			router.endAttempt(id, ModelMissing)
			require.Empty(t, effectsOf[Send](router))
			onlyEffect[Refuse](router)
			requireIdle(t, router)
		})
		t.Run(name+", is at an endpoint that breaks off", func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
			router.report("e1", withModels("c"))
			router.report("e2", withModels("c"))
			id := router.arrive(streamRoute(), stock.Item{Model: "c"})
			first := onlyEffect[Send](router).Instance
			router.apply(RoutesAdopted{Table: tableWithout(lost)})
			router.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
			again := onlyEffect[Send](router)
			require.NotEqual(t, first, again.Instance, "the other holder resumes the stream")
			require.EqualValues(t, 3, again.LastEvent)
			router.endAttempt(id, Done)
			requireIdle(t, router)
		})
	}
}

// requireIdle checks that the router has no request left, also after a while.
func requireIdle(t *testing.T, router *testRouter) {
	t.Helper()
	for range 20 {
		router.advance(100 * time.Millisecond)
		for _, eff := range router.effects {
			switch eff.(type) {
			case Send, Refuse, Fail, DeliverFailure:
				t.Fatalf("effect %v", eff)
			}
		}
	}
	require.Empty(t, router.state.requests)
	require.Empty(t, router.state.waiting)
}
