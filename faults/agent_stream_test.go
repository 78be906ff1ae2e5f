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

// streamModel is the model of the tests of engine streams.
const streamModel fleet.ModelID = "notice-ashfield@2"

// streamTokens is the length of their answers.
const streamTokens = 30

// streamCase is one fault between agent and engine during a request.
type streamCase struct {
	faults fakes.EngineFaults
	// kill crashes the engine once the answer has begun.
	kill bool
	// refuse has the engine refuse connections once it runs the request.
	refuse bool
	kind   string
	// whole answers come in one piece at their end.
	whole bool
	// answered says that the caller gets the whole answer.
	answered bool
	// code is the refusal otherwise; "" is a stream cut off after its start.
	code   fleet.Code
	notRun fleet.NotRun
}

func streamCases() map[string]streamCase {
	const question, notice = "question", "notice"
	slow := fakes.EngineFaults{Slowdown: 80, NoResume: true}
	return map[string]streamCase{
		"silent before the first chunk":            {faults: fakes.EngineFaults{SilentFromChunk: 1}, kind: notice, answered: true},
		"silent in mid-stream":                     {faults: fakes.EngineFaults{SilentFromChunk: 9}, kind: notice, answered: true},
		"silent before the end mark":               {faults: fakes.EngineFaults{SilentFromChunk: streamTokens + 1}, kind: notice, answered: true},
		"cut before the first chunk":               {faults: fakes.EngineFaults{TruncateFromChunk: 1}, kind: notice, answered: true},
		"cut in mid-stream":                        {faults: fakes.EngineFaults{TruncateFromChunk: 9}, kind: notice, answered: true},
		"cut before the end mark":                  {faults: fakes.EngineFaults{TruncateFromChunk: streamTokens + 1}, kind: notice, answered: true},
		"whole answer lost":                        {faults: fakes.EngineFaults{LoseAnswers: 1}, kind: notice, whole: true, answered: true},
		"slow whole answer and no resume":          {faults: slow, kind: notice, whole: true, answered: true},
		"cut in mid-stream and no resume":          {faults: fakes.EngineFaults{TruncateFromChunk: 9, NoResume: true}, kind: notice},
		"whole answer lost and no resume":          {faults: fakes.EngineFaults{LoseAnswers: 1, NoResume: true}, kind: notice, whole: true, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine crash in mid-stream":               {kill: true, kind: notice},
		"engine crash in mid-stream, idempotent":   {kill: true, kind: question, answered: true},
		"engine unreachable while it runs":         {refuse: true, faults: fakes.EngineFaults{Slowdown: 20}, kind: notice, whole: true, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine out before the request":            {faults: fakes.EngineFaults{Outage: true}, kind: notice, code: fleet.CodeOutcomeUnknown, notRun: fleet.NotRunUnknown},
		"engine refuses connections, then request": {faults: fakes.EngineFaults{Refuse: true}, kind: notice, answered: true},
	}
}

// TestEngineStreams breaks the connection between agent and engine at each
// stage of a request: the caller gets the whole answer or an honest error, and
// nothing runs twice unless it may.
func TestEngineStreams(t *testing.T) {
	t.Parallel()
	for name, tc := range streamCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), startBound)
			defer cancel()
			f := startFleet(t, fleetOptions())
			e := warm(ctx, t, f, streamModel)
			e.Engine.SetFaults(tc.faults)
			began := func() {
				if tc.kill {
					e.Engine.Kill()
				}
			}
			answers := make(chan answer, 1)
			go func() {
				answers <- send(ctx, f, call{
					id: "job", model: streamModel, kind: tc.kind, stream: !tc.whole,
					tokens: streamTokens, prompt: name, onByte: began,
				})
			}()
			if tc.refuse {
				require.Eventually(t, func() bool { return runsOf(f, "job") > 0 }, startBound, pollPeriod)
				e.Engine.SetFaults(fakes.EngineFaults{Slowdown: 20, Refuse: true})
			}
			checkStream(t, tc, <-answers)
			if tc.kind == "notice" {
				require.LessOrEqual(t, runsOf(f, "job"), 1)
			}
			checkInvariants(t, f)
		})
	}
}

func checkStream(t *testing.T, tc streamCase, a answer) {
	t.Helper()
	if tc.answered {
		require.True(t, a.whole, "status %d, %v: %s", a.status, a.err, a.body)
		if !tc.whole {
			require.Equal(t, streamTokens+1, strings.Count(a.body, "data: "), "tokens are missing or doubled")
		}
		return
	}
	require.False(t, a.whole)
	if tc.code == "" {
		require.Equal(t, http.StatusOK, a.status)
		require.Contains(t, a.body, "event: error")
		require.NotContains(t, a.body, "[DONE]")
		return
	}
	require.Equal(t, tc.code, a.code, a.body)
	require.Equal(t, tc.notRun, a.notRun)
}

// fleetOptions are those of most tests here.
func fleetOptions() demoOptions {
	return demoOptions{TimeScale: 0.05, IdleTime: time.Minute, HostLag: 200 * time.Millisecond}
}

// calmOptions are for tests that count runs: agents that a busy machine holds up
// are not taken as silent.
func calmOptions() demoOptions {
	opt := fleetOptions()
	opt.MaxAckTimeout = 5 * time.Second
	return opt
}
