package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
	"chervilreach/fakes"
)

// drainCallCount is the number of calls in progress when a process is drained or killed.
const drainCallCount = 24

// startCalls sends drainCallCount calls of a kind, distributed over the given number of routers, half of
// them streamed. It waits until all calls are executing and all streams have begun, and returns the
// channel on which the answers arrive.
func startCalls(ctx context.Context, t *testing.T, f *demo.Fleet, kind string, routers int) <-chan answer {
	t.Helper()
	answers := make(chan answer, drainCallCount)
	begun := make(chan struct{}, drainCallCount)
	for n := range drainCallCount {
		go func() {
			answers <- send(ctx, f, call{
				id: fmt.Sprintf("%s-%d", kind, n), routerIndex: n % routers, model: routerModel, kind: kind,
				prompt: "drain", tokens: longTokens, stream: n%2 == 0,
				onFirstByte: func() { begun <- struct{}{} },
			})
		}()
	}
	for range drainCallCount / 2 {
		<-begun
	}
	for n := range drainCallCount {
		awaitRunning(t, f, fmt.Sprintf("%s-%d", kind, n))
	}
	return answers
}

// requireTexts requires that all drainCallCount answers are complete and have the text want.
func requireTexts(t *testing.T, answers <-chan answer, want string) {
	t.Helper()
	for range drainCallCount {
		a := <-answers
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.True(t, a.complete, "%v", a.err)
		require.Equal(t, want, answerText(t, a.body))
	}
}

// TestDrain stops a router or an agent gracefully under load. Every request in progress gets its
// complete answer and is executed once.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, stopped := range []string{"router", "agent"} {
		for _, kind := range []string{kindLong, kindLongIdempotent} {
			t.Run(stopped+", "+kind, func(t *testing.T) {
				t.Parallel()
				f := startProxyFleet(t, longAckOptions())
				ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
				defer cancel()
				e := warmUp(ctx, t, f.Fleet, routerModel)
				want := engineAnswer(ctx, t, e, call{model: routerModel, prompt: "drain", tokens: longTokens})
				e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 8})
				routers := 2
				if stopped == "router" {
					routers = 1
				}
				answers := startCalls(ctx, t, f.Fleet, kind, routers)
				if stopped == "router" {
					require.NoError(t, f.Routers[0].Stop(ctx))
				} else {
					require.NoError(t, e.Agent.Stop(ctx))
				}
				requireTexts(t, answers, want)
				for n := range drainCallCount {
					require.Equal(t, 1, countExecutions(f.Fleet, fmt.Sprintf("%s-%d", kind, n)))
				}
			})
		}
	}
}

// TestReclaimed kills the agent and the engine of a host under load. Idempotent calls continue on
// another host, where each is executed once, without duplicate or missing chunks.
func TestReclaimed(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, longAckOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	e := warmUp(ctx, t, f.Fleet, routerModel)
	want := engineAnswer(ctx, t, e, call{model: routerModel, prompt: "drain", tokens: longTokens})
	e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 8})
	answers := startCalls(ctx, t, f.Fleet, kindLongIdempotent, 2)
	e.Engine.Kill()
	require.NoError(t, e.Agent.Kill())
	began := time.Now()
	requireTexts(t, answers, want)
	t.Logf("all complete %v after the kill", time.Since(began).Round(time.Millisecond))
	for n := range drainCallCount {
		require.Equal(t, 2, countExecutions(f.Fleet, fmt.Sprintf("%s-%d", kindLongIdempotent, n)))
	}
}

// TestDeadEndpoint kills an endpoint and checks that routers avoid it after the first failed call.
// The first call may have been on its way when the agent died. Calls of plain services are never
// executed twice, so its outcome may be unknown.
func TestDeadEndpoint(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, e := range f.Endpoints {
		if e.Host.ID == "booking-derby-1" {
			require.NoError(t, e.Agent.Kill())
		}
	}
	first := send(ctx, f.Fleet, call{id: "first", service: "booking", kind: kindShortIdempotent})
	first.requireWithin(t, shortPatience, "first")
	if first.status != http.StatusOK {
		require.Equal(t, fleet.NotRunUnknown, first.notRun, first.body)
		require.LessOrEqual(t, countExecutions(f.Fleet, "first"), 1)
	}
	for n := range 20 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("dead-%d", n), service: "booking", kind: kindShortIdempotent})
		require.Equal(t, http.StatusOK, a.status, a.body)
		a.requireWithin(t, time.Second, "without the dead endpoint")
	}
}

// TestLeaving checks that an endpoint that the host list marks as leaving receives no new calls
// once the lag of the list and 2 s more have passed.
func TestLeaving(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	const leavingHost = "booking-derby-1"
	var leavingEndpoint *demo.Endpoint
	for _, e := range f.Endpoints {
		if e.Host.ID == leavingHost {
			leavingEndpoint = e
		}
	}
	f.Hosts.SetLeaving(leavingHost)
	timer := time.NewTimer(fleetOptions().HostLag + 2*time.Second)
	defer timer.Stop()
	<-timer.C
	before := len(leavingEndpoint.Engine.Executions())
	for n := range 30 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("new-%d", n), routerIndex: n % 2, service: "booking", kind: kindShort})
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
	require.Len(t, leavingEndpoint.Engine.Executions(), before)
}

// TestHostListUnavailable checks that routers continue with the hosts they know while the host list is
// unavailable.
func TestHostListUnavailable(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	f.Hosts.SetFaults(fakes.HostsFaults{Outage: true})
	for n := range 30 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("out-%d", n), routerIndex: n % 2, service: "booking", kind: kindShort})
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
}

// TestRouterStartsInOutage starts a router while the key-value service is unavailable. The router
// gets records and placements from the agents, serves models that are loaded and models that are not,
// and refuses calls with an idempotency key, with not-run set to true.
func TestRouterStartsInOutage(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	warmUp(ctx, t, f.Fleet, routerModel)
	f.KV.SetFaults(fakes.KVFaults{Outage: true})
	began := time.Now()
	n, err := f.AddRouter(context.Background())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		a := send(ctx, f.Fleet, call{id: "warm", routerIndex: n, model: routerModel, kind: kindShort, prompt: "x"})
		return a.status == http.StatusOK
	}, startTimeout, 10*pollInterval)
	t.Logf("serves a warm model %v after its start", time.Since(began).Round(time.Millisecond))
	a := send(ctx, f.Fleet, call{id: "cold", routerIndex: n, model: "notice-melton@2", kind: kindShort, prompt: "x"})
	require.Equal(t, http.StatusOK, a.status, a.body)
	a = send(ctx, f.Fleet, call{id: "keyed", idempotencyKey: "k", routerIndex: n, model: routerModel, kind: kindShort, prompt: "x"})
	require.Equal(t, fleet.CodeKVUnavailable, a.code)
	require.Equal(t, fleet.NotRunTrue, a.notRun)
	require.Zero(t, countExecutions(f.Fleet, "keyed"))
	checkInvariants(t, f.Fleet)
}

// TestDrainTooLong stops a router whose calls last longer than the shutdown may. This
// guards against closing the connections: each caller gets an answer that its outcome is unknown.
func TestDrainTooLong(t *testing.T) {
	t.Parallel()
	const callCount = 4
	f := startProxyFleet(t, longAckOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	e := warmUp(ctx, t, f.Fleet, routerModel)
	e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 100})
	answers := make(chan answer, callCount)
	for n := range callCount {
		go func() {
			answers <- send(ctx, f.Fleet, call{
				id: fmt.Sprintf("long-%d", n), model: routerModel, kind: kindLong, prompt: "drain", tokens: longTokens,
			})
		}()
	}
	for n := range callCount {
		awaitRunning(t, f.Fleet, fmt.Sprintf("long-%d", n))
	}
	stopCtx, stopCancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer stopCancel()
	require.ErrorIs(t, f.Routers[0].Stop(stopCtx), context.DeadlineExceeded)
	for range callCount {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, fleet.CodeDraining, a.code)
		require.Equal(t, fleet.NotRunUnknown, a.notRun)
	}
}
