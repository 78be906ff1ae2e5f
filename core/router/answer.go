package router

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// retryable lists the refusals after which another endpoint may serve a call.
var retryable = []fleet.Code{
	fleet.CodeDraining, fleet.CodeNotAssigned, fleet.CodeNoCapacity, fleet.CodeStarting, fleet.CodeOverloaded,
	fleet.CodeKVUnavailable, fleet.CodeLoadFailed, fleet.CodeTooSlow, fleet.CodeEngineFailed, fleet.CodeUnreachable,
	fleet.CodeTombstoned,
}

// sent takes in that the endpoint may have the request from now on. What it is
// asked later names the instance that got it first.
func (s *State) sent(now time.Time, c *call, instance fleet.Instance) {
	if !c.sent && !c.late && !c.begun {
		s.wait(c, now.Add(s.ackBound(now, c)))
	}
	c.stray = !c.sent && c.answer == "" && c.instance != 0 && c.instance != instance
	c.sent = true
	if c.instance == 0 {
		c.instance = instance
	}
	// What another instance got it can't speak for.
	c.doubt = c.doubt || (c.instance != instance && c.answer == "" && c.resent > 0)
}

// acked takes in that the agent has the request in its journal.
func (s *State) acked(now time.Time, c *call) {
	s.answered(now, c.endpoint)
	c.lostAt = time.Time{}
	c.resent = 0
	if c.phase == phaseWithdrawing {
		return
	}
	if c.begun {
		c.phase = phaseStreaming
		s.wait(c, time.Time{})
		return
	}
	c.phase = phaseAdmitted
	s.wait(c, c.Deadline)
}

// began takes in that the caller has got the first chunk. That is so whatever
// the call waits for by now.
func (s *State) began(now time.Time, c *call, conn uint64) {
	c.begun = true
	if conn != c.conn {
		s.count("chunks-overtaken")
		c.rerun = c.rerun || c.attempt > 1
		if c.phase == phaseWithdrawing {
			c.late = false
			s.reattach(now, c)
		}
		return
	}
	c.phase = phaseStreaming
	s.affinity.put(c.Prefix, c.endpoint)
	s.wait(c, time.Time{})
}

// ended takes in that the caller has the whole answer.
func (s *State) ended(c *call) {
	s.count("answered")
	if c.Claim != "" && c.claim.Request != "" && c.claim.State != ClaimDone {
		done := c.claim
		done.State = ClaimDone
		s.emit(FinishClaim{Key: c.Claim, Claim: done})
	}
	s.emit(FinishCall{ID: c.ID})
	s.forget(c)
}

// broke handles a stream that ended early or a connection that went silent:
// the answer is asked for again by its id, on a new connection.
func (s *State) broke(now time.Time, c *call) {
	s.count("streams-broken")
	c.breaks++
	if c.breaks > breaksMost {
		s.abandoned(now, c)
		return
	}
	if !c.sent && c.answer == "" {
		s.unsent(now, c)
		return
	}
	if c.lostAt.IsZero() {
		c.lostAt = now
	}
	if c.resent < resends {
		c.resent++
		s.resend(now, c)
		return
	}
	s.lost(now, c)
}

// refused handles an agent's refusal.
func (s *State) refused(now time.Time, c *call, r fleet.Refusal) {
	s.noteRefusal(now, c, r)
	if c.answer != "" {
		s.answerRefused(now, c, r)
		return
	}
	if c.stray && r.Code == fleet.CodeOutcomeUnknown {
		r = notRun(fleet.CodeTombstoned, "the agent has restarted before the request was sent", now.Add(retryPause))
	}
	runAgain := r.NotRun == fleet.NotRunTrue || c.Idempotent
	again := slices.Contains(retryable, r.Code) || (c.Idempotent && r.Code == fleet.CodeOutcomeUnknown)
	switch {
	case c.begun && c.Idempotent && !c.late:
		s.abandoned(now, c)
	case runAgain && again && !c.late && !c.begun:
		s.elsewhere(now, c, r)
	default:
		s.finish(c, r)
	}
}

// noteRefusal learns from a refusal about the endpoint.
func (s *State) noteRefusal(now time.Time, c *call, r fleet.Refusal) {
	e, ok := s.endpoints[c.endpoint]
	if !ok {
		return
	}
	switch r.Code {
	case fleet.CodeDraining:
		if !e.load.Draining {
			e.load.Draining = true
			s.proposeSoon()
		}
	case fleet.CodeNoCapacity:
		if e.noRoom == nil {
			e.noRoom = make(map[fleet.ModelID]time.Time)
		}
		e.noRoom[c.Target.Model] = now.Add(noRoomFor)
	default:
	}
}

// askTombstone asks the endpoint to make sure that the request never starts.
func (s *State) askTombstone(now time.Time, c *call) {
	c.phase = phaseWithdrawing
	s.nextConn(c)
	s.count("tombstones-asked")
	s.emit(AskTombstone{
		ID: c.ID, Conn: c.conn, Request: c.ID, Endpoint: c.endpoint, Expect: c.instance,
		NotAfter: c.Deadline,
	})
	pause := 2 * s.ackBound(now, c)
	s.wait(c, now.Add(pause))
}

// tombstoneRead handles the answer to a tombstone. An empty state says that
// the agent could not be asked.
func (s *State) tombstoneRead(now time.Time, c *call, state string) {
	switch state {
	case "tombstoned":
		s.withdrawn(now, c)
	case "running", "done":
		s.withdrawnTooLate(now, c)
	case "unknown":
		s.finish(c, fleet.Refusal{
			Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
			Detail: "the agent no longer knows whether the request ran",
		})
	default:
		// Asked again when the phase is overdue.
	}
}

// withdrawn handles a call that certainly has not run and will not.
func (s *State) withdrawn(now time.Time, c *call) {
	if c.late {
		s.finish(c, notRun(fleet.CodeDeadline, "the patience ended before it was run", now))
		return
	}
	s.elsewhere(now, c, notRun(fleet.CodeUnreachable, "the endpoint fell silent", now.Add(retryPause)))
}

// withdrawnTooLate handles a call that has started.
func (s *State) withdrawnTooLate(now time.Time, c *call) {
	if !c.late || c.begun {
		c.late = false
		s.reattach(now, c)
		return
	}
	if c.Idempotent {
		s.emit(CancelOffer{ID: c.ID, Conn: c.conn, Endpoint: c.endpoint})
	}
	s.finish(c, fleet.Refusal{
		Code: fleet.CodeDeadline, NotRun: fleet.NotRunFalse, Detail: "the patience ended while it was run",
	})
}
