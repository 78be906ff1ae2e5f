package router_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/router"
)

// Timing of the simulation.
const (
	simStep = 5 * time.Millisecond
	// simDuration is how long calls arrive and faults happen.
	simDuration = 4 * time.Second
	// simMaxDelay bounds the delay of a message that is not held up.
	simMaxDelay = 40 * time.Millisecond
	// simSilenceTimeout is the time from a lost message to the break of its
	// connection.
	simSilenceTimeout = 300 * time.Millisecond
)

// sim connects the reducers of two routers and two agents by a network that loses,
// repeats and delays messages, and by a key-value service that has outages.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	seq     int
	queue   taskQueue
	routers []*simRouter
	agents  map[fleet.EndpointID]*simAgent
	// claims and revision are the contents of the key-value service.
	claims       map[string]router.Claim
	revision     fleet.Revision
	kvDown       bool
	faultPercent int
	calls        map[fleet.RequestID]*simCall
	// runCount counts how often each request was started at an engine.
	runCount map[fleet.RequestID]int
}

// simRouter is a simulated router. Its epoch counts its starts.
type simRouter struct {
	state *router.State
	epoch int
	// sentExchanges holds the exchange IDs of offers that have been sent, latestExchange that of
	// each call's latest exchange.
	sentExchanges  map[uint64]bool
	latestExchange map[fleet.RequestID]uint64
}

// simAgent is a simulated agent with its connections and finished requests.
type simAgent struct {
	id               fleet.EndpointID
	state            *agent.State
	instance         fleet.Instance
	conns            map[uint64]*simConn
	finishedRequests map[fleet.RequestID]bool
}

// simConn is the connection of one exchange between a router and an agent instance.
// The field id is the router's call, and request is the request
// that the offer or tombstone request names.
type simConn struct {
	router, epoch int
	id            fleet.RequestID
	exchangeID    uint64
	request       fleet.RequestID
	broken        bool
	admitted      bool
}

// simCall is a call with its outcome.
type simCall struct {
	router.Call
	router, epoch int
	// finalAnswerCount counts the answers and refusals that the caller got.
	finalAnswerCount int
	answered         bool
	refusal          fleet.Refusal
	finalAt          time.Time
}

// task is an action that runs at a simulated time.
type task struct {
	at     time.Time
	seq    int
	action func()
}

// taskQueue is a heap of tasks, ordered by time and then by when they were added.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC),
		agents: make(map[fleet.EndpointID]*simAgent), claims: make(map[string]router.Claim),
		calls: make(map[fleet.RequestID]*simCall), runCount: make(map[fleet.RequestID]int),
		faultPercent: rapid.IntRange(0, 30).Draw(t, "faults in 100"),
	}
	for n := range 2 {
		s.routers = append(s.routers, &simRouter{})
		s.startRouter(n)
	}
	for _, id := range []fleet.EndpointID{"a", "b"} {
		s.agents[id] = &simAgent{id: id}
		s.startAgent(s.agents[id])
	}
	return s
}

// scheduleRandom runs an action after a random delay.
func (s *sim) scheduleRandom(action func()) {
	s.schedule(time.Duration(s.rng.Int64N(int64(simMaxDelay))), action)
}

// schedule runs an action after d.
func (s *sim) schedule(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, task{s.now.Add(d), s.seq, action})
}

// faultOccurs decides at random whether a message meets a fault.
func (s *sim) faultOccurs() bool { return s.rng.IntN(100) < s.faultPercent }

// simConfig returns a configuration with one service at both endpoints.
func simConfig() *record.Config {
	return &record.Config{Revision: 1, Services: map[fleet.ServiceID]record.Service{"s": {ID: "s", Endpoints: []fleet.EndpointID{"a", "b"}}}}
}

// startRouter starts the n-th router, or restarts it without its calls.
func (s *sim) startRouter(n int) {
	r := s.routers[n]
	*r = simRouter{
		state: router.New(router.Options{Process: "r", HostLag: time.Second, MaxRunning: 4}), epoch: r.epoch + 1,
		sentExchanges: make(map[uint64]bool), latestExchange: make(map[fleet.RequestID]uint64),
	}
	list := fleet.HostList{AsOf: s.now}
	for _, id := range []string{"a", "b"} {
		list.Hosts = append(list.Hosts, fleet.Host{ID: fleet.HostID(id), Role: fleet.HostRoleEndpoint, Endpoint: fleet.EndpointID(id), State: fleet.HostLive})
	}
	s.applyRouter(n, r.epoch, router.ConfigAccepted{Config: simConfig()})
	s.applyRouter(n, r.epoch, router.HostsListed{List: list})
	for _, id := range []fleet.EndpointID{"a", "b"} {
		if a, ok := s.agents[id]; ok {
			s.sendReport(n, a)
		}
	}
}

// sendReport applies an agent's report at a router.
func (s *sim) sendReport(n int, a *simAgent) {
	s.applyRouter(n, s.routers[n].epoch, router.LoadReported{Endpoint: a.id, Load: router.Load{Sequence: 1, Instance: a.instance, Incarnation: 1}})
}

// startAgent starts an agent, or restarts it. A restart loses its journal and its
// connections, while the requests that its service is running go on.
func (s *sim) startAgent(a *simAgent) {
	old := a.conns
	*a = simAgent{
		id: a.id, state: agent.New(agent.Options{MaxRunning: 4, MaxQueued: 10}), instance: a.instance + 1,
		conns: make(map[uint64]*simConn), finishedRequests: make(map[fleet.RequestID]bool),
	}
	for _, c := range old {
		s.breakConn(c)
	}
	s.applyAgent(a, a.instance, agent.Started{Endpoint: a.id, Instance: a.instance, Services: []fleet.ServiceID{"s"}})
	s.applyAgent(a, a.instance, agent.IncarnationRead{Current: fleet.Incarnation(a.instance), Taken: true})
	s.applyAgent(a, a.instance, agent.ConfigAccepted{Config: simConfig()})
	for n := range s.routers {
		s.scheduleRandom(func() { s.sendReport(n, a) })
	}
}

// breakConn breaks a connection. Its router is notified after simSilenceTimeout.
func (s *sim) breakConn(c *simConn) {
	if c.broken {
		return
	}
	c.broken = true
	s.schedule(simSilenceTimeout, func() { s.applyRouter(c.router, c.epoch, router.StreamBroke{ID: c.id, ExchangeID: c.exchangeID}) })
}

// sendAnswer delivers events to the router of a connection, unless a fault breaks the
// connection.
func (s *sim) sendAnswer(c *simConn, evs ...event.Event) {
	if s.faultOccurs() {
		s.breakConn(c)
	}
	s.scheduleRandom(func() {
		for _, ev := range evs {
			if !c.broken {
				s.applyRouter(c.router, c.epoch, ev)
			}
		}
	})
}

// applyRouter applies an event to a router unless it has been restarted since the
// given epoch.
func (s *sim) applyRouter(n, epoch int, ev event.Event) {
	r := s.routers[n]
	if r.epoch != epoch {
		return
	}
	for _, eff := range r.state.Apply(s.now, ev) {
		s.runRouterEffect(n, r, eff)
	}
}
