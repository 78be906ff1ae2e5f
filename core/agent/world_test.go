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

// order carries an order out, fails it, loses it or loses its answer.
func (w *simulation) executeOrder(p *process, eff agent.SendOrder) {
	if p.dead || w.now.Before(p.pausedUntil) || w.now.After(eff.NotAfter) {
		w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed})
		return
	}
	if w.checksFence && eff.Order.Fence.Compare(w.fence) < 0 {
		w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFenced})
		return
	}
	w.fence = eff.Order.Fence
	switch rapid.SampledFrom([]string{"done", "done", "done", "failed", "lost", "unanswered", "silent"}).Draw(w.t, "order") {
	case "done":
		w.applyOrder(eff.Order, func(o fleet.Outcome) { w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: o}) })
	case "failed":
		w.schedule(w.drawDelay(20), func() { w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed}) })
	case "lost":
		w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeUnknown})
	case "unanswered":
		w.applyOrder(eff.Order, func(fleet.Outcome) {})
		w.apply(p, agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeUnknown})
	case "silent":
		w.applyOrder(eff.Order, func(fleet.Outcome) {})
	}
}

func (w *simulation) applyOrder(o fleet.Order, then func(fleet.Outcome)) {
	h := w.engineModels[o.Model]
	switch {
	case o.Action == fleet.ActionLoadModel && h == nil:
		if fleet.Bytes(len(w.engineModels)+1)*modelMemory > simMemory {
			w.t.Fatalf("memory overcommitted by %s", o.Model)
		}
		h = &engineModel{}
		w.engineModels[o.Model] = h
		w.recordEngineState()
		w.schedule(w.drawDelay(100), func() {
			h.warm = true
			w.recordEngineState()
			then(fleet.OutcomeDone)
		})
	case o.Action == fleet.ActionUnloadModel && h != nil && h.warm:
		if h.running > 0 {
			w.t.Fatalf("%s unloaded with %d requests", o.Model, h.running)
		}
		h.warm = false
		w.schedule(w.drawDelay(20), func() {
			delete(w.engineModels, o.Model)
			w.recordEngineState()
			then(fleet.OutcomeDone)
		})
	case o.Action == fleet.ActionLoadModel && !h.warm:
		then(fleet.OutcomeFailed)
	default:
		then(fleet.OutcomeDone)
	}
}

// checkOrder looks whether a process that orders a load has read that it may,
// and that no successor has taken over while it was paused.
func (w *simulation) checkOrderAllowed(p *process, o fleet.Order) {
	if o.Action == fleet.ActionLoadModel && p.readAssignments[o.Model].State != agent.AssignmentAssigned {
		w.t.Fatalf("%s loaded without an assignment that was read", o.Model)
	}
	if p != w.current && !p.pausedUntil.IsZero() && p.incarnation < w.incarnation {
		w.t.Fatalf("order about %s by a process that was paused and replaced", o.Model)
	}
}

// start runs a request in the engine.
func (w *simulation) runRequest(p *process, eff agent.StartStream) {
	w.schedule(w.drawDelay(10), func() {
		h := w.engineModels[eff.Target.Model]
		if p.dead || w.now.After(eff.NotAfter) || h == nil || !h.warm {
			w.apply(p, agent.StreamFailed{ID: eff.ID, Detail: "not sent"})
			return
		}
		w.runCount[eff.ID]++
		if w.runCount[eff.ID] > 1 {
			w.t.Fatalf("%s ran twice", eff.ID)
		}
		if o := w.requests[eff.ID]; o != nil {
			o.started = true
		}
		h.running++
		w.recordEngineState()
		w.schedule(w.drawDelay(100), func() {
			h.running--
			w.recordEngineState()
			if rapid.IntRange(0, 5).Draw(w.t, "stream") == 0 {
				w.apply(p, agent.StreamFailed{ID: eff.ID, Sent: true, Detail: "lost"})
				return
			}
			w.apply(p, agent.StreamBegan{ID: eff.ID})
			w.apply(p, agent.StreamEnded{ID: eff.ID, Chunks: 1})
			if o := w.requests[eff.ID]; o != nil && !p.dead {
				o.finalAnswers++
			}
		})
	})
}

// finish takes in a final refusal.
func (w *simulation) recordRefusal(id fleet.RequestID, r fleet.Refusal) {
	o := w.requests[id]
	if o == nil {
		return
	}
	o.finalAnswers++
	if o.finalAnswers > 1 {
		w.t.Fatalf("%s was answered %d times", id, o.finalAnswers)
	}
	if r.NotRun == fleet.NotRunTrue {
		o.refusedNotRun = true
	}
}

// checkDeadlines looks whether all requests that wait are within their
// deadlines, and whether what was refused as not run was not run.
func (w *simulation) checkRequests() {
	for id, o := range w.requests {
		if o.refusedNotRun && w.runCount[id] > 0 {
			w.t.Fatalf("%s was refused as not run and ran", id)
		}
		waits := !o.owner.dead && o.owner == w.current && o.finalAnswers == 0 && !o.started
		if waits && w.now.After(o.offer.Deadline.Add(deadlineTolerance+200*time.Millisecond)) {
			w.t.Fatalf("%s is not answered by its deadline", id)
		}
	}
}

// step does one thing at random.
func (w *simulation) step() {
	switch rapid.SampledFrom([]string{"offer", "offer", "offer", "pass", "pass", "kv", "restart", "pause", "replace", "assign", "again"}).Draw(w.t, "step") {
	case "offer":
		w.offerCount++
		id := fleet.RequestID(fmt.Sprint("r", w.offerCount))
		o := agent.Offer{
			ID: id, Attempt: 1, Member: fleet.MemberID(fmt.Sprint("m", w.offerCount%2)), Urgency: w.offerCount % 3,
			Target:   fleet.Target{Model: simModel(rapid.IntRange(0, simModels-1).Draw(w.t, "model"))},
			Deadline: w.now.Add(w.drawDelay(500)), Conn: uint64(w.offerCount),
		}
		w.requests[id] = &simRequest{owner: w.current, offer: o}
		w.apply(w.current, agent.Offered{Offer: o})
	case "again":
		if o := w.requests[fleet.RequestID(fmt.Sprint("r", w.offerCount))]; o != nil && o.owner == w.current && o.finalAnswers == 0 && w.now.After(w.current.pausedUntil) {
			w.apply(w.current, agent.Offered{Offer: o.offer})
		}
	case "pass":
		w.advance(w.drawDelay(100))
	case "kv":
		w.kvDown = !w.kvDown
	case "restart":
		w.current.dead = true
		w.startAgent()
	case "pause":
		if to := w.now.Add(w.drawDelay(200)); to.After(w.current.pausedUntil) {
			w.current.pausedUntil = to
		}
	case "replace":
		// The paused process goes on beside its successor.
		if to := w.now.Add(2*time.Second + w.drawDelay(200)); to.After(w.current.pausedUntil) {
			w.current.pausedUntil = to
		}
		w.startAgent()
	case "assign":
		w.reassign(simModel(rapid.IntRange(0, simModels-1).Draw(w.t, "model")))
	}
	w.advance(w.drawDelay(20))
}

// reassign changes a placement and tells the agent.
func (w *simulation) reassign(m fleet.ModelID) {
	if w.kvDown {
		return
	}
	a := w.assignments[m]
	a.Generation++
	states := []agent.AssignmentState{agent.AssignmentAssigned, agent.AssignmentReleasing}
	a.State = states[(slices.Index(states, a.State)+1)%len(states)]
	w.assignments[m] = a
	w.apply(w.current, agent.AssignPushed{Model: m, Generation: a.Generation})
}

// TestAgentProperties drives an agent beside a small engine through random
// requests, lost, failed and silent orders, lagging reports, outages of the
// key-value service, restarts and pauses.
func TestAgentProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range simSteps {
			w.step()
		}
		w.kvDown = false
		w.advance(15 * time.Second)
		w.checkRequests()
	})
}
