package router

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// unacknowledged sends an offer again on a new connection, then gives the
// endpoint up. When the budget allows no more offers it goes on waiting: a
// connection that is silent breaks by itself.
func (s *State) unacknowledged(now time.Time, c *call) {
	if c.resent >= resends {
		s.suspect(now, c.endpoint)
		if c.Idempotent && !s.another(now, c) {
			// It may only be slow; a silent connection breaks by itself.
			s.wait(c, now.Add(2*s.opt.AckMost))
			return
		}
		s.lost(now, c)
		return
	}
	if !s.budget.spend() {
		s.count("retries-over-budget")
		s.suspect(now, c.endpoint)
		s.wait(c, now.Add(2*s.opt.AckMost))
		return
	}
	c.resent++
	s.count("offers-resent")
	s.resend(now, c)
}

// another says whether an endpoint is left that the call could go to.
func (s *State) another(now time.Time, c *call) bool {
	left := *c
	left.excluded = append(slices.Clone(c.excluded), c.endpoint)
	_, ok := s.choose(now, &left)
	return ok && int(c.attempt) < attempts
}

// unsent takes in that the endpoint's agent can't be reached.
func (s *State) unsent(now time.Time, c *call) {
	s.suspect(now, c.endpoint)
	if c.sent || c.answer != "" {
		s.lost(now, c)
		return
	}
	if c.late {
		s.finish(c, notRun(fleet.CodeDeadline, "the patience ended before an endpoint was reached", now))
		return
	}
	s.elsewhere(now, c, notRun(fleet.CodeUnreachable, "the endpoint can't be reached", now.Add(retryPause)))
}

// lost handles a call whose endpoint may have it but does not answer.
func (s *State) lost(now time.Time, c *call) {
	if c.lostAt.IsZero() {
		c.lostAt = now
	}
	switch {
	case c.answer == "" && !c.begun && c.Idempotent && !c.late:
		s.elsewhere(now, c, fleet.Refusal{
			Code: fleet.CodeUnreachable, NotRun: fleet.NotRunUnknown,
			Detail: "the endpoint fell silent", RetryAt: now.Add(retryPause),
		})
	case c.answer == "" && !c.begun:
		s.askTombstone(now, c)
	case c.begun && now.Sub(c.lostAt) > reattachFor:
		s.abandoned(now, c)
	default:
		c.phase = phaseReattaching
		s.nextConn(c)
		s.wait(c, now.Add(reattachPause))
	}
}

// abandoned handles a begun answer whose agent is gone: an idempotent one is
// run again elsewhere, and what the caller has is skipped.
func (s *State) abandoned(now time.Time, c *call) {
	if !c.Idempotent || c.answer != "" || c.late {
		s.finish(c, c.cutShort())
		return
	}
	c.excluded = append(c.excluded, c.endpoint)
	id, ok := s.choose(now, c)
	if !ok || !s.budget.spend() {
		s.finish(c, fleet.Refusal{
			Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse,
			Detail: "the endpoint was lost and no other can go on", RetryAt: now.Add(retryPause),
		})
		return
	}
	s.count("reruns")
	s.move(c, id)
	c.rerun = true
	s.offer(now, c, SendOffer{Rerun: true})
}

// cutShort returns the refusal of an answer that nobody can go on with.
func (c *call) cutShort() fleet.Refusal {
	r := fleet.Refusal{
		Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
		Detail: "the endpoint was lost in the middle of the answer",
	}
	if c.begun {
		r.NotRun = fleet.NotRunFalse
	}
	return r
}

// reattach asks the endpoint again for the answer of a request that it has. One
// that is run again is compared from its beginning again, and may be started.
func (s *State) reattach(now time.Time, c *call) {
	attach := !c.rerun || !c.Idempotent
	s.offer(now, c, SendOffer{Attach: attach, Rerun: c.rerun, Expect: c.instance, Fresh: true})
}

// resend sends an offer again to the endpoint that may have it, on a new
// connection. The agent knows a request that it has by its id.
func (s *State) resend(now time.Time, c *call) {
	if c.begun || c.answer != "" {
		s.reattach(now, c)
		return
	}
	s.offer(now, c, SendOffer{Expect: c.instance, Fresh: true})
}

// elsewhere offers a call that does not run to another endpoint, if there is
// one and the budget allows.
func (s *State) elsewhere(now time.Time, c *call, why fleet.Refusal) {
	c.last = why
	c.doubt = c.doubt || why.NotRun != fleet.NotRunTrue
	c.excluded = append(c.excluded, c.endpoint)
	c.answer = ""
	if costly(why) && !s.budget.spend() {
		s.count("retries-over-budget")
		s.finish(c, why)
		return
	}
	s.count("retries")
	s.place(now, c)
}

// costly says whether another try after a refusal is load that the budget must
// bear. Where the endpoint was not even reached, or leaves, there was none.
func costly(why fleet.Refusal) bool {
	switch why.Code {
	case fleet.CodeDraining, fleet.CodeNotAssigned:
		return false
	case fleet.CodeUnreachable:
		return why.NotRun != fleet.NotRunTrue
	default:
		return true
	}
}
