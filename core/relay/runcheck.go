package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// runCheckInterval is the time between two questions about a run that goes on, or about which
	// nothing can be learned.
	runCheckInterval = 500 * time.Millisecond
	// runConfirmInterval is the time after which a run that seems to have ended, or an endpoint that
	// can't be reached, is checked again. A request may have arrived without having been read.
	runConfirmInterval = 250 * time.Millisecond
	// unlistedInterval is the time until the next question about a run that may be among those that
	// the endpoint does not list. It doubles each time, up to runCheckInterval.
	unlistedInterval     = 100 * time.Millisecond
	maxUnlistedDoublings = 3
	// portCheckInterval is the time between two checks of a port, whose connections have a price.
	portCheckInterval = 2 * time.Second
	// neededAnswers is the number of answers in a row after which a run is taken to have ended, or an
	// endpoint to be unreachable.
	neededAnswers = 2
)

// AskRun asks the agent of an endpoint for the run of a request there. The answer comes as
// RunAnswered.
type AskRun struct {
	ID        RequestID
	Instance  string
	AttemptID string
}

// Kind implements event.Effect.
func (AskRun) Kind() string { return "relay-ask-run" }

// Routine implements event.Routine.
func (AskRun) Routine() {}

// RunAnswered carries the answer to an AskRun.
type RunAnswered struct {
	ID       RequestID
	Instance string
	State    stock.RunState
}

// Kind implements event.Event.
func (RunAnswered) Kind() string { return "relay-run" }

// Routine implements event.Routine.
func (RunAnswered) Routine() {}

// runCheck is the search for evidence of a run.
type runCheck struct {
	endpoint *endpoint
	// pending reports whether an answer is awaited, ofPort whether it is that of a CheckPort. nextAt
	// is the time of the next question.
	pending, ofPort bool
	nextAt          time.Time
	// agentSilent reports whether the agent did not answer the last question.
	agentSilent bool
	// last is the last answer, wasListed whether any said that the run goes on.
	last      stock.RunState
	wasListed bool
	// goneCount and unreachableCount are the numbers of such answers in a row, unlistedCount is the
	// number of all answers that the run may be among those that are not listed.
	goneCount, unreachableCount, unlistedCount int
}

// refused reports whether the process of the endpoint is known to have ended.
func (c *runCheck) refused() bool { return c.last == stock.EndpointRefuses }

// runEnded reports whether the run is known to have ended.
func (c *runCheck) runEnded() bool { return c.refused() || c.goneCount >= neededAnswers }

// isUnreachable reports whether no connection to the endpoint can be opened.
func (c *runCheck) isUnreachable() bool { return c.unreachableCount >= neededAnswers }

// endpointAnswers reports whether the endpoint answers its agent and may have the run.
func (c *runCheck) endpointAnswers() bool {
	return c.last == stock.RunListed || c.last == stock.RunUnlisted
}

// note adds an answer.
func (c *runCheck) note(now time.Time, state stock.RunState) {
	c.pending, c.agentSilent = false, state == stock.RunUnanswered
	if c.agentSilent {
		// The router itself can find out whether the endpoint is there.
		c.nextAt = now
		return
	}
	c.last, c.nextAt = state, now.Add(runCheckInterval)
	c.wasListed = c.wasListed || state == stock.RunListed
	if state != stock.RunGone {
		c.goneCount = 0
	}
	if state != stock.EndpointUnreachable {
		c.unreachableCount = 0
	}
	switch state {
	case stock.EndpointSilent:
		if c.ofPort {
			c.nextAt = now.Add(portCheckInterval)
		}
	case stock.RunGone:
		c.goneCount++
		c.nextAt = now.Add(runConfirmInterval)
	case stock.EndpointUnreachable:
		c.unreachableCount++
		if c.ofPort {
			// The check has tried several times.
			c.unreachableCount = neededAnswers
		}
		c.nextAt = now.Add(runConfirmInterval)
	case stock.RunUnlisted:
		c.nextAt = now.Add(min(unlistedInterval<<min(c.unlistedCount, maxUnlistedDoublings), runCheckInterval))
		c.unlistedCount++
	}
}

// checkRun asks for evidence of a request's run if a question is due: the endpoint's agent, or the
// endpoint's host if there is no agent that answers.
func (s *State) checkRun(r *request, c *runCheck) {
	if c.pending {
		return
	}
	if s.now.Before(c.nextAt) {
		s.emitWake(c.nextAt)
		return
	}
	ofPort := !c.endpoint.hasAgent || c.agentSilent
	if !ofPort && r.asked != nil {
		// Answers name no question: there is one at a time, so that each counts for the check that asked.
		return
	}
	c.pending, c.ofPort = true, ofPort
	if !c.ofPort {
		r.asked = c
		s.emit(AskRun{ID: r.id, Instance: c.endpoint.Instance, AttemptID: r.AttemptID})
		return
	}
	if !c.endpoint.checkingPort {
		c.endpoint.checkingPort = true
		s.emit(CheckPort{Instance: c.endpoint.Instance, Address: c.endpoint.Address})
	}
}

func (s *State) handleRunAnswered(ev RunAnswered) {
	r := s.requests[ev.ID]
	if r == nil {
		return
	}
	asked := r.asked
	r.asked = nil
	if asked == r.runCheck() {
		s.noteRun(r, ev.Instance, ev.State)
		return
	}
	s.emitCount("silences.late-answers")
	s.applyRunCheck(r)
}

// noteReachable applies the check of an endpoint's port to the requests whose runs there are checked.
func (s *State) noteReachable(ev PortChecked) {
	state := stock.EndpointSilent
	switch {
	case ev.Refused:
		state = stock.EndpointRefuses
	case ev.Unreachable:
		state = stock.EndpointUnreachable
	}
	for _, id := range slices.Sorted(maps.Keys(s.checked)) {
		r := s.checked[id]
		if r == nil {
			continue
		}
		if c := r.runCheck(); c != nil && c.endpoint.Instance == ev.Instance && c.pending && c.ofPort {
			c.endpoint.checkingPort = false
			s.noteRun(r, ev.Instance, state)
		}
	}
}

// runCheck returns the check of the request's run in progress, or nil.
func (r *request) runCheck() *runCheck {
	if r.silence != nil {
		return &r.silence.check
	}
	return r.ending
}

// noteRun applies an answer on the run of a request.
func (s *State) noteRun(r *request, instance string, state stock.RunState) {
	c := r.runCheck()
	if c == nil || c.endpoint.Instance != instance {
		return
	}
	c.note(s.now, state)
	s.applyRunCheck(r)
}

// applyRunCheck acts on what is known of a request's run, and asks for more.
func (s *State) applyRunCheck(r *request) {
	switch {
	case r.silence != nil && r.target != nil:
		s.judgeSilence(r)
	case r.ending != nil && slices.Contains(s.waiting, r):
		s.dispatch(r)
	}
}

// awaitsRunEnd reports whether a request must wait because a run of it that was given up may go on.
func (s *State) awaitsRunEnd(r *request) bool {
	c := r.ending
	if c == nil {
		return false
	}
	// An endpoint that is no longer listed may go on with its runs.
	unknown := !c.wasListed && s.endpoint(c.endpoint.Instance) == nil
	leftList := c.wasListed && (c.last == stock.RunGone || c.last == stock.RunUnlisted)
	if leftList || c.runEnded() || c.isUnreachable() || unknown {
		r.ending = nil
		delete(s.checked, r.id)
		return false
	}
	s.checkRun(r, c)
	return true
}

// askAgentForRuns lets an agent that has just connected be asked for the runs that are checked.
func (s *State) askAgentForRuns(e *endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.checked)) {
		r := s.checked[id]
		if c := r.runCheck(); c != nil && c.endpoint == e && !c.pending {
			c.nextAt = s.now
		}
	}
	s.checkRuns()
}

// silentCandidates returns the endpoints to follow because their agents can tell of runs that are
// checked.
func (s *State) silentCandidates() []followCandidate {
	var candidates []followCandidate
	for _, id := range slices.Sorted(maps.Keys(s.checked)) {
		if c := s.checked[id].runCheck(); c != nil && c.endpoint.HasModels && s.endpoint(c.endpoint.Instance) == c.endpoint {
			candidates = append(candidates, followCandidate{c.endpoint, alwaysFollowedWeight})
		}
	}
	return candidates
}
