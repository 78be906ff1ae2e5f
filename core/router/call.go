package router

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// Bounds of one call.
const (
	// ackShare is the part of the remaining patience in which an agent must
	// acknowledge an offer, between ackLeast and
	// Options.AckMost.
	ackShare = 20
	ackLeast = 20 * time.Millisecond
	// resends is how often an unacknowledged offer is sent again to the same
	// endpoint on a new connection.
	resends = 1
	// attempts is how many endpoints a call is offered to at most.
	attempts = 4
	// answerMost and answerShare bound how long before its deadline a call is
	// refused whatever is known by then: the refusal has a way to go, through
	// processes that may be busy. withdrawMost and withdrawShare bound how long
	// before it a call without a first byte is withdrawn, to learn more.
	answerMost    = 80 * time.Millisecond
	answerShare   = 10
	withdrawMost  = 100 * time.Millisecond
	withdrawShare = 5
	// reattachPause is the time between two tries to reach an agent again, and
	// reattachFor how long a begun answer waits for its agent.
	reattachPause = 100 * time.Millisecond
	reattachFor   = time.Second
	// claimBound is how long the claim of an idempotency key may take.
	claimBound = 1500 * time.Millisecond
	// retryPause is when a caller may come back after a refusal that names no
	// time itself.
	retryPause = 2 * time.Second
	// breaksMost is how many streams of one call may break at one endpoint.
	breaksMost = 16
)

// phase is what a call waits for.
type phase int

const (
	// phaseClaiming waits for the claim of its idempotency key.
	phaseClaiming phase = iota
	// phaseOffered waits for the agent's acknowledgement.
	phaseOffered
	// phaseAdmitted waits for the first chunk.
	phaseAdmitted
	// phaseStreaming waits for the end mark.
	phaseStreaming
	// phaseReattaching waits before it asks for the answer again.
	phaseReattaching
	// phaseWithdrawing waits for the answer to a tombstone.
	phaseWithdrawing
)

// call is one request of a caller in progress.
type call struct {
	Call
	// withdrawAt is when the call is withdrawn if the caller has no first byte,
	// refuseAt when it is refused whatever is known.
	withdrawAt time.Time
	refuseAt   time.Time
	phase      phase
	endpoint   fleet.EndpointID
	// countedAt is the endpoint whose load counts the call.
	countedAt fleet.EndpointID
	// conn names the present offer; answers to others are late.
	conn    uint64
	attempt uint32
	// sent says that the present endpoint may have got the request, and
	// instance which agent that was.
	sent     bool
	instance fleet.Instance
	resent   int
	excluded []fleet.EndpointID
	// begun says that the caller has got the first chunk.
	begun bool
	// answer is the request whose answer is wanted, when another call with the
	// same idempotency key runs it already.
	answer fleet.RequestID
	claim  Claim
	// lostAt is when the agent of a begun answer was lost; zero when it wasn't.
	lostAt time.Time
	// doubt says that an endpoint that was left may have run the request.
	doubt bool
	// stray says that the request was sent once only, to another instance than
	// its claim names; the agent then refuses it as unknown.
	stray bool
	// rerun says that the present endpoint runs a begun answer once more.
	rerun bool
	// breaks counts the broken streams of the present endpoint.
	breaks int
	// last is the refusal to give when no endpoint is left.
	last fleet.Refusal
	// late says that the withdrawal is for the deadline.
	late bool
	// due is when the phase has lasted too long.
	due time.Time
}

// newCall returns a call that has just arrived.
func newCall(now time.Time, in Call) *call {
	patience := in.Deadline.Sub(now)
	return &call{
		Call:       in,
		withdrawAt: in.Deadline.Add(-min(withdrawMost, patience/withdrawShare)),
		refuseAt:   in.Deadline.Add(-min(answerMost, patience/answerShare)),
	}
}

// arrived takes in a new call.
func (s *State) arrived(now time.Time, in Call) {
	s.count("calls")
	s.budget.earn()
	c := newCall(now, in)
	s.calls[c.ID] = c
	s.members[c.Member]++
	if refusal, ok := s.refuseArrived(now, c); ok {
		s.finish(c, refusal)
		return
	}
	s.place(now, c)
}

func (s *State) refuseArrived(now time.Time, c *call) (fleet.Refusal, bool) {
	if s.draining {
		return notRun(fleet.CodeDraining, "this router is leaving", now), true
	}
	if s.set == nil {
		return notRun(fleet.CodeStarting, "no configuration yet", now.Add(retryPause)), true
	}
	limit := s.set.Members[c.Member].Running
	if limit > 0 && s.members[c.Member] > limit {
		return notRun(fleet.CodeMemberLimit, "the member has too many requests in progress", now.Add(retryPause)), true
	}
	return fleet.Refusal{}, false
}

func notRun(code fleet.Code, detail string, retryAt time.Time) fleet.Refusal {
	return fleet.Refusal{Code: code, NotRun: fleet.NotRunTrue, Detail: detail, RetryAt: retryAt}
}

// place chooses an endpoint for a call that runs nowhere, and offers it there.
func (s *State) place(now time.Time, c *call) {
	id, ok := s.choose(now, c)
	if !ok || int(c.attempt) >= attempts {
		s.finish(c, s.noEndpoint(now, c))
		return
	}
	s.move(c, id)
	if c.Claim != "" {
		s.writeClaim(now, c)
		return
	}
	s.offer(now, c, SendOffer{})
}

// move makes an endpoint the call's present one.
func (s *State) move(c *call, id fleet.EndpointID) {
	c.endpoint = id
	c.attempt++
	c.resent = 0
	c.sent = false
	c.instance = 0
	c.lostAt = time.Time{}
	c.breaks = 0
	c.stray = false
}

// noEndpoint returns why a call can't be placed.
func (s *State) noEndpoint(now time.Time, c *call) fleet.Refusal {
	if c.last.Code != "" {
		return c.last
	}
	if !s.synced {
		return notRun(fleet.CodeStarting, "placements are not known yet", now.Add(retryPause))
	}
	return notRun(fleet.CodeNoCapacity, "no endpoint may run it now", now.Add(retryPause))
}

// offer sends a call to its endpoint; eff holds what is special about it.
func (s *State) offer(now time.Time, c *call, eff SendOffer) {
	c.phase = phaseOffered
	s.nextConn(c)
	eff.ID, eff.Conn, eff.Attempt, eff.Endpoint = c.ID, c.conn, c.attempt, c.endpoint
	eff.Answer = c.answer
	eff.NotAfter = c.Deadline
	if c.begun {
		eff.NotAfter = now.Add(reattachFor)
	}
	s.countAt(c, c.endpoint)
	s.emit(eff)
	s.wait(c, now.Add(s.ackBound(now, c)))
}

// countAt counts a call at the endpoint that has it now; at none when empty.
func (s *State) countAt(c *call, id fleet.EndpointID) {
	if c.countedAt == id {
		return
	}
	if e, ok := s.endpoints[c.countedAt]; ok {
		e.addInflight(c.Target.Model, -1)
	}
	if e, ok := s.endpoints[id]; ok {
		e.addInflight(c.Target.Model, 1)
	}
	c.countedAt = id
}

func (e *endpoint) addInflight(m fleet.ModelID, n int) {
	if e.inflight == nil {
		e.inflight = make(map[fleet.ModelID]int)
	}
	e.inflight[m] = max(e.inflight[m]+n, 0)
	if e.inflight[m] == 0 {
		delete(e.inflight, m)
	}
}

// ackBound returns how long an acknowledgement may take.
func (s *State) ackBound(now time.Time, c *call) time.Duration {
	if c.begun {
		return s.opt.AckMost
	}
	return min(max(c.Deadline.Sub(now)/ackShare, ackLeast), s.opt.AckMost)
}

func (s *State) nextConn(c *call) {
	s.connSeq++
	c.conn = s.connSeq
}

// bounded says that the call must have got further by its deadline: a streamed
// answer must have begun, another must be whole.
func (c *call) bounded() bool { return !c.begun || !c.Stream }

// wait sets when the call's phase has lasted too long. A call without a first
// chunk never waits past its withdrawal, nor a withdrawn one past its end.
func (s *State) wait(c *call, due time.Time) {
	if c.bounded() {
		last := c.withdrawAt
		if c.late || c.begun {
			last = c.refuseAt
		}
		if due.After(last) || due.IsZero() {
			due = last
		}
	}
	c.due = due
	if due.IsZero() {
		s.timers.Drop(c.ID)
		return
	}
	s.timers.Set(c.ID, due)
}

// expire handles the calls whose phase has lasted too long.
func (s *State) expire(now time.Time) {
	for {
		id, ok := s.timers.Due(now)
		if !ok {
			return
		}
		s.overdue(now, s.calls[id])
	}
}

// overdue moves a call on that has waited too long.
func (s *State) overdue(now time.Time, c *call) {
	if c.begun && !c.Stream && !now.Before(c.refuseAt) {
		s.finish(c, fleet.Refusal{
			Code: fleet.CodeDeadline, NotRun: fleet.NotRunFalse, Detail: "the patience ended in the middle of the answer",
		})
		return
	}
	if !c.begun && !now.Before(c.withdrawAt) {
		s.pastPatience(now, c)
		return
	}
	switch c.phase {
	case phaseClaiming:
		s.claimRead(now, ClaimRead{ID: c.ID, Result: ClaimUnknown})
	case phaseOffered:
		if !c.sent && c.answer == "" {
			s.withdraw(now, c)
			return
		}
		s.count("acks-missed")
		s.unacknowledged(now, c)
	case phaseReattaching:
		s.reattach(now, c)
	case phaseWithdrawing:
		s.askTombstone(now, c)
	case phaseAdmitted, phaseStreaming:
		s.wait(c, time.Time{})
	}
}

// pastPatience ends a call whose patience is over: first it is withdrawn, so
// that the refusal can say truly whether it ran.
func (s *State) pastPatience(now time.Time, c *call) {
	if c.phase == phaseClaiming {
		s.finish(c, notRun(fleet.CodeDeadline, "the patience ended before an endpoint was reached", now))
		return
	}
	if !c.late && c.answer == "" {
		c.late = true
		if c.phase == phaseOffered && !c.sent {
			s.withdraw(now, c)
			return
		}
		s.askTombstone(now, c)
		return
	}
	code := fleet.CodeDeadline
	if !c.Idempotent {
		code = fleet.CodeOutcomeUnknown
	}
	s.finish(c, fleet.Refusal{
		Code: code, NotRun: fleet.NotRunUnknown, Detail: "the patience ended without a word from the endpoint",
	})
}

// withdraw takes back an offer that has not been sent yet. Unsent confirms it;
// when Sent comes instead, the offer was on its way already.
func (s *State) withdraw(now time.Time, c *call) {
	s.count("offers-withdrawn")
	s.emit(WithdrawOffer{ID: c.ID, Conn: c.conn})
	s.wait(c, now.Add(s.opt.AckMost))
}

// finish gives a caller its final refusal. What an earlier endpoint may have
// run is never called not run.
func (s *State) finish(c *call, refusal fleet.Refusal) {
	switch {
	case refusal.NotRun != fleet.NotRunTrue:
	case c.begun:
		refusal.NotRun = fleet.NotRunFalse
	case c.doubt:
		refusal.NotRun = fleet.NotRunUnknown
	}
	s.emit(event.Count{Name: "router.refused." + string(refusal.Code), N: 1})
	s.emit(RefuseCall{ID: c.ID, Refusal: refusal})
	s.forget(c)
}

// forget drops a call that has got its final answer.
func (s *State) forget(c *call) {
	s.countAt(c, "")
	delete(s.calls, c.ID)
	s.timers.Drop(c.ID)
	s.members[c.Member]--
	if s.members[c.Member] == 0 {
		delete(s.members, c.Member)
	}
}

// gone handles a caller that has gone away.
func (s *State) gone(id fleet.RequestID) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	s.count("callers-gone")
	if c.endpoint != "" && c.answer == "" {
		s.emit(CancelOffer{ID: c.ID, Conn: c.conn, Endpoint: c.endpoint})
	}
	s.emit(RefuseCall{ID: c.ID, Refusal: fleet.Refusal{
		Code: fleet.CodeCallerCancelled, NotRun: fleet.NotRunUnknown, Detail: "the caller has gone away",
	}})
	s.forget(c)
}
