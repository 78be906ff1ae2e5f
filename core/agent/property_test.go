package agent_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
)

// executeOrder executes an order or injects a fault: the order fails, is lost (not executed,
// outcome unknown), is unanswered (executed, outcome unknown) or silent (executed, outcome
// never reported).
func (sim *simulation) executeOrder(p *process, eff agent.SendOrder) {
	if p.dead || sim.now.Before(p.pausedUntil) || sim.now.After(eff.NotAfter) {
		sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed})
		return
	}
	if sim.engineChecksFence && eff.Order.Fence.Compare(sim.fence) < 0 {
		sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFenced})
		return
	}
	sim.fence = eff.Order.Fence
	switch rapid.SampledFrom([]string{"done", "done", "done", "failed", "lost", "unanswered", "silent"}).Draw(sim.t, "order") {
	case "done":
		sim.applyOrder(eff.Order, func(o fleet.Outcome) { sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: o}) })
	case "failed":
		sim.schedule(sim.drawDelay(20), func() { sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed}) })
	case "lost":
		sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeUnknown})
	case "unanswered":
		sim.applyOrder(eff.Order, func(fleet.Outcome) {})
		sim.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeUnknown})
	case "silent":
		sim.applyOrder(eff.Order, func(fleet.Outcome) {})
	}
}

// applyOrder executes an order in the engine. It calls done with the outcome once the order
// has ended.
func (sim *simulation) applyOrder(o fleet.Order, done func(fleet.Outcome)) {
	held := sim.engineModels[o.Model]
	switch {
	case o.Action == fleet.ActionLoadModel && held == nil:
		if fleet.Bytes(len(sim.engineModels)+1)*modelMemory > simMemory {
			sim.t.Fatalf("memory overcommitted by loading %s", o.Model)
		}
		held = &engineModel{}
		sim.engineModels[o.Model] = held
		sim.recordEngineState()
		sim.schedule(sim.drawDelay(100), func() {
			held.warm = true
			sim.recordEngineState()
			done(fleet.OutcomeDone)
		})
	case o.Action == fleet.ActionUnloadModel && held != nil && held.warm:
		if held.runningRequests > 0 {
			sim.t.Fatalf("%s unloaded with %d requests running", o.Model, held.runningRequests)
		}
		held.warm = false
		sim.schedule(sim.drawDelay(20), func() {
			delete(sim.engineModels, o.Model)
			sim.recordEngineState()
			done(fleet.OutcomeDone)
		})
	case o.Action == fleet.ActionLoadModel && !held.warm:
		done(fleet.OutcomeFailed)
	default:
		done(fleet.OutcomeDone)
	}
}

// checkOrderAllowed fails the test if a process orders a load without having read an
// assignment that allows it, or sends any order after it was paused and superseded.
func (sim *simulation) checkOrderAllowed(p *process, o fleet.Order) {
	if o.Action == fleet.ActionLoadModel && p.knownAssignments[o.Model].State != agent.AssignmentAssigned {
		sim.t.Fatalf("%s loaded without having read an assignment that allows it", o.Model)
	}
	if p != sim.current && !p.pausedUntil.IsZero() && p.incarnation < sim.incarnation {
		sim.t.Fatalf("order for %s by a process that was paused and superseded", o.Model)
	}
}

// runRequest runs a request in the engine, at most once, and reports how it ended.
func (sim *simulation) runRequest(p *process, eff agent.StartRequest) {
	sim.schedule(sim.drawDelay(10), func() {
		held := sim.engineModels[eff.Target.Model]
		if p.dead || sim.now.After(eff.NotAfter) || held == nil || !held.warm {
			sim.apply(p, agent.AnswerFailed{ID: eff.ID, Detail: "not sent"})
			return
		}
		sim.runCount[eff.ID]++
		if sim.runCount[eff.ID] > 1 {
			sim.t.Fatalf("%s ran twice", eff.ID)
		}
		if req := sim.requests[eff.ID]; req != nil {
			req.started = true
		}
		held.runningRequests++
		sim.recordEngineState()
		sim.schedule(sim.drawDelay(100), func() {
			held.runningRequests--
			sim.recordEngineState()
			if rapid.IntRange(0, 5).Draw(sim.t, "stream") == 0 {
				sim.apply(p, agent.AnswerFailed{ID: eff.ID, Sent: true, Detail: "lost"})
				return
			}
			sim.apply(p, agent.AnswerBegan{ID: eff.ID})
			sim.apply(p, agent.AnswerEnded{ID: eff.ID, Chunks: 1})
			if req := sim.requests[eff.ID]; req != nil && !p.dead {
				req.finalAnswerCount++
			}
		})
	})
}

// recordRefusal records a refusal and fails the test if it is not the only final answer.
func (sim *simulation) recordRefusal(id fleet.RequestID, r fleet.Refusal) {
	req := sim.requests[id]
	if req == nil {
		return
	}
	req.finalAnswerCount++
	if req.finalAnswerCount > 1 {
		sim.t.Fatalf("%s was answered %d times", id, req.finalAnswerCount)
	}
	if r.NotRun == fleet.NotRunTrue {
		req.refusedAsNotRun = true
	}
}

// checkRequests fails the test if a request is still unanswered after its deadline, or if a
// request that was refused as not run has run.
func (sim *simulation) checkRequests() {
	for id, req := range sim.requests {
		if req.refusedAsNotRun && sim.runCount[id] > 0 {
			sim.t.Fatalf("%s was refused as not run and ran", id)
		}
		unanswered := !req.owner.dead && req.owner == sim.current && req.finalAnswerCount == 0 && !req.started
		if unanswered && sim.now.After(req.offer.Deadline.Add(deadlineTolerance+200*time.Millisecond)) {
			sim.t.Fatalf("%s is not answered by its deadline", id)
		}
	}
}

// step performs one random action.
func (sim *simulation) step() {
	switch rapid.SampledFrom([]string{"offer", "offer", "offer", "advance", "advance", "toggle-kv", "restart", "pause", "replace", "assign", "repeat-offer"}).Draw(sim.t, "step") {
	case "offer":
		sim.offerCount++
		id := fleet.RequestID(fmt.Sprint("r", sim.offerCount))
		o := agent.Offer{
			ID: id, Attempt: 1, Member: fleet.MemberID(fmt.Sprint("m", sim.offerCount%2)), Urgency: sim.offerCount % 3,
			Target:   fleet.Target{Model: simModel(rapid.IntRange(0, simModels-1).Draw(sim.t, "model"))},
			Deadline: sim.now.Add(sim.drawDelay(500)), StreamID: uint64(sim.offerCount),
		}
		sim.requests[id] = &simRequest{owner: sim.current, offer: o}
		sim.apply(sim.current, agent.Offered{Offer: o})
	case "repeat-offer":
		if o := sim.requests[fleet.RequestID(fmt.Sprint("r", sim.offerCount))]; o != nil && o.owner == sim.current && o.finalAnswerCount == 0 && sim.now.After(sim.current.pausedUntil) {
			sim.apply(sim.current, agent.Offered{Offer: o.offer})
		}
	case "advance":
		sim.advance(sim.drawDelay(100))
	case "toggle-kv":
		sim.kvDown = !sim.kvDown
	case "restart":
		sim.current.dead = true
		sim.startAgent()
	case "pause":
		if to := sim.now.Add(sim.drawDelay(200)); to.After(sim.current.pausedUntil) {
			sim.current.pausedUntil = to
		}
	case "replace":
		// The paused process continues later, beside its successor.
		if to := sim.now.Add(2*time.Second + sim.drawDelay(200)); to.After(sim.current.pausedUntil) {
			sim.current.pausedUntil = to
		}
		sim.startAgent()
	case "assign":
		sim.reassign(simModel(rapid.IntRange(0, simModels-1).Draw(sim.t, "model")))
	}
	sim.advance(sim.drawDelay(20))
}

// reassign changes a placement and sends the agent a hint.
func (sim *simulation) reassign(m fleet.ModelID) {
	if sim.kvDown {
		return
	}
	a := sim.assignments[m]
	a.Generation++
	states := []agent.AssignmentState{agent.AssignmentAssigned, agent.AssignmentReleasing}
	a.State = states[(slices.Index(states, a.State)+1)%len(states)]
	sim.assignments[m] = a
	sim.apply(sim.current, agent.AssignmentPushed{Model: m, Generation: a.Generation})
}

// TestAgentProperties runs an agent and a simulated engine through random sequences of
// requests, lost, failed and unanswered orders, delayed engine reports, outages of the
// key-value service, restarts and pauses.
func TestAgentProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range simSteps {
			sim.step()
		}
		sim.kvDown = false
		sim.advance(15 * time.Second)
		sim.checkRequests()
	})
}
