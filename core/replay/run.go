package replay

import (
	"fmt"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/place"
	"chervilreach/core/record"
	"chervilreach/core/trace"
)

const (
	// placePeriod is how often placements are looked at.
	placePeriod = 2 * time.Second
	// listLag is that of the platform's host list.
	listLag = 10 * time.Second
	// placeSettles is how long after a change of hosts placements are proposed;
	// none changes without one.
	placeSettles = time.Minute
	// answerMargin is how long before its deadline a request without an answer
	// is refused.
	answerMargin = 10 * time.Millisecond
	// tickPeriod is how often agents get a tick without other events.
	tickPeriod = time.Second
)

// run is one replay of a workload trace.
type run struct {
	clock
	trace   *trace.Trace
	models  map[fleet.ModelID]record.Model
	kinds   map[fleet.KindID]record.Kind
	policy  Policy
	granter *permit.Granter
	store   *store
	nodes   []*node
	byHost  map[fleet.HostID]*node
	roster  place.Roster
	placed  map[fleet.ModelID]place.Placement
	kvDown  int
	// placeUntil is when the placements have settled.
	placeUntil time.Time
	set        *record.Set
	result     Result
	cold       []time.Duration
	waited     []time.Duration
	ended      int
	// due counts the requests whose patience has ended.
	due int
}

// Workload runs a trace through the agents' reducers with a policy of keeping.
func Workload(t *trace.Trace, policy Policy) Result {
	h := t.Header
	r := &run{
		trace: t, policy: policy,
		models: make(map[fleet.ModelID]record.Model), kinds: make(map[fleet.KindID]record.Kind),
		byHost: make(map[fleet.HostID]*node), placed: make(map[fleet.ModelID]place.Placement),
	}
	r.now = h.Starts
	r.granter = permit.NewGranter(h.Starts.Add(-permit.TTL), permit.Limits{PerSecond: h.Deployment.LoadsPerSecond, AtOnce: h.Deployment.LoadsAtOnce})
	r.store = newStore(&r.clock, h.Deployment.LoadsAtOnce)
	r.result = Result{Trace: fmt.Sprintf("%s-%d", h.Shape, h.Seed), Policy: policy.Name, Requests: len(t.Arrivals)}
	for _, m := range h.Models {
		r.models[m.ID] = m
	}
	for _, k := range h.Kinds {
		r.kinds[k.ID] = k
	}
	r.set = r.records()
	for _, ep := range h.Endpoints {
		r.join(ep)
	}
	r.place()
	r.remember()
	r.schedule()
	r.runUntil(h.Ends)
	r.finish()
	return r.result
}

// records returns the accepted configuration of a trace.
func (r *run) records() *record.Set {
	return &record.Set{Revision: 1, Deployment: r.trace.Header.Deployment, Models: r.models, Kinds: r.kinds}
}

// remember tells each model's history to the keeper of its first endpoint,
// which has served it.
func (r *run) remember() {
	for i := range r.trace.History {
		h := &r.trace.History[i]
		entries := r.placed[h.Model].Assigned()
		if len(entries) == 0 {
			continue
		}
		n := r.byHost[entries[0].Host]
		for _, at := range h.Times() {
			n.keeper.RecordArrival(h.Model, at)
		}
	}
}

// schedule sets the timers of arrivals, faults and periodic work.
func (r *run) schedule() {
	starts := r.trace.Header.Starts
	r.every(placePeriod, r.place)
	r.every(tickPeriod, r.tick)
	r.every(permit.RenewPeriod, r.renew)
	for _, f := range r.trace.Faults {
		r.fault(f, starts)
	}
	cold := coldOnes(r.trace)
	for i, a := range r.trace.Arrivals {
		at := starts.Add(time.Duration(a.AtMS) * time.Millisecond)
		kind := r.kinds[a.Kind]
		req := &request{id: fleet.RequestID(fmt.Sprintf("r%05d", i)), arrival: a, cold: cold[i], at: at, deadline: at.Add(kind.Patience), urgency: kind.Urgency, idempotent: kind.Idempotent}
		if req.deadline.Before(r.trace.Header.Ends) {
			r.due++
		}
		r.at(at, func() { r.route(req, fleet.CodeNoCapacity) })
		r.at(req.deadline.Add(-answerMargin), func() { r.refuse(req, fleet.CodeDeadline) })
	}
}

func (r *run) every(period time.Duration, work func()) {
	r.after(period, func() {
		work()
		r.every(period, work)
	})
}

// fault sets the timers of a fault's beginning and end.
func (r *run) fault(f trace.Fault, starts time.Time) {
	from := starts.Add(time.Duration(f.AtMS) * time.Millisecond)
	until := starts.Add(time.Duration(f.UntilMS) * time.Millisecond)
	switch f.Kind {
	case trace.FaultStoreSlow:
		r.at(from, func() { r.store.setSlow(f.Factor) })
		r.at(until, func() { r.store.setSlow(1) })
	case trace.FaultKVDown:
		r.at(from, func() { r.kvDown++ })
		r.at(until, func() { r.kvDown-- })
	case trace.FaultHostLost:
		r.at(from, func() { r.lose(f.Host) })
		r.at(until, func() { r.replace(f.Host) })
	}
}

// join adds a host with an endpoint.
func (r *run) join(ep trace.Endpoint) {
	r.placeUntil = r.now.Add(placeSettles)
	n := newNode(r, ep, r.policy.Keeper(func(id fleet.ModelID) bool {
		entries := r.placed[id].Assigned()
		return len(entries) > 0 && entries[0].Host == ep.Host
	}))
	r.nodes = append(r.nodes, n)
	r.byHost[ep.Host] = n
}

// replace adds a new host in place of a lost one.
func (r *run) replace(lost fleet.HostID) {
	ep := r.byHost[lost].ep
	ep.Host += "-new"
	r.join(ep)
}

// place reads the host list and, when the key-value service is up, brings the
// placements up to date.
func (r *run) place() {
	var list fleet.HostList
	list.AsOf = r.now
	for _, n := range r.nodes {
		if !n.lost {
			list.Hosts = append(list.Hosts, fleet.Host{ID: n.ep.Host, Endpoint: n.ep.ID, Domain: n.ep.Domain, State: fleet.HostLive})
		}
	}
	r.roster.Update(r.now, list, listLag)
	if r.kvDown > 0 {
		r.placeUntil = r.now.Add(placeSettles)
	}
	if r.kvDown > 0 || r.now.After(r.placeUntil) {
		return
	}
	var all []place.Placement
	for _, m := range r.trace.Header.Models {
		all = append(all, r.placed[m.ID])
	}
	promised := place.Promised(r.models, all)
	for _, m := range r.trace.Header.Models {
		present := r.placed[m.ID]
		r.roster.Expect(r.now, present, listLag)
		next, changed := place.Propose(r.input(m, present, promised), present)
		if !changed {
			continue
		}
		for _, e := range next.Entries {
			if _, ok := present.Find(e.Endpoint); !ok {
				promised[e.Endpoint] += place.Need(m)
			}
		}
		r.placed[m.ID] = next
	}
	r.push()
}

// push tells the agents of changed placements, and of those whose release they
// have not confirmed.
func (r *run) push() {
	for _, n := range r.nodes {
		for _, m := range r.trace.Header.Models {
			a := n.assignment(m.ID)
			known, ok := n.pushed[m.ID]
			changed := ok && known != a.Generation || !ok && a.State != agent.AssignmentNone
			if changed || a.State == agent.AssignmentReleasing {
				n.pushed[m.ID] = a.Generation
				n.reply(agent.AssignPushed{Model: m.ID, Generation: a.Generation})
			}
		}
	}
}

// tick gives the agents a tick.
func (r *run) tick() {
	for _, n := range r.nodes {
		n.apply(event.Tick{})
	}
}

// replicas counts the replicas of a model in the engines.
func (r *run) replicas(id fleet.ModelID) int {
	count := 0
	for _, n := range r.nodes {
		if n.engine.models[id] != nil && !n.lost {
			count++
		}
	}
	return count
}

// lose ends a host.
func (r *run) lose(host fleet.HostID) {
	r.placeUntil = r.now.Add(placeSettles)
	r.byHost[host].lose()
}

// input gathers what a placement follows from.
func (r *run) input(m record.Model, present place.Placement, promised map[fleet.EndpointID]fleet.Bytes) place.Input {
	in := place.Input{ListedAt: r.roster.ReadAt(), Model: m, GoneAt: r.roster.GoneAt(), WriteID: fmt.Sprint(present.Generation + 1)}
	live := make(map[fleet.EndpointID]*node)
	for _, n := range r.nodes {
		if !n.lost {
			live[n.ep.ID] = n
		}
	}
	for _, id := range sortedKeys(live) {
		n := live[id]
		ep := place.Endpoint{ID: id, Host: n.ep.Host, Domain: n.ep.Domain, State: fleet.HostLive, Memory: n.ep.Memory, Promised: promised[id]}
		in.Endpoints = append(in.Endpoints, ep)
	}
	for _, e := range present.Entries {
		n, ok := r.byHost[e.Host]
		if ok && e.State == place.StateReleasing && !n.lost && n.released[m.ID] >= present.Generation {
			in.Released = append(in.Released, place.Release{Endpoint: e.Endpoint, Fence: e.Fence})
		}
	}
	return in
}

// finish closes the accounts.
func (r *run) finish() {
	if r.ended < r.due {
		r.result.violate(fmt.Sprintf("%d requests dropped silently", r.due-r.ended))
	}
	for _, n := range r.nodes {
		n.engine.account()
		r.result.IdleHours += n.engine.idle
	}
	r.result.Cold, r.result.Waited = len(r.cold), len(r.waited)
	r.result.ColdP50, r.result.ColdP99 = percentile(r.cold, 50), percentile(r.cold, 99)
	r.result.WaitedP99 = percentile(r.waited, 99)
}
