package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/stock"
)

const (
	// followAll is up to how many agents all are followed, and followMost how many of
	// more: pings, reports and demands of so many stay within 3 KB/s, the users'
	// bound on a router's control traffic.
	followAll  = 64
	followMost = 48
	// followTime is how often the choice is looked at again.
	followTime = 2 * time.Second
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

// unconfirmed says whether an endpoint that holds what a request needs by the list
// is about to be confirmed. Where all agents are followed, its report tells more.
func (s *State) unconfirmed(r *request) bool {
	return s.partial() && slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool {
		return !e.Leaving && e.Stock.Holds(r.Item) && !e.confirmed(s.now) && !slices.Contains(r.avoid, e.Instance)
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
