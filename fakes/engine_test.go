package fakes_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/engine"
)

func stringReader(s string) io.Reader { return strings.NewReader(s) }

// fixture is an engine with a weight store and a client, connected by an in-memory network.
type fixture struct {
	engine *fakes.Engine
	store  *fakes.Store
	client *engine.Client
}

func newFixture(t *testing.T, opts fakes.EngineOptions, store fakes.StoreOptions) fixture {
	t.Helper()
	network := &fakes.Net{}
	f := fixture{store: fakes.NewStore(store)}
	require.NoError(t, f.store.StartIn(network, proxyAddr))
	opts.StoreAddr, opts.Dial = proxyAddr, network.Dial
	f.engine = fakes.NewEngine(opts)
	require.NoError(t, f.engine.StartIn(network, targetAddr))
	f.client = engine.NewWithOptions(targetAddr, engine.Options{Dial: network.Dial})
	t.Cleanup(func() {
		f.client.Close()
		f.engine.Close()
		f.store.Close()
		synctest.Wait()
	})
	return f
}

// load loads a model and returns the duration.
func (f fixture) load(t *testing.T, model fleet.ModelID) time.Duration {
	began := time.Now()
	order := fleet.Order{ID: fleet.OrderID(model), Action: fleet.ActionLoadModel, Model: model, Memory: fleet.GiB}
	outcome, err := f.client.Order(t.Context(), order)
	if err != nil || outcome != fleet.OutcomeDone {
		t.Errorf("load %s: %s, %v", model, outcome, err)
	}
	return time.Since(began)
}

// run executes a request for model m and returns the duration.
func (f fixture) run(t *testing.T, id fleet.RequestID, prompt string, priority int) time.Duration {
	began := time.Now()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":10}`, prompt)
	s, err := f.client.Generate(t.Context(), engine.Request{
		ID: id, Path: engine.PathCompletions, Body: []byte(body), Priority: priority,
	})
	if err != nil {
		t.Error(err)
		return 0
	}
	defer s.Close()
	if _, err := s.Next(); err != nil {
		t.Error(err)
	}
	return time.Since(began)
}

// TestLoadTime checks the duration of a model load with and without a fetch from the weight
// store.
func TestLoadTime(t *testing.T) {
	cases := map[string]struct {
		opts     fakes.EngineOptions
		store    fakes.StoreFaults
		min, max time.Duration
	}{
		"from the store":    {min: 6 * time.Second, max: 9 * time.Second},
		"cached":            {opts: fakes.EngineOptions{CachedModels: []fleet.ModelID{"m@1"}}, min: 4 * time.Second, max: 8 * time.Second},
		"from a slow store": {store: fakes.StoreFaults{Slowdown: 10}, min: 17 * time.Second, max: 21 * time.Second},
		"scaled":            {opts: fakes.EngineOptions{TimeScale: 0.1}, min: 1700 * time.Millisecond, max: 2100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, tc.opts, fakes.StoreOptions{})
				f.store.SetFaults(tc.store)
				took := f.load(t, "m@1")
				require.GreaterOrEqual(t, took, tc.min)
				require.LessOrEqual(t, took, tc.max)
			})
		})
	}
}

// TestStoreLimits starts eight loads at once, which exceeds the limits of the weight store.
func TestStoreLimits(t *testing.T) {
	cases := map[string]struct {
		opts          fakes.StoreOptions
		maxConcurrent int
		minLastStart  time.Duration
	}{
		"excess loads slowed down": {opts: fakes.StoreOptions{LoadsPerSecond: 1000}, maxConcurrent: 8},
		"excess loads rejected":    {opts: fakes.StoreOptions{LoadsPerSecond: 1000, RejectExcess: true}, maxConcurrent: 4, minLastStart: 1300 * time.Millisecond},
		"rate limit":               {opts: fakes.StoreOptions{LoadsPerSecond: 0.5}, maxConcurrent: 4, minLastStart: 8 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fakes.EngineOptions{}, tc.opts)
				began := time.Now()
				for i := range 8 {
					go f.load(t, fleet.ModelID(fmt.Sprintf("m%d@1", i)))
				}
				time.Sleep(time.Minute)
				require.Equal(t, tc.maxConcurrent, f.store.PeakConcurrentLoads())
				loads := f.store.Loads()
				last := loads[len(loads)-1]
				require.Equal(t, 200, last.Status)
				require.GreaterOrEqual(t, last.Began.Sub(began), tc.minLastStart)
			})
		})
	}
}

// TestCostModel checks the duration of a request that runs alone, of one whose prompt is
// cached, and of two that share the batch.
func TestCostModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fakes.EngineOptions{}, fakes.StoreOptions{})
		f.load(t, "m@1")
		prompt := strings.Repeat("a street party ", 1000)
		alone := f.run(t, "alone", prompt, 0)
		require.Equal(t, 10*20*time.Millisecond+3000*200*time.Microsecond, alone)
		require.Less(t, f.run(t, "cached", prompt, 0), alone-500*time.Millisecond)
		require.Equal(t, 2992, f.engine.Executions()[1].CachedTokens)
		done := make(chan time.Duration)
		for i := range 2 {
			go func() { done <- f.run(t, fleet.RequestID(fmt.Sprint(i)), "", 0) }()
		}
		require.Greater(t, <-done, 10*20*time.Millisecond)
		<-done
	})
}

// TestPriorities checks that a queued request of higher priority overtakes one that was
// queued before it.
func TestPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fakes.EngineOptions{MaxBatch: 1}, fakes.StoreOptions{})
		f.load(t, "m@1")
		for i, id := range []fleet.RequestID{"first", "patient", "urgent"} {
			go f.run(t, id, "", i)
			synctest.Wait()
		}
		time.Sleep(time.Minute)
		var order []fleet.RequestID
		for _, run := range f.engine.Executions() {
			order = append(order, run.Request)
		}
		require.Equal(t, []fleet.RequestID{"first", "urgent", "patient"}, order)
	})
}

// TestStateLags checks that the reported state lags by StateLag.
func TestStateLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fakes.EngineOptions{StateLag: 5 * time.Second}, fakes.StoreOptions{})
		f.load(t, "m@1")
		loadState := func() fleet.LoadState {
			state, err := f.client.State(t.Context())
			require.NoError(t, err)
			require.GreaterOrEqual(t, time.Since(state.AsOf), 5*time.Second)
			if len(state.Models) == 0 {
				return ""
			}
			return state.Models[0].State
		}
		require.Equal(t, fleet.LoadStateLoading, loadState())
		time.Sleep(5 * time.Second)
		require.Equal(t, fleet.LoadStateWarm, loadState())
	})
}

// TestCacheEvents checks the events of three blocks in a cache of two, the last of which is
// an eviction.
func TestCacheEvents(t *testing.T) {
	cases := map[string]struct {
		faults fakes.EngineFaults
		want   []uint64
	}{
		"all events":     {want: []uint64{1, 2, 3, 4}},
		"dropped events": {faults: fakes.EngineFaults{CacheEventDropEvery: 3}, want: []uint64{1, 2, 4}},
		"delayed events": {faults: fakes.EngineFaults{CacheEventDelay: time.Minute}, want: []uint64{1, 2, 3, 4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fakes.EngineOptions{MaxPrefixBlocks: 2}, fakes.StoreOptions{})
				f.load(t, "m@1")
				f.engine.SetFaults(tc.faults)
				var got []uint64
				var lastEvent time.Time
				result := make(chan error)
				go func() {
					result <- f.client.CacheEvents(t.Context(), func(ev engine.CacheEvent) {
						got, lastEvent = append(got, ev.Seq), time.Now()
					})
				}()
				synctest.Wait()
				f.run(t, "a", strings.Repeat("word ", 48), 0)
				executedAt := f.engine.Executions()[0].Began
				time.Sleep(2 * time.Minute)
				f.engine.Kill()
				require.Error(t, <-result)
				require.Equal(t, tc.want, got)
				require.GreaterOrEqual(t, lastEvent.Sub(executedAt), tc.faults.CacheEventDelay)
			})
		})
	}
}

// TestLogOutlivesTheEngine reads the log of a killed engine, whose last line is incomplete.
func TestLogOutlivesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		f := newFixture(t, fakes.EngineOptions{Endpoint: "e1", Log: &log, Memory: fleet.GiB}, fakes.StoreOptions{})
		f.load(t, "m@1")
		f.load(t, "n@1")
		f.run(t, "a", "", 0)
		// The execution is logged as ended after its answer has been received.
		synctest.Wait()
		f.engine.Kill()
		lines, err := fakes.ReadLog(strings.NewReader(log.String() + `{"at":`))
		require.NoError(t, err)
		var kinds []fakes.LogKind
		for _, line := range lines {
			kinds = append(kinds, line.Kind)
		}
		require.Equal(t, []fakes.LogKind{
			fakes.LogLoadBegan, fakes.LogLoadWarm, fakes.LogOvercommit, fakes.LogLoadBegan, fakes.LogLoadWarm,
			fakes.LogExecutionBegan, fakes.LogExecutionEnded, fakes.LogLoadEnded, fakes.LogLoadEnded,
		}, kinds)
		require.Equal(t, fakes.ExecutionDone, lines[6].Execution.End)
		require.Equal(t, 2*fleet.GiB, lines[6].UsedMemory)
		require.Equal(t, 1, fakes.MaxReplicas("m@1", f.engine))
	})
}

// TestMaxReplicas checks that a killed engine no longer counts as holding its models.
func TestMaxReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newFixture(t, fakes.EngineOptions{}, fakes.StoreOptions{})
		second := newFixture(t, fakes.EngineOptions{}, fakes.StoreOptions{})
		first.load(t, "m@1")
		first.engine.Kill()
		second.load(t, "m@1")
		require.Equal(t, 1, fakes.MaxReplicas("m@1", first.engine, second.engine))
		require.NoError(t, first.engine.Restart())
		first.load(t, "m@1")
		require.Equal(t, 2, fakes.MaxReplicas("m@1", first.engine, second.engine))
	})
}
