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
	// followMost is how many agents a router follows: all of a fleet of so many,
	// else those of the models that it is asked for. Pings and reports of so many
	// stay within 3 KB/s.
	followMost = 64
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
	// nobodyHolds is the traffic in requests a second that a model counts for besides
	// its own while nobody holds it: the place to load it must be found.
	nobodyHolds = 1000.0
	// reportsMost is how many reports a second the agents that a router follows are
	// to send in all while nothing but load changes, in a fleet of more than
	// followMost.
	reportsMost = 16
	// unseenCost is the cost of an endpoint whose agent is not followed, in ms: its
	// load is not known.
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
	if s.agents <= followMost {
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

// unfollow forgets what an agent has reported, but for the copies beside its
// endpoint: the list tells what that holds.
func (s *State) unfollow(e *endpoint) {
	e.hasAgent, e.asked = false, stock.Demand{}
	s.restock(e, func() {
		copies := e.Stock.Copies
		e.Stock = e.listed
		e.Stock.Copies = copies
	})
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
	picks := s.asked()
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
	type ranked struct {
		e    *endpoint
		far  bool
		rank uint64
	}
	var list []ranked
	for _, e := range s.candidates(service, model) {
		if !e.Leaving {
			rank := xxhash.Sum64String(s.cfg.Process + " " + e.Instance)
			list = append(list, ranked{e, e.FailureDomain != s.cfg.FailureDomain, rank})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.far != b.far {
			return cmp.Compare(btoi(a.far), btoi(b.far))
		}
		return cmp.Compare(a.rank, b.rank)
	})
	out := make([]*endpoint, 0, followHolders)
	for _, r := range list[:min(len(list), followHolders)] {
		out = append(out, r.e)
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// placesOf returns the endpoints that are to load a model, the same at all routers
// with the same list: those that held it last, as they have a copy, then by a
// hash of model and endpoint.
func (s *State) placesOf(service, model string) []*endpoint {
	key := holderKey{service, model}
	var list []*endpoint
	for _, id := range append(slices.Clone(s.index.former[key]), s.hashed(key)...) {
		e := s.endpoint(id)
		if e == nil || e.Leaving || slices.Contains(list, e) || e.Stock.Holds(stock.Item{Model: model}) {
			continue
		}
		if list = append(list, e); len(list) == followPlaces {
			break
		}
	}
	return list
}

// hashed returns the endpoints with the least hashes for a model, twice as many as
// are followed. They are worked out once for each list of endpoints.
func (s *State) hashed(key holderKey) []string {
	if list, ok := s.index.hashed[key]; ok {
		return list
	}
	type ranked struct {
		instance string
		rank     uint64
	}
	all := make([]ranked, 0, len(s.index.services[key.service]))
	for _, e := range s.index.services[key.service] {
		all = append(all, ranked{e.Instance, xxhash.Sum64String(e.Instance + " " + key.model)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	list := make([]string, 0, 2*followPlaces)
	for _, r := range all[:min(len(all), 2*followPlaces)] {
		list = append(list, r.instance)
	}
	s.index.hashed[key] = list
	return list
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

// routersSeen returns how many routers there are, by what the agent of one endpoint
// sees: of a large fleet each router follows a part.
func (s *State) routersSeen(connected int) int {
	if !s.partial() || len(s.followed) == 0 {
		return max(connected, 1)
	}
	return max(connected*s.agents/len(s.followed), 1)
}
