package relay

import (
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// followAllLimit is the number of agents up to which the router follows all of them,
	// which gives the best decisions. With this number a router stays within its memory
	// limit of 64 MB. maxFollowed is the maximum number in larger fleets, so that pings,
	// reports and demands stay within the limit of 3 KB/s for a router's control traffic.
	followAllLimit = 256
	maxFollowed    = 48
	// followInterval is the interval at which the followed agents are selected again.
	followInterval = 2 * time.Second
	// maxReportsPerSecond is the total rate of reports from all followed agents while only
	// their numbers of requests change, maxDemandsPerSecond the rate of demands that the
	// router sends while only its traffic changes. Both apply to fleets of more than
	// followAllLimit agents.
	maxReportsPerSecond = 16
	maxDemandsPerSecond = 10
	// unfollowedCostMS is the minimum cost of an endpoint whose agent is not followed; the
	// maximum is twice as high. The load of such an endpoint is unknown, so that the cost
	// differs between routers to keep them from choosing the same endpoint.
	unfollowedCostMS = 25.0
	// connectTimeout is the time that an agent has to send its first report after the
	// router has started to follow it.
	connectTimeout = 500 * time.Millisecond
)

// followsSubset reports whether the router follows only part of the agents.
func (s *State) followsSubset() bool { return s.followed != nil }

// updateFollowedIfDue selects the agents to follow if a selection is due, and emits a
// FollowAgents effect if the selection has changed.
func (s *State) updateFollowedIfDue() {
	if !s.followUpdatePending && (!s.followsSubset() || s.now.Before(s.nextFollowAt)) {
		return
	}
	s.followUpdatePending, s.nextFollowAt = false, s.now.Add(followInterval)
	s.agentCount = countAgents(s.endpoints)
	if s.agentCount <= followAllLimit {
		s.followed = nil
		s.followAll()
		return
	}
	s.followedAll = nil
	followTargets := s.followTargets()
	followed := make(map[string]time.Time, len(followTargets))
	changed := !s.followsSubset() || len(followTargets) != len(s.followed)
	for _, e := range followTargets {
		since, ok := s.followed[e.Instance]
		if !ok {
			since, changed = s.now, true
		}
		followed[e.Instance] = since
	}
	s.followed = followed
	if !changed {
		return
	}
	s.emit(FollowAgents{List: entriesOf(followTargets)})
	for _, e := range s.endpoints {
		if _, ok := followed[e.Instance]; !ok && e.hasAgent {
			s.unfollow(e)
		}
	}
}

// followAll emits a FollowAgents effect for all agents if their endpoints have changed since the
// last one.
func (s *State) followAll() {
	same := slices.EqualFunc(s.followedAll, s.endpoints, func(m EndpointEntry, e *endpoint) bool {
		return m.Instance == e.Instance && m.Address == e.Address && m.HasModels == e.HasModels
	})
	if same && s.followedAll != nil {
		return
	}
	s.followedAll = entriesOf(s.endpoints)
	s.emit(FollowAgents{List: s.followedAll})
}

// countAgents returns the number of endpoints with an agent.
func countAgents(list []*endpoint) int {
	n := 0
	for _, e := range list {
		if e.HasModels {
			n++
		}
	}
	return n
}

// entriesOf returns the list entries of endpoints.
func entriesOf(list []*endpoint) []EndpointEntry {
	entries := make([]EndpointEntry, 0, len(list))
	for _, e := range list {
		entries = append(entries, e.EndpointEntry)
	}
	return entries
}

// unfollow replaces what the endpoint's agent has reported by the endpoint's list entry.
// Reported cached weights are kept if the entry has none.
func (s *State) unfollow(e *endpoint) {
	e.hasAgent, e.lastDemand, e.toldCrashCount, e.toldVersions = false, stock.Demand{}, 0, nil
	listedEntry := e.EndpointEntry
	listedEntry.Stock = e.listedStock
	s.updateStock(e, func() { e.update(listedEntry) })
	s.unassignLoads(e.Instance)
}

// scheduleFollowUpdateIfNew requests a new selection of the followed agents after the current
// event if there was no recent traffic for a model. t is the traffic of the model before the
// current request is added to it.
func (s *State) scheduleFollowUpdateIfNew(t *traffic) {
	if s.followsSubset() && t.rate*rateDecay.Seconds() < minFollowRequests {
		s.followUpdatePending = true
	}
}

// hasConnectingLoader reports whether the first report of one of the model's preferred loaders
// is still expected, because the router has just started to follow its agent or is about to.
func (s *State) hasConnectingLoader(key loadKey) bool {
	if !s.followsSubset() {
		return false
	}
	return slices.ContainsFunc(s.preferredLoaders(key.service, key.item.Model), func(e *endpoint) bool {
		since, ok := s.followed[e.Instance]
		return !e.hasAgent && key.fits(e) && (!ok && s.followUpdatePending || ok && s.now.Before(since.Add(connectTimeout)))
	})
}

// reportGap returns the minimum time between two reports of one agent that differ only in the
// numbers of running and waiting requests; 0 lets the agent choose.
func (s *State) reportGap() time.Duration {
	if !s.followsSubset() {
		return 0
	}
	return time.Duration(len(s.followed)) * time.Second / maxReportsPerSecond
}

// refreshInterval returns the interval at which all agents are sent the current traffic.
func (s *State) refreshInterval() time.Duration {
	if s.followsSubset() {
		return max(minRefreshInterval, time.Duration(len(s.followed))*time.Second/maxDemandsPerSecond)
	}
	return max(minRefreshInterval, time.Duration(len(s.endpoints))*refreshPerEndpoint)
}

// estimateRouters estimates the total number of routers from the number of routers
// connected to one agent. If each router follows only part of the agents, an agent is
// connected to only part of the routers.
func (s *State) estimateRouters(connected int) int {
	if !s.followsSubset() || len(s.followed) == 0 {
		return max(connected, 1)
	}
	return max(connected*s.agentCount/len(s.followed), 1)
}
