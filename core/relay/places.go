package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// evictCost is added to the time of a load for each request a second that the
	// model which makes room is asked for, at this router.
	evictCost = 4 * time.Second
	// adapterTime is assumed for the load of an adapter.
	adapterTime = 40 * time.Millisecond
	// spreadCost tells endpoints apart that are equal otherwise, the same way at
	// all routers.
	spreadCost = 200 * time.Millisecond
	// unloadTime is assumed for an unload before a load.
	unloadTime = 50 * time.Millisecond
)

// loadPlace chooses the endpoint that is to load an item. In a large fleet a model's
// own places come first, which all routers know.
func (s *State) loadPlace(key wantKey, engine *route.Engine, tried []string) (*endpoint, time.Time) {
	if s.partial() && key.item.Adapter == "" {
		if e, at := s.bestPlace(s.placesOf(key.service, key.item.Model), key, engine, tried); e != nil {
			return e, at
		}
	}
	return s.bestPlace(s.index.services[key.service], key, engine, tried)
}

// bestPlace returns the endpoint of a list that would have loaded an item first, at
// the least cost to others; nil if none may load it.
func (s *State) bestPlace(list []*endpoint, key wantKey, engine *route.Engine, tried []string) (*endpoint, time.Time) {
	var best *endpoint
	var bestAt, least time.Time
	onlyHolders := key.item.Adapter != "" && s.holderLives(key)
	storeBusy := len(s.storeLoads(key.service)) >= storeLoadsMost
	for _, e := range list {
		if !e.hasAgent || e.Leaving || e.Stock.Holds(key.item) || slices.Contains(tried, e.Instance) {
			continue
		}
		if (onlyHolders || storeBusy && !loadsModel(e, key.item.Model)) && s.fromStore(e, key.item) {
			continue
		}
		readyAt, cost := s.loadAt(e, key.item, engine)
		spread := xxhash.Sum64String(e.Instance+" "+key.item.Model+" "+key.item.Adapter) % uint64(spreadCost)
		at := readyAt.Add(cost + time.Duration(spread))
		if best == nil || at.Before(least) {
			best, bestAt, least = e, readyAt, at
		}
	}
	return best, bestAt
}

// holderLives says whether an endpoint that holds the item's model has its agent:
// the weight store is not asked for a model on account of one of its adapters.
func (s *State) holderLives(key wantKey) bool {
	return slices.ContainsFunc(s.candidates(key.service, key.item.Model), func(e *endpoint) bool {
		return !e.Leaving && e.hasAgent && e.Stock.Holds(stock.Item{Model: key.item.Model})
	})
}

// loadAt returns when an endpoint would have loaded the item, and what the
// model that makes room costs besides.
func (s *State) loadAt(e *endpoint, item stock.Item, engine *route.Engine) (time.Time, time.Duration) {
	if readyAt, ok := e.Stock.Loading(item); ok {
		return latest(readyAt, s.now), 0
	}
	if item.Adapter != "" {
		base := stock.Item{Model: item.Model}
		if e.Stock.Holds(base) {
			return s.freeAt(e).Add(adapterTime), 0
		}
		readyAt, cost := s.loadAt(e, base, engine)
		return readyAt.Add(adapterTime), cost
	}
	at := s.freeAt(e)
	at = at.Add(s.askedLoads(e, item, engine))
	model := engine.Models[item.Model]
	at = at.Add(loadTime(e, model))
	var cost time.Duration
	if s.fromStore(e, item) {
		// All loads from the weight store share it, so that each delays others.
		cost = model.FromStore
	}
	if roomFor(e, model, engine) {
		return at, cost
	}
	return at.Add(unloadTime), cost + s.evictCost(e)
}

// freeAt returns when an endpoint has loaded all models that it reports to be on
// their way: it carries out one order at a time.
func (s *State) freeAt(e *endpoint) time.Time {
	at := s.now
	for _, l := range e.Stock.Loads {
		if l.Item.Adapter == "" {
			at = latest(at, l.ReadyAt)
		}
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// askedLoads is the time of the other loads that this router has asked of an
// endpoint and that its report does not tell of yet.
func (s *State) askedLoads(e *endpoint, item stock.Item, engine *route.Engine) time.Duration {
	var sum time.Duration
	for _, w := range s.wants {
		if w.instance != e.Instance || w.key.item.Adapter != "" || w.key.item == item {
			continue
		}
		if _, ok := e.Stock.Loading(w.key.item); !ok {
			sum += loadTime(e, engine.Models[w.key.item.Model])
		}
	}
	return sum
}

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

// roomFor says whether a model fits beside what an endpoint holds.
func roomFor(e *endpoint, model route.Model, engine *route.Engine) bool {
	used := model.Size
	for _, h := range e.Stock.Models {
		held := engine.Models[h.Model]
		used += held.Size + float64(len(h.Adapters))*held.AdapterSize
	}
	return used <= engine.Memory
}

// evictCost is the cost of the model that an endpoint would give up: the one
// that is asked for least.
func (s *State) evictCost(e *endpoint) time.Duration {
	least := -1.0
	for _, h := range e.Stock.Models {
		rate := 0.0
		if t := s.demand[h.Model]; t != nil {
			holders := s.holders(e.Service, stock.Item{Model: h.Model})
			rate = t.rate / float64(max(holders, 1))
		}
		rate += float64(e.models[h.Model])
		if least < 0 || rate < least {
			least = rate
		}
	}
	return time.Duration(max(least, 0) * float64(evictCost))
}
