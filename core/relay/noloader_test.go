package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// Without agents nothing can be loaded: a request for what no endpoint has must not be held until
// its caller leaves, and what an endpoint has is served.
func TestRequestThatNobodyCanLoadForIsRefused(t *testing.T) {
	holder := testEntry("e1", llm)
	holder.Stock.Models = []stock.LoadedModel{{Model: "a", Adapters: []string{"x"}}}
	for name, c := range map[string]struct {
		prepare func(router *testRouter)
		item    stock.Item
		want    Reason
		sent    bool
	}{
		"model that nobody has":   {func(*testRouter) {}, stock.Item{Model: "b"}, NoLoader, false},
		"adapter that nobody has": {func(*testRouter) {}, stock.Item{Model: "a", Adapter: "y"}, NoLoader, false},
		"model that is loaded":    {func(*testRouter) {}, stock.Item{Model: "a"}, "", true},
		"adapter that is loaded":  {func(*testRouter) {}, stock.Item{Model: "a", Adapter: "x"}, "", true},
		"an agent is connected":   {func(r *testRouter) { r.report("e2", withModels("c")) }, stock.Item{Model: "b"}, "", false},
		"agent lost just now": {func(r *testRouter) {
			r.report("e2", withModels("c"))
			r.apply(AgentLost{Instance: "e2"})
		}, stock.Item{Model: "b"}, "", false},
		"agent lost long ago": {func(r *testRouter) {
			r.report("e2", withModels("c"))
			r.apply(AgentLost{Instance: "e2"})
			r.advance(noAgentTimeout)
		}, stock.Item{Model: "b"}, NoLoader, false},
		"endpoint has just been listed": {func(r *testRouter) {
			r.listEndpoints(holder, testEntry("e2", llm), testEntry("e3", llm))
		}, stock.Item{Model: "b"}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, holder, testEntry("e2", llm))
			router.advance(noAgentTimeout)
			c.prepare(router)
			router.arrive(patientRoute(), c.item)
			if c.want == "" {
				require.Empty(t, effectsOf[Refuse](router))
				assert.Equal(t, c.sent, len(effectsOf[Send](router)) == 1)
				return
			}
			refusal := onlyEffect[Refuse](router)
			assert.Equal(t, c.want, refusal.Reason)
			assert.Equal(t, router.now.Add(noLoaderRetryDelay), refusal.RetryAt)
		})
	}
}

// A request that waits for a load is refused once the agents have been gone for a while.
func TestWaitingRequestIsRefusedWhenAgentsAreGone(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", withModels("a"))
	rt := patientRoute()
	rt.Objective = 30 * time.Second
	router.arrive(rt, stock.Item{Model: "b"})
	require.Empty(t, effectsOf[Refuse](router))
	router.apply(AgentLost{Instance: "e1"})
	router.advance(time.Second)
	require.Empty(t, effectsOf[Refuse](router))
	router.advance(noAgentTimeout)
	assert.Equal(t, NoLoader, onlyEffect[Refuse](router).Reason)
}
