package router

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// Limits and timeouts of one call.
const (
	// An agent must acknowledge an offer within the time left until the call's
	// deadline, divided by ackTimeoutDivisor, but no less than minAckTimeout and
	// no more than Options.MaxAckTimeout.
	ackTimeoutDivisor = 20
	minAckTimeout     = 20 * time.Millisecond
	// maxResends is how often an unacknowledged offer is sent again to the same
	// endpoint, each time on a new connection.
	maxResends = 1
	// maxBackoff bounds how often the timeout for an acknowledgement is doubled.
	maxBackoff = 4
	// maxAttempts is the maximum number of attempts of a call, each at one endpoint,
	// reruns included: a request may crash each endpoint that answers it.
	maxAttempts = 4
	// A call is refused at the latest maxRefuseLead before its deadline, or the
	// time between its arrival and deadline divided by refuseLeadDivisor if that
	// is less. The refusal still has to reach the caller through processes that
	// may be busy.
	// A call without a first chunk is withdrawn earlier: maxWithdrawLead before its
	// deadline, or the time between its arrival and deadline divided by
	// withdrawLeadDivisor if that is less. Its refusal can then state whether the
	// request ran.
	maxRefuseLead       = 80 * time.Millisecond
	refuseLeadDivisor   = 10
	maxWithdrawLead     = 100 * time.Millisecond
	withdrawLeadDivisor = 5
	// reattachInterval is the time between two attempts to reach an agent again,
	// and reattachTimeout how long a begun answer waits for its agent.
	reattachInterval = 100 * time.Millisecond
	reattachTimeout  = time.Second
	// claimTimeout bounds how long claiming an idempotency key may take.
	claimTimeout = 1500 * time.Millisecond
	// defaultRetryAfter is the delay after which a caller may retry if nothing
	// better is known about when the refusal's cause will be gone.
	defaultRetryAfter = 2 * time.Second
	// maxBrokenStreams is how many streams of one call may break at one endpoint before
	// the router gives up on that endpoint.
	maxBrokenStreams = 16
)

// phase is the state of a call, named after what the call waits for.
type phase int

const (
	// phaseClaiming waits for the result of claiming the idempotency key.
	phaseClaiming phase = iota
	// phaseOffered waits for the agent's acknowledgement.
	phaseOffered
	// phaseAdmitted waits for the first chunk.
	phaseAdmitted
	// phaseStreaming waits for the end of the answer.
	phaseStreaming
	// phaseReattaching waits until the answer is requested again.
	phaseReattaching
	// phaseReconnecting waits before the next attempt to connect to an endpoint that has
	// not been sent the request.
	phaseReconnecting
	// phaseWithdrawing waits for the answer to a tombstone request.
	phaseWithdrawing
)

// call is the state of a caller's request in progress.
type call struct {
	Call
	// patience is the time from the call's arrival to its deadline.
	patience time.Duration
	// withdrawAt is when the call is withdrawn if the caller has no first chunk
	// by then; refuseAt is when it is refused whatever is known.
	withdrawAt time.Time
	refuseAt   time.Time
	phase      phase
	// endpoint is the endpoint that the call was last offered to; empty before the first
	// offer.
	endpoint fleet.EndpointID
	// countedEndpoint is the endpoint whose in-flight count includes the call.
	countedEndpoint fleet.EndpointID
	// exchangeID identifies the current offer or tombstone request; events of
	// other exchanges are stale.
	exchangeID uint64
	// attempt counts the attempts, each at one endpoint, including the current one.
	attempt uint32
	// sent reports whether the endpoint may have received the request, and
	// instance names the agent instance that was sent it first.
	sent     bool
	instance fleet.Instance
	// resendCount counts the repeated offers since the last acknowledgement.
	resendCount int
	// backoff counts the exchanges since the last acknowledgement that timed out although
	// the endpoint has, or may have, the request. Each doubles the timeout of the next one.
	backoff int
	// excluded lists the endpoints that are not tried again.
	excluded []fleet.EndpointID
	// answerBegun reports whether the caller has received the first chunk.
	answerBegun bool
	// answerOf is the earlier request with the same idempotency key whose answer this
	// call gets; empty if the call runs its own request.
	answerOf fleet.RequestID
	claim    Claim
	// contactLostAt is when contact with the agent was lost; zero while there is contact.
	contactLostAt time.Time
	// mayHaveRun reports whether an endpoint or agent instance that is no longer
	// in charge of the call may have run the request.
	mayHaveRun bool
	// sentToOtherInstance reports whether the request was sent only once, and to
	// an agent instance other than the one its claim names. Such an agent refuses
	// the request with an unknown outcome, though it certainly did not run.
	sentToOtherInstance bool
	// isRerun reports whether the endpoint runs an answer from its beginning that
	// another endpoint had begun.
	isRerun bool
	// brokenStreamCount counts the streams of the call that broke at the endpoint.
	brokenStreamCount int
	// lastRefusal is given to the caller if no endpoint is left to try.
	lastRefusal fleet.Refusal
	// deadlineNear reports whether the call is being withdrawn because its deadline is
	// near.
	deadlineNear bool
	// timeoutAt is when the phase times out; zero for never.
	timeoutAt time.Time
}

// newCall returns the state of a call that arrives now.
func newCall(now time.Time, in Call) *call {
	patience := in.Deadline.Sub(now)
	return &call{
		Call:       in,
		patience:   patience,
		withdrawAt: in.Deadline.Add(-min(maxWithdrawLead, patience/withdrawLeadDivisor)),
		refuseAt:   in.Deadline.Add(-min(maxRefuseLead, patience/refuseLeadDivisor)),
	}
}

// handleArrival admits or refuses a new call and starts one that is admitted.
func (s *State) handleArrival(now time.Time, in Call) {
	s.count("calls")
	s.retryBudget.earn()
	c := newCall(now, in)
	s.calls[c.ID] = c
	s.callCountByMember[c.Member]++
	if refusal, ok := s.admissionRefusal(now, c); ok {
		s.refuseCall(c, refusal)
		return
	}
	s.routeCall(now, c)
}

// admissionRefusal returns the refusal of a new call that is not admitted, and
// whether there is one.
func (s *State) admissionRefusal(now time.Time, c *call) (fleet.Refusal, bool) {
	if s.draining {
		return notRunRefusal(fleet.CodeDraining, "this router is leaving", now), true
	}
	if s.config == nil {
		return notRunRefusal(fleet.CodeStarting, "no configuration yet", now.Add(defaultRetryAfter)), true
	}
	limit := s.config.Members[c.Member].MaxRunning
	if limit > 0 && s.callCountByMember[c.Member] > limit {
		return notRunRefusal(fleet.CodeMemberLimit, "the member has too many requests in progress", now.Add(defaultRetryAfter)), true
	}
	return fleet.Refusal{}, false
}

// notRunRefusal returns a refusal of a request that certainly was not run.
func notRunRefusal(code fleet.Code, detail string, retryAt time.Time) fleet.Refusal {
	return fleet.Refusal{Code: code, NotRun: fleet.NotRunTrue, Detail: detail, RetryAt: retryAt}
}

// routeCall chooses an endpoint for a call that is running nowhere and offers the
// call to it, after claiming the call's idempotency key if it has one.
func (s *State) routeCall(now time.Time, c *call) {
	id, ok := s.chooseEndpoint(now, c)
	if !ok || int(c.attempt) >= maxAttempts {
		s.refuseCall(c, s.noEndpointRefusal(now, c))
		return
	}
	s.setEndpoint(c, id)
	if c.ClaimKey != "" {
		s.writeClaim(now, c)
		return
	}
	s.sendOffer(now, c, SendOffer{})
}

// setEndpoint makes an endpoint the one that the call is at and resets what is
// known about the previous one.
func (s *State) setEndpoint(c *call, id fleet.EndpointID) {
	c.endpoint = id
	c.attempt++
	c.resendCount = 0
	c.backoff = 0
	c.sent = false
	c.instance = 0
	c.contactLostAt = time.Time{}
	c.brokenStreamCount = 0
	c.sentToOtherInstance = false
}

// noEndpointRefusal returns the refusal of a call for which there is no endpoint
// left to try.
func (s *State) noEndpointRefusal(now time.Time, c *call) fleet.Refusal {
	if c.lastRefusal.Code != "" {
		return c.lastRefusal
	}
	if !s.placementsSynced {
		return notRunRefusal(fleet.CodeStarting, "placements are not known yet", now.Add(defaultRetryAfter))
	}
	return notRunRefusal(fleet.CodeNoCapacity, "no endpoint may run it now", now.Add(defaultRetryAfter))
}

// sendOffer offers a call to its endpoint. It sets all fields of eff except
// AttachOnly, ExpectInstance, NewConn and Rerun, which are the caller's choice.
func (s *State) sendOffer(now time.Time, c *call, eff SendOffer) {
	c.phase = phaseOffered
	s.startExchange(c)
	eff.ID, eff.ExchangeID, eff.Attempt, eff.Endpoint = c.ID, c.exchangeID, c.attempt, c.endpoint
	eff.AnswerOf = c.answerOf
	eff.NotAfter = c.endpointDeadline(now, eff.Rerun)
	s.countInflightAt(c, c.endpoint)
	s.emit(eff)
	s.setPhaseTimeout(c, now.Add(s.ackTimeout(now, c)))
}

// countInflightAt moves a call to the in-flight count of an endpoint, and out of
// all counts if id is empty.
func (s *State) countInflightAt(c *call, id fleet.EndpointID) {
	if c.countedEndpoint == id {
		return
	}
	if e, ok := s.endpoints[c.countedEndpoint]; ok {
		e.addInflight(c.Target.Model, -1)
	}
	if e, ok := s.endpoints[id]; ok {
		e.addInflight(c.Target.Model, 1)
	}
	c.countedEndpoint = id
}

// addInflight adds n, which may be negative, to the in-flight calls of a model.
func (e *endpoint) addInflight(m fleet.ModelID, n int) {
	if e.inflight == nil {
		e.inflight = make(map[fleet.ModelID]int)
	}
	e.inflight[m] = max(e.inflight[m]+n, 0)
	if e.inflight[m] == 0 {
		delete(e.inflight, m)
	}
}

// startExchange gives a call a new exchange ID, which makes events of its earlier
// exchanges stale.
func (s *State) startExchange(c *call) {
	s.exchangeSeq++
	c.exchangeID = s.exchangeSeq
}

// withdrawOffer cancels an offer that has not been sent yet. The event OfferNotSent
// confirms that it will not be sent; OfferSent means that it has been sent already.
func (s *State) withdrawOffer(now time.Time, c *call) {
	s.count("offers-withdrawn")
	s.emit(WithdrawOffer{ID: c.ID, ExchangeID: c.exchangeID})
	s.setPhaseTimeout(c, now.Add(s.opt.MaxAckTimeout))
}

// refuseCall ends a call with a refusal. It corrects a refusal that claims that
// the request was not run if the answer has begun or an earlier endpoint may have
// run it.
func (s *State) refuseCall(c *call, refusal fleet.Refusal) {
	switch {
	case refusal.NotRun != fleet.NotRunTrue:
	case c.answerBegun:
		refusal.NotRun = fleet.NotRunFalse
	case c.mayHaveRun:
		refusal.NotRun = fleet.NotRunUnknown
	}
	s.emit(event.Count{Name: "router.refused." + string(refusal.Code), N: 1})
	s.emit(RefuseCall{ID: c.ID, Refusal: refusal})
	s.removeCall(c)
}

// removeCall removes a call whose caller has its final answer.
func (s *State) removeCall(c *call) {
	s.countInflightAt(c, "")
	delete(s.calls, c.ID)
	s.timers.Remove(c.ID)
	s.callCountByMember[c.Member]--
	if s.callCountByMember[c.Member] == 0 {
		delete(s.callCountByMember, c.Member)
	}
}

// handleCallerDisconnected cancels the call of a caller that has disconnected.
func (s *State) handleCallerDisconnected(id fleet.RequestID) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	s.count("callers-gone")
	if c.endpoint != "" && c.answerOf == "" {
		s.emit(CancelOffer{ID: c.ID, ExchangeID: c.exchangeID, Endpoint: c.endpoint})
	}
	s.emit(RefuseCall{ID: c.ID, Refusal: fleet.Refusal{
		Code: fleet.CodeCallerCancelled, NotRun: fleet.NotRunUnknown, Detail: "the caller has gone away",
	}})
	s.removeCall(c)
}
