package swap

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/stock"
)

// reportCounter runs an agent with many routers and counts the reports that each gets.
type reportCounter struct {
	*simulation
	counts map[uint64]int
	last   map[uint64]*stock.Report
	// pollCount is the number of polls of the endpoint.
	pollCount int
}

// newReportCounter returns an agent with n routers, numbered from 1, that has just sent a report to
// all. The models are loaded.
func newReportCounter(t *testing.T, n int, models ...string) *reportCounter {
	t.Helper()
	c := &reportCounter{simulation: newSimulation(t, models...), counts: make(map[uint64]int), last: make(map[uint64]*stock.Report)}
	for id := 2; id <= n; id++ {
		c.apply(RouterConnected{Router: uint64(id)})
	}
	c.run(5 * time.Second)
	c.state.publishedAt = c.now
	clear(c.counts)
	return c
}

// apply feeds an event to the agent and counts the reports.
func (c *reportCounter) apply(ev event.Event) {
	for _, eff := range c.state.Apply(c.now, ev) {
		switch eff := eff.(type) {
		case Poll:
			c.pollCount++
			c.unansweredPollTimes = append(c.unansweredPollTimes, c.now)
		case Order:
			c.apply(OrderAnswered{Number: eff.Number, Answer: c.endpoint.order(c.now, eff)})
		case Publish:
			for id := range c.state.routers {
				if eff.Routers == nil || slices.Contains(eff.Routers, id) {
					c.counts[id]++
					c.last[id] = &eff.Report
				}
			}
		}
	}
}

func (c *reportCounter) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		c.endpoint.advance(c.now)
		c.apply(event.Tick{})
		for _, at := range c.unansweredPollTimes {
			c.apply(Observed{AskedAt: at, Engine: c.endpoint.observe()})
		}
		c.unansweredPollTimes = nil
	}
}

// total returns the number of reports to all routers.
func (c *reportCounter) total() int {
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// An agent that loads one model after the other, as endpoints of rarely used models do, must not
// tell each of many routers of each step.
func TestReportsDoNotGrowWithRouters(t *testing.T) {
	const seconds = 20
	for name, routers := range map[string]int{"5": 5, "27": 27, "103": 103, "330": 330} {
		t.Run(name, func(t *testing.T) {
			c := newReportCounter(t, routers, "m0", "m1", "m2")
			for n := range seconds {
				model := []string{"m3", "m4", "m5", "m6", "m7", "m0", "m1", "m2"}[n%8]
				id := uint64(n%routers + 1)
				c.apply(DemandReceived{Router: id, Demand: stock.Demand{Wants: []stock.LoadRequest{c.loadRequest(model)}}})
				c.run(time.Second)
				c.apply(DemandReceived{Router: id})
			}
			// One report to all for each unload, of which there are at most one in two seconds.
			assert.LessOrEqual(t, c.total(), 100*seconds+seconds/2*routers)
		})
	}
}

// A router is told at once of the load that it has asked for and of its end, others a little later.
func TestRequesterIsToldOfItsLoadAtOnce(t *testing.T) {
	c := newReportCounter(t, 103, "m0", "m1")
	c.apply(DemandReceived{Router: 7, Demand: stock.Demand{Wants: []stock.LoadRequest{c.loadRequest("m4")}}})
	require.Equal(t, map[uint64]int{7: 1}, c.counts)
	assert.NotEmpty(t, c.last[7].Loads)
	c.run(1500 * time.Millisecond)
	c.apply(DemandReceived{Router: 8, Demand: stock.Demand{Wants: []stock.LoadRequest{c.loadRequest("m4")}}})
	assert.NotEmpty(t, c.last[8].Loads, "the load is already under way")
	c.run(600 * time.Millisecond)
	assert.True(t, c.last[7].Holds(stock.Item{Model: "m4"}))
	assert.True(t, c.last[8].Holds(stock.Item{Model: "m4"}))
	c.run(time.Second)
	assert.True(t, c.last[9].Holds(stock.Item{Model: "m4"}))
}

// A router with traffic for a model is told at once that it is being unloaded.
func TestRouterIsToldOfEvictionAtOnce(t *testing.T) {
	c := newReportCounter(t, 103, "m0", "m1", "m2")
	c.apply(DemandReceived{Router: 3, Demand: stock.Demand{Uses: []stock.ModelUsage{{Model: "m1", Rate: 0.05}}}})
	c.apply(DemandReceived{Router: 4, Demand: stock.Demand{Uses: []stock.ModelUsage{{Model: "m0", Rate: 1}, {Model: "m2", Rate: 1}}}})
	c.apply(DemandReceived{Router: 5, Demand: stock.Demand{Wants: []stock.LoadRequest{c.loadRequest("m4")}}})
	assert.Equal(t, map[uint64]int{3: 1, 5: 1}, c.counts)
	assert.False(t, c.last[3].Holds(stock.Item{Model: "m1"}))
	c.run(103*goneIntervalPerRouter + 50*time.Millisecond)
	require.Len(t, c.last, 103, "the others soon")
	assert.False(t, c.last[50].Holds(stock.Item{Model: "m1"}))
}

// What every router must know is sent to all at once, and a router that connects gets a report.
func TestUrgentChangesGoToAll(t *testing.T) {
	c := newReportCounter(t, 103, "m0")
	c.apply(RouterConnected{Router: 200})
	assert.Equal(t, 1, c.counts[200])
	c.apply(RouterConnected{Router: 201})
	assert.Equal(t, 1, c.counts[201])
	assert.Equal(t, 1, c.counts[200])
	c.apply(ObserveFailed{Refused: true})
	assert.Len(t, c.counts, 105)
	assert.True(t, c.last[50].Down)
}

// Routers that start together learn soon how many they are, without a report to all for each.
func TestRoutersLearnTheirNumber(t *testing.T) {
	c := newReportCounter(t, 1, "m0")
	for id := uint64(2); id <= 103; id++ {
		c.apply(RouterConnected{Router: id})
		c.run(10 * time.Millisecond)
	}
	assert.LessOrEqual(t, c.total(), 6*103)
	c.run(routersReportInterval)
	for id := uint64(1); id <= 103; id++ {
		require.Equal(t, 103, c.last[id].Routers)
	}
}

func BenchmarkTick(b *testing.B) {
	for name, routers := range map[string]int{"5_routers": 5, "27_routers": 27, "103_routers": 103, "330_routers": 330} {
		b.Run(name, func(b *testing.B) {
			s, now := New(), time.UnixMilli(1_000_000)
			s.Apply(now, EngineConfigured{Engine: newEngineSpec()})
			s.Apply(now, TokenIssued{Token: 1})
			models := []stock.LoadedModel{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
			s.Apply(now, Observed{AskedAt: now, Engine: Snapshot{Report: stock.Report{Instance: "i", Models: models}}})
			for id := range routers {
				s.Apply(now, RouterConnected{Router: uint64(id)})
				s.Apply(now, DemandReceived{Router: uint64(id), Demand: stock.Demand{Uses: []stock.ModelUsage{{Model: "m0", Rate: 0.1}, {Model: "m1"}, {Model: "m2"}}}})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Apply(now, event.Tick{})
			}
		})
	}
}

// An agent polls a busy endpoint no more often than its reports to many routers need.
func TestPollsFollowReports(t *testing.T) {
	for name, c := range map[string]struct{ routers, most int }{"5": {5, 101}, "27": {27, 51}, "103": {103, 35}} {
		t.Run(name, func(t *testing.T) {
			r := newReportCounter(t, c.routers, "m0")
			polls := 0
			for range 1000 {
				r.now = r.now.Add(10 * time.Millisecond)
				for _, eff := range r.state.Apply(r.now, event.Tick{}) {
					if _, ok := eff.(Poll); ok {
						polls++
						snapshot := r.endpoint.observe()
						snapshot.Report.Running = 3
						r.state.Apply(r.now, Observed{AskedAt: r.now, Engine: snapshot})
					}
				}
			}
			assert.LessOrEqual(t, polls, c.most)
		})
	}
}

// An agent polls its endpoint often only near the end of a load, and not for replicas that it does
// not load.
func TestPollsDuringLoad(t *testing.T) {
	r := newReportCounter(t, 5, "m0", "m1", "m2")
	polls := func(d time.Duration) int {
		before := r.pollCount
		r.run(d)
		return r.pollCount - before
	}
	uses := []stock.ModelUsage{{Model: "m0", Rate: 9}, {Model: "m1", Rate: 9}, {Model: "m2", Rate: 9}}
	replica := stock.LoadRequest{Item: stock.Item{Model: "m5"}, Priority: 9, Deadline: r.now.Add(time.Minute), Rate: 1}
	r.apply(DemandReceived{Router: 1, Demand: stock.Demand{Uses: uses, Wants: []stock.LoadRequest{replica}}})
	assert.LessOrEqual(t, polls(3*time.Second), 11, "a replica that is worth less than what is loaded")
	r.apply(DemandReceived{Router: 1, Demand: stock.Demand{Wants: []stock.LoadRequest{r.loadRequest("m4")}}})
	assert.LessOrEqual(t, polls(2500*time.Millisecond), 40)
	assert.Contains(t, r.loadedModels(), "m4")
}
