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

const silentModel fleet.ModelID = "notice-bolsover@2"

// silentTokens is long enough to last longer than a silent connection does.
const silentTokens = 12

// stage is when a connection goes silent during a request.
type stage string

const (
	beforeAck   stage = "before the acknowledgement"
	beforeFirst stage = "before the first chunk"
	midStream   stage = "in mid-stream"
	beforeEnd   stage = "before the last token and the end mark"
)

// TestSilentConnections silences the connection between router and agent for
// good at each stage of a request and in each direction. A new connection works:
// the caller gets the whole answer within briefPatience, and the request runs
// once. Routers wait long enough for agents that a busy machine holds up.
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
			f := startCutFleet(t, opt)
			ctx, cancel := context.WithTimeout(context.Background(), startBound)
			defer cancel()
			e := warm(ctx, t, f.Fleet, silentModel)
			for name, cut := range directions {
				for _, kind := range []string{kindCalmOnce, kindCalmAgain} {
					id := strings.ReplaceAll(name+"-"+kind, " ", "-")
					c := call{id: id, model: silentModel, kind: kind, stream: true, prompt: id, tokens: silentTokens}
					if st == beforeEnd {
						c.tokens = 2
					}
					want := direct(ctx, t, e, c)
					e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 50})
					a, took := f.sendSilenced(ctx, t, c, e.Host.Endpoint, st, cut)
					e.Engine.SetFaults(fakes.EngineFaults{})
					require.Equal(t, http.StatusOK, a.status, "%s: %s", id, a.body)
					require.True(t, a.whole, id)
					require.Equal(t, want, textOf(t, a.body), id)
					require.Equal(t, 1, runsOf(f.Fleet, id), id)
					require.LessOrEqual(t, took-a.stalled, briefPatience, "%s: took %v, stalled %v", id, took, a.stalled)
					t.Logf("%s, %s: whole %v after the cut", st, id, took.Round(time.Millisecond))
				}
			}
		})
	}
}

// sendSilenced sends a call and silences its endpoint's connections at a stage.
// It returns the time from then to the end of the answer.
func (f *cutFleet) sendSilenced(ctx context.Context, t *testing.T, c call, id fleet.EndpointID, st stage, cut fakes.ProxyFaults) (answer, time.Duration) {
	t.Helper()
	var at time.Time
	silence := func() {
		f.silence(t, id, cut)
		at = time.Now()
	}
	if st == midStream || st == beforeEnd {
		c.onByte = silence
	}
	if st == beforeAck {
		silence()
	}
	answers := make(chan answer, 1)
	go func() { answers <- send(ctx, f.Fleet, c) }()
	if st == beforeFirst {
		running(t, f.Fleet, c.id)
		silence()
	}
	a := <-answers
	return a, time.Since(at)
}

// TestSilentForGood silences all connections to the one endpoint that may serve
// a request, new ones too: the caller gets an honest refusal in time.
func TestSilentForGood(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]fakes.ProxyFaults{
		"both": {DropToTarget: true, DropToCaller: true}, "to target": {DropToTarget: true}, "to caller": {DropToCaller: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startCutFleet(t, fleetOptions())
			ctx, cancel := context.WithTimeout(context.Background(), startBound)
			defer cancel()
			require.NoError(t, f.cuts["booking-derby-1"].SetFaults(cut))
			require.NoError(t, f.cuts["booking-leicester-1"].SetFaults(cut))
			require.NoError(t, f.cuts["booking-nottingham-1"].SetFaults(cut))
			for _, kind := range []string{kindOnce, kindAgain} {
				a := send(ctx, f.Fleet, call{id: kind, service: "booking", kind: kind})
				require.NotEqual(t, http.StatusOK, a.status)
				a.within(t, briefPatience, kind)
				runs := runsOf(f.Fleet, kind)
				require.LessOrEqual(t, runs, len(f.cuts))
				if kind == kindOnce {
					require.LessOrEqual(t, runs, 1)
				}
				if a.notRun == fleet.NotRunTrue {
					require.Zero(t, runs)
				}
				t.Logf("%s: %s, not run: %s, after %v", kind, a.code, a.notRun, a.took.Round(time.Millisecond))
			}
		})
	}
}

// TestNoGoroutineLeft: calls over silent connections leave no goroutine behind
// in the router.
func TestNoGoroutineLeft(t *testing.T) {
	f := startCutFleet(t, fleetOptions())
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	e := warm(ctx, t, f.Fleet, silentModel)
	require.Zero(t, exchanges())
	done := make(chan answer)
	const calls = 20
	for n := range calls {
		go func() {
			done <- send(ctx, f.Fleet, call{id: "left", router: n % 2, model: silentModel, kind: kindAgain, prompt: "left", tokens: silentTokens})
		}()
		if n%5 == 0 {
			f.silence(t, e.Host.Endpoint, fakes.ProxyFaults{DropToTarget: n%2 == 0, DropToCaller: true})
		}
	}
	for range calls {
		<-done
	}
	require.Eventually(t, func() bool { return exchanges() == 0 }, 5*time.Second, 10*pollPeriod)
}

// exchanges counts the goroutines of the routers that wait for an agent.
func exchanges() int {
	buf := make([]byte, 16<<20)
	all := string(buf[:runtime.Stack(buf, true)])
	return strings.Count(all, "routed.(*Daemon).sendOffer(") + strings.Count(all, "routed.(*Daemon).askTombstone(")
}
