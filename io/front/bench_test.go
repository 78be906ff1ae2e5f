package front_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"chervilreach/io/front"

	"github.com/stretchr/testify/require"
)

// Upper bounds on allocations. Unlike times, allocations are the same on every machine.
const (
	maxCallAllocs  = 80
	maxChunkAllocs = 0
)

// discardWriter is a response writer that discards the response. It supports deadlines as a
// connection does, because the errors for unsupported deadlines would count as allocations.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header            { return d.header }
func (discardWriter) Write(b []byte) (int, error)      { return len(b), nil }
func (discardWriter) WriteHeader(int)                  {}
func (discardWriter) Flush()                           {}
func (discardWriter) SetReadDeadline(time.Time) error  { return nil }
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }

// streamEvents returns a dispatcher that responds with n events of one token each.
func streamEvents(n int) dispatcherFunc {
	event := []byte(`data: {"choices":[{"index":0,"delta":{"content":"street"}}]}` + "\n\n")
	return func(_ context.Context, _ *front.Call, out front.Sink) error {
		if err := out.Begin(http.StatusOK, "text/event-stream"); err != nil {
			return err
		}
		for range n {
			if err := out.Chunk(event); err != nil {
				return err
			}
		}
		return nil
	}
}

// callAllocs returns the average number of allocations for one call.
func callAllocs(f *front.Front, body string) float64 {
	r := request(http.MethodPost, chatPath, body)
	return testing.AllocsPerRun(200, func() {
		r.Body = io.NopCloser(strings.NewReader(body))
		f.ServeHTTP(discardWriter{header: http.Header{}}, r)
	})
}

// TestCallAllocs bounds the memory allocations of one call.
func TestCallAllocs(t *testing.T) {
	got := callAllocs(newFront(answerOK), validBody)
	t.Log("allocations per call:", got)
	require.LessOrEqual(t, got, float64(maxCallAllocs))
}

// TestChunkAllocs bounds the memory allocations for each chunk of a streamed response.
func TestChunkAllocs(t *testing.T) {
	const chunkCount = 1000
	got := callAllocs(newFront(streamEvents(chunkCount)), streamedBody) - callAllocs(newFront(streamEvents(1)), streamedBody)
	t.Log("allocations per chunk:", got/(chunkCount-1))
	require.LessOrEqual(t, math.Round(got/(chunkCount-1)), float64(maxChunkAllocs))
}

func BenchmarkCall(b *testing.B) {
	f := newFront(answerOK)
	b.ReportAllocs()
	for b.Loop() {
		f.ServeHTTP(discardWriter{header: http.Header{}}, request(http.MethodPost, chatPath, validBody))
	}
}

// startLoopbackServer serves a front on a loopback address until the benchmark ends and returns the
// URL for chat completions.
func startLoopbackServer(b *testing.B, dispatcher dispatcherFunc) string {
	server := front.NewServer(newFront(dispatcher), 0)
	addr, err := server.Start(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(b, err)
	b.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return "http://" + addr.String() + chatPath
}

// BenchmarkServer measures the throughput of short requests from concurrent callers over
// loopback.
func BenchmarkServer(b *testing.B) {
	url := startLoopbackServer(b, answerOK)
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			roundTrip(b, transport, url, validBody)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkChunk measures the streaming of a response over loopback. One operation is one
// chunk.
func BenchmarkChunk(b *testing.B) {
	url := startLoopbackServer(b, streamEvents(b.N))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	roundTrip(b, transport, url, streamedBody)
}

// roundTrip sends one request and reads the whole answer.
func roundTrip(b *testing.B, transport http.RoundTripper, url, body string) {
	r := request(http.MethodPost, url, body)
	r.RequestURI = ""
	res, err := transport.RoundTrip(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Error(res.Status, err)
	}
}

func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		validBody, streamedBody, `{"model":"notices@v1:derby","max_tokens":null}`, `{"model" : "\u006eotices", "a":[{}]}`,
		`{"Model":"x"}`, `{"model":"notices","stream":true}}`, "{\"model\":\"\xff\"}", `[`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(checkBody)
}

// checkBody checks that a request body is either refused with a 4xx status or becomes a call
// whose body differs only in the value of "model".
func checkBody(t *testing.T, body []byte) {
	var got *front.Call
	f := newFront(func(ctx context.Context, call *front.Call, out front.Sink) error {
		got = call
		return answerOK(ctx, call, out)
	})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request(http.MethodPost, chatPath, string(body)))
	if got == nil {
		require.GreaterOrEqual(t, w.Code, http.StatusBadRequest)
		require.Less(t, w.Code, http.StatusInternalServerError)
		return
	}
	before, after := fieldsOf(t, body), fieldsOf(t, got.Body)
	require.Contains(t, string(after["model"]), string(got.Target.Model))
	delete(before, "model")
	delete(after, "model")
	require.Equal(t, before, after)
}
