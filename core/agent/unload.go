package agent

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// fitsAfterEviction reports whether the replica would fit into memory once all evictable
// replicas are unloaded.
func (s *State) fitsAfterEviction(r *replica) bool {
	available := s.ledger.freeBytes()
	for _, other := range s.models {
		if other != r && (other.stage == stageUnloading || s.evictable(other)) {
			available += s.chargedMemory(other)
		}
	}
	return s.requiredMemory(r.model) <= available
}

// chargedMemory returns the memory charged to a model and its adapters.
func (s *State) chargedMemory(r *replica) fleet.Bytes {
	n := s.ledger.charged[memoryKey{model: r.model}]
	for id := range r.adapters {
		n += s.ledger.charged[memoryKey{model: r.model, adapter: id}]
	}
	return n
}

// evictable reports whether a replica may be unloaded to free memory for another one.
func (s *State) evictable(r *replica) bool {
	return r.stage == stageWarm && !r.busy() && !s.mustStayWarm(r)
}

// reserveOrEvict reserves memory for a replica and reports whether it succeeded. If there
// is too little memory, it evicts idle replicas, so that a later call can succeed, or
// refuses the queued requests if evictions can't free enough.
func (s *State) reserveOrEvict(now time.Time, r *replica) bool {
	need := s.requiredMemory(r.model)
	if s.ledger.reserve(memoryKey{model: r.model}, need) {
		return true
	}
	if s.fitsAfterEviction(r) {
		s.evictOthers(now, r, need)
		return false
	}
	s.refuseAllQueued(now, r, notRunRefusal(fleet.CodeNoCapacity, "all memory is in use", now.Add(retryDelay)))
	return false
}

// evictOthers unloads idle replicas other than r, least recently used first, until at least need
// bytes are free or about to be freed. A replica that the engine has not yet reported as idle is
// counted as about to be freed but not unloaded by this call.
func (s *State) evictOthers(now time.Time, r *replica, need fleet.Bytes) {
	available := s.ledger.freeBytes()
	var idle []*replica
	for _, other := range s.models {
		switch {
		case other.stage == stageUnloading:
			available += s.chargedMemory(other)
		case other != r && s.evictable(other):
			idle = append(idle, other)
		}
	}
	slices.SortFunc(idle, func(a, b *replica) int {
		return cmp.Or(a.lastUse.Compare(b.lastUse), cmp.Compare(a.model, b.model))
	})
	for _, victim := range idle {
		if available >= need {
			return
		}
		available += s.chargedMemory(victim)
		if !victim.confirmedIdle() {
			continue
		}
		s.count("evictions")
		s.orderUnload(now, victim, "room for "+string(r.model))
	}
}

// unloadIfDue unloads a warm replica if it has been idle for long enough or is no longer
// assigned to this endpoint.
func (s *State) unloadIfDue(now time.Time, r *replica) {
	if r.stage != stageWarm || !r.confirmedIdle() || !r.assignmentKnown || s.draining || !s.canSendOrders(now) {
		return
	}
	if !r.assigned() {
		s.orderUnload(now, r, "no longer assigned")
		return
	}
	if s.mustStayWarm(r) {
		return
	}
	until := s.opt.WarmPolicy.KeepUntil(r.model, r.lastUse, s.avgLoadTime.value)
	if now.Before(until) {
		return
	}
	if at, ok := s.opt.WarmPolicy.PrewarmAt(r.model, now, s.avgLoadTime.value); ok && !now.Before(at) {
		return
	}
	s.orderUnload(now, r, "idle")
}

// orderUnload sends the engine an order to unload an idle replica. reason is shown to
// operators.
func (s *State) orderUnload(now time.Time, r *replica, reason string) {
	r.stage = stageUnloading
	r.changedAt = now
	s.sendOrder(now, fleet.Order{Action: fleet.ActionUnloadModel, Model: r.model})
	s.count("unloads")
	s.note("unloading", r.model, reason)
	r.unloadReason = reason
}

func (s *State) handleUnloadEnded(now time.Time, r *replica, outcome fleet.Outcome) {
	r.changedAt = now
	switch outcome {
	case fleet.OutcomeDone:
		s.resetToCold(now, r)
		s.note("cold", r.model, "unloaded: "+r.unloadReason)
	case fleet.OutcomeFailed, fleet.OutcomeFenced, fleet.OutcomeUnknown:
		s.markDoubtful(now, r)
	}
}

// adapterReady reports whether requests with the adapter can start. An empty ID is always
// ready.
func (r *replica) adapterReady(id fleet.AdapterID) bool {
	if id == "" {
		return true
	}
	a, ok := r.adapters[id]
	return ok && a.stage == stageWarm
}

// loadMissingAdapters sends orders to load the adapters that queued requests need.
func (s *State) loadMissingAdapters(now time.Time, r *replica) {
	if r.stage != stageWarm || !s.canSendOrders(now) {
		return
	}
	for _, id := range r.missingAdapters() {
		s.loadAdapter(now, r, id)
	}
}

// missingAdapters returns the adapters needed by queued requests that are neither loaded
// nor loading, in queue order.
func (r *replica) missingAdapters() []fleet.AdapterID {
	var missing []fleet.AdapterID
	for _, req := range r.queue.requests {
		id := req.offer.Target.Adapter
		_, known := r.adapters[id]
		if id == "" || known || slices.Contains(missing, id) {
			continue
		}
		missing = append(missing, id)
	}
	return missing
}

// loadAdapter sends an order to load an adapter. If the adapter has no configuration or
// does not fit into memory, the requests that need it are refused.
func (s *State) loadAdapter(now time.Time, r *replica, id fleet.AdapterID) {
	m, _ := s.modelRecord(r.model)
	size, ok := m.Adapters[id]
	if !ok {
		s.refuseAdapterRequests(now, r, id, notRunRefusal(fleet.CodeUnknownModel, "no record of the adapter", time.Time{}))
		return
	}
	if !s.ledger.reserve(memoryKey{model: r.model, adapter: id}, size) {
		s.refuseAdapterRequests(now, r, id, notRunRefusal(fleet.CodeNoCapacity, "no memory for the adapter", now.Add(retryDelay)))
		return
	}
	r.adapters[id] = &adapterState{stage: stageLoading}
	s.sendOrder(now, fleet.Order{
		Action: fleet.ActionLoadAdapter, Model: r.model, Adapter: id, Memory: size,
	})
	s.count("adapter-loads")
}

func (s *State) refuseAdapterRequests(now time.Time, r *replica, id fleet.AdapterID, refusal fleet.Refusal) {
	needs := func(req *request) bool { return req.offer.Target.Adapter == id }
	for _, req := range r.queue.removeWhere(needs) {
		s.refuseDequeued(now, req, refusal)
	}
}

func (s *State) handleAdapterEnded(now time.Time, r *replica, id fleet.AdapterID, outcome fleet.Outcome) {
	a, ok := r.adapters[id]
	if !ok {
		return
	}
	r.changedAt = now
	switch outcome {
	case fleet.OutcomeDone:
		a.stage = stageWarm
	case fleet.OutcomeUnknown:
		a.stage = stageDoubtful
		a.doubtfulSince = now
		s.nextEngineReadAt = now
	case fleet.OutcomeFailed, fleet.OutcomeFenced:
		s.ledger.release(memoryKey{model: r.model, adapter: id})
		delete(r.adapters, id)
		s.refuseAdapterRequests(now, r, id, notRunRefusal(fleet.CodeLoadFailed, "the adapter could not be loaded", now.Add(retryDelay)))
	}
}
