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
	// maxRecentCrashes bounds the memory for crashes.
	maxRecentCrashes = 16
)

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

// suspectsIn returns the suspects in the attempt at a request: the whole request and the shared parts of its prompt,
// but for those that have been answered lately. answering reports whether the endpoint had begun to answer.
func (s *State) suspectsIn(r *request, answering bool) []poison.Suspect {
	var suspects []poison.Suspect
	parts := r.sharedParts()
	for depth, p := range parts {
		suspects = append(suspects, poison.Suspect{Part: poison.PartOf(r.Service, p.ID), SentAt: r.sentAt, Depth: depth, Answering: answering})
	}
	if r.Whole != 0 {
		suspects = append(suspects, poison.Suspect{Part: r.Whole, SentAt: r.sentAt, Depth: len(parts), Answering: answering, Whole: true})
	}
	return slices.DeleteFunc(suspects, func(suspect poison.Suspect) bool { return s.poison.answered.Recently(s.now, suspect.Part) })
}

// mergeSuspects merges the suspects of one crash, sorted by part. If there are too many, those of requests that
// the endpoint had begun to answer are kept.
func mergeSuspects(suspects []poison.Suspect) []poison.Suspect {
	merged := make(map[poison.Part]poison.Suspect)
	for _, suspect := range suspects {
		old := merged[suspect.Part]
		suspect.SentAt, suspect.Answering = laterTime(suspect.SentAt, old.SentAt), suspect.Answering || old.Answering
		suspect.Depth = max(suspect.Depth, old.Depth)
		merged[suspect.Part] = suspect
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

// addRecentCrash adds a crash to those that are reported to judges. What was reported of it before is replaced. An
// instance may crash again later, as another incarnation.
func (s *State) addRecentCrash(service string, c poison.Crash) {
	known := slices.IndexFunc(s.poison.crashes, func(o recentCrash) bool {
		return o.service == service && o.crash.Instance == c.Instance && c.At.Sub(o.crash.At) <= crashConfirmTime
	})
	if known >= 0 {
		before := s.poison.crashes[known].crash
		c.At, c.Suspects = before.At, mergeSuspects(append(slices.Clone(before.Suspects), c.Suspects...))
		s.poison.crashes = slices.Delete(s.poison.crashes, known, known+1)
	}
	if len(s.poison.crashes) >= maxRecentCrashes {
		s.poison.crashes = s.poison.crashes[1:]
	}
	s.poison.crashes = append(s.poison.crashes, recentCrash{service, c})
	s.poison.crashCount++
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
