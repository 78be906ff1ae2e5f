package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/stock"
)

const (
	// followLeast is the traffic from which the agents for a model are followed, in
	// requests within rateSpan: one request is followed for a minute.
	followLeast = 0.05
	// followHolders is how many holders of one model are followed, and followPlaces
	// how many endpoints that may load it: as many as one router's requests need
	// while some fail.
	followHolders = 8
	followPlaces  = 4
	// followAlways is how many agents are followed whatever is asked for: enough that
	// one of them has the newest routes while others are cut off.
	followAlways = 4
	// nobodyHolds is the traffic in requests a second that a model counts for besides
	// its own while nobody holds it: the place to load it must be found.
	nobodyHolds = 1000.0
)

// pick is an endpoint to follow on account of a model, and what that is worth.
type pick struct {
	e     *endpoint
	worth float64
}

// chosen returns the endpoints whose agents matter most to this router: those that
// are asked for a load, then those for the models that it is asked for, in
// proportion to the requests.
func (s *State) chosen() []*endpoint {
	picks := append(s.always(), s.asked()...)
	for _, model := range slices.Sorted(maps.Keys(s.demand)) {
		picks = append(picks, s.picksFor(model, s.demand[model])...)
	}
	slices.SortStableFunc(picks, func(a, b pick) int { return cmp.Compare(b.worth, a.worth) })
	var list []*endpoint
	picked := make(map[string]bool, followMost)
	for _, p := range picks {
		if len(list) < followMost && !picked[p.e.Instance] {
			picked[p.e.Instance] = true
			list = append(list, p.e)
		}
	}
	slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// always returns endpoints whose agents are followed whatever is asked for: routers
// learn from agents of routes that their own watch has missed.
func (s *State) always() []pick {
	var picks []pick
	for _, service := range slices.Sorted(maps.Keys(s.index.rings)) {
		if s.table.Engine(service) == nil {
			continue
		}
		for _, e := range s.index.after(service, s.cfg.Process, followAlways) {
			picks = append(picks, pick{e, math.Inf(1)})
		}
	}
	return picks
}

// asked returns the endpoints that were asked for loads.
func (s *State) asked() []pick {
	var instances []string
	for _, w := range s.wants {
		instances = append(instances, w.instance)
	}
	for _, c := range s.copies {
		instances = append(instances, c.instance)
	}
	slices.Sort(instances)
	var picks []pick
	for _, id := range slices.Compact(instances) {
		if e := s.endpoint(id); e != nil {
			picks = append(picks, pick{e, math.Inf(1)})
		}
	}
	return picks
}

// picksFor returns the endpoints to follow for one model. Each next one is worth
// less; those of a model that requests wait for and nobody holds come first.
func (s *State) picksFor(model string, t *traffic) []pick {
	rate := t.rate * math.Exp(-s.now.Sub(t.at).Seconds()/rateSpan.Seconds())
	if rate*rateSpan.Seconds() < followLeast || s.table.Engine(t.service) == nil {
		return nil
	}
	if len(s.candidates(t.service, model)) == 0 {
		rate += nobodyHolds
	}
	queue := s.queueOf(t.service, model)
	picks := make([]pick, 0, len(queue))
	for i, e := range queue {
		picks = append(picks, pick{e, rate / float64(i+1)})
	}
	return picks
}

// queueOf lists the endpoints to follow for one model: holders, and after every
// second of them one that may load it.
func (s *State) queueOf(service, model string) []*endpoint {
	holders := s.nearest(service, model)
	places := s.placesOf(service, model)
	queue := make([]*endpoint, 0, len(holders)+len(places))
	for i := range max(len(holders), 2*len(places)) {
		if i < len(holders) {
			queue = append(queue, holders[i])
		}
		if (i%2 == 1 || i >= len(holders)) && len(places) > 0 {
			queue = append(queue, places[0])
			places = places[1:]
		}
	}
	return queue
}

// nearest returns holders of a model: those in the own failure domain first, in
// an order of this router's own, so that routers share the holders.
func (s *State) nearest(service, model string) []*endpoint {
	list := slices.DeleteFunc(slices.Clone(s.candidates(service, model)), func(e *endpoint) bool { return e.Leaving })
	far := func(e *endpoint) float64 {
		if e.FailureDomain != s.cfg.FailureDomain {
			return 1 + e.rank
		}
		return e.rank
	}
	slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(far(a), far(b)) })
	return list[:min(len(list), followHolders)]
}

// rankOf returns where this router puts an endpoint among equal ones, from 0 to 1.
func (s *State) rankOf(instance string) float64 {
	return float64(xxhash.Sum64String(s.cfg.Process+" "+instance)) / math.MaxUint64
}

// placesOf returns the endpoints that are to load a model, the same at all routers
// with the same list: those that held it last, as they have a copy, then by a hash
// of its name.
func (s *State) placesOf(service, model string) []*endpoint {
	var list []*endpoint
	for _, id := range s.index.former[holderKey{service, model}] {
		if e := s.endpoint(id); e != nil {
			list = append(list, e)
		}
	}
	list = append(list, s.index.after(service, model, 2*followPlaces)...)
	places := make([]*endpoint, 0, followPlaces)
	for _, e := range list {
		if len(places) < followPlaces && !e.Leaving && !e.Stock.Holds(stock.Item{Model: model}) && !slices.Contains(places, e) {
			places = append(places, e)
		}
	}
	return places
}
