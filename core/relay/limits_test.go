package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// newLimitedRouter returns a router whose endpoint e1, with an agent, names a limit of perSecond.
// The other entries are listed beside it and hold the same model.
func newLimitedRouter(t *testing.T, perSecond float64, others ...string) *testRouter {
	t.Helper()
	entries := []EndpointEntry{testEntry("e1", llm)}
	for _, instance := range others {
		entries = append(entries, testEntry(instance, llm))
	}
	router := newTestRouter(t, entries...)
	router.report("e1", withModels("a"))
	id := router.arrive(patientRoute(), modelA)
	require.Equal(t, "e1", onlyEffect[Send](router).Instance)
	router.nameLimit(id, 1, perSecond)
	router.apply(AnswerStarted{ID: id})
	router.endAttempt(id, Done)
	for _, instance := range others {
		router.report(instance, withModels("a"))
	}
	return router
}

func (router *testRouter) nameLimit(id RequestID, try int, perSecond float64) {
	router.apply(LimitObserved{ID: id, Try: try, Limit: RateLimit{Named: true, PerSecond: perSecond}})
}

func (router *testRouter) grant(ask AskPermit, in time.Duration) {
	at := router.now.Add(in)
	router.apply(PermitAnswered{ID: ask.ID, Number: ask.Number, Result: PermitGranted, StartAt: at, ExpiresAt: at.Add(300 * time.Millisecond)})
}

func (router *testRouter) deny(ask AskPermit, in time.Duration) {
	router.apply(PermitAnswered{ID: ask.ID, Number: ask.Number, Result: PermitDenied, StartAt: router.now.Add(in)})
}

// A request to a limited endpoint is sent only with a permit, at the time for which it is valid.
func TestLimitedEndpointGetsRequestsWithPermits(t *testing.T) {
	router := newLimitedRouter(t, 1)
	router.arrive(patientRoute(), modelA)
	assert.Empty(t, effectsOf[Send](router))
	ask := onlyEffect[AskPermit](router)
	assert.Equal(t, "e1", ask.Granter)
	assert.InEpsilon(t, 1.0, ask.Ask.PerSecond, 1e-9)
	router.grant(ask, 200*time.Millisecond)
	assert.Empty(t, effectsOf[Send](router))
	router.advance(200 * time.Millisecond)
	send := onlyEffect[Send](router)
	assert.True(t, send.Limited)
	assert.InEpsilon(t, 1.0, send.Basis.Limit, 1e-9)
}

// A router that was held up does not use a permit that has run out meanwhile.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	router := newLimitedRouter(t, 1)
	router.arrive(patientRoute(), modelA)
	router.grant(onlyEffect[AskPermit](router), 100*time.Millisecond)
	router.advance(2 * time.Second)
	assert.Empty(t, effectsOf[Send](router))
	assert.Len(t, effectsOf[AskPermit](router), 1, "it asks again")
}

// An answer to an ask that the router has given up is ignored.
func TestLateGrantIsNotUsed(t *testing.T) {
	router := newLimitedRouter(t, 1)
	router.arrive(patientRoute(), modelA)
	late := onlyEffect[AskPermit](router)
	router.advance(400 * time.Millisecond)
	onlyEffect[AskPermit](router)
	router.grant(late, 0)
	assert.Empty(t, effectsOf[Send](router))
}

func TestAnotherEndpointServesWhatTheLimitLeaves(t *testing.T) {
	router := newLimitedRouter(t, 1, "e2")
	busy := router.state.endpoint("e2")
	busy.failureRate = 0.1
	router.arrive(patientRoute(), modelA)
	ask := onlyEffect[AskPermit](router)
	assert.Equal(t, router.now, ask.Ask.Latest, "it does not wait for a permit while e2 can serve it")
	router.deny(ask, time.Second)
	assert.Equal(t, "e2", onlyEffect[Send](router).Instance)
	router.arrive(patientRoute(), modelA)
	assert.Equal(t, "e2", onlyEffect[Send](router).Instance, "no second ask before the next permit")
}

// A request that the limit lets in too late is refused at once, with the time of the next permit,
// if no other endpoint can load its model in time.
func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		permitIn time.Duration
		want     Reason
	}{
		"in time":  {time.Second, ""},
		"too late": {5 * time.Second, RateLimited},
	} {
		t.Run(name, func(t *testing.T) {
			router := newLimitedRouter(t, 1)
			router.arrive(streamRoute(), modelA)
			router.deny(onlyEffect[AskPermit](router), c.permitIn)
			if c.want == "" {
				assert.Empty(t, effectsOf[Refuse](router))
				return
			}
			refused := onlyEffect[Refuse](router)
			assert.Equal(t, c.want, refused.Reason)
			assert.Equal(t, router.now.Add(c.permitIn), refused.RetryAt)
		})
	}
}

func TestAnotherReplicaIsLoadedBesideLimitedOnes(t *testing.T) {
	router := newLimitedRouter(t, 0.3, "e2")
	router.report("e2", withModels("b"))
	router.arrive(patientRoute(), modelA)
	router.deny(onlyEffect[AskPermit](router), 30*time.Second)
	demands := effectsOf[SendDemand](router)
	require.NotEmpty(t, demands)
	assert.Equal(t, "e2", demands[0].Instance)
	assert.Empty(t, effectsOf[Refuse](router), "it waits for the load")
}

// An adapter that only a limited endpoint has is loaded at another holder of its model.
func TestAdapterIsLoadedBesideLimitedHolder(t *testing.T) {
	router := newLimitedRouter(t, 1, "e2")
	adapter := stock.Item{Model: "a", Adapter: "x"}
	router.report("e1", func(r *stock.Report) { r.Models = []stock.LoadedModel{{Model: "a", Adapters: []string{"x"}}} })
	router.arrive(patientRoute(), adapter)
	router.deny(onlyEffect[AskPermit](router), time.Second)
	demand := onlyEffect[SendDemand](router)
	assert.Equal(t, "e2", demand.Instance)
	require.Len(t, demand.Demand.Wants, 1)
	assert.Equal(t, adapter, demand.Demand.Wants[0].Item)
}

// Answers may overtake each other: only one to a request that was sent after the limit was seen
// can end or raise it.
func TestLimitEndsWithLaterAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		sentBefore bool
		limit      RateLimit
		want       float64
	}{
		"ended":                         {false, RateLimit{}, 0},
		"ended, request sent earlier":   {true, RateLimit{}, 2},
		"raised":                        {false, RateLimit{true, 5}, 5},
		"raised, request sent earlier":  {true, RateLimit{true, 5}, 2},
		"lowered, request sent earlier": {true, RateLimit{true, 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", plain))
			early := router.arrive(plainRoute(route.Safe), stock.Item{})
			naming := router.arrive(plainRoute(route.Safe), stock.Item{})
			router.advance(10 * time.Millisecond)
			router.nameLimit(naming, 1, 2)
			router.advance(10 * time.Millisecond)
			id := early
			if !c.sentBefore {
				limit := router.state.endpoint("e1").limit
				router.state.endpoint("e1").limit = stock.EndpointLimit{}
				id = router.arrive(plainRoute(route.Safe), stock.Item{})
				router.state.endpoint("e1").limit = limit
			}
			require.NotNil(t, router.state.requests[id].target)
			router.advance(10 * time.Millisecond)
			router.apply(LimitObserved{ID: id, Try: 1, Limit: c.limit})
			l := router.state.endpoint("e1").limit
			assert.Equal(t, c.want > 0, l.InForce())
			if c.want > 0 {
				assert.InEpsilon(t, c.want, l.PerSecond, 1e-9)
			}
		})
	}
}

// A limit that an agent tells binds a router as one in an answer does, and so does its end.
func TestLimitIsLearntFromAgents(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.advance(time.Second)
	limit := stock.EndpointLimit{Instance: "e1", PerSecond: 1, SentAt: router.now.Add(-50 * time.Millisecond), SeenAt: router.now}
	router.report("e1", func(r *stock.Report) { withModels("a")(r); r.Limits = []stock.EndpointLimit{limit} })
	router.arrive(patientRoute(), modelA)
	assert.Len(t, effectsOf[AskPermit](router), 1)
	router.advance(100 * time.Millisecond)
	limit.Ended, limit.SentAt, limit.SeenAt = true, router.now.Add(-50*time.Millisecond), router.now
	router.report("e1", func(r *stock.Report) { withModels("a")(r); r.Limits = []stock.EndpointLimit{limit} })
	assert.Len(t, effectsOf[Send](router), 1, "what waits is sent when the limit has ended")
}

// The limit was that of the earlier incarnation. An agent that still tells it is not believed.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	router := newLimitedRouter(t, 1)
	stale := router.state.endpoint("e1").limit
	entry := testEntry("e1", llm)
	entry.Born = 1
	router.listEndpoints(entry)
	router.advance(time.Second)
	entry.Born = 2
	router.listEndpoints(entry)
	assert.False(t, router.state.endpoint("e1").limit.InForce())
	router.report("e1", func(r *stock.Report) { withModels("a")(r); r.Limits = []stock.EndpointLimit{stale} })
	assert.False(t, router.state.endpoint("e1").limit.InForce())
	router.arrive(patientRoute(), modelA)
	assert.Len(t, effectsOf[Send](router), 1)
}

// A permit for an earlier incarnation is not used for the next one's address.
func TestPermitEndsWithTheIncarnation(t *testing.T) {
	router := newLimitedRouter(t, 1)
	entry := testEntry("e1", llm)
	entry.Born = 1
	router.listEndpoints(entry)
	router.arrive(patientRoute(), modelA)
	router.grant(onlyEffect[AskPermit](router), 100*time.Millisecond)
	entry.Born = 2
	router.listEndpoints(entry)
	router.advance(150 * time.Millisecond)
	for _, send := range effectsOf[Send](router) {
		assert.False(t, send.Limited)
	}
}

// Without a granter, the router keeps to a part of the limit by itself, spread over time.
func TestRouterWithoutGranterKeepsToItsShare(t *testing.T) {
	router := newTestRouter(t, testEntry("p1", plain))
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	router.nameLimit(id, 1, 8)
	sent := 0
	for range 400 {
		router.arrive(plainRoute(route.Safe), stock.Item{})
		sent += len(effectsOf[Send](router))
		router.advance(10 * time.Millisecond)
		sent += len(effectsOf[Send](router))
	}
	assert.LessOrEqual(t, sent, 2, "a third of an equal share among %d routers", initialRouters)
	assert.Positive(t, sent)
}

// A granter that does not answer is replaced by the next one, and asked again later.
func TestSilentGranterIsReplaced(t *testing.T) {
	router := newTestRouter(t, testEntry("p1", plain), testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", withModels("a"))
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	router.nameLimit(id, 1, 1)
	router.arrive(plainRoute(route.Safe), stock.Item{})
	first := onlyEffect[AskPermit](router)
	router.apply(PermitAnswered{ID: first.ID, Number: first.Number, Result: PermitUnanswered})
	second := onlyEffect[AskPermit](router)
	assert.NotEqual(t, first.Granter, second.Granter)
	assert.False(t, first.Ask.Fallback)
	assert.True(t, second.Ask.Fallback)
	router.deny(second, 0)
	router.advance(2 * time.Second)
	router.arrive(plainRoute(route.Safe), stock.Item{})
	asks := effectsOf[AskPermit](router)
	require.NotEmpty(t, asks)
	assert.Equal(t, first.Granter, asks[len(asks)-1].Granter)
}

// In a fleet in which routers follow part of the agents, all routers follow those that grant
// permits for a limited endpoint, and ask the same one.
func TestRoutersOfLargeFleetAskTheSameGranter(t *testing.T) {
	entries := []EndpointEntry{testEntry("p1", plain)}
	for n := range followAllLimit + 50 {
		entries = append(entries, testEntry(fmt.Sprintf("e%03d", n), llm))
	}
	granters := make(map[string]int)
	for n := range 5 {
		router := newTestRouter(t)
		router.state.cfg.Process = fmt.Sprint("router-", n)
		router.listEndpoints(entries...)
		id := router.arrive(plainRoute(route.Safe), stock.Item{})
		router.nameLimit(id, 1, 1)
		followed := onlyEffect[FollowAgents](router)
		for _, e := range followed.List {
			router.report(e.Instance, withModels("a"))
		}
		router.arrive(plainRoute(route.Safe), stock.Item{})
		granters[onlyEffect[AskPermit](router).Granter]++
	}
	assert.Len(t, granters, 1)
}
