package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

var modelA = stock.Item{Model: "a"}

func TestPlainRequestStaysInItsFailureDomain(t *testing.T) {
	far := testMember("far", plain)
	far.FailureDomain = "there"
	w := newTestRouter(t, far, testMember("near", plain))
	w.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Equal(t, "near", onlyEffect[Send](w).Instance)
}

func TestNoSecondRun(t *testing.T) {
	for name, c := range map[string]struct {
		route  *route.Route
		result Result
		again  bool
	}{
		"unsafe, broken":          {plainRoute(route.Unsafe), Broken, false},
		"unsafe, failed":          {plainRoute(route.Unsafe), Failed, false},
		"unsafe, shed":            {plainRoute(route.Unsafe), Shed, true},
		"unsafe, replaced":        {plainRoute(route.Unsafe), Replaced, true},
		"unsafe, unsent":          {plainRoute(route.Unsafe), Unsent, true},
		"safe, broken":            {plainRoute(route.Safe), Broken, true},
		"safe, failed":            {plainRoute(route.Safe), Failed, true},
		"stream not to be resume": {&route.Route{Kind: route.Stream, Timeout: time.Second, MaxAttempts: 2}, Broken, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain))
			id := w.arrive(c.route, stock.Item{})
			first := onlyEffect[Send](w)
			w.ended(id, c.result)
			if !c.again {
				assert.Empty(t, effectsOf[Send](w))
				assert.Empty(t, effectsOf[Refuse](w), "a refusal would say that it has not run")
				return
			}
			assert.NotEqual(t, first.Instance, onlyEffect[Send](w).Instance)
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain), testMember("e3", plain))
	id := w.arrive(plainRoute(route.Safe), stock.Item{})
	w.ended(id, Broken)
	onlyEffect[Send](w)
	w.ended(id, Broken)
	assert.Equal(t, AttemptsFailed, onlyEffect[Fail](w).Reason)
}

func TestOwnFailureOfEndpointIsDelivered(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain))
	id := w.arrive(plainRoute(route.Unsafe), stock.Item{})
	w.ended(id, Failed)
	assert.Equal(t, id, onlyEffect[DeliverFailure](w).ID)
}

func TestRefusedAtOnceWithoutEndpoint(t *testing.T) {
	leaving := testMember("e1", plain)
	leaving.Leaving = true
	w := newTestRouter(t, leaving)
	w.arrive(plainRoute(route.Unsafe), stock.Item{})
	refused := onlyEffect[Refuse](w)
	assert.Equal(t, NoEndpoint, refused.Reason)
	assert.True(t, refused.RetryAt.After(w.now))
}

func TestUnknownModelIsRefused(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("a"))
	w.arrive(streamRoute(), stock.Item{Model: "none"})
	assert.Equal(t, UnknownModel, onlyEffect[Refuse](w).Reason)
}

func TestRequestsForColdModelShareOneLoad(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("b"))
	w.report("e2", withModels("c"))
	w.arrive(streamRoute(), modelA)
	asked := onlyEffect[SendDemand](w)
	require.Len(t, asked.Demand.Wants, 1)
	assert.Equal(t, modelA, asked.Demand.Wants[0].Item)
	w.arrive(streamRoute(), modelA)
	assert.Empty(t, effectsOf[Send](w))
	for _, a := range effectsOf[SendDemand](w) {
		assert.Equal(t, asked.Instance, a.Instance, "a second endpoint loads the same model")
	}
	w.report(asked.Instance, func(r *stock.Report) { withModels("a", "b")(r); r.Routers = 2 })
	assert.Len(t, effectsOf[Send](w), 1, "the second prompt waits until the first has been read")
	w.apply(AnswerStarted{ID: 1})
	assert.Len(t, effectsOf[Send](w), 1)
}

func TestLoadThatComesTooLateIsRefusedAtOnce(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("b"))
	rt := streamRoute()
	rt.Timeout = time.Second
	w.arrive(rt, modelA)
	refused := onlyEffect[Refuse](w)
	assert.Equal(t, TooLate, refused.Reason)
	assert.WithinDuration(t, w.now.Add(2*time.Second), refused.RetryAt, 100*time.Millisecond)
}

func TestAgentThatDoesNotLoadIsReplaced(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("b"))
	w.report("e2", withModels("c"))
	w.arrive(streamRoute(), modelA)
	first := onlyEffect[SendDemand](w).Instance
	w.advance(loadAckTimeout + time.Millisecond)
	asks := lo.Filter(effectsOf[SendDemand](w), func(a SendDemand, _ int) bool { return len(a.Demand.Wants) > 0 })
	require.Len(t, asks, 1)
	assert.NotEqual(t, first, asks[0].Instance)
}

func TestOverdueLoadIsAskedForElsewhere(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("b"))
	w.report("e2", withModels("c"))
	w.arrive(streamRoute(), modelA)
	first := onlyEffect[SendDemand](w).Instance
	readyAt := w.now.Add(time.Second)
	for w.now.Before(readyAt.Add(overdueTolerance + 100*time.Millisecond)) {
		w.report(first, func(r *stock.Report) {
			withModels("b")(r)
			r.Loads = []stock.Load{{Item: modelA, ReadyAt: readyAt}}
		})
		for _, a := range effectsOf[SendDemand](w) {
			if len(a.Demand.Wants) > 0 && a.Instance != first {
				assert.True(t, w.now.After(readyAt))
				return
			}
		}
		w.advance(50 * time.Millisecond)
		for _, a := range effectsOf[SendDemand](w) {
			if len(a.Demand.Wants) > 0 && a.Instance != first {
				assert.True(t, w.now.After(readyAt))
				return
			}
		}
	}
	t.Fatal("the load was never asked for elsewhere")
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("a"))
	w.report("e2", withModels("a"))
	w.report("e1", func(r *stock.Report) { withModels("a")(r); r.Leaving = true })
	for range 4 {
		id := w.arrive(streamRoute(), modelA)
		assert.Equal(t, "e2", onlyEffect[Send](w).Instance)
		w.apply(AnswerStarted{ID: id})
	}
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("a"))
	w.report("e2", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	first := onlyEffect[Send](w)
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 12, Version: 3, Answering: true})
	next := onlyEffect[Send](w)
	assert.NotEqual(t, first.Instance, next.Instance)
	assert.Equal(t, int64(12), next.LastEvent)
	assert.Equal(t, int64(3), next.Version)
}

// The only endpoint that holds a model falls silent: the stream goes on where the
// model is loaded next, not at the silent endpoint again.
func TestModelOfSilentEndpointIsLoadedElsewhere(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("a"))
	w.report("e2", withModels("b"))
	id := w.arrive(streamRoute(), modelA)
	require.Equal(t, "e1", onlyEffect[Send](w).Instance)
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 4, Answering: true})
	assert.Empty(t, effectsOf[Send](w))
	asked := onlyEffect[SendDemand](w)
	assert.Equal(t, "e2", asked.Instance)
	require.Len(t, asked.Demand.Wants, 1)
	w.report("e2", withModels("a", "b"))
	assert.Equal(t, "e2", onlyEffect[Send](w).Instance)
}

// The store is away when an endpoint starts again: only its agent tells.
func TestEndpointThatStartedAgainIsKnownByItsAgent(t *testing.T) {
	w := newTestRouter(t, testMember("old", llm))
	w.report("old", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	require.Equal(t, "old", onlyEffect[Send](w).Instance)
	w.apply(InstanceChanged{From: "old", Report: stock.Report{Instance: "new", KVTotal: 130_000, Routers: 1, Copies: stock.Copies{Disk: []string{"a"}}}})
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 4, Answering: true})
	asked := onlyEffect[SendDemand](w)
	assert.Equal(t, "new", asked.Instance)
	w.report("new", withModels("a"))
	assert.Equal(t, "new", onlyEffect[Send](w).Instance)
	w.setMembers(testMember("new", llm))
	w.arrive(streamRoute(), modelA)
	assert.Empty(t, effectsOf[Refuse](w))
}

// An endpoint that starts again under its name holds nothing of before, and has
// none of the requests of before.
func TestEndpointThatIsBornAgainIsNew(t *testing.T) {
	first := testMember("e1", llm)
	first.Born = 1000
	w := newTestRouter(t, first)
	w.report("e1", withModels("a"))
	w.arrive(streamRoute(), modelA)
	onlyEffect[Send](w)
	again := first
	again.Born = 2000
	w.setMembers(again)
	e := w.s.endpoint("e1")
	assert.Zero(t, e.running)
	assert.Zero(t, e.prefillTokens)
	assert.Empty(t, w.s.candidates(llm, "a"))
	w.report("e1", nil)
	w.arrive(streamRoute(), modelA)
	assert.Empty(t, effectsOf[Send](w))
	assert.NotEmpty(t, effectsOf[SendDemand](w))
	// The end of the attempt at the incarnation before changes nothing.
	w.apply(AttemptEnded{ID: 1, Result: Abandoned})
	assert.Zero(t, w.s.endpoint("e1").running)
}

func TestOnlyEndpointIsTriedAgainAfterAPause(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 4, Answering: true})
	assert.Empty(t, effectsOf[Send](w))
	w.advance(avoidedRetryDelay)
	assert.Equal(t, "e1", onlyEffect[Send](w).Instance)
}

func TestBrokenAnswerIsNeverRefused(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	w.setMembers()
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
	assert.Empty(t, effectsOf[Refuse](w))
	onlyEffect[Fail](w)
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain))
	w.s.retryBudget.routers = 1
	repeats := 0
	const requests = 200
	for range requests {
		id := w.arrive(plainRoute(route.Safe), stock.Item{})
		w.ended(id, Broken)
		if len(effectsOf[Send](w)) > 0 {
			repeats++
			w.ended(id, Broken)
		}
	}
	most := float64(requests)*0.2 + 50
	assert.LessOrEqual(t, float64(repeats), most)
	assert.Positive(t, repeats)
}

func TestSurgeAddsCopies(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm), testMember("e3", llm), testMember("e4", llm))
	w.report("e1", withModels("a"))
	for _, id := range []string{"e2", "e3", "e4"} {
		w.report(id, withModels("b"))
	}
	asked := make(map[string]bool)
	note := func() {
		for _, a := range effectsOf[SendDemand](w) {
			if len(a.Demand.Wants) > 0 {
				asked[a.Instance] = true
				assert.Zero(t, a.Demand.Wants[0].Waiting)
				assert.Positive(t, a.Demand.Wants[0].Rate)
			}
		}
	}
	for range 40 {
		id := w.arrive(streamRoute(), modelA)
		note()
		w.apply(AnswerStarted{ID: id})
		w.advance(100 * time.Millisecond)
		note()
		w.ended(id, Done)
	}
	assert.Len(t, asked, 3, "10 prompts a second of 1400 tokens keep several endpoints busy")
}

func TestUnreachableEndpointIsLeftOut(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain))
	id := w.arrive(plainRoute(route.Unsafe), stock.Item{})
	first := onlyEffect[Send](w).Instance
	w.ended(id, Unsent)
	w.ended(id, Done)
	for range 3 {
		id = w.arrive(plainRoute(route.Unsafe), stock.Item{})
		assert.NotEqual(t, first, onlyEffect[Send](w).Instance)
		w.ended(id, Done)
	}
}

// After a loss of power the list still names the endpoints of before: requests
// sent to them use up the budget for repeats.
func TestUnconfirmedEndpointGetsNothingAtFirst(t *testing.T) {
	dead := testMember("dead", llm)
	dead.Stock = stock.Report{Instance: "dead", Models: []stock.Held{{Model: "a"}}}
	w := newTestRouter(t, dead, testMember("live", llm))
	w.report("live", withModels("b"))
	w.arrive(streamRoute(), modelA)
	assert.Empty(t, effectsOf[Send](w))
	w.advance(confirmTimeout)
	assert.Equal(t, "dead", onlyEffect[Send](w).Instance, "an endpoint may be without an agent")
}

func TestDeadlineEndsWaiting(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("b"))
	w.arrive(patientRoute(), modelA)
	w.report("e1", func(r *stock.Report) {
		withModels("b")(r)
		r.Loads = []stock.Load{{Item: modelA, ReadyAt: w.now.Add(14 * time.Second)}}
	})
	w.advance(15 * time.Second)
	assert.Equal(t, DeadlineExceeded, onlyEffect[Refuse](w).Reason)
	assert.Empty(t, w.s.requests)
	assert.Empty(t, w.s.pendingLoads)
}

func TestCallerThatLeavesIsForgotten(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("a", "b"))
	running := w.arrive(streamRoute(), modelA)
	waiting := w.arrive(streamRoute(), stock.Item{Model: "c"})
	w.apply(CallerGone{ID: running})
	w.apply(CallerGone{ID: waiting})
	assert.Empty(t, w.s.requests)
	assert.Empty(t, w.s.waiting)
	assert.Empty(t, w.s.pendingLoads)
	e := w.s.endpoint("e1")
	assert.Zero(t, e.running)
	assert.Zero(t, e.prefillTokens)
	assert.Empty(t, e.modelAttempts)
}

// A model that every request is too impatient for is loaded for those to come: on
// a played day 705 requests for one model were refused within 42 s, as none could
// wait for the weight store and so none asked for the load.
func TestModelThatNobodyCanWaitForIsLoaded(t *testing.T) {
	const load = 9 * time.Second
	for name, c := range map[string]struct {
		every time.Duration
		asked bool
	}{"asked for often": {500 * time.Millisecond, true}, "asked for once": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm))
			w.report("e1", withModels("a"))
			brief := streamRoute()
			brief.Timeout = 5 * time.Second
			var asks []SendDemand
			begun := w.now
			next := w.now
			for w.now.Before(begun.Add(5 * time.Second)) {
				if !w.now.Before(next) {
					w.arrive(brief, stock.Item{Model: "e"})
					assert.Equal(t, TooLate, onlyEffect[Refuse](w).Reason)
					next = w.now.Add(c.every)
				}
				w.advance(100 * time.Millisecond)
				asks = append(asks, effectsOf[SendDemand](w)...)
			}
			asked := lo.ContainsBy(asks, func(a SendDemand) bool {
				return lo.ContainsBy(a.Demand.Wants, func(want stock.Want) bool { return want.Item.Model == "e" && want.Waiting == 0 })
			})
			require.Equal(t, c.asked, asked)
			if !asked {
				return
			}
			// Whoever comes while it is loaded is told when to come back.
			readyAt := w.now.Add(load)
			w.report("e1", func(r *stock.Report) {
				r.Models = []stock.Held{{Model: "a"}}
				r.Loads = []stock.Load{{Item: stock.Item{Model: "e"}, ReadyAt: readyAt}}
			})
			w.arrive(brief, stock.Item{Model: "e"})
			assert.Equal(t, readyAt, onlyEffect[Refuse](w).RetryAt)
			// The wish stands while it is loaded.
			for range 20 {
				w.advance(100 * time.Millisecond)
				for _, a := range effectsOf[SendDemand](w) {
					assert.NotEmpty(t, a.Demand.Wants)
				}
			}
		})
	}
}

// TestGoneEndpointIsNotWaitedFor: when another endpoint has taken the place of one,
// its attempts are broken off, also where they can't be repeated: a host that goes
// dark ends no connection, and callers would wait until they leave.
func TestGoneEndpointIsNotWaitedFor(t *testing.T) {
	again := testMember("new", llm)
	other := testMember("other", llm)
	other.Address = netip.MustParseAddrPort("10.0.0.9:80")
	for name, test := range map[string]struct {
		tell   func(w *testRouter)
		broken bool
	}{
		"its agent reports another": {func(w *testRouter) {
			w.apply(InstanceChanged{From: "old", Report: stock.Report{Instance: "new", KVTotal: 130_000, Routers: 1}})
		}, true},
		"the list has another at its address": {func(w *testRouter) { w.setMembers(again) }, true},
		"it has left the list":                {func(w *testRouter) { w.setMembers(other) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("old", llm))
			w.report("old", withModels("a"))
			rt := streamRoute()
			rt.MaxAttempts = 1
			id := w.arrive(rt, stock.Item{Model: "a"})
			require.Equal(t, "old", onlyEffect[Send](w).Instance)
			test.tell(w)
			if !test.broken {
				require.Empty(t, effectsOf[AbortAttempt](w), "it may go on serving")
				return
			}
			require.Equal(t, AbortAttempt{ID: id, Try: 1}, onlyEffect[AbortAttempt](w))
			w.ended(id, Broken)
			require.Equal(t, Fail{ID: id, Reason: AttemptsFailed}, onlyEffect[Fail](w))
		})
	}
}
