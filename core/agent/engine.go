package agent

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// handleEngineReported reconciles the replicas with the models that the engine holds.
// The engine runs on the agent's host, so timestamps of both are comparable. The report is
// ignored for a model that has a pending order, or whose replica changed after the time of
// the report.
func (s *State) handleEngineReported(now time.Time, st fleet.EngineState) {
	if s.engineAsOf.IsZero() {
		s.note("engine-known", "", "")
	}
	if st.AsOf.After(s.engineAsOf) {
		s.engineAsOf = st.AsOf
	}
	if s.incarnation != 0 && st.Fence.Incarnation > s.incarnation {
		s.markSuperseded(now)
	}
	s.ledger.total = st.TotalMemory
	s.settleOrders(now, st)
	held := make(map[fleet.ModelID]fleet.EngineModel, len(st.Models))
	for _, m := range st.Models {
		held[m.Model] = m
		s.reconcileHeldModel(now, st.AsOf, m)
	}
	for _, r := range s.replicas() {
		if _, ok := held[r.model]; !ok && r.service == "" {
			s.reconcileMissingModel(now, st.AsOf, r)
		}
	}
}

// settleOrders finishes orders whose answers are overdue, for example because their
// connections are dead, if a later engine report shows the outcome.
func (s *State) settleOrders(now time.Time, st fleet.EngineState) {
	for _, p := range s.sortedPendingOrders() {
		if outcome, ok := outcomeFromReport(p, st); ok {
			s.count("orders-settled")
			s.emit(AbandonOrder{ID: p.order.ID})
			s.handleOrderEnded(now, OrderEnded{Order: p.order, Outcome: outcome})
		}
	}
}

// sortedPendingOrders returns the orders without a known outcome, oldest first.
func (s *State) sortedPendingOrders() []pendingOrder {
	all := make([]pendingOrder, 0, len(s.pendingOrders))
	for _, p := range s.pendingOrders {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b pendingOrder) int {
		return cmp.Compare(a.order.Fence.Generation, b.order.Fence.Generation)
	})
	return all
}

// outcomeFromReport infers the outcome of a load or unload order from an engine report.
// It returns false if the report is too old or does not show the outcome.
func outcomeFromReport(p pendingOrder, st fleet.EngineState) (fleet.Outcome, bool) {
	if !st.AsOf.After(p.sentAt.Add(settleDelay)) {
		return "", false
	}
	i := slices.IndexFunc(st.Models, func(m fleet.EngineModel) bool { return m.Model == p.order.Model })
	switch {
	case p.order.Action == fleet.ActionLoadModel && i < 0:
		return fleet.OutcomeUnknown, true
	case p.order.Action == fleet.ActionLoadModel && st.Models[i].State == fleet.LoadStateWarm:
		return fleet.OutcomeDone, true
	case p.order.Action == fleet.ActionUnloadModel && i < 0:
		return fleet.OutcomeDone, true
	case p.order.Action == fleet.ActionUnloadModel && st.Models[i].State == fleet.LoadStateWarm:
		return fleet.OutcomeUnknown, true
	}
	return "", false
}

// reconcileHeldModel updates the replica of a model that the engine reports as held.
func (s *State) reconcileHeldModel(now, asOf time.Time, m fleet.EngineModel) {
	r := s.modelReplica(m.Model)
	if m.Running+m.Queued == 0 && asOf.After(r.engineIdleAsOf) {
		r.engineIdleAsOf = asOf
	}
	if s.hasPendingOrder(m.Model) || !asOf.After(r.changedAt) {
		return
	}
	switch r.stage {
	case stageCold, stageWaiting, stageDoubtful:
		s.adoptModel(now, r, m)
	case stageWarm:
		s.reconcileAdapters(asOf, r, m)
	case stageLoading, stageUnloading:
	}
}

// adoptModel updates a replica whose model the engine holds although this agent does not count
// it as loaded, for example because an earlier agent loaded it.
func (s *State) adoptModel(now time.Time, r *replica, m fleet.EngineModel) {
	s.ledger.charge(memoryKey{model: m.Model}, m.Memory)
	if m.State != fleet.LoadStateWarm {
		if r.stage != stageDoubtful {
			s.markDoubtful(now, r)
		}
		return
	}
	s.returnPermit(now, r, 0)
	r.stage = stageWarm
	r.lastUse = now
	r.loadFailures = 0
	for id, state := range m.Adapters {
		if state == fleet.LoadStateWarm {
			s.adoptAdapter(r, id)
		}
	}
	s.count("adoptions")
	s.note("warm", r.model, "adopted")
}

func (s *State) adoptAdapter(r *replica, id fleet.AdapterID) {
	m, _ := s.modelRecord(r.model)
	s.ledger.charge(memoryKey{model: r.model, adapter: id}, m.Adapters[id])
	r.adapters[id] = &adapterState{stage: stageWarm}
}

// reconcileAdapters resolves adapters whose load orders had an unknown outcome.
func (s *State) reconcileAdapters(asOf time.Time, r *replica, m fleet.EngineModel) {
	for id, a := range r.adapters {
		if a.stage != stageDoubtful {
			continue
		}
		state, held := m.Adapters[id]
		switch {
		case held && state == fleet.LoadStateWarm:
			a.stage = stageWarm
		case !held && asOf.After(a.doubtfulSince.Add(maxOrderInFlight)):
			s.ledger.release(memoryKey{model: r.model, adapter: id})
			delete(r.adapters, id)
		}
	}
}

// reconcileMissingModel updates the replica of a model that the engine does not hold.
func (s *State) reconcileMissingModel(now, asOf time.Time, r *replica) {
	if s.hasPendingOrder(r.model) {
		return
	}
	switch r.stage {
	case stageWarm:
		if asOf.After(r.changedAt) {
			s.count("models-lost")
			s.note("cold", r.model, "the engine lost it")
			s.resetToCold(now, r)
		}
	case stageDoubtful:
		if asOf.After(r.doubtfulSince.Add(maxOrderInFlight)) {
			s.note("cold", r.model, "the order was not carried out")
			s.resetToCold(now, r)
		}
	case stageCold, stageWaiting, stageLoading, stageUnloading:
	}
}

// hasPendingOrder reports whether an order for the model or one of its adapters
// has no known outcome yet.
func (s *State) hasPendingOrder(model fleet.ModelID) bool {
	for _, p := range s.pendingOrders {
		if p.order.Model == model {
			return true
		}
	}
	return false
}
