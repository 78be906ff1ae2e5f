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
	// placePeriod is the period at which the placements are updated.
	placePeriod = 2 * time.Second
	// hostListLag is the longest time by which the platform's host list may be out of date.
	hostListLag = 10 * time.Second
	// placementSettleTime is how long placements are proposed after a change of the hosts
	// or an outage of the key-value service. Without such a change no placement changes, so
	// the computation is skipped.
	placementSettleTime = time.Minute
	// refusalMargin is how long before its deadline a request without an answer is refused.
	refusalMargin = 10 * time.Millisecond
	// tickPeriod is the period of the agents' tick events.
	tickPeriod = time.Second
)

// run is one replay of a workload trace.
type run struct {
	clock
	trace       *trace.Trace
	models      map[fleet.ModelID]record.Model
	kinds       map[fleet.KindID]record.Kind
	policy      Policy
	granter     *permit.Granter
	weightStore *weightStore
	nodes       []*node
	// byHost holds the nodes by host, also those of lost hosts.
	byHost map[fleet.HostID]*node
	roster place.Roster
	// placements holds the current placement of each model.
	placements map[fleet.ModelID]place.Placement
	// kvOutages is the number of outages of the key-value service in progress.
	kvOutages int
	// proposeUntil is the time until which placements are proposed; see
	// placementSettleTime.
	proposeUntil time.Time
	// config is the accepted configuration that the agents get.
	config *record.Config
	result Result
	// coldLatencies and waitedLatencies hold the latencies of the requests counted in
	// Result.ColdRequests and Result.WaitedRequests.
	coldLatencies   []time.Duration
	waitedLatencies []time.Duration
	// endedRequests is the number of requests that were answered or refused.
	endedRequests int
	// dueRequests is the number of requests whose deadlines lie before the end of the trace. Each
	// of them must have ended by then.
	dueRequests int
}

// Workload replays a trace with a policy through the agents' reducers and returns the
// measurements. The result is deterministic. It does not modify the trace.
func Workload(t *trace.Trace, policy Policy) Result {
	h := t.Header
	r := &run{
		trace: t, policy: policy,
		models: make(map[fleet.ModelID]record.Model), kinds: make(map[fleet.KindID]record.Kind),
		byHost: make(map[fleet.HostID]*node), placements: make(map[fleet.ModelID]place.Placement),
	}
	r.now = h.Start
	r.granter = permit.NewGranter(h.Start.Add(-permit.TTL), permit.Limits{PerSecond: h.Deployment.LoadsPerSecond, MaxConcurrent: h.Deployment.LoadsAtOnce})
	r.weightStore = newWeightStore(&r.clock, h.Deployment.LoadsAtOnce)
	r.result = Result{Trace: fmt.Sprintf("%s-%d", h.Scenario, h.Seed), Policy: policy.Name, Requests: len(t.Arrivals)}
	for _, m := range h.Models {
		r.models[m.ID] = m
	}
	for _, k := range h.Kinds {
		r.kinds[k.ID] = k
	}
	r.config = r.newConfig()
	for _, ep := range h.Endpoints {
		r.addHost(ep)
	}
	r.updatePlacements()
	r.replayHistory()
	r.scheduleEvents()
	r.runUntil(h.End)
	r.completeResult()
	return r.result
}

// newConfig returns the accepted configuration of the trace's deployment.
func (r *run) newConfig() *record.Config {
	return &record.Config{Revision: 1, Deployment: r.trace.Header.Deployment, Models: r.models, Kinds: r.kinds}
}

// replayHistory records each model's history in the warm policy of its first assigned
// endpoint, as if that endpoint had served the requests.
func (r *run) replayHistory() {
	for i := range r.trace.History {
		h := &r.trace.History[i]
		entries := r.placements[h.Model].Assigned()
		if len(entries) == 0 {
			continue
		}
		n := r.byHost[entries[0].Host]
		for _, at := range h.Times() {
			n.warmPolicy.RecordArrival(h.Model, at)
		}
	}
}

// scheduleEvents schedules the arrivals, the refusals before their deadlines, the faults
// and the periodic work.
func (r *run) scheduleEvents() {
	starts := r.trace.Header.Start
	r.every(placePeriod, r.updatePlacements)
	r.every(tickPeriod, r.tickAgents)
	r.every(permit.RenewPeriod, r.renewPermits)
	for _, f := range r.trace.Faults {
		r.scheduleFault(f, starts)
	}
	cold := coldArrivals(r.trace)
	for i, a := range r.trace.Arrivals {
		at := starts.Add(time.Duration(a.AtMS) * time.Millisecond)
		kind := r.kinds[a.Kind]
		req := &request{id: fleet.RequestID(fmt.Sprintf("r%05d", i)), arrival: a, cold: cold[i], arrivedAt: at, deadline: at.Add(kind.Patience), urgency: kind.Urgency, idempotent: kind.Idempotent}
		if req.deadline.Before(r.trace.Header.End) {
			r.dueRequests++
		}
		r.at(at, func() { r.route(req, fleet.CodeNoCapacity) })
		r.at(req.deadline.Add(-refusalMargin), func() { r.refuse(req, fleet.CodeDeadlineExceeded) })
	}
}

// every schedules a function to run periodically, for the first time after one period.
func (r *run) every(period time.Duration, f func()) {
	r.after(period, func() {
		f()
		r.every(period, f)
	})
}

// scheduleFault schedules the start and the end of a fault. start is the start of the
// trace.
func (r *run) scheduleFault(f trace.Fault, start time.Time) {
	from := start.Add(time.Duration(f.AtMS) * time.Millisecond)
	until := start.Add(time.Duration(f.UntilMS) * time.Millisecond)
	switch f.Kind {
	case trace.FaultStoreSlow:
		r.at(from, func() { r.weightStore.setSlowdown(f.Factor) })
		r.at(until, func() { r.weightStore.setSlowdown(1) })
	case trace.FaultKVDown:
		r.at(from, func() { r.kvOutages++ })
		r.at(until, func() { r.kvOutages-- })
	case trace.FaultHostLost:
		r.at(from, func() { r.loseHost(f.Host) })
		r.at(until, func() { r.replaceHost(f.Host) })
	}
}

// addHost adds a host that runs the endpoint.
func (r *run) addHost(ep trace.Endpoint) {
	r.proposeUntil = r.now.Add(placementSettleTime)
	n := newNode(r, ep, r.policy.WarmPolicy(func(id fleet.ModelID) bool {
		entries := r.placements[id].Assigned()
		return len(entries) > 0 && entries[0].Host == ep.Host
	}))
	r.nodes = append(r.nodes, n)
	r.byHost[ep.Host] = n
}

// replaceHost adds a new host that runs the endpoint of a lost one.
func (r *run) replaceHost(lost fleet.HostID) {
	ep := r.byHost[lost].ep
	ep.Host += "-new"
	r.addHost(ep)
}

// updatePlacements updates the host list and then, unless the key-value service is down or the
// placements have settled, proposes and pushes the placements of all models.
func (r *run) updatePlacements() {
	var list fleet.HostList
	list.AsOf = r.now
	for _, n := range r.nodes {
		if !n.hostLost {
			list.Hosts = append(list.Hosts, fleet.Host{ID: n.ep.Host, Endpoint: n.ep.ID, FailureDomain: n.ep.FailureDomain, State: fleet.HostLive})
		}
	}
	r.roster.Update(r.now, list, hostListLag)
	if r.kvOutages > 0 {
		r.proposeUntil = r.now.Add(placementSettleTime)
	}
	if r.kvOutages > 0 || r.now.After(r.proposeUntil) {
		return
	}
	var all []place.Placement
	for _, m := range r.trace.Header.Models {
		all = append(all, r.placements[m.ID])
	}
	committed := place.CommittedMemory(r.models, all)
	for _, m := range r.trace.Header.Models {
		current := r.placements[m.ID]
		r.roster.TrackPlacement(r.now, current, hostListLag)
		next, changed := place.Propose(r.placementInput(m, current, committed), current)
		if !changed {
			continue
		}
		for _, e := range next.Entries {
			if _, ok := current.Find(e.Endpoint); !ok {
				committed[e.Endpoint] += place.RequiredMemory(m)
			}
		}
		r.placements[m.ID] = next
	}
	r.pushAssignments()
}

// pushAssignments pushes changed assignments to the agents. Assignments to be released are
// pushed again, as the agents have not confirmed the release.
func (r *run) pushAssignments() {
	for _, n := range r.nodes {
		for _, m := range r.trace.Header.Models {
			a := n.assignment(m.ID)
			known, ok := n.pushedGeneration[m.ID]
			changed := ok && known != a.Generation || !ok && a.State != agent.AssignmentNone
			if changed || a.State == agent.AssignmentReleasing {
				n.pushedGeneration[m.ID] = a.Generation
				n.applyAfterCall(agent.AssignmentPushed{Model: m.ID, Generation: a.Generation})
			}
		}
	}
}

// tickAgents sends a tick event to all agents.
func (r *run) tickAgents() {
	for _, n := range r.nodes {
		n.apply(event.Tick{})
	}
}

// countReplicas returns the number of replicas of a model, over all hosts that are not
// lost. Replicas being loaded or unloaded count.
func (r *run) countReplicas(id fleet.ModelID) int {
	count := 0
	for _, n := range r.nodes {
		if n.engine.models[id] != nil && !n.hostLost {
			count++
		}
	}
	return count
}

// loseHost simulates the loss of a host. The host must be known.
func (r *run) loseHost(host fleet.HostID) {
	r.proposeUntil = r.now.Add(placementSettleTime)
	r.byHost[host].loseHost()
}

// placementInput returns the input for a proposal for model m, whose placement is current.
// committed is the memory committed on each endpoint.
func (r *run) placementInput(m record.Model, current place.Placement, committed map[fleet.EndpointID]fleet.Bytes) place.Input {
	in := place.Input{HostListReadAt: r.roster.HostListReadAt(), Model: m, GoneAt: r.roster.GoneTimes(), WriteID: fmt.Sprint(current.Generation + 1)}
	live := make(map[fleet.EndpointID]*node)
	for _, n := range r.nodes {
		if !n.hostLost {
			live[n.ep.ID] = n
		}
	}
	for _, id := range sortedKeys(live) {
		n := live[id]
		ep := place.Endpoint{ID: id, Host: n.ep.Host, FailureDomain: n.ep.FailureDomain, State: fleet.HostLive, Memory: n.ep.Memory, Committed: committed[id]}
		in.Endpoints = append(in.Endpoints, ep)
	}
	for _, e := range current.Entries {
		n, ok := r.byHost[e.Host]
		if ok && e.State == place.StateReleasing && !n.hostLost && n.releasedGeneration[m.ID] >= current.Generation {
			in.Released = append(in.Released, place.ConfirmedRelease{Endpoint: e.Endpoint, Fence: e.Fence})
		}
	}
	return in
}

// completeResult checks that no request was dropped and computes the totals and percentiles
// of the result.
func (r *run) completeResult() {
	if r.endedRequests < r.dueRequests {
		r.result.recordViolation(fmt.Sprintf("%d requests dropped silently", r.dueRequests-r.endedRequests))
	}
	for _, n := range r.nodes {
		n.engine.accountIdle()
		r.result.IdleHours += n.engine.idleHours
	}
	r.result.ColdRequests, r.result.WaitedRequests = len(r.coldLatencies), len(r.waitedLatencies)
	r.result.ColdP50, r.result.ColdP99 = percentileMS(r.coldLatencies, 50), percentileMS(r.coldLatencies, 99)
	r.result.WaitedP99 = percentileMS(r.waitedLatencies, 99)
}
