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

// engine stands in for an endpoint: it carries out one order on a model at a
// time and crashes when it is ordered to hold too much.
type engine struct {
	spec     *route.Engine
	held     []stock.Held
	disk     []string
	sequence int64
	// orders counts all that came, refused ones too.
	orders   int
	busy     *Order
	doneAt   time.Time
	crashed  bool
	loads    []string
	adapters adapters
}

func newSpec() *route.Engine {
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

func (e *engine) advance(now time.Time) {
	if e.busy == nil || now.Before(e.doneAt) {
		return
	}
	item := e.busy.Item
	if e.busy.Operation == Load {
		e.held = append(e.held, stock.Held{Model: item.Model})
		e.loads = append(e.loads, item.Model)
	} else {
		e.held = lo.Reject(e.held, func(h stock.Held, _ int) bool { return h.Model == item.Model })
	}
	e.busy = nil
	e.check()
}

// check crashes the engine when it holds more than it may.
func (e *engine) check() {
	size, adapters := 0.0, 0
	for _, h := range e.held {
		m := e.spec.Models[h.Model]
		size += m.Size + float64(len(h.Adapters))*m.AdapterSize
		adapters += len(h.Adapters)
	}
	e.crashed = e.crashed || size > e.spec.Memory || adapters > e.spec.AdapterSlots
}

// order takes an order as the platform's endpoints do.
func (e *engine) order(now time.Time, o Order) Answer {
	e.orders++
	if o.Sequence != e.sequence || e.busy != nil {
		return Conflict
	}
	e.sequence++
	if o.Operation == Unload && e.adapters.busy[o.Item.Adapter] {
		return Accepted
	}
	if o.Item.Adapter == "" {
		e.busy = &o
		e.doneAt = now.Add(50 * time.Millisecond)
		if o.Operation == Load {
			e.doneAt = now.Add(2 * time.Second)
		}
		return Accepted
	}
	for i := range e.held {
		if e.held[i].Model != o.Item.Model {
			continue
		}
		if o.Operation == Load {
			e.held[i].Adapters = append(e.held[i].Adapters, o.Item.Adapter)
		} else {
			e.held[i].Adapters = lo.Without(e.held[i].Adapters, o.Item.Adapter)
		}
	}
	e.check()
	return Holds
}

func (e *engine) observe() Engine {
	held := make([]stock.Held, len(e.held))
	copy(held, e.held)
	return Engine{
		Busy: e.busy != nil, Sequence: e.sequence,
		Report: stock.Report{Instance: "i", Models: held, Copies: stock.Copies{Disk: e.disk}},
	}
}

// adapters holds what an endpoint does with the adapters that have requests: an
// unload waits for them.
type adapters struct {
	busy map[string]bool
}

// world drives an agent beside an engine.
type world struct {
	t      *testing.T
	s      *State
	e      *engine
	now    time.Time
	orders []Order
	// answer may lose or change the answer to an order.
	answer   func(o Order, a Answer) Answer
	reported stock.Report
	polls    []time.Time
	// published counts reports; running is how many requests the engine runs.
	published, running int
}

func newWorld(t *testing.T, held ...string) *world {
	t.Helper()
	e := &engine{spec: newSpec(), disk: []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}}
	for _, m := range held {
		e.held = append(e.held, stock.Held{Model: m})
	}
	w := &world{t: t, s: New(), e: e, now: time.UnixMilli(1_000_000)}
	w.apply(Adopted{Engine: e.spec})
	w.apply(Fenced{Token: 7})
	w.apply(Joined{Router: 1})
	w.run(time.Second)
	return w
}

func (w *world) apply(ev event.Event) {
	for _, eff := range w.s.Apply(w.now, ev) {
		switch eff := eff.(type) {
		case Poll:
			w.polls = append(w.polls, w.now)
		case Publish:
			w.reported = eff.Report
			w.published++
		case Order:
			w.orders = append(w.orders, eff)
			a := w.e.order(w.now, eff)
			if w.answer != nil {
				a = w.answer(eff, a)
			}
			w.apply(Ordered{Number: eff.Number, Answer: a})
		}
	}
}

// run lets time pass in steps of 10 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		w.e.advance(w.now)
		w.apply(event.Tick{})
		for _, at := range w.polls {
			seen := w.e.observe()
			seen.Report.Running = w.running
			w.apply(Observed{AskedAt: at, Engine: seen})
		}
		w.polls = nil
	}
}

func (w *world) demand(router uint64, d stock.Demand) {
	w.apply(Demanded{Router: router, Demand: d})
}

func (w *world) want(model string) stock.Want {
	return stock.Want{Item: stock.Item{Model: model}, Deadline: w.now.Add(30 * time.Second), Waiting: 1}
}

func (w *world) holds() []string {
	return lo.Map(w.e.held, func(h stock.Held, _ int) string { return h.Model })
}

func TestLoadsIntoFreeRoom(t *testing.T) {
	w := newWorld(t, "m0")
	w.demand(1, stock.Demand{Wants: []stock.Want{w.want("m1")}})
	require.NotEmpty(t, w.reported.Loads)
	assert.WithinDuration(t, w.now.Add(2*time.Second), w.reported.Loads[0].ReadyAt, 100*time.Millisecond)
	w.run(3 * time.Second)
	assert.Equal(t, []string{"m0", "m1"}, w.holds())
	assert.True(t, w.reported.Holds(stock.Item{Model: "m1"}))
}

func TestGivesUpWhatIsAskedForLeast(t *testing.T) {
	for name, c := range map[string]struct {
		uses   []stock.Use
		victim string
	}{
		"lowest rate": {[]stock.Use{{Model: "m0", Rate: 3}, {Model: "m1", Rate: 1}, {Model: "m2", Rate: 2}}, "m1"},
		"rate for each holder": {
			[]stock.Use{{Model: "m0", Rate: 3, Holders: 6}, {Model: "m1", Rate: 2, Holders: 2}, {Model: "m2", Rate: 2, Holders: 2}}, "m0",
		},
		"the only holder is worth more": {
			[]stock.Use{{Model: "m0", Rate: 1, Holders: 1}, {Model: "m1", Rate: 3, Holders: 2}, {Model: "m2", Rate: 9}}, "m1",
		},
		"what runs requests stays": {
			[]stock.Use{{Model: "m0", Running: 1}, {Model: "m1", Rate: 5}, {Model: "m2", Running: 2}}, "m1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "m0", "m1", "m2")
			w.demand(1, stock.Demand{Uses: c.uses, Wants: []stock.Want{w.want("m3")}})
			w.run(3 * time.Second)
			assert.NotContains(t, w.holds(), c.victim)
			assert.Contains(t, w.holds(), "m3")
			assert.Len(t, w.holds(), 3)
		})
	}
}

// An unload waits for the requests of its model, and holds up all other orders:
// one took 6.5 s on a played day, with 24 requests behind it.
func TestLoadWaitsForAModelWithoutRequests(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	uses := lo.Map(w.holds(), func(m string, _ int) stock.Use { return stock.Use{Model: m, Running: 1} })
	d := stock.Demand{Uses: uses, Wants: []stock.Want{w.want("m3")}}
	w.demand(1, d)
	w.run(busyPatience / 2)
	assert.Empty(t, w.orders)
	assert.Empty(t, w.reported.Loads, "routers must ask elsewhere")
	d.Uses[1].Running = 0
	w.demand(1, d)
	w.run(3 * time.Second)
	assert.Equal(t, []string{"m0", "m2", "m3"}, w.holds())
}

// While a model is unloaded its endpoint turns requests for it away.
func TestModelThatIsUnloadedIsNotReported(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	uses := []stock.Use{{Model: "m0", Rate: 1}, {Model: "m1", Rate: 5}, {Model: "m2", Rate: 5}}
	w.demand(1, stock.Demand{Uses: uses, Wants: []stock.Want{w.want("m3")}})
	require.Len(t, w.orders, 1)
	require.Equal(t, Unload, w.orders[0].Operation)
	assert.False(t, w.reported.Holds(stock.Item{Model: "m0"}))
	assert.True(t, w.reported.Holds(stock.Item{Model: "m1"}))
}

func TestBusyModelMakesRoomInTheEnd(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	uses := lo.Map(w.holds(), func(m string, i int) stock.Use { return stock.Use{Model: m, Running: 3 - i} })
	w.demand(1, stock.Demand{Uses: uses, Wants: []stock.Want{w.want("m3")}})
	w.run(busyPatience + 3*time.Second)
	assert.Equal(t, []string{"m0", "m1", "m3"}, w.holds())
}

func TestOneMoreCopyMustBeWorthIt(t *testing.T) {
	for name, c := range map[string]struct {
		rate   float64
		loaded bool
	}{"worth more": {5, true}, "worth about the same": {1.2, false}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "m0", "m1", "m2")
			uses := lo.Map(w.holds(), func(m string, _ int) stock.Use { return stock.Use{Model: m, Rate: 2, Holders: 2} })
			want := w.want("m3")
			want.Waiting, want.Rate = 0, c.rate
			w.demand(1, stock.Demand{Uses: uses, Wants: []stock.Want{want}})
			w.run(3 * time.Second)
			assert.Equal(t, c.loaded, lo.Contains(w.holds(), "m3"))
		})
	}
}

func TestUrgentLoadsGoFirst(t *testing.T) {
	w := newWorld(t)
	late, soon, urgent := w.want("m1"), w.want("m2"), w.want("m3")
	late.Priority, soon.Priority, urgent.Priority = 1, 1, 0
	soon.Deadline = w.now.Add(10 * time.Second)
	w.demand(1, stock.Demand{Wants: []stock.Want{late, soon}})
	w.demand(2, stock.Demand{Wants: []stock.Want{urgent}})
	w.run(8 * time.Second)
	// The first one was begun before the urgent one came.
	assert.Equal(t, []string{"m2", "m3", "m1"}, w.e.loads)
}

func TestNoOrderWithout(t *testing.T) {
	for name, prepare := range map[string]func(w *world){
		"fencing number": func(w *world) { w.s.token = 0 },
		"observation":    func(w *world) { w.apply(Unobserved{}) },
		"known engine":   func(w *world) { w.apply(Adopted{}) },
		"staying":        func(w *world) { w.s.seen.Report.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			prepare(w)
			w.demand(1, stock.Demand{Wants: []stock.Want{w.want("m1")}})
			assert.Empty(t, w.orders)
		})
	}
}

func TestLostAnswerIsAskedFor(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	lost := 0
	w.answer = func(_ Order, a Answer) Answer {
		if lost++; lost <= 2 {
			return Silent
		}
		return a
	}
	w.demand(1, stock.Demand{Wants: []stock.Want{w.want("m3")}})
	w.run(5 * time.Second)
	assert.Contains(t, w.holds(), "m3")
	assert.False(t, w.e.crashed)
}

func TestRestartedEndpointIsTakenAsEmpty(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	w.demand(1, stock.Demand{Wants: []stock.Want{w.want("m3")}})
	w.e.held, w.e.busy, w.e.sequence = nil, nil, 0
	w.run(4 * time.Second)
	assert.Equal(t, []string{"m3"}, w.holds())
}

func TestAdapters(t *testing.T) {
	w := newWorld(t, "m0", "m1")
	ask := func(adapter string) {
		want := w.want("m0")
		want.Item.Adapter = adapter
		w.demand(1, stock.Demand{Wants: []stock.Want{want}})
		w.run(300 * time.Millisecond)
		assert.True(t, w.reported.Holds(want.Item), adapter)
	}
	ask("a1")
	ask("a2")
	ask("a3")
	assert.False(t, w.e.crashed, "the two slots are never exceeded")
	assert.Equal(t, []string{"a2", "a3"}, w.e.held[0].Adapters, "the one asked for longest ago makes room")
}

// The reports of an agent to all routers together stay about as many, however many
// routers there are.
func TestReportsStayAsManyWithMoreRouters(t *testing.T) {
	sent := make(map[int]int)
	for _, routers := range []int{5, 50, 330} {
		w := newWorld(t, "m0")
		for id := range routers {
			w.apply(Joined{Router: uint64(id + 1)})
		}
		w.run(time.Second)
		w.published = 0
		for n := range 600 {
			w.running = n
			w.run(50 * time.Millisecond)
		}
		sent[routers] = w.published * routers
	}
	const seconds = 30
	for routers, n := range sent {
		assert.LessOrEqual(t, n, 40*seconds, "%d routers", routers)
	}
}

// A router that follows many agents gets the load of each less often, what they
// hold at once.
func TestReportsOfLoadAsRarelyAsAsked(t *testing.T) {
	w := newWorld(t, "m0")
	const gap = 4 * time.Second
	w.demand(1, stock.Demand{ReportGap: gap})
	w.run(time.Second)
	w.published = 0
	const seconds = 40
	for n := range seconds * 20 {
		w.running = n
		w.run(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, w.published, seconds/4+1)
	assert.GreaterOrEqual(t, w.published, seconds/4-1)
	w.published = 0
	w.demand(1, stock.Demand{ReportGap: gap, Wants: []stock.Want{w.want("m1")}})
	w.run(200 * time.Millisecond)
	assert.Positive(t, w.published, "the load is on its way")
}

func TestRouterThatLeftWantsNothing(t *testing.T) {
	w := newWorld(t, "m0", "m1", "m2")
	w.e.busy, w.e.doneAt = &Order{Operation: Load, Item: stock.Item{Model: "m0"}}, w.now.Add(time.Hour)
	w.run(time.Second)
	w.demand(1, stock.Demand{Wants: []stock.Want{w.want("m3")}})
	w.apply(Left{Router: 1})
	w.e.busy = nil
	w.run(3 * time.Second)
	assert.NotContains(t, w.holds(), "m3")
}

// Whatever is asked for and however answers are lost, the endpoint is never
// ordered to hold more than it may, and orders name what was seen last.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, "m0", "m1", "m2")
		w.answer = func(_ Order, a Answer) Answer {
			if rapid.IntRange(0, 4).Draw(rt, "lost") == 0 {
				return Silent
			}
			return a
		}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			want := w.want(fmt.Sprintf("m%d", rapid.IntRange(0, 7).Draw(rt, "model")))
			if rapid.Bool().Draw(rt, "with adapter") {
				want.Item.Adapter = fmt.Sprintf("a%d", rapid.IntRange(1, 4).Draw(rt, "adapter"))
			}
			w.demand(uint64(rapid.IntRange(1, 3).Draw(rt, "router")), stock.Demand{Wants: []stock.Want{want}})
			w.run(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ticks")) * 10 * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				w.e.held, w.e.busy, w.e.sequence = nil, nil, 0
			}
			if w.e.crashed {
				rt.Fatalf("orders %v overcommit %v", w.orders, w.e.held)
			}
		}
	})
}
