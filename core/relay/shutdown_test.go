package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// A router that shuts down refuses at once the requests whose load would be done too late,
// so that another router has time to serve them. Found in the scenario
// deploy/days/stop-while-waiting.toml.
func TestStoppingRouterRefusesWhatWouldWaitTooLong(t *testing.T) {
	const grace = 8 * time.Second
	for name, c := range map[string]struct {
		model       string
		wantRefused bool
	}{
		"from the weight store, 9 s": {"e", true},
		"from disk, 2 s":             {"a", false},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm))
			router.report("e1", nil)
			patient := patientRoute()
			patient.Timeout = 35 * time.Second
			id := router.arrive(patient, stock.Item{Model: c.model})
			router.apply(ShutdownStarted{By: router.now.Add(grace)})
			if !c.wantRefused {
				assert.Empty(t, effectsOf[Refuse](router))
				return
			}
			refused := onlyEffect[Refuse](router)
			assert.Equal(t, id, refused.ID)
			assert.Equal(t, Stopping, refused.Reason)
			assert.Equal(t, router.now, refused.RetryAt, "another router can serve it at once")
		})
	}
}

// Requests that still wait after half of the shutdown period are refused then, and so are
// requests that arrive later.
func TestStoppingRouterRefusesWhatStillWaits(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", nil)
	id := router.arrive(streamRoute(), modelA)
	router.apply(ShutdownStarted{By: router.now.Add(8 * time.Second)})
	assert.Contains(t, router.effects, event.Wake{At: router.now.Add(4 * time.Second)})
	router.advance(4 * time.Second)
	assert.Equal(t, id, onlyEffect[Refuse](router).ID)
	router.arrive(streamRoute(), modelA)
	assert.Equal(t, Stopping, onlyEffect[Refuse](router).Reason)
}

// Requests with short answers are sent until the end of the shutdown period, but do not
// wait for a free slot in its second half.
func TestStoppingRouterRefusesWhatWaitsForRoom(t *testing.T) {
	full := testEntry("e1", plain)
	full.Slots = 1
	router := newTestRouter(t, full)
	arrive := func() RequestID { return router.arrive(plainRoute(route.Unsafe), stock.Item{}) }
	for range 2 {
		arrive()
		require.Len(t, effectsOf[Send](router), 1)
	}
	waiting := arrive()
	require.Empty(t, effectsOf[Send](router))
	router.apply(ShutdownStarted{By: router.now.Add(2 * time.Second)})
	require.Empty(t, effectsOf[Refuse](router))
	router.advance(time.Second)
	refused := onlyEffect[Refuse](router)
	assert.Equal(t, waiting, refused.ID)
	assert.Equal(t, Stopping, refused.Reason)
	arrive()
	assert.Equal(t, Stopping, onlyEffect[Refuse](router).Reason)
}

// A stream that breaks during shutdown is resumed at another endpoint as usual, and fails
// if there is none.
func TestStoppingRouterEndsBrokenStreams(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", withModels("a"))
	id := router.arrive(streamRoute(), modelA)
	router.apply(ShutdownStarted{By: router.now.Add(8 * time.Second)})
	router.advance(7 * time.Second)
	router.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
	assert.Equal(t, id, onlyEffect[Fail](router).ID)
}

// An attempt that is aborted at the end of the shutdown period is not retried.
func TestStoppingRouterSendsNothingAtTheEnd(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	router.apply(ShutdownStarted{By: router.now.Add(2 * time.Second)})
	router.now = router.now.Add(2 * time.Second)
	router.endAttempt(id, Broken)
	assert.Equal(t, Stopping, onlyEffect[Fail](router).Reason)
	assert.Empty(t, effectsOf[Send](router))
}

// The endpoint's error answer is passed to the caller if there is no time for a retry.
func TestStoppingRouterPassesOnFailures(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	router.apply(ShutdownStarted{By: router.now.Add(2 * time.Second)})
	router.now = router.now.Add(2 * time.Second)
	router.endAttempt(id, Failed)
	assert.Equal(t, id, onlyEffect[DeliverFailure](router).ID)
}

// The expected time of a load that has been requested but not yet reported must not count
// that load twice for the next request.
func TestRequestedLoadIsNotCountedTwice(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", nil)
	router.arrive(streamRoute(), modelA)
	first := onlyEffect[Wait](router)
	router.arrive(streamRoute(), modelA)
	assert.Equal(t, first.ReadyAt, onlyEffect[Wait](router).ReadyAt)
}

// No stream is started late during shutdown, as it would be cut off while another router
// can serve it completely. Short answers are still completed in time.
func TestStoppingRouterBeginsNoLateStream(t *testing.T) {
	for name, c := range map[string]struct {
		item        stock.Item
		rt          *route.Route
		wantRefused bool
	}{
		"stream":       {modelA, streamRoute(), true},
		"short answer": {stock.Item{}, plainRoute(route.Unsafe), false},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", plain))
			router.report("e1", withModels("a"))
			router.apply(ShutdownStarted{By: router.now.Add(8 * time.Second)})
			router.advance(5 * time.Second)
			router.report("e1", withModels("a"))
			id := router.arrive(c.rt, c.item)
			if !c.wantRefused {
				assert.Equal(t, id, onlyEffect[Send](router).ID)
				return
			}
			refused := onlyEffect[Refuse](router)
			assert.Equal(t, Stopping, refused.Reason)
			assert.Equal(t, router.now, refused.RetryAt)
		})
	}
}

// A stream in progress is resumed at another endpoint even late during shutdown.
func TestStoppingRouterResumesStreams(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", withModels("a"))
	id := router.arrive(streamRoute(), modelA)
	sent := onlyEffect[Send](router)
	router.apply(ShutdownStarted{By: router.now.Add(8 * time.Second)})
	router.advance(5 * time.Second)
	router.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
	resumed := onlyEffect[Send](router)
	assert.Equal(t, id, resumed.ID)
	assert.NotEqual(t, sent.Instance, resumed.Instance)
}

// Guards against a stream that comes on a caller's connection after the others were closed, and is
// begun and cut off at the end (deploy/days/stop-while-waiting.toml, --vary --seed 926056164727).
func TestStoppingRouterBeginsNoStreamAfterItsDrain(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("p1", plain))
	router.report("e1", withModels("a"))
	router.apply(ShutdownStarted{DrainAt: router.now.Add(2900 * time.Millisecond), By: router.now.Add(7700 * time.Millisecond)})
	router.advance(2800 * time.Millisecond)
	router.arrive(streamRoute(), modelA)
	onlyEffect[Send](router)
	router.advance(700 * time.Millisecond)
	router.arrive(streamRoute(), modelA)
	refused := onlyEffect[Refuse](router)
	assert.Equal(t, Stopping, refused.Reason)
	assert.Equal(t, router.now, refused.RetryAt)
	router.arrive(plainRoute(route.Safe), stock.Item{})
	onlyEffect[Send](router)
}

// Guards against requests that come late in the shutdown period, are sent to an endpoint and cut off at its end,
// among them requests that must not be repeated. Late requests with short answers are served.
func TestStoppingRouterSendsNoLateRequestWhoseAnswerWouldBeCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		// took is how long answers took before; 0 if there were none. arrivesAt is the time in the period of 8 s.
		took, arrivesAt, timeout time.Duration
		// silent reports whether a request at the endpoint is not answered.
		silent, wantRefused bool
	}{
		"long answers":                       {3 * time.Second, 6 * time.Second, 30 * time.Second, false, true},
		"long answers that fit":              {3 * time.Second, time.Second, 30 * time.Second, false, false},
		"answers longer than half":           {5 * time.Second, 3500 * time.Millisecond, 30 * time.Second, false, true},
		"short answers":                      {60 * time.Millisecond, 7500 * time.Millisecond, 30 * time.Second, false, false},
		"short answers, at the end":          {60 * time.Millisecond, 7950 * time.Millisecond, 30 * time.Second, false, true},
		"short answers, endpoint silent":     {60 * time.Millisecond, 7 * time.Second, 30 * time.Second, true, true},
		"deadline before the end":            {3 * time.Second, 6 * time.Second, 2 * time.Second, false, false},
		"deadline before the end, silent":    {60 * time.Millisecond, 6 * time.Second, 2 * time.Second, true, false},
		"no answers known":                   {0, 7 * time.Second, 30 * time.Second, false, false},
		"no answers known, at the end":       {0, 7800 * time.Millisecond, 30 * time.Second, false, true},
		"no answers known, endpoint silent":  {0, 7 * time.Second, 30 * time.Second, true, true},
		"no answers known, silent but early": {0, time.Second, 30 * time.Second, true, false},
	} {
		for kindName, kind := range map[string]route.Kind{"unsafe": route.Unsafe, "safe": route.Safe} {
			t.Run(name+"/"+kindName, func(t *testing.T) {
				router := newTestRouter(t, testEntry("e1", plain))
				rt := plainRoute(kind)
				for range 20 {
					if c.took == 0 {
						break
					}
					id := router.arrive(rt, stock.Item{})
					router.advance(c.took)
					router.endAttempt(id, Done)
				}
				router.apply(ShutdownStarted{DrainAt: router.now.Add(2900 * time.Millisecond), By: router.now.Add(8 * time.Second)})
				patient := *rt
				patient.Timeout = c.timeout
				if c.silent {
					router.arrive(&patient, stock.Item{})
					require.Len(t, effectsOf[Send](router), 1)
				}
				router.advance(c.arrivesAt)
				router.arrive(&patient, stock.Item{})
				if !c.wantRefused {
					require.Len(t, effectsOf[Send](router), 1)
					return
				}
				refused := onlyEffect[Refuse](router)
				assert.Equal(t, Stopping, refused.Reason)
				assert.Equal(t, router.now, refused.RetryAt, "another router can serve it at once")
			})
		}
	}
}

// Guards against a request that was accepted before the stop, and is refused although it has been sent and may
// have run.
func TestStoppingRouterPromisesNothingOfRequestsThatMayHaveRun(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	rt := plainRoute(route.Safe)
	rt.Timeout = 30 * time.Second
	id := router.arrive(rt, stock.Item{})
	router.apply(ShutdownStarted{By: router.now.Add(8 * time.Second)})
	router.advance(7900 * time.Millisecond)
	router.endAttempt(id, Broken)
	assert.Empty(t, effectsOf[Refuse](router))
}

// Guards against a request that still waits when the process ends, because nothing happens at that moment, and whose
// connection is closed without an answer.
func TestStoppingRouterAnswersWhatWaitsAtTheEnd(t *testing.T) {
	router := newSilentStream(t)
	wait := router.state.requests[1].callerPauseTimeout()
	router.answerRun(stock.RunListed)
	router.now = time.UnixMilli(1_000_000).Add(wait - wait/5)
	router.answerRun(stock.RunListed)
	router.endAttempt(1, Broken)
	require.Empty(t, effectsOf[Fail](router), "its run must end first")
	by := router.now.Add(time.Second)
	router.apply(ShutdownStarted{By: by})
	require.Empty(t, effectsOf[Fail](router))
	assert.Contains(t, router.effects, event.Wake{At: by})
	router.now = by
	router.apply(event.Tick{})
	assert.Equal(t, Fail{ID: 1, Reason: Stopping}, onlyEffect[Fail](router))
}
