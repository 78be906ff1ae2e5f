package relay

// attemptEnded processes the outcome of an attempt: it removes the request if it has its
// answer, and otherwise retries it or answers it with an error.
func (s *State) attemptEnded(ev AttemptEnded) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil {
		return
	}
	e := r.target
	s.detach(r)
	r.partlyAnswered = r.partlyAnswered || ev.Answering
	r.LastEvent = max(r.LastEvent, ev.LastEvent)
	if ev.Version != 0 {
		r.weightsVersion = ev.Version
	}
	r.endpointFailed, r.wasShed = ev.Result == Failed, ev.Result == Shed
	switch ev.Result {
	case Done, Abandoned:
		e.recordOutcome(false, s.now)
		s.drop(r)
	case Expired:
		if !ev.Unsent {
			r.possibleRuns++
		}
		s.expire(r)
	case Unsent:
		e.recordOutcome(true, s.now)
		e.ejectedUntil = s.now.Add(unreachableDuration)
		s.retryNotRun(r, e)
	case Replaced:
		e.Leaving = true
		s.retryNotRun(r, e)
	case ModelMissing:
		s.removeMissing(r, e)
		s.retryNotRun(r, nil)
	case Shed:
		s.retryNotRun(r, e)
	case Broken, Failed:
		e.recordOutcome(true, s.now)
		r.possibleRuns++
		s.retryAfterRun(r, e)
	}
	s.dispatchWaiting()
}

// removeMissing removes the requested item from the known stock of an endpoint that does
// not hold it.
func (s *State) removeMissing(r *request, e *endpoint) {
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

// retryNotRun retries a request that has not run in its last attempt, or refuses it if the
// retry budget is used up. If e is not nil, it is avoided from now on.
func (s *State) retryNotRun(r *request, e *endpoint) {
	if e != nil {
		r.avoidedInstances = append(r.avoidedInstances, e.Instance)
	}
	if !s.retryBudget.allowsRetry(s.now, r.Service) {
		s.count("budget-spent")
		s.refuse(r, NoRetryBudget, s.now.Add(budgetRetryDelay))
		return
	}
	s.dispatch(r)
}

// retryAfterRun retries a request that may have run at e, or fails it if a retry is not
// allowed.
func (s *State) retryAfterRun(r *request, e *endpoint) {
	switch {
	case !r.Route.Idempotent():
		s.fail(r, MayHaveRun)
	case r.possibleRuns >= max(r.Route.MaxAttempts, 1):
		s.fail(r, AttemptsFailed)
	case !s.retryBudget.allowsRetry(s.now, r.Service):
		s.count("budget-spent")
		s.fail(r, NoRetryBudget)
	default:
		r.avoidedInstances = append(r.avoidedInstances, e.Instance)
		s.dispatch(r)
	}
}
