package relay

// ended takes in the result of an attempt and decides what follows.
func (s *State) ended(ev Ended) {
	r := s.requests[ev.ID]
	if r == nil || r.at == nil {
		return
	}
	e := r.at
	s.leave(r)
	r.answering = r.answering || ev.Answering
	r.LastEvent = max(r.LastEvent, ev.LastEvent)
	if ev.Version != 0 {
		r.version = ev.Version
	}
	r.failed, r.shed = ev.Result == Failed, ev.Result == Shed
	switch ev.Result {
	case Done, Abandoned:
		e.attempted(false, s.now)
		s.drop(r)
	case Expired:
		if !ev.Unsent {
			r.ran++
		}
		s.expire(r)
	case Unsent:
		e.attempted(true, s.now)
		e.avoidUntil = s.now.Add(unreachableTime)
		s.again(r, e)
	case Replaced:
		e.Leaving = true
		s.again(r, e)
	case Missing:
		s.missing(r, e)
		s.again(r, nil)
	case Shed:
		s.again(r, e)
	case Broken, Failed:
		e.attempted(true, s.now)
		r.ran++
		s.afterRun(r, e)
	}
	s.serveWaiting()
}

// missing notes that an endpoint does not hold what a request asks for.
func (s *State) missing(r *request, e *endpoint) {
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
	s.restock(e, func() { e.Stock.Models = models })
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
func (s *State) again(r *request, e *endpoint) {
	if e != nil {
		r.avoid = append(r.avoid, e.Instance)
	}
	if !s.budget.allows(s.now, r.Service) {
		s.count("budget-spent")
		s.refuse(r, NoBudget, s.now.Add(retryBudget))
		return
	}
	s.place(r)
}

// afterRun tries a request again that may have run, if that is allowed.
func (s *State) afterRun(r *request, e *endpoint) {
	switch {
	case !r.Route.Idempotent():
		s.fail(r, MayHaveRun)
	case r.ran >= max(r.Route.MaxAttempts, 1):
		s.fail(r, AllFailed)
	case !s.budget.allows(s.now, r.Service):
		s.count("budget-spent")
		s.fail(r, NoBudget)
	default:
		r.avoid = append(r.avoid, e.Instance)
		s.place(r)
	}
}
