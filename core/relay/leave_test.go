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

// A stopping router refuses at once what waits for a load that ends too late, so
// that the caller gets an answer and another router the time: seen on the day in
// deploy/days/stop-while-waiting.toml.
func TestStoppingRouterRefusesWhatWouldWaitTooLong(t *testing.T) {
	const grace = 8 * time.Second
	for name, c := range map[string]struct {
		model   string
		refused bool
	}{
		"from the weight store, 9 s": {"e", true},
		"from disk, 2 s":             {"a", false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm))
			w.report("e1", nil)
			long := patientRoute()
			long.Timeout = 35 * time.Second
			id := w.arrive(long, stock.Item{Model: c.model})
			w.apply(ShutdownStarted{By: w.now.Add(grace)})
			if !c.refused {
				assert.Empty(t, effectsOf[Refuse](w))
				return
			}
			refused := onlyEffect[Refuse](w)
			assert.Equal(t, id, refused.ID)
			assert.Equal(t, Stopping, refused.Reason)
			assert.Equal(t, w.now, refused.RetryAt, "another router takes it at once")
		})
	}
}

// What still waits when half of the time is over is refused then, also when it
// arrives later.
func TestStoppingRouterRefusesWhatStillWaits(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", nil)
	id := w.arrive(streamRoute(), modelA)
	w.apply(ShutdownStarted{By: w.now.Add(8 * time.Second)})
	assert.Contains(t, w.effects, event.Wake{At: w.now.Add(4 * time.Second)})
	w.advance(4 * time.Second)
	assert.Equal(t, id, onlyEffect[Refuse](w).ID)
	w.arrive(streamRoute(), modelA)
	assert.Equal(t, Stopping, onlyEffect[Refuse](w).Reason)
}

// Short answers are sent to the end, but not waited for: a request for one that
// waits for room when half of the time is over is refused, and so is a later one.
func TestStoppingRouterRefusesWhatWaitsForRoom(t *testing.T) {
	full := testMember("e1", plain)
	full.Slots = 1
	w := newTestRouter(t, full)
	arrive := func() RequestID { return w.arrive(plainRoute(route.Unsafe), stock.Item{}) }
	for range 2 {
		arrive()
		require.Len(t, effectsOf[Send](w), 1)
	}
	waiting := arrive()
	require.Empty(t, effectsOf[Send](w))
	w.apply(ShutdownStarted{By: w.now.Add(2 * time.Second)})
	require.Empty(t, effectsOf[Refuse](w))
	w.advance(time.Second)
	refused := onlyEffect[Refuse](w)
	assert.Equal(t, waiting, refused.ID)
	assert.Equal(t, Stopping, refused.Reason)
	arrive()
	assert.Equal(t, Stopping, onlyEffect[Refuse](w).Reason)
}

// A stream that a stopping router was passing on and that breaks is resumed
// elsewhere as before, and without an endpoint ends visibly.
func TestStoppingRouterEndsBrokenStreams(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	w.apply(ShutdownStarted{By: w.now.Add(8 * time.Second)})
	w.advance(7 * time.Second)
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
	assert.Equal(t, id, onlyEffect[Fail](w).ID)
}

// An attempt that is broken off when the time is over is not made again.
func TestStoppingRouterSendsNothingAtTheEnd(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain))
	id := w.arrive(plainRoute(route.Safe), stock.Item{})
	w.apply(ShutdownStarted{By: w.now.Add(2 * time.Second)})
	w.now = w.now.Add(2 * time.Second)
	w.ended(id, Broken)
	assert.Equal(t, Stopping, onlyEffect[Fail](w).Reason)
	assert.Empty(t, effectsOf[Send](w))
}

// The endpoint's own failure is passed on if there is no time to try another one.
func TestStoppingRouterPassesOnFailures(t *testing.T) {
	w := newTestRouter(t, testMember("e1", plain), testMember("e2", plain))
	id := w.arrive(plainRoute(route.Safe), stock.Item{})
	w.apply(ShutdownStarted{By: w.now.Add(2 * time.Second)})
	w.now = w.now.Add(2 * time.Second)
	w.ended(id, Failed)
	assert.Equal(t, id, onlyEffect[DeliverFailure](w).ID)
}

// A second request for a model whose load has been asked for and not yet been
// reported is not counted behind that load.
func TestAskedLoadIsNotCountedTwice(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm))
	w.report("e1", nil)
	w.arrive(streamRoute(), modelA)
	first := onlyEffect[Wait](w)
	w.arrive(streamRoute(), modelA)
	assert.Equal(t, first.ReadyAt, onlyEffect[Wait](w).ReadyAt)
}

// A stream that a router begins to send late in its stop would be cut off there, and
// another router passes it on whole; short answers still end in time.
func TestStoppingRouterBeginsNoLateStream(t *testing.T) {
	for name, c := range map[string]struct {
		item    stock.Item
		rt      *route.Route
		refused bool
	}{
		"stream":       {modelA, streamRoute(), true},
		"short answer": {stock.Item{}, plainRoute(route.Unsafe), false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, testMember("e1", llm), testMember("e2", plain))
			w.report("e1", withModels("a"))
			w.apply(ShutdownStarted{By: w.now.Add(8 * time.Second)})
			w.advance(5 * time.Second)
			w.report("e1", withModels("a"))
			id := w.arrive(c.rt, c.item)
			if !c.refused {
				assert.Equal(t, id, onlyEffect[Send](w).ID)
				return
			}
			refused := onlyEffect[Refuse](w)
			assert.Equal(t, Stopping, refused.Reason)
			assert.Equal(t, w.now, refused.RetryAt)
		})
	}
}

// A stream that has begun is resumed at another endpoint also late in a stop.
func TestStoppingRouterResumesStreams(t *testing.T) {
	w := newTestRouter(t, testMember("e1", llm), testMember("e2", llm))
	w.report("e1", withModels("a"))
	w.report("e2", withModels("a"))
	id := w.arrive(streamRoute(), modelA)
	sent := onlyEffect[Send](w)
	w.apply(ShutdownStarted{By: w.now.Add(8 * time.Second)})
	w.advance(5 * time.Second)
	w.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 3, Answering: true})
	resumed := onlyEffect[Send](w)
	assert.Equal(t, id, resumed.ID)
	assert.NotEqual(t, sent.Instance, resumed.Instance)
}
