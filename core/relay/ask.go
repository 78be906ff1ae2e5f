package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// minRefreshInterval is the shortest interval at which all agents are sent the current
	// traffic.
	minRefreshInterval = time.Second
	// refreshPerEndpoint, times the number of endpoints, is the refresh interval if that is
	// longer than minRefreshInterval. It keeps the number of demands per second independent
	// of the size of the fleet.
	refreshPerEndpoint = 20 * time.Millisecond
)

// sendDemands sends new demands to the agents whose requested loads have changed, or to all
// agents if a refresh is due.
func (s *State) sendDemands() {
	if !s.now.Before(s.nextRefreshAt) {
		s.nextRefreshAt = s.now.Add(s.refreshInterval())
		for _, e := range s.endpoints {
			s.sendDemand(e, true)
		}
		clear(s.dirty)
		return
	}
	if len(s.dirty) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		if e := s.endpoint(id); e != nil {
			s.sendDemand(e, false)
		}
	}
	clear(s.dirty)
}

// sendDemand sends an agent its demand if the requested loads have changed, or on a refresh
// if the traffic has changed.
func (s *State) sendDemand(e *endpoint, refresh bool) {
	if !e.hasAgent || s.table.Engine(e.Service) == nil {
		return
	}
	wants := s.wantsOf(e)
	if !refresh && sameWants(wants, e.lastDemand.Wants) {
		return
	}
	demand := stock.Demand{Wants: wants, Uses: s.usesOf(e), ReportGap: s.reportGap()}
	if len(demand.Wants) == 0 && len(e.lastDemand.Wants) == 0 && slices.Equal(demand.Uses, e.lastDemand.Uses) &&
		demand.ReportGap == e.lastDemand.ReportGap {
		return
	}
	e.lastDemand = demand
	s.emit(SendDemand{Instance: e.Instance, Demand: demand})
}

// wantsOf returns the loads requested from an endpoint, sorted by item: pending loads and
// additional copies.
func (s *State) wantsOf(e *endpoint) []stock.LoadRequest {
	var list []stock.LoadRequest
	for _, w := range s.pendingLoads {
		if w.instance != e.Instance {
			continue
		}
		entry := stock.LoadRequest{Item: w.key.item, Priority: w.priority, Waiting: max(len(w.requests), 1), Deadline: w.keepUntil}
		if len(w.requests) > 0 {
			entry.Priority = w.requests[0].Route.Priority
		}
		for _, r := range w.requests {
			entry.Priority = min(entry.Priority, r.Route.Priority)
			if r.Deadline.After(entry.Deadline) {
				entry.Deadline = r.Deadline
			}
		}
		list = append(list, entry)
	}
	for _, c := range s.copyRequests {
		if c.instance == e.Instance && !slices.ContainsFunc(list, func(w stock.LoadRequest) bool { return w.Item == c.want.Item }) {
			list = append(list, c.want)
		}
	}
	slices.SortFunc(list, func(a, b stock.LoadRequest) int { return compareItems(a.Item, b.Item) })
	return list
}

// sameWants reports whether a and b request the same items, regardless of priorities and
// deadlines.
func sameWants(a, b []stock.LoadRequest) bool {
	return slices.EqualFunc(a, b, func(x, y stock.LoadRequest) bool { return x.Item == y.Item })
}

// usesOf returns this router's traffic for the models that an endpoint holds, and its
// running requests by adapter.
func (s *State) usesOf(e *endpoint) []stock.ModelUsage {
	list := make([]stock.ModelUsage, 0, len(e.Stock.Models))
	for _, h := range e.Stock.Models {
		use := stock.ModelUsage{Model: h.Model, Running: e.modelAttempts[h.Model]}
		use.Holders = s.holderCount(e.Service, stock.Item{Model: h.Model})
		if t := s.modelTraffic[h.Model]; t != nil {
			use.Rate = float64(int(t.rate*20)) / 20
		}
		list = append(list, use)
	}
	for _, item := range slices.SortedFunc(maps.Keys(e.adapterAttempts), compareItems) {
		list = append(list, stock.ModelUsage{Model: item.Model, Adapter: item.Adapter, Running: e.adapterAttempts[item]})
	}
	return list
}

func compareItems(a, b stock.Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
