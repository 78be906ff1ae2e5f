package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// minRefreshInterval is the shortest interval at which all agents are sent the current
	// traffic.
	minRefreshInterval = time.Second
	// refreshPerEndpoint, times the number of endpoints, is the interval at which all agents
	// are sent the current traffic if it is longer than minRefreshInterval. It keeps the
	// number of demands per second independent of the size of the fleet.
	refreshPerEndpoint = 20 * time.Millisecond
	// minRateChange, in requests per second, and minRateChangeRatio are the changes of a model's
	// rate of which one must be exceeded for an agent to be told at the next refresh. Smaller
	// changes do not change which model it unloads; they are told after usageLifetime.
	minRateChange      = 0.1
	minRateChangeRatio = 0.3
	usageLifetime      = 6 * time.Second
)

// sendDueDemands sends new demands to the agents whose requested loads have changed, or to all
// agents if a refresh is due.
func (s *State) sendDueDemands() {
	if !s.now.Before(s.nextRefreshAt) {
		s.nextRefreshAt = s.now.Add(s.refreshInterval())
		for _, e := range s.endpoints {
			s.sendDemandIfChanged(e, true)
		}
		clear(s.outdatedDemands)
		return
	}
	if len(s.outdatedDemands) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.outdatedDemands)) {
		if e := s.endpoint(id); e != nil {
			s.sendDemandIfChanged(e, false)
		}
	}
	clear(s.outdatedDemands)
}

// sendDemandIfChanged sends the agent of an endpoint a new demand if the items to load have
// changed. If refresh is true, it also sends one if the traffic has changed.
func (s *State) sendDemandIfChanged(e *endpoint, refresh bool) {
	if !e.hasAgent || s.table.Engine(e.Service) == nil {
		return
	}
	requests := s.loadRequestsFor(e)
	if !refresh && sameItems(requests, e.lastDemand.Wants) {
		return
	}
	demand := stock.Demand{Wants: requests, Uses: s.usageOf(e), ReportGap: s.reportGap()}
	if len(demand.Wants) == 0 && len(e.lastDemand.Wants) == 0 && demand.ReportGap == e.lastDemand.ReportGap && !s.usageOutdated(e, demand.Uses) {
		return
	}
	e.lastDemand, e.demandedAt = demand, s.now
	s.emit(SendDemand{Instance: e.Instance, Demand: demand})
}

// usageOutdated reports whether the agent of an endpoint must be told the router's usage because it
// differs from the one that it was told in a way that matters, or has differed for usageLifetime.
func (s *State) usageOutdated(e *endpoint, usage []stock.ModelUsage) bool {
	last := e.lastDemand.Uses
	if slices.Equal(usage, last) {
		return false
	}
	return !s.now.Before(e.demandedAt.Add(usageLifetime)) || !slices.EqualFunc(usage, last, similarUsage)
}

// similarUsage reports whether a and b tell the same apart from small changes of numbers.
func similarUsage(a, b stock.ModelUsage) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && (a.Running > 0) == (b.Running > 0) &&
		(a.Holders == 1) == (b.Holders == 1) && math.Abs(a.Rate-b.Rate) <= max(minRateChange, minRateChangeRatio*min(a.Rate, b.Rate))
}

// loadRequestsFor returns the loads requested from an endpoint, sorted by item: pending
// loads and replica requests.
func (s *State) loadRequestsFor(e *endpoint) []stock.LoadRequest {
	var list []stock.LoadRequest
	for _, load := range s.pendingLoads {
		if load.instance != e.Instance {
			continue
		}
		request := stock.LoadRequest{Item: load.key.item, Priority: load.priority, Waiting: max(len(load.requests), 1), Deadline: load.keepUntil}
		if len(load.requests) > 0 {
			request.Priority = load.requests[0].Route.Priority
		}
		for _, r := range load.requests {
			request.Priority = min(request.Priority, r.Route.Priority)
			request.Deadline = laterTime(request.Deadline, r.Deadline)
			request.Target = laterTime(request.Target, r.arrivedAt.Add(r.Route.Objective))
		}
		// Streams that need a version of the software have loads of their own.
		if i := slices.IndexFunc(list, func(r stock.LoadRequest) bool { return r.Item == request.Item }); i >= 0 {
			list[i] = mergeLoadRequests(list[i], request)
			continue
		}
		list = append(list, request)
	}
	for _, replica := range s.replicaRequests {
		if replica.instance == e.Instance && !slices.ContainsFunc(list, func(r stock.LoadRequest) bool { return r.Item == replica.request.Item }) {
			list = append(list, replica.request)
		}
	}
	slices.SortFunc(list, func(a, b stock.LoadRequest) int { return compareItems(a.Item, b.Item) })
	return list
}

// mergeLoadRequests returns the request for an item that two loads of this router need.
func mergeLoadRequests(a, b stock.LoadRequest) stock.LoadRequest {
	return stock.LoadRequest{
		Item: a.Item, Priority: min(a.Priority, b.Priority), Waiting: a.Waiting + b.Waiting,
		Deadline: laterTime(a.Deadline, b.Deadline), Target: laterTime(a.Target, b.Target), Rate: max(a.Rate, b.Rate),
	}
}

// sameItems reports whether a and b request the same items, regardless of priorities and
// deadlines.
func sameItems(a, b []stock.LoadRequest) bool {
	return slices.EqualFunc(a, b, func(x, y stock.LoadRequest) bool { return x.Item == y.Item })
}

// usageOf returns this router's traffic for the models that an endpoint holds, and its
// running requests by adapter.
func (s *State) usageOf(e *endpoint) []stock.ModelUsage {
	list := make([]stock.ModelUsage, 0, len(e.Stock.Models))
	for _, m := range e.Stock.Models {
		usage := stock.ModelUsage{Model: m.Model, Running: e.modelAttemptCounts[m.Model]}
		usage.Holders = s.holderCount(e.Service, stock.Item{Model: m.Model})
		if t := s.modelTraffic[m.Model]; t != nil {
			usage.Rate = float64(int(t.rate*20)) / 20
		}
		list = append(list, usage)
	}
	for _, item := range slices.SortedFunc(maps.Keys(e.adapterAttemptCounts), compareItems) {
		list = append(list, stock.ModelUsage{Model: item.Model, Adapter: item.Adapter, Running: e.adapterAttemptCounts[item]})
	}
	return list
}

// compareItems orders items by model, then by adapter.
func compareItems(a, b stock.Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
