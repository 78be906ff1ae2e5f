package relay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
)

// loadSim simulates the reducers of routers and agents, and endpoints that load models, with a
// common clock. It has no faults and no retry budget beyond that of the routers.
type loadSim struct {
	rnd     *rand.Rand
	now     time.Time
	queue   simQueue
	lastSeq int
	spec    loadSpec
	engine  *route.Engine
	routers []*simRouter
	ends    []*simEndpoint
	result  loadResult
	calls   map[simCall]*simRequest
}

// loadSpec describes the fleet and the load of a simulation.
type loadSpec struct {
	routers, endpoints, zones int
	slots, resident           int
	// popular is the number of models that popular requests are for, rare that of the others, which
	// are requested evenly.
	popular, rare int
	// popularPlaces is the share of the places that popular models have at the start.
	popularPlaces float64
	// copies is the number of endpoints that have a model on disk.
	copies int
	// popularRate and rareRate are requests per second. In the burst, rareRate is multiplied by
	// burstFactor.
	popularRate, rareRate, burstFactor float64
	burstFrom, burstTo, length         time.Duration
	// releaseFrom is the time at which endpoints begin to be replaced, one every releaseGap; zero
	// if they are not.
	releaseFrom, releaseGap time.Duration
}

// simMessage is something that happens at a time.
type simMessage struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simMessage

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simMessage)) }
func (q *simQueue) Pop() any {
	old := *q
	m := old[len(old)-1]
	*q = old[:len(old)-1]
	return m
}

// after runs f after d.
func (s *loadSim) after(d time.Duration, f func()) {
	s.lastSeq++
	heap.Push(&s.queue, simMessage{s.now.Add(d), s.lastSeq, f})
}

const (
	simDelay = time.Millisecond
	// simTokensPerMS is the speed of prefill, simStep the duration of a step, simStride the tokens of an event.
	simTokensPerMS = 20.4
	simStep        = 11 * time.Millisecond
	simStride      = 6
	// simPause is the longest pause between events of a stream that is in time.
	simPause = 400 * time.Millisecond
)

type simRouter struct {
	state  *State
	index  int
	zone   int
	lastID RequestID
	wakeAt time.Time
	agents map[string]bool
}

// Names of the classes of requests.
const (
	popularClass = "popular"
	rareClass    = "rare"
)

type simCall struct {
	router int
	id     RequestID
}

// simRequest is a caller's request.
type simRequest struct {
	class     *simClass
	model     string
	tokens    int
	out       int
	arrivedAt time.Time
	deadline  time.Time
	retried   bool
	late      bool
}

type simClass struct {
	name      string
	objective time.Duration
	deadline  time.Duration
	priority  int
	worth     float64
	lateWorth float64
	route     *route.Route
}

// loadResult counts what callers got.
type loadResult struct {
	classes map[string]*classResult
	orders  int
	loads   map[string]int
	reasons map[Reason]int
	shed    int
	missing int
	// busiest is the mean over time of the largest number of requests at an endpoint, mean that of the mean.
	busiest, mean float64
	samples       int
}

type classResult struct {
	sent, inTime, late, refused, failed int
	owed, earned                        float64
	first                               []time.Duration
}

// worth returns the share of the owed worth that was earned.
func (r *loadResult) worth() float64 {
	owed, earned := 0.0, 0.0
	for _, c := range r.classes {
		owed += c.owed
		earned += c.earned
	}
	return earned / owed
}

// simEndpoint is an endpoint with its agent.
type simEndpoint struct {
	sim      *loadSim
	agent    *swap.State
	instance string
	zone     int
	index    int
	leaving  bool
	gone     bool
	models   []string
	memory   []string
	disk     []string
	busy     bool
	draining string
	sequence int64
	running  []*simRun
	waiting  []*simRun
	// prefillUntil is when all accepted prompts have been read.
	prefillUntil time.Time
	wakeAt       time.Time
	connected    map[int]bool
}

type simRun struct {
	call  simCall
	r     *simRequest
	begun bool
}

func newLoadSim(seed uint64, spec loadSpec) *loadSim {
	s := &loadSim{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), spec: spec, calls: make(map[simCall]*simRequest),
		result: loadResult{classes: make(map[string]*classResult), loads: make(map[string]int), reasons: make(map[Reason]int)},
	}
	models := make(map[string]route.Model)
	for i := range spec.popular + spec.rare {
		name := fmt.Sprintf("m%d", i)
		models[name] = route.Model{Name: name, Size: 72_700, FromStore: 13200 * time.Millisecond, FromDisk: 1600 * time.Millisecond, FromMemory: 1200 * time.Millisecond}
	}
	s.engine = &route.Engine{Slots: spec.slots, Memory: float64(spec.resident)*72_700 + 10_000, AdapterSlots: 8, KVCapacity: 91_000, LoadsPerSecond: 64, Models: models}
	table := route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: llm, Engine: s.engine}})
	var list []EndpointEntry
	for i := range spec.endpoints {
		s.ends = append(s.ends, s.newEndpoint(i, fmt.Sprintf("i-%03d", i)))
	}
	s.placeModels()
	for _, e := range s.ends {
		list = append(list, e.entry())
	}
	for i := range spec.routers {
		r := &simRouter{index: i, zone: i % spec.zones, agents: make(map[string]bool), state: New(Settings{
			Process: fmt.Sprintf("r%d", i), FailureDomain: simZone(i % spec.zones), RetryRatio: 0.2, RetryExtra: 246, RetryWindow: 10 * time.Second,
		})}
		s.routers = append(s.routers, r)
		s.applyRouter(r, RoutesAdopted{Table: table})
		s.applyRouter(r, EndpointsListed{List: list, ReadAt: s.now})
	}
	return s
}

func simZone(n int) string { return fmt.Sprintf("zone-%d", n) }

func (s *loadSim) newEndpoint(index int, instance string) *simEndpoint {
	e := &simEndpoint{sim: s, agent: swap.New(), instance: instance, zone: index % s.spec.zones, index: index, connected: make(map[int]bool)}
	e.apply(swap.EngineConfigured{Engine: s.engine})
	e.apply(swap.TokenIssued{Token: 1})
	return e
}

// placeModels puts the popular models on several endpoints and the others on one, as far as there is
// room, and copies of all on disks.
func (s *loadSim) placeModels() {
	var slots []string
	for i := range s.spec.popular {
		for range max(1, int(s.popularShare(i)*float64(s.spec.endpoints*s.spec.resident)*s.spec.popularPlaces)) {
			slots = append(slots, fmt.Sprintf("m%d", i))
		}
	}
	for i := range s.spec.rare {
		slots = append(slots, fmt.Sprintf("m%d", s.spec.popular+i))
	}
	for i, m := range slots {
		for n := range s.ends {
			e := s.ends[(i+n)%len(s.ends)]
			if len(e.models) < s.spec.resident && !slices.Contains(e.models, m) {
				e.models = append(e.models, m)
				break
			}
		}
	}
	for i := range s.spec.popular + s.spec.rare {
		m := fmt.Sprintf("m%d", i)
		for _, n := range s.rnd.Perm(len(s.ends))[:s.spec.copies] {
			s.ends[n].disk = append(s.ends[n].disk, m)
		}
	}
	for _, e := range s.ends {
		s.rnd.Shuffle(len(e.models), func(i, j int) { e.models[i], e.models[j] = e.models[j], e.models[i] })
		for _, m := range e.models {
			if !slices.Contains(e.disk, m) {
				e.disk = append(e.disk, m)
			}
		}
	}
}

// popularShare returns the share of a popular model in the popular requests. The first one has a fifth
// of them.
func (s *loadSim) popularShare(n int) float64 {
	const first, exponent = 0.2, 0.6
	if n == 0 {
		return first
	}
	sum := 0.0
	for i := 1; i < s.spec.popular; i++ {
		sum += math.Pow(float64(i), -exponent)
	}
	return (1 - first) * math.Pow(float64(n), -exponent) / sum
}

func (e *simEndpoint) entry() EndpointEntry {
	m := testEntry(e.instance, llm)
	m.FailureDomain, m.Slots, m.Leaving = simZone(e.zone), e.sim.spec.slots, e.leaving
	m.Stock = stock.Report{Instance: e.instance, Models: e.loaded()}
	return m
}

func (e *simEndpoint) loaded() []stock.LoadedModel {
	list := make([]stock.LoadedModel, 0, len(e.models))
	for _, m := range e.models {
		list = append(list, stock.LoadedModel{Model: m, Version: 1})
	}
	return list
}

// applyRouter applies an event to a router and executes the effects.
func (s *loadSim) applyRouter(r *simRouter, ev event.Event) {
	for _, eff := range r.state.Apply(s.now, ev) {
		switch eff := eff.(type) {
		case event.Wake:
			s.wakeRouter(r, eff.At)
		case Send:
			s.after(simDelay, func() { s.arrive(r, eff) })
		case Refuse:
			s.refused(r, eff)
		case Fail:
			s.failed(r, eff.ID)
		case DeliverFailure:
			s.failed(r, eff.ID)
		case SendDemand:
			s.after(simDelay, func() {
				if e := s.endpoint(eff.Instance); e != nil && e.connected[r.index] {
					e.apply(swap.DemandReceived{Router: uint64(r.index), Demand: eff.Demand})
				}
			})
		case FollowAgents:
			for _, m := range eff.List {
				e := s.endpoint(m.Instance)
				if e != nil && !e.connected[r.index] {
					e.connected[r.index] = true
					s.after(simDelay, func() { e.apply(swap.RouterConnected{Router: uint64(r.index)}) })
				}
			}
		}
	}
}

func (s *loadSim) wakeRouter(r *simRouter, at time.Time) {
	if !r.wakeAt.IsZero() && !at.Before(r.wakeAt) {
		return
	}
	r.wakeAt = at
	s.after(max(at.Sub(s.now), 0), func() {
		if r.wakeAt.Equal(at) {
			r.wakeAt = time.Time{}
			s.applyRouter(r, event.Tick{})
		}
	})
}

func (s *loadSim) endpoint(instance string) *simEndpoint {
	for _, e := range s.ends {
		if e.instance == instance && !e.gone {
			return e
		}
	}
	return nil
}

// apply applies an event to the agent and executes the effects.
func (e *simEndpoint) apply(ev event.Event) {
	s := e.sim
	if e.gone {
		return
	}
	for _, eff := range e.agent.Apply(s.now, ev) {
		switch eff := eff.(type) {
		case event.Wake:
			e.wake(eff.At)
		case swap.Poll:
			askedAt := s.now
			s.after(simDelay, func() { e.apply(swap.Observed{AskedAt: askedAt, Engine: e.snapshot()}) })
		case swap.Order:
			s.after(simDelay, func() { e.order(eff) })
		case swap.Publish:
			for n := range s.routers {
				if !e.connected[n] {
					continue
				}
				if eff.Routers == nil || slices.Contains(eff.Routers, uint64(n)) {
					s.after(simDelay, func() { s.applyRouter(s.routers[n], AgentReported{Report: eff.Report}) })
				}
			}
		}
	}
}

func (e *simEndpoint) wake(at time.Time) {
	if !e.wakeAt.IsZero() && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.sim.after(max(at.Sub(e.sim.now), 0), func() {
		if e.wakeAt.Equal(at) {
			e.wakeAt = time.Time{}
			e.apply(event.Tick{})
		}
	})
}

func (e *simEndpoint) snapshot() swap.Snapshot {
	r := stock.Report{Instance: e.instance, Running: len(e.running), Waiting: len(e.waiting), KVTotal: 91_000, Models: e.loaded(), Leaving: e.leaving}
	r.Copies = stock.CachedWeights{Memory: slices.Clone(e.memory), Disk: slices.Clone(e.disk)}
	return swap.Snapshot{Born: 1, Busy: e.busy, Sequence: e.sequence, Report: r}
}

// order carries out an order of the agent.
func (e *simEndpoint) order(o swap.Order) {
	s := e.sim
	answer := func(a swap.Answer) {
		s.after(simDelay, func() { e.apply(swap.OrderAnswered{Number: o.Number, Answer: a}) })
	}
	if e.busy || o.Sequence != e.sequence {
		answer(swap.Conflict)
		return
	}
	s.result.orders++
	e.sequence++
	e.busy = true
	answer(swap.Accepted)
	if o.Operation == swap.Unload {
		e.draining = o.Item.Model
		e.finishUnload()
		return
	}
	took := e.loadTime(o.Item.Model)
	s.after(took, func() {
		e.busy = false
		e.models = append(e.models, o.Item.Model)
		e.memory = append(e.memory, o.Item.Model)
		if len(e.memory) > 2 {
			e.memory = e.memory[1:]
		}
		if !slices.Contains(e.disk, o.Item.Model) {
			e.disk = append(e.disk, o.Item.Model)
		}
	})
}

func (e *simEndpoint) loadTime(model string) time.Duration {
	m := e.sim.engine.Models[model]
	switch {
	case slices.Contains(e.memory, model):
		e.sim.result.loads["memory"]++
		return m.FromMemory
	case slices.Contains(e.disk, model):
		e.sim.result.loads["disk"]++
		return m.FromDisk
	default:
		e.sim.result.loads["store"]++
		return m.FromStore
	}
}

// finishUnload ends an unload in progress if no request with the model is left.
func (e *simEndpoint) finishUnload() {
	if e.draining == "" || slices.ContainsFunc(e.running, func(x *simRun) bool { return x.r.model == e.draining }) {
		return
	}
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == e.draining })
	e.draining, e.busy = "", false
}

// arrive has a request arrive at its endpoint.
func (s *loadSim) arrive(r *simRouter, eff Send) {
	end := func(result Result) {
		s.after(simDelay, func() { s.applyRouter(r, AttemptEnded{ID: eff.ID, Result: result, LastEvent: NoEvent}) })
	}
	call := simCall{r.index, eff.ID}
	req := s.calls[call]
	e := s.endpoint(eff.Instance)
	switch {
	case e == nil:
		end(Unsent)
	case !slices.Contains(e.models, req.model) && !e.busy:
		s.result.missing++
		end(ModelMissing)
	case !slices.Contains(e.models, req.model) || e.draining == req.model || len(e.waiting) >= 3*s.spec.slots:
		s.result.shed++
		end(Shed)
	default:
		e.waiting = append(e.waiting, &simRun{call: call, r: req})
		e.startRuns()
	}
}

// startRuns starts waiting requests as far as there are slots.
func (e *simEndpoint) startRuns() {
	s := e.sim
	for len(e.waiting) > 0 && len(e.running) < s.spec.slots {
		x := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, x)
		e.prefillUntil = laterTime(e.prefillUntil, s.now).Add(time.Duration(float64(x.r.tokens) / simTokensPerMS * float64(time.Millisecond)))
		if e.prefillUntil.Sub(s.now) > simPause-simStride*simStep {
			for _, other := range e.running {
				other.r.late = other.r.late || other.begun
			}
		}
		s.after(e.prefillUntil.Sub(s.now)+2*simStep, func() { e.begin(x) })
	}
}

// begin has a request's first event reach its caller.
func (e *simEndpoint) begin(x *simRun) {
	s := e.sim
	if e.gone {
		return
	}
	x.begun = true
	took := s.now.Add(simDelay).Sub(x.r.arrivedAt)
	c := s.result.classes[x.r.class.name]
	c.first = append(c.first, took)
	x.r.late = x.r.late || took > x.r.class.objective
	router := s.routers[x.call.router]
	s.after(simDelay, func() { s.applyRouter(router, AnswerStarted{ID: x.call.id}) })
	s.after(time.Duration(x.r.out)*simStep, func() {
		if e.gone {
			return
		}
		e.running = slices.DeleteFunc(e.running, func(o *simRun) bool { return o == x })
		e.finishUnload()
		e.startRuns()
		s.after(simDelay, func() {
			s.answered(x)
			s.applyRouter(router, AttemptEnded{ID: x.call.id, Result: Done, LastEvent: 5})
		})
	})
}

func (s *loadSim) answered(x *simRun) {
	c := s.result.classes[x.r.class.name]
	value := x.r.class.worth
	if x.r.late {
		c.late++
		value = x.r.class.lateWorth
	} else {
		c.inTime++
	}
	s.credit(x.r, value)
}

// credit adds to what was earned.
func (s *loadSim) credit(r *simRequest, value float64) {
	c := s.result.classes[r.class.name]
	c.earned += value
}

// refused ends a request, or has its caller try another router after the time that it was told.
func (s *loadSim) refused(r *simRouter, eff Refuse) {
	call := simCall{r.index, eff.ID}
	req := s.calls[call]
	s.result.reasons[eff.Reason]++
	wait := max(eff.RetryAt.Sub(s.now), 0) + 2*simDelay
	if req.retried || wait > req.deadline.Sub(s.now)/3 {
		s.result.classes[req.class.name].refused++
		return
	}
	req.retried = true
	s.after(wait, func() { s.send(req) })
}

func (s *loadSim) failed(r *simRouter, id RequestID) {
	s.result.classes[s.calls[simCall{r.index, id}].class.name].failed++
}

// send sends a request to a random router.
func (s *loadSim) send(req *simRequest) {
	router := s.routers[s.rnd.IntN(len(s.routers))]
	router.lastID++
	s.calls[simCall{router.index, router.lastID}] = req
	s.applyRouter(router, RequestArrived{ID: router.lastID, Request: Request{
		AttemptID: fmt.Sprintf("%d-%d", router.index, router.lastID), Route: req.class.route, Service: llm, Item: stock.Item{Model: req.model},
		TokensIn: req.tokens, TokensOut: 2 * req.out, Deadline: req.deadline, LastEvent: NoEvent,
	}})
}

func (s *loadSim) newClass(name string, objective, deadline time.Duration, priority int, worth, lateWorth float64) *simClass {
	s.result.classes[name] = &classResult{}
	return &simClass{name, objective, deadline, priority, worth, lateWorth, &route.Route{
		Name: name, Kind: route.Stream, Timeout: deadline, Objective: objective, MaxGap: simPause, Priority: priority, MaxAttempts: 2,
	}}
}

// generate schedules the requests of a class at a rate that varies, for models chosen by pick.
func (s *loadSim) generate(c *simClass, rate func(at time.Duration) float64, pick func() int) {
	for at := 2 * time.Second; at < s.spec.length; {
		at += time.Duration(s.rnd.ExpFloat64() / rate(at) * float64(time.Second))
		s.after(at, func() {
			tokens := int(math.Min(500+s.rnd.ExpFloat64()*960, 3790))
			req := &simRequest{
				class: c, model: fmt.Sprintf("m%d", pick()), tokens: tokens, out: int(math.Min(20+s.rnd.ExpFloat64()*150, 600)),
				arrivedAt: s.now, deadline: s.now.Add(c.deadline),
			}
			r := s.result.classes[c.name]
			r.sent++
			r.owed += c.worth
			s.send(req)
		})
	}
}

// replaceEndpoints replaces one endpoint after the other by one that holds nothing. The disks stay.
func (s *loadSim) replaceEndpoints(n int) {
	if n >= len(s.ends) || s.now.Sub(time.UnixMilli(1_000_000)) > s.spec.length {
		return
	}
	old := s.ends[n]
	old.leaving = true
	s.listAll()
	s.after(4*time.Second, func() {
		old.gone = true
		next := s.newEndpoint(old.index, old.instance+"x")
		next.disk = old.disk
		s.ends[n] = next
		for _, x := range slices.Concat(old.running, old.waiting) {
			s.applyRouter(s.routers[x.call.router], AttemptEnded{ID: x.call.id, Result: Broken, LastEvent: NoEvent})
		}
		s.listAll()
	})
	s.after(s.spec.releaseGap, func() { s.replaceEndpoints(n + 1) })
}

// listAll tells the routers the list of endpoints.
func (s *loadSim) listAll() {
	var list []EndpointEntry
	for _, e := range s.ends {
		list = append(list, e.entry())
	}
	for _, r := range s.routers {
		s.after(time.Duration(s.rnd.IntN(int(time.Second))), func() { s.applyRouter(r, EndpointsListed{List: list, ReadAt: s.now}) })
	}
}

// sample records how evenly the requests are spread over the endpoints.
func (s *loadSim) sample() {
	total, most := 0, 0
	for _, e := range s.ends {
		n := len(e.running) + len(e.waiting)
		total += n
		most = max(most, n)
	}
	s.result.busiest += float64(most)
	s.result.mean += float64(total) / float64(len(s.ends))
	s.result.samples++
	if s.now.Sub(time.UnixMilli(1_000_000)) < s.spec.length {
		s.after(100*time.Millisecond, s.sample)
	}
}

// run runs the simulation.
func (s *loadSim) run() *loadResult {
	popular := func() int {
		u := s.rnd.Float64()
		for i := range s.spec.popular {
			if u -= s.popularShare(i); u < 0 {
				return i
			}
		}
		return 0
	}
	steady := func(rate float64) func(time.Duration) float64 { return func(time.Duration) float64 { return rate } }
	draft := s.newClass(popularClass, time.Second, 15*time.Second, 1, 2.6, 0.78)
	rare := s.newClass(rareClass, 3*time.Second, 25*time.Second, 2, 22.5, 3.25)
	s.generate(draft, steady(s.spec.popularRate), popular)
	s.generate(rare, func(at time.Duration) float64 {
		if at >= s.spec.burstFrom && at < s.spec.burstTo {
			return s.spec.rareRate * s.spec.burstFactor
		}
		return s.spec.rareRate
	}, func() int { return s.spec.popular + s.rnd.IntN(s.spec.rare) })
	s.after(2*time.Second, s.sample)
	if s.spec.releaseFrom > 0 {
		s.after(s.spec.releaseFrom, func() { s.replaceEndpoints(0) })
	}
	end := s.now.Add(s.spec.length + 16*time.Second)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		m := heap.Pop(&s.queue).(simMessage)
		s.now = m.at
		m.run()
	}
	return &s.result
}

// largeLoad is the load of a fleet in which most requests by worth are for models that are rarely used.
func largeLoad(divisor int) loadSpec {
	return loadSpec{
		routers: 103 / divisor, endpoints: 160 / divisor, zones: 5, slots: 24, resident: 3, popular: 32 / divisor, rare: 809 / divisor, popularPlaces: 0.5, copies: 3,
		popularRate: 406 / float64(divisor), rareRate: 109 / float64(divisor), burstFactor: 1, burstFrom: 9 * time.Second, burstTo: 15 * time.Second,
		length: 20 * time.Second,
	}
}

func (r *loadResult) String() string {
	text := fmt.Sprintf("worth %.3f, orders %d, loads %v, shed %d, missing %d, busiest/mean %.2f", r.worth(), r.orders, r.loads, r.shed, r.missing, r.busiest/r.mean)
	text += fmt.Sprintf(", refusals %v", r.reasons)
	for _, name := range []string{popularClass, rareClass} {
		c := r.classes[name]
		slices.Sort(c.first)
		at := func(p float64) time.Duration {
			if len(c.first) == 0 {
				return 0
			}
			return c.first[int(p*float64(len(c.first)-1))].Round(time.Millisecond)
		}
		text += fmt.Sprintf("\n  %s: sent %d, in time %d, late %d, refused %d, failed %d, worth %.3f, first event p50 %s p90 %s p99 %s",
			name, c.sent, c.inTime, c.late, c.refused, c.failed, c.earned/c.owed, at(0.5), at(0.9), at(0.99))
	}
	return text
}

// Replays the load of a fleet in which most of what is owed is for models that are rarely used, at a tenth of
// its size: steady, with a burst of such requests, and while all endpoints are replaced. Endpoints spend most
// of their time on loads then. Guards against requests that are refused although an endpoint with cached weights will be
// free in time, against loads that are late in any case before those that can be in time, and against extra
// replicas for single requests, which take the places of models in use.
func TestRareModelsAtWorstLoad(t *testing.T) {
	const divisor, seeds = 10, 3
	for name, c := range map[string]struct {
		change     func(*loadSpec)
		minWorth   float64
		maxRefused float64
	}{
		"steady":       {func(*loadSpec) {}, 0.75, 0.02},
		"burst":        {func(s *loadSpec) { s.burstFactor = 2.3 }, 0.65, 0.1},
		"few replicas": {func(s *loadSpec) { s.popularPlaces = 0.125 }, 0.75, 0.02},
		"release": {func(s *loadSpec) {
			s.releaseFrom, s.releaseGap = 8*time.Second, 70*time.Millisecond*divisor
		}, 0.55, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			spec := largeLoad(divisor)
			c.change(&spec)
			worth, refused := 0.0, 0.0
			for seed := range uint64(seeds) {
				result := newLoadSim(seed+1, spec).run()
				t.Log(result)
				worth += result.worth() / seeds
				rare := result.classes[rareClass]
				refused += float64(rare.refused) / float64(rare.sent) / seeds
			}
			t.Logf("mean worth %.3f, refused %.3f", worth, refused)
			assert.Greater(t, worth, c.minWorth)
			assert.Less(t, refused, c.maxRefused)
		})
	}
}
