package relay

import (
	"slices"
	"time"

	"chervilreach/core/aging"
	"chervilreach/core/event"
	"chervilreach/core/route"
)

// Settings are the settings of a router. The retry limits are the same at all routers of a
// deployment.
type Settings struct {
	// Process is the ID of the router process, FailureDomain the failure domain in which it
	// runs.
	Process, FailureDomain string
	// RetryRatio and RetryExtra limit the retries of all routers together, for each
	// service: within RetryWindow, at most RetryRatio times the number of requests, plus
	// RetryExtra retries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// State is the state of a router. It implements event.Reducer.
type State struct {
	cfg Settings
	// table is nil until routes have been adopted.
	table     *route.Table
	endpoints []*endpoint
	index     index
	// outdatedDemands is the set of instances whose agents must be sent a new demand.
	outdatedDemands map[string]bool
	requests        map[RequestID]*request
	// options is used by choose.
	options []option
	// waiting holds the requests that are not at an endpoint, in the order in which they
	// are served: by priority, then by deadline.
	waiting []*request
	// checked has the requests whose runs are checked.
	checked      map[RequestID]*request
	pendingLoads map[loadKey]*pendingLoad
	// modelTraffic is the traffic of this router by model.
	modelTraffic map[string]*traffic
	promptIndex  *promptIndex
	retryBudget  retryBudget
	// effects are the effects of the event that is being applied, now is its time.
	effects []event.Effect
	now     time.Time
	// nextRefreshAt is the time at which all agents are sent the current traffic again.
	nextRefreshAt time.Time
	// replicaRequests are the requests for first and extra replicas, recomputed at
	// nextScaleAt.
	replicaRequests []replicaRequest
	nextScaleAt     time.Time
	// followed maps the followed instances, to whose agents the router is connected, to the
	// time since which they are followed. It is nil if all agents are followed.
	followed map[string]time.Time
	// followedAll is the list of the last FollowAgents effect if all agents are followed; nil if
	// it must be sent again.
	followedAll []EndpointEntry
	// nextFollowAt is the time at which the followed agents are selected again.
	// followUpdatePending reports whether they must be selected again after the current event.
	nextFollowAt        time.Time
	followUpdatePending bool
	// agentCount is the number of listed endpoints that have agents.
	agentCount int
	// listDeadline is the time until which the router waits for the rest of an incomplete
	// endpoint list; zero if the list is complete.
	listDeadline time.Time
	// shutdownSendBy is the time until which waiting requests are sent during shutdown,
	// shutdownEndBy the time at which attempts are aborted. Both are zero if the process is not
	// shutting down.
	shutdownSendBy, shutdownEndBy time.Time
	// drainAt is ShutdownStarted.DrainAt.
	drainAt time.Time
	// answerTimes tells how long answers take.
	answerTimes answerTimes
	// lastAskNumber is the number of the last ask for a permit. pendingAsks has the endpoints of
	// the unanswered ones.
	lastAskNumber uint64
	pendingAsks   map[uint64]*endpoint
	poison        poisonState
	// leftInstances are the incarnations that have said that they are leaving, oldest first.
	leftInstances []leftInstance
	// endedIncarnations has endpoint.endedAt of the incarnations that have ended.
	endedIncarnations *aging.Map[incarnationKey, time.Time]
	software          softwareState
}

// request is a request in progress.
type request struct {
	Request
	id RequestID
	// target is the endpoint of the attempt in progress; nil while the request waits.
	target *endpoint
	// answerBegan reports whether the first part of the answer to the attempt in progress
	// has been received, answerBeganAt the time of it.
	answerBegan   bool
	answerBeganAt time.Time
	// brokenOff reports whether the router has broken off the attempt in progress, as its endpoint has ended.
	brokenOff bool
	// sentAt is the start time of the attempt in progress.
	sentAt time.Time
	// attemptCount is the number of all attempts, possibleRunCount the number of those that may
	// have run at their endpoint.
	attemptCount, possibleRunCount int
	// avoidedInstances lists the instances that are not tried again after an attempt there
	// failed or was rejected.
	avoidedInstances []string
	// weightsVersion is the version of the weights that generated the answer so far; 0 if
	// unknown.
	weightsVersion int64
	// partlyAnswered reports whether part of the answer has been passed to the caller.
	partlyAnswered bool
	// waitsFor is the instance of the endpoint that is to load the requested item, or the
	// constant waitsForCapacity if the request waits for something else, such as a free
	// slot. It is empty until the request is queued for the first time.
	waitsFor string
	// wasShed reports whether the last attempt had the result Shed. The endpoint has the
	// model and is likely to have a free slot soon.
	wasShed bool
	// endpointFailed reports whether the last attempt ended with an error answer of the
	// endpoint, which can be passed to the caller.
	endpointFailed bool
	arrivedAt      time.Time
	// permit is the permit to send the request to a limited endpoint, or the ask for one; nil if
	// there is none.
	permit *permit
	// notBefore is the earliest time of the next attempt, set after all usable endpoints
	// have rejected the request.
	notBefore time.Time
	// bound reports whether only endpoints with the version software can serve the request, because it
	// resumes a stream or its answer has begun. No endpoint can if software is empty, for unknown.
	bound    bool
	software string
	// sentSoftware is the version of the endpoint of the attempt in progress.
	sentSoftware string
	// lookup is the search for software; nil if there is none.
	lookup *originLookup
	// silence is the silence of the attempt in progress; nil if there is none.
	silence *silence
	// retryCounted reports whether the next attempt is counted in the retry budget already.
	retryCounted bool
	// ending is the check of a run that the router has given up and that may go on; nil if there is none.
	ending *runCheck
	// asked is the check for which the endpoint's agent has been asked and has not answered; nil if there
	// is none. It may be that of an earlier silence.
	asked *runCheck
	// joinedLoad is the load that the request waits for; zero if there is none.
	joinedLoad loadKey
}

// New returns the state of a router that has just started, without routes and endpoints.
func New(cfg Settings) *State {
	return &State{
		cfg:               cfg,
		requests:          make(map[RequestID]*request),
		checked:           make(map[RequestID]*request),
		pendingLoads:      make(map[loadKey]*pendingLoad),
		modelTraffic:      make(map[string]*traffic),
		promptIndex:       newPromptIndex(),
		index:             newIndex(),
		outdatedDemands:   make(map[string]bool),
		retryBudget:       newRetryBudget(cfg),
		pendingAsks:       make(map[uint64]*endpoint),
		answerTimes:       make(answerTimes),
		poison:            newPoisonState(),
		endedIncarnations: aging.New[incarnationKey, time.Time](maxEndedIncarnations),
		software:          newSoftwareState(),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.now, s.effects = now, nil
	if s.software.startedAt.IsZero() {
		s.software.startedAt = now
	}
	switch ev := ev.(type) {
	case RequestArrived:
		s.handleRequestArrived(ev)
	case AnswerStarted:
		s.handleAnswerStarted(ev)
	case AttemptEnded:
		s.handleAttemptEnded(ev)
	case CallerDone:
		s.handleCallerDone(ev)
	case EndpointsListed:
		s.handleEndpointsListed(ev)
	case AgentReported:
		s.handleAgentReported(ev)
	case SelfStatusReceived:
		s.handleSelfStatusReceived(ev)
	case LimitObserved:
		s.handleLimitObserved(ev)
	case PermitAnswered:
		s.handlePermitAnswered(ev)
	case AttemptSilent:
		s.handleAttemptSilent(ev)
	case AttemptResumed:
		s.handleAttemptResumed(ev)
	case RunAnswered:
		s.handleRunAnswered(ev)
	case OriginAnswered:
		s.handleOriginAnswered(ev)
	case VersionsRead:
		s.handleVersionsRead(ev)
	case VersionsWritten:
		s.handleVersionsWritten(ev)
	case InstanceChanged:
		s.handleInstanceChanged(ev)
	case AgentLost:
		s.handleAgentLost(ev)
	case PortChecked:
		s.handlePortChecked(ev)
	case PartAcquitted:
		s.handlePartAcquitted(ev)
	case RoutesAdopted:
		s.handleRoutesAdopted(ev)
	case ShutdownStarted:
		s.handleShutdownStarted(ev)
	case SettingsChanged:
		s.cfg, s.retryBudget.cfg = ev.Settings, ev.Settings
	case event.Tick:
		s.handleTick()
	}
	s.scaleReplicasIfDue()
	s.updateFollowedIfDue()
	s.sendDueDemands()
	s.reportOriginsIfDue()
	s.checkVersionsIfDue()
	s.tellVersionsIfDue()
	return s.effects
}

func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

// emitCount emits an increment of the counter relay.name.
func (s *State) emitCount(name string) { s.emit(event.Count{Name: "relay." + name, N: 1}) }

func (s *State) handleRequestArrived(ev RequestArrived) {
	r := &request{Request: ev.Request, id: ev.ID, arrivedAt: s.now}
	s.requests[ev.ID] = r
	if s.refuseIfConvicted(r) {
		return
	}
	s.retryBudget.countRequest(s.now, r.Service)
	if r.Item.Model != "" {
		s.countTraffic(r)
	}
	if r.Route.Kind == route.Stream {
		s.noteStreamed(r.Service)
		if r.Resuming {
			s.findOrigin(r)
		}
	}
	s.dispatch(r)
}

// dispatch sends a request to an endpoint, queues it, or refuses it.
func (s *State) dispatch(r *request) {
	if !s.now.Before(r.Deadline) {
		s.expire(r)
		return
	}
	if s.refuseIfConvicted(r) {
		return
	}
	if s.shutdownOver() || s.wouldBeCutOff(r) {
		s.refuseOrFail(r, Stopping, s.now)
		return
	}
	if s.requestsUnknownModel(r) && !s.mayFinishUnknownModel(r) {
		s.refuseOrFail(r, UnknownModel, s.now.Add(unknownModelRetryDelay))
		return
	}
	if s.awaitsRunEnd(r) || s.awaitsOrigin(r) {
		s.addWaiting(r)
		s.emitWake(r.Deadline)
		return
	}
	if s.refuseIfVersionGone(r) || s.dispatchWithPermit(r) {
		return
	}
	if !s.now.Before(r.notBefore) {
		if e, basis := s.choose(r); e != nil {
			if s.wouldBeCutOffAt(r, e) {
				s.refuseOrFail(r, Stopping, s.now)
				return
			}
			s.sendOrAskPermit(r, e, basis)
			return
		}
		if r.Item.Model == "" || r.wasShed {
			s.clearAvoidedInstances(r)
		}
	}
	s.enqueue(r)
}

// clearAvoidedInstances allows the request to try the endpoints that failed or rejected it again,
// after avoidedRetryDelay. It does nothing if no endpoint is avoided.
func (s *State) clearAvoidedInstances(r *request) {
	if len(r.avoidedInstances) == 0 {
		return
	}
	r.avoidedInstances = nil
	r.notBefore = s.now.Add(avoidedRetryDelay)
	s.emitWake(r.notBefore)
}

// requestsUnknownModel reports whether the service's engine is not configured to load the
// requested model.
func (s *State) requestsUnknownModel(r *request) bool {
	engine := s.table.Engine(r.Service)
	if engine == nil || r.Item.Model == "" {
		return false
	}
	_, ok := engine.Models[r.Item.Model]
	return !ok
}

// mayFinishUnknownModel reports whether an endpoint can serve the request although its model is
// not configured, because the model was configured when the request arrived.
func (s *State) mayFinishUnknownModel(r *request) bool {
	isNew := r.attemptCount == 0 && r.waitsFor == ""
	return !isNew && slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool { return s.canServe(e, r) })
}

// send starts an attempt at e.
func (s *State) send(r *request, e *endpoint, basis Basis) {
	s.stopWaiting(r)
	r.target, r.answerBegan, r.brokenOff, r.sentAt, r.permit, r.sentSoftware = e, false, false, s.now, nil, e.Software
	r.attemptCount++
	e.addAttempt(r)
	if e.self.returning {
		e.self.trial = r.id
	}
	if r.attemptCount > 1 && !r.retryCounted {
		s.retryBudget.countRetry(s.now, r.Service)
	}
	r.retryCounted = false
	s.promptIndex.addParts(r, e.Instance)
	firstBy, maxGap := s.silenceLimits(r)
	s.emit(Send{
		FirstBy: firstBy, MaxGap: maxGap, Once: !r.Route.Idempotent(),
		ID: r.id, Try: r.attemptCount, Instance: e.Instance, Address: e.Address, Deadline: r.Deadline,
		LastEvent: r.LastEvent, Version: r.weightsVersion, Software: e.Software, Urgency: r.Route.Priority, Basis: basis,
		Limited: e.limit.InForce(), AfterBackoff: e.self.returning,
	})
}

// handleRoutesAdopted replaces the routing table unless the current one is as new.
func (s *State) handleRoutesAdopted(ev RoutesAdopted) {
	if s.table == nil || ev.Table.Version > s.table.Version {
		s.table = ev.Table
	}
}

func (s *State) handleAnswerStarted(ev AnswerStarted) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil || r.answerBegan {
		return
	}
	r.answerBegan, r.answerBeganAt = true, s.now
	r.target.recordAnswerStart(r, s.now)
	if r.Route.Kind == route.Stream {
		s.noteStreamStart(r)
	}
	s.dispatchWaiting()
}

func (s *State) handleCallerDone(ev CallerDone) {
	r := s.requests[ev.ID]
	if r == nil {
		return
	}
	s.detach(r)
	s.drop(r)
}

// detach removes a request from the endpoint of its current attempt, if any.
func (s *State) detach(r *request) {
	if r.target != nil {
		r.target.removeAttempt(r)
		r.target.self.endTrial(r.id)
		r.target = nil
	}
}

// drop removes a request that has ended from the queue and the state.
func (s *State) drop(r *request) {
	s.stopWaiting(r)
	delete(s.requests, r.id)
	delete(s.checked, r.id)
}

// handleTick removes unused loads and dispatches waiting requests.
func (s *State) handleTick() {
	for _, load := range s.pendingLoads {
		s.dropLoadIfUnused(load)
	}
	s.checkRuns()
	s.dispatchWaiting()
}
