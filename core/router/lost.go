package router

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// handleAckTimeout handles an offer that was not acknowledged in time. It resends
// the offer on a new connection, up to maxResends times, and then gives up on the
// endpoint. If the retry budget is used up it waits on instead, which is safe
// because a silent connection is closed and reported as StreamBroke.
func (s *State) handleAckTimeout(now time.Time, c *call) {
	if c.resendCount >= maxResends {
		s.markSuspect(now, c.endpoint)
		if c.Idempotent && !s.hasAlternative(now, c) {
			// The endpoint may only be slow. A silent connection is closed and
			// reported as StreamBroke.
			s.setPhaseTimeout(c, now.Add(2*s.opt.MaxAckTimeout))
			return
		}
		s.withdrawOrGiveUp(now, c)
		return
	}
	if !s.retryBudget.spend() {
		s.count("retries-over-budget")
		s.markSuspect(now, c.endpoint)
		s.setPhaseTimeout(c, now.Add(2*s.opt.MaxAckTimeout))
		return
	}
	c.resendCount++
	s.count("offers-resent")
	s.resend(now, c)
}

// hasAlternative reports whether the call could be retried at another endpoint.
func (s *State) hasAlternative(now time.Time, c *call) bool {
	trial := *c
	trial.excluded = append(slices.Clone(c.excluded), c.endpoint)
	_, ok := s.chooseEndpoint(now, &trial)
	return ok && int(c.attempt) < maxAttempts
}

// handleNotSent handles an offer that could not be sent, or that was withdrawn
// before it was sent. A call that no other endpoint can serve waits up to reattachTimeout
// for a connection to this one.
func (s *State) handleNotSent(now time.Time, c *call) {
	s.markSuspect(now, c.endpoint)
	if c.sent || c.answerOf != "" {
		s.handleUnresponsive(now, c)
		return
	}
	if c.deadlineNear {
		s.refuseCall(c, notRunRefusal(fleet.CodeDeadlineExceeded, "the patience ended before an endpoint was reached", now))
		return
	}
	if c.contactLostAt.IsZero() {
		c.contactLostAt = now
	}
	if now.Sub(c.contactLostAt) < reattachTimeout && !s.hasAlternative(now, c) {
		c.phase = phaseReconnecting
		s.startExchange(c)
		s.setPhaseTimeout(c, now.Add(reattachInterval))
		return
	}
	s.retryElsewhere(now, c, notRunRefusal(fleet.CodeEndpointUnreachable, "the endpoint can't be reached", now.Add(defaultRetryAfter)))
}

// withdrawOrGiveUp handles a call whose endpoint may only be slow. A call that could go to another
// endpoint is withdrawn first, so that it is not run twice.
func (s *State) withdrawOrGiveUp(now time.Time, c *call) {
	if c.answerOf == "" && !c.answerBegun {
		s.requestTombstone(now, c)
		return
	}
	s.handleUnresponsive(now, c)
}

// handleNotWithdrawn handles a call whose endpoint has not answered a tombstone request. Only a call
// that may run twice is given to another endpoint.
func (s *State) handleNotWithdrawn(now time.Time, c *call) {
	if c.Idempotent && !c.deadlineNear {
		s.handleUnresponsive(now, c)
		return
	}
	c.backoff++
	s.requestTombstone(now, c)
}

// handleUnresponsive handles a call whose endpoint may have the request but does
// not respond.
func (s *State) handleUnresponsive(now time.Time, c *call) {
	if c.contactLostAt.IsZero() {
		c.contactLostAt = now
	}
	switch {
	case c.answerOf == "" && !c.answerBegun && c.Idempotent && !c.deadlineNear:
		s.retryElsewhere(now, c, fleet.Refusal{
			Code: fleet.CodeEndpointUnreachable, NotRun: fleet.NotRunUnknown,
			Detail: "the endpoint fell silent", RetryAt: now.Add(defaultRetryAfter),
		})
	case c.answerOf == "" && !c.answerBegun:
		s.requestTombstone(now, c)
	case c.answerBegun && now.Sub(c.contactLostAt) > reattachTimeout:
		s.rerunOrRefuse(now, c)
	default:
		c.phase = phaseReattaching
		s.startExchange(c)
		s.setPhaseTimeout(c, now.Add(reattachInterval))
	}
}

// rerunOrRefuse handles a call whose endpoint is given up after its answer has begun
// or after too many streams broke. An idempotent call is run again at another
// endpoint, up to maxAttempts, and the part of the answer that the caller already has is
// skipped. Any other call is refused.
func (s *State) rerunOrRefuse(now time.Time, c *call) {
	if !c.Idempotent || c.answerOf != "" || c.deadlineNear {
		s.refuseCall(c, c.interruptedRefusal())
		return
	}
	c.excluded = append(c.excluded, c.endpoint)
	id, ok := s.chooseEndpoint(now, c)
	if !ok || int(c.attempt) >= maxAttempts || !s.retryBudget.spend() {
		s.refuseCall(c, fleet.Refusal{
			Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse,
			Detail: "the endpoint was lost and no other can go on", RetryAt: now.Add(defaultRetryAfter),
		})
		return
	}
	s.count("reruns")
	s.setEndpoint(c, id)
	c.isRerun = true
	s.sendOffer(now, c, SendOffer{Rerun: true})
}

// interruptedRefusal returns the refusal of a call whose endpoint was lost and
// that can't be run elsewhere.
func (c *call) interruptedRefusal() fleet.Refusal {
	r := fleet.Refusal{
		Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
		Detail: "the endpoint was lost in the middle of the answer",
	}
	if c.answerBegun {
		r.NotRun = fleet.NotRunFalse
	}
	return r
}

// reattach requests the answer again from the endpoint that has the request. If the
// endpoint was rerunning the answer, the answer is requested from its beginning
// again, and the endpoint may start an idempotent request anew.
func (s *State) reattach(now time.Time, c *call) {
	attach := !c.isRerun || !c.Idempotent
	s.sendOffer(now, c, SendOffer{AttachOnly: attach, Rerun: c.isRerun, ExpectInstance: c.instance, NewConn: true})
}

// resend sends an offer again to the same endpoint on a new connection. An agent
// that already has the request recognizes it by its ID.
func (s *State) resend(now time.Time, c *call) {
	if c.answerBegun || c.answerOf != "" {
		s.reattach(now, c)
		return
	}
	s.sendOffer(now, c, SendOffer{ExpectInstance: c.instance, NewConn: true})
}

// retryElsewhere offers a call to another endpoint after the given refusal. It
// refuses the call if there is no other endpoint or the retry budget is used up.
func (s *State) retryElsewhere(now time.Time, c *call, refusal fleet.Refusal) {
	c.lastRefusal = refusal
	c.mayHaveRun = c.mayHaveRun || refusal.NotRun != fleet.NotRunTrue
	c.excluded = append(c.excluded, c.endpoint)
	c.answerOf = ""
	if chargesBudget(refusal) && !s.retryBudget.spend() {
		s.count("retries-over-budget")
		s.refuseCall(c, refusal)
		return
	}
	s.count("retries")
	s.routeCall(now, c)
}

// chargesBudget reports whether a retry after a refusal is charged to the retry
// budget. It is not if the refusing endpoint did no work: it was not reached, is
// draining or is not assigned the model.
func chargesBudget(refusal fleet.Refusal) bool {
	switch refusal.Code {
	case fleet.CodeDraining, fleet.CodeNotAssigned:
		return false
	case fleet.CodeEndpointUnreachable:
		return refusal.NotRun != fleet.NotRunTrue
	default:
		return true
	}
}
