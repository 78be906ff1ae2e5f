package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// beliefSeeds is the number of random histories in a plain run of the tests, beliefSteps the
	// number of events in each. The environment variable BELIEF_SEEDS overrides the first.
	beliefSeeds = 150
	beliefSteps = 1500
	// mirrorRetention is how long after an outage of the store a removed entry stays in the list.
	mirrorRetention = 2200 * time.Millisecond
	// other is a second service whose endpoints load no models.
	other = "other"
)

// incarnation is one life of an endpoint.
type incarnation struct {
	instance string
	born     int64
}

// beliefRun is one random history of endpoints, the store, agents, answers and requests. It keeps the
// truth beside what the router has been told.
type beliefRun struct {
	*testRouter
	random *rand.Rand
	// truth has the living endpoints as they are, mirror the list as the router's copy has it.
	// removedAt is when an entry of the mirror was removed from the store.
	truth, mirror map[string]EndpointEntry
	removedAt     map[string]time.Time
	outage        bool
	outageEndedAt time.Time
	lastBorn      int64
	// toldLeaving has the incarnations of listed instances that have said that they leave, by themselves
	// or by their agents. lastStarted is the last incarnation of each instance, listed has the instances
	// that the router's list has.
	toldLeaving map[incarnation]bool
	lastStarted map[string]int64
	listed      map[string]bool
	// services has the service of each request in progress, attempts its attempt.
	services map[RequestID]string
	attempts map[RequestID]Send
	sends    int
	broken   string
	// steps are the events to choose from.
	steps []func(*beliefRun)
}

func newBeliefRun(t *testing.T, seed uint64, steps ...func(*beliefRun)) *beliefRun {
	t.Helper()
	run := &beliefRun{
		random: rand.New(rand.NewPCG(seed, 1)), steps: append(steps, commonSteps...),
		truth: make(map[string]EndpointEntry), mirror: make(map[string]EndpointEntry), removedAt: make(map[string]time.Time),
		toldLeaving: make(map[incarnation]bool), lastStarted: make(map[string]int64),
		services: make(map[RequestID]string), attempts: make(map[RequestID]Send),
	}
	for i := range 9 {
		run.start(fmt.Sprintf("i%d", i), []string{llm, plain, other}[i%3])
	}
	run.testRouter = newTestRouter(t)
	engine := testTable().Engine(llm)
	services := []*route.Service{{Name: llm, Engine: engine}, {Name: plain}, {Name: other}}
	run.do(RoutesAdopted{Table: route.NewTable(2, route.Limits{}, nil, services)})
	run.list()
	return run
}

// start starts an incarnation of an endpoint.
func (run *beliefRun) start(instance, service string) {
	run.lastBorn++
	e := testEntry(instance, service)
	e.Born, e.Stock.Models = run.lastBorn, nil
	if e.HasModels {
		e.Stock.Models = []stock.LoadedModel{{Model: "a"}}
	}
	run.truth[instance] = e
	run.lastStarted[instance] = e.Born
}

// do applies an event and checks what it has the router send.
func (run *beliefRun) do(ev event.Event) {
	run.apply(ev)
	for _, send := range effectsOf[Send](run.testRouter) {
		run.sends++
		run.attempts[send.ID] = send
		run.check(send)
	}
	for _, eff := range run.effects {
		switch eff := eff.(type) {
		case Refuse:
			delete(run.services, eff.ID)
			delete(run.attempts, eff.ID)
		case Fail:
			delete(run.services, eff.ID)
			delete(run.attempts, eff.ID)
		}
	}
}

// check notes whether a request is sent where it must not be sent. It can only reach the last incarnation,
// which may be a later one than the router's list has.
func (run *beliefRun) check(send Send) {
	instance := send.Instance
	if run.toldLeaving[incarnation{instance, run.lastStarted[instance]}] {
		run.broken = instance + " has said that it leaves and gets a request"
	}
	if e, ok := run.truth[instance]; ok && e.Service != run.services[send.ID] {
		run.broken = fmt.Sprintf("%s of service %s gets a request for %s", instance, e.Service, run.services[send.ID])
	}
}

// commonSteps are the events of every history. Some are listed several times to be more frequent.
var commonSteps = []func(*beliefRun){
	(*beliefRun).request, (*beliefRun).request, (*beliefRun).request,
	(*beliefRun).answer, (*beliefRun).answer, (*beliefRun).answer,
	(*beliefRun).list, (*beliefRun).list, (*beliefRun).report, (*beliefRun).report,
	(*beliefRun).leave, (*beliefRun).end, (*beliefRun).restart,
}

// step plays one random event.
func (run *beliefRun) step() {
	run.now = run.now.Add(time.Duration(run.random.IntN(100)) * time.Millisecond)
	run.steps[run.random.IntN(len(run.steps))](run)
	run.do(event.Tick{})
}

// pick returns a random living endpoint; false if there is none.
func (run *beliefRun) pick() (EndpointEntry, bool) {
	names := slices.Sorted(maps.Keys(run.truth))
	if len(names) == 0 {
		return EndpointEntry{}, false
	}
	return run.truth[names[run.random.IntN(len(names))]], true
}

func (run *beliefRun) request() {
	service := []string{llm, plain, other}[run.random.IntN(3)]
	rt, item := plainRoute(route.Unsafe), stock.Item{}
	if service == llm {
		rt, item = streamRoute(), modelA
	}
	run.lastID++
	run.services[run.lastID] = service
	run.do(RequestArrived{ID: run.lastID, Request: Request{
		AttemptID: fmt.Sprintf("r%d", run.lastID), Route: rt, Service: service, Item: item,
		Deadline: run.now.Add(rt.Timeout), LastEvent: NoEvent,
	}})
}

// answer ends a random attempt as its endpoint would.
func (run *beliefRun) answer() {
	ids := slices.Sorted(maps.Keys(run.attempts))
	if len(ids) == 0 {
		return
	}
	id := ids[run.random.IntN(len(ids))]
	send := run.attempts[id]
	delete(run.attempts, id)
	ended := AttemptEnded{ID: id, Result: Done, LastEvent: NoEvent}
	e, ok := run.truth[send.Instance]
	switch {
	case !ok:
		ended.Result = Unsent
	case e.Leaving:
		run.heardLeaving(e)
		run.do(SelfStatusReceived{ID: id, Instance: send.Instance, Status: SelfStatus{Leaving: true}})
	}
	if ended.Result == Done {
		delete(run.services, id)
	}
	run.do(ended)
}

// heardLeaving notes that the router is told that an endpoint leaves.
func (run *beliefRun) heardLeaving(e EndpointEntry) {
	if run.listed[e.Instance] {
		run.toldLeaving[incarnation{e.Instance, e.Born}] = true
	}
}

// sync brings the mirror up to date, as far as the store answers.
func (run *beliefRun) sync() {
	if run.outage {
		return
	}
	for instance := range run.mirror {
		if _, ok := run.truth[instance]; ok {
			delete(run.removedAt, instance)
			continue
		}
		if run.now.Before(run.outageEndedAt.Add(mirrorRetention)) {
			continue
		}
		delete(run.mirror, instance)
	}
	maps.Copy(run.mirror, run.truth)
}

// list delivers the mirror's entries.
func (run *beliefRun) list() {
	run.sync()
	run.deliver(slices.Collect(maps.Values(run.mirror)))
}

// listOdd delivers a list in which another writer has replaced a living endpoint's entry by one that
// names another service. The router has listed the endpoint: else it can't know better.
func (run *beliefRun) listOdd() {
	e, ok := run.pick()
	if !ok || e.HasModels || !run.listed[e.Instance] {
		return
	}
	run.sync()
	list := slices.Collect(maps.Values(run.mirror))
	for i := range list {
		if list[i].Instance != e.Instance {
			continue
		}
		list[i].Service = map[string]string{plain: other, other: plain}[list[i].Service]
		if run.random.IntN(2) == 0 {
			list[i].Born = 0
		}
	}
	run.deliver(list)
}

func (run *beliefRun) deliver(list []EndpointEntry) {
	slices.SortFunc(list, func(a, b EndpointEntry) int { return compareInstance(&endpoint{EndpointEntry: a}, b.Instance) })
	run.listed = make(map[string]bool, len(list))
	for _, e := range list {
		run.listed[e.Instance] = true
	}
	run.do(EndpointsListed{List: list, ReadAt: run.now})
}

// report delivers an agent's report on a random endpoint that has one.
func (run *beliefRun) report() {
	e, ok := run.pick()
	if !ok || !e.HasModels {
		return
	}
	if e.Leaving {
		run.heardLeaving(e)
	}
	run.do(AgentReported{Report: stock.Report{
		Instance: e.Instance, Address: e.Address, Leaving: e.Leaving, Models: e.Stock.Models, KVTotal: 130_000, Routers: 1,
	}})
}

func (run *beliefRun) loseAgent() {
	if e, ok := run.pick(); ok && e.HasModels && run.random.IntN(5) == 0 {
		run.do(AgentLost{Instance: e.Instance})
	}
}

// leave has a random endpoint begin to leave.
func (run *beliefRun) leave() {
	if e, ok := run.pick(); ok && run.random.IntN(4) == 0 {
		e.Leaving = true
		run.truth[e.Instance] = e
	}
}

// end ends a random endpoint that leaves.
func (run *beliefRun) end() {
	if e, ok := run.pick(); ok && e.Leaving {
		delete(run.truth, e.Instance)
	}
}

// restart starts an endpoint that has ended under its instance name.
func (run *beliefRun) restart() {
	for i := range 9 {
		instance := fmt.Sprintf("i%d", i)
		if _, ok := run.truth[instance]; !ok && run.random.IntN(3) == 0 {
			run.start(instance, []string{llm, plain, other}[i%3])
			return
		}
	}
}

func (run *beliefRun) toggleOutage() {
	if run.random.IntN(6) != 0 {
		return
	}
	run.outage = !run.outage
	if !run.outage {
		run.outageEndedAt = run.now
	}
}

// Guards against beliefs that outlive their source: whatever the order of lists, odd entries, reports,
// answers, outages and restarts, an endpoint that has said that it leaves gets no more requests, and
// none gets a request of another service.
func TestBeliefsEndWithTheirSource(t *testing.T) {
	seeds := beliefSeeds
	if text := os.Getenv("BELIEF_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = n
	}
	for name, steps := range map[string][]func(*beliefRun){
		"calm":        nil,
		"outages":     {(*beliefRun).toggleOutage, (*beliefRun).loseAgent},
		"odd entries": {(*beliefRun).listOdd},
		"all":         {(*beliefRun).toggleOutage, (*beliefRun).loseAgent, (*beliefRun).listOdd},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sends := 0
			for seed := range seeds {
				run := newBeliefRun(t, uint64(seed+1), steps...)
				for n := range beliefSteps {
					run.step()
					require.Empty(t, run.broken, "seed %d, event %d", seed+1, n+1)
				}
				sends += run.sends
			}
			t.Logf("%d histories of %d events, %d attempts", seeds, beliefSteps, sends)
		})
	}
}
