package swap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

// While more is requested than the endpoint can load, the oldest requests came first, so that all were late.
func TestLoadsThatCanBeInTimeComeFirst(t *testing.T) {
	load := 2 * time.Second
	for name, c := range map[string]struct {
		// targets are the targets from now on of loads of m1, m2 and m3, the earliest deadline first.
		targets []time.Duration
		order   []string
	}{
		"all in time: by target":       {[]time.Duration{9 * load, 7 * load, 5 * load}, []string{"m3", "m2", "m1"}},
		"late ones last":               {[]time.Duration{load / 2, load / 4, 5 * load}, []string{"m3", "m1", "m2"}},
		"all late: by deadline":        {[]time.Duration{load / 2, load / 3, load / 4}, []string{"m1", "m2", "m3"}},
		"unknown targets: by deadline": {[]time.Duration{0, 0, 0}, []string{"m1", "m2", "m3"}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t)
			var wants []stock.LoadRequest
			for i, target := range c.targets {
				w := sim.loadRequest([]string{"m1", "m2", "m3"}[i])
				w.Deadline = w.Deadline.Add(time.Duration(i) * time.Second)
				if target != 0 {
					w.Target = sim.now.Add(target)
				}
				wants = append(wants, w)
			}
			sim.sendDemand(1, stock.Demand{Wants: wants})
			sim.run(4 * load)
			assert.Equal(t, c.order, sim.endpoint.loadHistory)
		})
	}
}

// A load that several routers wait for is in time as long as it is for one of them.
func TestTargetOfMergedLoadsIsTheLatest(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	a := stock.LoadRequest{Deadline: now.Add(time.Minute), Target: now.Add(time.Second)}
	b := stock.LoadRequest{Deadline: now.Add(time.Hour), Target: now.Add(3 * time.Second)}
	assert.Equal(t, b.Target, mergeLoadRequests(a, b).Target)
	assert.Equal(t, b.Target, mergeLoadRequests(b, a).Target)
}
