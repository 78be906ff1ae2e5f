package relay

import (
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// firstRequests is from how many requests of this router within rateSpan a model
	// that nobody holds is loaded for those to come: the load takes the weight store
	// and the endpoint for as long as rateSpan, which models asked for less are not
	// worth.
	minFirstCopyRequests = 4
	// firstWorth is how much more a first copy is worth than one more, as agents
	// count the last copy of a model.
	firstCopyWeight = 2.0
	// firstPatience is how long an endpoint may take to begin with a first copy
	// before another one is asked: longer than models in use take to make room.
	firstCopyTimeout = 3 * time.Second
)

// firstCopy is the wish for a model that nobody holds.
type firstCopy struct {
	instance string
	askedAt  time.Time
	// tried are endpoints that were asked and did not begin.
	tried []string
}

// addFirst asks for the first copy of a model. Requests that wait for it ask
// themselves; this is for one that takes so long that none can wait.
func (s *State) requestFirstCopy(model string, t *traffic, engine *route.Engine, rate float64) {
	item := stock.Item{Model: model}
	if t.rate*rateDecay.Seconds() < minFirstCopyRequests || s.hasPendingLoad(loadKey{t.service, item}) {
		t.first = firstCopy{}
		return
	}
	e := s.endpoint(t.first.instance)
	if e != nil && !e.Leaving && !s.loadStartOverdue(e, item, t.first.askedAt) {
		s.requestCopy(e, item, rate*firstCopyWeight)
		return
	}
	if s.loading(t.service, item) > 0 {
		return
	}
	if e != nil {
		t.first.tried = append(t.first.tried, e.Instance)
	}
	if e, _ = s.chooseLoader(loadKey{t.service, item}, engine, t.first.tried); e == nil {
		t.first = firstCopy{}
		return
	}
	t.first.instance, t.first.askedAt = e.Instance, s.now
	s.requestCopy(e, item, rate*firstCopyWeight)
}

// waitedFor says whether requests wait for an item that an endpoint was asked for.
func (s *State) hasPendingLoad(key loadKey) bool {
	w := s.pendingLoads[key]
	return w != nil && w.instance != ""
}

// givenUp says whether an endpoint has not begun a load in the time for it.
func (s *State) loadStartOverdue(e *endpoint, item stock.Item, askedAt time.Time) bool {
	_, loading := e.Stock.Loading(item)
	return !loading && !s.now.Before(askedAt.Add(firstCopyTimeout))
}
