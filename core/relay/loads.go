package relay

import (
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// loadAckTimeout is how long an agent may take to report a load that it was asked for.
	// After it, another agent is asked.
	loadAckTimeout = 600 * time.Millisecond
	// overdueTolerance is how much later than its reported completion time a load may be
	// done. After it, another endpoint is asked.
	overdueTolerance = 700 * time.Millisecond
	// noAgentTimeout is how long a service may be without a connected agent before requests for
	// what no endpoint has loaded are refused. Routers that are cut off for a moment reconnect
	// sooner.
	noAgentTimeout = 3 * time.Second
	// noLoaderRetryDelay is when callers should retry such a request. Agents that have been gone
	// for noAgentTimeout are not merely restarting, and callers retry only once or twice.
	noLoaderRetryDelay = 10 * time.Second
)

// loadKey identifies an item of a service.
type loadKey struct {
	service string
	item    stock.Item
	// software is the version of the software that the endpoint must have; empty if any will do.
	software string
}

// fits reports whether the endpoint has the version of the software that the load needs.
func (k loadKey) fits(e *endpoint) bool { return k.software == "" || e.Software == k.software }

// pendingLoad is a load that requests wait for.
type pendingLoad struct {
	key loadKey
	// instance is the endpoint that was asked for the load at requestedAt; empty if none
	// has been asked.
	instance    string
	requestedAt time.Time
	requests    []*request
	// triedInstances lists the instances that were asked and did not start the load in time.
	triedInstances []string
	// keepUntil is the time until which the load is requested even if no request waits for
	// it, for callers that were told to retry when it is done. priority is the priority of
	// the last such request.
	keepUntil time.Time
	priority  int
}

// expectedSendTime returns the time at which the request is expected to be sent, or the
// reason why it can't be served. It requests the load of the model or adapter if necessary.
func (s *State) expectedSendTime(r *request) (time.Time, Reason) {
	if r.permit != nil {
		return laterTime(r.permit.startAt, s.now), ""
	}
	engine := s.table.Engine(r.Service)
	if at, all := s.backoffOfAllUntil(r); all {
		return s.backoffSendTime(r, engine, at)
	}
	if at, limited := s.permitsLeftAt(r); limited {
		return s.limitedSendTime(r, engine, at)
	}
	if slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool { return s.canServe(e, r) }) {
		// All endpoints are full. One of their requests is likely to end soon.
		return s.now, ""
	}
	if s.awaitsListedHolder(r) || s.awaitsOwnEntry(r) {
		return s.now, ""
	}
	usable := slices.ContainsFunc(s.index.endpointsByService[r.Service], func(e *endpoint) bool { return !e.Leaving })
	if !usable || engine == nil || r.Item.Model == "" {
		return time.Time{}, NoEndpoint
	}
	if !s.mayOrderLoads(r.Service) {
		return s.now.Add(noLoaderRetryDelay), NoLoader
	}
	return s.joinOrRequestLoad(r, engine)
}

// mayOrderLoads reports whether an agent of the service is connected, or may connect soon. Without
// agents nothing can be loaded.
func (s *State) mayOrderLoads(service string) bool {
	for _, e := range s.index.endpointsByService[service] {
		switch {
		case e.Leaving:
		case e.hasAgent, s.now.Before(e.listedAt.Add(noAgentTimeout)), s.now.Before(e.agentLostAt.Add(noAgentTimeout)):
			return true
		}
	}
	return false
}

// backoffSendTime returns the time at which a request is expected to be sent whose endpoints have
// all requested a backoff until the given time. Unless another replica can be loaded in time, it
// is to be refused as BackoffRequested.
func (s *State) backoffSendTime(r *request, engine *route.Engine, until time.Time) (time.Time, Reason) {
	if engine == nil || r.Item.Model == "" || s.requestsUnknownModel(r) {
		return until, BackoffRequested
	}
	loadedAt, reason := s.joinOrRequestLoad(r, engine)
	if reason == "" && s.hasPendingLoad(s.loadKeyOf(r)) && loadedAt.Add(minRunTime).Before(r.callerTimeoutAt()) {
		return loadedAt, ""
	}
	return until, BackoffRequested
}

// limitedSendTime returns the time at which a request is expected to be sent whose endpoints
// have no permits until permitsAt. If it can't wait for one, another replica is loaded, or it is
// to be refused as RateLimited. An adapter is always loaded elsewhere, as that takes little time.
func (s *State) limitedSendTime(r *request, engine *route.Engine, permitsAt time.Time) (time.Time, Reason) {
	mayWait := s.mayWaitForPermit(r) && permitsAt.Add(minRunTime).Before(r.callerTimeoutAt())
	if mayWait && (r.Item.Adapter == "" || s.unlimitedHolderCount(r.Service, stock.Item{Model: r.Item.Model}) == 0) {
		return permitsAt, ""
	}
	if engine == nil || r.Item.Model == "" || s.requestsUnknownModel(r) {
		return permitsAt, RateLimited
	}
	loadedAt, reason := s.joinOrRequestLoad(r, engine)
	if reason == "" && s.hasPendingLoad(s.loadKeyOf(r)) && loadedAt.Add(minRunTime).Before(r.callerTimeoutAt()) {
		return loadedAt, ""
	}
	if mayWait {
		return permitsAt, ""
	}
	return permitsAt, RateLimited
}

// awaitsListedHolder reports whether a holder of the requested item is likely to be usable
// soon, so that no load is needed: an endpoint that is listed as holder and whose agent has
// not reported yet, or one in the part of the endpoint list that has not been read yet.
// Listed holders count only if the router follows just some of the agents; otherwise it
// relies on the agents' reports.
func (s *State) awaitsListedHolder(r *request) bool {
	if s.now.Before(s.listDeadline) {
		return true
	}
	return s.followsSubset() && slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool {
		return !e.Leaving && r.fits(e) && e.Stock.Holds(r.Item) && !e.assumedAlive(s.now) && !slices.Contains(r.avoidedInstances, e.Instance)
	})
}

// joinOrRequestLoad adds the request to the pending load of its item and returns the time at
// which the load is expected to be done. If there is no such load, or its endpoint has not
// acted on it in time, it asks an endpoint to load the item.
func (s *State) joinOrRequestLoad(r *request, engine *route.Engine) (time.Time, Reason) {
	key := s.loadKeyOf(r)
	if r.joinedLoad != key {
		s.stopWaitingForLoad(r)
		r.joinedLoad = key
	}
	load := s.pendingLoads[key]
	if load == nil {
		load = &pendingLoad{key: key}
		s.pendingLoads[key] = load
	}
	if !slices.Contains(load.requests, r) {
		load.requests = append(load.requests, r)
	}
	if e := s.endpoint(load.instance); load.instance != "" && e != nil {
		if readyAt, ok := e.Stock.LoadReadyAt(key.item); ok && s.now.Before(readyAt.Add(overdueTolerance)) {
			return s.moveLoadIfLate(load, engine, r, readyAt), ""
		}
		if s.now.Before(load.requestedAt.Add(loadAckTimeout)) {
			readyAt, _ := s.loadReadyAt(e, key.item, engine)
			return readyAt, ""
		}
		load.triedInstances = append(load.triedInstances, load.instance)
	}
	if s.hasConnectingLoader(key) {
		s.emitWake(s.now.Add(connectTimeout))
		return s.now.Add(engine.Models[key.item.Model].FromMemory), ""
	}
	e, readyAt := s.chooseLoader(key, engine, load.triedInstances)
	if len(load.triedInstances) > 0 && (e == nil || !readyAt.Add(minRunTime).Before(r.callerTimeoutAt())) {
		// Those that did not start the load in time are sooner free than the others are done.
		load.triedInstances = nil
		e, readyAt = s.chooseLoader(key, engine, nil)
	}
	if e == nil {
		s.assignLoad(load, "")
		load.triedInstances = nil
		s.clearAvoidedInstances(r)
		if at := s.storeQueueReadyAt(key, engine); !at.IsZero() {
			return at, ""
		}
		return s.now.Add(noEndpointRetryDelay), ""
	}
	s.assignLoad(load, e.Instance)
	load.requestedAt = s.now
	s.emitWake(s.now.Add(loadAckTimeout))
	return readyAt, ""
}

// moveLoadIfLate assigns a load that would be done too late for the request to another
// endpoint, if one with cached weights would be in time. It returns the time at which the
// load is expected to be done.
func (s *State) moveLoadIfLate(load *pendingLoad, engine *route.Engine, r *request, readyAt time.Time) time.Time {
	until := r.callerTimeoutAt()
	if readyAt.Add(minRunTime).Before(until) {
		return readyAt
	}
	e, at := s.chooseLoader(load.key, engine, append(slices.Clone(load.triedInstances), load.instance))
	if e == nil || !at.Add(minRunTime).Before(until) || s.needsStore(e, load.key.item) {
		return readyAt
	}
	load.triedInstances = append(load.triedInstances, load.instance)
	s.assignLoad(load, e.Instance)
	load.requestedAt = s.now
	s.emitWake(s.now.Add(loadAckTimeout))
	return at
}

// assignLoad assigns the load to another endpoint, or to none if instance is empty, and
// marks the demands to the agents of both endpoints as outdated.
func (s *State) assignLoad(load *pendingLoad, instance string) {
	for _, id := range []string{load.instance, instance} {
		if id != "" {
			s.outdatedDemands[id] = true
		}
	}
	load.instance = instance
}

// stopWaitingForLoad removes a request from the pending load that it waits for, if any.
func (s *State) stopWaitingForLoad(r *request) {
	load := s.pendingLoads[r.joinedLoad]
	if load == nil {
		return
	}
	if i := slices.Index(load.requests, r); i >= 0 {
		load.requests = slices.Delete(load.requests, i, i+1)
	}
	s.dropLoadIfUnused(load)
}

// dropLoadIfUnused removes a pending load that no request waits for and that need not be
// kept.
func (s *State) dropLoadIfUnused(load *pendingLoad) {
	if len(load.requests) > 0 || s.now.Before(load.keepUntil) {
		return
	}
	s.assignLoad(load, "")
	delete(s.pendingLoads, load.key)
}

// unassignLoadsIfLeaving unassigns the pending loads of an endpoint that is leaving.
func (s *State) unassignLoadsIfLeaving(e *endpoint) {
	for _, load := range s.pendingLoads {
		if load.instance == e.Instance && e.Leaving {
			s.assignLoad(load, "")
		}
	}
}

// unassignLoads unassigns all pending loads of an endpoint, so that other endpoints are
// asked for them.
func (s *State) unassignLoads(instance string) {
	for _, load := range s.pendingLoads {
		if load.instance == instance {
			s.assignLoad(load, "")
		}
	}
}

// emitWake requests a Tick event at the given time.
func (s *State) emitWake(at time.Time) {
	s.emit(event.Wake{At: at})
}
