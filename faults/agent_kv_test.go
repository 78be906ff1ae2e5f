package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
	"chervilreach/fakes"
	"chervilreach/io/etcd"
)

// kvFaultCases returns the faults of the key-value service to test, by name.
func kvFaultCases() map[string]fakes.KVFaults {
	return map[string]fakes.KVFaults{
		"outage": {Outage: true},
		"silent": {Silent: true},
		"slow":   {Delay: 5 * time.Second},
	}
}

// TestAgentsWithoutKV checks that agents do not depend on the key-value service to serve: while
// it fails, loaded models answer, models of confirmed assignments are loaded, and an agent that
// starts serves the models that its engine holds and loads nothing.
func TestAgentsWithoutKV(t *testing.T) {
	t.Parallel()
	for name, faults := range kvFaultCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 2*startTimeout)
			defer cancel()
			f := startFleet(t, fleetOptions())
			e := warmUp(ctx, t, f, streamModel)
			f.KV.SetFaults(faults)
			a := send(ctx, f, call{id: "warm", model: streamModel, kind: "notice", prompt: "warm"})
			require.Equal(t, http.StatusOK, a.status, a.body)
			a = send(ctx, f, call{id: "cold", model: "notice-bassetlaw@2", kind: "notice", prompt: "cold"})
			require.Equal(t, http.StatusOK, a.status, "cold start of a confirmed assignment: %s", a.body)

			require.NoError(t, e.Agent.Kill())
			require.NoError(t, e.Restart(context.Background()))
			require.Eventually(t, func() bool {
				a := send(ctx, f, call{id: "adopted", model: streamModel, kind: "question", prompt: "adopted"})
				return a.status == http.StatusOK
			}, startTimeout, 10*pollInterval)
			require.False(t, isReloaded(e, streamModel), "the model was loaded again")
			require.Error(t, e.Agent.Ready(), "an agent without an incarnation reports that it is ready")
			checkInvariants(t, f)
		})
	}
}

// isReloaded reports whether an engine has loaded a model more than once.
func isReloaded(e *demo.Endpoint, model fleet.ModelID) bool {
	n := 0
	for _, l := range e.Engine.Loads() {
		if l.Model == model {
			n++
		}
	}
	return n > 1
}

// Sizes and bounds of TestKVCalls.
const (
	countedRequests = 1000
	idleWindow      = 6 * time.Second
	// maxIdleCalls bounds the calls during an idleWindow from 2 routers and 6 agents.
	maxIdleCalls = 60
	// maxRequestCalls bounds the calls that 1,000 requests without idempotency keys add.
	maxRequestCalls = 20
)

// TestKVCalls bounds the calls to the key-value service, first while the deployment is idle, then
// during 1,000 requests without idempotency keys.
func TestKVCalls(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*startTimeout)
	defer cancel()
	f := startFleet(t, fleetOptions())
	warmUp(ctx, t, f, streamModel)
	awaitIdleKV(t, f)
	before := f.KV.CallCounts()
	<-time.After(idleWindow)
	idle := f.KV.CallCounts()
	perWindow := totalCalls(idle) - totalCalls(before)
	t.Logf("idle: %d calls in %v, %d a minute, from %+v to %+v", perWindow, idleWindow, perWindow*int(time.Minute/idleWindow), before, idle)
	require.LessOrEqual(t, perWindow, maxIdleCalls)

	began := time.Now()
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := range countedRequests / 20 {
				send(ctx, f, call{id: fmt.Sprintf("r-%d-%d", worker, i), routerIndex: worker % 2, model: streamModel, kind: "question", prompt: "count"})
			}
		})
	}
	wg.Wait()
	calls := totalCalls(f.KV.CallCounts()) - totalCalls(idle)
	idleShare := perWindow * int(time.Since(began)/time.Millisecond) / int(idleWindow/time.Millisecond)
	t.Logf("%d requests in %v: %d calls, of which %d are expected of an idle deployment", countedRequests, time.Since(began), calls, idleShare)
	require.LessOrEqual(t, calls, idleShare+maxRequestCalls)
}

// idleSeconds is the number of consecutive seconds with few calls to the key-value service after
// which a deployment counts as started. One second is not enough: a process that gets little CPU
// time pushes or reads assignments after a pause of a second or more.
const idleSeconds = 4

// awaitIdleKV waits for idleSeconds with few calls to the key-value service, after which the agents
// have read the assignments that were pushed to them at the start of the deployment.
func awaitIdleKV(t *testing.T, f *demo.Fleet) {
	t.Helper()
	last, idleChecks := totalCalls(f.KV.CallCounts()), 0
	require.Eventually(t, func() bool {
		before := last
		last = totalCalls(f.KV.CallCounts())
		idleChecks++
		if last-before > maxIdleCalls/int(idleWindow/time.Second) {
			idleChecks = 0
		}
		return idleChecks >= idleSeconds
	}, startTimeout, time.Second)
}

// totalCalls returns the number of calls of all kinds.
func totalCalls(c etcd.CallCounts) int {
	return int(c.Range + c.Txn + c.Grant + c.KeepAlive + c.Revoke + c.Watch)
}
