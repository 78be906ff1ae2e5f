package relay

import (
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// storeLoadsMost is how many loads from the weight store may be on their way: all
// share it, and platforms carry out one to four at full speed.
const maxStoreLoads = 2

// storeLoads returns when the loads that endpoints report to be on their way from
// the weight store are expected, the first one first.
func (s *State) storeLoads(service string) []time.Time {
	var list []time.Time
	for _, e := range s.index.services[service] {
		for _, l := range e.Stock.Loads {
			if l.Item.Adapter == "" && s.needsStore(e, l.Item) {
				list = append(list, l.ReadyAt)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// loadsModel says whether an endpoint reports a load of a model.
func loadsModel(e *endpoint, model string) bool {
	_, ok := e.Stock.Loading(stock.Item{Model: model})
	return ok
}

// storeFreeAt returns when a model would be there that waits for its turn at the
// weight store; zero if the store is free.
func (s *State) storeQueueReadyAt(key loadKey, engine *route.Engine) time.Time {
	loads := s.storeLoads(key.service)
	if len(loads) < maxStoreLoads {
		return time.Time{}
	}
	return later(loads[0], s.now).Add(engine.Models[key.item.Model].FromStore)
}

// fromStore says whether an endpoint would load an item's model from the weight
// store.
func (s *State) needsStore(e *endpoint, item stock.Item) bool {
	return !e.Stock.Holds(stock.Item{Model: item.Model}) && !hasCopy(e, item.Model)
}
