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

// world drives a router's reducer through a scripted day.
type testRouter struct {
	t      *testing.T
	s      *State
	now    time.Time
	lastID RequestID
	list   []Member
	table  *route.Table
	// effects are those of the last event.
	effects []event.Effect
}

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
	return route.New(1, route.Limits{}, nil, []*route.Service{{Name: llm, Engine: engine}, {Name: plain}})
}

func newTestRouter(t *testing.T, members ...Member) *testRouter {
	t.Helper()
	w := &testRouter{t: t, now: time.UnixMilli(1_000_000), table: testTable(), s: New(Settings{
		FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	})}
	w.apply(RoutesAdopted{Table: w.table})
	w.setMembers(members...)
	return w
}

func (w *testRouter) apply(ev event.Event) []event.Effect {
	w.effects = w.s.Apply(w.now, ev)
	return w.effects
}

func (w *testRouter) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.apply(event.Tick{})
}

func (w *testRouter) setMembers(members ...Member) {
	w.list = members
	w.apply(MembersListed{List: members})
}

// report has the agent of an endpoint report what it holds.
func (w *testRouter) report(instance string, change func(r *stock.Report)) {
	r := stock.Report{Instance: instance, KVTotal: 130_000, Routers: 1}
	r.Copies.Disk = []string{"a", "b", "c", "d"}
	if change != nil {
		change(&r)
	}
	w.apply(AgentReported{Report: r})
}

func withModels(models ...string) func(r *stock.Report) {
	return func(r *stock.Report) {
		r.Models = lo.Map(models, func(m string, _ int) stock.Held { return stock.Held{Model: m} })
	}
}

func testMember(instance, service string) Member {
	return Member{
		Instance: instance, Service: service, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		FailureDomain: "here", Slots: 64, HasModels: service == llm,
	}
}

func streamRoute() *route.Route {
	return &route.Route{
		Name: "draft", Kind: route.Stream, Timeout: 15 * time.Second, Objective: time.Second,
		MaxGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2, Resumable: true,
	}
}

// patientRoute is one whose callers wait for a load from the weight store.
func patientRoute() *route.Route {
	rt := streamRoute()
	rt.Objective = 4 * time.Second
	return rt
}

func plainRoute(kind route.Kind) *route.Route {
	return &route.Route{Name: "book", Kind: kind, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2}
}

// arrive has a request for a model, or for the plain service if none is named.
func (w *testRouter) arrive(rt *route.Route, item stock.Item) RequestID {
	w.lastID++
	req := Request{
		Attempt: fmt.Sprintf("r%d", w.lastID), Route: rt, Service: plain, Item: item,
		Deadline: w.now.Add(rt.Timeout), LastEvent: NoEvent,
	}
	if item.Model != "" {
		req.Service, req.TokensIn, req.TokensOut = llm, 1400, 170
	}
	w.apply(RequestArrived{ID: w.lastID, Request: req})
	return w.lastID
}

func (w *testRouter) ended(id RequestID, result Result) {
	w.apply(AttemptEnded{ID: id, Result: result, LastEvent: NoEvent})
}

func effectsOf[T event.Effect](w *testRouter) []T {
	return lo.FilterMap(w.effects, func(e event.Effect, _ int) (T, bool) {
		one, ok := e.(T)
		return one, ok
	})
}

// only returns the one effect of a type that the last event had.
func onlyEffect[T event.Effect](w *testRouter) T {
	w.t.Helper()
	list := effectsOf[T](w)
	require.Len(w.t, list, 1, "effects: %v", w.effects)
	return list[0]
}
