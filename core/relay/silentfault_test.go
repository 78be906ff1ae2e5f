package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Guards against an endpoint that never answers and keeps getting new streams, because callers that leave
// a silent attempt count as successes of it.
func TestEndpointWhoseCallersLeaveInSilenceIsAvoided(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	const streams = 60
	mute := 0
	for range streams {
		id := router.arrive(streamRoute(), stock.Item{})
		if onlyEffect[Send](router).Instance == "e2" {
			router.apply(AnswerStarted{ID: id})
			router.advance(100 * time.Millisecond)
			router.endAttempt(id, Done)
			continue
		}
		mute++
		router.advance(time.Second)
		router.silence(id)
		router.apply(PortChecked{Instance: "e1"})
		router.advance(3 * time.Second)
		require.Empty(t, effectsOf[AbortAttempt](router))
		router.endAttempt(id, Abandoned)
	}
	assert.Less(t, mute, streams/3, "streams sent to the endpoint that never answers")
}

// Guards against silent attempts that are aborted together although the budget allows fewer retries: the
// others fail, while their endpoint works on them.
func TestSilentAttemptsAreAbortedWithinTheRetryBudget(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	cfg := router.state.cfg
	cfg.RetryRatio, cfg.RetryExtra = 0, 1.5/budgetShare*float64(router.state.retryBudget.routerCount)
	router.apply(SettingsChanged{Settings: cfg})
	ids := make([]RequestID, 0, 8)
	var answered []RequestID
	for range 16 {
		id := router.arrive(plainRoute(route.Safe), stock.Item{})
		if onlyEffect[Send](router).Instance == "e1" {
			ids = append(ids, id)
		} else {
			answered = append(answered, id)
		}
	}
	require.Len(t, ids, 8)
	router.advance(400 * time.Millisecond)
	for _, id := range answered {
		router.endAttempt(id, Done)
	}
	router.advance(400 * time.Millisecond)
	var aborted []RequestID
	for _, id := range ids {
		router.silence(id)
		for _, a := range effectsOf[AbortAttempt](router) {
			aborted = append(aborted, a.ID)
		}
	}
	failed := 0
	for _, id := range aborted {
		router.endAttempt(id, Broken)
		failed += len(effectsOf[Fail](router))
	}
	require.NotEmpty(t, aborted)
	assert.Zero(t, failed, "of %d that were aborted", len(aborted))
}

// Guards against silent attempts that are aborted while a router stops, although only some find a free
// slot elsewhere: the others fail, while their endpoint works on them.
func TestSilentAttemptsAreNotAbortedForAStopToFailThem(t *testing.T) {
	other := testEntry("e2", plain)
	other.Slots = 5
	first := testEntry("e1", plain)
	first.Slots = 4
	router := newTestRouter(t, first, other)
	ids := make([]RequestID, 0, 8)
	at := make(map[RequestID]string)
	for range 8 {
		id := router.arrive(plainRoute(route.Safe), stock.Item{})
		ids = append(ids, id)
		at[id] = onlyEffect[Send](router).Instance
	}
	router.apply(ShutdownStarted{DrainAt: router.now.Add(time.Second), By: router.now.Add(1500 * time.Millisecond)})
	router.advance(800 * time.Millisecond)
	var aborted []RequestID
	for _, id := range ids {
		if at[id] != "e1" {
			continue
		}
		router.silence(id)
		for _, a := range effectsOf[AbortAttempt](router) {
			aborted = append(aborted, a.ID)
		}
	}
	assert.Empty(t, aborted)
}

// Guards against a request that goes on elsewhere while the run that was given up may go on, because the
// endpoint's entry is missing. Endpoints serve for a while after their entry is removed.
func TestStuckRunMustEndThoughItsEndpointIsNoLongerListed(t *testing.T) {
	router := newSilentStream(t)
	wait := router.state.requests[1].callerPauseTimeout()
	router.answerRun(stock.RunListed)
	router.now = time.UnixMilli(1_000_000).Add(wait - wait/5)
	router.answerRun(stock.RunListed)
	router.endAttempt(1, Broken)
	router.listEndpoints(testEntry("e2", llm))
	assert.Empty(t, effectsOf[Send](router), "the run was listed at the last answer")
}

// Guards against a run that is taken for gone by a late answer to a question of an earlier silence.
func TestAnswerToAnEarlierSilenceIsNoEvidence(t *testing.T) {
	router := newSilentStream(t)
	router.apply(AttemptResumed{ID: 1, Number: 1})
	router.apply(AttemptSilent{ID: 1, Try: 1, Number: 2, Since: router.now})
	// The answer to the question of the first silence, then that to the question of the second.
	router.apply(RunAnswered{ID: 1, Instance: "e1", State: stock.RunGone})
	router.apply(RunAnswered{ID: 1, Instance: "e1", State: stock.RunGone})
	assert.Empty(t, effectsOf[AbortAttempt](router))
}

// Guards against a herd of retries when all endpoints of a service fall silent together: nobody is at fault.
func TestSafeRequestsAreNotAbortedWhileAllEndpointsAreSilent(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	var ids []RequestID
	for range 20 {
		ids = append(ids, router.arrive(plainRoute(route.Safe), stock.Item{}))
	}
	router.advance(800 * time.Millisecond)
	aborted := 0
	for _, id := range ids {
		router.silence(id)
		aborted += len(effectsOf[AbortAttempt](router))
	}
	assert.Zero(t, aborted, "of %d", len(ids))
}

// Guards against an endpoint that is never used, because the router read an entry of another writer before
// the endpoint's own.
func TestOwnEntryIsBelievedAfterAnOddOneThatWasReadFirst(t *testing.T) {
	odd, own := testEntry("e1", plain), testEntry("e1", plain)
	odd.Born, own.Born = 7, 7
	odd.Address = netip.MustParseAddrPort("10.0.0.9:1")
	router := newTestRouter(t, odd)
	for range 60 {
		router.advance(time.Second)
		own.Slots++
		router.listEndpoints(own)
	}
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	sends := effectsOf[Send](router)
	require.Len(t, sends, 1, "request %d", id)
	assert.Equal(t, own.Address, sends[0].Address)
}

// Guards against streams that are cut because an endpoint can't be reached for a moment, while the retry
// budget allows only one of them to go on elsewhere.
func TestStreamsAtAnUnreachableEndpointAreAbortedWithinTheRetryBudget(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", func(r *stock.Report) {
		withModels("a")(r)
		r.Running = 40
	})
	cfg := router.state.cfg
	cfg.RetryRatio, cfg.RetryExtra = 0, 1.5/budgetShare*float64(router.state.retryBudget.routerCount)
	router.apply(SettingsChanged{Settings: cfg})
	var ids []RequestID
	for range 5 {
		id := router.arrive(streamRoute(), modelA)
		require.Equal(t, "e1", onlyEffect[Send](router).Instance)
		router.apply(AnswerStarted{ID: id})
		ids = append(ids, id)
	}
	router.advance(time.Second)
	for _, id := range ids {
		router.silence(id)
	}
	router.advance(100 * time.Millisecond)
	router.report("e2", withModels("a"))
	for _, id := range ids {
		router.apply(RunAnswered{ID: id, Instance: "e1", State: stock.RunUnanswered})
	}
	router.apply(PortChecked{Instance: "e1", Unreachable: true})
	aborted := effectsOf[AbortAttempt](router)
	require.NotEmpty(t, aborted)
	failed := 0
	for _, a := range aborted {
		router.apply(AttemptEnded{ID: a.ID, Result: Broken, LastEvent: 3, Answering: true})
		failed += len(effectsOf[Fail](router))
	}
	assert.Zero(t, failed, "of %d that were aborted", len(aborted))
}

// Guards against a run that is given up half a second after it was sent, because the request had waited
// before: a prompt may take that long.
func TestRunOfARequestThatHasWaitedHasTimeForItsFirstEvent(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm), testEntry("e3", llm))
	for _, instance := range []string{"e1", "e2", "e3"} {
		router.report(instance, withModels("a"))
	}
	id := router.arrive(streamRoute(), modelA)
	router.advance(2600 * time.Millisecond)
	router.endAttempt(id, Shed)
	send := onlyEffect[Send](router)
	router.advance(send.FirstBy.Sub(router.now))
	router.silence(id)
	router.apply(RunAnswered{ID: id, Instance: send.Instance, State: stock.RunListed})
	assert.Empty(t, effectsOf[AbortAttempt](router), "%s after the start of the attempt", send.FirstBy.Sub(router.now.Add(-500*time.Millisecond)))
}

// Guards against a run that is given up because it pauses for a second and a half, while the endpoint
// answers and works on it.
func TestPauseOfARunDoesNotEndItsAttempt(t *testing.T) {
	rt := streamRoute()
	rt.Objective, rt.MaxGap = 400*time.Millisecond, 100*time.Millisecond
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", withModels("a"))
	id := router.arrive(rt, modelA)
	send := onlyEffect[Send](router)
	router.apply(AnswerStarted{ID: id})
	since := router.now
	router.advance(send.MaxGap)
	router.apply(AttemptSilent{ID: id, Try: 1, Number: 1, Since: since})
	for router.now.Before(since.Add(1900 * time.Millisecond)) {
		if len(effectsOf[AskRun](router)) > 0 {
			router.apply(RunAnswered{ID: id, Instance: send.Instance, State: stock.RunListed})
		}
		require.Empty(t, effectsOf[AbortAttempt](router), "after %s", router.now.Sub(since))
		router.advance(50 * time.Millisecond)
	}
}

// Guards against accepted requests that are aborted because another writer has left an odd entry of a live
// endpoint: one of an older or a much later incarnation.
func TestOddIncarnationInAnEntryAbortsNothing(t *testing.T) {
	for name, born := range map[string]int64{"older": 3, "later": 253_402_300_799_999} {
		t.Run(name, func(t *testing.T) {
			own := testEntry("e1", plain)
			own.Born = 1_000_000
			router := newTestRouter(t, own)
			id := router.arrive(plainRoute(route.Unsafe), stock.Item{})
			require.Equal(t, "e1", onlyEffect[Send](router).Instance, "request %d", id)
			odd := own
			odd.Born = born
			odd.Address = netip.MustParseAddrPort("10.0.0.9:1")
			router.listEndpoints(odd)
			assert.Empty(t, effectsOf[AbortAttempt](router))
		})
	}
}
