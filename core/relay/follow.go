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
	followAll  = 256
	followMost = 48
	// followTime is how often the choice is looked at again.
	followTime = 2 * time.Second
	// reportsMost is how many reports a second the agents that a router follows are
	// to send in all while nothing but load changes, in a fleet of more than
	// followAll, and demandsMost how many demands a second it sends while nothing
	// but traffic does.
	reportsMost = 16
	demandsMost = 10
	// unseenCost is the least cost of an endpoint whose agent is not followed, in ms,
	// and twice that the most: its load is not known, so that routers must not all
	// choose the same one.
	unseenCost = 25.0
	// connectTime is how long an agent may take to report after it is followed.
	connectTime = 500 * time.Millisecond
)

// partial says whether a router follows a part of the agents.
func (s *State) partial() bool { return s.followed != nil }

// follow chooses the agents to be connected to.
func (s *State) follow() {
	if !s.refollow && (!s.partial() || s.now.Before(s.followAt)) {
		return
	}
	s.refollow, s.followAt = false, s.now.Add(followTime)
	s.agents = countAgents(s.endpoints)
	if s.agents <= followAll {
		s.followed = nil
		s.emit(Follow{List: membersOf(s.endpoints)})
		return
	}
	chosen := s.chosen()
	followed := make(map[string]time.Time, len(chosen))
	changed := !s.partial() || len(chosen) != len(s.followed)
	for _, e := range chosen {
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
	s.emit(Follow{List: membersOf(chosen)})
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
	e.hasAgent, e.asked = false, stock.Demand{}
	listed := e.Member
	listed.Stock = e.listed
	s.restock(e, func() { e.update(listed) })
	s.forgetWants(e.Instance)
}

// noteFirst has the agents for a model chosen at once that was not in use.
func (s *State) noteFirst(t *traffic) {
	if s.partial() && t.rate*rateSpan.Seconds() < followLeast {
		s.refollow = true
	}
}

// connecting says whether an agent that is followed for a model has had no time to
// report.
func (s *State) connecting(key wantKey) bool {
	if !s.partial() {
		return false
	}
	return slices.ContainsFunc(s.placesOf(key.service, key.item.Model), func(e *endpoint) bool {
		at, ok := s.followed[e.Instance]
		return !e.hasAgent && (!ok && s.refollow || ok && s.now.Before(at.Add(connectTime)))
	})
}

// reportGap is the least time between two reports of one agent that tell only of
// load; 0 leaves it to the agents.
func (s *State) reportGap() time.Duration {
	if !s.partial() {
		return 0
	}
	return time.Duration(len(s.followed)) * time.Second / reportsMost
}

// refreshPause is the time between two looks at the traffic of all agents.
func (s *State) refreshPause() time.Duration {
	if s.partial() {
		return max(refreshTime, time.Duration(len(s.followed))*time.Second/demandsMost)
	}
	return max(refreshTime, time.Duration(len(s.endpoints))*refreshEach)
}

// routersSeen returns how many routers there are, by what the agent of one endpoint
// sees: of a large fleet each router follows a part.
func (s *State) routersSeen(connected int) int {
	if !s.partial() || len(s.followed) == 0 {
		return max(connected, 1)
	}
	return max(connected*s.agents/len(s.followed), 1)
}
