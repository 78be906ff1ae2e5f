package agent

import (
	"fmt"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/record"
)

// Limits on loading.
const (
	// loadRetryBackoff is the delay before a failed load is retried, multiplied by the
	// number of consecutive failures.
	loadRetryBackoff = 2 * time.Second
	// maxLoadFailures is the number of consecutive load failures at which the requests
	// queued for the model are refused instead of waiting for a retry.
	maxLoadFailures = 2
	// assignmentReadTimeout is how long an assignment read may stay unanswered before
	// another one is requested.
	assignmentReadTimeout = 1500 * time.Millisecond
	// maxOrderDelay is how long the execution of a SendOrder effect may be delayed before
	// the order must not be sent.
	maxOrderDelay = maxEventGap / 2
)

// pendingOrder is an order whose outcome is not known yet.
type pendingOrder struct {
	order  fleet.Order
	sentAt time.Time
}

// modelRecord returns the configuration record of a model; false if there is none.
func (s *State) modelRecord(model fleet.ModelID) (record.Model, bool) {
	if s.config == nil {
		return record.Model{}, false
	}
	m, ok := s.config.Models[model]
	return m, ok
}

// requiredMemory returns the accelerator memory that a replica of the model needs; 0 if
// the model has no record.
func (s *State) requiredMemory(model fleet.ModelID) fleet.Bytes {
	m, _ := s.modelRecord(model)
	return m.Weights + m.KVCache
}

// mustStayWarm reports whether the model must always be warm on this endpoint, because the
// endpoint is one of the first WarmFloor assigned ones.
func (s *State) mustStayWarm(r *replica) bool {
	m, _ := s.modelRecord(r.model)
	return r.assigned() && r.assignment.Rank < m.WarmFloor
}

// shouldLoad reports whether the model should be loaded now, because of queued requests,
// the warm floor or the policy's prewarm time.
func (s *State) shouldLoad(now time.Time, r *replica) bool {
	if s.draining {
		return false
	}
	if r.queue.len() > 0 || s.mustStayWarm(r) {
		return true
	}
	if !r.assigned() {
		return false
	}
	at, ok := s.opt.WarmPolicy.PrewarmAt(r.model, now, s.avgLoadTime.value)
	return ok && !now.Before(at)
}

// advanceLoad starts the load of a cold replica if it is due, or continues one that waits for
// a permit.
func (s *State) advanceLoad(now time.Time, r *replica) {
	switch r.stage {
	case stageCold:
		if s.shouldLoad(now, r) && !now.Before(r.retryAt) {
			s.beginLoad(now, r)
		}
	case stageWaiting:
		s.awaitPermit(now, r)
	case stageLoading, stageWarm, stageUnloading, stageDoubtful:
	}
}

// beginLoad starts the process of loading a cold model: it checks that the model may be
// loaded, reserves memory and requests a permit. If a precondition is missing, it starts
// what is needed to meet it, such as an assignment read or an eviction, or refuses the
// queued requests.
func (s *State) beginLoad(now time.Time, r *replica) {
	if !r.assignmentKnown {
		s.requestAssignmentRead(now, r)
		return
	}
	if !r.assigned() {
		s.refuseAllQueued(now, r, notRunRefusal(fleet.CodeNotAssigned, "the model is not placed here", time.Time{}))
		return
	}
	if !s.canSendOrders(now) || !s.reserveOrEvict(now, r) {
		return
	}
	r.stage = stageWaiting
	r.permit = permitWaiting
	r.readyAt = now.Add(s.avgLoadTime.value)
	s.permitSeq++
	r.permitID = fleet.OrderID(fmt.Sprintf("%s/%d/permit-%d", s.endpoint, s.incarnation, s.permitSeq))
	s.requestPermit(now, r)
}

func (s *State) requestAssignmentRead(now time.Time, r *replica) {
	if r.assignmentReadPending && now.Before(r.assignmentReadDeadline) {
		return
	}
	r.assignmentReadPending = true
	r.assignmentReadDeadline = now.Add(assignmentReadTimeout)
	s.emit(ReadAssignment{Model: r.model, At: now})
}

func (s *State) requestPermit(now time.Time, r *replica) {
	r.nextPermitRequestAt = now.Add(permit.RenewPeriod)
	urgency, deadline := r.queue.maxUrgencyAndDeadline()
	s.emit(RequestPermit{
		ID: r.permitID, Model: r.model, Urgency: urgency, Deadline: deadline, ExpectedLoadTime: s.fullSpeedLoadTime.value,
	})
}

// returnPermit returns the replica's permit, if any. took is the duration of the load; 0
// if the load was not successful.
func (s *State) returnPermit(now time.Time, r *replica, took time.Duration) {
	if r.permitID == "" {
		return
	}
	if r.permit == permitLocal {
		s.pacer.Finish(now, took, s.fullSpeedLoadTime.value)
	}
	s.emit(ReturnPermit{ID: r.permitID, Took: took})
	r.permitID = ""
	r.permit = permitNone
}

// awaitPermit starts the load once a permit is available. It gives up the load if the
// model no longer needs to be loaded or is no longer known to be assigned to this endpoint.
func (s *State) awaitPermit(now time.Time, r *replica) {
	switch {
	case !s.shouldLoad(now, r), !r.assigned():
		s.resetToCold(now, r)
	case !s.canSendOrders(now):
	case r.permit == permitUnreachable && s.pacer.TryStart(now):
		r.permit = permitLocal
		s.count("permits-local")
		s.orderLoad(now, r)
	case r.permit == permitGranted:
		s.orderLoad(now, r)
	case !now.Before(r.nextPermitRequestAt):
		s.requestPermit(now, r)
	}
}

// orderLoad sends the engine an order to load the model.
func (s *State) orderLoad(now time.Time, r *replica) {
	r.stage = stageLoading
	r.loadStartedAt = now
	r.changedAt = now
	r.readyAt = now.Add(s.avgLoadTime.value)
	m, _ := s.modelRecord(r.model)
	s.sendOrder(now, fleet.Order{
		Action: fleet.ActionLoadModel, Model: r.model, Memory: m.Weights, KVCache: m.KVCache,
	})
	s.count("loads")
	s.note("loading", r.model, s.loadReason(r))
}

// loadReason returns the reason for loading the model, to be shown to operators.
func (s *State) loadReason(r *replica) string {
	switch n := r.queue.len(); {
	case n > 0:
		return fmt.Sprintf("requests waiting: %d", n)
	case s.mustStayWarm(r):
		return "warm floor"
	default:
		return "requests expected"
	}
}

func (s *State) handlePermitAnswered(now time.Time, ev PermitAnswered) {
	r, ok := s.models[ev.Model]
	if !ok || r.permitID != ev.ID || r.stage != stageWaiting {
		s.count("permits-late")
		return
	}
	switch ev.Answer {
	case PermitGranted:
		r.permit = permitGranted
	case PermitWaiting:
		r.permit = permitWaiting
		r.readyAt = now.Add(s.avgLoadTime.value)
	case PermitUnreachable:
		r.permit = permitUnreachable
	case PermitRefused:
		s.resetToCold(now, r)
		s.refuseAllQueued(now, r, notRunRefusal(fleet.CodePatienceTooShort,
			"the weight store can't deliver the model within the patience", now.Add(s.avgLoadTime.value)))
	}
}

// sendOrder assigns an ID and the next fence to an order and sends it.
func (s *State) sendOrder(now time.Time, o fleet.Order) {
	s.lastFenceGeneration++
	o.ID = fleet.OrderID(fmt.Sprintf("%s/%d/%d", s.endpoint, s.incarnation, s.lastFenceGeneration))
	o.Fence = fleet.Fence{Incarnation: s.incarnation, Generation: s.lastFenceGeneration}
	s.pendingOrders[o.ID] = pendingOrder{order: o, sentAt: now}
	s.emit(SendOrder{Order: o, NotAfter: now.Add(maxOrderDelay)})
}

// resetToCold marks a replica as cold and releases its permit and memory.
func (s *State) resetToCold(now time.Time, r *replica) {
	s.returnPermit(now, r, 0)
	r.stage = stageCold
	r.changedAt = now
	s.ledger.release(memoryKey{model: r.model})
	for id := range r.adapters {
		s.ledger.release(memoryKey{model: r.model, adapter: id})
	}
	clear(r.adapters)
}

// handleOrderEnded applies the outcome of an order.
func (s *State) handleOrderEnded(now time.Time, ev OrderEnded) {
	if _, ok := s.pendingOrders[ev.Order.ID]; !ok {
		s.count("orders-stale")
		return
	}
	delete(s.pendingOrders, ev.Order.ID)
	if ev.Outcome == fleet.OutcomeFenced {
		s.incarnationConfirmed = false
		s.nextConfirmAt = now
		s.count("orders-fenced")
	}
	r := s.modelReplica(ev.Order.Model)
	switch ev.Order.Action {
	case fleet.ActionLoadModel:
		s.handleLoadEnded(now, r, ev.Outcome)
	case fleet.ActionUnloadModel:
		s.handleUnloadEnded(now, r, ev.Outcome)
	case fleet.ActionLoadAdapter:
		s.handleAdapterEnded(now, r, ev.Order.Adapter, ev.Outcome)
	case fleet.ActionUnloadAdapter, fleet.ActionSetRole:
	}
}

func (s *State) handleLoadEnded(now time.Time, r *replica, outcome fleet.Outcome) {
	r.changedAt = now
	switch outcome {
	case fleet.OutcomeDone:
		r.stage = stageWarm
		r.loadFailures = 0
		r.lastUse = now
		took := now.Sub(r.loadStartedAt)
		s.returnPermit(now, r, took)
		s.avgLoadTime.add(took)
		s.fullSpeedLoadTime.add(took)
		s.note("warm", r.model, "loaded in "+took.Round(time.Millisecond).String())
	case fleet.OutcomeUnknown:
		s.markDoubtful(now, r)
	case fleet.OutcomeFailed, fleet.OutcomeFenced:
		s.handleLoadFailed(now, r)
	}
}

// handleLoadFailed schedules a retry of the load. After maxLoadFailures consecutive
// failures it also refuses the queued requests.
func (s *State) handleLoadFailed(now time.Time, r *replica) {
	s.resetToCold(now, r)
	r.loadFailures++
	r.retryAt = now.Add(loadRetryBackoff * time.Duration(r.loadFailures))
	r.readyAt = r.retryAt.Add(s.avgLoadTime.value)
	s.count("loads-failed")
	s.note("load-failed", r.model, "")
	if r.loadFailures >= maxLoadFailures {
		s.refuseAllQueued(now, r, notRunRefusal(fleet.CodeLoadFailed, "the model could not be loaded", r.retryAt))
	}
}

// markDoubtful marks a replica whose last order may or may not have been executed. Its
// memory stays charged until an engine report shows what the engine holds.
func (s *State) markDoubtful(now time.Time, r *replica) {
	s.returnPermit(now, r, 0)
	r.stage = stageDoubtful
	r.doubtfulSince = now
	r.changedAt = now
	r.readyAt = now.Add(s.avgLoadTime.value)
	s.nextEngineReadAt = now
	s.count("orders-unknown")
	s.note("doubtful", r.model, "")
}
