package relay

import (
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// maxStoreLoads is the maximum number of loads in progress from the weight store. While there
// are as many, no further load from it is requested. All loads share the store's bandwidth;
// depending on the platform, it serves one to four loads at full speed.
const maxStoreLoads = 2

// storeLoads returns the times at which the loads from the weight store that the service's
// agents have reported are expected to be done, in ascending order.
func (s *State) storeLoads(service string) []time.Time {
	var list []time.Time
	for _, e := range s.index.endpointsByService[service] {
		for _, l := range e.Stock.Loads {
			if l.Item.Adapter == "" && s.needsStore(e, l.Item) {
				list = append(list, l.ReadyAt)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// isLoading reports whether the endpoint is loading the model.
func isLoading(e *endpoint, model string) bool {
	_, ok := e.Stock.LoadReadyAt(stock.Item{Model: model})
	return ok
}

// storeQueueReadyAt returns the time at which a model would be loaded if its load from the
// weight store started as soon as one of the loads in progress is done. It returns the zero
// time if another load from the store may start now.
func (s *State) storeQueueReadyAt(key loadKey, engine *route.Engine) time.Time {
	loads := s.storeLoads(key.service)
	if len(loads) < maxStoreLoads {
		return time.Time{}
	}
	return laterTime(loads[0], s.now).Add(engine.Models[key.item.Model].FromStore)
}

// needsStore reports whether the endpoint would have to load the item's model from the
// weight store.
func (s *State) needsStore(e *endpoint, item stock.Item) bool {
	return !e.Stock.Holds(stock.Item{Model: item.Model}) && !hasCachedWeights(e, item.Model)
}
