package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/stock"
)

// listTime is how long the rest of a list is waited for before a load is asked for
// that its holders may make needless: twice what the largest fleet's list took.
const listTime = 1500 * time.Millisecond

// members takes in the whole list of endpoints.
func (s *State) members(ev Members) {
	old := make(map[string]*endpoint, len(s.endpoints))
	for _, e := range s.endpoints {
		old[e.Instance] = e
	}
	s.endpoints = s.endpoints[:0]
	for _, m := range ev.List {
		e := old[m.Instance]
		delete(old, m.Instance)
		if e == nil || !e.sameEntry(m) {
			e = s.relist(e, m)
		}
		s.endpoints = append(s.endpoints, e)
	}
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, id := range slices.Sorted(maps.Keys(old)) {
		s.index.drop(old[id])
		old[id].Leaving = true
		s.forgetWants(id)
		if slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.Address == old[id].Address }) {
			s.breakOff(old[id])
		}
	}
	s.noteList(ev.More)
	s.refollow = true
	s.serveWaiting()
}

// noteList notes whether the rest of the list is still to come.
func (s *State) noteList(more bool) {
	switch {
	case !more:
		s.listBy = time.Time{}
	case s.listBy.IsZero():
		s.listBy = s.now.Add(listTime)
	}
}

// breakOff ends the attempts at an endpoint that another one has taken the place of:
// its answers won't come, and a connection to a host that went dark does not end.
func (s *State) breakOff(e *endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r.at == e {
			s.count("attempts.broken-off")
			s.emit(BreakOff{ID: id, Try: r.tries})
		}
	}
}

// relist takes in the entry of an endpoint that is new or has changed.
func (s *State) relist(e *endpoint, m Member) *endpoint {
	var before []stock.Held
	if e != nil {
		before = e.Stock.Models
		s.index.drop(e)
	}
	if e != nil && e.bornAgain(m) {
		s.breakOff(e)
		e = nil
	}
	if e == nil {
		e = newEndpoint(m, s.now)
		e.rank = s.rankOf(m.Instance)
	}
	e.update(m)
	s.index.add(e)
	s.index.noteFormer(e, before)
	return e
}

func (s *State) endpoint(instance string) *endpoint {
	i, ok := slices.BinarySearchFunc(s.endpoints, instance, byInstance)
	if !ok {
		return nil
	}
	return s.endpoints[i]
}

func (s *State) reported(ev Reported) {
	e := s.endpoint(ev.Report.Instance)
	if e == nil {
		return
	}
	if _, ok := s.followed[e.Instance]; s.partial() && !ok {
		// Its agent is being let go of.
		return
	}
	first := !e.hasAgent
	s.restock(e, func() { e.report(ev.Report, s.now) })
	e.sparse = s.partial()
	s.budget.routers = s.routersSeen(ev.Report.Routers)
	s.checkWants(e)
	s.serveWaitingFor(e)
	if first && s.partial() {
		s.serveWaiting()
	}
}

// renamed puts a new instance in the place of one that it replaces.
func (s *State) renamed(ev Renamed) {
	e := s.endpoint(ev.From)
	if e == nil || s.endpoint(ev.Report.Instance) != nil {
		return
	}
	s.index.drop(e)
	e.Leaving = true
	s.forgetWants(e.Instance)
	s.breakOff(e)
	m := e.Member
	m.Instance, m.Leaving, m.Born, m.Stock = ev.Report.Instance, ev.Report.Leaving, 0, stock.Report{}
	next := newEndpoint(m, s.now)
	next.rank = s.rankOf(m.Instance)
	s.endpoints = insert(remove(s.endpoints, e), next)
	if s.partial() {
		s.followed[next.Instance] = s.followed[e.Instance]
		delete(s.followed, e.Instance)
	}
	s.index.add(next)
	s.reported(Reported{Report: ev.Report})
}

func (s *State) agentLost(ev AgentLost) {
	if e := s.endpoint(ev.Instance); e != nil {
		e.hasAgent = false
		e.asked = stock.Demand{}
		s.forgetWants(ev.Instance)
	}
}
