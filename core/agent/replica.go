package agent

import (
	"cmp"
	"time"

	"chervilreach/core/fleet"
)

// stage is the state of a model at this endpoint.
type stage int

const (
	stageCold stage = iota
	// stageWaiting waits for a permit to load.
	stageWaiting
	stageLoading
	stageWarm
	stageUnloading
	// stageDoubtful is after an order of unknown outcome.
	stageDoubtful
)

// String returns the name that status pages and messages use.
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

// permitState is how far the permit for a load has got.
type permitState int

const (
	permitNone permitState = iota
	permitWaiting
	permitGranted
	// permitUnreachable is when no router can be asked.
	permitUnreachable
	// permitLocal is a load on the endpoint's own share of the store.
	permitLocal
)

// adapterState is the state of one adapter of a warm model.
type adapterState struct {
	stage stage
	// doubtFrom is when an order of unknown outcome was given up.
	doubtfulSince time.Time
}

// replica is one model, or one plain service, at this endpoint.
type replica struct {
	model   fleet.ModelID
	service fleet.ServiceID
	stage   stage

	// assignment as last read from the key-value service.
	assignment Assignment
	// known says that the assignment was read by this incarnation.
	assignmentKnown bool
	// asking says that a read is under way, until askBy.
	assignmentReadPending  bool
	assignmentReadDeadline time.Time

	adapters map[fleet.AdapterID]*adapterState
	queue    queue
	running  int

	lastUse time.Time
	// changedAt is when the stage last changed for a reason of our own.
	changedAt time.Time
	// quietAsOf is the time of the engine's last report in which the model had
	// no requests; those of a predecessor go on in the engine.
	engineIdleAsOf time.Time
	// readyAt is when a load in progress should be done.
	readyAt       time.Time
	loadStartedAt time.Time
	doubtfulSince time.Time
	// unloadedFor tells an operator why the model was last unloaded.
	unloadReason string
	// permitAt is when to ask for a permit again.
	nextPermitAskAt time.Time
	permitID        fleet.OrderID
	permit          permitState
	// retryAt is when a failed load may be tried again; tries counts failures
	// since the last success.
	retryAt      time.Time
	loadFailures int
	// members counts the running requests by member.
	runningByMember map[fleet.MemberID]int
	// serve is the average time that a request takes.
	avgServeTime movingAverage
}

// initialServe is assumed for the time of a request until some have ended.
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

// busy says that the replica has requests.
func (r *replica) busy() bool { return r.running > 0 || r.queue.len() > 0 }

// quiet says that the engine has reported the model without requests since
// its last one here ended.
func (r *replica) confirmedIdle() bool { return !r.busy() && r.engineIdleAsOf.After(r.lastUse) }

// assigned says that this incarnation has read that it may hold the model.
func (r *replica) assigned() bool {
	return r.assignmentKnown && r.assignment.State == AssignmentAssigned
}

// replica returns the replica of a model, cold when it is new.
func (s *State) modelReplica(model fleet.ModelID) *replica {
	r, ok := s.models[model]
	if !ok {
		r = newReplica(model)
		s.models[model] = r
	}
	return r
}

// target returns the replica that a request needs; nil when there is none.
func (s *State) targetReplica(t fleet.Target) *replica {
	if t.Service != "" {
		return s.services[t.Service]
	}
	return s.modelReplica(t.Model)
}

// advanceReplica does what is due for one replica.
func (s *State) advanceReplica(now time.Time, r *replica) {
	s.refuseLate(now, r)
	if r.service == "" {
		s.advanceLoad(now, r)
		s.loadMissingAdapters(now, r)
		s.advanceUnload(now, r)
	}
	s.startQueued(now, r)
}
