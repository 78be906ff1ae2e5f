package relay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
)

// limitFleet simulates the routers of a fleet and two agents with a common clock. One of the
// endpoints names a limit. Messages and answers take netDelay to netDelay plus netJitter.
type limitFleet struct {
	fleetClock
	t       *testing.T
	routers []*fleetRouter
	agents  map[string]*swap.State
	// downUntil is the time until which an agent is down.
	downUntil map[string]time.Time
	// cutOff reports whether a router does not reach an agent.
	cutOff    func(router int, agent string) bool
	entries   []EndpointEntry
	limited   string
	perSecond float64
	// namedAt is the time from which the limited endpoint names its limit.
	namedAt time.Time
	// arrivals are the requests that reached the limited endpoint.
	arrivals []fleetArrival
	answered map[bool]int
	// heldFor are the times for which requests were held before they were refused, arrivedAt the
	// times of arrival by router and request.
	heldFor   []time.Duration
	arrivedAt map[fleetRequest]time.Time
	// askCount is the number of asks for permits, numbers of those that reached an agent.
	askCount int
	numbers  uint64
	asks     map[uint64]func(swap.PermitAnswered)
}

type fleetRouter struct {
	state *State
	index int
	// toldAt is the time at which the router first got an answer that names a limit.
	toldAt      time.Time
	frozenUntil time.Time
	// wakeAt is the time of the next tick.
	wakeAt time.Time
	lastID RequestID
	// inbox are the events that reached the router while it was frozen.
	inbox []event.Event
}

type fleetRequest struct {
	router int
	id     RequestID
}

// fleetClock is the common clock of a simulated fleet, with the messages that are on their way.
type fleetClock struct {
	rnd     *rand.Rand
	now     time.Time
	pending []fleetMessage
}

type fleetMessage struct {
	at      time.Time
	deliver func()
}

func newFleetClock(seed uint64) fleetClock {
	return fleetClock{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000)}
}

// after calls deliver after d and the delay of a message.
func (c *fleetClock) after(d time.Duration, deliver func()) {
	c.at(c.now.Add(d+netDelay+time.Duration(c.rnd.Int64N(int64(netJitter)))), deliver)
}

// at calls deliver at the given time. Calls for the same time keep their order.
func (c *fleetClock) at(at time.Time, deliver func()) {
	i, _ := slices.BinarySearchFunc(c.pending, at, func(m fleetMessage, at time.Time) int { return cmp.Or(m.at.Compare(at), -1) })
	c.pending = slices.Insert(c.pending, i, fleetMessage{at, deliver})
}

// step advances the clock by fleetStep and delivers the messages that are due.
func (c *fleetClock) step() {
	c.now = c.now.Add(fleetStep)
	for len(c.pending) > 0 && !c.pending[0].at.After(c.now) {
		m := c.pending[0]
		c.pending = c.pending[1:]
		m.deliver()
	}
}

type fleetArrival struct {
	at     time.Time
	router int
}

const (
	netDelay  = time.Millisecond
	netJitter = 4 * time.Millisecond
	fleetStep = 5 * time.Millisecond
	// tickPeriod is the longest time between two ticks, as in package loop.
	tickPeriod = 100 * time.Millisecond
)

func newLimitFleet(t *testing.T, seed uint64, routerCount int, limited string, perSecond float64) *limitFleet {
	t.Helper()
	f := &limitFleet{
		t: t, fleetClock: newFleetClock(seed), limited: limited, perSecond: perSecond,
		agents: make(map[string]*swap.State), downUntil: make(map[string]time.Time), answered: make(map[bool]int),
		asks: make(map[uint64]func(swap.PermitAnswered)), arrivedAt: make(map[fleetRequest]time.Time),
		entries: []EndpointEntry{testEntry("e1", llm), testEntry("e2", llm), testEntry("p1", plain)},
	}
	f.agents["e1"], f.agents["e2"] = swap.New(), swap.New()
	for n := range routerCount {
		f.addRouter(n)
	}
	for _, agent := range []string{"e1", "e2"} {
		f.observe(agent)
		f.publishAll(agent)
	}
	return f
}

// addRouter starts router n, or starts it again.
func (f *limitFleet) addRouter(n int) {
	r := &fleetRouter{index: n, state: New(Settings{
		Process: fmt.Sprint("router-", n), FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	})}
	if n < len(f.routers) {
		r.lastID = f.routers[n].lastID
		f.routers[n] = r
	} else {
		f.routers = append(f.routers, r)
	}
	f.apply(r, RoutesAdopted{Table: testTable()})
	f.apply(r, EndpointsListed{List: f.entries})
}

// observe applies a snapshot of the endpoint to its agent. A router is connected, so that the
// agent publishes reports.
func (f *limitFleet) observe(agent string) {
	r := stock.Report{Instance: agent, KVTotal: 130_000, Models: []stock.LoadedModel{{Model: "a"}}}
	f.agents[agent].Apply(f.now, swap.RouterConnected{Router: 1})
	f.agents[agent].Apply(f.now, swap.Observed{AskedAt: f.now, Engine: swap.Snapshot{Report: r}})
}

func (f *limitFleet) publishAll(agent string) {
	for _, r := range f.routers {
		f.report(agent, r, nil)
	}
}

func (f *limitFleet) report(agent string, r *fleetRouter, limits []stock.EndpointLimit) {
	report := stock.Report{Instance: agent, KVTotal: 130_000, Models: []stock.LoadedModel{{Model: "a"}}, Routers: len(f.routers), Limits: limits}
	report.Copies.Disk = []string{"a"}
	f.post(r, AgentReported{Report: report})
}

// post delivers an event to a router after a delay.
func (f *limitFleet) post(r *fleetRouter, ev event.Event) {
	f.after(0, func() {
		if f.routers[r.index] == r {
			f.apply(r, ev)
		}
	})
}

// apply applies an event to a router, or keeps it while the router is frozen.
func (f *limitFleet) apply(r *fleetRouter, ev event.Event) {
	if f.now.Before(r.frozenUntil) {
		if _, tick := ev.(event.Tick); !tick {
			r.inbox = append(r.inbox, ev)
		}
		return
	}
	for _, eff := range r.state.Apply(f.now, ev) {
		switch eff := eff.(type) {
		case event.Wake:
			if eff.At.Before(r.wakeAt) {
				r.wakeAt = eff.At
			}
		case Send:
			f.send(r, eff)
		case AskPermit:
			f.askPermit(r, eff)
		case ReportLimit:
			if !f.isCutOff(r.index, eff.Granter) {
				f.toAgent(eff.Granter, swap.LimitReported{Limit: eff.Limit})
			}
		case Refuse:
			f.heldFor = append(f.heldFor, f.now.Sub(f.arrivedAt[fleetRequest{r.index, eff.ID}]))
		}
	}
}

// send delivers a request to its endpoint, which answers at once.
func (f *limitFleet) send(r *fleetRouter, eff Send) {
	f.after(0, func() {
		answer := RateLimit{}
		if eff.Instance == f.limited {
			f.arrivals = append(f.arrivals, fleetArrival{f.now, r.index})
			if !f.namedAt.IsZero() {
				answer = RateLimit{Named: true, PerSecond: f.perSecond}
			}
		}
		f.answered[eff.Instance == f.limited]++
		f.after(0, func() {
			if f.routers[r.index] != r {
				return
			}
			if answer.Named && r.toldAt.IsZero() {
				r.toldAt = f.now
			}
			if answer.Named || eff.Limited {
				f.apply(r, LimitObserved{ID: eff.ID, Try: eff.Try, Limit: answer})
			}
			f.apply(r, AnswerStarted{ID: eff.ID})
			f.apply(r, AttemptEnded{ID: eff.ID, Result: Done, LastEvent: NoEvent})
		})
	})
}

func (f *limitFleet) askPermit(r *fleetRouter, eff AskPermit) {
	f.askCount++
	answered := PermitAnswered{ID: eff.ID, Number: eff.Number, Result: PermitUnanswered}
	if f.now.Before(f.downUntil[eff.Granter]) || f.isCutOff(r.index, eff.Granter) {
		f.post(r, answered)
		return
	}
	f.numbers++
	number, askedAt := f.numbers, f.now
	f.asks[number] = func(a swap.PermitAnswered) {
		answered.Result, answered.StartAt = PermitDenied, a.StartAt
		if a.Granted {
			answered.Result, answered.ExpiresAt = PermitGranted, askedAt.Add(a.StartAt.Sub(f.now)+300*time.Millisecond)
		}
		f.post(r, answered)
	}
	f.toAgent(eff.Granter, swap.PermitAsked{Number: number, Limit: eff.Limit, Ask: eff.Ask})
}

// toAgent delivers an event to an agent that is up.
func (f *limitFleet) toAgent(agent string, ev event.Event) {
	f.after(0, func() {
		if f.now.Before(f.downUntil[agent]) {
			return
		}
		for _, eff := range f.agents[agent].Apply(f.now, ev) {
			switch eff := eff.(type) {
			case swap.PermitAnswered:
				f.asks[eff.Number](eff)
				delete(f.asks, eff.Number)
			case swap.Publish:
				for _, r := range f.routers {
					if !f.isCutOff(r.index, agent) {
						f.report(agent, r, eff.Report.Limits)
					}
				}
			}
		}
	})
}

func (f *limitFleet) isCutOff(router int, agent string) bool {
	return f.cutOff != nil && f.cutOff(router, agent)
}

// run advances the clock by d. In each step the routers get requests at the given total rate.
func (f *limitFleet) run(d time.Duration, requestsPerSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for _, r := range f.routers {
			if f.now.Before(r.frozenUntil) {
				continue
			}
			for len(r.inbox) > 0 {
				ev := r.inbox[0]
				r.inbox = r.inbox[1:]
				f.apply(r, ev)
			}
			if !f.now.Before(r.wakeAt) {
				r.wakeAt = f.now.Add(tickPeriod)
				f.apply(r, event.Tick{})
			}
		}
		for n := f.rnd.Float64() + requestsPerSecond*fleetStep.Seconds(); n >= 1; n-- {
			f.arrive(f.routers[f.rnd.IntN(len(f.routers))])
		}
	}
}

func (f *limitFleet) arrive(r *fleetRouter) {
	r.lastID++
	rt := plainRoute(route.Safe)
	req := Request{AttemptID: "x", Route: rt, Service: plain, Deadline: f.now.Add(rt.Timeout), LastEvent: NoEvent}
	if f.limited != "p1" {
		req.Route, req.Service, req.Item, req.TokensIn = streamRoute(), llm, modelA, 100
		req.Deadline = f.now.Add(req.Route.Timeout)
	}
	f.arrivedAt[fleetRequest{r.index, r.lastID}] = f.now
	f.apply(r, RequestArrived{ID: r.lastID, Request: req})
}

// mostInWindow returns the largest number of requests within 4 s that reached the limited
// endpoint after grace, from routers that had been told at least 500 ms before.
func (f *limitFleet) mostInWindow(grace time.Duration) int {
	var times []time.Time
	for _, a := range f.arrivals {
		toldAt := f.routers[a.router].toldAt
		if !toldAt.IsZero() && !a.at.Before(toldAt.Add(500*time.Millisecond)) && !a.at.Before(f.namedAt.Add(grace)) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for !at.Before(times[first].Add(4 * time.Second)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against limits that are exceeded by all routers together, in fleets of any size, while
// routers freeze and restart and the agent that grants permits is down for a while.
func TestFleetKeepsToLimitOfEndpoint(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			for name, limited := range map[string]string{"with agent": "e1", "without agent": "p1"} {
				t.Run(fmt.Sprintf("%d routers, %g a second, %s", routers, perSecond, name), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(t, 1, routers, limited, perSecond)
					f.run(2*time.Second, 2*perSecond+20)
					f.namedAt = f.now
					before := len(f.arrivals)
					f.run(8*time.Second, 2*perSecond+20)
					f.trouble()
					f.run(8*time.Second, 2*perSecond+20)
					allowed := int(1.5*4*perSecond + 5)
					assert.LessOrEqual(t, f.mostInWindow(3*time.Second), allowed)
					if limited == "p1" {
						assert.LessOrEqual(t, f.askCount, int(16*(20+8*perSecond))+4*routers, "asks are bounded")
						assert.GreaterOrEqual(t, float64(len(f.arrivals)-before), 0.7*perSecond*14, "the limit leaves this much")
					}
				})
			}
		}
	}
}

// trouble freezes a fifth of the routers for some seconds, restarts one and takes down the agent
// that grants permits.
func (f *limitFleet) trouble() {
	for n := range len(f.routers) / 5 {
		f.routers[n].frozenUntil = f.now.Add(time.Duration(500+f.rnd.IntN(3000)) * time.Millisecond)
	}
	f.addRouter(len(f.routers) - 1)
	agent := "e1"
	if f.limited == "p1" {
		agent = f.routers[0].state.granterOf(f.routers[0].state.endpoint("p1")).Instance
	}
	f.downUntil[agent] = f.now.Add(1500 * time.Millisecond)
	f.agents[agent] = swap.New()
	f.observe(agent)
	for _, r := range f.routers {
		f.post(r, AgentLost{Instance: agent})
		f.after(1500*time.Millisecond, func() { f.report(agent, r, nil) })
	}
}

// Guards against all routers sending at once, each within its own share, when no agent that
// grants permits is to be reached.
func TestFleetWithoutGranterKeepsToLimit(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newLimitFleet(t, 1, routers, "p1", perSecond)
				f.run(2*time.Second, 4*perSecond+20)
				f.namedAt = f.now
				f.run(5*time.Second, 4*perSecond+20)
				for agent := range f.agents {
					f.downUntil[agent] = f.now.Add(5 * time.Second)
				}
				f.run(8*time.Second, 4*perSecond+20)
				assert.LessOrEqual(t, f.mostInWindow(3*time.Second), int(1.5*4*perSecond+5))
			})
		}
	}
}

// Guards against two agents that grant permits at the same time, as half of the routers do not
// reach the one that the others use.
func TestFleetWithTwoGrantersKeepsToLimit(t *testing.T) {
	for _, routers := range []int{5, 27, 107} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			for name, limited := range map[string]string{"with agent": "e1", "without agent": "p1"} {
				t.Run(fmt.Sprintf("%d routers, %g a second, %s", routers, perSecond, name), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(t, 1, routers, limited, perSecond)
					f.run(2*time.Second, 4*perSecond+20)
					f.namedAt = f.now
					f.run(4*time.Second, 4*perSecond+20)
					first := f.routers[0].state.granterOf(f.routers[0].state.endpoint(limited)).Instance
					f.cutOff = func(router int, agent string) bool { return router%2 == 0 && agent == first }
					f.run(8*time.Second, 4*perSecond+20)
					assert.LessOrEqual(t, f.mostInWindow(3*time.Second), int(1.5*4*perSecond+5))
				})
			}
		}
	}
}

// Guards against requests that wait for a permit until their callers leave and are refused then,
// although it was to be seen that they would get none.
func TestLimitedRequestsAreRefusedEarly(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			for name, demand := range map[string]float64{"a little more": 1.3 * perSecond, "much more": 4*perSecond + 20} {
				t.Run(fmt.Sprintf("%d routers, %g a second, %s asked", routers, perSecond, name), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(t, 1, routers, "p1", perSecond)
					f.namedAt = f.now
					f.run(2*time.Second, demand)
					f.heldFor = nil
					before := len(f.arrivals)
					f.run(20*time.Second, demand)
					held := lo.CountBy(f.heldFor, func(d time.Duration) bool { return d > time.Second })
					assert.LessOrEqual(t, held, len(f.heldFor)/10, "of %d refused", len(f.heldFor))
					assert.GreaterOrEqual(t, float64(len(f.arrivals)-before), 0.7*perSecond*20-2)
				})
			}
		}
	}
}

// The end of a limit reaches all routers within seconds, although few of them get an answer.
func TestEndOfLimitReachesAllRouters(t *testing.T) {
	for _, routers := range []int{5, 107, 330} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newLimitFleet(t, 1, routers, "p1", 0.5)
			f.namedAt = f.now
			f.run(10*time.Second, 50)
			f.namedAt = time.Time{}
			f.run(6*time.Second, 50)
			for _, r := range f.routers {
				assert.False(t, r.state.endpoint("p1").limit.InForce())
			}
		})
	}
}

// Guards against routers that reach no agent: they and the others, which go on to get permits,
// exceed the limit together.
func TestFleetWithCutRoutersKeepsToLimit(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			for name, cutCount := range map[string]int{"one": 1, "a third": routers / 3, "most": routers - 1} {
				t.Run(fmt.Sprintf("%d routers, %g a second, %s cut", routers, perSecond, name), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(t, 1, routers, "p1", perSecond)
					f.run(2*time.Second, 4*perSecond+20)
					f.namedAt = f.now
					f.run(5*time.Second, 4*perSecond+20)
					f.cutOff = func(router int, _ string) bool { return router < cutCount }
					f.run(8*time.Second, 4*perSecond+20)
					f.cutOff = nil
					f.run(8*time.Second, 4*perSecond+20)
					assert.LessOrEqual(t, f.mostInWindow(3*time.Second), int(1.5*4*perSecond+5))
				})
			}
		}
	}
}

// Guards against routers that keep to a limit for good that ended, or that another one replaced,
// while they reached no agent.
func TestLimitChangesWhileRoutersAreCut(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newLimitFleet(t, 1, routers, "p1", 5)
			f.namedAt = f.now
			f.run(5*time.Second, 100)
			f.cutOff = func(router int, _ string) bool { return router < routers/3 }
			f.run(2*time.Second, 100)
			f.perSecond = 1
			f.run(6*time.Second, 100)
			f.cutOff = nil
			f.run(3*time.Second, 100)
			for _, r := range f.routers {
				assert.InDelta(t, 1, r.state.endpoint("p1").limit.PerSecond, 0, "router %d", r.index)
			}
			f.cutOff = func(router int, _ string) bool { return router < routers/3 }
			f.namedAt = time.Time{}
			f.run(6*time.Second, 100)
			f.cutOff = nil
			f.run(6*time.Second, 100)
			for _, r := range f.routers {
				assert.False(t, r.state.endpoint("p1").limit.InForce(), "router %d", r.index)
			}
		})
	}
}
