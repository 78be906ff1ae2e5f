package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

const (
	// permitAnswerTimeout is how long the router waits for the answer to an ask for a permit. A
	// granter answers at once.
	permitAnswerTimeout = 300 * time.Millisecond
	// granterRetryDelay is how long a granter that did not answer is not asked again. The
	// router keeps to its own share meanwhile.
	granterRetryDelay = time.Second
	// granterCandidates is the number of agents, beside that of the endpoint itself, that may
	// grant the permits for an endpoint.
	granterCandidates = 3
	// minAskInterval and maxAskInterval bound the time for which a router does not ask again for
	// permits for an endpoint after it was denied one, see askInterval.
	minAskInterval = 10 * time.Millisecond
	maxAskInterval = 5 * time.Second
	// asksPerPermit and minAsksPerSecond limit the denied asks of all routers together: to this
	// many for each permit, plus this many a second.
	asksPerPermit    = 4
	minAsksPerSecond = 20
	// maxPendingAsks is the maximum number of unanswered asks of a router for one endpoint.
	maxPendingAsks = 8
	// permitWaitPart is the part of its time in which a new request must be likely to get a
	// permit, as other routers may get more than an equal part of the permits.
	permitWaitPart = 0.5
	// askCostMS is the cost of the ask for a permit.
	askCostMS = 5.0
)

// permit is a request's permit for one limited endpoint, or the ask for it.
type permit struct {
	endpoint *endpoint
	// granter is the endpoint whose agent was asked; nil if the permit is from the router's own
	// share.
	granter *endpoint
	number  uint64
	ask     quota.Ask
	granted bool
	// startAt and expiresAt are the times between which the request may be sent. Before the
	// answer, expiresAt is the time until which it is awaited.
	startAt, expiresAt time.Time
}

// handleLimitObserved updates the limit of an endpoint from the answer to an attempt.
func (s *State) handleLimitObserved(ev LimitObserved) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil || r.attemptCount != ev.Try {
		return
	}
	e := r.target
	l := stock.EndpointLimit{
		Instance: e.Instance, PerSecond: ev.Limit.PerSecond, Ended: !ev.Limit.Named, SentAt: r.sentAt, SeenAt: s.now,
	}
	if l.Ended && !e.limit.InForce() || !l.Supersedes(e.limit) {
		return
	}
	if granter := s.granterOf(e); granter != nil && !l.Equal(e.limit) {
		s.emit(ReportLimit{Granter: granter.Instance, Limit: l})
	}
	s.setLimit(e, l, "")
}

// adoptLimits updates limits of endpoints from the report of an agent. A limit from before an
// endpoint was listed may be that of an earlier incarnation.
func (s *State) adoptLimits(r stock.Report) {
	for _, l := range r.Limits {
		e := s.endpoint(l.Instance)
		if e == nil || l.SeenAt.Before(e.listedAt) || !l.Supersedes(e.limit) || l.Ended && !e.limit.InForce() {
			continue
		}
		s.setLimit(e, l, r.Instance)
	}
}

// setLimit replaces the known limit of an endpoint. source is the agent that told it.
func (s *State) setLimit(e *endpoint, l stock.EndpointLimit, source string) {
	before := e.limit
	e.limit = l
	if l.Equal(before) {
		return
	}
	s.emit(LimitChanged{Endpoint: e.Instance, Before: before, Now: l, Source: source})
	if before.InForce() != l.InForce() {
		s.followUpdatePending = s.followsSubset()
	}
	e.limitedUntil, e.nextPermitAt = time.Time{}, time.Time{}
	if !l.InForce() {
		s.dispatchWaiting()
	}
}

// dropLimit ends the limit of an endpoint that is gone or has been replaced.
func (s *State) dropLimit(e *endpoint) {
	if e.limit.InForce() {
		s.emit(LimitChanged{Endpoint: e.Instance, Before: e.limit})
	}
}

// granterOf returns the endpoint whose agent grants the permits for e: its own agent or, if
// that is not connected, the first connected one of those that all routers agree on. It returns
// nil if none is connected.
func (s *State) granterOf(e *endpoint) *endpoint {
	for _, granter := range s.granterCandidates(e) {
		if granter.hasAgent && !granter.Leaving && !s.now.Before(granter.askAgainAt) {
			return granter
		}
	}
	return nil
}

// isFirstGranter reports whether granter comes first among those that may grant the permits for
// e, so that all routers that reach it use it.
func (s *State) isFirstGranter(granter, e *endpoint) bool {
	for _, candidate := range s.granterCandidates(e) {
		if !candidate.Leaving {
			return candidate == granter
		}
	}
	return false
}

// granterCandidates returns the endpoints whose agents may grant the permits for e, in the
// order in which they are asked, the same at all routers.
func (s *State) granterCandidates(e *endpoint) []*endpoint {
	var list []*endpoint
	if e.HasModels {
		list = append(list, e)
	}
	for _, service := range slices.Sorted(maps.Keys(s.index.endpointsByService)) {
		endpoints := s.index.endpointsByService[service]
		if len(endpoints) > 0 && endpoints[0].HasModels {
			return append(list, s.index.successors(service, e.Instance, granterCandidates)...)
		}
	}
	return list
}

// limitedCandidates returns the endpoints to follow for the permits of limited endpoints.
func (s *State) limitedCandidates() []followCandidate {
	var candidates []followCandidate
	for _, e := range s.endpoints {
		if !e.limit.InForce() {
			continue
		}
		for _, granter := range s.granterCandidates(e) {
			candidates = append(candidates, followCandidate{granter, alwaysFollowedWeight})
		}
	}
	return candidates
}

// outOfPermits reports whether the endpoint is limited and no permit is to be had now.
func (e *endpoint) outOfPermits(now time.Time) bool {
	return e.limit.InForce() && now.Before(e.limitedUntil)
}

// mayAsk reports whether the router may ask for one more permit for the endpoint now, or needs
// none. The number of unanswered asks is limited to twice this router's part of a second's
// permits, so that what waits at many routers does not ask all at once.
func (s *State) mayAsk(e *endpoint) bool {
	if !e.limit.InForce() {
		return true
	}
	part := int(2 * e.limit.PerSecond / float64(max(s.retryBudget.routerCount, 1)))
	return !e.outOfPermits(s.now) && e.pendingAskCount < min(max(part, 1), maxPendingAsks)
}

// askInterval returns how long the router does not ask again after it was denied a permit. It
// grows with the number of routers, so that the granter gets only as many asks as keep the limit
// in use.
func (s *State) askInterval(e *endpoint) time.Duration {
	asksPerSecond := asksPerPermit*e.limit.PerSecond + minAsksPerSecond
	interval := time.Duration(float64(s.retryBudget.routerCount) / asksPerSecond * float64(time.Second))
	return min(max(interval, minAskInterval), maxAskInterval)
}

// sendOrAskPermit sends the request to e, or asks for a permit first if e is limited.
func (s *State) sendOrAskPermit(r *request, e *endpoint, basis Basis) {
	if !e.limit.InForce() {
		s.send(r, e, basis)
		return
	}
	s.addWaiting(r)
	if s.countAhead(r, func(w *request) bool { return w.permit == nil }) > 0 {
		// Permits go to those that wait already.
		s.enqueue(r)
		return
	}
	s.askPermit(r, e, basis)
	if r.mayBeSentTo(e, s.now) {
		s.send(r, e, basis)
		return
	}
	if r.permit != nil {
		s.enqueue(r)
		return
	}
	s.dispatch(r)
}

// askPermit asks for a permit to send the request to e. Without a granter, the router takes one
// from its own share.
func (s *State) askPermit(r *request, e *endpoint, basis Basis) {
	ask := quota.Ask{PerSecond: e.limit.PerSecond, Urgent: r.Route.Priority <= 0, Latest: s.now}
	if basis.UnlimitedCandidates == 0 {
		ask.Latest = laterTime(r.callerTimeoutAt().Add(-minRunTime), s.now)
	}
	s.lastAskNumber++
	r.permit = &permit{endpoint: e, number: s.lastAskNumber, ask: ask, expiresAt: s.now.Add(permitAnswerTimeout)}
	if granter := s.granterOf(e); granter != nil {
		r.permit.granter = granter
		ask.NotBefore, ask.Fallback = e.nextPermitAt, !s.isFirstGranter(granter, e)
		e.pendingAskCount++
		s.pendingAsks[r.permit.number] = e
		s.emitCount("permits.asked")
		s.emit(AskPermit{ID: r.id, Number: r.permit.number, Granter: granter.Instance, Limit: e.limit, Ask: ask})
		s.emitWake(r.permit.expiresAt)
		return
	}
	s.emitCount("permits.own-share")
	interval := quota.ShareInterval(e.limit.PerSecond, s.retryBudget.routerCount)
	at, ok := e.ownShare.Reserve(s.now, interval, e.tieBreak)
	s.applyPermitAnswer(r, at, at.Add(quota.Lifetime), ok)
}

// handlePermitAnswered applies the answer to an ask for a permit, unless the request is gone or
// the answer was no longer awaited.
func (s *State) handlePermitAnswered(ev PermitAnswered) {
	if e := s.pendingAsks[ev.Number]; e != nil {
		e.pendingAskCount--
		delete(s.pendingAsks, ev.Number)
	}
	defer s.dispatchWaiting()
	r := s.requests[ev.ID]
	if r == nil || r.permit == nil || r.permit.number != ev.Number || r.target != nil {
		return
	}
	s.emitCount("permits." + string(ev.Result))
	if ev.Result == PermitUnanswered {
		r.permit.granter.askAgainAt = s.now.Add(granterRetryDelay)
		r.permit = nil
	} else {
		s.applyPermitAnswer(r, ev.StartAt, ev.ExpiresAt, ev.Result == PermitGranted)
	}
	s.dispatch(r)
}

// applyPermitAnswer records a granted permit, or that the endpoint has none before startAt.
func (s *State) applyPermitAnswer(r *request, startAt, expiresAt time.Time, granted bool) {
	if !granted {
		e := r.permit.endpoint
		e.nextPermitAt = laterTime(startAt, s.now)
		e.limitedUntil = e.nextPermitAt
		if r.permit.ask.Latest.After(s.now) {
			// Permits are granted some time in advance to requests that can wait.
			e.limitedUntil = quota.AskAt(e.nextPermitAt, e.limit.PerSecond)
		}
		e.limitedUntil = laterTime(e.limitedUntil, s.now.Add(s.askInterval(e)))
		r.permit = nil
		s.emitWake(e.limitedUntil)
		return
	}
	p := r.permit
	p.granted, p.startAt, p.expiresAt = true, startAt, expiresAt
	p.endpoint.nextPermitAt = laterTime(p.endpoint.nextPermitAt, quota.Next(startAt, p.ask.PerSecond))
	s.emitWake(startAt)
	s.emitWake(expiresAt)
}

// mayBeSentTo reports whether the request has a permit for the endpoint that is valid now.
func (r *request) mayBeSentTo(e *endpoint, now time.Time) bool {
	p := r.permit
	return p != nil && p.endpoint == e && p.granted && !now.Before(p.startAt) && now.Before(p.expiresAt)
}

// dispatchWithPermit sends a request that has a permit, or keeps it in the queue while it awaits
// one. It returns false if the request has none.
func (s *State) dispatchWithPermit(r *request) bool {
	p := r.permit
	if p == nil {
		return false
	}
	replaced := s.endpoint(p.endpoint.Instance) != p.endpoint
	if replaced || !p.endpoint.limit.InForce() || !s.now.Before(p.expiresAt) || !s.canServe(p.endpoint, r) {
		r.permit = nil
		return false
	}
	if r.mayBeSentTo(p.endpoint, s.now) && !p.endpoint.full() && !s.wouldStallStreams(p.endpoint, r) && p.endpoint.self.takesRequest(s.now) {
		s.send(r, p.endpoint, s.basisOf(p.endpoint, 1, 0))
		return true
	}
	s.enqueue(r)
	return true
}

// permitsLeftAt returns the time from which a permit is to be had, if all endpoints that can serve
// the request are limited.
func (s *State) permitsLeftAt(r *request) (time.Time, bool) {
	var at time.Time
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if !s.canServe(e, r) {
			continue
		}
		if !e.limit.InForce() {
			return time.Time{}, false
		}
		next := s.now
		if e.outOfPermits(s.now) {
			next = laterTime(e.nextPermitAt, e.limitedUntil)
		}
		if at.IsZero() || next.Before(at) {
			at = next
		}
	}
	return at, !at.IsZero()
}

// mayWaitForPermit reports whether a request that waits for permits is likely to get one: with an
// equal part of the permits, this router gets enough of them for the request and those ahead of it
// before the caller leaves.
func (s *State) mayWaitForPermit(r *request) bool {
	perSecond := 0.0
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if s.canServe(e, r) {
			perSecond += e.limit.PerSecond
		}
	}
	part := perSecond / float64(max(s.retryBudget.routerCount, 1))
	needed := s.countAhead(r, func(*request) bool { return true }) + 1
	timeLeft := r.callerTimeoutAt().Sub(s.now).Seconds()
	if r.waitsFor == "" {
		timeLeft *= permitWaitPart
	}
	return float64(needed) <= part*timeLeft
}

// countAhead returns the number of waiting requests for the same model that come before r and for
// which the condition holds.
func (s *State) countAhead(r *request, condition func(w *request) bool) int {
	n := 0
	for _, w := range s.waiting {
		if w == r {
			break
		}
		if w.Service == r.Service && w.Item.Model == r.Item.Model && condition(w) {
			n++
		}
	}
	return n
}

// unlimitedHolderCount returns the number of holders of the item without a rate limit.
func (s *State) unlimitedHolderCount(service string, item stock.Item) int {
	n := 0
	for _, e := range s.candidates(service, item.Model) {
		if !e.Leaving && e.Stock.Holds(item) && !e.limit.InForce() {
			n++
		}
	}
	return n
}
