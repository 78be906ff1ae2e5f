package router

import (
	"time"

	"chervilreach/core/fleet"
)

// endpointDeadline returns until when the endpoint may begin to answer an offer that is made now. The
// endpoint that runs a begun stream again may have to load the model first, so it has the patience of
// the caller anew.
func (c *call) endpointDeadline(now time.Time, rerun bool) time.Time {
	switch {
	case !c.answerBegun || rerun && !c.Stream:
		return c.Deadline
	case rerun:
		return now.Add(c.patience)
	default:
		return now.Add(reattachTimeout)
	}
}

// ackTimeout returns how long an agent may take to acknowledge an offer. It grows while exchanges
// time out: over a slow connection, a fixed timeout could end each of them too early.
func (s *State) ackTimeout(now time.Time, c *call) time.Duration {
	timeout := s.opt.MaxAckTimeout
	if !c.answerBegun {
		timeout = min(max(c.Deadline.Sub(now)/ackTimeoutDivisor, minAckTimeout), s.opt.MaxAckTimeout)
	}
	return timeout << min(c.backoff, maxBackoff)
}

// deadlineApplies reports whether the call can still miss its deadline, by which
// a streamed answer must have begun and any other answer must be complete.
func (c *call) deadlineApplies() bool { return !c.answerBegun || !c.Stream }

// setPhaseTimeout sets when the call's phase times out; zero means never. While
// the deadline applies, the time is limited to withdrawAt, or to refuseAt for a
// call that is being withdrawn or has begun.
func (s *State) setPhaseTimeout(c *call, timeoutAt time.Time) {
	if c.deadlineApplies() {
		limit := c.withdrawAt
		if c.deadlineNear || c.answerBegun {
			limit = c.refuseAt
		}
		if timeoutAt.After(limit) || timeoutAt.IsZero() {
			timeoutAt = limit
		}
	}
	c.timeoutAt = timeoutAt
	if timeoutAt.IsZero() {
		s.timers.Remove(c.ID)
		return
	}
	s.timers.Set(c.ID, timeoutAt)
}

// handleTimeouts handles the calls whose phase has timed out.
func (s *State) handleTimeouts(now time.Time) {
	for {
		id, ok := s.timers.PopDue(now)
		if !ok {
			return
		}
		s.handlePhaseTimeout(now, s.calls[id])
	}
}

// handlePhaseTimeout takes the next step of a call whose phase has timed out.
func (s *State) handlePhaseTimeout(now time.Time, c *call) {
	if c.answerBegun && !c.Stream && !now.Before(c.refuseAt) {
		s.refuseCall(c, fleet.Refusal{
			Code: fleet.CodeDeadlineExceeded, NotRun: fleet.NotRunFalse, Detail: "the patience ended in the middle of the answer",
		})
		return
	}
	if !c.answerBegun && !now.Before(c.withdrawAt) {
		s.handleExpiry(now, c)
		return
	}
	switch c.phase {
	case phaseClaiming:
		s.handleClaimResult(now, ClaimResolved{ID: c.ID, Result: ClaimUnknown})
	case phaseOffered:
		if !c.sent && c.answerOf == "" {
			s.withdrawOffer(now, c)
			return
		}
		s.count("acks-missed")
		s.handleAckTimeout(now, c)
	case phaseReattaching:
		s.reattach(now, c)
	case phaseReconnecting:
		s.resend(now, c)
	case phaseWithdrawing:
		s.handleNotWithdrawn(now, c)
	case phaseAdmitted, phaseStreaming:
		s.setPhaseTimeout(c, time.Time{})
	}
}

// handleExpiry handles a call that has no first chunk at its withdrawAt. It
// withdraws the call first, so that the refusal can state whether the request
// ran, and refuses it if that takes until refuseAt.
func (s *State) handleExpiry(now time.Time, c *call) {
	if c.phase == phaseClaiming || c.phase == phaseReconnecting {
		s.refuseCall(c, notRunRefusal(fleet.CodeDeadlineExceeded, "the patience ended before an endpoint was reached", now))
		return
	}
	if !c.deadlineNear && c.answerOf == "" {
		c.deadlineNear = true
		if c.phase == phaseOffered && !c.sent {
			s.withdrawOffer(now, c)
			return
		}
		s.requestTombstone(now, c)
		return
	}
	code := fleet.CodeDeadlineExceeded
	if !c.Idempotent {
		code = fleet.CodeOutcomeUnknown
	}
	s.refuseCall(c, fleet.Refusal{
		Code: code, NotRun: fleet.NotRunUnknown, Detail: "the patience ended without a word from the endpoint",
	})
}
