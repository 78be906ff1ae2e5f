package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// A sound endpoint may fall silent for a while and go on. Silence does not end an attempt: it makes
// the router ask for evidence of the run, see runcheck.go, and the attempt goes on meanwhile.

const (
	// stuckReserve is the part of the time for which a caller waits that is left for the rest of the answer
	// at another endpoint when a run that makes no progress is given up.
	stuckReserve = 0.25
	// soundSilence is the longest silence of an endpoint that works. A run that its endpoint lists is not
	// given up before.
	soundSilence = 2 * time.Second
)

// AttemptSilent reports that Send.FirstBy or Send.MaxGap is exceeded. The attempt goes on.
type AttemptSilent struct {
	ID RequestID
	// Try is the number of the attempt, Number that of the silence within the request, from 1.
	Try, Number int
	// Since is when the attempt's last event was received, or the attempt sent.
	Since time.Time
}

// Kind implements event.Event.
func (AttemptSilent) Kind() string { return "relay-silent" }

// Routine implements event.Routine.
func (AttemptSilent) Routine() {}

// AttemptResumed reports that an event has ended the silence of an attempt.
type AttemptResumed struct {
	ID RequestID
	// Number is AttemptSilent.Number.
	Number int
}

// Kind implements event.Event.
func (AttemptResumed) Kind() string { return "relay-resumed" }

// Routine implements event.Routine.
func (AttemptResumed) Routine() {}

// Decision is what the router does with a silent attempt.
type Decision string

// Decisions on silent attempts.
const (
	// waited means that the attempt goes on.
	waited Decision = "wait"
	// resumed means that an event has ended the silence.
	resumed Decision = "resumed"
	// runEnded means that the endpoint no longer has the run, processEnded that its process has ended.
	runEnded     Decision = "run-ended"
	processEnded Decision = "process-ended"
	// unreachable means that no connection to the endpoint can be opened while others answer.
	unreachable Decision = "unreachable"
	// stuck means that the endpoint answers and the run makes no progress until its caller is about to
	// leave.
	stuck Decision = "stuck"
	// retriedSafe means that the request may run twice and another endpoint can take it.
	retriedSafe Decision = "retry-safe"
)

// SilenceJudged reports a decision on a silent attempt, for the log.
type SilenceJudged struct {
	ID       RequestID
	Endpoint string
	Decision Decision
	Since    time.Time
	// Run is the last answer on the run; empty if there is none yet.
	Run stock.RunState
}

// Kind implements event.Effect.
func (SilenceJudged) Kind() string { return "relay-silence-judged" }

// Routine implements event.Routine.
func (SilenceJudged) Routine() {}

// silence is the silence of an attempt.
type silence struct {
	number int
	since  time.Time
	check  runCheck
	// given is the decision for which the attempt has been aborted; empty if it has not.
	given Decision
}

// silenceLimits returns the time by which the first part of an answer is expected, and the longest
// expected pause between two events of a stream; zero means no limit. Requests that must not be
// repeated have none, as nothing can be done about their silence.
func (s *State) silenceLimits(r *request) (time.Time, time.Duration) {
	if !r.Route.Idempotent() {
		return time.Time{}, 0
	}
	if r.Route.Kind != route.Stream {
		return s.now.Add(max(safeObjectiveFactor*r.Route.Objective, minSafeTimeout)), 0
	}
	firstBy := s.now.Add(max(r.Route.Objective/silenceObjectiveDivisor, minSilence))
	return firstBy, max(silenceGapFactor*r.Route.MaxGap, minSilence)
}

func (s *State) handleAttemptSilent(ev AttemptSilent) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil || r.attemptCount != ev.Try {
		return
	}
	r.silence = &silence{number: ev.Number, since: ev.Since, check: runCheck{endpoint: r.target}}
	s.checked[r.id] = r
	s.followUpdatePending = s.followUpdatePending || s.followsSubset() && !r.target.hasAgent
	s.emitCount("silences")
	s.judge(r, waited)
	s.judgeSilence(r)
}

func (s *State) handleAttemptResumed(ev AttemptResumed) {
	r := s.requests[ev.ID]
	if r == nil || r.silence == nil || r.silence.number != ev.Number {
		return
	}
	s.judge(r, resumed)
	// An abort has come too late.
	r.silence.given, r.retryCounted = "", false
	s.endSilence(r)
	s.emitCount("silences.resumed")
}

// endSilence ends the silence of a request's attempt, if any. It returns the decision for which the
// attempt was aborted; empty if it was not.
func (s *State) endSilence(r *request) Decision {
	if r.silence == nil {
		return ""
	}
	given, check := r.silence.given, r.silence.check
	r.silence = nil
	delete(s.checked, r.id)
	if given == stuck && r.target != nil {
		r.ending = &runCheck{endpoint: check.endpoint, wasListed: check.wasListed}
		s.checked[r.id] = r
	}
	return given
}

// judgeSilence gives a silent attempt up if the evidence allows it, and otherwise asks for more.
func (s *State) judgeSilence(r *request) {
	l := r.silence
	if l.given != "" {
		return
	}
	if d := s.decide(r); d != waited {
		l.given = d
		if d != runEnded {
			// Attempts that are aborted at once share the budget.
			s.retryBudget.countRetry(s.now, r.Service)
			r.retryCounted = true
		}
		s.emitCount("silences." + string(d))
		s.judge(r, d)
		s.emit(AbortAttempt{ID: r.id, Try: r.attemptCount, Silence: l.number})
		return
	}
	if r.Route.Kind != route.Stream {
		s.emitWake(s.now.Add(runCheckInterval))
		return
	}
	s.checkRun(r, &l.check)
	if at := r.stuckAt(); s.now.Before(at) {
		s.emitWake(at)
	}
}

// decide returns what to do with a silent attempt.
func (s *State) decide(r *request) Decision {
	l := r.silence
	if r.Route.Kind != route.Stream {
		if other := s.otherEndpoint(r, r.target); other != nil && !other.isQuietSince(l.since) && s.mayGoOn(r) {
			return retriedSafe
		}
		return waited
	}
	switch {
	case l.check.refused():
		return processEnded
	case l.check.runEnded():
		return runEnded
	case l.check.isUnreachable() && s.othersHeard(r.target, l.since) && s.mayGoOn(r):
		return unreachable
	case !s.now.Before(r.stuckAt()) && l.check.endpointAnswers() && s.mayGoOn(r):
		return stuck
	default:
		return waited
	}
}

// stuckAt returns the time at which a silent stream is given up if its endpoint answers.
func (r *request) stuckAt() time.Time {
	wait := r.callerPauseTimeout()
	return r.silence.since.Add(max(wait-time.Duration(stuckReserve*float64(wait)), soundSilence))
}

// mayGoOn reports whether the request may be sent to another endpoint now, after the attempt in
// progress, and another can take it.
func (s *State) mayGoOn(r *request) bool {
	return s.shutdownEndBy.IsZero() && r.Route.Idempotent() && r.possibleRunCount+1 < r.Route.MaxAttempts &&
		s.retryBudget.allowsRetry(s.now, r.Service) && s.otherEndpoint(r, r.target) != nil
}

// otherEndpoint returns the endpoint other than e that can take the request now, or nil.
func (s *State) otherEndpoint(r *request, e *endpoint) *endpoint {
	avoided := r.avoidedInstances
	defer func() { r.avoidedInstances = avoided }()
	r.avoidedInstances = append(slices.Clone(avoided), e.Instance)
	other, _ := s.choose(r)
	return other
}

// isQuietSince reports whether neither the endpoint, at which attempts are in progress, nor its agent has been
// heard since the given time. It may be as silent as the endpoint that the question is about.
func (e *endpoint) isQuietSince(t time.Time) bool {
	return e.runningAttemptCount > 0 && !e.heardSince(t)
}

// heardSince reports whether the endpoint or its agent has been heard since the given time.
func (e *endpoint) heardSince(t time.Time) bool {
	return e.answeredAt.After(t) || e.hasAgent && e.reportedAt.After(t)
}

// othersHeard reports whether another endpoint of the service than e, or its agent, has been heard
// since the given time. If all are silent, none of them is the cause.
func (s *State) othersHeard(e *endpoint, since time.Time) bool {
	return slices.ContainsFunc(s.index.endpointsByService[e.Service], func(other *endpoint) bool {
		return other != e && other.heardSince(since)
	})
}

// othersSilent reports whether an attempt at another endpoint of the service than e is silent.
func (s *State) othersSilent(e *endpoint) bool {
	for _, r := range s.checked {
		if r.silence != nil && r.target != nil && r.target != e && r.target.Service == e.Service {
			return true
		}
	}
	return false
}

// judge reports a decision on the silence of a request's attempt.
func (s *State) judge(r *request, d Decision) {
	s.emit(SilenceJudged{ID: r.id, Endpoint: r.target.Instance, Decision: d, Since: r.silence.since, Run: r.silence.check.last})
}

// checkRuns judges the silent attempts and checks the runs that are to be known to have ended.
func (s *State) checkRuns() {
	for _, id := range slices.Sorted(maps.Keys(s.checked)) {
		r := s.checked[id]
		if r != nil && r.silence != nil && r.target != nil {
			s.judgeSilence(r)
		}
	}
}
