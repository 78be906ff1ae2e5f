package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// latestIntervalWeight is the weight of the latest interval in the moving average of the time
	// between two reports of an agent.
	latestIntervalWeight = 0.3
	// ownRequestWeight is the part of a request that counts as evidence that other routers get requests
	// for its model, too. With many routers, each gets few of them.
	ownRequestWeight = 0.25
)

// option is an endpoint that can take a request, with the cost of that in ms.
type option struct {
	endpoint *endpoint
	costMS   float64
}

// chooseOption returns the option for a request. It is the one with the lowest cost, unless other
// routers are expected to send requests for the same model before the next reports: they have the
// same reports, so that all of them would choose the same endpoint. The request then goes to one at
// random, with the probabilities at which these requests, together, bring the endpoints with the
// lowest costs to the same cost (Dahlin, "Interpreting Stale Load Information").
func (s *State) chooseOption(r *request, options []option) option {
	others := s.concurrentRequests(r, options)
	if others < 1 || len(options) == 1 {
		return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.costMS, b.costMS) })
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.costMS, b.costMS) })
	level := s.commonCost(r, options, others)
	left := s.randomOf(r) * others
	for _, o := range options {
		if left -= (level - o.costMS) / s.requestCostMS(r, o.endpoint); left <= 0 {
			return o
		}
	}
	return options[0]
}

// commonCost returns the cost in ms to which the requests of others bring the endpoints with
// the lowest costs. The options are in ascending order of cost.
func (s *State) commonCost(r *request, options []option, others float64) float64 {
	// weight is the number of requests that raise the cost of the first options by 1 ms, sum the
	// number that would raise them to it from 0.
	weight, sum, level := 0.0, 0.0, 0.0
	for _, o := range options {
		if weight > 0 && o.costMS >= level {
			break
		}
		w := 1 / s.requestCostMS(r, o.endpoint)
		weight += w
		sum += w * o.costMS
		level = (others + sum) / weight
	}
	return level
}

// requestCostMS returns how much a request like r raises the cost of the endpoint, in ms.
func (s *State) requestCostMS(r *request, e *endpoint) float64 {
	if r.Item.Model == "" {
		return milliseconds(r.Route.Objective) / float64(max(e.Slots, 1))
	}
	return float64(r.TokensIn)/max(e.tokensPerMS, 0.1) + runningCostMS
}

// concurrentRequests returns the expected number of requests of other routers for the same model
// between two reports of the endpoints.
func (s *State) concurrentRequests(r *request, options []option) float64 {
	t := s.modelTraffic[r.Item.Model]
	if t == nil || r.Item.Model == "" {
		return 0
	}
	var interval time.Duration
	for _, o := range options {
		interval += o.endpoint.reportInterval / time.Duration(len(options))
	}
	// The request itself has been counted.
	rate := max(t.rate-(1-ownRequestWeight)/rateDecay.Seconds(), t.recentRate-1/recentRateDecay.Seconds())
	return rate * float64(s.retryBudget.routerCount-1) * interval.Seconds()
}

// randomOf returns a pseudo-random number from 0 to 1 for a request, which differs between routers.
func (s *State) randomOf(r *request) float64 {
	return float64(xxhash.Sum64String(s.cfg.Process)^xxhash.Sum64String(r.AttemptID)) / math.MaxUint64
}
