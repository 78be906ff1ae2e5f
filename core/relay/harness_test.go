package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// testRouter drives a router's state with scripted events and a simulated clock.
type testRouter struct {
	t      *testing.T
	state  *State
	now    time.Time
	lastID RequestID
	// list is the current endpoint list.
	list  []EndpointEntry
	table *route.Table
	// effects are the effects of the last event.
	effects []event.Effect
}

// Names of the test services. The endpoints of llm load models, those of plain don't.
const (
	llm   = "llm"
	plain = "plain"
)

func testTable() *route.Table {
	models := make(map[string]route.Model)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		models[name] = route.Model{
			Name: name, Size: 70_000, Adapters: 4, AdapterSize: 50,
			FromStore: 9 * time.Second, FromDisk: 2 * time.Second, FromMemory: time.Second,
		}
	}
	engine := &route.Engine{Slots: 64, Memory: 230_000, AdapterSlots: 8, KVCapacity: 130_000, LoadsPerSecond: 2, Models: models}
	return route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: llm, Engine: engine}, {Name: plain}})
}

func newTestRouter(t *testing.T, entries ...EndpointEntry) *testRouter {
	t.Helper()
	router := &testRouter{t: t, now: time.UnixMilli(1_000_000), table: testTable(), state: New(Settings{
		FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	})}
	router.apply(RoutesAdopted{Table: router.table})
	router.listEndpoints(entries...)
	return router
}

func (router *testRouter) apply(ev event.Event) []event.Effect {
	router.effects = router.state.Apply(router.now, ev)
	return router.effects
}

func (router *testRouter) advance(d time.Duration) {
	router.now = router.now.Add(d)
	router.apply(event.Tick{})
}

func (router *testRouter) listEndpoints(entries ...EndpointEntry) {
	router.list = entries
	router.apply(EndpointsListed{List: entries, ReadAt: router.now})
}

// report applies a report of the endpoint's agent, modified by change if that is not nil.
func (router *testRouter) report(instance string, change func(r *stock.Report)) {
	r := stock.Report{Instance: instance, KVTotal: 130_000, Routers: 1}
	r.Copies.Disk = []string{"a", "b", "c", "d"}
	if change != nil {
		change(&r)
	}
	router.apply(AgentReported{Report: r})
}

func withModels(models ...string) func(r *stock.Report) {
	return func(r *stock.Report) {
		r.Models = lo.Map(models, func(m string, _ int) stock.LoadedModel { return stock.LoadedModel{Model: m} })
	}
}

func testEntry(instance, service string) EndpointEntry {
	return EndpointEntry{
		Instance: instance, Service: service, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		FailureDomain: "here", Slots: 64, HasModels: service == llm, Software: "v1",
	}
}

func streamRoute() *route.Route {
	return &route.Route{
		Name: "draft", Kind: route.Stream, Timeout: 15 * time.Second, Objective: time.Second,
		MaxGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2, Resumable: true,
	}
}

// patientRoute is a stream route whose callers wait long enough for a load from the weight
// store.
func patientRoute() *route.Route {
	rt := streamRoute()
	rt.Objective = 4 * time.Second
	return rt
}

func plainRoute(kind route.Kind) *route.Route {
	return &route.Route{Name: "book", Kind: kind, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2}
}

// arrive applies the arrival of a request for item, or of a request to the plain service if
// item is zero, and returns its ID.
func (router *testRouter) arrive(rt *route.Route, item stock.Item) RequestID {
	router.lastID++
	req := Request{
		AttemptID: fmt.Sprintf("r%d", router.lastID), Route: rt, Service: plain, Item: item,
		Deadline: router.now.Add(rt.Timeout), LastEvent: NoEvent,
	}
	if item.Model != "" {
		req.Service, req.TokensIn, req.TokensOut = llm, 1400, 170
	}
	router.apply(RequestArrived{ID: router.lastID, Request: req})
	return router.lastID
}

func (router *testRouter) endAttempt(id RequestID, result Result) {
	router.apply(AttemptEnded{ID: id, Result: result, LastEvent: NoEvent, PromptServed: result == Done})
}

func effectsOf[T event.Effect](router *testRouter) []T {
	return lo.FilterMap(router.effects, func(eff event.Effect, _ int) (T, bool) {
		typed, ok := eff.(T)
		return typed, ok
	})
}

// onlyEffect returns the effect of type T of the last event and fails the test if there is
// not exactly one.
func onlyEffect[T event.Effect](router *testRouter) T {
	router.t.Helper()
	list := effectsOf[T](router)
	require.Len(router.t, list, 1, "effects: %v", router.effects)
	return list[0]
}
