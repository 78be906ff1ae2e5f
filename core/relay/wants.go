package relay

import (
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// ackTime is how long an agent may take to show a load that it was asked for
	// before another one is asked.
	loadAckTimeout = 600 * time.Millisecond
	// overdueTime is how late a load may be before another endpoint is asked.
	overdueTolerance = 700 * time.Millisecond
)

type loadKey struct {
	service string
	item    stock.Item
}

// want is a load that requests wait for.
type pendingLoad struct {
	key      loadKey
	instance string
	askedAt  time.Time
	requests []*request
	// tried are endpoints that did not take up the load.
	tried []string
	// until is how long the load is asked for without requests, for callers that
	// were told when to come back, priority that of the last of them.
	until    time.Time
	priority int
}

// expected returns when the request can be sent, as far as known, or why not.
func (s *State) expectedSendTime(r *request) (time.Time, Reason) {
	engine := s.table.Engine(r.Service)
	if slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool { return s.canServe(e, r) }) {
		// All are full; their next request ends soon.
		return s.now, ""
	}
	if s.awaitsConfirmation(r) {
		return s.now, ""
	}
	usable := slices.ContainsFunc(s.index.services[r.Service], func(e *endpoint) bool { return !e.Leaving })
	if !usable || engine == nil || r.Item.Model == "" {
		return time.Time{}, NoEndpoint
	}
	return s.pendingLoad(r, engine)
}

// unconfirmed says whether an endpoint that holds what a request needs by the list
// is about to be confirmed, or may still come with the rest of the list. Where all
// agents are followed, the holder's report tells more than its entry.
func (s *State) awaitsConfirmation(r *request) bool {
	if s.now.Before(s.listDeadline) {
		return true
	}
	return s.followsSubset() && slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool {
		return !e.Leaving && e.Stock.Holds(r.Item) && !e.confirmed(s.now) && !slices.Contains(r.avoided, e.Instance)
	})
}

// want joins the load that the request needs, or asks for it.
func (s *State) pendingLoad(r *request, engine *route.Engine) (time.Time, Reason) {
	key := loadKey{r.Service, r.Item}
	w := s.pendingLoads[key]
	if w == nil {
		w = &pendingLoad{key: key}
		s.pendingLoads[key] = w
	}
	if !slices.Contains(w.requests, r) {
		w.requests = append(w.requests, r)
	}
	if e := s.endpoint(w.instance); w.instance != "" && e != nil {
		if readyAt, ok := e.Stock.Loading(key.item); ok && s.now.Before(readyAt.Add(overdueTolerance)) {
			return s.moveLateLoad(w, engine, r, readyAt), ""
		}
		if s.now.Before(w.askedAt.Add(loadAckTimeout)) {
			readyAt, _ := s.loadReadyAt(e, key.item, engine)
			return readyAt, ""
		}
		w.tried = append(w.tried, w.instance)
	}
	if s.loaderConnecting(key) {
		s.emitWake(s.now.Add(connectTimeout))
		return s.now.Add(engine.Models[key.item.Model].FromMemory), ""
	}
	e, readyAt := s.chooseLoader(key, engine, w.tried)
	if e == nil {
		s.retarget(w, "")
		w.tried = nil
		s.clearAvoided(r)
		if at := s.storeQueueReadyAt(key, engine); !at.IsZero() {
			return at, ""
		}
		return s.now.Add(noEndpointRetryDelay), ""
	}
	s.retarget(w, e.Instance)
	w.askedAt = s.now
	s.emitWake(s.now.Add(loadAckTimeout))
	return readyAt, ""
}

// sooner asks for a load elsewhere if it is too late for a request where it was
// asked for and in time there, from a copy at hand. It returns when the load is
// expected.
func (s *State) moveLateLoad(w *pendingLoad, engine *route.Engine, r *request, readyAt time.Time) time.Time {
	until := r.callerTimeoutAt()
	if readyAt.Add(minRunTime).Before(until) {
		return readyAt
	}
	e, at := s.chooseLoader(w.key, engine, append(slices.Clone(w.tried), w.instance))
	if e == nil || !at.Add(minRunTime).Before(until) || s.needsStore(e, w.key.item) {
		return readyAt
	}
	w.tried = append(w.tried, w.instance)
	s.retarget(w, e.Instance)
	w.askedAt = s.now
	s.emitWake(s.now.Add(loadAckTimeout))
	return at
}

// retarget has another endpoint asked for a load; none if it is empty.
func (s *State) retarget(w *pendingLoad, instance string) {
	for _, id := range []string{w.instance, instance} {
		if id != "" {
			s.dirty[id] = true
		}
	}
	w.instance = instance
}

// release takes a request off the load that it waits for.
func (s *State) leaveLoad(r *request) {
	key := loadKey{r.Service, r.Item}
	w := s.pendingLoads[key]
	if w == nil {
		return
	}
	if i := slices.Index(w.requests, r); i >= 0 {
		w.requests = slices.Delete(w.requests, i, i+1)
	}
	s.dropUnusedLoad(w)
}

// dropWant forgets a load that nobody waits for.
func (s *State) dropUnusedLoad(w *pendingLoad) {
	if len(w.requests) > 0 || s.now.Before(w.until) {
		return
	}
	s.retarget(w, "")
	delete(s.pendingLoads, w.key)
}

// checkWants drops loads whose endpoint has dropped them.
func (s *State) unassignIfLeaving(e *endpoint) {
	for _, w := range s.pendingLoads {
		if w.instance == e.Instance && e.Leaving {
			s.retarget(w, "")
		}
	}
}

// forgetWants has the loads asked of an endpoint asked of others.
func (s *State) unassignLoads(instance string) {
	for _, w := range s.pendingLoads {
		if w.instance == instance {
			s.retarget(w, "")
		}
	}
}

func (s *State) emitWake(at time.Time) {
	s.emit(event.Wake{At: at})
}
