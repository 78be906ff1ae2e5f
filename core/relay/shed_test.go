package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// Replays a burst for a model whose only holder is full, as routers learned too late: each request is
// rejected at once. Guards against sending all of them again and again, which uses up the retries of
// all requests, and against requests that wait once there is room.
func TestFullEndpointIsAskedSeldom(t *testing.T) {
	const (
		requests  = 10
		fullFor   = 1500 * time.Millisecond
		step      = 10 * time.Millisecond
		maxResent = 10
	)
	item := stock.Item{Model: "a"}
	tests := map[string]struct {
		// free ends the time in which the endpoint rejects requests.
		free func(router *testRouter)
		// within is the time from then on until all requests must have been sent.
		within time.Duration
	}{
		"a report shows room": {free: func(router *testRouter) { router.report("i-1", withModels("a", "b")) }, within: avoidedRetryDelay + step},
		"no report":           {free: func(*testRouter) {}, within: avoidedRetryDelay<<maxShedDoublings + step},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("i-1", llm))
			router.report("i-1", withModels("a", "b"))
			sent := 0
			shed := func() {
				for _, send := range effectsOf[Send](router) {
					sent++
					router.endAttempt(send.ID, Shed)
					require.Empty(t, effectsOf[Refuse](router))
				}
			}
			for range requests {
				router.arrive(patientRoute(), item)
				shed()
			}
			for passed := time.Duration(0); passed < fullFor; passed += step {
				router.advance(step)
				shed()
			}
			assert.LessOrEqual(t, sent, requests+maxResent)

			served := 0
			serve := func() {
				for sends := effectsOf[Send](router); len(sends) > 0; sends = sends[1:] {
					served++
					router.apply(AnswerStarted{ID: sends[0].ID})
					sends = append(sends, effectsOf[Send](router)...)
					router.endAttempt(sends[0].ID, Done)
					sends = append(sends, effectsOf[Send](router)...)
				}
			}
			c.free(router)
			serve()
			for passed := time.Duration(0); passed < c.within; passed += step {
				router.advance(step)
				serve()
			}
			assert.Equal(t, requests, served)
		})
	}
}

// A model that an endpoint rejects, as when it is being unloaded, does not keep requests for its other models away.
func TestRejectionOfOneModelKeepsOthers(t *testing.T) {
	router := newTestRouter(t, testEntry("i-1", llm))
	router.report("i-1", withModels("a", "b"))
	first := router.arrive(patientRoute(), stock.Item{Model: "a"})
	require.Len(t, effectsOf[Send](router), 1)
	router.endAttempt(first, Shed)
	router.arrive(patientRoute(), stock.Item{Model: "b"})
	assert.Len(t, effectsOf[Send](router), 1)
}
