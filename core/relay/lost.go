package relay

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/poison"
)

// A crash is known by two things: the endpoint closed the connections of attempts before it had answered, and its
// incarnation has ended. Several sources tell of the end, and each may come before or after the attempts,
// so the router remembers both and reports the crash with whichever comes second.

const (
	// crashConfirmTime is how long after one of the two the other may come.
	crashConfirmTime = 5 * time.Second
	// removalGrace is how long after the removal of its entry an endpoint that did not say that it leaves may break
	// off attempts because it has crashed. One that leaves without a word serves for longer than that.
	removalGrace = time.Second
	// answerSettleTime is how long an answer must have gone on before a crash for the endpoint not
	// to have crashed from it.
	answerSettleTime = 200 * time.Millisecond
	// staleReportTime is how old an agent's knowledge of its endpoint may be when it reports.
	staleReportTime = 500 * time.Millisecond
	// maxLostAttempts bounds the number of lost attempts at one endpoint that are remembered.
	maxLostAttempts = 128
)

// lostAttempt is an attempt whose connection the endpoint closed before it had answered.
type lostAttempt struct {
	// attemptID is that of the request.
	attemptID string
	lostAt    time.Time
	suspects  []poison.Suspect
}

// incarnationEnd is the end of an endpoint's incarnation as told by source. It accounts for attempts that are lost
// until the time until; zero if the incarnation is not known to have ended.
type incarnationEnd struct {
	source crashSource
	until  time.Time
	// counted reports whether a crash has been counted.
	counted bool
}

// crashSource is how the end of an incarnation is known, for the log.
type crashSource string

const (
	// foundByAgent: the endpoint's agent reports that it refuses connections.
	foundByAgent crashSource = "agent"
	// foundByRestart: the agent reports another instance.
	foundByRestart crashSource = "agent-restart"
	// foundByPort: its port refuses the connection of a check, foundByRefusal: that of an attempt.
	foundByPort    crashSource = "port"
	foundByRefusal crashSource = "refusal"
	// foundByAnswer: another instance answers at the address.
	foundByAnswer crashSource = "answer"
	// foundByAddress: another endpoint is listed at the address, foundByIncarnation: another incarnation under
	// the name.
	foundByAddress     crashSource = "address"
	foundByIncarnation crashSource = "incarnation"
	// foundByRemoval: its entry has been removed.
	foundByRemoval crashSource = "entry-removed"
)

// lossReason is why a lost attempt does not count as a crash of its endpoint, for the log and the
// counters.
type lossReason string

const (
	// lossOfLeaving: the endpoint was leaving.
	lossOfLeaving lossReason = "leaving"
	// lossAfterAnswer: the answer had gone on for answerSettleTime.
	lossAfterAnswer lossReason = "answer-begun"
	// lossWithoutEnd: no source told within crashConfirmTime that the endpoint had ended.
	lossWithoutEnd lossReason = "no-end"
	// lossTooMany: the endpoint had lost maxLostAttempts since.
	lossTooMany lossReason = "too-many"
	// lossAfterEnd: the attempt was sent after the endpoint had ended.
	lossAfterEnd lossReason = "after-end"
)

// maxEndedIncarnations bounds the number of ended incarnations that are remembered.
const maxEndedIncarnations = 8192

// incarnationKey identifies an incarnation of an endpoint.
type incarnationKey struct {
	instance string
	// born is EndpointEntry.Born.
	born int64
}

// LossDiscarded reports that an attempt whose connection its endpoint closed does not count as a crash, for the
// log.
type LossDiscarded struct {
	AttemptID, Endpoint string
	LostAt              time.Time
	Suspects            []poison.Suspect
	Reason              lossReason
}

// Kind implements event.Effect.
func (LossDiscarded) Kind() string { return "relay-loss-discarded" }

// noteLostAttempt notes an attempt whose connection the endpoint has closed, or that the router has broken off as the
// endpoint has ended. If that is not known, the router looks whether the endpoint's port refuses connections.
func (s *State) noteLostAttempt(r *request, e *endpoint, ev AttemptEnded) {
	endedBefore := r.brokenOff && s.hasEnded(e)
	if !ev.Cut && !endedBefore {
		return
	}
	lost := lostAttempt{attemptID: r.AttemptID, lostAt: s.now, suspects: s.suspectsIn(r, ev.HeadReceived)}
	listed := s.endpoint(e.Instance) == e
	switch {
	case e.saysLeaving(), !listed && !s.hasEnded(e):
		s.discardLost(e, lossOfLeaving, lost)
		return
	case s.sentAfterEnd(r, e, ev):
		s.discardLost(e, lossAfterEnd, lost)
		return
	case r.answerBegan && !s.now.Before(r.answerBeganAt.Add(answerSettleTime)):
		s.discardLost(e, lossAfterAnswer, lost)
		return
	}
	s.discardOldLost(e)
	if len(e.lostAttempts) >= maxLostAttempts {
		s.discardLost(e, lossTooMany, e.lostAttempts[0])
		e.lostAttempts = e.lostAttempts[1:]
	}
	e.lostAttempts = append(e.lostAttempts, lost)
	switch {
	case s.hasEnded(e):
		s.reportCrash(e)
	case e.Stock.Down:
		s.endIncarnation(e, foundByAgent)
	case s.hasSuccessor(e):
		s.endIncarnation(e, foundByAddress)
	case !e.checkingPort:
		e.checkingPort = true
		s.emit(CheckPort{Instance: e.Instance, Address: e.Address})
	}
}

// sentAfterEnd reports whether the attempt was sent after the endpoint's incarnation had ended. An entry of the past
// lists such an incarnation again, as when the store comes back from an older copy. The router knew of the end and has
// had no sign of life since; or it has never had one, and neither has the endpoint closed the connection.
func (s *State) sentAfterEnd(r *request, e *endpoint, ev AttemptEnded) bool {
	switch {
	case ev.HeadReceived:
		return false
	case e.aliveAt.IsZero() && !ev.Cut:
		return true
	case e.endedAt.IsZero() || !e.HasModels && e.Born == 0:
		return false // An instance that has no start may run again under its name.
	default:
		return !r.sentAt.Before(e.endedAt) && !e.aliveAt.After(e.endedAt)
	}
}

// noteSignOfLife notes whether an attempt ended with a sign of life of the endpoint.
func (e *endpoint) noteSignOfLife(ev AttemptEnded, now time.Time) {
	answered := ev.Result == Done || ev.Result == Shed || ev.Result == ModelMissing || ev.Result == Failed
	if answered || ev.HeadReceived {
		e.aliveAt = now
	}
}

// hasEnded reports whether the endpoint's incarnation is known to have ended lately.
func (s *State) hasEnded(e *endpoint) bool { return s.now.Before(e.end.until) }

// hasSuccessor reports whether a later incarnation than the endpoint's is listed at its address: one that was born
// later, or was listed later if that is not known of both.
func (s *State) hasSuccessor(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		switch {
		case o == e || o.Address != e.Address:
			return false
		case o.Born != 0 && e.Born != 0:
			return o.Born > e.Born
		default:
			return o.listedAt.After(e.listedAt)
		}
	})
}

// endIncarnation notes that the endpoint's incarnation has ended, and reports the crash if attempts were lost there.
func (s *State) endIncarnation(e *endpoint, source crashSource) {
	if e.endedAt.IsZero() || e.aliveAt.After(e.endedAt) {
		e.endedAt = s.now
	}
	s.endedIncarnations.Put(incarnationKey{e.Instance, e.Born}, e.endedAt)
	e.end.source, e.end.until = source, s.now.Add(crashConfirmTime)
	if source == foundByRemoval {
		e.end.until = s.now.Add(removalGrace)
	}
	if e.saysLeaving() {
		s.discardLost(e, lossOfLeaving, e.lostAttempts...)
		e.lostAttempts = nil
	}
	s.reportCrash(e)
}

// endReplaced notes the end of each listed endpoint that has lost attempts and whose address a later incarnation has.
func (s *State) endReplaced() {
	for _, e := range s.endpoints {
		if len(e.lostAttempts) > 0 && s.hasSuccessor(e) {
			s.endIncarnation(e, foundByAddress)
		}
	}
}

// saysLeaving reports whether the endpoint, its agent or its entry says that it is leaving.
func (e *endpoint) saysLeaving() bool { return e.leaving.listed || e.leaving.agent || e.self.leaving }

// handlePortChecked ends an endpoint whose host refuses connections.
func (s *State) handlePortChecked(ev PortChecked) {
	s.noteReachable(ev)
	e := s.endpoint(ev.Instance)
	if e == nil {
		return
	}
	e.checkingPort = false
	if !ev.Refused || e.Leaving {
		return
	}
	e.ejectedUntil = s.now.Add(unreachableDuration)
	s.endIncarnation(e, foundByPort)
}

// reportedUpSinceLoss reports whether the endpoint's agent has reported it as up since the last attempt was lost, so
// that a refused connection is no word of its end.
func (e *endpoint) reportedUpSinceLoss() bool {
	if len(e.lostAttempts) == 0 {
		return false
	}
	lostAt := e.lostAttempts[len(e.lostAttempts)-1].lostAt
	return e.hasAgent && !e.Stock.Down && e.reportedAt.After(lostAt.Add(staleReportTime))
}

// reportCrash reports the crash of an endpoint that has ended to the judges, with the suspects in the attempts
// that were lost in it. It does nothing if the router has lost none.
func (s *State) reportCrash(e *endpoint) {
	s.discardOldLost(e)
	lost := e.lostAttempts
	e.lostAttempts = nil
	if len(lost) == 0 {
		return
	}
	suspects := mergeSuspects(lo.FlatMap(lost, func(a lostAttempt, _ int) []poison.Suspect { return a.suspects }))
	c := poison.Crash{Instance: e.Instance, At: lost[0].lostAt, Suspects: suspects}
	if e.Born != 0 {
		c.AliveAt = e.aliveAt
	}
	if !e.end.counted {
		e.end.counted = true
		s.emitCount("crashes")
	}
	s.emit(EndpointCrashed{Endpoint: e.Instance, Lost: len(lost), LostAt: c.At, Suspects: c.Suspects, Source: e.end.source})
	if len(c.Suspects) == 0 {
		return
	}
	s.addRecentCrash(e.Service, c)
	s.informJudges()
	s.followUpdatePending = s.followUpdatePending || s.followsSubset()
}

// discardLost reports lost attempts at an endpoint that do not count as its crash.
func (s *State) discardLost(e *endpoint, reason lossReason, lost ...lostAttempt) {
	for _, a := range lost {
		s.emitCount("losses-discarded." + string(reason))
		s.emit(LossDiscarded{AttemptID: a.attemptID, Endpoint: e.Instance, LostAt: a.lostAt, Suspects: a.suspects, Reason: reason})
	}
}

// discardOldLost forgets the attempts that an endpoint lost too long ago for its crash to have ended them.
func (s *State) discardOldLost(e *endpoint) {
	since := s.now.Add(-crashConfirmTime)
	e.lostAttempts = slices.DeleteFunc(e.lostAttempts, func(a lostAttempt) bool {
		if !a.lostAt.Before(since) {
			return false
		}
		s.discardLost(e, lossWithoutEnd, a)
		return true
	})
}
