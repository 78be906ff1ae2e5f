package swap

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// newAdapterSimulation returns a simulation in which model m0 is loaded and its adapters
// a1 and a2 fill both adapter slots. running is the number of running requests of each
// adapter. It also returns the demand of router 1, for the test to extend.
func newAdapterSimulation(t *testing.T, running map[string]int) (*simulation, stock.Demand) {
	t.Helper()
	sim := newSimulation(t, "m0")
	sim.endpoint.models[0].Adapters = []string{"a1", "a2"}
	sim.endpoint.adapters.withRequests = make(map[string]bool)
	d := stock.Demand{Uses: []stock.ModelUsage{{Model: "m0", Running: 1, Rate: 5}}}
	for _, a := range []string{"a1", "a2"} {
		if running[a] > 0 {
			sim.endpoint.adapters.withRequests[a] = true
			d.Uses = append(d.Uses, stock.ModelUsage{Model: "m0", Adapter: a, Running: running[a]})
		}
	}
	sim.sendDemand(1, d)
	sim.run(time.Second)
	return sim, d
}

func adapterRequest(sim *simulation, name string) stock.LoadRequest {
	loadRequest := sim.loadRequest("m0")
	loadRequest.Item.Adapter = name
	return loadRequest
}

// An adapter without running requests is evicted before one with requests, whichever
// was loaded first. In a run of a day's workload the first loaded adapter, which always
// had running requests, was ordered to unload 130 times while eight others waited.
func TestAdapterWithoutRequestsMakesRoom(t *testing.T) {
	sim, d := newAdapterSimulation(t, map[string]int{"a1": 3})
	d.Wants = []stock.LoadRequest{adapterRequest(sim, "a3")}
	sim.sendDemand(1, d)
	sim.run(300 * time.Millisecond)
	assert.Equal(t, []string{"a1", "a3"}, sim.endpoint.models[0].Adapters)
	require.Len(t, sim.orders, 2)
}

// While all adapters have running requests, the load is not reported, so that routers
// try other endpoints. After busyEvictionDelay the adapter with the fewest requests is
// ordered to unload once, and is no longer reported as loaded.
func TestAdapterWithRequestsIsUnloadedOnce(t *testing.T) {
	sim, d := newAdapterSimulation(t, map[string]int{"a1": 3, "a2": 1})
	d.Wants = []stock.LoadRequest{adapterRequest(sim, "a3")}
	sim.sendDemand(1, d)
	sim.run(busyEvictionDelay / 2)
	assert.Empty(t, sim.orders)
	assert.Empty(t, sim.lastReport.Loads, "the load is blocked")
	sim.run(busyEvictionDelay + time.Second)
	require.Len(t, sim.orders, 1)
	assert.Equal(t, "a2", sim.orders[0].Item.Adapter)
	assert.False(t, sim.lastReport.Holds(adapterRequest(sim, "a2").Item))
	assert.True(t, sim.lastReport.Holds(adapterRequest(sim, "a1").Item))

	sim.endpoint.models[0].Adapters = lo.Without(sim.endpoint.models[0].Adapters, "a2")
	d.Uses = d.Uses[:2]
	sim.sendDemand(1, d)
	sim.run(300 * time.Millisecond)
	assert.Equal(t, []string{"a1", "a3"}, sim.endpoint.models[0].Adapters)
	require.Len(t, sim.orders, 2)
}

// An adapter load that waits for a free slot does not delay the load of a model.
func TestWaitingAdapterDoesNotDelayModelLoad(t *testing.T) {
	sim, d := newAdapterSimulation(t, map[string]int{"a1": 3, "a2": 1})
	d.Wants = []stock.LoadRequest{adapterRequest(sim, "a3"), sim.loadRequest("m1")}
	sim.sendDemand(1, d)
	sim.run(busyEvictionDelay + 4*time.Second)
	assert.Contains(t, sim.loadedModels(), "m1")
}

// An endpoint executes one order on a model at a time. An agent that starts while a
// model is being loaded neither issues an adapter load nor reports one.
func TestAdapterWaitsForAModelThatIsLoaded(t *testing.T) {
	sim, d := newAdapterSimulation(t, nil)
	sim.endpoint.models[0].Adapters = nil
	sim.endpoint.currentOrder = &Order{Operation: Load, Item: stock.Item{Model: "m1"}}
	sim.endpoint.doneAt = sim.now.Add(9 * time.Second)
	sim.run(time.Second)
	d.Wants = []stock.LoadRequest{adapterRequest(sim, "a3")}
	sim.sendDemand(1, d)
	sim.run(5 * time.Second)
	assert.Zero(t, sim.endpoint.orderCount)
	assert.Empty(t, sim.lastReport.Loads)
	sim.run(4 * time.Second)
	assert.Equal(t, []string{"a3"}, sim.endpoint.models[0].Adapters)
}
