package router

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// retryable lists the refusal codes after which another endpoint may still be
// able to serve the call.
var retryable = []fleet.Code{
	fleet.CodeDraining, fleet.CodeNotAssigned, fleet.CodeNoCapacity, fleet.CodeStarting, fleet.CodeOverloaded,
	fleet.CodeKVUnavailable, fleet.CodeLoadFailed, fleet.CodePatienceTooShort, fleet.CodeEngineFailed, fleet.CodeEndpointUnreachable,
	fleet.CodeTombstoned,
}

// handleSent records that the endpoint may have the request from now on. The
// agent instance that was sent the request first is kept, because later
// exchanges about the request must name it.
func (s *State) handleSent(now time.Time, c *call, instance fleet.Instance) {
	if !c.sent && !c.deadlineNear && !c.answerBegun {
		s.setPhaseTimeout(c, now.Add(s.ackTimeout(now, c)))
	}
	c.sentToOtherInstance = !c.sent && c.answerOf == "" && c.instance != 0 && c.instance != instance
	c.sent = true
	if c.instance == 0 {
		c.instance = instance
	}
	// An instance can't tell whether another one has run the request.
	c.mayHaveRun = c.mayHaveRun || (c.instance != instance && c.answerOf == "" && c.resendCount > 0)
}

// handleAck records that the agent has the request in its journal.
func (s *State) handleAck(now time.Time, c *call) {
	s.resetFailuresIfStable(now, c.endpoint)
	c.contactLostAt = time.Time{}
	c.resendCount = 0
	c.backoff = 0
	if c.phase == phaseWithdrawing {
		return
	}
	if c.answerBegun {
		c.phase = phaseStreaming
		s.setPhaseTimeout(c, time.Time{})
		return
	}
	c.phase = phaseAdmitted
	s.setPhaseTimeout(c, c.Deadline)
}

// handleAnswerBegan records that the caller has received the first chunk. This
// also counts if the chunk came on an exchange that has since been replaced; a
// call that is being withdrawn then reattaches to its answer.
func (s *State) handleAnswerBegan(now time.Time, c *call, exchangeID uint64) {
	c.answerBegun = true
	if exchangeID != c.exchangeID {
		s.count("chunks-overtaken")
		c.isRerun = c.isRerun || c.attempt > 1
		if c.phase == phaseWithdrawing {
			c.deadlineNear = false
			s.reattach(now, c)
		}
		return
	}
	c.phase = phaseStreaming
	s.affinity.put(c.PrefixHash, c.endpoint)
	s.setPhaseTimeout(c, time.Time{})
}

// handleAnswerEnded ends a call whose caller has received the whole answer.
func (s *State) handleAnswerEnded(c *call) {
	s.count("answered")
	if c.ClaimKey != "" && c.claim.Request != "" && c.claim.State != ClaimDone {
		finished := c.claim
		finished.State = ClaimDone
		s.emit(FinishClaim{Key: c.ClaimKey, Claim: finished})
	}
	s.emit(FinishCall{ID: c.ID})
	s.removeCall(c)
}

// handleStreamBroke handles a stream that ended early or a connection that went
// silent. It requests the answer again by its request ID on a new connection,
// and gives up on the endpoint when that has failed too often.
func (s *State) handleStreamBroke(now time.Time, c *call) {
	s.count("streams-broken")
	c.brokenStreamCount++
	if c.brokenStreamCount > maxBrokenStreams {
		s.rerunOrRefuse(now, c)
		return
	}
	if !c.sent && c.answerOf == "" {
		s.handleNotSent(now, c)
		return
	}
	if c.contactLostAt.IsZero() {
		c.contactLostAt = now
	}
	if c.resendCount < maxResends {
		c.resendCount++
		s.resend(now, c)
		return
	}
	s.withdrawOrGiveUp(now, c)
}

// handleRefusal handles an agent's refusal: it retries the call at another
// endpoint if that is safe and useful, and otherwise refuses the call.
func (s *State) handleRefusal(now time.Time, c *call, r fleet.Refusal) {
	s.updateEndpointFromRefusal(now, c, r)
	if c.answerOf != "" {
		s.handleAttachRefusal(now, c, r)
		return
	}
	if c.sentToOtherInstance && r.Code == fleet.CodeOutcomeUnknown {
		r = notRunRefusal(fleet.CodeTombstoned, "the agent has restarted before the request was sent", now.Add(defaultRetryAfter))
	}
	safe := r.NotRun == fleet.NotRunTrue || c.Idempotent
	useful := slices.Contains(retryable, r.Code) || (c.Idempotent && r.Code == fleet.CodeOutcomeUnknown)
	switch {
	case c.answerBegun && c.Idempotent && !c.deadlineNear:
		s.rerunOrRefuse(now, c)
	case safe && useful && !c.deadlineNear && !c.answerBegun:
		s.retryElsewhere(now, c, r)
	default:
		s.refuseCall(c, r)
	}
}

// updateEndpointFromRefusal updates what is known about the call's endpoint from a refusal.
func (s *State) updateEndpointFromRefusal(now time.Time, c *call, r fleet.Refusal) {
	e, ok := s.endpoints[c.endpoint]
	if !ok {
		return
	}
	switch r.Code {
	case fleet.CodeDraining:
		if !e.loadReport.Draining {
			e.loadReport.Draining = true
			s.scheduleRound()
		}
	case fleet.CodeNoCapacity:
		if e.outOfMemoryUntil == nil {
			e.outOfMemoryUntil = make(map[fleet.ModelID]time.Time)
		}
		e.outOfMemoryUntil[c.Target.Model] = now.Add(outOfMemoryTTL)
	default:
	}
}

// requestTombstone withdraws a call from its agent by a tombstone request, which is
// repeated until the agent has answered.
func (s *State) requestTombstone(now time.Time, c *call) {
	c.phase = phaseWithdrawing
	s.startExchange(c)
	s.count("tombstones-asked")
	s.emit(RequestTombstone{
		ID: c.ID, ExchangeID: c.exchangeID, Request: c.ID, Endpoint: c.endpoint, ExpectInstance: c.instance,
		NotAfter: c.Deadline,
	})
	pause := 2 * s.ackTimeout(now, c)
	s.setPhaseTimeout(c, now.Add(pause))
}

// handleTombstoneAnswer handles the result of a tombstone request. An empty state
// means that the agent did not answer.
func (s *State) handleTombstoneAnswer(now time.Time, c *call, state string) {
	switch state {
	case "tombstoned":
		s.handleNeverRan(now, c)
	case "running", "done":
		s.handleAlreadyStarted(now, c)
	case "unknown":
		if c.Idempotent && !c.deadlineNear {
			s.handleUnresponsive(now, c)
			return
		}
		s.refuseCall(c, fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
			Detail: "the agent no longer knows whether the request ran",
		})
	default:
		if c.Idempotent && !c.deadlineNear {
			s.handleUnresponsive(now, c)
		}
		// Any other call repeats the request when the phase times out.
	}
}

// handleNeverRan handles a call that its endpoint has not run and never will: it
// is refused if its deadline is near, and retried elsewhere otherwise.
func (s *State) handleNeverRan(now time.Time, c *call) {
	if c.deadlineNear {
		s.refuseCall(c, notRunRefusal(fleet.CodeDeadlineExceeded, "the patience ended before it was run", now))
		return
	}
	s.retryElsewhere(now, c, notRunRefusal(fleet.CodeEndpointUnreachable, "the endpoint fell silent", now.Add(defaultRetryAfter)))
}

// handleAlreadyStarted handles a call that started before it could be withdrawn.
// It reattaches to the answer unless the deadline is near and the caller has
// received nothing; it refuses the call then.
func (s *State) handleAlreadyStarted(now time.Time, c *call) {
	if !c.deadlineNear || c.answerBegun {
		c.deadlineNear = false
		c.backoff++
		s.reattach(now, c)
		return
	}
	if c.Idempotent {
		s.emit(CancelOffer{ID: c.ID, ExchangeID: c.exchangeID, Endpoint: c.endpoint})
	}
	s.refuseCall(c, fleet.Refusal{
		Code: fleet.CodeDeadlineExceeded, NotRun: fleet.NotRunFalse, Detail: "the patience ended while it was run",
	})
}
