package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// handleAssignmentsRead applies the list of all assignments of this endpoint. A model
// that is not listed is not placed here.
func (s *State) handleAssignmentsRead(ev AssignmentsRead) {
	if ev.Failed || ev.RequestedAt.Before(s.pausedAt) {
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

// handleAssignmentRead applies a single assignment. If it could not be read, requests
// queued for a cold model are refused, because a model must not be loaded while its
// assignment is unknown.
func (s *State) handleAssignmentRead(now time.Time, ev AssignmentRead) {
	r := s.modelReplica(ev.Assignment.Model)
	r.assignmentReadPending = false
	if !ev.Failed && !ev.RequestedAt.Before(s.pausedAt) {
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

// updateAssignment stores an assignment unless a later generation is already known. A
// model without a placement has generation 0, which is also accepted if the assignment
// has not been read since the start or the last pause.
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

// handleAssignmentPushed answers with the state of the assignment at this agent. If the
// pushed generation is newer than the known one, it also requests a read.
func (s *State) handleAssignmentPushed(now time.Time, ev AssignmentPushed) {
	r := s.modelReplica(ev.Model)
	if !r.assignmentKnown || r.assignment.Generation < ev.Generation {
		s.requestAssignmentRead(now, r)
	}
	s.emit(AnswerAssignment{
		StreamID: ev.StreamID, Model: ev.Model, Generation: r.assignment.Generation, State: s.assignmentAnswer(now, r),
	})
}

// assignmentAnswer returns the state of the model's assignment, based only on what was read
// from the key-value service and never on a pushed hint. It returns AssignmentReleased only if
// the incarnation is confirmed and the engine's state is known: otherwise a successor may hold
// the model, or a predecessor's order may still load it.
func (s *State) assignmentAnswer(now time.Time, r *replica) AssignmentAnswer {
	switch {
	case !r.assignmentKnown || !s.incarnationConfirmed:
		return AssignmentUnconfirmed
	case r.assigned():
		return AssignmentConfirmed
	case r.stage == stageCold && s.canSendOrders(now) && !s.hasPendingOrder(r.model):
		return AssignmentReleased
	}
	return AssignmentUnconfirmed
}
