package agent

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// startQueued sends queued requests to the engine as far as there is room.
func (s *State) startQueued(now time.Time, rep *replica) {
	if rep.stage != stageWarm {
		return
	}
	ready := func(r *request) bool { return rep.adapterReady(r.offer.Target.Adapter) }
	for rep.running < s.opt.MaxRunning {
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
	s.countQueued(r, -1)
	s.running++
	rep.running++
	rep.lastUse = now
	rep.countRunning(r.offer.Member, 1)
	s.emit(StartStream{ID: r.offer.ID, Target: r.offer.Target, NotAfter: now.Add(maxStartDelay)})
}

// runningOf returns how many requests of a member run on a replica.
func (s *State) memberRunning(rep *replica) func(fleet.MemberID) int {
	return func(m fleet.MemberID) int { return rep.runningByMember[m] }
}

// addMember counts the running requests of a member.
func (r *replica) countRunning(m fleet.MemberID, n int) {
	if r.runningByMember == nil {
		r.runningByMember = make(map[fleet.MemberID]int)
	}
	r.runningByMember[m] += n
	if r.runningByMember[m] == 0 {
		delete(r.runningByMember, m)
	}
}

// expected estimates when a new request of the replica would get its first
// byte: after the load, and after those that wait before it.
func (s *State) expectedFirstByte(now time.Time, rep *replica) time.Time {
	ready := s.expectedReadyAt(now, rep)
	waves := (rep.running + rep.queue.len()) / max(s.opt.MaxRunning, 1)
	return ready.Add(time.Duration(waves) * rep.avgServeTime.value)
}

// readyAt estimates when a replica will be warm.
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

func (s *State) handleStreamBegan(now time.Time, id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseStarted || r.streamBegun {
		return
	}
	r.streamBegun = true
	if now.After(r.offer.Deadline) {
		s.count("late-first-byte")
	}
}

func (s *State) handleStreamEnded(now time.Time, id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseStarted {
		return
	}
	s.count("answered")
	s.endRequest(now, r, phaseDone)
	s.targetReplica(r.offer.Target).avgServeTime.add(now.Sub(r.startedAt))
}

// delivered forgets a request that nobody asks for any more: it is idempotent,
// so that a late copy does no harm, and has no key to come back with.
func (s *State) handleDelivered(id fleet.RequestID) {
	r, ok := s.journal.requests[id]
	if !ok || r.phase != phaseDone || !r.offer.Idempotent || r.offer.Keep {
		return
	}
	s.journal.expiry.Drop(id)
	delete(s.journal.requests, id)
	s.emit(DropAnswer{ID: id})
}

func (s *State) handleStreamFailed(now time.Time, ev StreamFailed) {
	r, ok := s.journal.requests[ev.ID]
	if !ok || r.phase != phaseStarted {
		return
	}
	refusal := fleet.Refusal{Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse, Detail: ev.Detail}
	switch {
	case !ev.Sent:
		refusal.NotRun = fleet.NotRunTrue
	case !r.streamBegun:
		refusal.Code = fleet.CodeOutcomeUnknown
		refusal.NotRun = fleet.NotRunUnknown
	}
	r.refusal = refusal
	s.emit(event.Count{Name: "agent.refused." + string(refusal.Code), N: 1})
	s.endRequest(now, r, phaseFailed)
	s.emit(RefuseAnswer{ID: ev.ID, Refusal: refusal})
}

// endRequest gives back what a running request held.
func (s *State) endRequest(now time.Time, r *request, p phase) {
	rep := s.targetReplica(r.offer.Target)
	rep.running--
	rep.lastUse = now
	rep.countRunning(r.offer.Member, -1)
	s.running--
	s.journal.finish(now, r, p)
}
