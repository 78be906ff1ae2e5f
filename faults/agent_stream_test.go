package faults_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
)

// streamModel is the model in the tests of agents and engines.
const streamModel fleet.ModelID = "notice-ashfield@2"

// streamTokens is the number of tokens of the answers in TestEngineStreams.
const streamTokens = 30

// streamCase is one fault between agent and engine during a request, and its expected result.
type streamCase struct {
	faults fakes.EngineFaults
	// killEngine kills the engine at the first byte of the answer.
	killEngine bool
	// refuseConns makes the engine close its connections and refuse new ones while it executes the
	// request.
	refuseConns bool
	kind        string
	// nonStreamed requests the answer in one piece instead of as a stream.
	nonStreamed bool
	// wantComplete is set if the caller must receive the complete answer.
	wantComplete bool
	// code is the expected refusal if wantComplete is not set; empty means that the stream begins and
	// ends with an error event.
	code   fleet.Code
	notRun fleet.NotRun
}

// streamCases returns the cases of TestEngineStreams by name. The kind notice is not idempotent,
// question is.
func streamCases() map[string]streamCase {
	const question, notice = "question", "notice"
	slow := fakes.EngineFaults{Slowdown: 80, NoResume: true}
	return map[string]streamCase{
		"silent before the first chunk":            {faults: fakes.EngineFaults{SilentFromChunk: 1}, kind: notice, wantComplete: true},
		"silent in mid-stream":                     {faults: fakes.EngineFaults{SilentFromChunk: 9}, kind: notice, wantComplete: true},
		"silent before the end mark":               {faults: fakes.EngineFaults{SilentFromChunk: streamTokens + 1}, kind: notice, wantComplete: true},
		"cut before the first chunk":               {faults: fakes.EngineFaults{TruncateFromChunk: 1}, kind: notice, wantComplete: true},
		"cut in mid-stream":                        {faults: fakes.EngineFaults{TruncateFromChunk: 9}, kind: notice, wantComplete: true},
		"cut before the end mark":                  {faults: fakes.EngineFaults{TruncateFromChunk: streamTokens + 1}, kind: notice, wantComplete: true},
		"whole answer lost":                        {faults: fakes.EngineFaults{LoseAnswers: 1}, kind: notice, nonStreamed: true, wantComplete: true},
		"slow whole answer and no resume":          {faults: slow, kind: notice, nonStreamed: true, wantComplete: true},
		"cut in mid-stream and no resume":          {faults: fakes.EngineFaults{TruncateFromChunk: 9, NoResume: true}, kind: notice},
		"whole answer lost and no resume":          {faults: fakes.EngineFaults{LoseAnswers: 1, NoResume: true}, kind: notice, nonStreamed: true, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine crash in mid-stream":               {killEngine: true, kind: notice},
		"engine crash in mid-stream, idempotent":   {killEngine: true, kind: question, wantComplete: true},
		"engine unreachable while it runs":         {refuseConns: true, faults: fakes.EngineFaults{Slowdown: 20}, kind: notice, nonStreamed: true, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine out before the request":            {faults: fakes.EngineFaults{Outage: true}, kind: notice, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine refuses connections, then request": {faults: fakes.EngineFaults{Refuse: true}, kind: notice, wantComplete: true},
	}
}

// TestEngineStreams breaks the connection between agent and engine at each stage of a request. The
// caller receives the complete answer or an error that states correctly whether the request was
// executed, and a request that is not idempotent is executed at most once.
func TestEngineStreams(t *testing.T) {
	t.Parallel()
	for name, tc := range streamCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			f := startFleet(t, fleetOptions())
			e := warmUp(ctx, t, f, streamModel)
			e.Engine.SetFaults(tc.faults)
			onFirstByte := func() {
				if tc.killEngine {
					e.Engine.Kill()
				}
			}
			answers := make(chan answer, 1)
			go func() {
				answers <- send(ctx, f, call{
					id: "job", model: streamModel, kind: tc.kind, stream: !tc.nonStreamed,
					tokens: streamTokens, prompt: name, onFirstByte: onFirstByte,
				})
			}()
			if tc.refuseConns {
				require.Eventually(t, func() bool { return countExecutions(f, "job") > 0 }, startTimeout, pollInterval)
				e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 20, Refuse: true})
			}
			checkStreamAnswer(t, tc, <-answers)
			if tc.kind == "notice" {
				require.LessOrEqual(t, countExecutions(f, "job"), 1)
			}
			checkInvariants(t, f)
		})
	}
}

// checkStreamAnswer requires that an answer has the result that tc expects.
func checkStreamAnswer(t *testing.T, tc streamCase, a answer) {
	t.Helper()
	if tc.wantComplete {
		require.True(t, a.complete, "status %d, %v: %s", a.status, a.err, a.body)
		if !tc.nonStreamed {
			require.Equal(t, streamTokens+1, strings.Count(a.body, "data: "), "tokens are missing or duplicated")
		}
		return
	}
	require.False(t, a.complete)
	if tc.code == "" {
		require.Equal(t, http.StatusOK, a.status)
		require.Contains(t, a.body, "event: error")
		require.NotContains(t, a.body, "[DONE]")
		return
	}
	require.Equal(t, tc.code, a.code, a.body)
	require.Equal(t, tc.notRun, a.notRun)
}

// fleetOptions returns the options of most deployments in these tests.
func fleetOptions() demoOptions {
	return demoOptions{TimeScale: 0.05, IdleTime: time.Minute, HostLag: 200 * time.Millisecond}
}

// longAckOptions returns fleetOptions with a long timeout for acknowledgements, for tests that count
// executions: routers then do not treat agents that a busy machine delays as silent.
func longAckOptions() demoOptions {
	opt := fleetOptions()
	opt.MaxAckTimeout = 5 * time.Second
	return opt
}
