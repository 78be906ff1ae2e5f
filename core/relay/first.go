package relay

import (
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// minFirstCopyRequests is the number of recent requests at this router, weighted by
	// rateDecay, from which a model that no endpoint holds is loaded for future requests.
	// Such a load occupies the weight store and the endpoint for about rateDecay, which is
	// not worthwhile for models that are requested less often.
	minFirstCopyRequests = 4
	// firstCopyWeight is the factor by which a first copy of a model counts more than an
	// additional one. Agents weigh the last copy of a model in the same way.
	firstCopyWeight = 2.0
	// firstCopyTimeout is how long an endpoint may take to start loading a first copy
	// before another endpoint is asked. It is longer than it takes to evict a model that is
	// in use.
	firstCopyTimeout = 3 * time.Second
)

// firstCopyRequest is a request for the first copy of a model that no endpoint holds; zero
// if there is none.
type firstCopyRequest struct {
	// instance is the endpoint that has been asked, at requestedAt.
	instance    string
	requestedAt time.Time
	// tried lists the endpoints that were asked and did not start the load.
	tried []string
}

// requestFirstCopy requests the first copy of a model if its traffic justifies it, or
// renews the request. It covers models that take so long to load that no request can wait
// for them; otherwise the pending load of a waiting request brings the model.
func (s *State) requestFirstCopy(model string, t *traffic, engine *route.Engine, rate float64) {
	item := stock.Item{Model: model}
	if t.rate*rateDecay.Seconds() < minFirstCopyRequests || s.hasPendingLoad(loadKey{t.service, item}) {
		t.firstCopy = firstCopyRequest{}
		return
	}
	e := s.endpoint(t.firstCopy.instance)
	if e != nil && !e.Leaving && !s.loadStartOverdue(e, item, t.firstCopy.requestedAt) {
		s.requestCopy(e, item, rate*firstCopyWeight)
		return
	}
	if s.loadingCount(t.service, item) > 0 {
		return
	}
	if e != nil {
		t.firstCopy.tried = append(t.firstCopy.tried, e.Instance)
	}
	if e, _ = s.chooseLoader(loadKey{t.service, item}, engine, t.firstCopy.tried); e == nil {
		t.firstCopy = firstCopyRequest{}
		return
	}
	t.firstCopy.instance, t.firstCopy.requestedAt = e.Instance, s.now
	s.requestCopy(e, item, rate*firstCopyWeight)
}

// hasPendingLoad reports whether an endpoint has been asked to load the item for waiting
// requests.
func (s *State) hasPendingLoad(key loadKey) bool {
	load := s.pendingLoads[key]
	return load != nil && load.instance != ""
}

// loadStartOverdue reports whether an endpoint that was asked at requestedAt to load the
// item has not started within firstCopyTimeout.
func (s *State) loadStartOverdue(e *endpoint, item stock.Item, requestedAt time.Time) bool {
	_, loading := e.Stock.LoadReadyAt(item)
	return !loading && !s.now.Before(requestedAt.Add(firstCopyTimeout))
}
