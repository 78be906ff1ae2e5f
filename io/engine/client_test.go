package engine_test

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/engine"
)

var addr = netip.MustParseAddrPort("127.0.0.1:9000")

const model fleet.ModelID = "notices@1"

// start runs an engine, loads one model and returns the engine with a client. Both are
// closed when the test ends.
func start(t *testing.T, opts fakes.EngineOptions) (*fakes.Engine, *engine.Client) {
	t.Helper()
	fake := fakes.NewEngine(opts)
	network := &fakes.Net{}
	require.NoError(t, fake.StartIn(network, addr))
	client := engine.NewWithOptions(addr, engine.Options{Dial: network.Dial})
	t.Cleanup(func() {
		client.Close()
		fake.Close()
		synctest.Wait()
	})
	outcome, err := client.Order(t.Context(), loadOrder("first", model))
	require.NoError(t, err)
	require.Equal(t, fleet.OutcomeDone, outcome)
	return fake, client
}

// loadOrder returns an order that loads a model with 40 GiB of memory in all.
func loadOrder(id fleet.OrderID, model fleet.ModelID) fleet.Order {
	return fleet.Order{ID: id, Action: fleet.ActionLoadModel, Model: model, Memory: 30 * fleet.GiB, KVCache: 10 * fleet.GiB}
}

// request returns a completion request that generates the given number of tokens.
func request(id fleet.RequestID, tokens int, stream bool) engine.Request {
	body := fmt.Sprintf(`{"model":%q,"prompt":"close our street","max_tokens":%d,"stream":%t}`, model, tokens, stream)
	return engine.Request{
		ID: id, Path: engine.PathCompletions, ContentType: "application/json", Body: []byte(body), Stream: stream,
	}
}

// readAll reads a stream to its end and returns the text and the error of Next. It checks
// that the indexes of the chunks count up from first.
func readAll(t *testing.T, s *engine.Stream, first uint64) (string, error) {
	t.Helper()
	text := ""
	for next := first; ; next++ {
		chunk, err := s.Next()
		if err != nil {
			return text, err
		}
		require.Equal(t, next, chunk.Index)
		text += string(chunk.Payload)
	}
}

// generate sends a request and returns its complete answer.
func generate(t *testing.T, client *engine.Client, req engine.Request) string {
	t.Helper()
	s, err := client.Generate(t.Context(), req)
	require.NoError(t, err)
	defer s.Close()
	text, err := readAll(t, s, 0)
	require.ErrorIs(t, err, io.EOF)
	return text
}

// TestGenerate checks that repeated requests get the same answer, streamed or not.
func TestGenerate(t *testing.T) {
	cases := map[string]bool{"streamed": true, "whole": false}
	for name, stream := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake, client := start(t, fakes.EngineOptions{})
				first := generate(t, client, request("a", 5, stream))
				require.Equal(t, 1, fake.ExecutionCount("a"))
				require.Equal(t, first, generate(t, client, request("a", 5, stream)), "the answer depends only on the prompt")
				require.Equal(t, 2, fake.ExecutionCount("a"))
			})
		})
	}
}

// TestGenerateRefused requests a model that is not loaded: the engine executes nothing.
func TestGenerateRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		req := request("a", 5, true)
		req.Target.Model = "other@1"
		s, err := client.Generate(t.Context(), req)
		require.NoError(t, err)
		defer s.Close()
		chunk, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, 404, chunk.Status)
		require.Empty(t, fake.Executions())
	})
}

// TestResumeAfterFaults resumes a stream that went silent or broke off. The engine does not
// execute the request again, and both parts together are the complete answer.
func TestResumeAfterFaults(t *testing.T) {
	cases := map[string]struct {
		faults fakes.EngineFaults
		want   error
	}{
		"silent":      {faults: fakes.EngineFaults{SilentFromChunk: 3}, want: engine.ErrIdleTimeout},
		"truncated":   {faults: fakes.EngineFaults{TruncateFromChunk: 3}, want: engine.ErrTruncated},
		"lost answer": {faults: fakes.EngineFaults{LoseAnswers: 1}, want: engine.ErrResponseLost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake, client := start(t, fakes.EngineOptions{})
				fake.SetFaults(tc.faults)
				s, err := client.Generate(t.Context(), request("a", 6, true))
				require.NoError(t, err)
				defer s.Close()
				text, chunks := "", uint64(0)
				chunk, err := s.Next()
				for ; err == nil; chunk, err = s.Next() {
					text += string(chunk.Payload)
					chunks++
				}
				require.ErrorIs(t, err, tc.want)
				require.NotErrorIs(t, err, io.EOF, "a broken connection is not the end of the answer")

				resumed, err := client.Resume(t.Context(), "a", chunks)
				require.NoError(t, err)
				defer resumed.Close()
				rest, err := readAll(t, resumed, chunks)
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, 1, fake.ExecutionCount("a"), "resuming executes nothing")
				fake.SetFaults(fakes.EngineFaults{})
				require.Equal(t, generate(t, client, request("a", 6, true)), text+rest)
			})
		})
	}
}

// TestResumeNotStreamed resumes a request whose answer is not streamed and was not received in time:
// the whole answer is returned without another execution.
func TestResumeNotStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		fake.SetFaults(fakes.EngineFaults{SilentFromChunk: 1})
		s, err := client.Generate(t.Context(), request("a", 6, false))
		require.NoError(t, err)
		defer s.Close()
		_, err = s.Next()
		require.ErrorIs(t, err, engine.ErrIdleTimeout)
		resumed, err := client.Resume(t.Context(), "a", 0)
		require.NoError(t, err)
		defer resumed.Close()
		text, err := readAll(t, resumed, 0)
		require.ErrorIs(t, err, io.EOF)
		require.Contains(t, text, `"completion_tokens":6`)
		require.Equal(t, 1, fake.ExecutionCount("a"))
	})
}

// TestUnknownStream resumes and cancels a request that the engine does not know, and then calls
// an engine that refuses connections.
func TestUnknownStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		_, err := client.Resume(t.Context(), "a", 0)
		require.ErrorIs(t, err, engine.ErrUnknownStream)
		require.ErrorIs(t, client.Cancel(t.Context(), "a"), engine.ErrUnknownStream)
		fake.SetFaults(fakes.EngineFaults{Refuse: true})
		_, err = client.Resume(t.Context(), "a", 0)
		require.ErrorIs(t, err, engine.ErrUnreachable)
		_, err = client.Generate(t.Context(), request("a", 5, true))
		require.ErrorIs(t, err, engine.ErrUnreachable)
	})
}

// TestCancel cancels a running request.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		s, err := client.Generate(t.Context(), request("a", 1_000_000, true))
		require.NoError(t, err)
		defer s.Close()
		_, err = s.Next()
		require.NoError(t, err)
		require.NoError(t, client.Cancel(t.Context(), "a"))
		_, err = readAll(t, s, 1)
		require.ErrorIs(t, err, engine.ErrTruncated)
		synctest.Wait()
		require.Equal(t, fakes.ExecutionCancelled, fake.Executions()[0].End)
	})
}

// TestExportImport exports a running request from one engine and continues it on another.
func TestExportImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, source := start(t, fakes.EngineOptions{})
		targetEngine, target := start(t, fakes.EngineOptions{})
		s, err := source.Generate(t.Context(), request("a", 50, true))
		require.NoError(t, err)
		defer s.Close()
		chunk, err := s.Next()
		require.NoError(t, err)
		cache, err := source.ExportKVCache(t.Context(), "a")
		require.NoError(t, err)
		require.NoError(t, source.Cancel(t.Context(), "a"))
		require.NoError(t, target.ImportKVCache(t.Context(), "a", cache))
		resumed, err := target.Resume(t.Context(), "a", 1)
		require.NoError(t, err)
		defer resumed.Close()
		rest, err := readAll(t, resumed, 1)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, generate(t, target, request("a", 50, true)), string(chunk.Payload)+rest)
		require.Positive(t, targetEngine.Executions()[0].FromToken)
	})
}

// TestOrderFaults checks the outcome of an order, and the models that the engine then holds, for
// each fault of the engine.
func TestOrderFaults(t *testing.T) {
	cases := map[string]struct {
		faults  fakes.EngineFaults
		outcome fleet.Outcome
		err     error
		// models is the number of models that the engine holds at the end.
		wantModels int
	}{
		"none":        {outcome: fleet.OutcomeDone, wantModels: 2},
		"load fails":  {faults: fakes.EngineFaults{FailLoads: 1}, outcome: fleet.OutcomeFailed, wantModels: 1},
		"lost answer": {faults: fakes.EngineFaults{LoseOrderAnswers: 1}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost, wantModels: 2},
		"killed":      {faults: fakes.EngineFaults{KillDuringLoad: 1}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost},
		"refused":     {faults: fakes.EngineFaults{Refuse: true}, outcome: fleet.OutcomeFailed, err: engine.ErrUnreachable, wantModels: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake, client := start(t, fakes.EngineOptions{})
				fake.SetFaults(tc.faults)
				outcome, err := client.Order(t.Context(), loadOrder("second", "other@1"))
				require.Equal(t, tc.outcome, outcome)
				require.ErrorIs(t, err, tc.err)
				fake.SetFaults(fakes.EngineFaults{})
				require.NoError(t, fake.Restart())
				state, err := client.State(t.Context())
				require.NoError(t, err)
				require.Len(t, state.Models, tc.wantModels)
			})
		})
	}
}

// TestOrderIsIdempotent sends an order twice: the engine executes it once.
func TestOrderIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		for range 2 {
			outcome, err := client.Order(t.Context(), loadOrder("first", model))
			require.NoError(t, err)
			require.Equal(t, fleet.OutcomeDone, outcome)
		}
		require.Len(t, fake.Loads(), 1)
		require.Equal(t, 40*fleet.GiB, fake.PeakMemory())
	})
}

// TestOvercommitIsRecorded checks that the fake engine counts orders that exceed its memory.
func TestOvercommitIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{Memory: 100 * fleet.GiB})
		for _, id := range []fleet.ModelID{"b@1", "c@1"} {
			outcome, err := client.Order(t.Context(), loadOrder(fleet.OrderID(id), id))
			require.NoError(t, err)
			require.Equal(t, fleet.OutcomeDone, outcome)
		}
		require.Equal(t, 1, fake.OvercommitCount())
		require.Equal(t, 120*fleet.GiB, fake.PeakMemory())
		require.Equal(t, 1, fakes.MaxReplicas(model, fake, emptyEngine(t)))
	})
}

// emptyEngine returns an engine that has never held a model.
func emptyEngine(t *testing.T) *fakes.Engine {
	t.Helper()
	return fakes.NewEngine(fakes.EngineOptions{})
}

// TestFences checks that an order with an outdated fence is refused by an engine that checks
// fences, and executed by one that does not.
func TestFences(t *testing.T) {
	cases := map[string]struct {
		// fenced reports whether the engine checks fences.
		fenced bool
		want   fleet.Outcome
	}{
		"checked": {fenced: true, want: fleet.OutcomeFenced},
		"ignored": {want: fleet.OutcomeDone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, client := start(t, fakes.EngineOptions{Fenced: tc.fenced})
				order := fleet.Order{ID: "new", Action: fleet.ActionSetRole, Fence: fleet.Fence{Incarnation: 2}}
				outcome, err := client.Order(t.Context(), order)
				require.NoError(t, err)
				require.Equal(t, fleet.OutcomeDone, outcome)
				order.ID, order.Fence.Incarnation = "old", 1
				outcome, err = client.Order(t.Context(), order)
				require.NoError(t, err)
				require.Equal(t, tc.want, outcome)
			})
		})
	}
}

// TestService calls a plain service.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		req := engine.Request{ID: "a", Path: engine.PathServices + "bookings/confirm", Body: []byte("{}")}
		s, err := client.CallService(t.Context(), req)
		require.NoError(t, err)
		defer s.Close()
		text, err := readAll(t, s, 0)
		require.ErrorIs(t, err, io.EOF)
		require.JSONEq(t, `{"service":"bookings","request":"a","run":1}`, text)
		fake.SetFaults(fakes.EngineFaults{LoseAnswers: 1})
		lost, err := client.CallService(t.Context(), req)
		require.NoError(t, err)
		defer lost.Close()
		_, err = lost.Next()
		require.ErrorIs(t, err, engine.ErrResponseLost)
		require.Equal(t, 2, fake.ExecutionCount("a"))
	})
}
