package agent_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Parameters of the simulation.
const (
	simModels   = 4
	simSteps    = 60
	simMemory   = 100 * fleet.GiB
	modelMemory = 40 * fleet.GiB
	tickPeriod  = 100 * time.Millisecond
	// deadlineTolerance is how long after a deadline the next tick may come.
	deadlineTolerance = tickPeriod
)

// engineModel is the state of a model that the simulated engine holds.
type engineModel struct {
	warm            bool
	runningRequests int
}

// simulation simulates one endpoint: an engine, which survives restarts of the agent, the
// key-value service, and the current process of the agent. Paused earlier processes of the
// agent may wake up again.
type simulation struct {
	t         *rapid.T
	now       time.Time
	scheduled []scheduledCall

	engineModels map[fleet.ModelID]*engineModel
	// runCount counts how often the engine has run each request.
	runCount map[fleet.RequestID]int
	// fence is the fence of the last order that reached the engine. If engineChecksFence is set,
	// the engine rejects orders with a lower fence.
	fence             fleet.Fence
	engineChecksFence bool
	// reportLag is the age of the engine states that delayedReport returns; pastReports
	// holds all states, oldest first.
	reportLag   time.Duration
	pastReports []fleet.EngineState

	// kvDown makes all calls of the key-value service fail; incarnation and assignments are
	// what it stores.
	kvDown      bool
	incarnation fleet.Incarnation
	assignments map[fleet.ModelID]agent.Assignment

	current    *process
	config     *record.Config
	requests   map[fleet.RequestID]*simRequest
	offerCount int
}

// process is one run of the agent.
type process struct {
	state       *agent.State
	instance    fleet.Instance
	incarnation fleet.Incarnation
	dead        bool
	pausedUntil time.Time
	// knownAssignments holds the newest assignments that this process has read.
	knownAssignments map[fleet.ModelID]agent.Assignment
}

// simRequest is a request offered to the agent, and its outcome.
type simRequest struct {
	// owner is the process that the request was offered to.
	owner            *process
	offer            agent.Offer
	started          bool
	finalAnswerCount int
	refusedAsNotRun  bool
}

type scheduledCall struct {
	at time.Time
	fn func()
}

func simModel(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model-%d@1", i)) }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: epoch, engineModels: map[fleet.ModelID]*engineModel{}, runCount: map[fleet.RequestID]int{},
		engineChecksFence: rapid.Bool().Draw(t, "fenced"), reportLag: time.Duration(rapid.IntRange(0, 15).Draw(t, "lag")) * tickPeriod,
		assignments: map[fleet.ModelID]agent.Assignment{}, requests: map[fleet.RequestID]*simRequest{},
		config: &record.Config{Revision: 1, Models: map[fleet.ModelID]record.Model{}},
	}
	for i := range simModels {
		m := simModel(i)
		sim.config.Models[m] = record.Model{ID: m, Weights: modelMemory, WarmLimit: 1}
		sim.assignments[m] = agent.Assignment{Model: m, Generation: 1, State: agent.AssignmentAssigned}
	}
	sim.recordEngineState()
	sim.startAgent()
	return sim
}

// startAgent starts a new process of the agent; the previous one must be dead or paused.
func (sim *simulation) startAgent() {
	p := &process{
		instance: fleet.Instance(sim.now.UnixNano()), knownAssignments: map[fleet.ModelID]agent.Assignment{},
		state: agent.New(agent.Options{WarmPolicy: idlePolicy{}, MaxRunning: 2, MaxQueued: 6, LoadTime: time.Second}),
	}
	sim.current = p
	sim.apply(p, agent.Started{Endpoint: "e", Instance: p.instance})
	sim.apply(p, agent.ConfigAccepted{Config: sim.config})
}

func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.scheduled = append(sim.scheduled, scheduledCall{sim.now.Add(d), fn})
}

// drawDelay draws a delay of 1 to maxUnits units of 20 ms.
func (sim *simulation) drawDelay(maxUnits int) time.Duration {
	return time.Duration(rapid.IntRange(1, maxUnits).Draw(sim.t, "delay")) * 20 * time.Millisecond
}

// apply delivers an event to a process; if the process is paused, when the pause ends.
func (sim *simulation) apply(p *process, ev event.Event) {
	switch {
	case p.dead:
	case p != sim.current && p.incarnation == sim.incarnation:
		// The paused process could not detect a successor that has not taken an
		// incarnation yet, but the platform never starts a successor while the process
		// still runs. So the process counts as dead.
		p.dead = true
	case sim.now.Before(p.pausedUntil):
		sim.schedule(p.pausedUntil.Sub(sim.now), func() { sim.apply(p, ev) })
	default:
		p.recordReadAssignments(ev)
		for _, eff := range p.state.Apply(sim.now, ev) {
			sim.execute(p, eff)
		}
	}
}

// advance moves the time forward, runs scheduled calls and delivers ticks.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(20 * time.Millisecond)
		for {
			i := slices.IndexFunc(sim.scheduled, func(e scheduledCall) bool { return !e.at.After(sim.now) })
			if i < 0 {
				break
			}
			call := sim.scheduled[i].fn
			sim.scheduled = slices.Delete(sim.scheduled, i, i+1)
			call()
		}
		if sim.now.Sub(epoch)%tickPeriod == 0 && !sim.now.Before(sim.current.pausedUntil) {
			sim.apply(sim.current, event.Tick{})
			sim.checkRequests()
		}
	}
}

// execute carries out an effect of a process.
func (sim *simulation) execute(p *process, eff event.Effect) {
	switch eff := eff.(type) {
	case agent.TakeIncarnation:
		sim.schedule(sim.drawDelay(10), func() { sim.takeIncarnation(p, eff.At) })
	case agent.ReadIncarnation:
		sim.schedule(sim.drawDelay(10), func() {
			sim.apply(p, agent.IncarnationRead{Current: sim.incarnation, Failed: sim.kvDown, RequestedAt: eff.At})
		})
	case agent.ReadAssignment:
		sim.schedule(sim.drawDelay(10), func() { sim.readAssignment(p, eff) })
	case agent.ReadAssignments:
		sim.schedule(sim.drawDelay(10), func() { sim.readAllAssignments(p, eff.At) })
	case agent.ReadEngine:
		sim.schedule(sim.drawDelay(3), func() { sim.apply(p, agent.EngineReported{State: sim.delayedReport()}) })
	case agent.SendOrder:
		sim.checkOrderAllowed(p, eff.Order)
		sim.schedule(sim.drawDelay(20), func() { sim.executeOrder(p, eff) })
	case agent.RequestPermit:
		answer := rapid.SampledFrom([]agent.PermitAnswer{
			agent.PermitGranted, agent.PermitGranted, agent.PermitWaiting, agent.PermitRefused, agent.PermitUnreachable,
		}).Draw(sim.t, "permit")
		sim.schedule(sim.drawDelay(20), func() { sim.apply(p, agent.PermitAnswered{ID: eff.ID, Model: eff.Model, Answer: answer}) })
	case agent.StartRequest:
		sim.runRequest(p, eff)
	case agent.CancelRequest:
	case agent.RefuseOffer:
		sim.recordRefusal(eff.ID, eff.Refusal)
	case agent.RefuseAnswer:
		sim.recordRefusal(eff.ID, eff.Refusal)
	}
}

func (sim *simulation) takeIncarnation(p *process, at time.Time) {
	if p.dead || sim.kvDown {
		sim.apply(p, agent.IncarnationRead{Failed: true, RequestedAt: at})
		return
	}
	sim.incarnation++
	if rapid.IntRange(0, 4).Draw(sim.t, "lose-take") == 0 {
		sim.apply(p, agent.IncarnationRead{Failed: true, RequestedAt: at})
		return
	}
	p.incarnation = sim.incarnation
	sim.apply(p, agent.IncarnationRead{Current: sim.incarnation, Taken: true, RequestedAt: at})
}

func (sim *simulation) readAssignment(p *process, eff agent.ReadAssignment) {
	sim.apply(p, agent.AssignmentRead{Assignment: sim.assignments[eff.Model], Failed: sim.kvDown, RequestedAt: eff.At})
}

func (sim *simulation) readAllAssignments(p *process, at time.Time) {
	var all []agent.Assignment
	for i := range simModels {
		all = append(all, sim.assignments[simModel(i)])
	}
	sim.apply(p, agent.AssignmentsRead{Assignments: all, Failed: sim.kvDown, RequestedAt: at})
}

// recordReadAssignments records the assignments, if any, that an event delivers to the
// process.
func (p *process) recordReadAssignments(ev event.Event) {
	var all []agent.Assignment
	switch ev := ev.(type) {
	case agent.AssignmentRead:
		if !ev.Failed {
			all = append(all, ev.Assignment)
		}
	case agent.AssignmentsRead:
		if !ev.Failed {
			all = ev.Assignments
		}
	}
	for _, a := range all {
		if a.Generation >= p.knownAssignments[a.Model].Generation {
			p.knownAssignments[a.Model] = a
		}
	}
}

// recordEngineState stores the current state of the engine for delayed reports.
func (sim *simulation) recordEngineState() {
	st := fleet.EngineState{AsOf: sim.now, TotalMemory: simMemory}
	if sim.engineChecksFence {
		st.ChecksFence, st.Fence = true, sim.fence
	}
	for i := range simModels {
		if held := sim.engineModels[simModel(i)]; held != nil {
			state := fleet.LoadStateLoading
			if held.warm {
				state = fleet.LoadStateWarm
			}
			st.Models = append(st.Models, fleet.EngineModel{Model: simModel(i), State: state, Memory: modelMemory, Running: held.runningRequests})
		}
	}
	sim.pastReports = append(sim.pastReports, st)
}

// delayedReport returns the state of the engine as of reportLag ago.
func (sim *simulation) delayedReport() fleet.EngineState {
	asOf := sim.now.Add(-sim.reportLag)
	st := sim.pastReports[0]
	for _, r := range sim.pastReports {
		if !r.AsOf.After(asOf) {
			st = r
		}
	}
	st.AsOf = asOf
	return st
}
