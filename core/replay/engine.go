package replay

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
)

// engine is the cost model of one endpoint's engine.
type engine struct {
	node   *node
	models map[fleet.ModelID]*loadedModel
	// asOf and idle account the idle hold, in hours of an accelerator.
	asOf      time.Time
	idleHours float64
}

// loaded is a model in the engine.
type loadedModel struct {
	state    fleet.LoadState
	memory   fleet.Bytes
	running  int
	order    fleet.OrderID
	adapters map[fleet.AdapterID]fleet.Bytes
}

func newEngine(n *node) engine {
	return engine{node: n, models: make(map[fleet.ModelID]*loadedModel), asOf: n.run.now}
}

// account adds the idle hold since the last change.
func (e *engine) accountIdle() {
	hours := e.node.run.now.Sub(e.asOf).Hours()
	e.asOf = e.node.run.now
	if e.node.lost {
		return
	}
	for _, id := range sortedKeys(e.models) {
		if m := e.models[id]; m.running == 0 {
			e.idleHours += hours * float64(m.totalMemory()) / float64(acceleratorMemory)
		}
	}
}

// size returns the memory of a model with its adapters.
func (m *loadedModel) totalMemory() fleet.Bytes {
	n := m.memory
	for _, a := range m.adapters {
		n += a
	}
	return n
}

// held returns the memory in use.
func (e *engine) usedMemory() (n fleet.Bytes) {
	for _, m := range e.models {
		n += m.totalMemory()
	}
	return n
}

func (e *engine) isWarm(id fleet.ModelID) bool {
	m, ok := e.models[id]
	return ok && m.state == fleet.LoadStateWarm
}

// report returns what the engine says of itself.
func (e *engine) report() fleet.EngineState {
	st := fleet.EngineState{AsOf: e.node.run.now, Memory: e.node.ep.Memory, Used: e.usedMemory()}
	for _, id := range sortedKeys(e.models) {
		m := e.models[id]
		em := fleet.EngineModel{Model: id, State: m.state, Memory: m.memory, Running: m.running}
		for _, a := range sortedKeys(m.adapters) {
			if em.Adapters == nil {
				em.Adapters = make(map[fleet.AdapterID]fleet.LoadState)
			}
			em.Adapters[a] = fleet.LoadStateWarm
		}
		st.Models = append(st.Models, em)
	}
	return st
}

// order carries out an order.
func (e *engine) execute(o fleet.Order) {
	e.accountIdle()
	switch o.Action {
	case fleet.ActionLoadModel:
		e.loadModel(o)
	case fleet.ActionUnloadModel:
		e.unloadModel(o)
	case fleet.ActionLoadAdapter:
		e.node.run.after(adapterLoadTime, func() { e.loadAdapter(o) })
	case fleet.ActionUnloadAdapter, fleet.ActionSetRole:
	}
}

// end tells the agent how an order ended.
func (e *engine) endOrder(o fleet.Order, outcome fleet.Outcome) {
	e.node.apply(agent.OrderEnded{Order: o, Outcome: outcome})
}

func (e *engine) loadModel(o fleet.Order) {
	r := e.node.run
	m := &loadedModel{state: fleet.LoadStateLoading, memory: o.Memory + o.Cache, order: o.ID, adapters: make(map[fleet.AdapterID]fleet.Bytes)}
	e.models[o.Model] = m
	r.result.Loads++
	e.node.checkInvariants(o.Model)
	r.store.start(o.ID, loadTime(r.trace.Header.Store, r.models[o.Model]), func() {
		e.accountIdle()
		m.state = fleet.LoadStateWarm
		e.endOrder(o, fleet.OutcomeDone)
	})
}

func (e *engine) unloadModel(o fleet.Order) {
	m, ok := e.models[o.Model]
	if !ok || m.running > 0 {
		e.endOrder(o, fleet.OutcomeFailed)
		return
	}
	m.state = fleet.LoadStateUnloading
	e.node.run.after(unloadTime, func() {
		e.accountIdle()
		delete(e.models, o.Model)
		e.endOrder(o, fleet.OutcomeDone)
	})
}

func (e *engine) loadAdapter(o fleet.Order) {
	e.accountIdle()
	m, ok := e.models[o.Model]
	if !ok || m.state != fleet.LoadStateWarm {
		e.endOrder(o, fleet.OutcomeFailed)
		return
	}
	m.adapters[o.Adapter] = o.Memory
	e.node.checkInvariants(o.Model)
	e.endOrder(o, fleet.OutcomeDone)
}

// start runs a request.
func (e *engine) startRequest(req *request) {
	e.accountIdle()
	r, n := e.node.run, e.node
	m, ok := e.models[req.arrival.Model]
	if !ok || m.state != fleet.LoadStateWarm {
		r.result.recordViolation("request for " + string(req.arrival.Model) + " started on a cold engine")
		return
	}
	first := prefillTime(req.arrival.Prompt, m.running)
	last := decodeTime(req.arrival.Output, m.running)
	m.running++
	r.after(first, func() {
		if n.lost {
			return
		}
		r.answer(req)
		n.apply(agent.StreamBegan{ID: req.id})
	})
	r.after(first+last, func() {
		if n.lost {
			return
		}
		e.accountIdle()
		m.running--
		delete(n.requests, req.id)
		n.apply(agent.StreamEnded{ID: req.id, Chunks: 1})
	})
}

// stop ends the loads in progress of a lost host.
func (e *engine) abort() {
	for _, id := range sortedKeys(e.models) {
		if m := e.models[id]; m.state == fleet.LoadStateLoading {
			e.node.run.store.abort(m.order)
		}
	}
}
