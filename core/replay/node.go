package replay

import (
	"fmt"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/trace"
)

const (
	// maxRunning and maxQueued are the limits of each agent; see agent.Options.
	maxRunning = batchSize
	maxQueued  = 1000
	// initialLoadTime is the load time that is assumed until loads have been measured.
	initialLoadTime = 8 * time.Second
	// coldPenalty is added to the estimated wait at an endpoint where the model is cold, so
	// that requests prefer to wait for a load in progress on another endpoint over starting
	// a second load.
	coldPenalty = 8 * time.Second
	// callTime is the duration of a call to the key-value service, the engine or another
	// process.
	callTime = 2 * time.Millisecond
	// adapterLoadTime is the duration of the load of an adapter.
	adapterLoadTime = 200 * time.Millisecond
)

// node simulates one endpoint: the agent's reducer, which is the same code as in
// production, and an engine with a small cost model.
type node struct {
	run *run
	ep  trace.Endpoint
	// hostLost is set once the host is lost. From then on the node ignores all events.
	hostLost   bool
	agent      *agent.State
	warmPolicy agent.WarmPolicy
	engine     engine
	// releasedGeneration holds, for each model, the generation of the placement for which the agent
	// confirmed the unload.
	releasedGeneration map[fleet.ModelID]fleet.Generation
	// pushedGeneration holds, for each model, the latest generation of the placement that was pushed
	// to the agent.
	pushedGeneration map[fleet.ModelID]fleet.Generation
	// permitRequests holds the permit requests that have been neither refused nor returned, by the
	// ID of the order that needs the permit; permitGranted is true for those that have been granted.
	permitRequests map[fleet.OrderID]agent.RequestPermit
	permitGranted  map[fleet.OrderID]bool
	// requests holds the requests offered to the agent that have not ended.
	requests map[fleet.RequestID]*request
}

// newNode returns a node and schedules the start of its agent.
func newNode(r *run, ep trace.Endpoint, warmPolicy agent.WarmPolicy) *node {
	n := &node{
		run: r, ep: ep, warmPolicy: warmPolicy,
		agent: agent.New(agent.Options{
			WarmPolicy: warmPolicy, MaxRunning: maxRunning, MaxQueued: maxQueued, LoadTime: initialLoadTime,
			EndpointCount: len(r.trace.Header.Endpoints),
		}),
		releasedGeneration: make(map[fleet.ModelID]fleet.Generation),
		pushedGeneration:   make(map[fleet.ModelID]fleet.Generation),
		permitRequests:     make(map[fleet.OrderID]agent.RequestPermit),
		permitGranted:      make(map[fleet.OrderID]bool),
		requests:           make(map[fleet.RequestID]*request),
	}
	n.engine = newEngine(n)
	r.after(0, func() {
		n.apply(agent.ConfigAccepted{Config: r.config})
		n.apply(agent.Started{Endpoint: ep.ID, Instance: fleet.Instance(r.now.UnixNano())})
	})
	return n
}

// apply passes an event to the agent and executes the effects, unless the host is lost.
func (n *node) apply(ev event.Event) {
	if n.hostLost {
		return
	}
	for _, eff := range n.agent.Apply(n.run.now, ev) {
		n.handleEffect(eff)
	}
}

// applyAfterCall passes an event to the agent after callTime.
func (n *node) applyAfterCall(ev event.Event) {
	n.run.after(callTime, func() { n.apply(ev) })
}

// handleEffect executes one effect of the agent. Effects that don't matter to a replay are
// ignored.
func (n *node) handleEffect(eff event.Effect) {
	switch eff := eff.(type) {
	case agent.TakeIncarnation:
		n.applyAfterCall(agent.IncarnationRead{Current: 1, Taken: true, Failed: n.run.kvOutages > 0, RequestedAt: eff.At})
	case agent.ReadIncarnation:
		n.applyAfterCall(agent.IncarnationRead{Current: eff.Incarnation, Failed: n.run.kvOutages > 0, RequestedAt: eff.At})
	case agent.ReadEngine:
		n.applyAfterCall(agent.EngineReported{State: n.engine.report()})
	case agent.ReadAssignment:
		n.applyAfterCall(agent.AssignmentRead{Assignment: n.assignment(eff.Model), Failed: n.run.kvOutages > 0, RequestedAt: eff.At})
	case agent.ReadAssignments:
		n.applyAfterCall(agent.AssignmentsRead{Assignments: n.assignments(), Failed: n.run.kvOutages > 0, RequestedAt: eff.At})
	case agent.AnswerAssignment:
		if eff.State == agent.AssignmentReleased {
			n.releasedGeneration[eff.Model] = eff.Generation
		}
	case agent.RefuseOffer:
		n.handleRefusal(eff.ID, eff.Refusal)
	case agent.RefuseAnswer:
		n.handleRefusal(eff.ID, eff.Refusal)
	case agent.StartRequest:
		n.engine.startRequest(n.requests[eff.ID])
	case agent.SendOrder:
		n.engine.execute(eff.Order)
	case agent.RequestPermit:
		n.requestPermit(eff)
	case agent.ReturnPermit:
		delete(n.permitRequests, eff.ID)
		delete(n.permitGranted, eff.ID)
		n.run.granter.Finish(n.run.now, eff.ID, eff.Took)
		n.run.after(0, n.run.deliverDecisions)
	}
}

// assignment returns the assignment of a model to this endpoint, as in the current
// placement. The rank counts assigned entries only, in order of preference.
func (n *node) assignment(id fleet.ModelID) agent.Assignment {
	p := n.run.placements[id]
	a := agent.Assignment{Model: id, Generation: p.Generation, State: agent.AssignmentNone}
	rank := 0
	for _, e := range p.Entries {
		if e.Endpoint == n.ep.ID && e.Host == n.ep.Host {
			a.State, a.Rank = agent.AssignmentReleasing, 0
			if e.State == place.StateAssigned {
				a.State, a.Rank = agent.AssignmentAssigned, rank
			}
			return a
		}
		if e.State == place.StateAssigned {
			rank++
		}
	}
	return a
}

// assignments returns the assignments of all models that are assigned to this endpoint or
// being released from it.
func (n *node) assignments() (out []agent.Assignment) {
	for _, m := range n.run.trace.Header.Models {
		if a := n.assignment(m.ID); a.State != agent.AssignmentNone {
			out = append(out, a)
		}
	}
	return out
}

// offer sends a request to the agent as its next attempt.
func (n *node) offer(req *request) {
	req.attempt++
	n.requests[req.id] = req
	req.waitedForLoad = req.waitedForLoad || !n.engine.isWarm(req.arrival.Model)
	n.apply(agent.Offered{Offer: agent.Offer{
		ID: req.id, Attempt: req.attempt, Member: "member", Urgency: req.urgency, Idempotent: req.idempotent,
		Target:   fleet.Target{Model: req.arrival.Model, Adapter: req.arrival.Adapter},
		Deadline: req.deadline, Stream: true, PromptTokens: req.arrival.PromptTokens, MaxTokens: req.arrival.OutputTokens,
	}})
}

// handleRefusal handles a refusal by the agent. If the request did not run and its deadline
// has not passed, it is routed to another endpoint; otherwise it is refused.
func (n *node) handleRefusal(id fleet.RequestID, refusal fleet.Refusal) {
	req := n.requests[id]
	delete(n.requests, id)
	n.run.after(0, func() {
		if refusal.NotRun == fleet.NotRunTrue && n.run.now.Before(req.deadline) {
			req.excluded = append(req.excluded, n.ep.ID)
			n.run.route(req, refusal.Code)
			return
		}
		n.run.refuse(req, refusal.Code)
	})
}

// expectedAnswerAt estimates when a request for a model would be answered on this node,
// from the load that the agent reports, as a router does.
func (n *node) expectedAnswerAt(id fleet.ModelID, rep agent.Report) time.Time {
	ready := n.run.now.Add(initialLoadTime)
	for _, m := range rep.Models {
		if m.Model != id {
			continue
		}
		switch {
		case m.Stage == "cold" || m.Stage == "unloading":
			ready = ready.Add(coldPenalty)
		case m.Stage == "warm":
			ready = n.run.now
		case m.ReadyAt.After(n.run.now):
			ready = m.ReadyAt
		}
		return ready.Add(time.Duration(m.Queued+m.Running) * time.Second / maxRunning)
	}
	return ready.Add(coldPenalty)
}

// loseHost simulates the loss of the host. Loads and running requests are cut off. Idempotent
// requests are routed again; others are refused with an unknown outcome.
func (n *node) loseHost() {
	n.engine.accountIdle()
	n.hostLost = true
	n.engine.abortLoads()
	for _, id := range sortedKeys(n.permitRequests) {
		delete(n.permitRequests, id)
	}
	for _, id := range sortedKeys(n.requests) {
		req := n.requests[id]
		switch {
		case req.ended:
		case req.idempotent:
			n.run.route(req, fleet.CodeEndpointUnreachable)
		default:
			n.run.refuse(req, fleet.CodeOutcomeUnknown)
		}
	}
}

// checkInvariants checks the warm limit of a model and the memory limit of the endpoint,
// and records violations.
func (n *node) checkInvariants(model fleet.ModelID) {
	if limit, count := n.run.models[model].WarmLimit, n.run.countReplicas(model); count > limit {
		n.run.result.recordViolation(fmt.Sprintf("%d replicas of %s, limit %d", count, model, limit))
	}
	if usedMemory := n.engine.usedMemory(); usedMemory > n.ep.Memory {
		n.run.result.recordViolation(fmt.Sprintf("%d bytes held on %s of %d", usedMemory, n.ep.ID, n.ep.Memory))
	}
}
