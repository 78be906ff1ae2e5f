package relay

import (
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// crossDomainCostMS is the cost of an endpoint in another failure domain than the
	// router's, for the longer round trip and the price of the traffic.
	crossDomainCostMS = 6.0
	// runningCostMS is the increase of the time to first event for each request at the
	// endpoint, as the engine processes all requests in the same batch.
	runningCostMS = 1.5
	// failureCostMS is the cost of a failed attempt. It is multiplied by the failure rate.
	failureCostMS = 1500.0
	// queueSixteenths is the number of requests that are sent to an endpoint beyond its
	// slots and wait in its queue, in sixteenths of the number of slots: 2 is an eighth.
	// It is enough to keep all slots in use.
	queueSixteenths = 2
	// maxSharingRouters is the maximum number of routers that are assumed to send prompts
	// to the same endpoint at the same moment.
	maxSharingRouters = 2
	// ejectedCostMS is the cost of an ejected endpoint, that is, one that is avoided for a
	// while after failures. It is so high that the endpoint is used only if there is no other.
	ejectedCostMS = 1e6
	// kvFullCostMS is the cost of an endpoint whose KV cache has no room for the request:
	// about the time until another request ends.
	kvFullCostMS = 1000.0
	// soleHolderCostMS is the cost of an endpoint that alone has its version of the software among the
	// holders of the model, if another version has several: when it fails, no other can go on with
	// its streams. It is about the cost of 40 more requests at an endpoint.
	soleHolderCostMS = 60.0
)

// choose returns an endpoint with a low cost among those that can take the request now, or nil if there
// is none; see chooseOption. The cost is the estimated time to first event with penalties.
func (s *State) choose(r *request) (*endpoint, Basis) {
	options, unlimited := s.options[:0], 0
	cachedInstance, cachedTokens := s.promptIndex.cachedTokens(r)
	successors := s.versionSuccessors(r)
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if !s.canServe(e, r) || e.full() || e.shedsAt(r.Item.Model, s.now) || s.wouldStallStreams(e, r) || !s.mayAsk(e) || !e.self.takesRequest(s.now) || s.awaitsRecord(e, r) {
			continue
		}
		if !e.limit.InForce() {
			unlimited++
		}
		prefillTokens := r.TokensIn
		if e.Instance == cachedInstance {
			prefillTokens -= cachedTokens
		}
		cost := s.cost(e, r, prefillTokens)
		if successors != nil && !successors[e.Software] {
			cost += soleHolderCostMS
		}
		options = append(options, option{e, cost})
	}
	s.options = options
	if len(options) == 0 {
		return nil, Basis{}
	}
	chosen := s.chooseOption(r, options)
	basis := s.basisOf(chosen.endpoint, len(options), chosen.costMS)
	basis.UnlimitedCandidates = unlimited
	return chosen.endpoint, basis
}

// basisOf returns the inputs of the selection of an endpoint with the cost in ms.
func (s *State) basisOf(e *endpoint, candidates int, costMS float64) Basis {
	basis := Basis{
		Candidates: candidates, Cost: time.Duration(costMS * float64(time.Millisecond)),
		Load: e.requestCount(), ReportedAt: e.reportedAt,
	}
	if e.limit.InForce() {
		basis.Limit = e.limit.PerSecond
	}
	if s.table != nil {
		basis.Routes = s.table.Version
	}
	return basis
}

// canServe reports whether the endpoint is usable for the request, even if it is full at
// the moment.
func (s *State) canServe(e *endpoint, r *request) bool {
	return e.doubt == nil && s.wouldServe(e, r)
}

// wouldServe is canServe but for a doubt about the endpoint's entry.
func (s *State) wouldServe(e *endpoint, r *request) bool {
	if e.Service != r.Service || e.Leaving || !r.fits(e) || slices.Contains(r.avoidedInstances, e.Instance) {
		return false
	}
	if r.Item.Model == "" || !e.HasModels && s.table.Engine(e.Service) == nil {
		return true
	}
	return e.assumedAlive(s.now) && e.Stock.Holds(r.Item)
}

// wouldStallStreams reports whether one more prompt would make the pauses in the streams of
// the endpoint longer than the route allows, as prefill runs between the decode steps of
// the streams.
func (s *State) wouldStallStreams(e *endpoint, r *request) bool {
	if e.prefillTokens <= 0 || r.Route.MaxGap == 0 {
		return false
	}
	sharing := min(max(s.retryBudget.routerCount, 1), maxSharingRouters)
	limit := milliseconds(r.Route.MaxGap) * e.tokensPerMS / float64(sharing)
	return float64(e.prefillTokens+r.TokensIn) > limit
}

// full reports whether the endpoint has as many requests as it can use, including a short
// queue that keeps its slots busy.
func (e *endpoint) full() bool {
	return e.Slots > 0 && e.requestCount() >= e.Slots+max(e.Slots*queueSixteenths/16, 1)
}

// cost estimates the time to first event in ms, including penalties, if prefillTokens
// tokens of the prompt are not cached at the endpoint.
func (s *State) cost(e *endpoint, r *request, prefillTokens int) float64 {
	cost := e.failureRate * failureCostMS
	if e.FailureDomain != s.cfg.FailureDomain {
		cost += crossDomainCostMS
	}
	if s.followsSubset() && !e.hasAgent && e.HasModels {
		cost += unfollowedCostMS * (1 + e.tieBreak)
	}
	if s.now.Before(e.ejectedUntil) {
		cost += ejectedCostMS
	}
	if e.limit.InForce() {
		cost += askCostMS
	}
	if r.Item.Model == "" {
		return cost + float64(e.requestCount())/float64(max(e.Slots, 1))*milliseconds(r.Route.Objective)
	}
	prefillTokens += e.prefillTokens
	if e.hasAgent && e.Stock.Waiting > 0 {
		prefillTokens += e.Stock.Waiting * r.TokensIn
	}
	if total := e.Stock.KVTotal; total > 0 && e.Stock.KVUsed+e.prefillTokens+r.TokensIn+r.TokensOut > total {
		cost += kvFullCostMS
	}
	return cost + float64(prefillTokens)/max(e.tokensPerMS, 0.1) + runningCostMS*float64(e.requestCount())
}

// holderCount returns the number of endpoints that hold the item and are not leaving.
func (s *State) holderCount(service string, item stock.Item) int {
	n := 0
	for _, e := range s.candidates(service, item.Model) {
		if !e.Leaving && e.Stock.Holds(item) {
			n++
		}
	}
	return n
}

// milliseconds returns d as a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
