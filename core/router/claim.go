package router

import (
	"time"

	"chervilreach/core/fleet"
)

// writeClaim claims the call's idempotency key for its current endpoint. The claim
// names the agent instance, so that a restarted agent, which has lost its journal,
// can't conclude that the request never reached it.
func (s *State) writeClaim(now time.Time, c *call) {
	e := s.endpoints[c.endpoint]
	if e.loadReport.Instance == 0 {
		s.retryElsewhere(now, c, notRunRefusal(fleet.CodeStarting, "the endpoint is not known well enough yet", now.Add(defaultRetryAfter)))
		return
	}
	expectRevision := c.claim.Revision
	c.instance = e.loadReport.Instance
	c.claim = Claim{
		Request: c.ID, BodyHash: c.BodyHash, Endpoint: c.endpoint, Instance: c.instance, State: ClaimOpen,
		ClaimedAt: now, Revision: expectRevision,
	}
	c.phase = phaseClaiming
	s.emit(WriteClaim{ID: c.ID, Key: c.ClaimKey, Claim: c.claim, ExpectRevision: expectRevision})
	s.setPhaseTimeout(c, now.Add(claimTimeout))
}

// handleClaimResult handles the result of claiming an idempotency key.
func (s *State) handleClaimResult(now time.Time, ev ClaimResolved) {
	c, ok := s.calls[ev.ID]
	if !ok || c.phase != phaseClaiming {
		s.count("events-late")
		return
	}
	switch ev.Result {
	case ClaimAcquired:
		c.claim.Revision = ev.Claim.Revision
		s.sendOffer(now, c, SendOffer{ExpectInstance: c.instance})
	case ClaimExists:
		s.handleClaimExists(now, c, ev.Claim)
	case ClaimUnknown:
		s.handleClaimUnknown(now, c)
	}
}

// handleClaimUnknown handles a claim without a known result. An idempotent call is
// sent without a claim. Any other is refused as not run, which is true because the
// request has not been sent anywhere.
func (s *State) handleClaimUnknown(now time.Time, c *call) {
	s.count("claims-unknown")
	if c.Idempotent {
		c.ClaimKey = ""
		s.sendOffer(now, c, SendOffer{})
		return
	}
	s.refuseCall(c, notRunRefusal(fleet.CodeKVUnavailable,
		"the idempotency key can't be checked now", now.Add(defaultRetryAfter)))
}

// journalTrustPeriod is how long after a claim the agent's journal certainly knows
// whether the request ran. It is half of the time that the journal keeps a
// request; the other half allows for clocks that differ.
const journalTrustPeriod = 5 * time.Minute

// handleClaimExists handles an idempotency key that an earlier request has claimed.
// If both requests have the same body, the answer of the earlier one is requested
// from the endpoint that has it.
func (s *State) handleClaimExists(now time.Time, c *call, existing Claim) {
	c.claim = existing
	if existing.BodyHash != c.BodyHash {
		s.refuseCall(c, notRunRefusal(fleet.CodeIdempotencyKeyReused, "the idempotency key was used for another request", time.Time{}))
		return
	}
	s.count("claims-repeated")
	if _, ok := s.endpoints[existing.Endpoint]; !ok {
		s.refuseCall(c, s.answerUnavailableRefusal(existing))
		return
	}
	c.endpoint = existing.Endpoint
	c.instance = existing.Instance
	c.answerOf = existing.Request
	c.sent = true
	s.sendOffer(now, c, SendOffer{AttachOnly: true, ExpectInstance: existing.Instance})
}

// answerUnavailableRefusal returns the refusal of a call with a claimed idempotency key
// whose answer is no longer available.
func (s *State) answerUnavailableRefusal(claim Claim) fleet.Refusal {
	if claim.State == ClaimDone {
		return fleet.Refusal{
			Code: fleet.CodeAlreadyRan, NotRun: fleet.NotRunFalse,
			Detail: "the request with this idempotency key has run; its answer is not kept any more",
		}
	}
	return fleet.Refusal{
		Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown,
		Detail: "the endpoint that had the request with this idempotency key is gone",
	}
}

// handleAttachRefusal handles a refusal to deliver the answer of an earlier request
// with the same idempotency key. If that request certainly never ran, the call
// claims the key and runs itself; otherwise it is refused.
func (s *State) handleAttachRefusal(now time.Time, c *call, r fleet.Refusal) {
	// After journalTrustPeriod the agent may report that the request never ran only because
	// its journal no longer holds the request.
	mayBeForgotten := c.claim.State == ClaimDone || now.Sub(c.claim.ClaimedAt).Abs() > journalTrustPeriod
	if r.NotRun != fleet.NotRunTrue || mayBeForgotten {
		if r.Code == fleet.CodeOutcomeUnknown || mayBeForgotten {
			r = s.answerUnavailableRefusal(c.claim)
		}
		s.refuseCall(c, r)
		return
	}
	c.answerOf = ""
	c.sent = false
	s.routeCall(now, c)
}
