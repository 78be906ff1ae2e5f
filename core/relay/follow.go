package relay

import (
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// followAll is up to how many agents all are followed, which serves callers best:
	// a router with so many stays below the users' 64 MB. followMost is how many of
	// more: pings, reports and demands of so many stay within 3 KB/s, the users'
	// bound on a router's control traffic.
	followAllLimit = 256
	maxFollowed    = 48
	// followTime is how often the choice is looked at again.
	followInterval = 2 * time.Second
	// reportsMost is how many reports a second the agents that a router follows are
	// to send in all while nothing but load changes, in a fleet of more than
	// followAll, and demandsMost how many demands a second it sends while nothing
	// but traffic does.
	maxReportsPerSecond = 16
	maxDemandsPerSecond = 10
	// unseenCost is the least cost of an endpoint whose agent is not followed, in ms,
	// and twice that the most: its load is not known, so that routers must not all
	// choose the same one.
	unfollowedCostMS = 25.0
	// connectTime is how long an agent may take to report after it is followed.
	connectTimeout = 500 * time.Millisecond
)

// partial says whether a router follows a part of the agents.
func (s *State) followsSubset() bool { return s.followed != nil }

// follow chooses the agents to be connected to.
func (s *State) updateFollowed() {
	if !s.followNow && (!s.followsSubset() || s.now.Before(s.nextFollowAt)) {
		return
	}
	s.followNow, s.nextFollowAt = false, s.now.Add(followInterval)
	s.agentCount = countAgents(s.endpoints)
	if s.agentCount <= followAllLimit {
		s.followed = nil
		s.emit(FollowAgents{List: membersOf(s.endpoints)})
		return
	}
	followTargets := s.followTargets()
	followed := make(map[string]time.Time, len(followTargets))
	changed := !s.followsSubset() || len(followTargets) != len(s.followed)
	for _, e := range followTargets {
		at, ok := s.followed[e.Instance]
		if !ok {
			at, changed = s.now, true
		}
		followed[e.Instance] = at
	}
	s.followed = followed
	if !changed {
		return
	}
	s.emit(FollowAgents{List: membersOf(followTargets)})
	for _, e := range s.endpoints {
		if _, ok := followed[e.Instance]; !ok && e.hasAgent {
			s.unfollow(e)
		}
	}
}

func countAgents(list []*endpoint) int {
	n := 0
	for _, e := range list {
		if e.HasModels {
			n++
		}
	}
	return n
}

func membersOf(list []*endpoint) []Member {
	members := make([]Member, 0, len(list))
	for _, e := range list {
		members = append(members, e.Member)
	}
	return members
}

// unfollow forgets what an agent has reported, but for copies beside its endpoint
// that the list does not tell of.
func (s *State) unfollow(e *endpoint) {
	e.hasAgent, e.lastDemand = false, stock.Demand{}
	listedStock := e.Member
	listedStock.Stock = e.listedStock
	s.updateStock(e, func() { e.update(listedStock) })
	s.unassignLoads(e.Instance)
}

// noteFirst has the agents for a model chosen at once that was not in use.
func (s *State) followNewModel(t *traffic) {
	if s.followsSubset() && t.rate*rateDecay.Seconds() < minFollowRequests {
		s.followNow = true
	}
}

// connecting says whether an agent that is followed for a model has had no time to
// report.
func (s *State) loaderConnecting(key loadKey) bool {
	if !s.followsSubset() {
		return false
	}
	return slices.ContainsFunc(s.preferredLoaders(key.service, key.item.Model), func(e *endpoint) bool {
		at, ok := s.followed[e.Instance]
		return !e.hasAgent && (!ok && s.followNow || ok && s.now.Before(at.Add(connectTimeout)))
	})
}

// reportGap is the least time between two reports of one agent that tell only of
// load; 0 leaves it to the agents.
func (s *State) reportGap() time.Duration {
	if !s.followsSubset() {
		return 0
	}
	return time.Duration(len(s.followed)) * time.Second / maxReportsPerSecond
}

// refreshPause is the time between two looks at the traffic of all agents.
func (s *State) refreshInterval() time.Duration {
	if s.followsSubset() {
		return max(minRefreshInterval, time.Duration(len(s.followed))*time.Second/maxDemandsPerSecond)
	}
	return max(minRefreshInterval, time.Duration(len(s.endpoints))*refreshPerEndpoint)
}

// routersSeen returns how many routers there are, by what the agent of one endpoint
// sees: of a large fleet each router follows a part.
func (s *State) estimateRouters(connected int) int {
	if !s.followsSubset() || len(s.followed) == 0 {
		return max(connected, 1)
	}
	return max(connected*s.agentCount/len(s.followed), 1)
}
