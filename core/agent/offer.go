package agent

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// retryDelay is the time after which a refusal for a temporary reason, such as lack of
// capacity, asks the caller to retry.
const retryDelay = 2 * time.Second

// answerMargin is the time before a request's deadline that is reserved for returning the
// answer to the caller.
const answerMargin = 20 * time.Millisecond

// handleOffered admits or refuses a new request. An offer that repeats a journaled request
// gets the answer of that request, or the same refusal again.
func (s *State) handleOffered(now time.Time, o Offer) {
	if r, ok := s.journal.requests[o.ID]; ok {
		s.handleRepeatedOffer(r, o)
		return
	}
	if refusal, ok := s.historyRefusal(o); ok {
		s.refuseWithTombstone(now, o, refusal)
		return
	}
	if refusal, ok := s.admissionRefusal(now, o); ok {
		s.refuseWithTombstone(now, o, refusal)
		return
	}
	r := &request{offer: o, phase: phaseQueued}
	s.journal.requests[o.ID] = r
	rep := s.targetReplica(o.Target)
	rep.queue.push(r)
	rep.lastUse = now
	s.updateQueueTotals(r, 1)
	if rep.service == "" {
		s.opt.WarmPolicy.RecordArrival(rep.model, now)
	}
	s.count("offers")
	s.emit(AdmitOffer{ID: o.ID, StreamID: o.StreamID, ExpectedFirstByteAt: s.expectedFirstByte(now, rep)})
}

// handleRepeatedOffer attaches an offer to the journaled request with the same ID, or
// repeats its refusal.
func (s *State) handleRepeatedOffer(r *request, o Offer) {
	s.count("offers-repeated")
	switch r.phase {
	case phaseQueued, phaseStarted, phaseDone:
		r.offer.StreamID = o.StreamID
		s.emit(AdmitOffer{ID: o.ID, StreamID: o.StreamID, Offset: o.Offset})
	case phaseFailed, phaseTombstoned:
		s.emit(RefuseOffer{ID: o.ID, StreamID: o.StreamID, Refusal: r.refusal})
	}
}

// historyRefusal returns a refusal, and true, if the offer must not run because of what
// happened before: the request has run or may have run, or the offer requests only the
// answer of a request that this agent does not know.
func (s *State) historyRefusal(o Offer) (fleet.Refusal, bool) {
	same := o.ExpectInstance == 0 || o.ExpectInstance == s.instance
	switch {
	case s.journal.ranAndExpired(o.ID):
		return fleet.Refusal{
			Code: fleet.CodeAlreadyRan, NotRun: fleet.NotRunFalse,
			Detail: "the request has run; its answer is not kept any more",
		}, true
	case !same && (o.AttachOnly || !o.Idempotent):
		return fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
			Detail: "the agent has restarted since the request was sent",
		}, true
	case o.AttachOnly:
		return fleet.Refusal{
			Code: fleet.CodeTombstoned, NotRun: fleet.NotRunTrue,
			Detail: "the request never reached the agent and will not run",
		}, true
	}
	return fleet.Refusal{}, false
}

// admissionRefusal returns a refusal, and true, if a new request can't be served in time
// by this endpoint.
func (s *State) admissionRefusal(now time.Time, o Offer) (fleet.Refusal, bool) {
	switch {
	case s.draining:
		return notRunRefusal(fleet.CodeDraining, "the endpoint is leaving", time.Time{}), true
	case s.journal.full():
		return notRunRefusal(fleet.CodeOverloaded, "the endpoint's journal is full", now.Add(retryDelay)), true
	}
	rep := s.targetReplica(o.Target)
	if rep == nil {
		return notRunRefusal(fleet.CodeNotAssigned, "no such service beside this agent", time.Time{}), true
	}
	if rep.service == "" {
		if refusal, ok := s.modelRefusal(now, o, rep); ok {
			return refusal, true
		}
	}
	if !s.ensureQueueRoom(now, o) {
		return notRunRefusal(fleet.CodeOverloaded, "the endpoint's queue is full", now.Add(retryDelay)), true
	}
	return fleet.Refusal{}, false
}

// modelRefusal returns a refusal, and true, if the model can't be warm in time for the
// offer.
func (s *State) modelRefusal(now time.Time, o Offer, rep *replica) (fleet.Refusal, bool) {
	if _, ok := s.modelRecord(rep.model); !ok {
		return notRunRefusal(fleet.CodeStarting, "the endpoint has no record of the model yet", now.Add(retryDelay)), true
	}
	if rep.stage != stageWarm && rep.assignmentKnown && !rep.assigned() {
		return notRunRefusal(fleet.CodeNotAssigned, "the model is not placed here", time.Time{}), true
	}
	if rep.stage == stageCold && !s.incarnationConfirmed {
		return notRunRefusal(fleet.CodeStarting, "the endpoint may not load while its incarnation is unconfirmed", now.Add(retryDelay)), true
	}
	if now.Before(rep.retryAt) && rep.stage == stageCold {
		return notRunRefusal(fleet.CodeLoadFailed, "the last load failed", rep.retryAt), true
	}
	ready := s.expectedFirstByte(now, rep)
	if ready.Add(answerMargin).After(o.Deadline) {
		return notRunRefusal(fleet.CodePatienceTooShort, "the model can't answer within the patience", ready), true
	}
	if rep.stage == stageCold && !s.fitsAfterEviction(rep) {
		return notRunRefusal(fleet.CodeNoCapacity, "all memory is in use", now.Add(retryDelay)), true
	}
	return fleet.Refusal{}, false
}

// notRunRefusal returns a refusal that states that the request was not run.
func notRunRefusal(code fleet.Code, detail string, retryAt time.Time) fleet.Refusal {
	return fleet.Refusal{Code: code, NotRun: fleet.NotRunTrue, Detail: detail, RetryAt: retryAt}
}

// refuseWithTombstone refuses an offer and journals the refusal, so that a delayed
// repetition of the offer can't start the request.
func (s *State) refuseWithTombstone(now time.Time, o Offer, refusal fleet.Refusal) {
	if !s.journal.tombstonesFull() {
		r := &request{offer: o, refusal: refusal}
		s.journal.requests[o.ID] = r
		s.journal.finish(now, r, phaseTombstoned)
	} else if refusal.NotRun == fleet.NotRunTrue {
		// Without a tombstone a delayed repetition of the offer could still start the request.
		refusal.NotRun = fleet.NotRunUnknown
	}
	s.emit(event.Count{Name: "agent.refused." + string(refusal.Code), N: 1})
	s.emit(RefuseOffer{ID: o.ID, StreamID: o.StreamID, Refusal: refusal})
}

// handleTombstoneRequested withdraws a request and answers with its state.
func (s *State) handleTombstoneRequested(now time.Time, ev TombstoneRequested) {
	state := s.withdraw(now, ev)
	s.emit(AnswerTombstone{ID: ev.ID, StreamID: ev.StreamID, State: state})
}

// withdraw keeps a request from ever starting at this agent, unless it has already started,
// and returns the resulting state of the request.
func (s *State) withdraw(now time.Time, ev TombstoneRequested) TombstoneState {
	r, ok := s.journal.requests[ev.ID]
	switch {
	case ok && r.phase == phaseQueued:
		s.dequeueAndRefuse(now, r, notRunRefusal(fleet.CodeTombstoned, "withdrawn by the router", time.Time{}))
		return TombstoneWritten
	case ok && r.phase == phaseStarted:
		return TombstoneRunning
	case ok && r.phase == phaseDone:
		return TombstoneDone
	case ok && r.refusal.NotRun == fleet.NotRunTrue:
		return TombstoneWritten
	case ok:
		return TombstoneUnknown
	case ev.ExpectInstance != 0 && ev.ExpectInstance != s.instance, s.journal.tombstonesFull(), s.journal.ranAndExpired(ev.ID):
		return TombstoneUnknown
	}
	refusal := notRunRefusal(fleet.CodeTombstoned, "withdrawn by the router", time.Time{})
	// KeepAnswer makes the journal keep the tombstone for longer, because a delayed offer of
	// the request may arrive much later.
	r = &request{offer: Offer{ID: ev.ID, KeepAnswer: true}, refusal: refusal}
	s.journal.requests[ev.ID] = r
	s.journal.finish(now, r, phaseTombstoned)
	return TombstoneWritten
}

// dequeueAndRefuse removes a request from its queue and refuses it permanently.
func (s *State) dequeueAndRefuse(now time.Time, r *request, refusal fleet.Refusal) {
	s.targetReplica(r.offer.Target).queue.remove(r)
	s.refuseDequeued(now, r, refusal)
}

// refuseDequeued refuses a request that has already been removed from its queue.
func (s *State) refuseDequeued(now time.Time, r *request, refusal fleet.Refusal) {
	s.updateQueueTotals(r, -1)
	r.refusal = refusal
	s.journal.finish(now, r, phaseTombstoned)
	s.emit(event.Count{Name: "agent.refused." + string(refusal.Code), N: 1})
	s.emit(RefuseAnswer{ID: r.offer.ID, Refusal: refusal})
}

// refuseAllQueued refuses all requests queued for a replica.
func (s *State) refuseAllQueued(now time.Time, rep *replica, refusal fleet.Refusal) {
	for _, r := range rep.queue.removeWhere(func(*request) bool { return true }) {
		s.refuseDequeued(now, r, refusal)
	}
}

// refuseLateRequests refuses queued requests whose deadline can't be met any more, even if they
// were started as soon as the replica is ready.
func (s *State) refuseLateRequests(now time.Time, rep *replica) {
	ready := s.expectedReadyAt(now, rep)
	late := rep.queue.removeWhere(func(r *request) bool {
		return ready.Add(answerMargin).After(r.offer.Deadline)
	})
	for _, r := range late {
		s.refuseDequeued(now, r, notRunRefusal(fleet.CodeDeadlineExceeded, "the patience ended in the queue", ready))
	}
}

// handleCancelled refuses a queued request or cancels a running one after its caller has
// disconnected. A running request that is not idempotent, or whose answer is to be kept,
// runs to completion.
func (s *State) handleCancelled(now time.Time, ev Cancelled) {
	r, ok := s.journal.requests[ev.ID]
	if !ok || r.offer.StreamID != ev.StreamID {
		return
	}
	refusal := notRunRefusal(fleet.CodeCallerCancelled, "the caller has gone away", time.Time{})
	switch {
	case r.phase == phaseQueued:
		s.dequeueAndRefuse(now, r, refusal)
	case r.phase == phaseStarted && r.offer.Idempotent && !r.offer.KeepAnswer:
		s.count("cancelled")
		s.emit(CancelRequest{ID: ev.ID})
	}
}
