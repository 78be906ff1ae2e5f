package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/poison"
	"chervilreach/core/stock"
)

const (
	// judgeCount is the number of agents that judge the prompt parts of a service.
	judgeCount = 3
	// crashConfirmTime is how long after the end of an attempt its endpoint may be found to have
	// crashed, for the attempt to count as ended by the crash.
	crashConfirmTime = 5 * time.Second
	// answerSettleTime is how long an answer must have gone on before a crash for the endpoint not
	// to have crashed from it.
	answerSettleTime = 200 * time.Millisecond
	// verdictInterval is the shortest time between two reports of verdicts to one agent.
	verdictInterval = 200 * time.Millisecond
	// verdictRetryInterval is the time after which an agent that still lacks the same verdicts, and has
	// no older ones on their parts, is told them again. It may be of a version without verdicts.
	verdictRetryInterval = 10 * time.Second
	// maxVerdicts is the maximum number of verdicts that the router remembers, as many as an agent does.
	maxVerdicts = 256
	// crashResendTime is how long a crash is reported to agents that become judges.
	crashResendTime = time.Minute
	// objectionInterval is the shortest time between two reports of the same answered parts to one
	// agent.
	objectionInterval = 500 * time.Millisecond
	// maxSharedParts is the number of parts at the beginning of a prompt that are looked at. Callers choose
	// how many a prompt has.
	maxSharedParts = 64
	// maxReportedSuspects is the number of suspects that are reported of a crash, as many as a judge keeps.
	maxReportedSuspects = 256
	// maxLostAttempts and maxRecentCrashes bound the memory for crashes: the number of lost attempts
	// at one endpoint, and of crashes.
	maxLostAttempts  = 128
	maxRecentCrashes = 16
)

// lostAttempt is an attempt whose connection the endpoint closed before it had answered.
type lostAttempt struct {
	// attemptID is that of the request.
	attemptID      string
	sentAt, lostAt time.Time
	// suspects are the suspects in the request, without SentAt and Answering.
	suspects []poison.Suspect
	// answering reports whether the endpoint had begun to answer.
	answering bool
}

// recentCrash is a crash that was reported to the judges of a service.
type recentCrash struct {
	service string
	crash   poison.Crash
}

// poisonState is what the router knows of prompt parts that crash endpoints.
type poisonState struct {
	answered *poison.Answered
	verdicts map[poison.Part]poison.Verdict
	// crashes are the crashes that were reported to judges lately, crashCount the number of all so
	// far.
	crashes    []recentCrash
	crashCount int
}

func newPoisonState() poisonState {
	return poisonState{answered: poison.NewAnswered(), verdicts: make(map[poison.Part]poison.Verdict)}
}

// sharedParts returns the parts of the request's prompt that other prompts may contain: all but
// the last, at most maxSharedParts.
func (r *request) sharedParts() []PromptPart {
	if len(r.Prefix) < 2 {
		return nil
	}
	return r.Prefix[:min(len(r.Prefix)-1, maxSharedParts)]
}

// convictedPart returns the verdict on the request or on a part of its prompt for which it must be
// refused, and the part; zero for the whole request.
func (s *State) convictedPart(r *request) (PromptPart, poison.Verdict, bool) {
	if len(s.poison.verdicts) == 0 {
		return PromptPart{}, poison.Verdict{}, false
	}
	if v := s.poison.verdicts[r.Whole]; r.Whole != 0 && v.InForce(s.now) {
		return PromptPart{}, v, true
	}
	for _, p := range r.sharedParts() {
		if v := s.poison.verdicts[poison.PartOf(r.Service, p.ID)]; v.InForce(s.now) {
			return p, v, true
		}
	}
	return PromptPart{}, poison.Verdict{}, false
}

// refuseIfConvicted answers the request if it is convicted or its prompt has a convicted part.
func (s *State) refuseIfConvicted(r *request) bool {
	part, v, ok := s.convictedPart(r)
	if !ok {
		return false
	}
	s.emitCount("parts.refused")
	s.emit(PartRefused{ID: r.id, PartID: part.ID, Verdict: v})
	reason := PromptCrashes
	if v.Part == r.Whole {
		reason = RequestCrashes
	}
	s.refuseOrFail(r, reason, v.ExpiresAt())
	return true
}

// noteAnswered notes that the request does not crash endpoints. promptServed reports whether its
// prompt has been served, so that none of the parts does either.
func (s *State) noteAnswered(r *request, promptServed bool) {
	if r.Whole != 0 {
		s.poison.answered.Add(s.now, r.Whole)
	}
	if !promptServed {
		return
	}
	for _, p := range r.sharedParts() {
		s.poison.answered.Add(s.now, poison.PartOf(r.Service, p.ID))
	}
}

// noteLostAttempt notes an attempt whose connection the endpoint has closed, in case the endpoint
// has crashed.
func (s *State) noteLostAttempt(r *request, e *endpoint, ev AttemptEnded) {
	lost := lostAttempt{
		attemptID: r.AttemptID, sentAt: r.sentAt, lostAt: s.now, suspects: s.suspectsIn(r), answering: ev.HeadReceived,
	}
	switch {
	case !ev.Cut && s.endpoint(e.Instance) != e:
		s.discardLost(e, lossBrokenOff, lost)
		return
	case !ev.Cut:
		return
	case e.Leaving:
		s.discardLost(e, lossOfLeaving, lost)
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
	case e.Stock.Down:
		s.reportCrash(e, foundByAgent)
	case !e.hasAgent && !e.checkingPort:
		// No agent tells that the endpoint is gone, and the router may not use it again for long.
		e.checkingPort = true
		s.emit(CheckPort{Instance: e.Instance, Address: e.Address})
	}
}

// suspectsIn returns the suspects in a request: the whole request and the shared parts of its prompt,
// but for those that have been answered lately.
func (s *State) suspectsIn(r *request) []poison.Suspect {
	var suspects []poison.Suspect
	parts := r.sharedParts()
	for depth, p := range parts {
		suspects = append(suspects, poison.Suspect{Part: poison.PartOf(r.Service, p.ID), Depth: depth})
	}
	if r.Whole != 0 {
		suspects = append(suspects, poison.Suspect{Part: r.Whole, Depth: len(parts), Whole: true})
	}
	return slices.DeleteFunc(suspects, func(suspect poison.Suspect) bool { return s.poison.answered.Recently(s.now, suspect.Part) })
}

// handlePortChecked takes an endpoint whose host refuses connections for crashed, if the router has
// lost attempts there.
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
	s.reportCrash(e, foundByPort)
}

// lastLostAt returns the time at which the last attempt was lost that a crash may have ended; zero if
// there is none.
func (e *endpoint) lastLostAt() time.Time {
	if len(e.lostAttempts) == 0 {
		return time.Time{}
	}
	return e.lostAttempts[len(e.lostAttempts)-1].lostAt
}

// reportedUpSince reports whether the endpoint's agent has reported it as up since the given time.
func (e *endpoint) reportedUpSince(at time.Time) bool {
	return e.hasAgent && !e.Stock.Down && e.reportedAt.After(at)
}

// reportCrash reports the crash of an endpoint to the judges, with the parts of the requests that
// were lost in it. It does nothing if the router has lost none.
func (s *State) reportCrash(e *endpoint, source crashSource) {
	s.discardOldLost(e)
	lost := e.lostAttempts
	e.lostAttempts = nil
	if len(lost) == 0 {
		return
	}
	c := poison.Crash{Instance: e.Instance, At: lost[0].lostAt, Suspects: suspectsOf(lost)}
	s.emitCount("crashes")
	s.emit(EndpointCrashed{Endpoint: e.Instance, Lost: len(lost), LostAt: c.At, Suspects: c.Suspects, Source: source})
	if len(c.Suspects) == 0 {
		return
	}
	if len(s.poison.crashes) >= maxRecentCrashes {
		s.poison.crashes = s.poison.crashes[1:]
	}
	s.poison.crashes = append(s.poison.crashes, recentCrash{e.Service, c})
	s.poison.crashCount++
	s.informJudges()
	s.followUpdatePending = s.followUpdatePending || s.followsSubset()
}

// suspectsOf merges the suspects of lost attempts, sorted by part. If there are too many, those of
// requests that the endpoint had begun to answer are kept.
func suspectsOf(lost []lostAttempt) []poison.Suspect {
	merged := make(map[poison.Part]poison.Suspect)
	for _, a := range lost {
		for _, suspect := range a.suspects {
			old := merged[suspect.Part]
			suspect.SentAt, suspect.Answering = laterTime(a.sentAt, old.SentAt), a.answering || old.Answering
			suspect.Depth = max(suspect.Depth, old.Depth)
			merged[suspect.Part] = suspect
		}
	}
	list := make([]poison.Suspect, 0, len(merged))
	for _, suspect := range merged {
		list = append(list, suspect)
	}
	slices.SortFunc(list, func(a, b poison.Suspect) int {
		if a.Answering != b.Answering {
			return lo.Ternary(a.Answering, -1, 1)
		}
		return cmp.Compare(a.Part, b.Part)
	})
	list = list[:min(len(list), maxReportedSuspects)]
	slices.SortFunc(list, func(a, b poison.Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// recentCrashes forgets crashes from before crashResendTime and returns the others.
func (s *State) recentCrashes() []recentCrash {
	since := s.now.Add(-crashResendTime)
	s.poison.crashes = slices.DeleteFunc(s.poison.crashes, func(c recentCrash) bool { return c.crash.At.Before(since) })
	return s.poison.crashes
}

// spreadVerdicts tells an agent the verdicts that its last report lacks. Agents tell them to the
// other routers that follow them.
func (s *State) spreadVerdicts(e *endpoint) {
	if len(s.poison.verdicts) == 0 || s.now.Before(e.toldVerdictsAt.Add(verdictInterval)) {
		return
	}
	var lacking []poison.Verdict
	outdated := false
	for _, part := range slices.Sorted(maps.Keys(s.poison.verdicts)) {
		v := s.poison.verdicts[part]
		if !s.now.Before(v.ExpiresAt()) {
			delete(s.poison.verdicts, part)
			continue
		}
		i := slices.IndexFunc(e.Stock.Verdicts, func(known poison.Verdict) bool { return known.Part == part })
		if i < 0 || v.Supersedes(e.Stock.Verdicts[i]) {
			lacking = append(lacking, v)
			outdated = outdated || i >= 0
		}
	}
	if !outdated && slices.EqualFunc(lacking, e.toldVerdicts, poison.Verdict.Equal) && s.now.Before(e.toldVerdictsAt.Add(verdictRetryInterval)) {
		return
	}
	if len(lacking) > 0 {
		e.toldVerdicts, e.toldVerdictsAt = lacking, s.now
		s.emit(ReportVerdicts{Agent: e.Instance, Verdicts: lacking})
	}
}

// applyVerdicts adopts the verdicts in the report of an agent, tells it those that it lacks, and
// objects to verdicts on parts, and to suspects, that endpoints have answered.
func (s *State) applyVerdicts(e *endpoint, r stock.Report) {
	var answered []poison.Part
	for _, p := range r.Suspects {
		if s.poison.answered.Recently(s.now, p) {
			answered = append(answered, p)
		}
	}
	changed := false
	for _, v := range r.Verdicts {
		if v.InForce(s.now) && s.poison.answered.Recently(s.now, v.Part) {
			answered = append(answered, v.Part)
			continue
		}
		if old, ok := s.poison.verdicts[v.Part]; ok && !v.Supersedes(old) {
			continue
		}
		s.poison.setVerdict(v)
		changed = true
		s.emit(VerdictChanged{Verdict: v, Source: e.Instance})
	}
	if isNew := len(lo.Without(answered, e.objectedTo...)) > 0; isNew || len(answered) > 0 && !s.now.Before(e.objectedAt.Add(objectionInterval)) {
		e.objectedTo, e.objectedAt = answered, s.now
		s.emit(ReportAnswered{Judge: e.Instance, Parts: answered})
	}
	if !changed {
		return
	}
	s.spreadVerdictsToAll()
	s.abortConvicted()
	s.dispatchWaiting()
}

// spreadVerdictsToAll tells each connected agent the verdicts that its last report lacks, without
// regard to the time at which it was last told some.
func (s *State) spreadVerdictsToAll() {
	for _, e := range s.endpoints {
		if e.hasAgent {
			e.toldVerdictsAt = time.Time{}
			s.spreadVerdicts(e)
		}
	}
}

// handlePartAcquitted lifts a conviction, at all processes in the end. The evidence from before
// counts no more.
func (s *State) handlePartAcquitted(ev PartAcquitted) {
	if !s.poison.verdicts[ev.Part].InForce(s.now) {
		return
	}
	v := poison.Verdict{Part: ev.Part, DecidedAt: s.now, Lifted: true}
	s.poison.verdicts[ev.Part] = v
	s.emit(VerdictChanged{Verdict: v})
	s.spreadVerdictsToAll()
}

// setVerdict sets a verdict. If there are too many, the oldest one is dropped.
func (p *poisonState) setVerdict(v poison.Verdict) {
	p.verdicts[v.Part] = v
	if len(p.verdicts) > maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(p.verdicts)), func(a, b poison.Verdict) int {
			return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), cmp.Compare(a.Part, b.Part))
		})
		delete(p.verdicts, oldest.Part)
	}
}

// abortConvicted aborts the attempts of requests with convicted parts that have no answer yet.
func (s *State) abortConvicted() {
	for _, r := range s.sortedRequests() {
		if _, _, convicted := s.convictedPart(r); convicted && r.target != nil && !r.answerBegan {
			s.emitCount("attempts.broken-off")
			s.emit(AbortAttempt{ID: r.id, Try: r.attemptCount})
		}
	}
}
