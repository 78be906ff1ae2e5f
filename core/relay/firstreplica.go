package relay

import (
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// minFirstReplicaRequests is the smallest decayed number of recent requests at this
	// router (see rateDecay) at which a model that no endpoint holds is loaded for future
	// requests.
	// Such a load occupies the weight store and the endpoint for about rateDecay, which is
	// not worthwhile for models that are requested less often.
	minFirstReplicaRequests = 4
	// firstReplicaWeight is the factor by which the first replica of a model counts more
	// than an extra one. Agents weigh the only replica of a model in the same way.
	firstReplicaWeight = 2.0
	// firstReplicaTimeout is how long an endpoint may take to start loading a first replica
	// before another endpoint is asked. It is longer than it takes to evict a model that is
	// in use.
	firstReplicaTimeout = 3 * time.Second
)

// firstReplicaRequest is a request for the first replica of a model that no endpoint holds;
// zero if there is none.
type firstReplicaRequest struct {
	// instance is the endpoint that was asked for the load at requestedAt.
	instance    string
	requestedAt time.Time
	// triedInstances lists the instances that were asked and did not start the load in time.
	triedInstances []string
}

// requestFirstReplicaIfJustified requests the first replica of a model if its traffic justifies
// it, or renews the request. It is needed for models that take so long to load that no request
// can wait for them. Other models are loaded because a request waits for them.
func (s *State) requestFirstReplicaIfJustified(model string, t *traffic, engine *route.Engine, rate float64) {
	item := stock.Item{Model: model}
	if t.rate*rateDecay.Seconds() < minFirstReplicaRequests || s.hasPendingLoad(loadKey{service: t.service, item: item}) {
		t.firstReplica = firstReplicaRequest{}
		return
	}
	e := s.endpoint(t.firstReplica.instance)
	if e != nil && !e.Leaving && !s.loadStartOverdue(e, item, t.firstReplica.requestedAt) {
		s.requestReplica(e, item, rate*firstReplicaWeight)
		return
	}
	if s.loadingCount(t.service, item) > 0 {
		return
	}
	if e != nil {
		t.firstReplica.triedInstances = append(t.firstReplica.triedInstances, e.Instance)
	}
	if e, _ = s.chooseLoader(loadKey{service: t.service, item: item}, engine, t.firstReplica.triedInstances); e == nil {
		t.firstReplica = firstReplicaRequest{}
		return
	}
	t.firstReplica.instance, t.firstReplica.requestedAt = e.Instance, s.now
	s.requestReplica(e, item, rate*firstReplicaWeight)
}

// hasPendingLoad reports whether an endpoint has been asked to load the item for waiting
// requests.
func (s *State) hasPendingLoad(key loadKey) bool {
	load := s.pendingLoads[key]
	return load != nil && load.instance != ""
}

// loadStartOverdue reports whether an endpoint that was asked at requestedAt to load the
// item has not started within firstReplicaTimeout.
func (s *State) loadStartOverdue(e *endpoint, item stock.Item, requestedAt time.Time) bool {
	_, loading := e.Stock.LoadReadyAt(item)
	return !loading && !s.now.Before(requestedAt.Add(firstReplicaTimeout))
}
