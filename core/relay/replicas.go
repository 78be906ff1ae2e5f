package relay

import (
	"maps"
	"math"
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// maxPrefillShare is the share of its time that an endpoint should spend on the prefill
	// of one model's prompts. Prefill runs between the decode steps of streams, so that a
	// higher share causes pauses in them.
	maxPrefillShare = 0.15
	// scaleInterval is the interval at which the number of replicas of each model is
	// reviewed.
	scaleInterval = 500 * time.Millisecond
	// replicaRequestLifetime is how long an agent may act on a request for an extra replica.
	replicaRequestLifetime = 5 * time.Second
)

// scaleReplicasIfDue requests the replicas that are missing of each model for its traffic. It
// does so once in scaleInterval.
func (s *State) scaleReplicasIfDue() {
	if s.now.Before(s.nextScaleAt) {
		return
	}
	s.nextScaleAt = s.now.Add(scaleInterval)
	for _, r := range s.replicaRequests {
		s.outdatedDemands[r.instance] = true
	}
	s.replicaRequests = s.replicaRequests[:0]
	summary := s.fleetSummary()
	for _, model := range slices.Sorted(maps.Keys(s.modelTraffic)) {
		t := s.modelTraffic[model]
		t.decay(s.now)
		engine := s.table.Engine(t.service)
		if engine == nil {
			continue
		}
		s.requestMissingReplicas(model, t, engine, summary)
	}
}

// fleetSummary holds the totals over all endpoints that are needed to decide on replicas.
type fleetSummary struct {
	// tokensPerMS is the mean prefill speed.
	tokensPerMS float64
	// loading is the number of endpoints that are loading an item.
	loading map[loadKey]int
}

// fleetSummary returns a summary of the current state of all endpoints.
func (s *State) fleetSummary() fleetSummary {
	summary := fleetSummary{tokensPerMS: initialTokensPerMS, loading: make(map[loadKey]int)}
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		for _, load := range e.Stock.Loads {
			if !e.Leaving {
				summary.loading[loadKey{service: e.Service, item: load.Item}]++
			}
		}
		if e.hasAgent {
			sum += e.tokensPerMS
			n++
		}
	}
	if n > 0 {
		summary.tokensPerMS = max(sum/float64(n), 1)
	}
	return summary
}

// replicaRequest is a request for a replica of a model at an endpoint.
type replicaRequest struct {
	instance string
	request  stock.LoadRequest
}

// requestMissingReplicas requests the replicas of a model that its traffic requires beyond
// those that are loaded or being loaded. Extra replicas are requested only from endpoints with
// cached weights, the first replica of a model from any endpoint.
func (s *State) requestMissingReplicas(model string, t *traffic, engine *route.Engine, summary fleetSummary) {
	item := stock.Item{Model: model}
	rate := max(confidentRate(t.rate, rateDecay), confidentRate(t.recentRate, recentRateDecay)) * float64(s.retryBudget.routerCount)
	holderCount := s.holderCount(t.service, item)
	if holderCount == 0 {
		s.requestFirstReplicaIfJustified(model, t, engine, rate)
		return
	}
	t.firstReplica = firstReplicaRequest{}
	// Limited holders serve only part of the traffic.
	existing, needed := s.unlimitedHolderCount(t.service, item)+summary.loading[loadKey{service: t.service, item: item}], replicasFor(t, rate, summary.tokensPerMS)
	if existing >= needed {
		return
	}
	var excluded []string
	for _, e := range s.endpoints {
		if !e.hasAgent {
			continue
		}
		if _, loading := e.Stock.LoadReadyAt(item); loading || e.Stock.Holds(item) || !hasCachedWeights(e, model) {
			excluded = append(excluded, e.Instance)
		}
	}
	for n := existing; n < needed; n++ {
		e, _ := s.chooseLoader(loadKey{service: t.service, item: item}, engine, excluded)
		if e == nil {
			return
		}
		excluded = append(excluded, e.Instance)
		s.requestReplica(e, item, rate/float64(n+1))
	}
}

// requestReplica asks an endpoint to load a replica that would serve rate requests per second.
func (s *State) requestReplica(e *endpoint, item stock.Item, rate float64) {
	s.outdatedDemands[e.Instance] = true
	s.replicaRequests = append(s.replicaRequests, replicaRequest{e.Instance, stock.LoadRequest{
		Item: item, Priority: math.MaxInt16, Deadline: s.now.Add(replicaRequestLifetime), Rate: rate,
	}})
}

// replicasFor returns the number of endpoints that a model needs at the given rate in
// requests per second, if each processes speed prompt tokens per ms.
func replicasFor(t *traffic, rate, speed float64) int {
	return int(math.Ceil(rate * t.meanTokens / speed / 1000 / maxPrefillShare))
}

// loadingCount returns the number of endpoints that are loading the item.
func (s *State) loadingCount(service string, item stock.Item) int {
	n := 0
	for _, e := range s.index.endpointsByService[service] {
		if _, ok := e.Stock.LoadReadyAt(item); ok && !e.Leaving {
			n++
		}
	}
	return n
}

// hasCachedWeights reports whether the model's weights are cached in memory or on disk of
// the endpoint's host.
func hasCachedWeights(e *endpoint, model string) bool {
	return slices.Contains(e.Stock.Copies.Memory, model) || slices.Contains(e.Stock.Copies.Disk, model)
}

// confidentRate returns the rate that a moving average with the given time constant shows beyond chance.
func confidentRate(rate float64, decay time.Duration) float64 {
	n := rate * decay.Seconds()
	return max(n-math.Sqrt(n), 0) / decay.Seconds()
}
