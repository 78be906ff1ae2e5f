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
