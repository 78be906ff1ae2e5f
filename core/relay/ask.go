package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// refreshTime is how often agents are told the traffic again.
	refreshTime = time.Second
	// refreshEach is added to that for each endpoint, so that a router sends about as
	// much however many there are.
	refreshEach = 20 * time.Millisecond
)

// askAgents tells the agents what has changed in what is asked of them.
func (s *State) askAgents() {
	if !s.now.Before(s.refreshAt) {
		s.refreshAt = s.now.Add(s.refreshPause())
		for _, e := range s.endpoints {
			s.askAgent(e, true)
		}
		clear(s.dirty)
		return
	}
	if len(s.dirty) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		if e := s.endpoint(id); e != nil {
			s.askAgent(e, false)
		}
	}
	clear(s.dirty)
}

// askAgent tells one agent its demand if that has changed; on a refresh, traffic
// counts too.
func (s *State) askAgent(e *endpoint, refresh bool) {
	if !e.hasAgent || s.table.Engine(e.Service) == nil {
		return
	}
	wants := s.wantsOf(e)
	if !refresh && sameWants(wants, e.asked.Wants) {
		return
	}
	demand := stock.Demand{Wants: wants, Uses: s.usesOf(e), ReportGap: s.reportGap()}
	if len(demand.Wants) == 0 && len(e.asked.Wants) == 0 && slices.Equal(demand.Uses, e.asked.Uses) &&
		demand.ReportGap == e.asked.ReportGap {
		return
	}
	e.asked = demand
	s.emit(Ask{Instance: e.Instance, Demand: demand})
}

func (s *State) wantsOf(e *endpoint) []stock.Want {
	var list []stock.Want
	for _, w := range s.wants {
		if w.instance != e.Instance {
			continue
		}
		one := stock.Want{Item: w.key.item, Priority: w.priority, Waiting: max(len(w.requests), 1), Deadline: w.until}
		if len(w.requests) > 0 {
			one.Priority = w.requests[0].Route.Priority
		}
		for _, r := range w.requests {
			one.Priority = min(one.Priority, r.Route.Priority)
			if r.Deadline.After(one.Deadline) {
				one.Deadline = r.Deadline
			}
		}
		list = append(list, one)
	}
	for _, c := range s.copies {
		if c.instance == e.Instance && !slices.ContainsFunc(list, func(w stock.Want) bool { return w.Item == c.want.Item }) {
			list = append(list, c.want)
		}
	}
	slices.SortFunc(list, func(a, b stock.Want) int { return compareItems(a.Item, b.Item) })
	return list
}

// sameWants compares what is asked for, whatever the deadlines.
func sameWants(a, b []stock.Want) bool {
	return slices.EqualFunc(a, b, func(x, y stock.Want) bool { return x.Item == y.Item })
}

func (s *State) usesOf(e *endpoint) []stock.Use {
	list := make([]stock.Use, 0, len(e.Stock.Models))
	for _, h := range e.Stock.Models {
		use := stock.Use{Model: h.Model, Running: e.models[h.Model]}
		use.Holders = s.holders(e.Service, stock.Item{Model: h.Model})
		if t := s.demand[h.Model]; t != nil {
			use.Rate = float64(int(t.rate*20)) / 20
		}
		list = append(list, use)
	}
	for _, item := range slices.SortedFunc(maps.Keys(e.adapters), compareItems) {
		list = append(list, stock.Use{Model: item.Model, Adapter: item.Adapter, Running: e.adapters[item]})
	}
	return list
}

func compareItems(a, b stock.Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
