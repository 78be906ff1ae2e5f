package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
	"chervilreach/fakes"
)

// coldModels are models that no engine holds at first. They are requested at the same time.
var coldModels = []fleet.ModelID{
	"notice-ashfield@2", "notice-bassetlaw@2", "notice-bolsover@2", "notice-broxtowe@2",
	"notice-charnwood@2", "notice-gedling@2", "notice-harborough@2", "notice-mansfield@2",
}

// storePatience is the patience of requests that are expected to be refused. Requests that must all
// be answered have the patience of kindLong; whether loads from a slow store end within a short
// patience is tested in simulated time in core/permit.
const storePatience = 20 * time.Second

// TestStoreFails requests many cold models while the weight store is slow or unavailable, or
// engines fail to load. All requests are answered, or refused in time as not run.
func TestStoreFails(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		store  fakes.StoreFaults
		engine fakes.EngineFaults
		// minAnswered is the lowest number of requests that must be answered.
		minAnswered int
		kind        string
		patience    time.Duration
		// maxLoads bounds the loads that begin: a model may be placed on a second
		// endpoint, and when loads fail, each of the three endpoints tries twice.
		maxLoads int
	}{
		"four times slower":             {store: fakes.StoreFaults{Slowdown: 4}, kind: kindLong, minAnswered: 2 * len(coldModels), maxLoads: 2 * len(coldModels)},
		"one load of each engine fails": {engine: fakes.EngineFaults{FailLoads: 1}, kind: kindLong, minAnswered: 2 * len(coldModels), maxLoads: 2 * len(coldModels)},
		"permanent outage":              {store: fakes.StoreFaults{Outage: true}, kind: "notice", patience: storePatience, maxLoads: 6 * len(coldModels)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*startTimeout)
			defer cancel()
			f := startFleet(t, fleetOptions())
			addKinds(t, f)
			f.Store.SetFaults(tt.store)
			for _, e := range f.Endpoints {
				e.Engine.SetFaults(tt.engine)
			}
			answers := sendColdBurst(ctx, f, tt.kind, tt.patience)
			answered := 0
			for id, a := range answers {
				if a.status == http.StatusOK {
					answered++
					continue
				}
				require.Equal(t, fleet.NotRunTrue, a.notRun, a.body)
				require.Zero(t, countExecutions(f, id))
				a.requireWithin(t, storePatience, id)
				t.Logf("%s refused after %v: %s", id, a.duration, a.body)
			}
			t.Logf("%d of %d answered, %d loads", answered, len(answers), countLoads(f))
			require.GreaterOrEqual(t, answered, tt.minAnswered)
			require.LessOrEqual(t, countLoads(f), tt.maxLoads)
			checkInvariants(t, f)
		})
	}
}

// sendColdBurst sends two requests for each of coldModels at the same time, one through each router,
// and returns the answers by request ID.
func sendColdBurst(ctx context.Context, f *demo.Fleet, kind string, patience time.Duration) map[string]answer {
	answers := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, m := range coldModels {
		for router := range 2 {
			wg.Go(func() {
				id := fmt.Sprintf("cold-%d-%d", i, router)
				a := send(ctx, f, call{id: id, routerIndex: router, model: m, kind: kind, prompt: id, patience: patience})
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
	}
	wg.Wait()
	return answers
}

// countLoads returns the number of model loads over all engines.
func countLoads(f *demo.Fleet) int {
	n := 0
	for _, e := range f.Endpoints {
		n += len(e.Engine.Loads())
	}
	return n
}
