package relay

import "time"

// handleAttemptEnded processes the outcome of an attempt: it removes the request if it has its
// answer, and otherwise retries it or answers it with an error.
func (s *State) handleAttemptEnded(ev AttemptEnded) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil {
		return
	}
	e, silence := r.target, r.silence
	given := s.endSilence(r)
	if silence != nil && silence.check.wasListed && !ev.Result.MayHaveRun() {
		// The endpoint has listed the run, so that its rejection is not the whole truth.
		r.possibleRunCount++
	}
	if ev.Result == Broken {
		s.noteLostAttempt(r, e, ev)
	}
	e.noteSignOfLife(ev, s.now)
	s.detach(r)
	r.partlyAnswered = r.partlyAnswered || ev.Answering
	r.LastEvent = max(r.LastEvent, ev.LastEvent)
	if ev.Version != 0 {
		r.weightsVersion = ev.Version
	}
	r.endpointFailed, r.wasShed = ev.Result == Failed, ev.Result == Shed
	switch ev.Result {
	case Done:
		e.recordOutcome(ev.EndpointFailed, s.now)
		e.answeredAt = s.now
		s.answerTimes.note(r.Route, s.now.Sub(r.sentAt))
		s.noteAnswered(r, ev.PromptServed)
		s.drop(r)
	case Abandoned:
		s.recordAbandoned(r, e, silence)
		s.drop(r)
	case Expired:
		if !ev.Unsent {
			r.possibleRunCount++
		}
		s.expire(r)
	case Unsent:
		e.recordOutcome(true, s.now)
		e.ejectedUntil = s.now.Add(unreachableDuration)
		if ev.Refused && !e.reportedUpSinceLoss() {
			s.endIncarnation(e, foundByRefusal)
		}
		s.retryOrRefuse(r, e)
	case Replaced:
		s.endIncarnation(e, foundByAnswer)
		e.leaving.replacedAt = s.now
		e.deriveLeaving()
		s.retryOrRefuse(r, e)
	case ModelMissing:
		s.removeMissingItem(r, e)
		s.retryOrRefuse(r, nil)
	case Shed:
		if r.Item.Model != "" {
			s.emitWake(e.noteShed(r.Item.Model, s.now))
		}
		s.retryOrRefuse(r, e)
	case Broken, Failed:
		if ev.Result == Failed {
			s.noteAnswered(r, false)
		}
		r.possibleRunCount++
		if s.refuseIfConvicted(r) {
			// The part is the cause, or the router has aborted the attempt for it.
			break
		}
		if given != retriedSafe || s.othersHeard(e, r.sentAt) {
			e.recordOutcome(true, s.now)
		}
		s.retryOrFail(r, e, given)
	}
	s.dispatchWaiting()
}

// recordAbandoned records the outcome of an attempt whose caller has left: a failure if the endpoint alone
// was silent, and a success if it had begun to answer.
func (s *State) recordAbandoned(r *request, e *endpoint, silence *silence) {
	switch {
	case silence != nil && (s.othersHeard(e, silence.since) || !s.othersSilent(e)):
		e.recordOutcome(true, s.now)
	case silence == nil && r.answerBegan:
		e.recordOutcome(false, s.now)
	}
}

// removeMissingItem removes the requested item from the known stock of an endpoint that does
// not hold it.
func (s *State) removeMissingItem(r *request, e *endpoint) {
	models := e.Stock.Models[:0:0]
	for _, m := range e.Stock.Models {
		if m.Model == r.Item.Model {
			if r.Item.Adapter == "" {
				continue
			}
			m.Adapters = without(m.Adapters, r.Item.Adapter)
		}
		models = append(models, m)
	}
	s.updateStock(e, func() { e.Stock.Models = models })
}

// without returns a new list with all entries other than name.
func without(list []string, name string) []string {
	rest := make([]string, 0, len(list))
	for _, entry := range list {
		if entry != name {
			rest = append(rest, entry)
		}
	}
	return rest
}

// retryOrRefuse retries a request that has not run in its last attempt, or refuses it if the
// retry budget is used up. If e is not nil, it is avoided from now on.
func (s *State) retryOrRefuse(r *request, e *endpoint) {
	if e != nil {
		r.avoidedInstances = append(r.avoidedInstances, e.Instance)
	}
	if !s.retryBudget.allowsRetry(s.now, r.Service) {
		s.emitCount("budget-spent")
		s.refuseOrFail(r, NoRetryBudget, s.now.Add(budgetRetryDelay))
		return
	}
	s.dispatch(r)
}

// retryOrFail retries a request that may have run at e, or fails it if a retry is not
// allowed. given is why the router has given the attempt up, if it has.
func (s *State) retryOrFail(r *request, e *endpoint, given Decision) {
	switch {
	case !r.Route.Idempotent():
		s.fail(r, MayHaveRun)
	case r.possibleRunCount >= max(r.Route.MaxAttempts, 1):
		s.fail(r, AttemptsFailed)
	case !r.retryCounted && !s.retryBudget.allowsRetry(s.now, r.Service):
		s.emitCount("budget-spent")
		s.fail(r, NoRetryBudget)
	default:
		if given != runEnded || s.otherEndpoint(r, e) != nil {
			// An endpoint that answers and has lost one run can take the next.
			r.avoidedInstances = append(r.avoidedInstances, e.Instance)
		}
		s.dispatch(r)
	}
}

// refuseOrFail answers a request that has not run with a refusal; at is when the caller should
// retry. A request that may have run fails instead.
func (s *State) refuseOrFail(r *request, reason Reason, at time.Time) {
	if r.possibleRunCount > 0 || r.partlyAnswered {
		s.fail(r, reason)
		return
	}
	s.drop(r)
	s.emit(Refuse{ID: r.id, Reason: reason, RetryAt: at})
}

// fail ends a request with an error, or with the error answer of the endpoint if there is
// one and nothing has been passed to the caller.
func (s *State) fail(r *request, reason Reason) {
	s.drop(r)
	if r.endpointFailed && !r.partlyAnswered {
		s.emit(DeliverFailure{ID: r.id})
		return
	}
	s.emit(Fail{ID: r.id, Reason: reason})
}

// expire refuses or fails a request whose deadline has passed.
func (s *State) expire(r *request) {
	if r.possibleRunCount > 0 {
		s.fail(r, DeadlineExceeded)
		return
	}
	s.refuseOrFail(r, DeadlineExceeded, s.now)
}
