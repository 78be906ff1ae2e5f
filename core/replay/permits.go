package replay

import (
	"chervilreach/core/agent"
	"chervilreach/core/permit"
)

// requestPermit passes the agent's permit request to the granter. The first time, the agent
// gets the answer that the request is queued.
func (n *node) requestPermit(eff agent.RequestPermit) {
	_, again := n.permitRequests[eff.ID]
	n.permitRequests[eff.ID] = eff
	n.run.granter.Enqueue(n.run.now, n.permitRequest(eff))
	if !again {
		n.applyAfterCall(agent.PermitAnswered{ID: eff.ID, Model: eff.Model, Answer: agent.PermitWaiting})
	}
	n.run.after(0, n.run.deliverDecisions)
}

// permitRequest converts a permit request of the agent to the type that the granter takes.
func (n *node) permitRequest(eff agent.RequestPermit) permit.Request {
	return permit.Request{
		ID: eff.ID, Endpoint: n.ep.ID, Model: eff.Model,
		Urgency: eff.Urgency, Deadline: eff.Deadline, Expected: eff.ExpectedLoadTime,
	}
}

// renewPermits repeats the queued permit requests and renews the granted permits of all
// nodes, as routers and agents do periodically.
func (r *run) renewPermits() {
	for _, n := range r.nodes {
		for _, id := range sortedKeys(n.permitRequests) {
			if n.permitGranted[id] {
				r.granter.Renew(r.now, n.permitRequest(n.permitRequests[id]))
			} else {
				r.granter.Enqueue(r.now, n.permitRequest(n.permitRequests[id]))
			}
		}
	}
	r.deliverDecisions()
}

// deliverDecisions sends the granter's decisions to the agents, except for expired permits,
// and schedules the next call if it is due before the next renewal.
func (r *run) deliverDecisions() {
	for _, d := range r.granter.Decide(r.now) {
		n := r.requester(d)
		if n == nil {
			continue
		}
		ev := agent.PermitAnswered{ID: d.ID, Model: d.Model}
		switch d.Verdict {
		case permit.Granted:
			n.permitGranted[d.ID] = true
			ev.Answer = agent.PermitGranted
		case permit.Refused:
			delete(n.permitRequests, d.ID)
			ev.Answer = agent.PermitRefused
		case permit.Expired:
			continue
		}
		n.applyAfterCall(ev)
	}
	if wake := r.granter.WakeAt(r.now); wake.After(r.now) && wake.Sub(r.now) < permit.RenewPeriod {
		r.at(wake, r.deliverDecisions)
	}
}

// requester returns the node that requested the permit, or nil if its host is lost or the
// request was withdrawn.
func (r *run) requester(d permit.Decision) *node {
	for _, n := range r.nodes {
		if _, ok := n.permitRequests[d.ID]; ok && !n.hostLost {
			return n
		}
	}
	return nil
}
