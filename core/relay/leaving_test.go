package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Guards against requests to an endpoint that has said, itself or through its agent, that it leaves, after
// a list in which it is ready still.
func TestListMakesNoLeavingEndpointReady(t *testing.T) {
	for name, say := range map[string]func(router *testRouter){
		"its agent": func(router *testRouter) {
			router.report("e1", func(r *stock.Report) { r.Leaving = true })
		},
		"its answer": func(router *testRouter) {
			router.apply(SelfStatusReceived{ID: router.lastID, Instance: "e1", Status: SelfStatus{Leaving: true}})
		},
		"another instance at its address": func(router *testRouter) { router.endAttempt(router.lastID, Replaced) },
	} {
		t.Run(name, func(t *testing.T) {
			entry := testEntry("e1", plain)
			router := newTestRouter(t, entry)
			router.arrive(plainRoute(route.Unsafe), stock.Item{})
			onlyEffect[Send](router)
			say(router)
			assertUnused := func(list EndpointEntry, readAt time.Time) {
				t.Helper()
				router.apply(EndpointsListed{List: []EndpointEntry{list}, ReadAt: readAt})
				assert.Empty(t, effectsOf[EndpointLeaving](router), "told once")
				router.arrive(plainRoute(route.Unsafe), stock.Item{})
				assert.Empty(t, effectsOf[Send](router))
			}
			assertUnused(entry, router.now.Add(-3*time.Second))
			router.advance(500 * time.Millisecond)
			assertUnused(entry, router.now)
			changed := entry
			changed.Slots++
			assertUnused(changed, router.now)
			changed.Leaving = true
			assertUnused(changed, router.now)
			changed.Leaving = false
			assertUnused(changed, router.now)
		})
	}
}

// Guards against an endpoint that is left unused for good: a later word of the same source counts.
func TestLaterWordOnLeavingCounts(t *testing.T) {
	entry := testEntry("e1", plain)
	entry.Born = 7
	next := entry
	next.Born = 8
	assertUsed := func(t *testing.T, router *testRouter) {
		t.Helper()
		router.arrive(plainRoute(route.Unsafe), stock.Item{})
		onlyEffect[Send](router)
	}
	t.Run("list", func(t *testing.T) {
		leaving := entry
		leaving.Leaving = true
		router := newTestRouter(t, leaving)
		router.listEndpoints(entry)
		assertUsed(t, router)
	})
	t.Run("agent", func(t *testing.T) {
		router := newTestRouter(t, entry)
		router.report("e1", func(r *stock.Report) { r.Leaving = true })
		router.report("e1", nil)
		assertUsed(t, router)
	})
	t.Run("new incarnation", func(t *testing.T) {
		router := newTestRouter(t, entry)
		router.report("e1", func(r *stock.Report) { r.Leaving = true })
		router.listEndpoints(next)
		assertUsed(t, router)
	})
	t.Run("listed for long after another instance answered", func(t *testing.T) {
		router := newTestRouter(t, entry)
		router.endAttempt(router.arrive(plainRoute(route.Unsafe), stock.Item{}), Replaced)
		router.advance(replacedTimeout)
		router.apply(EndpointsListed{List: []EndpointEntry{entry}, ReadAt: router.now})
		assertUsed(t, router)
	})
}
