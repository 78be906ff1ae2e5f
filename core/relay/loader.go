package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// evictionCostPerRequestRate is the cost of evicting a model to make room for a load, for
	// each request per second that this router gets for the evicted model.
	evictionCostPerRequestRate = 4 * time.Second
	// adapterLoadTime is the assumed load time of an adapter.
	adapterLoadTime = 40 * time.Millisecond
	// tieBreakRange is the range of the time that is added to each endpoint's load time. It
	// is a hash of the endpoint and the item, so that all routers choose the same one of
	// several equivalent endpoints.
	tieBreakRange = 200 * time.Millisecond
	// unloadTime is the assumed time to unload a model before a load.
	unloadTime = 50 * time.Millisecond
)

// chooseLoader returns the endpoint that should load an item and the time at which the load
// is expected to be done, or nil if no endpoint can. Endpoints in tried are excluded. If
// the router follows only part of the agents, preferredLoaders are chosen before others, as
// all routers agree on them.
func (s *State) chooseLoader(key loadKey, engine *route.Engine, tried []string) (*endpoint, time.Time) {
	if s.followsSubset() && key.item.Adapter == "" {
		if e, at := s.bestLoader(s.preferredLoaders(key.service, key.item.Model), key, engine, tried); e != nil {
			return e, at
		}
	}
	return s.bestLoader(s.index.endpointsByService[key.service], key, engine, tried)
}

// bestLoader returns the endpoint of list that should load an item and the time at which
// the load is expected to be done, weighing that time against the cost for other models. It
// returns nil if none of them can load the item.
func (s *State) bestLoader(list []*endpoint, key loadKey, engine *route.Engine, tried []string) (*endpoint, time.Time) {
	var best *endpoint
	var bestReadyAt, bestWeighted time.Time
	avoidStore := key.item.Adapter != "" && s.hasReachableHolder(key)
	storeBusy := len(s.storeLoads(key.service)) >= maxStoreLoads
	for _, e := range list {
		if !e.hasAgent || e.Leaving || e.doubt != nil || e.Stock.Down || s.now.Before(e.self.backoffUntil) || e.Stock.Holds(key.item) || !key.fits(e) || slices.Contains(tried, e.Instance) {
			continue
		}
		if (avoidStore || storeBusy && !isLoading(e, key.item.Model)) && s.needsStore(e, key.item) {
			continue
		}
		readyAt, cost := s.loadReadyAt(e, key.item, engine)
		tieBreak := xxhash.Sum64String(e.Instance+" "+key.item.Model+" "+key.item.Adapter) % uint64(tieBreakRange)
		weighted := readyAt.Add(cost + time.Duration(tieBreak))
		if best == nil || weighted.Before(bestWeighted) {
			best, bestReadyAt, bestWeighted = e, readyAt, weighted
		}
	}
	return best, bestReadyAt
}

// hasReachableHolder reports whether the agent of some endpoint that holds the item's model is
// connected. If so, the model is not loaded from the weight store merely for one of its
// adapters.
func (s *State) hasReachableHolder(key loadKey) bool {
	return slices.ContainsFunc(s.candidates(key.service, key.item.Model), func(e *endpoint) bool {
		return !e.Leaving && e.hasAgent && key.fits(e) && e.Stock.Holds(stock.Item{Model: key.item.Model})
	})
}

// loadReadyAt returns the time at which the endpoint would have loaded the item if it were
// asked now, and the cost of the load for other models: of an eviction, and of using the
// weight store.
func (s *State) loadReadyAt(e *endpoint, item stock.Item, engine *route.Engine) (time.Time, time.Duration) {
	if readyAt, ok := e.Stock.LoadReadyAt(item); ok {
		return laterTime(readyAt, s.now), 0
	}
	if item.Adapter != "" {
		base := stock.Item{Model: item.Model}
		if e.Stock.Holds(base) {
			return s.loadsDoneAt(e).Add(adapterLoadTime), 0
		}
		readyAt, cost := s.loadReadyAt(e, base, engine)
		return readyAt.Add(adapterLoadTime), cost
	}
	at := s.loadsDoneAt(e)
	at = at.Add(s.unreportedLoadTime(e, item, engine))
	model := engine.Models[item.Model]
	at = at.Add(loadTime(e, model))
	var cost time.Duration
	if s.needsStore(e, item) {
		// All loads from the weight store share its bandwidth, so that each delays the
		// others.
		cost = model.FromStore
	}
	if modelFits(e, model, engine) {
		return at, cost
	}
	return at.Add(unloadTime), cost + s.evictionCost(e)
}

// loadsDoneAt returns the time at which the endpoint is expected to have finished its
// reported model loads, as it carries out one at a time.
func (s *State) loadsDoneAt(e *endpoint) time.Time {
	at := s.now
	for _, l := range e.Stock.Loads {
		if l.Item.Adapter == "" {
			at = laterTime(at, l.ReadyAt)
		}
	}
	return at
}

// laterTime returns the later of a and b.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unreportedLoadTime returns the total time of the other loads that this router has
// requested from the endpoint and that its agent has not reported yet.
func (s *State) unreportedLoadTime(e *endpoint, item stock.Item, engine *route.Engine) time.Duration {
	var sum time.Duration
	for _, load := range s.pendingLoads {
		if load.instance != e.Instance || load.key.item.Adapter != "" || load.key.item == item {
			continue
		}
		if _, ok := e.Stock.LoadReadyAt(load.key.item); !ok {
			sum += loadTime(e, engine.Models[load.key.item.Model])
		}
	}
	return sum
}

// loadTime returns the time that an endpoint takes to load a model from the nearest place that
// has its weights.
func loadTime(e *endpoint, model route.Model) time.Duration {
	switch {
	case slices.Contains(e.Stock.Copies.Memory, model.Name):
		return model.FromMemory
	case slices.Contains(e.Stock.Copies.Disk, model.Name):
		return model.FromDisk
	default:
		return model.FromStore
	}
}

// modelFits reports whether a model fits into the endpoint's memory beside the models and
// adapters that it holds.
func modelFits(e *endpoint, model route.Model, engine *route.Engine) bool {
	used := model.Size
	for _, m := range e.Stock.Models {
		loaded := engine.Models[m.Model]
		used += loaded.Size + float64(len(m.Adapters))*loaded.AdapterSize
	}
	return used <= engine.Memory
}

// evictionCost returns the cost of evicting the least requested model of an endpoint. It counts
// this router's request rate divided by the number of holders, and its attempts in progress
// with the model at the endpoint.
func (s *State) evictionCost(e *endpoint) time.Duration {
	minRate := -1.0
	for _, m := range e.Stock.Models {
		rate := 0.0
		if t := s.modelTraffic[m.Model]; t != nil {
			holderCount := s.holderCount(e.Service, stock.Item{Model: m.Model})
			rate = t.rate / float64(max(holderCount, 1))
		}
		rate += float64(e.modelAttemptCounts[m.Model])
		if minRate < 0 || rate < minRate {
			minRate = rate
		}
	}
	return time.Duration(max(minRate, 0) * float64(evictionCostPerRequestRate))
}
