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

// model is the one of most tests here.
const model fleet.ModelID = "model@1"

// loadTime is how long loads are expected to take.
const loadTime = 8 * time.Second

// idleTime is how long idle models are kept.
const idleTime = 10 * time.Second

// keepIdle keeps models for idleTime.
type idlePolicy struct{ hourPolicy }

func (idlePolicy) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(idleTime)
}

// rig drives one agent with a clock of its own.
type harness struct {
	state *agent.State
	now   time.Time
	conn  uint64
}

// newRig returns an agent that has taken an incarnation and may load model,
// beside an engine that has not reported.
func newHarness(incarnation fleet.Incarnation) *harness {
	r := &harness{now: epoch, state: agent.New(agent.Options{
		WarmPolicy: idlePolicy{}, MaxRunning: 2, MaxQueued: 4, MaxQueuedBytes: 100, LoadTime: loadTime,
	})}
	r.apply(agent.Started{Endpoint: "e", Instance: 7, Services: []fleet.ServiceID{"booking"}})
	r.apply(agent.ConfigAccepted{Set: &record.Set{Revision: 1, Models: map[fleet.ModelID]record.Model{
		model:     {ID: model, Weights: 40 * fleet.GiB, WarmLimit: 1},
		"other@1": {ID: "other@1", Weights: 50 * fleet.GiB, WarmLimit: 1},
	}}})
	r.apply(agent.IncarnationRead{Current: incarnation, Taken: true, AskedAt: r.now})
	r.readAssignments(agent.AssignmentAssigned)
	return r
}

func (r *harness) apply(ev event.Event) []event.Effect { return r.state.Apply(r.now, ev) }

// pass lets time go by, with ticks, and returns the effects.
func (r *harness) advance(d time.Duration) []event.Effect {
	var out []event.Effect
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		out = append(out, r.apply(event.Tick{})...)
	}
	return out
}

func (r *harness) readAssignments(state agent.AssignmentState) {
	var all []agent.Assignment
	for _, m := range []fleet.ModelID{model, "other@1"} {
		all = append(all, agent.Assignment{Model: m, Generation: 1, State: state})
	}
	r.apply(agent.AssignmentsRead{Assignments: all, AskedAt: r.now})
}

// report has the engine report what it holds now.
func (r *harness) report(held ...fleet.EngineModel) []event.Effect {
	return r.apply(agent.EngineReported{State: fleet.EngineState{AsOf: r.now, Memory: 80 * fleet.GiB, Models: held}})
}

// warm makes model warm.
func (r *harness) reportWarm() {
	r.now = r.now.Add(time.Second)
	r.report(fleet.EngineModel{Model: model, State: fleet.LoadStateWarm, Memory: 40 * fleet.GiB})
}

func (r *harness) offer(id fleet.RequestID, patience time.Duration, edit func(*agent.Offer)) []event.Effect {
	r.conn++
	o := agent.Offer{
		ID: id, Attempt: 1, Member: "a", Target: fleet.Target{Model: model}, Size: 1,
		Deadline: r.now.Add(patience), Conn: r.conn,
	}
	if edit != nil {
		edit(&o)
	}
	return r.apply(agent.Offered{Offer: o})
}

// find returns the effects of one type.
func effectsOf[E event.Effect](all []event.Effect) []E {
	var out []E
	for _, eff := range all {
		if e, ok := eff.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

func (r *harness) pushAssignment() agent.AssignAnswer {
	return effectsOf[agent.AnswerAssign](r.apply(agent.AssignPushed{Model: model, Generation: 1}))[0].State
}

func TestReleasedNeedsProof(t *testing.T) {
	tests := map[string]struct {
		incarnation fleet.Incarnation
		do          func(r *harness)
		want        agent.AssignAnswer
	}{
		"cold":                     {1, func(r *harness) { r.report() }, agent.AssignReleased},
		"engine unheard":           {1, func(*harness) {}, agent.AssignUnconfirmed},
		"predecessor's orders":     {2, func(r *harness) { r.report() }, agent.AssignUnconfirmed},
		"predecessor's orders out": {2, func(r *harness) { r.advance(4 * time.Second); r.report() }, agent.AssignReleased},
		"paused":                   {1, func(r *harness) { r.report(); r.now = r.now.Add(time.Minute) }, agent.AssignUnconfirmed},
		"held":                     {1, func(r *harness) { r.reportWarm() }, agent.AssignUnconfirmed},
		"successor's fence": {1, func(r *harness) {
			r.report()
			r.apply(agent.EngineReported{State: fleet.EngineState{AsOf: r.now, Fence: fleet.Fence{Incarnation: 2}}})
		}, agent.AssignUnconfirmed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newHarness(tt.incarnation)
			r.readAssignments(agent.AssignmentReleasing)
			tt.do(r)
			require.Equal(t, tt.want, r.pushAssignment())
		})
	}
}

// TestPausedAgentOrdersNothing pauses an agent with a request for a cold model:
// it orders only after its incarnation and its assignment are confirmed anew.
func TestPausedAgentOrdersNothing(t *testing.T) {
	r := newHarness(1)
	r.report()
	r.now = r.now.Add(5 * time.Second)
	effs := r.apply(event.Tick{})
	require.NotEmpty(t, effectsOf[agent.ReadIncarnation](effs))
	require.Equal(t, fleet.CodeStarting, effectsOf[agent.RefuseOffer](r.offer("r", time.Minute, nil))[0].Refusal.Code)
	r.apply(agent.IncarnationRead{Current: 1, AskedAt: epoch})
	require.False(t, r.state.Report(r.now).Confirmed, "confirmed by what was read before the pause")
	r.apply(agent.IncarnationRead{Current: 1, AskedAt: r.now})
	effs = r.offer("s", time.Minute, nil)
	require.Empty(t, effectsOf[agent.AskPermit](effs), "a load before the assignment was read again")
	require.NotEmpty(t, effectsOf[agent.ReadAssignment](effs))
	r.apply(agent.AssignmentsRead{AskedAt: epoch, Assignments: []agent.Assignment{{Model: model, Generation: 1, State: agent.AssignmentAssigned}}})
	require.Empty(t, effectsOf[agent.AskPermit](r.apply(event.Tick{})), "a load by an assignment read before the pause")
	effs = r.apply(agent.AssignmentRead{AskedAt: r.now, Assignment: agent.Assignment{Model: model, Generation: 2, State: agent.AssignmentReleasing}})
	require.Equal(t, fleet.CodeNotAssigned, effectsOf[agent.RefuseAnswer](effs)[0].Refusal.Code)
}

func TestIncarnation(t *testing.T) {
	tests := map[string]struct {
		read      []agent.IncarnationRead
		confirmed bool
		draining  bool
	}{
		"own":                 {[]agent.IncarnationRead{{Current: 3}}, true, false},
		"from the past":       {[]agent.IncarnationRead{{Current: 2}}, false, false},
		"past, then own":      {[]agent.IncarnationRead{{Current: 2}, {Current: 3}}, true, false},
		"successor":           {[]agent.IncarnationRead{{Current: 4}}, false, true},
		"successor, then own": {[]agent.IncarnationRead{{Current: 4}, {Current: 3}}, false, true},
		"late answer to take": {[]agent.IncarnationRead{{Current: 2, Taken: true}}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newHarness(3)
			r.now = r.now.Add(time.Minute)
			r.apply(event.Tick{})
			for _, ev := range tt.read {
				ev.AskedAt = r.now
				r.apply(ev)
			}
			rep := r.state.Report(r.now)
			require.Equal(t, tt.confirmed, rep.Confirmed)
			require.Equal(t, tt.draining, rep.Draining)
			require.Equal(t, fleet.Incarnation(3), rep.Incarnation)
		})
	}
}

// TestForgottenRequestRan asks for the answer of a request with an idempotency
// key after the journal has forgotten it: it must not pass for one never run.
func TestForgottenRequestRan(t *testing.T) {
	r := newHarness(1)
	r.reportWarm()
	keyed := func(o *agent.Offer) { o.Keep = true }
	attach := func(o *agent.Offer) { o.Keep, o.Attach, o.Expect = true, true, 7 }
	require.NotEmpty(t, effectsOf[agent.StartStream](r.offer("r", time.Minute, keyed)))
	r.apply(agent.StreamEnded{ID: "r", Chunks: 1})
	require.NotEmpty(t, effectsOf[agent.AdmitOffer](r.offer("r", time.Minute, attach)))
	require.NotEmpty(t, effectsOf[agent.DropAnswer](r.advance(11*time.Minute)))
	refusal := effectsOf[agent.RefuseOffer](r.offer("r", time.Minute, attach))[0].Refusal
	require.Equal(t, fleet.NotRunFalse, refusal.NotRun)
	tombstone := effectsOf[agent.AnswerTombstone](r.apply(agent.TombstoneAsked{ID: "r", Expect: 7}))[0]
	require.Equal(t, agent.TombstoneUnknown, tombstone.State)
	refusal = effectsOf[agent.RefuseOffer](r.offer("never came", time.Minute, attach))[0].Refusal
	require.Equal(t, fleet.NotRunTrue, refusal.NotRun)
}

// TestAdoptedRequestsGoOn restarts an agent whose engine still runs a request
// of its predecessor: the model is not unloaded under it.
func TestAdoptedRequestsGoOn(t *testing.T) {
	r := newHarness(2)
	held := fleet.EngineModel{Model: model, State: fleet.LoadStateWarm, Memory: 40 * fleet.GiB, Running: 1}
	r.advance(4 * time.Second)
	r.report(held)
	for range 60 {
		r.advance(time.Second)
		require.Empty(t, effectsOf[agent.SendOrder](r.report(held)))
	}
	held.Running = 0
	r.advance(time.Second)
	require.Equal(t, fleet.ActionUnloadModel, effectsOf[agent.SendOrder](r.report(held))[0].Order.Action)
}

// TestMemberBurst fills the queue by one member: another one still gets in, and
// in the end both have their share.
func TestMemberBurst(t *testing.T) {
	r := newHarness(1)
	r.report()
	by := func(m fleet.MemberID) func(*agent.Offer) { return func(o *agent.Offer) { o.Member = m } }
	for i := range 4 {
		require.NotEmpty(t, effectsOf[agent.AdmitOffer](r.offer(fleet.RequestID(fmt.Sprint("burst-", i)), time.Minute, by("burst"))))
	}
	require.Equal(t, fleet.CodeOverloaded, effectsOf[agent.RefuseOffer](r.offer("burst-5", time.Minute, by("burst")))[0].Refusal.Code)
	for i := range 2 {
		effs := r.offer(fleet.RequestID(fmt.Sprint("quiet-", i)), time.Minute, by("quiet"))
		require.NotEmpty(t, effectsOf[agent.AdmitOffer](effs))
		require.Equal(t, fleet.NotRunTrue, effectsOf[agent.RefuseAnswer](effs)[0].Refusal.NotRun)
	}
	require.NotEmpty(t, effectsOf[agent.RefuseOffer](r.offer("quiet-3", time.Minute, by("quiet"))))
	large := func(o *agent.Offer) { o.Size = 98; o.Member = "large" }
	require.NotEmpty(t, effectsOf[agent.RefuseOffer](r.offer("large", time.Minute, large)), "beyond the bytes of the queue")
}

// TestRefusedAtOnce gives requests that can't be served in their patience
// their refusals as soon as that is known.
func TestRefusedAtOnce(t *testing.T) {
	r := newHarness(1)
	r.report()
	require.Equal(t, fleet.CodeTooSlow, effectsOf[agent.RefuseOffer](r.offer("short", loadTime/2, nil))[0].Refusal.Code)
	r.offer("waits", loadTime+time.Second, nil)
	effs := r.advance(2 * time.Second)
	for _, ask := range effectsOf[agent.AskPermit](effs) {
		effs = append(effs, r.apply(agent.PermitAnswered{ID: ask.ID, Model: model, Answer: agent.PermitWaiting})...)
	}
	effs = append(effs, r.advance(time.Second)...)
	require.Equal(t, fleet.RequestID("waits"), effectsOf[agent.RefuseAnswer](effs)[0].ID, "refused once the load can't end in time")
	require.True(t, r.now.Before(epoch.Add(loadTime)))
}

// TestCancelByEarlierStream gives up one stream of a request for another; that
// the first one is closed must not cancel the request.
func TestCancelByEarlierStream(t *testing.T) {
	r := newHarness(1)
	r.reportWarm()
	idempotent := func(o *agent.Offer) { o.Idempotent = true }
	r.offer("r", time.Minute, idempotent)
	first := r.conn
	r.offer("r", time.Minute, idempotent)
	require.Empty(t, effectsOf[agent.CancelStream](r.apply(agent.Cancelled{ID: "r", Conn: first})))
	require.NotEmpty(t, effectsOf[agent.CancelStream](r.apply(agent.Cancelled{ID: "r", Conn: r.conn})))
}

// TestNotCancelled has the callers of requests that must not be cancelled go
// away: the engine runs them to their ends.
func TestNotCancelled(t *testing.T) {
	tests := map[string]func(*agent.Offer){
		"non-idempotent": func(o *agent.Offer) { o.Idempotent = false },
		"keyed":          func(o *agent.Offer) { o.Idempotent, o.Keep = true, true },
	}
	for name, edit := range tests {
		t.Run(name, func(t *testing.T) {
			r := newHarness(1)
			r.reportWarm()
			r.offer("r", time.Minute, edit)
			require.Empty(t, effectsOf[agent.CancelStream](r.apply(agent.Cancelled{ID: "r", Conn: r.conn})))
		})
	}
}

// TestSettledOrderIsAbandoned has the engine report that it did not carry out a
// load whose answer is overdue: the order is sent no more, and the memory stays
// charged for as long as it may be under way.
func TestSettledOrderIsAbandoned(t *testing.T) {
	r := newHarness(1)
	r.report()
	ask := effectsOf[agent.AskPermit](r.offer("r", time.Minute, nil))[0]
	order := effectsOf[agent.SendOrder](r.apply(agent.PermitAnswered{ID: ask.ID, Model: model, Answer: agent.PermitGranted}))[0].Order
	r.advance(1500 * time.Millisecond)
	require.Equal(t, order.ID, effectsOf[agent.AbandonOrder](r.report())[0].ID)
	require.Equal(t, 40*fleet.GiB, r.state.Report(r.now).MemoryFree)
	r.advance(4 * time.Second)
	require.NotEmpty(t, effectsOf[agent.AskPermit](r.report()), "not tried again")
}

// TestPausedAgentWithPermit pauses an agent that waits for a permit: neither a
// router's permit nor the endpoint's own share lets it order a load before its
// incarnation is confirmed, or once the model is not placed here any more.
func TestPausedAgentWithPermit(t *testing.T) {
	for _, answer := range []agent.PermitAnswer{agent.PermitGranted, agent.PermitUnreachable} {
		t.Run(string(answer), func(t *testing.T) {
			r := newHarness(1)
			r.report()
			ask := effectsOf[agent.AskPermit](r.offer("r", time.Minute, nil))[0]
			r.now = r.now.Add(5 * time.Second)
			effs := r.apply(agent.PermitAnswered{ID: ask.ID, Model: model, Answer: answer})
			r.apply(agent.IncarnationRead{Current: 1, AskedAt: r.now})
			r.readAssignments(agent.AssignmentReleasing)
			effs = append(effs, r.advance(time.Second)...)
			require.Empty(t, effectsOf[agent.SendOrder](effs))
		})
	}
}
