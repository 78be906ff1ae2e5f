package router_test

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/router"
)

// runRouterEffect carries out an effect of a router.
func (s *sim) runRouterEffect(n int, r *simRouter, eff event.Effect) {
	epoch := r.epoch
	switch eff := eff.(type) {
	case router.SendOffer:
		r.latestExchange[eff.ID] = eff.ExchangeID
		s.scheduleRandom(func() { s.sendOffer(n, epoch, r, eff) })
	case router.WithdrawOffer:
		if r.latestExchange[eff.ID] == eff.ExchangeID && !r.sentExchanges[eff.ExchangeID] {
			delete(r.latestExchange, eff.ID)
			s.scheduleRandom(func() { s.applyRouter(n, epoch, router.OfferNotSent(eff)) })
		}
	case router.RequestTombstone:
		r.latestExchange[eff.ID] = eff.ExchangeID
		s.sendTombstone(n, epoch, eff)
	case router.WriteClaim:
		s.scheduleRandom(func() { s.writeClaim(n, epoch, eff) })
	case router.FinishClaim:
		if !s.kvDown && s.claims[eff.Key].Revision == eff.Claim.Revision {
			s.storeClaim(eff.Key, eff.Claim)
		}
	case router.RefuseCall:
		s.recordFinalAnswer(eff.ID, eff.Refusal, false)
	case router.FinishCall:
		s.recordFinalAnswer(eff.ID, fleet.Refusal{}, true)
	}
}

// recordFinalAnswer records the final answer of a call.
func (s *sim) recordFinalAnswer(id fleet.RequestID, refusal fleet.Refusal, answered bool) {
	c := s.calls[id]
	c.finalAnswerCount++
	c.refusal, c.answered, c.finalAt = refusal, answered, s.now
}

// sendOffer sends an offer to its agent, possibly losing it or sending it twice.
func (s *sim) sendOffer(n, epoch int, r *simRouter, eff router.SendOffer) {
	if r.epoch != epoch || r.latestExchange[eff.ID] != eff.ExchangeID {
		return
	}
	if s.faultOccurs() {
		s.applyRouter(n, epoch, router.OfferNotSent{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return
	}
	r.sentExchanges[eff.ExchangeID] = true
	a := s.agents[eff.Endpoint]
	instance := a.instance
	s.applyRouter(n, epoch, router.OfferSent{ID: eff.ID, ExchangeID: eff.ExchangeID, Instance: instance})
	c := &simConn{router: n, epoch: epoch, id: eff.ID, exchangeID: eff.ExchangeID, request: eff.ID}
	if eff.AnswerOf != "" {
		c.request = eff.AnswerOf
	}
	call := s.calls[eff.ID].Call
	expect := eff.ExpectInstance
	if expect == 0 {
		expect = instance
	}
	offer := func(repeat bool) {
		if repeat {
			c = &simConn{broken: true, request: c.request}
		}
		s.seq++
		conn := uint64(s.seq)
		a.conns[conn] = c
		s.applyAgent(a, instance, agent.Offered{Offer: agent.Offer{
			ID: c.request, Member: call.Member, Target: call.Target, Idempotent: call.Idempotent, Deadline: call.Deadline,
			Stream: call.Stream, AttachOnly: eff.AttachOnly, ExpectInstance: expect, StreamID: conn, KeepAnswer: call.ClaimKey != "",
		}})
	}
	if s.faultOccurs() {
		s.breakConn(c)
	} else {
		s.scheduleRandom(func() { offer(false) })
	}
	if s.faultOccurs() {
		// A duplicate is held up in the network and arrives much later.
		s.schedule(time.Duration(s.rng.Int64N(int64(simDuration))), func() { offer(true) })
	}
}

// sendTombstone sends a tombstone request to its agent, or reports that it failed.
func (s *sim) sendTombstone(n, epoch int, eff router.RequestTombstone) {
	a := s.agents[eff.Endpoint]
	instance := a.instance
	if s.faultOccurs() {
		s.schedule(simSilenceTimeout, func() { s.applyRouter(n, epoch, router.TombstoneAnswered{ID: eff.ID, ExchangeID: eff.ExchangeID}) })
		return
	}
	s.scheduleRandom(func() {
		s.seq++
		conn := uint64(s.seq)
		a.conns[conn] = &simConn{router: n, epoch: epoch, id: eff.ID, exchangeID: eff.ExchangeID}
		s.applyAgent(a, instance, agent.TombstoneRequested{ID: eff.Request, ExpectInstance: eff.ExpectInstance, StreamID: conn})
	})
}

// storeClaim writes a claim to the key-value service and returns its revision.
func (s *sim) storeClaim(key string, c router.Claim) fleet.Revision {
	s.revision++
	c.Revision = s.revision
	s.claims[key] = c
	return s.revision
}

// writeClaim acts like io/routed: it writes a claim if the key has the expected
// revision, and otherwise reports the claim that exists. A fault makes the result
// unknown to the router.
func (s *sim) writeClaim(n, epoch int, eff router.WriteClaim) {
	unknown := router.ClaimResolved{ID: eff.ID, Result: router.ClaimUnknown}
	if s.kvDown {
		s.scheduleRandom(func() { s.applyRouter(n, epoch, unknown) })
		return
	}
	ev := router.ClaimResolved{ID: eff.ID, Result: router.ClaimExists, Claim: s.claims[eff.Key]}
	if s.claims[eff.Key].Revision == eff.ExpectRevision {
		s.storeClaim(eff.Key, eff.Claim)
		ev = router.ClaimResolved{ID: eff.ID, Result: router.ClaimAcquired, Claim: s.claims[eff.Key]}
	}
	if s.faultOccurs() {
		ev = unknown
	}
	s.scheduleRandom(func() { s.applyRouter(n, epoch, ev) })
}

// applyAgent applies an event to an agent unless it has been restarted since the
// given instance.
func (s *sim) applyAgent(a *simAgent, instance fleet.Instance, ev event.Event) {
	if a.instance != instance {
		return
	}
	for _, eff := range a.state.Apply(s.now, ev) {
		s.runAgentEffect(a, eff)
	}
}

// runAgentEffect carries out an effect of an agent.
func (s *sim) runAgentEffect(a *simAgent, eff event.Effect) {
	instance := a.instance
	switch eff := eff.(type) {
	case agent.AdmitOffer:
		c := a.conns[eff.StreamID]
		c.admitted = true
		s.sendAnswer(c, router.OfferAcked{ID: c.id, ExchangeID: c.exchangeID})
		if a.finishedRequests[eff.ID] {
			s.sendAnswer(c, router.AnswerBegan{ID: c.id, ExchangeID: c.exchangeID}, router.AnswerEnded{ID: c.id, ExchangeID: c.exchangeID})
		}
	case agent.RefuseOffer:
		c := a.conns[eff.StreamID]
		s.sendAnswer(c, router.OfferRefused{ID: c.id, ExchangeID: c.exchangeID, Refusal: eff.Refusal})
	case agent.RefuseAnswer:
		s.forEachWaitingConn(a, eff.ID, func(c *simConn) {
			s.sendAnswer(c, router.OfferRefused{ID: c.id, ExchangeID: c.exchangeID, Refusal: eff.Refusal})
		})
	case agent.AnswerTombstone:
		c := a.conns[eff.StreamID]
		s.sendAnswer(c, router.TombstoneAnswered{ID: c.id, ExchangeID: c.exchangeID, State: string(eff.State)})
	case agent.StartRequest:
		s.runCount[eff.ID]++
		s.schedule(time.Duration(s.rng.Int64N(int64(simDuration/4))), func() { s.finishRun(a, instance, eff.ID) })
	}
}

// forEachWaitingConn visits the connections that wait for the answer to a request, in the
// order of their offers.
func (s *sim) forEachWaitingConn(a *simAgent, id fleet.RequestID, visit func(*simConn)) {
	for conn := range uint64(s.seq) + 1 {
		if c, ok := a.conns[conn]; ok && c.request == id && c.admitted && !c.broken {
			visit(c)
		}
	}
}

// finishRun ends a request that an agent's service has run and sends its answer.
func (s *sim) finishRun(a *simAgent, instance fleet.Instance, id fleet.RequestID) {
	if a.instance != instance {
		return
	}
	a.finishedRequests[id] = true
	s.applyAgent(a, instance, agent.AnswerBegan{ID: id})
	s.applyAgent(a, instance, agent.AnswerEnded{ID: id, Chunks: 1})
	s.forEachWaitingConn(a, id, func(c *simConn) {
		s.sendAnswer(c, router.AnswerBegan{ID: c.id, ExchangeID: c.exchangeID}, router.AnswerEnded{ID: c.id, ExchangeID: c.exchangeID})
	})
}
