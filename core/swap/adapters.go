package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// drainMost is how long an adapter may take to make room, about as long as the
// longest streams; then it is taken as staying.
const drainMost = 10 * time.Second

// serveAdapter orders a step towards an adapter whose model is held; it returns
// false if none is possible now.
func (s *State) serveAdapter(item stock.Item) bool {
	model, ok := s.engine.Models[item.Model]
	if !ok || s.seen.Busy || slices.Contains(s.seen.Coming, item) {
		return false
	}
	if s.adapterFits(model) {
		s.give(Load, item, adapterTime)
		return true
	}
	if len(s.draining) >= s.adaptersWanted() {
		// Enough adapters make room already, each when its requests have ended.
		return false
	}
	victim, ok := s.idlestAdapter()
	if !ok {
		return false
	}
	if s.runningWith(victim) > 0 && s.now.Before(s.wantedAt[item].Add(busyPatience)) {
		s.wake(s.now.Add(pollBusy))
		return false
	}
	s.give(Unload, victim, unloadTime)
	return true
}

// adapterFits says whether one more adapter of a model fits.
func (s *State) adapterFits(model route.Model) bool {
	return len(s.adapters())+len(s.seen.Coming) < s.engine.AdapterSlots && s.used()+model.AdapterSize <= s.engine.Memory
}

// adaptersWanted returns how many adapters wait for room.
func (s *State) adaptersWanted() int {
	return lo.CountBy(s.wants(), func(w stock.Want) bool {
		return w.Item.Adapter != "" && !slices.Contains(s.seen.Coming, w.Item)
	})
}

// idlestAdapter returns the adapter that makes room first: the one with the
// fewest requests, and of these the one whose last request is the longest ago.
func (s *State) idlestAdapter() (stock.Item, bool) {
	adapters := slices.DeleteFunc(s.adapters(), func(a stock.Item) bool {
		_, leaving := s.draining[a]
		return leaving
	})
	if len(adapters) == 0 {
		return stock.Item{}, false
	}
	return slices.MinFunc(adapters, func(a, b stock.Item) int {
		return cmp.Or(cmp.Compare(s.runningWith(a), s.runningWith(b)), s.lastUsed[a].Compare(s.lastUsed[b]))
	}), true
}

// runningWith returns how many requests run with an adapter, of all routers.
func (s *State) runningWith(adapter stock.Item) int {
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

func (s *State) adapters() []stock.Item {
	var list []stock.Item
	for _, h := range s.seen.Report.Models {
		for _, a := range h.Adapters {
			list = append(list, stock.Item{Model: h.Model, Adapter: a})
		}
	}
	return list
}
