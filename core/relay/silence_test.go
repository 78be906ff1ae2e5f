package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// newSilentStream returns a router whose stream, with the ID 1, has been silent at the endpoint e1 for
// some time. Both endpoints hold its model.
func newSilentStream(t *testing.T) *testRouter {
	t.Helper()
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", func(r *stock.Report) {
		withModels("a")(r)
		r.Running = 5
	})
	id := router.arrive(streamRoute(), modelA)
	require.Equal(t, "e1", onlyEffect[Send](router).Instance)
	router.advance(2 * time.Second)
	router.silence(id)
	require.Equal(t, AskRun{ID: id, Instance: "e1", AttemptID: "r1"}, onlyEffect[AskRun](router))
	require.Empty(t, effectsOf[AbortAttempt](router))
	return router
}

// silence applies the silence of a request's attempt since it was sent.
func (router *testRouter) silence(id RequestID) {
	r := router.state.requests[id]
	router.apply(AttemptSilent{ID: id, Try: r.attemptCount, Number: 1, Since: r.sentAt})
}

// answerRun applies answers on the run of the request with the ID 1, one for each question.
func (router *testRouter) answerRun(states ...stock.RunState) {
	for _, state := range states {
		router.apply(RunAnswered{ID: 1, Instance: "e1", State: state})
		if len(effectsOf[AbortAttempt](router)) > 0 || len(effectsOf[Send](router)) > 0 {
			return
		}
		for n := 0; len(effectsOf[AskRun](router)) == 0 && len(effectsOf[CheckPort](router)) == 0; n++ {
			require.Less(router.t, n, 20, "no question after %s", state)
			router.advance(50 * time.Millisecond)
		}
		if len(effectsOf[CheckPort](router)) > 0 {
			router.apply(PortChecked{Instance: "e1"})
		}
	}
}

// Guards against an answer that ends, or goes on elsewhere, because its endpoint was silent for a while.
func TestSilenceAloneDoesNotEndAnAttempt(t *testing.T) {
	for name, states := range map[string][]stock.RunState{
		"run goes on":               {stock.RunListed},
		"run may wait":              {stock.RunUnlisted, stock.RunUnlisted},
		"runs not listed":           {stock.RunsUnknown},
		"endpoint silent to all":    {stock.EndpointSilent, stock.EndpointSilent},
		"agent silent":              {stock.RunUnanswered},
		"gone, then listed":         {stock.RunGone, stock.RunListed},
		"gone, then silent":         {stock.RunGone, stock.EndpointSilent},
		"unreachable, then listed":  {stock.EndpointUnreachable, stock.RunListed},
		"unreachable, others quiet": {stock.EndpointUnreachable, stock.EndpointUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			router := newSilentStream(t)
			router.answerRun(states...)
			assert.Empty(t, effectsOf[AbortAttempt](router))
			assert.Zero(t, router.state.endpoint("e1").ejectedUntil)
			assert.NotNil(t, router.state.requests[1].target, "the attempt goes on")
		})
	}
}

func TestSilentAttemptWhoseRunIsGoneGoesOnElsewhere(t *testing.T) {
	for name, states := range map[string][]stock.RunState{
		"gone":              {stock.RunGone, stock.RunGone},
		"gone after a wait": {stock.RunUnlisted, stock.RunGone, stock.RunGone},
		"process ended":     {stock.EndpointRefuses},
	} {
		t.Run(name, func(t *testing.T) {
			router := newSilentStream(t)
			router.answerRun(states...)
			require.Equal(t, AbortAttempt{ID: 1, Try: 1, Silence: 1}, onlyEffect[AbortAttempt](router))
			router.endAttempt(1, Broken)
			require.Equal(t, "e2", onlyEffect[Send](router).Instance)
		})
	}
}

// Guards against a retry of all streams of a service whose endpoints fall silent together.
func TestUnreachableEndpointIsGivenUpOnlyWhileOthersAreHeard(t *testing.T) {
	router := newSilentStream(t)
	router.answerRun(stock.EndpointUnreachable, stock.EndpointUnreachable)
	require.Empty(t, effectsOf[AbortAttempt](router))
	router.report("e2", withModels("a"))
	router.answerRun(stock.EndpointUnreachable)
	require.Equal(t, AbortAttempt{ID: 1, Try: 1, Silence: 1}, onlyEffect[AbortAttempt](router))
}

func TestSilentEndpointWithoutAgentIsTriedByTheRouter(t *testing.T) {
	for name, c := range map[string]struct {
		checked   PortChecked
		wantAbort bool
	}{
		"accepts":     {PortChecked{Instance: "e1"}, false},
		"refuses":     {PortChecked{Instance: "e1", Refused: true}, true},
		"unreachable": {PortChecked{Instance: "e1", Unreachable: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			router := newSilentStream(t)
			router.report("e2", withModels("a"))
			router.apply(RunAnswered{ID: 1, Instance: "e1", State: stock.RunUnanswered})
			require.Equal(t, "e1", onlyEffect[CheckPort](router).Instance)
			router.apply(c.checked)
			assert.Len(t, effectsOf[AbortAttempt](router), map[bool]int{true: 1}[c.wantAbort])
		})
	}
}

// Guards against an attempt that is aborted for a silence after which it went on.
func TestEventVoidsSilence(t *testing.T) {
	router := newSilentStream(t)
	router.answerRun(stock.RunGone)
	router.apply(AttemptResumed{ID: 1, Number: 1})
	router.apply(RunAnswered{ID: 1, Instance: "e1", State: stock.RunGone})
	router.advance(time.Second)
	assert.Empty(t, effectsOf[AbortAttempt](router))
	assert.Empty(t, effectsOf[AskRun](router))
}

// Guards against a request that goes on elsewhere while the run that was given up may go on.
func TestStuckRunIsGivenUpBeforeItsCallerLeavesAndMustEndFirst(t *testing.T) {
	for name, c := range map[string]struct {
		after    []stock.RunState
		wantSend bool
	}{
		"still listed":          {[]stock.RunState{stock.RunListed, stock.RunListed}, false},
		"endpoint silent":       {[]stock.RunState{stock.EndpointSilent}, false},
		"no longer listed":      {[]stock.RunState{stock.RunListed, stock.RunGone}, true},
		"among others at first": {[]stock.RunState{stock.RunUnlisted}, true},
		"process ended":         {[]stock.RunState{stock.EndpointRefuses}, true},
	} {
		t.Run(name, func(t *testing.T) {
			router := newSilentStream(t)
			wait := router.state.requests[1].callerPauseTimeout()
			router.answerRun(stock.RunListed)
			require.Empty(t, effectsOf[AbortAttempt](router))
			router.now = time.UnixMilli(1_000_000).Add(wait - wait/5)
			router.answerRun(stock.RunListed)
			require.Equal(t, AbortAttempt{ID: 1, Try: 1, Silence: 1}, onlyEffect[AbortAttempt](router))
			router.endAttempt(1, Broken)
			require.Empty(t, effectsOf[Send](router))
			require.Equal(t, "e1", onlyEffect[AskRun](router).Instance)
			router.answerRun(c.after...)
			assert.Len(t, effectsOf[Send](router), map[bool]int{true: 1}[c.wantSend])
		})
	}
}

func TestCallerLeavesWhileRunMustEnd(t *testing.T) {
	router := newSilentStream(t)
	wait := router.state.requests[1].callerPauseTimeout()
	router.now = time.UnixMilli(1_000_000).Add(wait - wait/5)
	router.answerRun(stock.RunListed)
	router.endAttempt(1, Broken)
	router.apply(CallerDone{ID: 1})
	router.apply(RunAnswered{ID: 1, Instance: "e1", State: stock.RunGone})
	router.advance(time.Second)
	assert.Empty(t, effectsOf[Send](router))
	assert.Empty(t, effectsOf[AskRun](router))
	assert.Empty(t, router.state.checked)
}

// Guards against a request that is failed for silence because no retry is allowed any more.
func TestSilentSafeRequestIsRetriedOrGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints   []string
		maxAttempts int
		budget      float64
		wantAbort   bool
	}{
		"another endpoint":      {[]string{"e1", "e2"}, 2, 50, true},
		"no other endpoint":     {[]string{"e1"}, 2, 50, false},
		"no attempt left":       {[]string{"e1", "e2"}, 1, 50, false},
		"retry budget all used": {[]string{"e1", "e2"}, 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			entries := make([]EndpointEntry, 0, len(c.endpoints))
			for _, instance := range c.endpoints {
				entries = append(entries, testEntry(instance, plain))
			}
			router := newTestRouter(t, entries...)
			cfg := router.state.cfg
			cfg.RetryExtra = c.budget
			router.apply(SettingsChanged{Settings: cfg})
			rt := plainRoute(route.Safe)
			rt.MaxAttempts = c.maxAttempts
			id := router.arrive(rt, stock.Item{})
			first := onlyEffect[Send](router)
			router.advance(800 * time.Millisecond)
			router.silence(id)
			if !c.wantAbort {
				require.Empty(t, effectsOf[AbortAttempt](router))
				router.advance(time.Second)
				require.Empty(t, effectsOf[AbortAttempt](router))
				return
			}
			require.Equal(t, AbortAttempt{ID: id, Try: 1, Silence: 1}, onlyEffect[AbortAttempt](router))
			router.endAttempt(id, Broken)
			require.NotEqual(t, first.Instance, onlyEffect[Send](router).Instance)
		})
	}
}

// Guards against endpoints that are ejected although all of their service were silent at once.
func TestEndpointsSilentTogetherAreNotEjected(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	cfg := router.state.cfg
	cfg.RetryExtra = 500
	router.apply(SettingsChanged{Settings: cfg})
	rt := plainRoute(route.Safe)
	retries := 0
	for range 40 {
		id := router.arrive(rt, stock.Item{})
		router.advance(800 * time.Millisecond)
		router.silence(id)
		if len(effectsOf[AbortAttempt](router)) > 0 {
			retries++
			router.endAttempt(id, Broken)
		}
		// An endpoint with an unanswered request would be taken for silent and get no retries.
		router.advance(200 * time.Millisecond)
		router.endAttempt(id, Abandoned)
	}
	require.Greater(t, retries, 10)
	for _, instance := range []string{"e1", "e2"} {
		assert.Zero(t, router.state.endpoint(instance).ejectedUntil)
	}
}

// Guards against a run that is lost unnoticed in a large fleet, as the router is not connected to the
// agent of its endpoint.
func TestAgentOfSilentEndpointIsFollowed(t *testing.T) {
	t.Parallel()
	router := newTestRouter(t, fleetEntries(600, func(i int) []string { return []string{string(rune('a' + i%5))} })...)
	router.advance(firstReportTimeout)
	id := router.arrive(streamRoute(), modelA)
	send := onlyEffect[Send](router)
	router.advance(time.Minute)
	require.NotContains(t, router.followedInstances(), send.Instance)
	router.silence(id)
	require.Equal(t, send.Instance, onlyEffect[CheckPort](router).Instance)
	require.Contains(t, router.followedInstances(), send.Instance)
	router.apply(PortChecked{Instance: send.Instance})
	router.report(send.Instance, withModels("a"))
	require.Equal(t, send.Instance, onlyEffect[AskRun](router).Instance)
}
