package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

func (router *testRouter) receiveStatus(id RequestID, w SelfStatus) {
	router.apply(SelfStatusReceived{ID: id, Instance: router.state.requests[id].target.Instance, Status: w})
}

// serve has a request for model a served to its end, and returns the endpoint that got it.
func (router *testRouter) serve() string {
	router.t.Helper()
	id := router.arrive(streamRoute(), modelA)
	instance := onlyEffect[Send](router).Instance
	router.apply(AnswerStarted{ID: id})
	router.endAttempt(id, Done)
	return instance
}

// newTwoHolders returns a router with the endpoints e1 and e2, which hold model a and have agents,
// and a request at one of them, whose entry it returns first.
func newTwoHolders(t *testing.T) (router *testRouter, target, other EndpointEntry, id RequestID) {
	t.Helper()
	e1, e2 := testEntry("e1", llm), testEntry("e2", llm)
	e1.Born, e2.Born = 1, 1
	router = newTestRouter(t, e1, e2)
	router.report("e1", withModels("a"))
	router.report("e2", withModels("a"))
	id = router.arrive(streamRoute(), modelA)
	if onlyEffect[Send](router).Instance == "e1" {
		return router, e1, e2, id
	}
	return router, e2, e1, id
}

// What an endpoint says of its leaving outlives whatever others say, until its process has ended.
func TestLeavingStatusOutlivesOtherSources(t *testing.T) {
	for name, c := range map[string]struct {
		then func(router *testRouter, target, other EndpointEntry)
		used bool
	}{
		"at once":                  {func(*testRouter, EndpointEntry, EndpointEntry) {}, false},
		"the list still has it":    {func(r *testRouter, e, o EndpointEntry) { r.listEndpoints(e, o) }, false},
		"its entry changes":        {func(r *testRouter, e, o EndpointEntry) { e.Slots = 9; r.listEndpoints(e, o) }, false},
		"its agent reports":        {func(r *testRouter, e, _ EndpointEntry) { r.report(e.Instance, withModels("a")) }, false},
		"its agent is lost":        {func(r *testRouter, e, _ EndpointEntry) { r.apply(AgentLost{Instance: e.Instance}) }, false},
		"off the list and back":    {func(r *testRouter, e, o EndpointEntry) { r.listEndpoints(o); r.listEndpoints(e, o) }, false},
		"back without its number":  {func(r *testRouter, e, o EndpointEntry) { r.listEndpoints(o); e.Born = 0; r.listEndpoints(e, o) }, false},
		"started again":            {func(r *testRouter, e, o EndpointEntry) { e.Born = 2; r.listEndpoints(e, o) }, true},
		"gone, then started again": {func(r *testRouter, e, o EndpointEntry) { r.listEndpoints(o); e.Born = 2; r.listEndpoints(e, o) }, true},
		"down, then listed": {func(r *testRouter, e, o EndpointEntry) {
			r.report(e.Instance, func(rep *stock.Report) { rep.Down = true })
			r.listEndpoints(e, o)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			router, target, other, id := newTwoHolders(t)
			router.receiveStatus(id, SelfStatus{Leaving: true})
			require.Equal(t, sourceEndpoint, onlyEffect[EndpointLeaving](router).Source)
			assert.Empty(t, effectsOf[AbortAttempt](router), "what runs goes on")
			c.then(router, target, other)
			router.advance(firstReportTimeout)
			if c.used {
				router.listEndpoints(target)
				target.Born++
				router.listEndpoints(target)
				router.report(target.Instance, withModels("a"))
				router.arrive(streamRoute(), modelA)
				assert.Equal(t, target.Instance, onlyEffect[Send](router).Instance)
				return
			}
			for range 5 {
				assert.Equal(t, other.Instance, router.serve())
			}
		})
	}
}

// An endpoint that holds the router off gets no requests until the time is over, then one at a time
// until it has taken one. A request that nobody takes is refused at once with the time of the first
// that does.
func TestBackedOffEndpointGetsNoRequests(t *testing.T) {
	router := newTestRouter(t, testEntry("p1", plain))
	id := router.arrive(plainRoute(route.Safe), stock.Item{})
	require.Equal(t, "p1", onlyEffect[Send](router).Instance)
	router.receiveStatus(id, SelfStatus{Backoff: 2 * time.Second})
	until := onlyEffect[BackoffChanged](router).Until
	assert.WithinRange(t, until, router.now.Add(2*time.Second), router.now.Add(2200*time.Millisecond))
	router.endAttempt(id, Shed)
	refusal := onlyEffect[Refuse](router)
	assert.Equal(t, BackoffRequested, refusal.Reason)
	assert.Equal(t, until, refusal.RetryAt)
	router.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Equal(t, BackoffRequested, onlyEffect[Refuse](router).Reason)
	router.now = until
	first := router.arrive(plainRoute(route.Safe), stock.Item{})
	require.True(t, onlyEffect[Send](router).AfterBackoff)
	second := router.arrive(plainRoute(route.Safe), stock.Item{})
	assert.Empty(t, effectsOf[Send](router), "one at a time")
	router.receiveStatus(first, SelfStatus{})
	assert.True(t, onlyEffect[BackoffChanged](router).Until.IsZero())
	assert.Equal(t, second, onlyEffect[Send](router).ID)
	router.arrive(plainRoute(route.Safe), stock.Item{})
	assert.Len(t, effectsOf[Send](router), 1)
}

// What an endpoint says counts although the caller has left meanwhile.
func TestSelfStatusCountsAfterCallerHasLeft(t *testing.T) {
	router := newTestRouter(t, testEntry("p1", plain))
	id := router.arrive(plainRoute(route.Unsafe), stock.Item{})
	router.apply(CallerDone{ID: id})
	router.apply(SelfStatusReceived{ID: id, Instance: "p1", Status: SelfStatus{Backoff: time.Second}})
	router.arrive(plainRoute(route.Safe), stock.Item{})
	assert.Equal(t, BackoffRequested, onlyEffect[Refuse](router).Reason)
}

// A backoff is a deadline that only a longer one moves; it is bounded, and other endpoints serve
// meanwhile.
func TestBackoffValues(t *testing.T) {
	for name, c := range map[string]struct {
		words []time.Duration
		least time.Duration
		most  time.Duration
	}{
		"none":                {[]time.Duration{0}, 0, 0},
		"fraction":            {[]time.Duration{250 * time.Millisecond}, 250 * time.Millisecond, 275 * time.Millisecond},
		"then a shorter one":  {[]time.Duration{4 * time.Second, time.Second}, 4 * time.Second, 4400 * time.Millisecond},
		"then a longer one":   {[]time.Duration{time.Second, 4 * time.Second}, 4 * time.Second, 4400 * time.Millisecond},
		"longer than allowed": {[]time.Duration{1000 * time.Hour}, maxBackoff, maxBackoff + maxBackoffSpread},
	} {
		t.Run(name, func(t *testing.T) {
			router, target, other, id := newTwoHolders(t)
			startedAt := router.now
			for _, d := range c.words {
				router.receiveStatus(id, SelfStatus{Backoff: d})
			}
			e := router.state.endpoint(target.Instance)
			if c.most == 0 {
				assert.True(t, e.self.backoffUntil.IsZero())
				return
			}
			assert.WithinRange(t, e.self.backoffUntil, startedAt.Add(c.least), startedAt.Add(c.most))
			for range 20 {
				assert.Equal(t, other.Instance, router.serve())
			}
			router.report(target.Instance, withModels("a"))
			router.listEndpoints(target, other)
			assert.Equal(t, other.Instance, router.serve())
			assert.Equal(t, 2, router.state.holderCount(llm, modelA), "present, though not free")
		})
	}
}

// A model whose holders all request a backoff is loaded elsewhere if that is in time.
func TestModelOfBackedOffHolderIsLoadedElsewhere(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm), testEntry("e2", llm))
	router.report("e1", withModels("a"))
	router.report("e2", withModels("b"))
	id := router.arrive(patientRoute(), modelA)
	router.receiveStatus(id, SelfStatus{Backoff: time.Minute})
	router.endAttempt(id, Shed)
	assert.Empty(t, effectsOf[Refuse](router))
	demand := onlyEffect[SendDemand](router)
	assert.Equal(t, "e2", demand.Instance)
	router.report("e2", withModels("a"))
	router.advance(avoidedRetryDelay)
	assert.Equal(t, "e2", onlyEffect[Send](router).Instance)
}

// Simulates routers that all send to one endpoint which holds everybody off again and again, each
// time from its own answer on: no router tries before its time is over.
func TestBackedOffEndpointIsLeftAloneByFleet(t *testing.T) {
	const (
		runTime = 30 * time.Second
		step    = 10 * time.Millisecond
		backoff = 3 * time.Second
	)
	for name, routers := range map[string]int{"5_routers": 5, "27_routers": 27, "107_routers": 107, "330_routers": 330} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for n := range routers {
				router := newTestRouter(t, testEntry("p1", plain))
				router.state.cfg.Process = fmt.Sprint("router-", n)
				router.state.endpoints[0].tieBreak = router.state.tieBreakOf("p1")
				var answeredAt time.Time
				for end := router.now.Add(runTime); router.now.Before(end); {
					router.now = router.now.Add(step)
					effects := router.apply(event.Tick{})
					router.arrive(plainRoute(route.Safe), stock.Item{})
					for _, eff := range append(effects, router.effects...) {
						send, ok := eff.(Send)
						if !ok {
							continue
						}
						total++
						require.False(t, router.now.Before(answeredAt.Add(backoff)))
						router.receiveStatus(send.ID, SelfStatus{Backoff: backoff})
						router.endAttempt(send.ID, Shed)
						answeredAt = router.now
					}
				}
			}
			assert.LessOrEqual(t, total, routers*int(runTime/backoff+1))
			t.Logf("%d tries in %v", total, runTime)
		})
	}
}
