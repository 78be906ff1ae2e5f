package swap

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// fakeEndpoint simulates a model endpoint: it executes one order on a model at a time
// and crashes when it is ordered to exceed its memory or adapter slots.
type fakeEndpoint struct {
	spec   *route.Engine
	models []stock.LoadedModel
	// cachedOnDisk lists the models whose weights are cached on disk.
	cachedOnDisk []string
	// sequence is the number of accepted orders.
	sequence int64
	// orderCount counts all orders received, including refused ones.
	orderCount int
	// currentOrder is the order on a model in progress until doneAt, nil if there is none.
	currentOrder *Order
	doneAt       time.Time
	crashed      bool
	// loadHistory lists the models in the order in which their loads completed.
	loadHistory []string
	adapters    adapters
}

// newEngineSpec returns a capacity of three models and two adapters.
func newEngineSpec() *route.Engine {
	spec := &route.Engine{Slots: 64, Memory: 230_000, AdapterSlots: 2, Models: make(map[string]route.Model)}
	for i := range 8 {
		name := fmt.Sprintf("m%d", i)
		spec.Models[name] = route.Model{
			Name: name, Size: 70_000, Adapters: 4, AdapterSize: 60,
			FromStore: 9 * time.Second, FromDisk: 2 * time.Second, FromMemory: time.Second,
		}
	}
	return spec
}

// advance completes the order on a model once its time has come.
func (e *fakeEndpoint) advance(now time.Time) {
	if e.currentOrder == nil || now.Before(e.doneAt) {
		return
	}
	item := e.currentOrder.Item
	if e.currentOrder.Operation == Load {
		e.models = append(e.models, stock.LoadedModel{Model: item.Model})
		e.loadHistory = append(e.loadHistory, item.Model)
	} else {
		e.models = lo.Reject(e.models, func(m stock.LoadedModel, _ int) bool { return m.Model == item.Model })
	}
	e.currentOrder = nil
	e.checkCapacity()
}

// checkCapacity sets crashed if the loaded items exceed the memory or the adapter slots.
func (e *fakeEndpoint) checkCapacity() {
	size, adapters := 0.0, 0
	for _, loaded := range e.models {
		m := e.spec.Models[loaded.Model]
		size += m.Size + float64(len(loaded.Adapters))*m.AdapterSize
		adapters += len(loaded.Adapters)
	}
	e.crashed = e.crashed || size > e.spec.Memory || adapters > e.spec.AdapterSlots
}

// order accepts or refuses an order by the same rules as a real endpoint.
func (e *fakeEndpoint) order(now time.Time, o Order) Answer {
	e.orderCount++
	if o.Sequence != e.sequence || e.currentOrder != nil {
		return Conflict
	}
	e.sequence++
	if o.Operation == Unload && e.adapters.withRequests[o.Item.Adapter] {
		return Accepted
	}
	if o.Item.Adapter == "" {
		e.currentOrder = &o
		e.doneAt = now.Add(50 * time.Millisecond)
		if o.Operation == Load {
			e.doneAt = now.Add(2 * time.Second)
		}
		return Accepted
	}
	for i := range e.models {
		if e.models[i].Model != o.Item.Model {
			continue
		}
		if o.Operation == Load {
			e.models[i].Adapters = append(e.models[i].Adapters, o.Item.Adapter)
		} else {
			e.models[i].Adapters = lo.Without(e.models[i].Adapters, o.Item.Adapter)
		}
	}
	e.checkCapacity()
	return Applied
}

func (e *fakeEndpoint) observe() Snapshot {
	models := make([]stock.LoadedModel, len(e.models))
	copy(models, e.models)
	return Snapshot{
		Busy: e.currentOrder != nil, Sequence: e.sequence,
		Report: stock.Report{Instance: "i", Models: models, Copies: stock.CachedWeights{Disk: e.cachedOnDisk}},
	}
}

// adapters is the state of a fake endpoint's adapters.
type adapters struct {
	// withRequests has the adapters with running requests. An unload of one of them is
	// accepted, but it does not take effect while the requests run.
	withRequests map[string]bool
}

// simulation runs an agent with a fake endpoint in virtual time.
type simulation struct {
	t        *testing.T
	state    *State
	endpoint *fakeEndpoint
	now      time.Time
	orders   []Order
	// alterAnswer, if set, returns the answer that the agent gets instead of a.
	alterAnswer func(o Order, a Answer) Answer
	lastReport  stock.Report
	// unansweredPollTimes are the times of the unanswered polls, oldest first.
	unansweredPollTimes []time.Time
	// reportCount is the number of published reports, runningRequestCount the number of requests
	// that the endpoint reports as running.
	reportCount, runningRequestCount int
}

// newSimulation returns a simulation with one router in which the given models are
// loaded. The weights of all models are cached on disk.
func newSimulation(t *testing.T, models ...string) *simulation {
	t.Helper()
	endpoint := &fakeEndpoint{spec: newEngineSpec(), cachedOnDisk: []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}}
	for _, m := range models {
		endpoint.models = append(endpoint.models, stock.LoadedModel{Model: m})
	}
	sim := &simulation{t: t, state: New(), endpoint: endpoint, now: time.UnixMilli(1_000_000)}
	sim.apply(EngineConfigured{Engine: endpoint.spec})
	sim.apply(TokenIssued{Token: 7})
	sim.apply(RouterConnected{Router: 1})
	sim.run(time.Second)
	return sim
}

// apply feeds an event to the agent and executes the effects.
func (sim *simulation) apply(ev event.Event) {
	for _, eff := range sim.state.Apply(sim.now, ev) {
		switch eff := eff.(type) {
		case Poll:
			sim.unansweredPollTimes = append(sim.unansweredPollTimes, sim.now)
		case Publish:
			sim.lastReport = eff.Report
			sim.reportCount++
		case Order:
			sim.orders = append(sim.orders, eff)
			a := sim.endpoint.order(sim.now, eff)
			if sim.alterAnswer != nil {
				a = sim.alterAnswer(eff, a)
			}
			sim.apply(OrderAnswered{Number: eff.Number, Answer: a})
		}
	}
}

// run advances the time by d in steps of 10 ms, each with a Tick and answers to all
// polls sent so far.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(10 * time.Millisecond) {
		sim.endpoint.advance(sim.now)
		sim.apply(event.Tick{})
		for _, at := range sim.unansweredPollTimes {
			snapshot := sim.endpoint.observe()
			snapshot.Report.Running = sim.runningRequestCount
			sim.apply(Observed{AskedAt: at, Engine: snapshot})
		}
		sim.unansweredPollTimes = nil
	}
}

func (sim *simulation) sendDemand(router uint64, d stock.Demand) {
	sim.apply(DemandReceived{Router: router, Demand: d})
}

// loadRequest returns a load request for the model with a deadline in 30 s, for which
// one request waits.
func (sim *simulation) loadRequest(model string) stock.LoadRequest {
	return stock.LoadRequest{Item: stock.Item{Model: model}, Deadline: sim.now.Add(30 * time.Second), Waiting: 1}
}

func (sim *simulation) loadedModels() []string {
	return lo.Map(sim.endpoint.models, func(m stock.LoadedModel, _ int) string { return m.Model })
}

func TestLoadsIntoFreeMemory(t *testing.T) {
	sim := newSimulation(t, "m0")
	sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{sim.loadRequest("m1")}})
	require.NotEmpty(t, sim.lastReport.Loads)
	assert.WithinDuration(t, sim.now.Add(2*time.Second), sim.lastReport.Loads[0].ReadyAt, 100*time.Millisecond)
	sim.run(3 * time.Second)
	assert.Equal(t, []string{"m0", "m1"}, sim.loadedModels())
	assert.True(t, sim.lastReport.Holds(stock.Item{Model: "m1"}))
}

func TestEvictsLeastRequestedModel(t *testing.T) {
	for name, c := range map[string]struct {
		uses   []stock.ModelUsage
		victim string
	}{
		"lowest rate": {[]stock.ModelUsage{{Model: "m0", Rate: 3}, {Model: "m1", Rate: 1}, {Model: "m2", Rate: 2}}, "m1"},
		"rate per holder": {
			[]stock.ModelUsage{{Model: "m0", Rate: 3, Holders: 6}, {Model: "m1", Rate: 2, Holders: 2}, {Model: "m2", Rate: 2, Holders: 2}}, "m0",
		},
		"the only holder is worth more": {
			[]stock.ModelUsage{{Model: "m0", Rate: 1, Holders: 1}, {Model: "m1", Rate: 3, Holders: 2}, {Model: "m2", Rate: 9}}, "m1",
		},
		"models with running requests stay": {
			[]stock.ModelUsage{{Model: "m0", Running: 1}, {Model: "m1", Rate: 5}, {Model: "m2", Running: 2}}, "m1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "m0", "m1", "m2")
			sim.sendDemand(1, stock.Demand{Uses: c.uses, Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
			sim.run(3 * time.Second)
			assert.NotContains(t, sim.loadedModels(), c.victim)
			assert.Contains(t, sim.loadedModels(), "m3")
			assert.Len(t, sim.loadedModels(), 3)
		})
	}
}

// A load waits for a model without running requests to evict, because an unload waits
// for the running requests of its model and blocks all other orders. In a run of a
// day's workload one unload took 6.5 s while 24 requests waited.
func TestLoadWaitsForAModelWithoutRequests(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	uses := lo.Map(sim.loadedModels(), func(m string, _ int) stock.ModelUsage { return stock.ModelUsage{Model: m, Running: 1} })
	d := stock.Demand{Uses: uses, Wants: []stock.LoadRequest{sim.loadRequest("m3")}}
	sim.sendDemand(1, d)
	sim.run(busyEvictionDelay / 2)
	assert.Empty(t, sim.orders)
	assert.Empty(t, sim.lastReport.Loads, "the load is blocked")
	d.Uses[1].Running = 0
	sim.sendDemand(1, d)
	sim.run(3 * time.Second)
	assert.Equal(t, []string{"m0", "m2", "m3"}, sim.loadedModels())
}

// A model that is being unloaded is left out of reports, because the endpoint refuses
// requests for it.
func TestModelBeingUnloadedIsNotReported(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	uses := []stock.ModelUsage{{Model: "m0", Rate: 1}, {Model: "m1", Rate: 5}, {Model: "m2", Rate: 5}}
	sim.sendDemand(1, stock.Demand{Uses: uses, Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
	require.Len(t, sim.orders, 1)
	require.Equal(t, Unload, sim.orders[0].Operation)
	assert.False(t, sim.lastReport.Holds(stock.Item{Model: "m0"}))
	assert.True(t, sim.lastReport.Holds(stock.Item{Model: "m1"}))
}

// If all models have running requests, the one with the fewest is evicted after
// busyEvictionDelay.
func TestBusyModelIsEvictedAfterDelay(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	uses := lo.Map(sim.loadedModels(), func(m string, i int) stock.ModelUsage { return stock.ModelUsage{Model: m, Running: 3 - i} })
	sim.sendDemand(1, stock.Demand{Uses: uses, Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
	sim.run(busyEvictionDelay + 3*time.Second)
	assert.Equal(t, []string{"m0", "m1", "m3"}, sim.loadedModels())
}

// An extra replica is loaded only if its value exceeds that of the model to evict by
// replicaMargin.
func TestExtraReplicaMustBeWorthEviction(t *testing.T) {
	for name, c := range map[string]struct {
		rate       float64
		wantLoaded bool
	}{"higher value": {5, true}, "similar value": {1.2, false}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "m0", "m1", "m2")
			uses := lo.Map(sim.loadedModels(), func(m string, _ int) stock.ModelUsage { return stock.ModelUsage{Model: m, Rate: 2, Holders: 2} })
			loadRequest := sim.loadRequest("m3")
			loadRequest.Waiting, loadRequest.Rate = 0, c.rate
			sim.sendDemand(1, stock.Demand{Uses: uses, Wants: []stock.LoadRequest{loadRequest}})
			sim.run(3 * time.Second)
			assert.Equal(t, c.wantLoaded, lo.Contains(sim.loadedModels(), "m3"))
		})
	}
}

func TestUrgentLoadsGoFirst(t *testing.T) {
	sim := newSimulation(t)
	late, soon, urgent := sim.loadRequest("m1"), sim.loadRequest("m2"), sim.loadRequest("m3")
	late.Priority, soon.Priority, urgent.Priority = 1, 1, 0
	soon.Deadline = sim.now.Add(10 * time.Second)
	sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{late, soon}})
	sim.sendDemand(2, stock.Demand{Wants: []stock.LoadRequest{urgent}})
	sim.run(8 * time.Second)
	// The load of m2 had started before the urgent request arrived.
	assert.Equal(t, []string{"m2", "m3", "m1"}, sim.endpoint.loadHistory)
}

// No order is issued if one of the preconditions, which name the cases, is not met.
func TestNoOrderWithoutPreconditions(t *testing.T) {
	for name, prepare := range map[string]func(sim *simulation){
		"fencing token":        func(sim *simulation) { sim.state.token = 0 },
		"current snapshot":     func(sim *simulation) { sim.apply(ObserveFailed{}) },
		"engine configuration": func(sim *simulation) { sim.apply(EngineConfigured{}) },
		"endpoint that stays":  func(sim *simulation) { sim.state.snapshot.Report.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t)
			prepare(sim)
			sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{sim.loadRequest("m1")}})
			assert.Empty(t, sim.orders)
		})
	}
}

func TestContinuesAfterLostAnswers(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	answerCount := 0
	sim.alterAnswer = func(_ Order, a Answer) Answer {
		if answerCount++; answerCount <= 2 {
			return Unanswered
		}
		return a
	}
	sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
	sim.run(5 * time.Second)
	assert.Contains(t, sim.loadedModels(), "m3")
	assert.False(t, sim.endpoint.crashed)
}

func TestRestartedEndpointIsTakenAsEmpty(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
	sim.endpoint.models, sim.endpoint.currentOrder, sim.endpoint.sequence = nil, nil, 0
	sim.run(4 * time.Second)
	assert.Equal(t, []string{"m3"}, sim.loadedModels())
}

// Guards against agents that go on reporting the models of an endpoint whose process has ended, so
// that routers send requests there until its entry is gone.
func TestEndpointThatRefusesConnectionsIsReportedDown(t *testing.T) {
	sim := newSimulation(t, "m0", "m1")
	sim.run(time.Second)
	require.False(t, sim.lastReport.Down)
	sim.apply(ObserveFailed{Reason: "timeout"})
	assert.False(t, sim.lastReport.Down, "it may only be slow")
	sim.apply(ObserveFailed{Reason: "connection refused", Refused: true})
	assert.True(t, sim.lastReport.Down)
	assert.Empty(t, sim.lastReport.Models)
	sim.run(time.Second)
	assert.False(t, sim.lastReport.Down)
	assert.Len(t, sim.lastReport.Models, 2)
}

// Guards against an endpoint that is reported as up, with the models from before it crashed, because a
// poll while it starts fails in another way.
func TestEndpointStaysDownUntilItAnswers(t *testing.T) {
	sim := newSimulation(t, "m0")
	sim.apply(ObserveFailed{Reason: "refused", Refused: true})
	require.True(t, sim.lastReport.Down)
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.apply(ObserveFailed{Reason: "connection reset"})
	assert.True(t, sim.lastReport.Down)
	assert.Empty(t, sim.lastReport.Models)
	sim.run(time.Second)
	assert.False(t, sim.lastReport.Down)
}

func TestAdapters(t *testing.T) {
	sim := newSimulation(t, "m0", "m1")
	request := func(adapter string) {
		loadRequest := sim.loadRequest("m0")
		loadRequest.Item.Adapter = adapter
		sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{loadRequest}})
		sim.run(300 * time.Millisecond)
		assert.True(t, sim.lastReport.Holds(loadRequest.Item), adapter)
	}
	request("a1")
	request("a2")
	request("a3")
	assert.False(t, sim.endpoint.crashed, "the two slots are never exceeded")
	assert.Equal(t, []string{"a2", "a3"}, sim.endpoint.models[0].Adapters, "the least recently requested adapter is evicted")
}

// The number of reports that an agent sends to all routers together does not grow with
// the number of routers.
func TestReportRateDoesNotGrowWithRouters(t *testing.T) {
	sent := make(map[int]int)
	for _, routers := range []int{5, 50, 330} {
		sim := newSimulation(t, "m0")
		for id := range routers {
			sim.apply(RouterConnected{Router: uint64(id + 1)})
		}
		sim.run(time.Second)
		sim.reportCount = 0
		for n := range 600 {
			sim.runningRequestCount = n
			sim.run(50 * time.Millisecond)
		}
		sent[routers] = sim.reportCount * routers
	}
	const seconds = 30
	for routers, n := range sent {
		assert.LessOrEqual(t, n, 40*seconds, "%d routers", routers)
	}
}

// A router that follows many agents can ask for fewer reports of request counts. Changes
// of loaded items and loads are still reported at once.
func TestLoadReportsKeepRequestedGap(t *testing.T) {
	sim := newSimulation(t, "m0")
	const gap = 4 * time.Second
	sim.sendDemand(1, stock.Demand{ReportGap: gap})
	sim.run(time.Second)
	sim.reportCount = 0
	const seconds = 40
	for n := range seconds * 20 {
		sim.runningRequestCount = n
		sim.run(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, sim.reportCount, seconds/4+1)
	assert.GreaterOrEqual(t, sim.reportCount, seconds/4-1)
	sim.reportCount = 0
	sim.sendDemand(1, stock.Demand{ReportGap: gap, Wants: []stock.LoadRequest{sim.loadRequest("m1")}})
	sim.run(200 * time.Millisecond)
	assert.Positive(t, sim.reportCount, "the new load is reported at once")
}

func TestDemandOfDisconnectedRouterIsDropped(t *testing.T) {
	sim := newSimulation(t, "m0", "m1", "m2")
	sim.endpoint.currentOrder, sim.endpoint.doneAt = &Order{Operation: Load, Item: stock.Item{Model: "m0"}}, sim.now.Add(time.Hour)
	sim.run(time.Second)
	sim.sendDemand(1, stock.Demand{Wants: []stock.LoadRequest{sim.loadRequest("m3")}})
	sim.apply(RouterDisconnected{Router: 1})
	sim.endpoint.currentOrder = nil
	sim.run(3 * time.Second)
	assert.NotContains(t, sim.loadedModels(), "m3")
}

// For any load requests, lost answers and restarts, the agent never orders the endpoint
// to exceed its memory or adapter slots.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, "m0", "m1", "m2")
		sim.alterAnswer = func(_ Order, a Answer) Answer {
			if rapid.IntRange(0, 4).Draw(rt, "lost") == 0 {
				return Unanswered
			}
			return a
		}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			loadRequest := sim.loadRequest(fmt.Sprintf("m%d", rapid.IntRange(0, 7).Draw(rt, "model")))
			if rapid.Bool().Draw(rt, "with adapter") {
				loadRequest.Item.Adapter = fmt.Sprintf("a%d", rapid.IntRange(1, 4).Draw(rt, "adapter"))
			}
			sim.sendDemand(uint64(rapid.IntRange(1, 3).Draw(rt, "router")), stock.Demand{Wants: []stock.LoadRequest{loadRequest}})
			sim.run(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ticks")) * 10 * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				sim.endpoint.models, sim.endpoint.currentOrder, sim.endpoint.sequence = nil, nil, 0
			}
			if sim.endpoint.crashed {
				rt.Fatalf("orders %v overcommit %v", sim.orders, sim.endpoint.models)
			}
		}
	})
}
