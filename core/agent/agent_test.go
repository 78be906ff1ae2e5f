package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// model is the model that most tests use.
const model fleet.ModelID = "model@1"

// loadTime is the expected duration of a load.
const loadTime = 8 * time.Second

// idleTime is how long an idle model stays loaded.
const idleTime = 10 * time.Second

// idlePolicy keeps idle models loaded for idleTime.
type idlePolicy struct{ hourPolicy }

func (idlePolicy) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(idleTime)
}

// harness drives one agent with a simulated clock.
type harness struct {
	state        *agent.State
	now          time.Time
	lastStreamID uint64
}

// newHarness returns a harness whose agent has taken the given incarnation, may load model
// and has not received an engine report.
func newHarness(incarnation fleet.Incarnation) *harness {
	h := &harness{now: epoch, state: agent.New(agent.Options{
		WarmPolicy: idlePolicy{}, MaxRunning: 2, MaxQueued: 4, MaxQueuedBytes: 100, LoadTime: loadTime,
	})}
	h.apply(agent.Started{Endpoint: "e", Instance: 7, Services: []fleet.ServiceID{"booking"}})
	h.apply(agent.ConfigAccepted{Config: &record.Config{Revision: 1, Models: map[fleet.ModelID]record.Model{
		model:     {ID: model, Weights: 40 * fleet.GiB, WarmLimit: 1},
		"other@1": {ID: "other@1", Weights: 50 * fleet.GiB, WarmLimit: 1},
	}}})
	h.apply(agent.IncarnationRead{Current: incarnation, Taken: true, RequestedAt: h.now})
	h.deliverAssignments(agent.AssignmentAssigned)
	return h
}

func (h *harness) apply(ev event.Event) []event.Effect { return h.state.Apply(h.now, ev) }

// advance moves the clock forward in ticks of 100 ms and returns the effects.
func (h *harness) advance(d time.Duration) []event.Effect {
	var out []event.Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		out = append(out, h.apply(event.Tick{})...)
	}
	return out
}

// deliverAssignments delivers a read of all assignments in which both models have the state.
func (h *harness) deliverAssignments(state agent.AssignmentState) {
	var all []agent.Assignment
	for _, m := range []fleet.ModelID{model, "other@1"} {
		all = append(all, agent.Assignment{Model: m, Generation: 1, State: state})
	}
	h.apply(agent.AssignmentsRead{Assignments: all, RequestedAt: h.now})
}

// report delivers an engine report that lists the held models.
func (h *harness) report(held ...fleet.EngineModel) []event.Effect {
	return h.apply(agent.EngineReported{State: fleet.EngineState{AsOf: h.now, TotalMemory: 80 * fleet.GiB, Models: held}})
}

// reportWarm delivers an engine report, one second later, that lists model as warm.
func (h *harness) reportWarm() {
	h.now = h.now.Add(time.Second)
	h.report(fleet.EngineModel{Model: model, State: fleet.LoadStateWarm, Memory: 40 * fleet.GiB})
}

// offer offers a request for the test model, with a deadline of now plus patience. edit, if
// not nil, changes the offer first.
func (h *harness) offer(id fleet.RequestID, patience time.Duration, edit func(*agent.Offer)) []event.Effect {
	h.lastStreamID++
	o := agent.Offer{
		ID: id, Attempt: 1, Member: "a", Target: fleet.Target{Model: model}, Size: 1,
		Deadline: h.now.Add(patience), StreamID: h.lastStreamID,
	}
	if edit != nil {
		edit(&o)
	}
	return h.apply(agent.Offered{Offer: o})
}

// effectsOf returns the effects of type E.
func effectsOf[E event.Effect](all []event.Effect) []E {
	var out []E
	for _, eff := range all {
		if e, ok := eff.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

// pushAssignment delivers a hint that the placement of model has changed and returns the answer.
func (h *harness) pushAssignment() agent.AssignmentAnswer {
	return effectsOf[agent.AnswerAssignment](h.apply(agent.AssignmentPushed{Model: model, Generation: 1}))[0].State
}

// TestReleasedNeedsProof checks that a model is reported as released only if neither a
// successor, an order in flight nor the engine can hold it.
func TestReleasedNeedsProof(t *testing.T) {
	tests := map[string]struct {
		incarnation fleet.Incarnation
		do          func(h *harness)
		want        agent.AssignmentAnswer
	}{
		"cold":                           {1, func(h *harness) { h.report() }, agent.AssignmentReleased},
		"no engine report":               {1, func(*harness) {}, agent.AssignmentUnconfirmed},
		"predecessor's orders in flight": {2, func(h *harness) { h.report() }, agent.AssignmentUnconfirmed},
		"predecessor's orders expired":   {2, func(h *harness) { h.advance(4 * time.Second); h.report() }, agent.AssignmentReleased},
		"paused":                         {1, func(h *harness) { h.report(); h.now = h.now.Add(time.Minute) }, agent.AssignmentUnconfirmed},
		"model held":                     {1, func(h *harness) { h.reportWarm() }, agent.AssignmentUnconfirmed},
		"successor's fence": {1, func(h *harness) {
			h.report()
			h.apply(agent.EngineReported{State: fleet.EngineState{AsOf: h.now, Fence: fleet.Fence{Incarnation: 2}}})
		}, agent.AssignmentUnconfirmed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(tt.incarnation)
			h.deliverAssignments(agent.AssignmentReleasing)
			tt.do(h)
			require.Equal(t, tt.want, h.pushAssignment())
		})
	}
}

// TestPausedAgentOrdersNothing checks that a resumed agent with a request for a cold model
// loads it only after its incarnation and the assignment have been confirmed again.
func TestPausedAgentOrdersNothing(t *testing.T) {
	h := newHarness(1)
	h.report()
	h.now = h.now.Add(5 * time.Second)
	effs := h.apply(event.Tick{})
	require.NotEmpty(t, effectsOf[agent.ReadIncarnation](effs))
	require.Equal(t, fleet.CodeStarting, effectsOf[agent.RefuseOffer](h.offer("r", time.Minute, nil))[0].Refusal.Code)
	h.apply(agent.IncarnationRead{Current: 1, RequestedAt: epoch})
	require.False(t, h.state.Report(h.now).Confirmed, "confirmed by a read from before the pause")
	h.apply(agent.IncarnationRead{Current: 1, RequestedAt: h.now})
	effs = h.offer("s", time.Minute, nil)
	require.Empty(t, effectsOf[agent.RequestPermit](effs), "a load before the assignment was read again")
	require.NotEmpty(t, effectsOf[agent.ReadAssignment](effs))
	h.apply(agent.AssignmentsRead{RequestedAt: epoch, Assignments: []agent.Assignment{{Model: model, Generation: 1, State: agent.AssignmentAssigned}}})
	require.Empty(t, effectsOf[agent.RequestPermit](h.apply(event.Tick{})), "a load based on an assignment read before the pause")
	effs = h.apply(agent.AssignmentRead{RequestedAt: h.now, Assignment: agent.Assignment{Model: model, Generation: 2, State: agent.AssignmentReleasing}})
	require.Equal(t, fleet.CodeNotAssigned, effectsOf[agent.RefuseAnswer](effs)[0].Refusal.Code)
}

// TestIncarnation checks which answers to reads confirm the incarnation of a resumed agent.
func TestIncarnation(t *testing.T) {
	tests := map[string]struct {
		read      []agent.IncarnationRead
		confirmed bool
		draining  bool
	}{
		"own":                 {[]agent.IncarnationRead{{Current: 3}}, true, false},
		"older":               {[]agent.IncarnationRead{{Current: 2}}, false, false},
		"older, then own":     {[]agent.IncarnationRead{{Current: 2}, {Current: 3}}, true, false},
		"successor":           {[]agent.IncarnationRead{{Current: 4}}, false, true},
		"successor, then own": {[]agent.IncarnationRead{{Current: 4}, {Current: 3}}, false, true},
		"late answer to take": {[]agent.IncarnationRead{{Current: 2, Taken: true}}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(3)
			h.now = h.now.Add(time.Minute)
			h.apply(event.Tick{})
			for _, ev := range tt.read {
				ev.RequestedAt = h.now
				h.apply(ev)
			}
			rep := h.state.Report(h.now)
			require.Equal(t, tt.confirmed, rep.Confirmed)
			require.Equal(t, tt.draining, rep.Draining)
			require.Equal(t, fleet.Incarnation(3), rep.Incarnation)
		})
	}
}

// TestForgottenRequestRan checks that a request with an idempotency key is not reported as
// never run after its journal entry has expired.
func TestForgottenRequestRan(t *testing.T) {
	h := newHarness(1)
	h.reportWarm()
	withKey := func(o *agent.Offer) { o.KeepAnswer = true }
	attach := func(o *agent.Offer) { o.KeepAnswer, o.AttachOnly, o.ExpectInstance = true, true, 7 }
	require.NotEmpty(t, effectsOf[agent.StartRequest](h.offer("r", time.Minute, withKey)))
	h.apply(agent.AnswerEnded{ID: "r", Chunks: 1})
	require.NotEmpty(t, effectsOf[agent.AdmitOffer](h.offer("r", time.Minute, attach)))
	require.NotEmpty(t, effectsOf[agent.DropAnswer](h.advance(11*time.Minute)))
	refusal := effectsOf[agent.RefuseOffer](h.offer("r", time.Minute, attach))[0].Refusal
	require.Equal(t, fleet.NotRunFalse, refusal.NotRun)
	tombstone := effectsOf[agent.AnswerTombstone](h.apply(agent.TombstoneRequested{ID: "r", ExpectInstance: 7}))[0]
	require.Equal(t, agent.TombstoneUnknown, tombstone.State)
	refusal = effectsOf[agent.RefuseOffer](h.offer("never came", time.Minute, attach))[0].Refusal
	require.Equal(t, fleet.NotRunTrue, refusal.NotRun)
}

// TestAdoptedRequestsGoOn checks that a model is not unloaded while the engine still runs a
// request started by the agent's predecessor.
func TestAdoptedRequestsGoOn(t *testing.T) {
	h := newHarness(2)
	held := fleet.EngineModel{Model: model, State: fleet.LoadStateWarm, Memory: 40 * fleet.GiB, Running: 1}
	h.advance(4 * time.Second)
	h.report(held)
	for range 60 {
		h.advance(time.Second)
		require.Empty(t, effectsOf[agent.SendOrder](h.report(held)))
	}
	held.Running = 0
	h.advance(time.Second)
	require.Equal(t, fleet.ActionUnloadModel, effectsOf[agent.SendOrder](h.report(held))[0].Order.Action)
}

// TestMemberBurst checks that a member that fills the queue does not lock out another one,
// and that both get the same share in the end.
func TestMemberBurst(t *testing.T) {
	h := newHarness(1)
	h.report()
	by := func(m fleet.MemberID) func(*agent.Offer) { return func(o *agent.Offer) { o.Member = m } }
	for i := range 4 {
		require.NotEmpty(t, effectsOf[agent.AdmitOffer](h.offer(fleet.RequestID(fmt.Sprint("burst-", i)), time.Minute, by("burst"))))
	}
	require.Equal(t, fleet.CodeOverloaded, effectsOf[agent.RefuseOffer](h.offer("burst-5", time.Minute, by("burst")))[0].Refusal.Code)
	for i := range 2 {
		effs := h.offer(fleet.RequestID(fmt.Sprint("quiet-", i)), time.Minute, by("quiet"))
		require.NotEmpty(t, effectsOf[agent.AdmitOffer](effs))
		require.Equal(t, fleet.NotRunTrue, effectsOf[agent.RefuseAnswer](effs)[0].Refusal.NotRun)
	}
	require.NotEmpty(t, effectsOf[agent.RefuseOffer](h.offer("quiet-3", time.Minute, by("quiet"))))
	large := func(o *agent.Offer) { o.Size = 98; o.Member = "large" }
	require.NotEmpty(t, effectsOf[agent.RefuseOffer](h.offer("large", time.Minute, large)), "exceeds MaxQueuedBytes")
}

// TestRefusedAtOnce checks that a request is refused as soon as it is known that its
// deadline can't be met.
func TestRefusedAtOnce(t *testing.T) {
	h := newHarness(1)
	h.report()
	require.Equal(t, fleet.CodePatienceTooShort, effectsOf[agent.RefuseOffer](h.offer("short", loadTime/2, nil))[0].Refusal.Code)
	h.offer("waits", loadTime+time.Second, nil)
	effs := h.advance(2 * time.Second)
	for _, request := range effectsOf[agent.RequestPermit](effs) {
		effs = append(effs, h.apply(agent.PermitAnswered{ID: request.ID, Model: model, Answer: agent.PermitWaiting})...)
	}
	effs = append(effs, h.advance(time.Second)...)
	require.Equal(t, fleet.RequestID("waits"), effectsOf[agent.RefuseAnswer](effs)[0].ID, "refused once the load can't end in time")
	require.True(t, h.now.Before(epoch.Add(loadTime)))
}

// TestCancelByEarlierStream checks that closing the stream of an earlier offer does not
// cancel a request that has been offered again on a new stream.
func TestCancelByEarlierStream(t *testing.T) {
	h := newHarness(1)
	h.reportWarm()
	idempotent := func(o *agent.Offer) { o.Idempotent = true }
	h.offer("r", time.Minute, idempotent)
	first := h.lastStreamID
	h.offer("r", time.Minute, idempotent)
	require.Empty(t, effectsOf[agent.CancelRequest](h.apply(agent.Cancelled{ID: "r", StreamID: first})))
	require.NotEmpty(t, effectsOf[agent.CancelRequest](h.apply(agent.Cancelled{ID: "r", StreamID: h.lastStreamID})))
}

// TestNotCancelled checks that requests that must not be cancelled run to completion when
// their callers disconnect.
func TestNotCancelled(t *testing.T) {
	tests := map[string]func(*agent.Offer){
		"non-idempotent":       func(o *agent.Offer) { o.Idempotent = false },
		"with idempotency key": func(o *agent.Offer) { o.Idempotent, o.KeepAnswer = true, true },
	}
	for name, edit := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			h.reportWarm()
			h.offer("r", time.Minute, edit)
			require.Empty(t, effectsOf[agent.CancelRequest](h.apply(agent.Cancelled{ID: "r", StreamID: h.lastStreamID})))
		})
	}
}

// TestOverdueLoadIsAbandoned checks that a load whose answer is overdue is abandoned when
// the engine reports that it does not hold the model, and that the memory stays charged for
// as long as the order may still reach the engine.
func TestOverdueLoadIsAbandoned(t *testing.T) {
	h := newHarness(1)
	h.report()
	request := effectsOf[agent.RequestPermit](h.offer("r", time.Minute, nil))[0]
	order := effectsOf[agent.SendOrder](h.apply(agent.PermitAnswered{ID: request.ID, Model: model, Answer: agent.PermitGranted}))[0].Order
	h.advance(1500 * time.Millisecond)
	require.Equal(t, order.ID, effectsOf[agent.AbandonOrder](h.report())[0].ID)
	require.Equal(t, 40*fleet.GiB, h.state.Report(h.now).MemoryFree)
	h.advance(4 * time.Second)
	require.NotEmpty(t, effectsOf[agent.RequestPermit](h.report()), "load not retried")
}

// TestPausedAgentWithPermit checks that an agent paused while waiting for a permit does not
// order a load, under a router's permit or the endpoint's own share, before its incarnation
// is confirmed or after the model is no longer assigned.
func TestPausedAgentWithPermit(t *testing.T) {
	for _, answer := range []agent.PermitAnswer{agent.PermitGranted, agent.PermitUnreachable} {
		t.Run(string(answer), func(t *testing.T) {
			h := newHarness(1)
			h.report()
			request := effectsOf[agent.RequestPermit](h.offer("r", time.Minute, nil))[0]
			h.now = h.now.Add(5 * time.Second)
			effs := h.apply(agent.PermitAnswered{ID: request.ID, Model: model, Answer: answer})
			h.apply(agent.IncarnationRead{Current: 1, RequestedAt: h.now})
			h.deliverAssignments(agent.AssignmentReleasing)
			effs = append(effs, h.advance(time.Second)...)
			require.Empty(t, effectsOf[agent.SendOrder](effs))
		})
	}
}
