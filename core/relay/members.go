package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/stock"
)

// listTimeout is how long the router waits for the rest of an incomplete endpoint list before
// it requests the load of a model that an endpoint in the rest may already hold. It is twice
// the measured time to read the list of the largest fleet tested.
const listTimeout = 1500 * time.Millisecond

// handleEndpointsListed replaces the list of endpoints and aborts the attempts at endpoints whose
// address another instance now has.
func (s *State) handleEndpointsListed(ev EndpointsListed) {
	old := make(map[string]*endpoint, len(s.endpoints))
	for _, e := range s.endpoints {
		old[e.Instance] = e
	}
	s.endpoints = s.endpoints[:0]
	changed := false
	for _, m := range ev.List {
		e := old[m.Instance]
		delete(old, m.Instance)
		if e != nil {
			e.outliveReplacement(ev.ReadAt)
			s.endFormer(e, ev.ReadAt)
		}
		if e != nil && e.former.returns(m) {
			e, changed = s.restoreFormer(e), true
		}
		lasts := e != nil && e.doubtLasts(&m, ev.ReadAt)
		switch {
		case e == nil && m.Malformed:
			continue
		case e != nil && !lasts && e.sameEntry(m):
		case e != nil && !lasts && e.mustDoubt(&m):
			s.doubtEntry(e, m, ev.ReadAt)
		default:
			wasLeaving := e == nil || e.Leaving
			changed = true
			e = s.updateEntry(e, m, ev.ReadAt)
			s.reportLeaving(e, wasLeaving, EndpointLeaving{Source: sourceStore, Listed: true, ReadAt: ev.ReadAt})
		}
		s.endpoints = append(s.endpoints, e)
	}
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, id := range slices.Sorted(maps.Keys(old)) {
		s.index.drop(old[id])
		s.dropLimit(old[id])
		wasLeaving := old[id].Leaving
		old[id].Leaving = true
		s.reportLeaving(old[id], wasLeaving, EndpointLeaving{Source: sourceStore, ReadAt: ev.ReadAt})
		s.unassignLoads(id)
		if slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.Address == old[id].Address }) {
			// Without a successor, the list is of the past, and has an earlier incarnation.
			if s.hasSuccessor(old[id]) {
				s.endIncarnation(old[id], foundByAddress)
			}
			s.abortAttempts(old[id])
			continue
		}
		s.endIncarnation(old[id], foundByRemoval)
	}
	s.endReplaced()
	if changed || len(old) > 0 {
		s.noteVersions()
	}
	s.updateListDeadline(ev.More)
	s.informJudges()
	s.followUpdatePending = true
	s.dispatchWaiting()
}

// Sources of what the router knows of an endpoint, for the log.
const (
	sourceStore = "store"
	sourceAgent = "agent"
	// sourceEndpoint is the endpoint's own answer.
	sourceEndpoint = "endpoint"
)

// reportLeaving reports that an endpoint has begun to leave, unless it was leaving before.
func (s *State) reportLeaving(e *endpoint, wasLeaving bool, report EndpointLeaving) {
	if wasLeaving || !e.Leaving {
		return
	}
	report.Endpoint = e.Instance
	s.emit(report)
}

// updateListDeadline starts the wait for the rest of an incomplete list, or ends it.
func (s *State) updateListDeadline(more bool) {
	switch {
	case !more:
		s.listDeadline = time.Time{}
	case s.listDeadline.IsZero():
		s.listDeadline = s.now.Add(listTimeout)
	}
}

// abortAttempts aborts all attempts at an endpoint that has been replaced. They will get no
// answers, and the connection to a dead host does not end by itself.
func (s *State) abortAttempts(e *endpoint) {
	for _, r := range s.sortedRequests() {
		if r.target == e {
			r.brokenOff = true
			s.emitCount("attempts.broken-off")
			s.emit(AbortAttempt{ID: r.id, Try: r.attemptCount})
		}
	}
}

// sortedRequests returns the requests in progress, sorted by ID.
func (s *State) sortedRequests() []*request {
	list := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}

// updateEntry applies the list entry m to the endpoint e, or creates the endpoint if e is nil.
// If the entry, of a list read at readAt, is for another incarnation than e, the endpoint is created anew. It
// returns the endpoint.
func (s *State) updateEntry(e *endpoint, m EndpointEntry, readAt time.Time) *endpoint {
	var before []stock.LoadedModel
	if e != nil {
		before = e.Stock.Models
		s.index.drop(e)
	}
	var former *formerIncarnation
	if e != nil && e.isNewIncarnation(m) {
		former = s.replaceIncarnation(e, m, readAt)
		e = nil
	}
	if e == nil {
		e = newEndpoint(m, s.now)
		e.tieBreak = s.tieBreakOf(m.Instance)
		e.endedAt, _ = s.endedIncarnations.Get(incarnationKey{m.Instance, m.Born})
		e.self.leaving = s.hasLeft(m)
		e.former = former
	}
	e.update(m)
	e.doubt = nil
	e.deriveLeaving()
	s.index.add(e)
	s.index.addFormerHolders(e, before)
	return e
}

// replaceIncarnation ends an endpoint that the entry m of another incarnation replaces. If the entry may be of
// another writer, the endpoint may come back and is returned as the former incarnation.
func (s *State) replaceIncarnation(e *endpoint, m EndpointEntry, readAt time.Time) *formerIncarnation {
	s.dropLimit(e)
	if e.former != nil {
		return e.former
	}
	if e.mayBeForeign(m) {
		return &formerIncarnation{e, readAt}
	}
	s.endIncarnation(e, foundByIncarnation)
	s.abortAttempts(e)
	s.forgetSelfStatus(e)
	return nil
}

// endpoint returns the endpoint with the given instance name, or nil if it is not listed.
func (s *State) endpoint(instance string) *endpoint {
	i, ok := slices.BinarySearchFunc(s.endpoints, instance, compareInstance)
	if !ok {
		return nil
	}
	return s.endpoints[i]
}

// handleAgentReported updates an endpoint from its agent's report and dispatches the requests
// that this allows to be served.
func (s *State) handleAgentReported(ev AgentReported) {
	e := s.endpoint(ev.Report.Instance)
	if e == nil {
		return
	}
	if _, ok := s.followed[e.Instance]; s.followsSubset() && !ok {
		// The agent is no longer followed; its connection is being closed.
		return
	}
	first := !e.hasAgent
	if e.Stock.Down && !ev.Report.Down {
		// Another process may serve under the same name.
		e.end = incarnationEnd{}
	}
	wasLeaving := e.Leaving
	s.updateStock(e, func() { e.applyReport(ev.Report, s.now) })
	s.reportLeaving(e, wasLeaving, EndpointLeaving{Source: sourceAgent, Listed: true, ReadAt: s.now})
	e.hasSparseReports = s.followsSubset()
	s.retryBudget.routerCount = s.estimateRouters(s.mostRoutersReported())
	s.adoptLimits(ev.Report)
	if !ev.Report.Down {
		e.aliveAt = laterTime(e.aliveAt, s.now.Add(-staleReportTime))
	}
	if ev.Report.Down {
		s.endIncarnation(e, foundByAgent)
		s.forgetSelfStatus(e)
		s.forgetSoftware(e)
	}
	s.discardOldLost(e)
	s.applyVerdicts(e, ev.Report)
	s.spreadVerdicts(e)
	s.unassignLoadsIfLeaving(e)
	s.dispatchWaitingFor(e)
	if first {
		s.software.tellPending = true
		s.informJudges()
		s.askJudgesOfWaiting()
		s.askAgentForRuns(e)
	}
	if first && s.followsSubset() {
		s.dispatchWaiting()
	}
}

// mostRoutersReported returns the largest number of routers that a connected agent has reported.
// An agent that is cut off from some routers reports fewer.
func (s *State) mostRoutersReported() int {
	most := 0
	for _, e := range s.endpoints {
		if e.hasAgent {
			most = max(most, e.Stock.Routers)
		}
	}
	return most
}

// handleInstanceChanged replaces an endpoint by its new instance.
func (s *State) handleInstanceChanged(ev InstanceChanged) {
	e := s.endpoint(ev.From)
	if e == nil || s.endpoint(ev.Report.Instance) != nil {
		return
	}
	s.index.drop(e)
	s.dropLimit(e)
	s.followedAll = nil
	s.endIncarnation(e, foundByRestart)
	e.Leaving = true
	s.unassignLoads(e.Instance)
	s.abortAttempts(e)
	m := e.EndpointEntry
	m.Instance, m.Leaving, m.Born, m.Software, m.Stock = ev.Report.Instance, false, 0, "", stock.Report{}
	next := newEndpoint(m, s.now)
	next.tieBreak = s.tieBreakOf(m.Instance)
	s.endpoints = insert(remove(s.endpoints, e), next)
	if s.followsSubset() {
		s.followed[next.Instance] = s.followed[e.Instance]
		delete(s.followed, e.Instance)
	}
	s.index.add(next)
	s.noteVersions()
	s.handleAgentReported(AgentReported{Report: ev.Report})
}

// handleAgentLost marks an endpoint as being without an agent and assigns its pending loads to
// others.
func (s *State) handleAgentLost(ev AgentLost) {
	if e := s.endpoint(ev.Instance); e != nil {
		if e.hasAgent {
			e.agentLostAt = s.now
		}
		e.hasAgent, e.toldCrashCount, e.toldOrigins, e.toldVersions = false, 0, 0, nil
		if e.Stock.Down {
			// Only the agent can tell that the endpoint is back.
			s.updateStock(e, func() { e.Stock = e.listedStock })
		}
		e.lastDemand, e.toldVerdicts = stock.Demand{}, nil
		s.unassignLoads(ev.Instance)
	}
}
