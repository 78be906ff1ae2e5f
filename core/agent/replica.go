package agent

import (
	"cmp"
	"time"

	"chervilreach/core/fleet"
)

// stage is the state of a replica. Plain services are always warm.
type stage int

const (
	stageCold stage = iota
	// stageWaiting means that the load waits for a permit.
	stageWaiting
	stageLoading
	stageWarm
	stageUnloading
	// stageDoubtful means that an order has ended with an unknown outcome.
	stageDoubtful
)

// String returns the name used in reports.
func (st stage) String() string {
	switch st {
	case stageWaiting:
		return "waiting"
	case stageLoading:
		return "loading"
	case stageWarm:
		return "warm"
	case stageUnloading:
		return "unloading"
	case stageDoubtful:
		return "doubtful"
	case stageCold:
		return "cold"
	}
	return "cold"
}

// permitState is the state of the permit for a load.
type permitState int

const (
	permitNone permitState = iota
	permitWaiting
	permitGranted
	// permitUnreachable means that no router can be reached.
	permitUnreachable
	// permitLocal means that no router was reachable and that the agent started the load
	// without a permit, within its share of the weight store's load limits.
	permitLocal
)

// adapterState is the state of one adapter of a warm model.
type adapterState struct {
	stage stage
	// doubtfulSince is when an order for the adapter ended with an unknown outcome.
	doubtfulSince time.Time
}

// replica is the state of one model, or one plain service, on this endpoint. Either model
// or service is set.
type replica struct {
	model   fleet.ModelID
	service fleet.ServiceID
	stage   stage

	// assignment is the assignment last read from the key-value service.
	assignment Assignment
	// assignmentKnown reports whether assignment has been read since the start or the last
	// pause.
	assignmentKnown bool
	// assignmentReadPending reports whether a read has been requested and not answered;
	// the request is repeated after assignmentReadDeadline.
	assignmentReadPending  bool
	assignmentReadDeadline time.Time

	adapters        map[fleet.AdapterID]*adapterState
	queue           queue
	runningRequests int

	// lastUse is when a request was last queued, started or ended, or the model became warm.
	lastUse time.Time
	// changedAt is when an order for the model was last sent or ended, or the replica was
	// reset to cold. Engine reports from before that time are stale for this model.
	changedAt time.Time
	// engineIdleAsOf is the time of the newest engine report in which the model had no
	// requests. The engine may be running requests started by a predecessor, which this
	// agent does not count.
	engineIdleAsOf time.Time
	// readyAt is when a load in progress is expected to finish.
	readyAt       time.Time
	loadStartedAt time.Time
	doubtfulSince time.Time
	// unloadReason is the reason for the last unload, shown to operators.
	unloadReason string
	// nextPermitRequestAt is when to repeat the permit request.
	nextPermitRequestAt time.Time
	permitID            fleet.OrderID
	permit              permitState
	// retryAt is the earliest time for the next load after a failed one; loadFailures
	// counts the failures since the last success.
	retryAt      time.Time
	loadFailures int
	// runningByMember counts running requests by member.
	runningByMember map[fleet.MemberID]int
	// avgServeTime is the average time from the start of a request to the end of its answer.
	avgServeTime movingAverage
}

// initialServeTime is the initial value of the average time to serve a request.
const initialServeTime = time.Second

func newReplica(model fleet.ModelID) *replica {
	return &replica{
		model:        model,
		adapters:     make(map[fleet.AdapterID]*adapterState),
		avgServeTime: movingAverage{value: initialServeTime},
	}
}

func newServiceReplica(id fleet.ServiceID) *replica {
	return &replica{service: id, stage: stageWarm, avgServeTime: movingAverage{value: initialServeTime}}
}

func compareReplicas(a, b *replica) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.service, b.service))
}

// busy reports whether the replica has queued or running requests.
func (r *replica) busy() bool { return r.runningRequests > 0 || r.queue.len() > 0 }

// confirmedIdle reports whether the replica has no requests and the engine, too, has
// reported none since the last use of the replica.
func (r *replica) confirmedIdle() bool { return !r.busy() && r.engineIdleAsOf.After(r.lastUse) }

// assigned reports whether the model is known to be assigned to this endpoint.
func (r *replica) assigned() bool {
	return r.assignmentKnown && r.assignment.State == AssignmentAssigned
}

// modelReplica returns the replica of a model; it adds a cold one if there is none.
func (s *State) modelReplica(model fleet.ModelID) *replica {
	r, ok := s.models[model]
	if !ok {
		r = newReplica(model)
		s.models[model] = r
	}
	return r
}

// targetReplica returns the replica that a request needs; nil if the target is a service
// that this endpoint does not run.
func (s *State) targetReplica(t fleet.Target) *replica {
	if t.Service != "" {
		return s.services[t.Service]
	}
	return s.modelReplica(t.Model)
}

// advanceReplica performs all work that is due for one replica.
func (s *State) advanceReplica(now time.Time, r *replica) {
	s.refuseLateRequests(now, r)
	if r.service == "" {
		s.advanceLoad(now, r)
		s.loadMissingAdapters(now, r)
		s.unloadIfDue(now, r)
	}
	s.startQueued(now, r)
}
