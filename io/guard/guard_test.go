package guard_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/guard"
)

// Guards against a handler whose panic or return leaves a request without an answer, a counted
// outcome and a line.
func TestHandlerThatEndsWithoutOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		// status is 0 if the connection is closed before the answer, and cut reports whether
		// it is closed within it.
		status  int
		cut     bool
		outcome guard.Outcome
		message string
	}{
		"answered": {func(w http.ResponseWriter, _ *http.Request) {
			guard.End(w, guard.Answered)
			_, _ = io.WriteString(w, "whole")
		}, 200, false, guard.Answered, ""},
		"cut off": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			guard.End(w, guard.Cut)
			panic(http.ErrAbortHandler)
		}, 200, true, guard.Cut, ""},
		"returns from a cut off answer": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			guard.End(w, guard.Cut)
		}, 200, true, guard.Cut, ""},
		"returns without a caller": {func(w http.ResponseWriter, _ *http.Request) {
			guard.End(w, guard.Left)
		}, 0, false, guard.Left, ""},
		"answers nothing": {func(w http.ResponseWriter, _ *http.Request) {
			guard.End(w, guard.Answered)
		}, 500, false, guard.Unknown, guard.MessageUnknown},
		"panic before the answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Seal", "s")
			panic("bug")
		}, 500, false, guard.Panicked, guard.MessagePanic},
		"panic within the answer": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic("bug")
		}, 200, true, guard.Panicked, guard.MessagePanic},
		"panic after an outcome": {func(w http.ResponseWriter, _ *http.Request) {
			guard.End(w, guard.Answered)
			panic("bug")
		}, 500, false, guard.Panicked, guard.MessagePanic},
		"returns without an answer": {func(http.ResponseWriter, *http.Request) {}, 500, false, guard.Unknown, guard.MessageUnknown},
		"returns without an outcome": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
		}, 200, false, guard.Unknown, guard.MessageUnknown},
		"aborted without an outcome": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, 0, false, guard.Unknown, guard.MessageUnknown},
		"aborted though answered": {func(w http.ResponseWriter, _ *http.Request) {
			guard.End(w, guard.Answered)
			panic(http.ErrAbortHandler)
		}, 0, false, guard.Unknown, guard.MessageUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			registry := metrics.NewRegistry()
			g := &guard.Guard{Log: zerolog.New(&log), Metrics: registry, Prefix: "requests.", IDHeader: "X-Id"}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.Serve(w, r, c.handler) }))
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, nil)
			require.NoError(t, err)
			req.Header.Set("X-Id", "r-1")
			resp, err := server.Client().Do(req)
			if c.status == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				defer func() { _ = resp.Body.Close() }()
				assert.Equal(t, c.status, resp.StatusCode)
				_, err = io.ReadAll(resp.Body)
				assert.Equal(t, c.cut, err != nil)
			}
			if c.status == http.StatusInternalServerError {
				assert.Empty(t, resp.Header.Get("X-Seal"))
			}
			// The handler has ended when the server is closed.
			server.Close()
			counts := make(map[string]int64)
			registry.Each(func(name string, m any) { counts[name] = m.(metrics.Counter).Count() })
			assert.Equal(t, map[string]int64{"requests." + string(c.outcome): 1}, counts)
			if c.message == "" {
				assert.Empty(t, log.String())
				return
			}
			assert.Contains(t, log.String(), c.message)
			assert.Contains(t, log.String(), `"request":"r-1"`)
		})
	}
}

// Guards against a request without an outcome that nobody notices when the process ends.
func TestRequestsAreOpenUntilTheirOutcome(t *testing.T) {
	g := &guard.Guard{Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), Prefix: "requests.", IDHeader: "X-Id"}
	inHandler, end := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Serve(w, r, func(w http.ResponseWriter, r *http.Request) {
			inHandler <- struct{}{}
			<-end
			if r.Header.Get("X-Id") == "panics" {
				panic("bug")
			}
			guard.End(w, guard.Answered)
			w.WriteHeader(http.StatusOK)
		})
	}))
	defer server.Close()
	assert.Empty(t, g.Open())
	ids := []string{"answered", "panics"}
	var callers sync.WaitGroup
	for _, id := range ids {
		callers.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set("X-Id", id)
			resp, err := server.Client().Do(req)
			if assert.NoError(t, err) {
				assert.NoError(t, resp.Body.Close())
			}
		})
		<-inHandler
	}
	assert.Equal(t, ids, g.Open())
	close(end)
	require.Eventually(t, func() bool { return len(g.Open()) == 0 }, 5*time.Second, time.Millisecond)
	callers.Wait()
}

// Guards against an answer that promises that a request has not run though it may have, whoever gave its status.
func TestNoPromiseForRequestThatMayHaveRun(t *testing.T) {
	for status, replaced := range map[int]bool{
		408: true, 421: true, 429: true, 503: true,
		200: false, 304: false, 400: false, 404: false, 409: false, 425: false, 500: false, 502: false, 504: false,
	} {
		for _, mayHaveRun := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, may have run %t", status, mayHaveRun), func(t *testing.T) {
				registry := metrics.NewRegistry()
				g := &guard.Guard{Log: zerolog.Nop(), Metrics: registry, Prefix: "requests.", IDHeader: "x-id"}
				rec := httptest.NewRecorder()
				g.Serve(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil), func(w http.ResponseWriter, _ *http.Request) {
					for name, value := range map[string]string{"X-Id": "r-1", "X-Seal": "s", "Retry-After": "1", "Content-Type": "text/plain"} {
						w.Header().Set(name, value)
					}
					guard.SetMayHaveRun(w, mayHaveRun)
					guard.End(w, guard.EndpointFailed)
					w.WriteHeader(status)
				})
				kept := http.Header{"X-Id": {"r-1"}, "X-Seal": {"s"}, "Retry-After": {"1"}, "Content-Type": {"text/plain"}}
				want, count := status, int64(0)
				if replaced && mayHaveRun {
					want, count = http.StatusBadGateway, 1
					kept = http.Header{"X-Id": {"r-1"}, "Content-Type": {"text/plain"}}
				}
				assert.Equal(t, want, rec.Code)
				assert.Equal(t, kept, rec.Result().Header)
				assert.Equal(t, count, metrics.GetOrRegisterCounter("requests.status-replaced", registry).Count())
			})
		}
	}
}
