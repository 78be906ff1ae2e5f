package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// assignmentsRead takes in all assignments of this endpoint; a model that is
// not listed is not placed here.
func (s *State) handleAssignmentsRead(ev AssignmentsRead) {
	if ev.Err || ev.AskedAt.Before(s.pausedAt) {
		s.count("assignments-unread")
		return
	}
	s.assignmentsKnown = true
	listed := make(map[fleet.ModelID]bool, len(ev.Assignments))
	for _, a := range ev.Assignments {
		listed[a.Model] = true
		s.updateAssignment(s.modelReplica(a.Model), a)
	}
	for _, r := range s.replicas() {
		if r.service == "" && !listed[r.model] && !r.assignmentKnown {
			s.updateAssignment(r, Assignment{Model: r.model, State: AssignmentNone})
		}
	}
}

// assignmentRead takes in one assignment. When it can't be learnt, requests
// that wait for it are refused: without it the model must not be loaded.
func (s *State) handleAssignmentRead(now time.Time, ev AssignmentRead) {
	r := s.modelReplica(ev.Assignment.Model)
	r.assignmentReadPending = false
	if !ev.Err && !ev.AskedAt.Before(s.pausedAt) {
		s.updateAssignment(r, ev.Assignment)
		return
	}
	s.count("assignments-unread")
	if r.assignmentKnown || r.stage != stageCold {
		return
	}
	s.refuseAllQueued(now, r, notRunRefusal(fleet.CodeKVUnavailable,
		"the endpoint can't confirm that it may load the model", now.Add(retryDelay)))
}

// learn takes in an assignment unless a later one was read before. A model
// without a placement has generation 0.
func (s *State) updateAssignment(r *replica, a Assignment) {
	if a.Generation < r.assignment.Generation && (r.assignmentKnown || a.Generation > 0) {
		s.count("assignments-stale")
		return
	}
	if !r.assignmentKnown || r.assignment.State != a.State {
		s.note("assignment-"+string(a.State), a.Model, "")
	}
	r.assignmentKnown = true
	r.assignment = a
}

// assignPushed answers how far the assignment has got here, after reading it
// when the hint is newer than what is known.
func (s *State) handleAssignPushed(now time.Time, ev AssignPushed) {
	r := s.modelReplica(ev.Model)
	if !r.assignmentKnown || r.assignment.Generation < ev.Generation {
		s.readAssignment(now, r)
	}
	s.emit(AnswerAssign{
		Conn: ev.Conn, Model: ev.Model, Generation: r.assignment.Generation, State: s.assignAnswer(now, r),
	})
}

// assignState answers for what has been read, never for a hint. Released is
// said only by the confirmed agent of an engine whose state is known: a
// successor may hold the model meanwhile, or a predecessor's order load it.
func (s *State) assignAnswer(now time.Time, r *replica) AssignAnswer {
	switch {
	case !r.assignmentKnown || !s.confirmed:
		return AssignUnconfirmed
	case r.assigned():
		return AssignConfirmed
	case r.stage == stageCold && s.canSendOrders(now) && !s.hasPendingOrder(r.model):
		return AssignReleased
	}
	return AssignUnconfirmed
}
