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
	// minFollowRequests is the smallest decayed number of recent requests for a model (see
	// rateDecay) at which the router follows agents for the model. At 0.05, one request
	// has agents followed for about a minute.
	minFollowRequests = 0.05
	// maxFollowedHolders is the maximum number of holders of a model that are followed for
	// it, maxFollowedLoaders the maximum number of endpoints that may load it. The requests
	// of one router need no more, even if some of these endpoints fail.
	maxFollowedHolders = 8
	maxFollowedLoaders = 4
	// alwaysFollowedPerService is the number of agents of each service that are followed
	// independently of the traffic. It is large enough that one of them has the newest
	// routes while others are disconnected.
	alwaysFollowedPerService = 4
	// coldModelRate is added to the request rate of a model that no endpoint holds, in
	// requests per second, to follow the agents that may load the model before those of
	// other models: an endpoint to load it must be found first.
	coldModelRate = 1000.0
)

// alwaysFollowedWeight is the weight of endpoints that are followed independently of the traffic.
var alwaysFollowedWeight = math.Inf(1)

// followCandidate is an endpoint whose agent may be followed, with the weight by which it
// competes with others.
type followCandidate struct {
	e      *endpoint
	weight float64
}

// followTargets returns the at most maxFollowed endpoints whose agents are to be followed,
// sorted by instance. If there are too many, the judges, the baseline and the endpoints that have
// been asked for loads come first, then the endpoints for the requested models, in proportion to
// the requests.
func (s *State) followTargets() []*endpoint {
	candidates := append(s.judgeCandidates(), s.baselineCandidates()...)
	candidates = append(candidates, s.originCandidates()...)
	candidates = append(candidates, s.silentCandidates()...)
	candidates = append(candidates, s.loaderCandidates()...)
	candidates = append(candidates, s.limitedCandidates()...)
	for _, model := range slices.Sorted(maps.Keys(s.modelTraffic)) {
		candidates = append(candidates, s.modelCandidates(model, s.modelTraffic[model])...)
	}
	slices.SortStableFunc(candidates, func(a, b followCandidate) int { return cmp.Compare(b.weight, a.weight) })
	var list []*endpoint
	chosen := make(map[string]bool, maxFollowed)
	for _, c := range candidates {
		if len(list) < maxFollowed && !chosen[c.e.Instance] {
			chosen[c.e.Instance] = true
			list = append(list, c.e)
		}
	}
	slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// baselineCandidates returns the endpoints that are followed independently of the traffic. A
// router that has missed new routes in the store receives them from their agents.
func (s *State) baselineCandidates() []followCandidate {
	var candidates []followCandidate
	for _, service := range slices.Sorted(maps.Keys(s.index.rings)) {
		if s.table.Engine(service) == nil {
			continue
		}
		for _, e := range s.index.successors(service, s.cfg.Process, alwaysFollowedPerService) {
			candidates = append(candidates, followCandidate{e, alwaysFollowedWeight})
		}
	}
	return candidates
}

// loaderCandidates returns the endpoints that have been asked to load an item.
func (s *State) loaderCandidates() []followCandidate {
	var instances []string
	for _, load := range s.pendingLoads {
		instances = append(instances, load.instance)
	}
	for _, r := range s.replicaRequests {
		instances = append(instances, r.instance)
	}
	slices.Sort(instances)
	var candidates []followCandidate
	for _, id := range slices.Compact(instances) {
		if e := s.endpoint(id); e != nil {
			candidates = append(candidates, followCandidate{e, alwaysFollowedWeight})
		}
	}
	return candidates
}

// modelCandidates returns the endpoints to follow for one model, with weights that decrease
// along followOrder. Models without a holder get the highest weights.
func (s *State) modelCandidates(model string, t *traffic) []followCandidate {
	rate := t.rate * math.Exp(-s.now.Sub(t.updatedAt).Seconds()/rateDecay.Seconds())
	if rate*rateDecay.Seconds() < minFollowRequests || s.table.Engine(t.service) == nil {
		return nil
	}
	if len(s.candidates(t.service, model)) == 0 {
		rate += coldModelRate
	}
	endpoints := s.followOrder(t.service, model)
	candidates := make([]followCandidate, 0, len(endpoints))
	for i, e := range endpoints {
		candidates = append(candidates, followCandidate{e, rate / float64(i+1)})
	}
	return candidates
}

// followOrder returns the endpoints to follow for one model, most important first: its
// holders, with an endpoint that may load it after every two of them.
func (s *State) followOrder(service, model string) []*endpoint {
	holders := s.nearestHolders(service, model)
	loaders := s.preferredLoaders(service, model)
	order := make([]*endpoint, 0, len(holders)+len(loaders))
	for i := range max(len(holders), 2*len(loaders)) {
		if i < len(holders) {
			order = append(order, holders[i])
		}
		if (i%2 == 1 || i >= len(holders)) && len(loaders) > 0 {
			order = append(order, loaders[0])
			loaders = loaders[1:]
		}
	}
	return order
}

// nearestHolders returns up to maxFollowedHolders holders of a model, those in the router's
// own failure domain first. Within a domain the order differs between routers, so that they
// spread over the holders.
func (s *State) nearestHolders(service, model string) []*endpoint {
	list := slices.DeleteFunc(slices.Clone(s.candidates(service, model)), func(e *endpoint) bool { return e.Leaving })
	distance := func(e *endpoint) float64 {
		if e.FailureDomain != s.cfg.FailureDomain {
			return 1 + e.tieBreak
		}
		return e.tieBreak
	}
	slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(distance(a), distance(b)) })
	return list[:min(len(list), maxFollowedHolders)]
}

// tieBreakOf returns the number that breaks ties between endpoints at this router; see
// endpoint.tieBreak.
func (s *State) tieBreakOf(instance string) float64 {
	return float64(xxhash.Sum64String(s.cfg.Process+" "+instance)) / math.MaxUint64
}

// preferredLoaders returns up to maxFollowedLoaders endpoints that should load a model.
// Routers with the same endpoint list agree on them: former holders first, as they have
// cached weights, then by consistent hashing of the model name.
func (s *State) preferredLoaders(service, model string) []*endpoint {
	var list []*endpoint
	for _, id := range s.index.formerHolders[modelKey{service, model}] {
		if e := s.endpoint(id); e != nil {
			list = append(list, e)
		}
	}
	list = append(list, s.index.successors(service, model, 2*maxFollowedLoaders)...)
	loaders := make([]*endpoint, 0, maxFollowedLoaders)
	for _, e := range list {
		if len(loaders) < maxFollowedLoaders && !e.Leaving && !e.Stock.Holds(stock.Item{Model: model}) && !slices.Contains(loaders, e) {
			loaders = append(loaders, e)
		}
	}
	return loaders
}
