package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// Replays requests for a popular model at many routers that get the same reports, seldom. Guards against
// all of them choosing the same endpoint until the next report. Its streams would pause while the
// others have nothing to do.
func TestRoutersWithTheSameReportsSpread(t *testing.T) {
	const (
		holders  = 10
		interval = 3 * time.Second
		rounds   = 5
		// perSecond is the rate of requests for the model at all routers.
		perSecond = 30
	)
	tests := map[string]struct {
		routers int
		// running has the requests that the reports show at some of the endpoints.
		running map[string]int
		// maxShare bounds the requests that an endpoint gets, as a multiple of an equal share.
		maxShare float64
	}{
		"nothing running":         {routers: 103, maxShare: 2},
		"largest fleet":           {routers: 330, maxShare: 2},
		"one endpoint has a load": {routers: 103, running: map[string]int{"i-3": 20}, maxShare: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var entries []EndpointEntry
			for n := range holders {
				entries = append(entries, testEntry(fmt.Sprintf("i-%d", n), llm))
			}
			routers := make([]*testRouter, c.routers)
			for n := range routers {
				routers[n] = newTestRouter(t, entries...)
				routers[n].state.cfg.Process = fmt.Sprintf("r%d", n)
			}
			sent := make(map[string]int)
			next := 0
			for round := range rounds {
				for _, router := range routers {
					for _, e := range entries {
						router.report(e.Instance, func(r *stock.Report) {
							withModels("a")(r)
							r.Running, r.Routers = c.running[e.Instance], c.routers
						})
					}
				}
				for range int(interval.Seconds() * perSecond) {
					router := routers[next*7%c.routers]
					next++
					id := router.arrive(patientRoute(), stock.Item{Model: "a"})
					sends := effectsOf[Send](router)
					require.Len(t, sends, 1)
					// The first reports don't tell how often there is one.
					if round > 1 {
						sent[sends[0].Instance]++
					}
					router.apply(AnswerStarted{ID: id})
					router.endAttempt(id, Done)
				}
				for _, router := range routers {
					router.advance(interval)
				}
			}
			total, most := 0, 0
			for _, n := range sent {
				total += n
				most = max(most, n)
			}
			assert.Less(t, float64(most), c.maxShare*float64(total)/holders, sent)
			for instance := range c.running {
				assert.Less(t, sent[instance], total/holders, "an endpoint with a load gets less than an equal share")
			}
		})
	}
}

// TestCommonCost checks to which cost a number of requests brings the endpoints with the lowest costs.
func TestCommonCost(t *testing.T) {
	e := &endpoint{tokensPerMS: 10}
	r := &request{Request: Request{Item: stock.Item{Model: "a"}, TokensIn: 985}}
	// Each request costs 100 ms.
	tests := map[string]struct {
		costs  []float64
		others float64
		want   float64
	}{
		"one endpoint":           {costs: []float64{50}, others: 2, want: 250},
		"equal":                  {costs: []float64{50, 50}, others: 2, want: 150},
		"the second is dearer":   {costs: []float64{0, 100}, others: 3, want: 200},
		"the second is too dear": {costs: []float64{0, 500}, others: 3, want: 300},
		"ejected":                {costs: []float64{10, 20, ejectedCostMS}, others: 4, want: 215},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var options []option
			for _, cost := range slices.Sorted(slices.Values(c.costs)) {
				options = append(options, option{e, cost})
			}
			assert.InDelta(t, c.want, (&State{}).commonCost(r, options, c.others), 1)
		})
	}
}
