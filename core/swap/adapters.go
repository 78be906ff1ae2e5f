package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// drainTimeout is how long an accepted unload of an adapter may wait for the
// adapter's requests to end. It is about the duration of the longest streams. After
// it the adapter counts as loaded again and can be evicted again.
const drainTimeout = 10 * time.Second

// tryLoadAdapter issues the order that is needed next to load an adapter whose model
// is loaded: the load, or an unload that makes room. It reports whether it issued one.
func (s *State) tryLoadAdapter(item stock.Item) bool {
	model, ok := s.engine.Models[item.Model]
	if !ok || s.snapshot.Busy || slices.Contains(s.snapshot.Coming, item) {
		return false
	}
	if s.adapterFits(model) {
		s.issue(Load, item, adapterLoadEstimate)
		return true
	}
	if len(s.drainingAdapters) >= s.pendingAdapterCount() {
		// Enough adapters are draining; each frees its slot once its requests have ended.
		return false
	}
	victim, ok := s.victimAdapter()
	if !ok {
		return false
	}
	if s.runningRequestCount(victim) > 0 && s.now.Before(s.requestedSince[item].Add(busyEvictionDelay)) {
		s.wakeAt(s.now.Add(busyPollInterval))
		return false
	}
	s.issue(Unload, victim, unloadEstimate)
	return true
}

// adapterFits reports whether there are a free adapter slot and enough free memory
// for one more adapter of the model.
func (s *State) adapterFits(model route.Model) bool {
	return len(s.adapters())+len(s.snapshot.Coming) < s.engine.AdapterSlots && s.usedMB()+model.AdapterSize <= s.engine.Memory
}

// pendingAdapterCount returns the number of adapters that are requested but neither
// loaded nor being loaded.
func (s *State) pendingAdapterCount() int {
	return lo.CountBy(s.loadRequests(), func(req stock.LoadRequest) bool {
		return req.Item.Adapter != "" && !slices.Contains(s.snapshot.Coming, req.Item)
	})
}

// victimAdapter returns the adapter to evict next: the one with the fewest running
// requests and, among equals, the least recently used one. Draining adapters are not
// candidates. It returns false if there is no candidate.
func (s *State) victimAdapter() (stock.Item, bool) {
	adapters := slices.DeleteFunc(s.adapters(), func(a stock.Item) bool {
		_, leaving := s.drainingAdapters[a]
		return leaving
	})
	if len(adapters) == 0 {
		return stock.Item{}, false
	}
	return slices.MinFunc(adapters, func(a, b stock.Item) int {
		return cmp.Or(cmp.Compare(s.runningRequestCount(a), s.runningRequestCount(b)), s.adapterLastUsed[a].Compare(s.adapterLastUsed[b]))
	}), true
}

// runningRequestCount returns the number of requests of all routers that are running with
// the adapter.
func (s *State) runningRequestCount(adapter stock.Item) int {
	running := 0
	for _, d := range s.routers {
		for _, u := range d.Uses {
			if u.Model == adapter.Model && u.Adapter == adapter.Adapter {
				running += u.Running
			}
		}
	}
	return running
}

// adapters returns all loaded adapters, including those that are draining.
func (s *State) adapters() []stock.Item {
	var list []stock.Item
	for _, m := range s.snapshot.Report.Models {
		for _, a := range m.Adapters {
			list = append(list, stock.Item{Model: m.Model, Adapter: a})
		}
	}
	return list
}
