package relay

// ended takes in the result of an attempt and decides what follows.
func (s *State) attemptEnded(ev AttemptEnded) {
	r := s.requests[ev.ID]
	if r == nil || r.target == nil {
		return
	}
	e := r.target
	s.detach(r)
	r.answering = r.answering || ev.Answering
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
			r.runs++
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
		s.modelMissing(r, e)
		s.retryNotRun(r, nil)
	case Shed:
		s.retryNotRun(r, e)
	case Broken, Failed:
		e.recordOutcome(true, s.now)
		r.runs++
		s.retryAfterRun(r, e)
	}
	s.dispatchWaiting()
}

// missing notes that an endpoint does not hold what a request asks for.
func (s *State) modelMissing(r *request, e *endpoint) {
	models := e.Stock.Models[:0:0]
	for _, h := range e.Stock.Models {
		if h.Model == r.Item.Model {
			if r.Item.Adapter == "" {
				continue
			}
			h.Adapters = without(h.Adapters, r.Item.Adapter)
		}
		models = append(models, h)
	}
	s.updateStock(e, func() { e.Stock.Models = models })
}

func without(list []string, name string) []string {
	rest := make([]string, 0, len(list))
	for _, one := range list {
		if one != name {
			rest = append(rest, one)
		}
	}
	return rest
}

// again tries a request that has not run at the endpoint.
func (s *State) retryNotRun(r *request, e *endpoint) {
	if e != nil {
		r.avoided = append(r.avoided, e.Instance)
	}
	if !s.retryBudget.allowsRetry(s.now, r.Service) {
		s.count("budget-spent")
		s.refuse(r, NoRetryBudget, s.now.Add(budgetRetryDelay))
		return
	}
	s.dispatch(r)
}

// afterRun tries a request again that may have run, if that is allowed.
func (s *State) retryAfterRun(r *request, e *endpoint) {
	switch {
	case !r.Route.Idempotent():
		s.fail(r, MayHaveRun)
	case r.runs >= max(r.Route.MaxAttempts, 1):
		s.fail(r, AttemptsFailed)
	case !s.retryBudget.allowsRetry(s.now, r.Service):
		s.count("budget-spent")
		s.fail(r, NoRetryBudget)
	default:
		r.avoided = append(r.avoided, e.Instance)
		s.dispatch(r)
	}
}
