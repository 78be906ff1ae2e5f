package agent

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// startQueued starts queued requests until MaxRunning requests run on the replica.
func (s *State) startQueued(now time.Time, rep *replica) {
	if rep.stage != stageWarm {
		return
	}
	ready := func(r *request) bool { return rep.adapterReady(r.offer.Target.Adapter) }
	for rep.runningRequests < s.opt.MaxRunning {
		r := rep.queue.popNext(ready, s.memberRunning(rep))
		if r == nil {
			return
		}
		s.startRequest(now, rep, r)
	}
}

func (s *State) startRequest(now time.Time, rep *replica, r *request) {
	r.phase = phaseStarted
	r.startedAt = now
	s.updateQueueTotals(r, -1)
	s.runningRequests++
	rep.runningRequests++
	rep.lastUse = now
	rep.addRunning(r.offer.Member, 1)
	s.emit(StartRequest{ID: r.offer.ID, Target: r.offer.Target, NotAfter: now.Add(maxStartDelay)})
}

// memberRunning returns a function that counts the requests of a member running on the
// replica.
func (s *State) memberRunning(rep *replica) func(fleet.MemberID) int {
	return func(m fleet.MemberID) int { return rep.runningByMember[m] }
}

// addRunning adds n to the number of running requests of a member.
func (r *replica) addRunning(m fleet.MemberID, n int) {
	if r.runningByMember == nil {
		r.runningByMember = make(map[fleet.MemberID]int)
	}
	r.runningByMember[m] += n
	if r.runningByMember[m] == 0 {
		delete(r.runningByMember, m)
	}
}

// expectedFirstByte estimates when a new request to the replica would get its first byte,
// taking into account the remaining time of the model load and the requests ahead of it.
func (s *State) expectedFirstByte(now time.Time, rep *replica) time.Time {
	ready := s.expectedReadyAt(now, rep)
	batches := (rep.runningRequests + rep.queue.len()) / max(s.opt.MaxRunning, 1)
	return ready.Add(time.Duration(batches) * rep.avgServeTime.value)
}

// expectedReadyAt estimates when a replica will be warm; it returns now if it is.
func (s *State) expectedReadyAt(now time.Time, rep *replica) time.Time {
	switch rep.stage {
	case stageLoading, stageWaiting, stageDoubtful:
		if rep.readyAt.After(now) {
			return rep.readyAt
		}
	case stageCold, stageUnloading:
		if rep.retryAt.After(now) {
			return rep.retryAt.Add(s.avgLoadTime.value)
		}
		return now.Add(s.avgLoadTime.value)
	case stageWarm:
	}
	return now
}

func (s *State) handleAnswerBegan(now time.Time, id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseStarted || r.answerBegun {
		return
	}
	r.answerBegun = true
	if now.After(r.offer.Deadline) {
		s.count("late-first-byte")
	}
}

func (s *State) handleAnswerEnded(now time.Time, id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseStarted {
		return
	}
	s.count("answered")
	s.endRequest(now, r, phaseDone)
	s.targetReplica(r.offer.Target).avgServeTime.add(now.Sub(r.startedAt))
}

// handleDelivered removes a delivered request from the journal if no one can need it any
// more: it is idempotent, so a delayed repetition of its offer does no harm, and it has no idempotency key under
// which its answer could be requested again.
func (s *State) handleDelivered(id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseDone || !r.offer.Idempotent || r.offer.KeepAnswer {
		return
	}
	s.journal.expiry.Remove(id)
	delete(s.journal.requests, id)
	s.emit(DropAnswer{ID: id})
}

func (s *State) handleAnswerFailed(now time.Time, ev AnswerFailed) {
	r, ok := s.journal.requests[ev.ID]
	if !ok || r.phase != phaseStarted {
		return
	}
	refusal := fleet.Refusal{Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse, Detail: ev.Detail}
	switch {
	case !ev.Sent:
		refusal.NotRun = fleet.NotRunTrue
	case !r.answerBegun:
		refusal.Code = fleet.CodeOutcomeUnknown
		refusal.NotRun = fleet.NotRunUnknown
	}
	r.refusal = refusal
	s.emit(event.Count{Name: "agent.refused." + string(refusal.Code), N: 1})
	s.endRequest(now, r, phaseFailed)
	s.emit(RefuseAnswer{ID: ev.ID, Refusal: refusal})
}

// endRequest moves a running request to a final phase and updates the running counts.
func (s *State) endRequest(now time.Time, r *request, p phase) {
	rep := s.targetReplica(r.offer.Target)
	rep.runningRequests--
	rep.lastUse = now
	rep.addRunning(r.offer.Member, -1)
	s.runningRequests--
	s.journal.finish(now, r, p)
}
