package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
)

// longTokens is a number of tokens that leaves time to inject a fault while a request is executed.
const longTokens = 60

// shortKeyedCall returns a call of kindShort, which is not idempotent, with key as its Idempotency-Key;
// empty means none.
func shortKeyedCall(id, key string, router int) call {
	return call{id: id, idempotencyKey: key, routerIndex: router, model: routerModel, kind: kindShort, prompt: "close our street", tokens: longTokens, stream: true}
}

// longKeyedCall returns a call of kindLong, which is not idempotent, with key as its Idempotency-Key;
// empty means none. It is for tests of what the answer contains.
func longKeyedCall(id, key string, router int) call {
	c := shortKeyedCall(id, key, router)
	c.kind = kindLong
	return c
}

// TestKeys checks Idempotency-Keys without faults: simultaneous and later calls with one key get the
// same answer from one execution, and a call with another body is refused.
func TestKeys(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, longAckOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	warmUp(ctx, t, f.Fleet, routerModel)

	const callCount = 4
	answers := make(chan answer, callCount)
	for n := range callCount {
		go func() { answers <- send(ctx, f.Fleet, longKeyedCall(fmt.Sprintf("twin-%d", n), "twin", n%2)) }()
	}
	executions := 0
	var first string
	for n := range callCount {
		a := <-answers
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.True(t, a.complete)
		if n == 0 {
			first = a.body
		}
		require.Equal(t, first, a.body)
		executions += countExecutions(f.Fleet, fmt.Sprintf("twin-%d", n))
	}
	require.Equal(t, 1, executions, "executions through two routers at the same time")

	a := send(ctx, f.Fleet, longKeyedCall("later", "twin", 1))
	require.Equal(t, first, a.body, "the answer is kept")
	require.Zero(t, countExecutions(f.Fleet, "later"))

	otherBody := longKeyedCall("other-body", "twin", 0)
	otherBody.prompt = "open our street"
	a = send(ctx, f.Fleet, otherBody)
	require.Equal(t, http.StatusUnprocessableEntity, a.status)
	require.Equal(t, fleet.CodeIdempotencyKeyReused, a.code)
	require.Zero(t, countExecutions(f.Fleet, "other-body"))
}

// TestKeysInOutage checks that calls with a key are refused as not run, and not executed, while the
// key-value service does not answer. Calls without a key are answered.
func TestKeysInOutage(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	warmUp(ctx, t, f.Fleet, routerModel)
	for name, faults := range map[string]fakes.KVFaults{"outage": {Outage: true}, "silent": {Silent: true}} {
		f.KV.SetFaults(faults)
		a := send(ctx, f.Fleet, shortKeyedCall("keyed-"+name, name, 0))
		require.Equal(t, fleet.CodeKVUnavailable, a.code, a.body)
		require.Equal(t, fleet.NotRunTrue, a.notRun)
		a.requireWithin(t, shortPatience, name)
		a = send(ctx, f.Fleet, shortKeyedCall("unkeyed-"+name, "", 0))
		require.Equal(t, http.StatusOK, a.status, a.body)
		f.KV.SetFaults(fakes.KVFaults{})
		require.Zero(t, countExecutions(f.Fleet, "keyed-"+name))
		require.Equal(t, 1, countExecutions(f.Fleet, "unkeyed-"+name))
	}
	f.KV.SetFaults(fakes.KVFaults{LoseWriteAnswers: 1})
	a := send(ctx, f.Fleet, shortKeyedCall("lost-write", "lost-write", 0))
	require.Equal(t, http.StatusOK, a.status, "the claim was written though its answer was lost: %s", a.body)
	require.Equal(t, 1, countExecutions(f.Fleet, "lost-write"))
}

// TestProcessLost kills a router or the agent while a non-idempotent request is executed, and sends
// the request again with its Idempotency-Key through the other router. It must not be executed twice.
func TestProcessLost(t *testing.T) {
	t.Parallel()
	for _, killed := range []string{"router", "agent", "agent, then restart"} {
		t.Run(killed, func(t *testing.T) {
			t.Parallel()
			f := startProxyFleet(t, fleetOptions())
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			e := warmUp(ctx, t, f.Fleet, routerModel)
			// The engine is slow until after the kill, so that the answer cannot end before it
			// but ends soon afterwards.
			e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 500})
			answers := make(chan answer, 1)
			go func() { answers <- send(ctx, f.Fleet, shortKeyedCall("first", "lost", 0)) }()
			awaitRunning(t, f.Fleet, "first")
			if killed == "router" {
				_ = f.Routers[0].Kill()
			} else {
				require.NoError(t, e.Agent.Kill())
			}
			if killed == "agent, then restart" {
				require.NoError(t, e.Restart(context.Background()))
			}
			e.Engine.SetFaults(fakes.EngineFaults{})
			a := <-answers
			require.False(t, a.complete, "no process had the rest of the answer")
			require.NotEqual(t, fleet.NotRunTrue, a.notRun)
			second := send(ctx, f.Fleet, shortKeyedCall("second", "lost", 1))
			require.Equal(t, 1, countExecutions(f.Fleet, "first")+countExecutions(f.Fleet, "second"))
			second.requireWithin(t, shortPatience+time.Second, killed)
			if killed == "router" {
				require.True(t, second.complete, "the agent kept the answer: %s", second.body)
			} else {
				require.NotEqual(t, fleet.NotRunTrue, second.notRun)
				require.NotEqual(t, http.StatusOK, second.status)
			}
		})
	}
}

// TestServiceLost kills an agent of a plain service while non-idempotent calls are executed. Each call
// is executed at most once, and its answer states correctly whether it was.
func TestServiceLost(t *testing.T) {
	t.Parallel()
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, e := range f.Endpoints {
		e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 1000})
	}
	const callCount = 12
	answers := make([]answer, callCount)
	done := make(chan int, callCount)
	for n := range callCount {
		go func() {
			answers[n] = send(ctx, f.Fleet, call{id: fmt.Sprintf("once-%d", n), routerIndex: n % 2, service: "booking", kind: kindShort})
			done <- n
		}()
	}
	awaitRunning(t, f.Fleet, "once-0")
	for _, e := range f.Endpoints {
		if e.Engine.Executions() != nil {
			require.NoError(t, e.Agent.Kill())
			break
		}
	}
	for range callCount {
		n := <-done
		id, a := fmt.Sprintf("once-%d", n), answers[n]
		executions := countExecutions(f.Fleet, id)
		require.LessOrEqual(t, executions, 1, id)
		a.requireWithin(t, shortPatience, id)
		if a.status == http.StatusOK {
			require.Equal(t, 1, executions, id)
		}
		if a.notRun == fleet.NotRunTrue {
			require.Zero(t, executions, id)
		}
	}
}
