package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/record"
	"chervilreach/core/router"
)

// callTimeout is the time from a call's arrival to its deadline.
const callTimeout = 2 * time.Second

// fixture is a router with two endpoints, a and b, that may run the model m. Calls
// go to a first, as b reports a queue.
type fixture struct {
	t       *testing.T
	state   *router.State
	now     time.Time
	effects []event.Effect
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)}
	f.state = router.New(router.Options{Process: "r", HostLag: time.Second, LoadTime: 100 * time.Millisecond, MaxRunning: 8})
	f.apply(router.ConfigAccepted{Config: &record.Config{Revision: 1, Models: map[fleet.ModelID]record.Model{
		"m": {ID: "m", WarmLimit: 2, Weights: fleet.GiB},
	}}})
	list := fleet.HostList{AsOf: f.now}
	for _, id := range []string{"a", "b"} {
		list.Hosts = append(list.Hosts, fleet.Host{
			ID: fleet.HostID(id), Role: fleet.HostRoleEndpoint, Endpoint: fleet.EndpointID(id), State: fleet.HostLive,
		})
	}
	f.apply(router.HostsListed{List: list})
	f.apply(router.PlacementRead{Model: "m", Revision: 1, Placement: place.Placement{Model: "m", Generation: 1, Entries: []place.Entry{
		{Endpoint: "a", State: place.StateAssigned}, {Endpoint: "b", State: place.StateAssigned},
	}}})
	f.apply(router.PlacementsSynced{})
	f.report("a", 1, 0)
	f.report("b", 1, 5)
	return f
}

// report applies a report in which an endpoint has the model loaded and the given
// number of requests queued.
func (f *fixture) report(id fleet.EndpointID, seq uint64, queued int) {
	f.apply(router.LoadReported{Endpoint: id, Load: router.Load{
		Sequence: seq, Instance: 7, Incarnation: 1, MemoryTotal: 80 * fleet.GiB,
		Models: []router.ModelLoad{{Model: "m", Stage: "warm", Queued: queued}},
	}})
}

// apply applies an event at the present time and keeps its effects.
func (f *fixture) apply(ev event.Event) { f.effects = f.state.Apply(f.now, ev) }

// advance advances the time by d in small steps. It stops early when an offer, a
// tombstone request or a refusal is emitted.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		f.apply(event.Tick{})
		if hasEffect[router.SendOffer](f.effects) || hasEffect[router.RequestTombstone](f.effects) || hasEffect[router.RefuseCall](f.effects) {
			return
		}
	}
}

// arrive starts the call q, changed by edit.
func (f *fixture) arrive(edit func(*router.Call)) {
	c := router.Call{
		ID: "q", Member: "x", Target: fleet.Target{Model: "m"}, Idempotent: true, Stream: true, Deadline: f.now.Add(callTimeout),
	}
	edit(&c)
	f.apply(router.CallArrived{Call: c})
}

// unchanged leaves a call as arrive makes it: idempotent and streamed.
func unchanged(*router.Call) {}

func makeNonIdempotent(c *router.Call) { c.Idempotent = false }

// hasEffect reports whether there is an effect of type E.
func hasEffect[E event.Effect](all []event.Effect) bool {
	for _, eff := range all {
		if _, ok := eff.(E); ok {
			return true
		}
	}
	return false
}

// onlyEffect returns the effect of type E of the last event, and fails the test
// unless there is exactly one.
func onlyEffect[E event.Effect](f *fixture) E {
	f.t.Helper()
	var found []E
	for _, eff := range f.effects {
		if e, ok := eff.(E); ok {
			found = append(found, e)
		}
	}
	require.Len(f.t, found, 1, "%v", f.effects)
	return found[0]
}

// markSent reports an offer as sent.
func (f *fixture) markSent(o router.SendOffer) {
	f.apply(router.OfferSent{ID: o.ID, ExchangeID: o.ExchangeID, Instance: 7})
}

// failToSend reports that an offer and its repetitions to the same endpoint could not be sent, until
// there are no more.
func (f *fixture) failToSend(o router.SendOffer) {
	for id := o.Endpoint; o.Endpoint == id; o = onlyEffect[router.SendOffer](f) {
		f.apply(router.OfferNotSent{ID: o.ID, ExchangeID: o.ExchangeID})
		if hasEffect[router.RefuseCall](f.effects) {
			return
		}
		if !hasEffect[router.SendOffer](f.effects) {
			f.advance(callTimeout)
		}
	}
}

// TestPossiblyRunCallIsNotRefusedAsNotRun checks that an idempotent call that one endpoint
// may have run is never refused as not run, however it fails at the next endpoint.
func TestPossiblyRunCallIsNotRefusedAsNotRun(t *testing.T) {
	tests := map[string]func(f *fixture, second router.SendOffer){
		"next refuses": func(f *fixture, second router.SendOffer) {
			f.apply(router.OfferRefused{ID: "q", ExchangeID: second.ExchangeID, Refusal: fleet.Refusal{Code: fleet.CodeOverloaded, NotRun: fleet.NotRunTrue}})
		},
		"next unreachable": func(f *fixture, second router.SendOffer) {
			f.failToSend(second)
		},
		"deadline passes before next is reached": func(f *fixture, second router.SendOffer) {
			for range 100 {
				if hasEffect[router.RefuseCall](f.effects) {
					return
				}
				f.advance(callTimeout)
				if hasEffect[router.WithdrawOffer](f.effects) {
					f.apply(router.OfferNotSent{ID: "q", ExchangeID: second.ExchangeID})
				}
			}
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.arrive(unchanged)
			first := onlyEffect[router.SendOffer](f)
			f.markSent(first)
			f.apply(router.StreamBroke{ID: "q", ExchangeID: first.ExchangeID})
			resent := onlyEffect[router.SendOffer](f)
			require.Equal(t, first.Endpoint, resent.Endpoint)
			f.apply(router.OfferNotSent{ID: "q", ExchangeID: resent.ExchangeID})
			second := onlyEffect[router.SendOffer](f)
			require.NotEqual(t, first.Endpoint, second.Endpoint)
			fail(f, second)
			require.Equal(t, fleet.NotRunUnknown, onlyEffect[router.RefuseCall](f).Refusal.NotRun)
		})
	}
}

// TestSilentBeforeAck checks that an unacknowledged offer is resent on a new
// connection in time, and that the call is withdrawn before it goes to another
// endpoint.
func TestSilentBeforeAck(t *testing.T) {
	f := newFixture(t)
	f.arrive(makeNonIdempotent)
	first := onlyEffect[router.SendOffer](f)
	f.markSent(first)
	sentAt := f.now
	f.advance(callTimeout)
	resent := onlyEffect[router.SendOffer](f)
	require.LessOrEqual(t, f.now.Sub(sentAt), min(300*time.Millisecond, callTimeout/10))
	require.True(t, resent.NewConn)
	require.Equal(t, first.Endpoint, resent.Endpoint)
	require.Equal(t, fleet.Instance(7), resent.ExpectInstance, "another instance must not start it")
	f.markSent(resent)
	f.advance(callTimeout)
	tombstone := onlyEffect[router.RequestTombstone](f)
	f.apply(router.TombstoneAnswered{ID: "q", ExchangeID: tombstone.ExchangeID, State: "tombstoned"})
	require.NotEqual(t, first.Endpoint, onlyEffect[router.SendOffer](f).Endpoint)
}

// TestSlowAgentIsAskedBeforeRetry checks that an idempotent call whose agent acknowledges too late is
// withdrawn before it goes to another endpoint, and stays if the agent runs it.
func TestSlowAgentIsAskedBeforeRetry(t *testing.T) {
	tests := map[string]struct {
		state    string
		endpoint fleet.EndpointID
		attach   bool
	}{
		"running":    {state: "running", endpoint: "a", attach: true},
		"tombstoned": {state: "tombstoned", endpoint: "b"},
		"forgotten":  {state: "unknown", endpoint: "b"},
		"no answer":  {state: "", endpoint: "b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.arrive(unchanged)
			f.markSent(onlyEffect[router.SendOffer](f))
			f.advance(callTimeout)
			f.markSent(onlyEffect[router.SendOffer](f))
			f.advance(callTimeout)
			tombstone := onlyEffect[router.RequestTombstone](f)
			require.Equal(t, fleet.EndpointID("a"), tombstone.Endpoint)
			f.apply(router.TombstoneAnswered{ID: "q", ExchangeID: tombstone.ExchangeID, State: tt.state})
			next := onlyEffect[router.SendOffer](f)
			require.Equal(t, tt.endpoint, next.Endpoint)
			require.Equal(t, tt.attach, next.AttachOnly)
		})
	}
}

// TestSilentAgentIsNotAskedForLong checks that an idempotent call goes to another endpoint soon if its
// agent does not answer a tombstone request.
func TestSilentAgentIsNotAskedForLong(t *testing.T) {
	f := newFixture(t)
	f.arrive(unchanged)
	began := f.now
	for {
		offer := onlyEffect[router.SendOffer](f)
		if offer.Endpoint != "a" {
			break
		}
		f.markSent(offer)
		f.advance(callTimeout)
		if hasEffect[router.RequestTombstone](f.effects) {
			f.advance(callTimeout)
		}
	}
	require.Less(t, f.now.Sub(began), callTimeout/4)
}

// TestChunkOvertaken covers a first chunk that reaches the caller while a tombstone
// is requested. The answer has begun, so the call must be neither withdrawn at its
// deadline nor started again elsewhere.
func TestChunkOvertaken(t *testing.T) {
	f := newFixture(t)
	f.arrive(makeNonIdempotent)
	first := onlyEffect[router.SendOffer](f)
	f.markSent(first)
	f.apply(router.OfferAcked{ID: "q", ExchangeID: first.ExchangeID})
	f.advance(callTimeout)
	tombstone := onlyEffect[router.RequestTombstone](f)
	f.apply(router.AnswerBegan{ID: "q", ExchangeID: first.ExchangeID})
	reattached := onlyEffect[router.SendOffer](f)
	require.True(t, reattached.AttachOnly)
	f.apply(router.TombstoneAnswered{ID: "q", ExchangeID: tombstone.ExchangeID, State: "running"})
	f.markSent(reattached)
	f.apply(router.OfferAcked{ID: "q", ExchangeID: reattached.ExchangeID})
	f.advance(10 * callTimeout)
	require.False(t, hasEffect[router.RefuseCall](f.effects))
	f.apply(router.AnswerEnded{ID: "q", ExchangeID: reattached.ExchangeID})
	require.True(t, hasEffect[router.FinishCall](f.effects))
}

// TestLateEvents checks that events of an exchange that has been replaced are counted
// and change nothing.
func TestLateEvents(t *testing.T) {
	f := newFixture(t)
	f.arrive(makeNonIdempotent)
	first := onlyEffect[router.SendOffer](f)
	f.markSent(first)
	f.advance(callTimeout)
	resent := onlyEffect[router.SendOffer](f)
	for _, ev := range []event.Event{
		router.OfferNotSent{ID: "q", ExchangeID: first.ExchangeID},
		router.OfferRefused{ID: "q", ExchangeID: first.ExchangeID},
		router.AnswerEnded{ID: "q", ExchangeID: first.ExchangeID},
		router.StreamBroke{ID: "q", ExchangeID: first.ExchangeID},
		router.AnswerDiverged{ID: "q", ExchangeID: first.ExchangeID},
		router.TombstoneAnswered{ID: "q", ExchangeID: first.ExchangeID, State: "tombstoned"},
		router.OfferAcked{ID: "other", ExchangeID: resent.ExchangeID},
		router.ClaimResolved{ID: "q", Result: router.ClaimUnknown},
	} {
		f.apply(ev)
		require.Contains(t, f.effects, event.Count{Name: "router.events-late", N: 1}, ev.Kind())
		require.Len(t, f.effects, 2, ev.Kind())
	}
}

// TestRerunIsCompared checks that a rerun answer is still marked as a rerun after its
// own connection fails. Otherwise its beginning would not be compared with what the
// caller has received.
func TestRerunIsCompared(t *testing.T) {
	f := newFixture(t)
	f.arrive(unchanged)
	first := onlyEffect[router.SendOffer](f)
	f.markSent(first)
	f.apply(router.AnswerBegan{ID: "q", ExchangeID: first.ExchangeID})
	f.apply(router.StreamBroke{ID: "q", ExchangeID: first.ExchangeID})
	for range 100 {
		o := onlyEffect[router.SendOffer](f)
		if o.Endpoint != first.Endpoint {
			break
		}
		f.apply(router.OfferNotSent{ID: "q", ExchangeID: o.ExchangeID})
		if !hasEffect[router.SendOffer](f.effects) {
			f.advance(callTimeout)
		}
	}
	rerun := onlyEffect[router.SendOffer](f)
	require.True(t, rerun.Rerun)
	f.markSent(rerun)
	f.apply(router.StreamBroke{ID: "q", ExchangeID: rerun.ExchangeID})
	require.True(t, onlyEffect[router.SendOffer](f).Rerun)
}

// TestConnectionLostForAMoment checks that a call is offered again to the only endpoint that can serve
// it after a failure to connect, and is refused as not run if that goes on.
func TestConnectionLostForAMoment(t *testing.T) {
	arrive := func(t *testing.T) (*fixture, router.SendOffer) {
		f := newFixture(t)
		f.arrive(makeNonIdempotent)
		first := onlyEffect[router.SendOffer](f)
		f.apply(router.OfferRefused{ID: "q", ExchangeID: first.ExchangeID, Refusal: fleet.Refusal{
			Code: fleet.CodeNotAssigned, NotRun: fleet.NotRunTrue,
		}})
		return f, onlyEffect[router.SendOffer](f)
	}
	t.Run("regained", func(t *testing.T) {
		f, only := arrive(t)
		f.apply(router.OfferNotSent{ID: "q", ExchangeID: only.ExchangeID})
		f.advance(callTimeout)
		again := onlyEffect[router.SendOffer](f)
		require.Equal(t, only.Endpoint, again.Endpoint)
		require.True(t, again.NewConn)
		require.False(t, again.AttachOnly)
	})
	t.Run("lost for good", func(t *testing.T) {
		f, only := arrive(t)
		began := f.now
		f.failToSend(only)
		refusal := onlyEffect[router.RefuseCall](f).Refusal
		require.Equal(t, fleet.CodeEndpointUnreachable, refusal.Code)
		require.Equal(t, fleet.NotRunTrue, refusal.NotRun)
		require.LessOrEqual(t, f.now.Sub(began), 1100*time.Millisecond)
	})
	t.Run("deadline", func(t *testing.T) {
		f, only := arrive(t)
		f.now = f.now.Add(callTimeout - 150*time.Millisecond)
		f.apply(router.OfferNotSent{ID: "q", ExchangeID: only.ExchangeID})
		f.advance(callTimeout)
		refusal := onlyEffect[router.RefuseCall](f).Refusal
		require.Equal(t, fleet.CodeDeadlineExceeded, refusal.Code)
		require.Equal(t, fleet.NotRunTrue, refusal.NotRun)
	})
}

// Guards against an idempotent call that crashes each endpoint which answers it being rerun at all of
// them, one after the other.
func TestRepeatableCallCostsFewEndpoints(t *testing.T) {
	const endpointCount, maxEndpoints = 12, 4
	f := newLargeFixture(t, endpointCount)
	f.arrive(func(c *router.Call) { c.Deadline = f.now.Add(30 * time.Second) })
	offered := 0
	for ; hasEffect[router.SendOffer](f.effects) && offered <= endpointCount; offered++ {
		o := onlyEffect[router.SendOffer](f)
		f.markSent(o)
		f.apply(router.OfferAcked{ID: "q", ExchangeID: o.ExchangeID})
		f.apply(router.AnswerBegan{ID: "q", ExchangeID: o.ExchangeID})
		f.apply(router.OfferRefused{ID: "q", ExchangeID: o.ExchangeID, Refusal: fleet.Refusal{Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown}})
	}
	assert.LessOrEqual(t, offered, maxEndpoints)
	assert.Equal(t, fleet.NotRunFalse, onlyEffect[router.RefuseCall](f).Refusal.NotRun)
}

// newLargeFixture returns a router that knows one model, assigned to endpointCount endpoints.
func newLargeFixture(t *testing.T, endpointCount int) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)}
	f.state = router.New(router.Options{Process: "r", HostLag: time.Second, LoadTime: 100 * time.Millisecond, MaxRunning: 8})
	f.apply(router.ConfigAccepted{Config: &record.Config{
		Revision: 1, Models: map[fleet.ModelID]record.Model{"m": {ID: "m", WarmLimit: endpointCount, Weights: fleet.GiB}},
	}})
	list := fleet.HostList{AsOf: f.now}
	var entries []place.Entry
	for i := range endpointCount {
		id := fmt.Sprint("e", i)
		list.Hosts = append(list.Hosts, fleet.Host{ID: fleet.HostID(id), Role: fleet.HostRoleEndpoint, Endpoint: fleet.EndpointID(id), State: fleet.HostLive})
		entries = append(entries, place.Entry{Endpoint: fleet.EndpointID(id), State: place.StateAssigned})
	}
	f.apply(router.HostsListed{List: list})
	f.apply(router.PlacementRead{Model: "m", Revision: 1, Placement: place.Placement{Model: "m", Generation: 1, Entries: entries}})
	f.apply(router.PlacementsSynced{})
	for _, e := range entries {
		f.report(e.Endpoint, 1, 0)
	}
	return f
}

// TestRerunHasTimeToLoad checks that the endpoint that runs a begun stream again may load its model
// first. An answer that is not streamed still has its deadline.
func TestRerunHasTimeToLoad(t *testing.T) {
	tests := map[string]struct {
		stream bool
		// fromArrival reports whether the time counts from the arrival, not from the rerun.
		fromArrival bool
	}{
		"stream":       {stream: true},
		"whole answer": {fromArrival: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			arrived := f.now
			f.arrive(func(c *router.Call) { c.Stream = tt.stream })
			first := onlyEffect[router.SendOffer](f)
			f.markSent(first)
			f.apply(router.AnswerBegan{ID: "q", ExchangeID: first.ExchangeID})
			f.now = f.now.Add(callTimeout / 4)
			f.apply(router.OfferRefused{ID: "q", ExchangeID: first.ExchangeID, Refusal: fleet.Refusal{
				Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse,
			}})
			rerun := onlyEffect[router.SendOffer](f)
			require.True(t, rerun.Rerun)
			from := f.now
			if tt.fromArrival {
				from = arrived
			}
			require.Equal(t, callTimeout, rerun.NotAfter.Sub(from))
		})
	}
}

// TestWholeAnswerIsBounded checks that an answer that is not streamed must be complete
// by the deadline, even if it has begun.
func TestWholeAnswerIsBounded(t *testing.T) {
	f := newFixture(t)
	deadline := f.now.Add(callTimeout)
	f.arrive(func(c *router.Call) { c.Stream = false })
	first := onlyEffect[router.SendOffer](f)
	f.markSent(first)
	f.apply(router.AnswerBegan{ID: "q", ExchangeID: first.ExchangeID})
	f.advance(10 * callTimeout)
	require.Equal(t, fleet.NotRunFalse, onlyEffect[router.RefuseCall](f).Refusal.NotRun)
	require.False(t, f.now.After(deadline))
}

// TestFlapping checks that an endpoint that keeps failing is avoided for longer each
// time, although it sends reports in between.
func TestFlapping(t *testing.T) {
	f := newFixture(t)
	offers := 0
	for seq := range uint64(100) {
		f.report("a", seq+2, 0)
		f.arrive(unchanged)
		o := onlyEffect[router.SendOffer](f)
		if o.Endpoint == "a" {
			offers++
			f.apply(router.OfferNotSent{ID: "q", ExchangeID: o.ExchangeID})
			o = onlyEffect[router.SendOffer](f)
		}
		f.markSent(o)
		f.apply(router.OfferAcked{ID: "q", ExchangeID: o.ExchangeID})
		f.apply(router.AnswerEnded{ID: "q", ExchangeID: o.ExchangeID})
		f.now = f.now.Add(200 * time.Millisecond)
	}
	require.LessOrEqual(t, offers, 6, "in 20 s: after 0.5, 1, 2, 4, and 8 s")
}

// TestRetryBudgetWithoutAcks checks that the number of offers stays within the retry budget
// when no endpoint acknowledges in time.
func TestRetryBudgetWithoutAcks(t *testing.T) {
	const callCount = 1000
	f := newFixture(t)
	offerCount := 0
	for n := range callCount {
		id := fleet.RequestID(rune('a'+n%26)) + fleet.RequestID(time.Duration(n).String())
		f.arrive(func(c *router.Call) { c.ID = id; c.Idempotent = n%2 == 0 })
		offerCount++
		f.apply(router.OfferSent{ID: id, ExchangeID: onlyEffect[router.SendOffer](f).ExchangeID, Instance: 7})
		for range 5 {
			f.now = f.now.Add(time.Millisecond)
			f.apply(event.Tick{})
			for _, eff := range f.effects {
				if o, ok := eff.(router.SendOffer); ok {
					offerCount++
					f.state.Apply(f.now, router.OfferSent{ID: o.ID, ExchangeID: o.ExchangeID, Instance: 7})
				}
			}
		}
	}
	require.LessOrEqual(t, offerCount, callCount*11/10+20)
}

// TestForgottenClaim guards against a second run under the same idempotency key. An
// agent reports a request that its journal no longer holds as never run, which must
// be trusted only for an open claim no older than journalTrustPeriod.
func TestForgottenClaim(t *testing.T) {
	tests := map[string]struct {
		age         time.Duration
		state       router.ClaimState
		wantRetried bool
	}{
		"young":       {time.Minute, router.ClaimOpen, true},
		"old":         {11 * time.Minute, router.ClaimOpen, false},
		"done":        {time.Minute, router.ClaimDone, false},
		"clock ahead": {-11 * time.Minute, router.ClaimOpen, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.arrive(func(c *router.Call) { c.Idempotent, c.ClaimKey, c.BodyHash = false, "k", "body" })
			existing := onlyEffect[router.WriteClaim](f).Claim
			existing.Request, existing.State, existing.ClaimedAt, existing.Revision = "earlier", test.state, f.now.Add(-test.age), 5
			f.apply(router.ClaimResolved{ID: "q", Result: router.ClaimExists, Claim: existing})
			o := onlyEffect[router.SendOffer](f)
			require.True(t, o.AttachOnly)
			require.Equal(t, fleet.RequestID("earlier"), o.AnswerOf)
			f.apply(router.OfferRefused{ID: "q", ExchangeID: o.ExchangeID, Refusal: fleet.Refusal{Code: fleet.CodeTombstoned, NotRun: fleet.NotRunTrue}})
			require.Equal(t, test.wantRetried, hasEffect[router.WriteClaim](f.effects))
			require.Equal(t, !test.wantRetried, hasEffect[router.RefuseCall](f.effects))
		})
	}
}

// TestKeyOfAnotherBody checks that an idempotency key is refused for a request whose
// body differs from that of the first one.
func TestKeyOfAnotherBody(t *testing.T) {
	f := newFixture(t)
	f.arrive(func(c *router.Call) { c.ClaimKey, c.BodyHash = "k", "body" })
	existing := onlyEffect[router.WriteClaim](f).Claim
	existing.Request, existing.BodyHash = "earlier", "other"
	f.apply(router.ClaimResolved{ID: "q", Result: router.ClaimExists, Claim: existing})
	require.Equal(t, fleet.CodeIdempotencyKeyReused, onlyEffect[router.RefuseCall](f).Refusal.Code)
}

// TestPlacementsFromReports checks that a router chooses endpoints from the agents'
// reports until it has read the placements, and not after that.
func TestPlacementsFromReports(t *testing.T) {
	f := newFixture(t)
	reportOfB := router.LoadReported{Endpoint: "b", Load: router.Load{
		Sequence: 2, Instance: 7, Models: []router.ModelLoad{{Model: "m2", Stage: "cold"}, {Model: "m3", Stage: "unloading"}},
	}}
	arriveFor := func(m fleet.ModelID) { f.arrive(func(c *router.Call) { c.Target.Model = m }) }

	f.apply(reportOfB)
	arriveFor("m2")
	require.Equal(t, fleet.CodeNoCapacity, onlyEffect[router.RefuseCall](f).Refusal.Code, "the placements have been read")

	f.state = router.New(router.Options{Process: "r", HostLag: time.Second, MaxRunning: 8})
	f.apply(router.ConfigAccepted{Config: &record.Config{Revision: 1}})
	f.apply(router.HostsListed{List: fleet.HostList{AsOf: f.now, Hosts: []fleet.Host{
		{ID: "b", Role: fleet.HostRoleEndpoint, Endpoint: "b", State: fleet.HostLive},
	}}})
	arriveFor("m2")
	require.Equal(t, fleet.CodeStarting, onlyEffect[router.RefuseCall](f).Refusal.Code)
	f.apply(reportOfB)
	arriveFor("m3")
	require.Equal(t, fleet.CodeStarting, onlyEffect[router.RefuseCall](f).Refusal.Code)
	arriveFor("m2")
	require.Equal(t, fleet.EndpointID("b"), onlyEffect[router.SendOffer](f).Endpoint)
}

// TestSlowAcks checks that an idempotent call waits at the last endpoint until close
// to its deadline when all endpoints acknowledge too late.
func TestSlowAcks(t *testing.T) {
	f := newFixture(t)
	deadline := f.now.Add(callTimeout)
	f.arrive(unchanged)
	var o router.SendOffer
	// The first endpoint does not answer a tombstone request either.
	withdrawnFrom := func(id fleet.EndpointID) bool {
		return hasEffect[router.RequestTombstone](f.effects) && onlyEffect[router.RequestTombstone](f).Endpoint == id
	}
	for f.now.Before(deadline) && !hasEffect[router.RefuseCall](f.effects) && !withdrawnFrom("b") {
		if hasEffect[router.SendOffer](f.effects) {
			o = onlyEffect[router.SendOffer](f)
			f.markSent(o)
		}
		f.advance(callTimeout)
	}
	require.False(t, f.now.Before(deadline.Add(-100*time.Millisecond)), "given up at %v", deadline.Sub(f.now))
	require.Equal(t, fleet.EndpointID("b"), o.Endpoint)
}
