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

// Sizes of the property test.
const (
	simModels   = 4
	simSteps    = 60
	simMemory   = 100 * fleet.GiB
	modelMemory = 40 * fleet.GiB
	tickPeriod  = 100 * time.Millisecond
	// answerSlack is how far from the deadline the next tick may be.
	deadlineTolerance = tickPeriod
)

// heldModel is a model in the engine of a world.
type engineModel struct {
	warm    bool
	running int
}

// world is one endpoint: a small engine that outlives its agents, the
// key-value service, and the agent that runs now.
type simulation struct {
	t         *rapid.T
	now       time.Time
	scheduled []scheduledCall

	engineModels map[fleet.ModelID]*engineModel
	runCount     map[fleet.RequestID]int
	fence        fleet.Fence
	checksFence  bool
	reportLag    time.Duration
	pastReports  []fleet.EngineState

	kvDown      bool
	incarnation fleet.Incarnation
	assignments map[fleet.ModelID]agent.Assignment

	current    *process
	config     *record.Set
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
	// assigned is what this process has read.
	readAssignments map[fleet.ModelID]agent.Assignment
}

// offered is one request and what became of it.
type simRequest struct {
	owner         *process
	offer         agent.Offer
	started       bool
	finalAnswers  int
	refusedNotRun bool
}

type scheduledCall struct {
	at time.Time
	fn func()
}

func simModel(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model-%d@1", i)) }

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: epoch, engineModels: map[fleet.ModelID]*engineModel{}, runCount: map[fleet.RequestID]int{},
		checksFence: rapid.Bool().Draw(t, "fenced"), reportLag: time.Duration(rapid.IntRange(0, 15).Draw(t, "lag")) * tickPeriod,
		assignments: map[fleet.ModelID]agent.Assignment{}, requests: map[fleet.RequestID]*simRequest{},
		config: &record.Set{Revision: 1, Models: map[fleet.ModelID]record.Model{}},
	}
	for i := range simModels {
		m := simModel(i)
		w.config.Models[m] = record.Model{ID: m, Weights: modelMemory, WarmLimit: 1}
		w.assignments[m] = agent.Assignment{Model: m, Generation: 1, State: agent.AssignmentAssigned}
	}
	w.recordEngineState()
	w.startAgent()
	return w
}

// restart replaces the agent; the last one is dead or paused.
func (w *simulation) startAgent() {
	p := &process{
		instance: fleet.Instance(w.now.UnixNano()), readAssignments: map[fleet.ModelID]agent.Assignment{},
		state: agent.New(agent.Options{WarmPolicy: idlePolicy{}, MaxRunning: 2, MaxQueued: 6, LoadTime: time.Second}),
	}
	w.current = p
	w.apply(p, agent.Started{Endpoint: "e", Instance: p.instance})
	w.apply(p, agent.ConfigAccepted{Set: w.config})
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.scheduled = append(w.scheduled, scheduledCall{w.now.Add(d), do})
}

// delay draws how long something takes.
func (w *simulation) drawDelay(most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(w.t, "delay")) * 20 * time.Millisecond
}

// apply gives an event to a process, after its pause if it is paused.
func (w *simulation) apply(p *process, ev event.Event) {
	switch {
	case p.dead:
	case p != w.current && p.incarnation == w.incarnation:
		// It could not tell that there is a successor, which has taken no
		// incarnation yet: the platform starts none beside a process that runs.
		p.dead = true
	case w.now.Before(p.pausedUntil):
		w.schedule(p.pausedUntil.Sub(w.now), func() { w.apply(p, ev) })
	default:
		p.recordRead(ev)
		for _, eff := range p.state.Apply(w.now, ev) {
			w.execute(p, eff)
		}
	}
}

// pass lets time go by.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(20 * time.Millisecond)
		for {
			i := slices.IndexFunc(w.scheduled, func(e scheduledCall) bool { return !e.at.After(w.now) })
			if i < 0 {
				break
			}
			do := w.scheduled[i].fn
			w.scheduled = slices.Delete(w.scheduled, i, i+1)
			do()
		}
		if w.now.Sub(epoch)%tickPeriod == 0 && !w.now.Before(w.current.pausedUntil) {
			w.apply(w.current, event.Tick{})
			w.checkRequests()
		}
	}
}

// do carries out one effect of a process.
func (w *simulation) execute(p *process, eff event.Effect) {
	switch eff := eff.(type) {
	case agent.TakeIncarnation:
		w.schedule(w.drawDelay(10), func() { w.takeIncarnation(p, eff.At) })
	case agent.ReadIncarnation:
		w.schedule(w.drawDelay(10), func() { w.apply(p, agent.IncarnationRead{Current: w.incarnation, Err: w.kvDown, AskedAt: eff.At}) })
	case agent.ReadAssignment:
		w.schedule(w.drawDelay(10), func() { w.readAssignment(p, eff) })
	case agent.ReadAssignments:
		w.schedule(w.drawDelay(10), func() { w.readAllAssignments(p, eff.At) })
	case agent.ReadEngine:
		w.schedule(w.drawDelay(3), func() { w.apply(p, agent.EngineReported{State: w.delayedReport()}) })
	case agent.SendOrder:
		w.checkOrderAllowed(p, eff.Order)
		w.schedule(w.drawDelay(20), func() { w.executeOrder(p, eff) })
	case agent.AskPermit:
		answer := rapid.SampledFrom([]agent.PermitAnswer{
			agent.PermitGranted, agent.PermitGranted, agent.PermitWaiting, agent.PermitRefused, agent.PermitUnreachable,
		}).Draw(w.t, "permit")
		w.schedule(w.drawDelay(20), func() { w.apply(p, agent.PermitAnswered{ID: eff.ID, Model: eff.Model, Answer: answer}) })
	case agent.StartStream:
		w.runRequest(p, eff)
	case agent.CancelStream:
	case agent.RefuseOffer:
		w.recordRefusal(eff.ID, eff.Refusal)
	case agent.RefuseAnswer:
		w.recordRefusal(eff.ID, eff.Refusal)
	}
}

func (w *simulation) takeIncarnation(p *process, at time.Time) {
	if p.dead || w.kvDown {
		w.apply(p, agent.IncarnationRead{Err: true, AskedAt: at})
		return
	}
	w.incarnation++
	if rapid.IntRange(0, 4).Draw(w.t, "lose-take") == 0 {
		w.apply(p, agent.IncarnationRead{Err: true, AskedAt: at})
		return
	}
	p.incarnation = w.incarnation
	w.apply(p, agent.IncarnationRead{Current: w.incarnation, Taken: true, AskedAt: at})
}

func (w *simulation) readAssignment(p *process, eff agent.ReadAssignment) {
	w.apply(p, agent.AssignmentRead{Assignment: w.assignments[eff.Model], Err: w.kvDown, AskedAt: eff.At})
}

func (w *simulation) readAllAssignments(p *process, at time.Time) {
	var all []agent.Assignment
	for i := range simModels {
		all = append(all, w.assignments[simModel(i)])
	}
	w.apply(p, agent.AssignmentsRead{Assignments: all, Err: w.kvDown, AskedAt: at})
}

// learn notes what a process has read.
func (p *process) recordRead(ev event.Event) {
	var all []agent.Assignment
	switch ev := ev.(type) {
	case agent.AssignmentRead:
		if !ev.Err {
			all = append(all, ev.Assignment)
		}
	case agent.AssignmentsRead:
		if !ev.Err {
			all = ev.Assignments
		}
	}
	for _, a := range all {
		if a.Generation >= p.readAssignments[a.Model].Generation {
			p.readAssignments[a.Model] = a
		}
	}
}

// note keeps the engine's present state for later reports.
func (w *simulation) recordEngineState() {
	st := fleet.EngineState{AsOf: w.now, Memory: simMemory}
	if w.checksFence {
		st.Fenced, st.Fence = true, w.fence
	}
	for i := range simModels {
		if h := w.engineModels[simModel(i)]; h != nil {
			state := fleet.LoadStateLoading
			if h.warm {
				state = fleet.LoadStateWarm
			}
			st.Models = append(st.Models, fleet.EngineModel{Model: simModel(i), State: state, Memory: modelMemory, Running: h.running})
		}
	}
	w.pastReports = append(w.pastReports, st)
}

// report returns what the engine held a lag ago.
func (w *simulation) delayedReport() fleet.EngineState {
	cut := w.now.Add(-w.reportLag)
	st := w.pastReports[0]
	for _, r := range w.pastReports {
		if !r.AsOf.After(cut) {
			st = r
		}
	}
	st.AsOf = cut
	return st
}
