package replay

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
)

// engine simulates the engine of one endpoint by the cost model.
type engine struct {
	node   *node
	models map[fleet.ModelID]*loadedModel
	// asOf is the time up to which idleHours is counted. idleHours is the memory held by
	// replicas without running requests, over time, in hours of a whole accelerator.
	asOf      time.Time
	idleHours float64
}

// loadedModel is a model that takes up memory of the engine, also while it is being loaded
// or unloaded.
type loadedModel struct {
	state fleet.LoadState
	// memory is the size of the weights and the cache, without adapters.
	memory fleet.Bytes
	// runningRequests is the number of requests running on the replica.
	runningRequests int
	// order is the ID of the order that loads the model.
	order fleet.OrderID
	// adapters holds the memory of each loaded adapter.
	adapters map[fleet.AdapterID]fleet.Bytes
}

// newEngine returns an engine without models.
func newEngine(n *node) engine {
	return engine{node: n, models: make(map[fleet.ModelID]*loadedModel), asOf: n.run.now}
}

// accountIdle adds the idle accelerator time since asOf. It must be called before each
// change of models, memory or running requests. The time after a host loss is not counted.
func (e *engine) accountIdle() {
	hours := e.node.run.now.Sub(e.asOf).Hours()
	e.asOf = e.node.run.now
	if e.node.hostLost {
		return
	}
	for _, id := range sortedKeys(e.models) {
		if m := e.models[id]; m.runningRequests == 0 {
			e.idleHours += hours * float64(m.totalMemory()) / float64(acceleratorMemory)
		}
	}
}

// totalMemory returns the memory of the model with its adapters.
func (m *loadedModel) totalMemory() fleet.Bytes {
	n := m.memory
	for _, a := range m.adapters {
		n += a
	}
	return n
}

// usedMemory returns the memory of all models and adapters.
func (e *engine) usedMemory() (n fleet.Bytes) {
	for _, m := range e.models {
		n += m.totalMemory()
	}
	return n
}

// isWarm reports whether the model is loaded and can run requests.
func (e *engine) isWarm(id fleet.ModelID) bool {
	m, ok := e.models[id]
	return ok && m.state == fleet.LoadStateWarm
}

// report returns the state of the engine as the agent would read it now.
func (e *engine) report() fleet.EngineState {
	st := fleet.EngineState{AsOf: e.node.run.now, TotalMemory: e.node.ep.Memory, UsedMemory: e.usedMemory()}
	for _, id := range sortedKeys(e.models) {
		m := e.models[id]
		em := fleet.EngineModel{Model: id, State: m.state, Memory: m.memory, Running: m.runningRequests}
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

// execute starts an order. The agent gets the outcome when the order ends. Orders to unload
// adapters or to set the role are ignored.
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

// endOrder reports the outcome of an order to the agent.
func (e *engine) endOrder(o fleet.Order, outcome fleet.Outcome) {
	e.node.apply(agent.OrderEnded{Order: o, Outcome: outcome})
}

// loadModel allocates the memory of the model and starts to load it from the weight store.
func (e *engine) loadModel(o fleet.Order) {
	r := e.node.run
	m := &loadedModel{state: fleet.LoadStateLoading, memory: o.Memory + o.KVCache, order: o.ID, adapters: make(map[fleet.AdapterID]fleet.Bytes)}
	e.models[o.Model] = m
	r.result.Loads++
	e.node.checkInvariants(o.Model)
	r.weightStore.start(o.ID, loadTime(r.trace.Header.WeightStore, r.models[o.Model]), func() {
		e.accountIdle()
		m.state = fleet.LoadStateWarm
		e.endOrder(o, fleet.OutcomeDone)
	})
}

// unloadModel starts to unload a model. The order fails if the model is unknown or runs
// requests.
func (e *engine) unloadModel(o fleet.Order) {
	m, ok := e.models[o.Model]
	if !ok || m.runningRequests > 0 {
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

// loadAdapter adds an adapter to a model. The order fails if the model is not warm.
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

// startRequest runs a request and schedules its first token and its end. A request for a
// model that is not warm is counted as a violation.
func (e *engine) startRequest(req *request) {
	e.accountIdle()
	r, n := e.node.run, e.node
	m, ok := e.models[req.arrival.Model]
	if !ok || m.state != fleet.LoadStateWarm {
		r.result.recordViolation("request for " + string(req.arrival.Model) + " started on a cold engine")
		return
	}
	prefill := prefillTime(req.arrival.PromptTokens, m.runningRequests)
	decode := decodeTime(req.arrival.OutputTokens, m.runningRequests)
	m.runningRequests++
	r.after(prefill, func() {
		if n.hostLost {
			return
		}
		r.answer(req)
		n.apply(agent.AnswerBegan{ID: req.id})
	})
	r.after(prefill+decode, func() {
		if n.hostLost {
			return
		}
		e.accountIdle()
		m.runningRequests--
		delete(n.requests, req.id)
		n.apply(agent.AnswerEnded{ID: req.id, Chunks: 1})
	})
}

// abortLoads stops the loads in progress of a lost host.
func (e *engine) abortLoads() {
	for _, id := range sortedKeys(e.models) {
		if m := e.models[id]; m.state == fleet.LoadStateLoading {
			e.node.run.weightStore.abort(m.order)
		}
	}
}
