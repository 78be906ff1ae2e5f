package faults_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
)

// routerModel is the model in the tests of routers.
const routerModel fleet.ModelID = "notice-bolsover@2"

// silentTokens is a number of tokens whose generation takes longer than it takes to detect that a
// connection is silent.
const silentTokens = 12

// stage is the point during a request at which a connection goes silent.
type stage string

const (
	beforeAck   stage = "before the acknowledgement"
	beforeFirst stage = "before the first chunk"
	midStream   stage = "in mid-stream"
	beforeEnd   stage = "before the last token and the end mark"
)

// TestSilentConnections makes the connection between router and agent drop all data from each stage of
// a request on, in each direction. New connections work: the caller gets the complete answer within
// shortPatience, and the request is executed once. Routers wait for acknowledgements long enough that
// agents which a busy machine delays do not count as silent.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	directions := map[string]fakes.ProxyFaults{
		"both":      {DropToTarget: true, DropToCaller: true},
		"to target": {DropToTarget: true},
		"to caller": {DropToCaller: true},
	}
	opt := fleetOptions()
	opt.MaxAckTimeout = 500 * time.Millisecond
	for _, st := range []stage{beforeAck, beforeFirst, midStream, beforeEnd} {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			f := startProxyFleet(t, opt)
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			e := warmUp(ctx, t, f.Fleet, routerModel)
			for name, faults := range directions {
				for _, kind := range []string{kindLong, kindLongIdempotent} {
					id := strings.ReplaceAll(name+"-"+kind, " ", "-")
					c := call{id: id, model: routerModel, kind: kind, stream: true, prompt: id, tokens: silentTokens}
					if st == beforeEnd {
						c.tokens = 2
					}
					want := engineAnswer(ctx, t, e, c)
					e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 50})
					a, took := f.sendAndSilence(ctx, t, c, e.Host.Endpoint, st, faults)
					e.Engine.SetFaults(fakes.EngineFaults{})
					require.Equal(t, http.StatusOK, a.status, "%s: %s", id, a.body)
					require.True(t, a.complete, id)
					require.Equal(t, want, answerText(t, a.body), id)
					require.Equal(t, 1, countExecutions(f.Fleet, id), id)
					require.LessOrEqual(t, took-a.stallDuration, shortPatience, "%s: took %v, stalled %v", id, took, a.stallDuration)
					t.Logf("%s, %s: complete %v after the connection went silent", st, id, took.Round(time.Millisecond))
				}
			}
		})
	}
}

// TestSlowConnections delays the data on new connections to an endpoint so much that its
// acknowledgements come too late. An idempotent call is not run a second time elsewhere.
func TestSlowConnections(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{kindLong, kindLongIdempotent} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := startProxyFleet(t, fleetOptions())
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			e := warmUp(ctx, t, f.Fleet, routerModel)
			c := call{id: kind, model: routerModel, kind: kind, stream: true, prompt: kind, tokens: silentTokens}
			want := engineAnswer(ctx, t, e, c)
			e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 50})
			f.silenceOpenConns(t, e.Host.Endpoint, fakes.ProxyFaults{DropToTarget: true, DropToCaller: true})
			require.NoError(t, f.proxies[e.Host.Endpoint].SetFaults(fakes.ProxyFaults{Delay: 60 * time.Millisecond}))
			a := send(ctx, f.Fleet, c)
			require.Equal(t, http.StatusOK, a.status, a.body)
			require.True(t, a.complete)
			require.Equal(t, want, answerText(t, a.body))
			require.Equal(t, 1, countExecutions(f.Fleet, c.id))
		})
	}
}

// sendAndSilence sends a call and sets faults on the open connections to endpoint id at the given
// stage. It returns the answer and the time from the fault to the end of the answer.
func (f *proxyFleet) sendAndSilence(ctx context.Context, t *testing.T, c call, id fleet.EndpointID, st stage, faults fakes.ProxyFaults) (answer, time.Duration) {
	t.Helper()
	var silencedAt time.Time
	silence := func() {
		f.silenceOpenConns(t, id, faults)
		silencedAt = time.Now()
	}
	if st == midStream || st == beforeEnd {
		c.onFirstByte = silence
	}
	if st == beforeAck {
		silence()
	}
	answers := make(chan answer, 1)
	go func() { answers <- send(ctx, f.Fleet, c) }()
	if st == beforeFirst {
		awaitRunning(t, f.Fleet, c.id)
		silence()
	}
	a := <-answers
	return a, time.Since(silencedAt)
}

// TestSilentForGood makes all connections to the endpoints of a plain service drop data, new ones too.
// The caller is refused in time, and the refusal states correctly whether the call was executed.
func TestSilentForGood(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]fakes.ProxyFaults{
		"both": {DropToTarget: true, DropToCaller: true}, "to target": {DropToTarget: true}, "to caller": {DropToCaller: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startProxyFleet(t, fleetOptions())
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			require.NoError(t, f.proxies["booking-derby-1"].SetFaults(faults))
			require.NoError(t, f.proxies["booking-leicester-1"].SetFaults(faults))
			require.NoError(t, f.proxies["booking-nottingham-1"].SetFaults(faults))
			for _, kind := range []string{kindShort, kindShortIdempotent} {
				a := send(ctx, f.Fleet, call{id: kind, service: "booking", kind: kind})
				require.NotEqual(t, http.StatusOK, a.status)
				a.requireWithin(t, shortPatience, kind)
				executions := countExecutions(f.Fleet, kind)
				require.LessOrEqual(t, executions, len(f.proxies))
				if kind == kindShort {
					require.LessOrEqual(t, executions, 1)
				}
				if a.notRun == fleet.NotRunTrue {
					require.Zero(t, executions)
				}
				t.Logf("%s: %s, not run: %s, after %v", kind, a.code, a.notRun, a.duration.Round(time.Millisecond))
			}
		})
	}
}

// TestNoGoroutineLeft makes connections go silent during calls and guards against goroutines of the
// routers that wait on them forever.
func TestNoGoroutineLeft(t *testing.T) {
	f := startProxyFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	e := warmUp(ctx, t, f.Fleet, routerModel)
	require.Zero(t, countAgentExchanges())
	done := make(chan answer)
	const callCount = 20
	for n := range callCount {
		go func() {
			done <- send(ctx, f.Fleet, call{id: "left", routerIndex: n % 2, model: routerModel, kind: kindShortIdempotent, prompt: "left", tokens: silentTokens})
		}()
		if n%5 == 0 {
			f.silenceOpenConns(t, e.Host.Endpoint, fakes.ProxyFaults{DropToTarget: n%2 == 0, DropToCaller: true})
		}
	}
	for range callCount {
		<-done
	}
	require.Eventually(t, func() bool { return countAgentExchanges() == 0 }, 5*time.Second, 10*pollInterval)
}

// countAgentExchanges returns the number of goroutines of the routers that wait for an agent, from
// the stack traces of this process.
func countAgentExchanges() int {
	buf := make([]byte, 16<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	return strings.Count(stacks, "routed.(*Daemon).sendOffer(") + strings.Count(stacks, "routed.(*Daemon).askTombstone(")
}
