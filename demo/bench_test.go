package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
	"chervilreach/fakes"
	"chervilreach/sample"
)

// benchInterval is the interval between the requests of BenchmarkOverhead, benchClients the
// number of concurrent clients of BenchmarkRate.
const (
	benchTimeScale = 0.01
	benchModel     = fleet.ModelID("answer-closures@1")
	benchInterval  = time.Second / 30
	benchClients   = 64
)

// benchRequest is the body of a completion request.
type benchRequest struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// benchFixture is a deployment with one router and one warm model. direct is the address of
// the engine that holds the model.
type benchFixture struct {
	fleet  *demo.Fleet
	direct netip.AddrPort
	client *http.Client
}

func newBenchFixture(b *testing.B) *benchFixture {
	ctx := context.Background()
	f, err := demo.Start(ctx, demo.Options{
		Example: sample.Association, RouterCount: 1, EnginesPerDomain: 1, TimeScale: benchTimeScale, IdleTime: time.Hour,
		ConfigureEngine: func(o *fakes.EngineOptions) {
			o.TokenTime, o.ExtraTokenTime, o.PrefillTokenTime = time.Microsecond, time.Nanosecond, time.Nanosecond
		},
	})
	require.NoError(b, err)
	b.Cleanup(func() { require.NoError(b, f.Close()) })
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	require.NoError(b, f.AwaitReady(ready))
	r := &benchFixture{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients}}}
	r.post(b, f.RouterAddrs[0], 1, false)
	for _, e := range f.Endpoints {
		for _, l := range e.Engine.Loads() {
			if l.Model == benchModel && l.Ended.IsZero() {
				r.direct = e.Engine.Addr()
			}
		}
	}
	require.True(b, r.direct.IsValid())
	return r
}

// post sends a completion request to the router or the engine at addr and reads the whole
// answer.
func (r *benchFixture) post(b *testing.B, addr netip.AddrPort, tokens int, stream bool) {
	raw, err := json.Marshal(benchRequest{Model: benchModel, Prompt: "close", MaxTokens: tokens, Stream: stream})
	require.NoError(b, err)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/completions", addr), bytes.NewReader(raw))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+demo.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Kind", "question")
	resp, err := r.client.Do(req)
	require.NoError(b, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	require.Equal(b, http.StatusOK, resp.StatusCode, string(body))
}

// BenchmarkOverhead sends pairs of requests at a constant rate, one to the router and one
// directly to the engine, and reports the latency that router and agent add.
func BenchmarkOverhead(b *testing.B) {
	r := newBenchFixture(b)
	viaRouter, direct := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	ticker := time.NewTicker(benchInterval)
	defer ticker.Stop()
	for b.Loop() {
		<-ticker.C
		for addr, h := range map[netip.AddrPort]*hdrhistogram.Histogram{r.fleet.RouterAddrs[0]: viaRouter, r.direct: direct} {
			began := time.Now()
			r.post(b, addr, 1, false)
			require.NoError(b, h.RecordValue(time.Since(began).Microseconds()))
		}
	}
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(direct.ValueAtPercentile(q)), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(viaRouter.ValueAtPercentile(q)-direct.ValueAtPercentile(q)), fmt.Sprintf("added-p%.0f-µs", q))
	}
}

// BenchmarkRate reports the throughput of one router in short requests per second.
func BenchmarkRate(b *testing.B) {
	r := newBenchFixture(b)
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range benchClients {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				r.post(b, r.fleet.RouterAddrs[0], 1, false)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkChunk reports the CPU time that router and agent add per forwarded chunk: the
// difference between a stream through them and one directly from the engine.
func BenchmarkChunk(b *testing.B) {
	const tokens = 2000
	r := newBenchFixture(b)
	var viaRouter, direct time.Duration
	chunks := 0
	for b.Loop() {
		before := cpuTime(b)
		r.post(b, r.direct, tokens, true)
		between := cpuTime(b)
		r.post(b, r.fleet.RouterAddrs[0], tokens, true)
		direct += between - before
		viaRouter += cpuTime(b) - between
		chunks += tokens
	}
	b.ReportMetric(float64((viaRouter-direct).Nanoseconds())/float64(chunks)/1000, "added-cpu-µs/chunk")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
