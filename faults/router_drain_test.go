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

// drainCalls are in progress when a process is drained or killed.
const drainCalls = 24

// sendMany sends calls of a kind through the routers, half of them streamed, and
// returns their answers, once all run and the streamed ones have begun.
func sendMany(ctx context.Context, t *testing.T, f *demo.Fleet, kind string, routers int) <-chan answer {
	t.Helper()
	answers := make(chan answer, drainCalls)
	begun := make(chan struct{}, drainCalls)
	for n := range drainCalls {
		go func() {
			answers <- send(ctx, f, call{
				id: fmt.Sprintf("%s-%d", kind, n), router: n % routers, model: silentModel, kind: kind,
				prompt: "drain", tokens: longTokens, stream: n%2 == 0,
				onByte: func() { begun <- struct{}{} },
			})
		}()
	}
	for range drainCalls / 2 {
		<-begun
	}
	for n := range drainCalls {
		running(t, f, fmt.Sprintf("%s-%d", kind, n))
	}
	return answers
}

// wantText requires answers that are whole and equal to the engine's own.
func wantText(t *testing.T, answers <-chan answer, want string) {
	t.Helper()
	for range drainCalls {
		a := <-answers
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.True(t, a.whole, "%v", a.err)
		require.Equal(t, want, textOf(t, a.body))
	}
}

// TestDrain stops a router or an agent under load, gracefully: every request in
// progress ends whole.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, who := range []string{"router", "agent"} {
		for _, kind := range []string{kindCalmOnce, kindCalmAgain} {
			t.Run(who+", "+kind, func(t *testing.T) {
				t.Parallel()
				f := startCutFleet(t, calmOptions())
				ctx, cancel := context.WithTimeout(context.Background(), startBound)
				defer cancel()
				e := warm(ctx, t, f.Fleet, silentModel)
				want := direct(ctx, t, e, call{model: silentModel, prompt: "drain", tokens: longTokens})
				e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 8})
				routers := 2
				if who == "router" {
					routers = 1
				}
				answers := sendMany(ctx, t, f.Fleet, kind, routers)
				if who == "router" {
					require.NoError(t, f.Routers[0].Stop(ctx))
				} else {
					require.NoError(t, e.Agent.Stop(ctx))
				}
				wantText(t, answers, want)
				for n := range drainCalls {
					require.Equal(t, 1, runsOf(f.Fleet, fmt.Sprintf("%s-%d", kind, n)))
				}
			})
		}
	}
}

// TestReclaimed kills the agent and the engine of a host under load: the calls
// that may run again go on elsewhere, each run there once, with no chunk doubled
// or missing.
func TestReclaimed(t *testing.T) {
	t.Parallel()
	f := startCutFleet(t, calmOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	e := warm(ctx, t, f.Fleet, silentModel)
	want := direct(ctx, t, e, call{model: silentModel, prompt: "drain", tokens: longTokens})
	e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 8})
	answers := sendMany(ctx, t, f.Fleet, kindCalmAgain, 2)
	e.Engine.Kill()
	require.NoError(t, e.Agent.Kill())
	began := time.Now()
	wantText(t, answers, want)
	t.Logf("all whole %v after the kill", time.Since(began).Round(time.Millisecond))
	for n := range drainCalls {
		require.Equal(t, 2, runsOf(f.Fleet, fmt.Sprintf("%s-%d", kindCalmAgain, n)))
	}
}

// TestDeadEndpoint: after the first failed request a dead endpoint is passed by.
// That first one may have been on its way when the agent died: calls of plain
// services never run twice, so it may end as unknown.
func TestDeadEndpoint(t *testing.T) {
	t.Parallel()
	f := startCutFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	for _, e := range f.Endpoints {
		if e.Host.ID == "booking-derby-1" {
			require.NoError(t, e.Agent.Kill())
		}
	}
	first := send(ctx, f.Fleet, call{id: "first", service: "booking", kind: kindAgain})
	first.within(t, briefPatience, "first")
	if first.status != http.StatusOK {
		require.Equal(t, fleet.NotRunUnknown, first.notRun, first.body)
		require.LessOrEqual(t, runsOf(f.Fleet, "first"), 1)
	}
	for n := range 20 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("dead-%d", n), service: "booking", kind: kindAgain})
		require.Equal(t, http.StatusOK, a.status, a.body)
		a.within(t, time.Second, "past the dead endpoint")
	}
}

// TestLeaving: an endpoint that the list marks as leaving gets no new work
// within 2 s, the lag of the list apart.
func TestLeaving(t *testing.T) {
	t.Parallel()
	f := startCutFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	const leaving = "booking-derby-1"
	var left *demo.Endpoint
	for _, e := range f.Endpoints {
		if e.Host.ID == leaving {
			left = e
		}
	}
	f.Hosts.SetLeaving(leaving)
	listed := time.NewTimer(fleetOptions().HostLag + 2*time.Second)
	defer listed.Stop()
	<-listed.C
	before := len(left.Engine.Executions())
	for n := range 30 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("new-%d", n), router: n % 2, service: "booking", kind: kindOnce})
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
	require.Len(t, left.Engine.Executions(), before)
}

// TestHostListOut: routers go on with the hosts they know while the list is out.
func TestHostListOut(t *testing.T) {
	t.Parallel()
	f := startCutFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	f.Hosts.SetFaults(fakes.HostsFaults{Outage: true})
	for n := range 30 {
		a := send(ctx, f.Fleet, call{id: fmt.Sprintf("out-%d", n), router: n % 2, service: "booking", kind: kindOnce})
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
}

// TestRouterStartsInOutage starts a router while the key-value service is out:
// it learns records and placements from the agents, serves warm and cold models
// alike, and refuses keyed calls as not run.
func TestRouterStartsInOutage(t *testing.T) {
	t.Parallel()
	f := startCutFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	warm(ctx, t, f.Fleet, silentModel)
	f.KV.SetFaults(fakes.KVFaults{Outage: true})
	began := time.Now()
	n, err := f.AddRouter(context.Background())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		a := send(ctx, f.Fleet, call{id: "warm", router: n, model: silentModel, kind: kindOnce, prompt: "x"})
		return a.status == http.StatusOK
	}, startBound, 10*pollPeriod)
	t.Logf("serves a warm model %v after its start", time.Since(began).Round(time.Millisecond))
	a := send(ctx, f.Fleet, call{id: "cold", router: n, model: "notice-melton@2", kind: kindOnce, prompt: "x"})
	require.Equal(t, http.StatusOK, a.status, a.body)
	a = send(ctx, f.Fleet, call{id: "keyed", key: "k", router: n, model: silentModel, kind: kindOnce, prompt: "x"})
	require.Equal(t, fleet.CodeKVUnavailable, a.code)
	require.Equal(t, fleet.NotRunTrue, a.notRun)
	require.Zero(t, runsOf(f.Fleet, "keyed"))
	checkInvariants(t, f.Fleet)
}

// TestDrainTooLong stops a router whose calls last longer than it has: each caller
// is told that the outcome is unknown, where it would see its connection closed.
func TestDrainTooLong(t *testing.T) {
	t.Parallel()
	const calls = 4
	f := startCutFleet(t, calmOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	e := warm(ctx, t, f.Fleet, silentModel)
	e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 100})
	answers := make(chan answer, calls)
	for n := range calls {
		go func() {
			answers <- send(ctx, f.Fleet, call{
				id: fmt.Sprintf("long-%d", n), model: silentModel, kind: kindCalmOnce, prompt: "drain", tokens: longTokens,
			})
		}()
	}
	for n := range calls {
		running(t, f.Fleet, fmt.Sprintf("long-%d", n))
	}
	stopping, done := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer done()
	require.ErrorIs(t, f.Routers[0].Stop(stopping), context.DeadlineExceeded)
	for range calls {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, fleet.CodeDraining, a.code)
		require.Equal(t, fleet.NotRunUnknown, a.notRun)
	}
}
