package engine_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/engine"
)

// follow sends a request and reads its answer through a Follower. It returns the text and
// the error of Next.
func follow(t *testing.T, client *engine.Client, req engine.Request) (string, error) {
	t.Helper()
	f, err := client.Follow(t.Context(), req)
	require.NoError(t, err)
	defer f.Close()
	text := ""
	for next := uint64(0); ; next++ {
		chunk, err := f.Next()
		if err != nil {
			return text, err
		}
		require.Equal(t, next, chunk.Index)
		text += string(chunk.Payload)
	}
}

// TestFollow checks for each fault that a followed request ends with the complete answer or the
// expected error, and how often the engine executes it.
func TestFollow(t *testing.T) {
	service := engine.Request{ID: "a", Path: engine.PathServices + "bookings/confirm"}
	cases := map[string]struct {
		req            engine.Request
		faults         fakes.EngineFaults
		want           error
		wantExecutions int
	}{
		"streamed":             {req: request("a", 6, true), want: io.EOF, wantExecutions: 1},
		"silent":               {req: request("a", 6, true), faults: fakes.EngineFaults{SilentFromChunk: 3}, want: io.EOF, wantExecutions: 1},
		"truncated":            {req: request("a", 6, true), faults: fakes.EngineFaults{TruncateFromChunk: 3}, want: io.EOF, wantExecutions: 1},
		"lost answer":          {req: request("a", 6, true), faults: fakes.EngineFaults{LoseAnswers: 1}, want: io.EOF, wantExecutions: 1},
		"wrong response":       {req: request("a", 6, true), faults: fakes.EngineFaults{CrossAnswers: 1}, want: io.EOF, wantExecutions: 1},
		"long, not streamed":   {req: request("a", 6000, false), want: io.EOF, wantExecutions: 1},
		"silent, not streamed": {req: request("a", 6, false), faults: fakes.EngineFaults{SilentFromChunk: 1}, want: io.EOF, wantExecutions: 1},
		"no resume, slow":      {req: request("a", 6, true), faults: fakes.EngineFaults{NoResume: true, Slowdown: 1000}, want: io.EOF, wantExecutions: 1},
		"no resume, broken":    {req: request("a", 6, true), faults: fakes.EngineFaults{NoResume: true, TruncateFromChunk: 3}, want: engine.ErrResponseLost, wantExecutions: 1},
		"request swallowed":    {req: request("a", 6, true), faults: fakes.EngineFaults{Silent: true}, want: engine.ErrResponseLost},
		"service":              {req: service, want: io.EOF, wantExecutions: 1},
		"slow service":         {req: service, faults: fakes.EngineFaults{Slowdown: 1000}, want: io.EOF, wantExecutions: 1},
		"silent service":       {req: service, faults: fakes.EngineFaults{SilentFromChunk: 1}, want: engine.ErrResponseLost, wantExecutions: 1},
		"lost service":         {req: service, faults: fakes.EngineFaults{LoseAnswers: 1}, want: engine.ErrResponseLost, wantExecutions: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake, client := start(t, fakes.EngineOptions{})
				generate(t, client, request("other", 6, tc.req.Stream))
				fake.SetFaults(tc.faults)
				text, err := follow(t, client, tc.req)
				require.ErrorIs(t, err, tc.want)
				require.Equal(t, tc.wantExecutions, fake.ExecutionCount("a"))
				if !errors.Is(tc.want, io.EOF) {
					require.NotErrorIs(t, err, io.EOF, "a broken connection is not the end of the answer")
					return
				}
				fake.SetFaults(fakes.EngineFaults{})
				again, err := follow(t, client, tc.req)
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, again, strings.Replace(text, `"run":1`, `"run":2`, 1))
			})
		})
	}
}

// TestOrderIsSentAgainAfterSilence checks that an order without an answer within the idle
// timeout is sent again.
func TestOrderIsSentAgainAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, client := start(t, fakes.EngineOptions{})
		fake.SetFaults(fakes.EngineFaults{Silent: true})
		go func() {
			time.Sleep(engine.DefaultIdleTimeout / 2)
			fake.SetFaults(fakes.EngineFaults{})
		}()
		outcome, err := client.Order(t.Context(), loadOrder("second", "other@1"))
		require.NoError(t, err)
		require.Equal(t, fleet.OutcomeDone, outcome)
		require.Len(t, fake.Loads(), 2)
	})
}

// TestAnswersWithoutAnEnd checks that an answer that ends before its end marker or its
// announced length counts as truncated.
func TestAnswersWithoutAnEnd(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"events": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			_, _ = io.WriteString(w, "data: {}\n\n")
		},
		"incomplete event": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {}\n\ndata: [DONE]\n")
		},
		"short body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{}")
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakes.Net{}
				ln, err := network.Listen(addr)
				require.NoError(t, err)
				srv := &http.Server{Handler: serve}
				go srv.Serve(ln)
				defer srv.Close()
				client := engine.NewWithOptions(addr, engine.Options{Dial: network.Dial})
				defer client.Close()
				s, err := client.Generate(t.Context(), request("a", 5, true))
				require.NoError(t, err)
				defer s.Close()
				_, err = readAll(t, s, 0)
				require.ErrorIs(t, err, engine.ErrTruncated)
				require.NotErrorIs(t, err, io.EOF)
			})
		})
	}
}
