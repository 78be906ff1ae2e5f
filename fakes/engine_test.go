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

// world is an engine with a store and a client, in memory.
type fixture struct {
	engine *fakes.Engine
	store  *fakes.Store
	client *engine.Client
}

func newFixture(t *testing.T, opts fakes.EngineOptions, store fakes.StoreOptions) fixture {
	t.Helper()
	network := &fakes.Net{}
	w := fixture{store: fakes.NewStore(store)}
	require.NoError(t, w.store.StartIn(network, proxyAddr))
	opts.StoreAddr, opts.Dial = proxyAddr, network.Dial
	w.engine = fakes.NewEngine(opts)
	require.NoError(t, w.engine.StartIn(network, targetAddr))
	w.client = engine.NewWithOptions(targetAddr, engine.Options{Dial: network.Dial})
	t.Cleanup(func() {
		w.client.Close()
		w.engine.Close()
		w.store.Close()
		synctest.Wait()
	})
	return w
}

// load has a model loaded and returns the time that it took.
func (w fixture) load(t *testing.T, model fleet.ModelID) time.Duration {
	began := time.Now()
	order := fleet.Order{ID: fleet.OrderID(model), Action: fleet.ActionLoadModel, Model: model, Memory: fleet.GiB}
	outcome, err := w.client.Order(t.Context(), order)
	if err != nil || outcome != fleet.OutcomeDone {
		t.Errorf("load %s: %s, %v", model, outcome, err)
	}
	return time.Since(began)
}

// run answers a request and returns the time that it took.
func (w fixture) run(t *testing.T, id fleet.RequestID, prompt string, priority int) time.Duration {
	began := time.Now()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":10}`, prompt)
	s, err := w.client.Generate(t.Context(), engine.Request{
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

func TestLoadTime(t *testing.T) {
	cases := map[string]struct {
		opts     fakes.EngineOptions
		store    fakes.StoreFaults
		min, max time.Duration
	}{
		"from the store":  {min: 6 * time.Second, max: 9 * time.Second},
		"cached":          {opts: fakes.EngineOptions{CachedModels: []fleet.ModelID{"m@1"}}, min: 4 * time.Second, max: 8 * time.Second},
		"from a slow one": {store: fakes.StoreFaults{Slowdown: 10}, min: 17 * time.Second, max: 21 * time.Second},
		"scaled":          {opts: fakes.EngineOptions{TimeScale: 0.1}, min: 1700 * time.Millisecond, max: 2100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, tc.opts, fakes.StoreOptions{})
				w.store.SetFaults(tc.store)
				took := w.load(t, "m@1")
				require.GreaterOrEqual(t, took, tc.min)
				require.LessOrEqual(t, took, tc.max)
			})
		})
	}
}

func TestStoreLimits(t *testing.T) {
	cases := map[string]struct {
		opts   fakes.StoreOptions
		atOnce int
		last   time.Duration
	}{
		"slower beyond":  {opts: fakes.StoreOptions{LoadsPerSecond: 1000}, atOnce: 8},
		"refused beyond": {opts: fakes.StoreOptions{LoadsPerSecond: 1000, RejectExcess: true}, atOnce: 4, last: 1300 * time.Millisecond},
		"rate":           {opts: fakes.StoreOptions{LoadsPerSecond: 0.5}, atOnce: 4, last: 8 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, fakes.EngineOptions{}, tc.opts)
				began := time.Now()
				for i := range 8 {
					go w.load(t, fleet.ModelID(fmt.Sprintf("m%d@1", i)))
				}
				time.Sleep(time.Minute)
				require.Equal(t, tc.atOnce, w.store.MaxConcurrent())
				loads := w.store.Loads()
				last := loads[len(loads)-1]
				require.Equal(t, 200, last.Status)
				require.GreaterOrEqual(t, last.Began.Sub(began), tc.last)
			})
		})
	}
}

func TestCostModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, fakes.EngineOptions{}, fakes.StoreOptions{})
		w.load(t, "m@1")
		prompt := strings.Repeat("a street party ", 1000)
		alone := w.run(t, "alone", prompt, 0)
		require.Equal(t, 10*20*time.Millisecond+3000*200*time.Microsecond, alone)
		require.Less(t, w.run(t, "cached", prompt, 0), alone-500*time.Millisecond)
		require.Equal(t, 2992, w.engine.Executions()[1].CachedTokens)
		done := make(chan time.Duration)
		for i := range 2 {
			go func() { done <- w.run(t, fleet.RequestID(fmt.Sprint(i)), "", 0) }()
		}
		require.Greater(t, <-done, 10*20*time.Millisecond)
		<-done
	})
}

func TestPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, fakes.EngineOptions{MaxBatch: 1}, fakes.StoreOptions{})
		w.load(t, "m@1")
		for i, id := range []fleet.RequestID{"first", "patient", "urgent"} {
			go w.run(t, id, "", i)
			synctest.Wait()
		}
		time.Sleep(time.Minute)
		var order []fleet.RequestID
		for _, run := range w.engine.Executions() {
			order = append(order, run.Request)
		}
		require.Equal(t, []fleet.RequestID{"first", "urgent", "patient"}, order)
	})
}

func TestStateLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, fakes.EngineOptions{StateLag: 5 * time.Second}, fakes.StoreOptions{})
		w.load(t, "m@1")
		loadState := func() fleet.LoadState {
			state, err := w.client.State(t.Context())
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

func TestCacheEvents(t *testing.T) {
	cases := map[string]struct {
		faults fakes.EngineFaults
		want   []uint64
	}{
		"whole":    {want: []uint64{1, 2, 3, 4}},
		"with gap": {faults: fakes.EngineFaults{CacheDropEvery: 3}, want: []uint64{1, 2, 4}},
		"late":     {faults: fakes.EngineFaults{CacheDelay: time.Minute}, want: []uint64{1, 2, 3, 4}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, fakes.EngineOptions{MaxPrefixBlocks: 2}, fakes.StoreOptions{})
				w.load(t, "m@1")
				w.engine.SetFaults(tc.faults)
				var got []uint64
				var last time.Time
				result := make(chan error)
				go func() {
					result <- w.client.CacheEvents(t.Context(), func(ev engine.CacheEvent) {
						got, last = append(got, ev.Seq), time.Now()
					})
				}()
				synctest.Wait()
				w.run(t, "a", strings.Repeat("word ", 48), 0)
				ran := w.engine.Executions()[0].Began
				time.Sleep(2 * time.Minute)
				w.engine.Kill()
				require.Error(t, <-result)
				require.Equal(t, tc.want, got)
				require.GreaterOrEqual(t, last.Sub(ran), tc.faults.CacheDelay)
			})
		})
	}
}

func TestLogOutlivesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		w := newFixture(t, fakes.EngineOptions{Endpoint: "e1", Log: &log, Memory: fleet.GiB}, fakes.StoreOptions{})
		w.load(t, "m@1")
		w.load(t, "n@1")
		w.run(t, "a", "", 0)
		w.engine.Kill()
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
		require.Equal(t, 2*fleet.GiB, lines[6].Used)
		require.Equal(t, 1, fakes.MaxReplicas("m@1", w.engine))
	})
}

func TestMaxHeld(t *testing.T) {
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
