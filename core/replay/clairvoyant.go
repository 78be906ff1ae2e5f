package replay

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/trace"
)

// clairvoyant knows when each model will be asked. It keeps a model over a gap
// that is shorter than an unload and a load, and otherwise loads it just before
// its next request, earlier where the weight store has no room. It is the bound
// that no policy without foresight passes.
type clairvoyant struct {
	times map[fleet.ModelID][]time.Time
	// loadAt holds for each request that needs a load when to begin it.
	loadAt map[fleet.ModelID][]time.Time
}

func newClairvoyant(t *trace.Trace) *clairvoyant {
	c := &clairvoyant{times: make(map[fleet.ModelID][]time.Time), loadAt: make(map[fleet.ModelID][]time.Time)}
	for _, a := range t.Arrivals {
		c.times[a.Model] = append(c.times[a.Model], t.Header.Starts.Add(time.Duration(a.AtMS)*time.Millisecond))
	}
	full := make(map[fleet.ModelID]time.Duration)
	for _, m := range t.Header.Models {
		full[m.ID] = loadTime(t.Header.Store, m)
	}
	var needs []need
	for _, id := range sortedKeys(c.times) {
		var last time.Time
		for _, at := range c.times[id] {
			if last.IsZero() || at.Sub(last) > worthGap(full[id]) {
				needs = append(needs, need{model: id, by: at})
			}
			last = at
		}
	}
	c.plan(needs, full, t.Header.Deployment.LoadsAtOnce)
	return c
}

// worthGap is the longest gap over which a model is kept.
func worthGap(full time.Duration) time.Duration {
	return full + unloadTime + tickPeriod
}

// need is a load that has to have ended by a time.
type need struct {
	model fleet.ModelID
	by    time.Time
}

// plan gives each load a place of the store, the latest first, so that each
// begins as late as it can.
func (c *clairvoyant) plan(needs []need, full map[fleet.ModelID]time.Duration, atOnce int) {
	slices.SortStableFunc(needs, func(a, b need) int { return b.by.Compare(a.by) })
	// free holds when each place is next taken; loads end before that.
	free := make([]time.Time, max(atOnce, 1))
	for i := range free {
		free[i] = time.Unix(1<<40, 0)
	}
	for _, n := range needs {
		slices.SortFunc(free, func(a, b time.Time) int { return b.Compare(a) })
		end := n.by
		if free[0].Before(end) {
			end = free[0]
		}
		start := end.Add(-full[n.model] - permitSlack)
		free[0] = start
		c.loadAt[n.model] = append(c.loadAt[n.model], start)
	}
	for _, id := range sortedKeys(c.loadAt) {
		slices.SortFunc(c.loadAt[id], time.Time.Compare)
	}
}

// permitSlack covers the periods of the agent and the granter.
const permitSlack = 2*tickPeriod + time.Second/2

// RecordArrival implements agent.WarmPolicy.
func (c *clairvoyant) RecordArrival(fleet.ModelID, time.Time) {}

// next returns the first request for a model after a time.
func (c *clairvoyant) next(model fleet.ModelID, at time.Time) (time.Time, bool) {
	times := c.times[model]
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	if i == len(times) {
		return time.Time{}, false
	}
	return times[i], true
}

// KeepUntil implements agent.WarmPolicy.
func (c *clairvoyant) KeepUntil(model fleet.ModelID, lastUse time.Time, reload time.Duration) time.Time {
	next, ok := c.next(model, lastUse)
	if !ok {
		return lastUse
	}
	if next.Sub(lastUse) <= worthGap(reload) {
		return next.Add(tickPeriod)
	}
	if at, ok := c.begun(model, lastUse); ok && !at.After(lastUse) {
		return next.Add(tickPeriod)
	}
	return lastUse
}

// begun returns when the load for the first request after a time begins.
func (c *clairvoyant) begun(model fleet.ModelID, at time.Time) (time.Time, bool) {
	next, ok := c.next(model, at)
	if !ok {
		return time.Time{}, false
	}
	starts := c.loadAt[model]
	i, _ := slices.BinarySearchFunc(starts, next, time.Time.Compare)
	if i == 0 {
		return time.Time{}, false
	}
	return starts[i-1], true
}

// PrewarmAt implements agent.WarmPolicy.
func (c *clairvoyant) PrewarmAt(model fleet.ModelID, now time.Time, _ time.Duration) (time.Time, bool) {
	return c.begun(model, now)
}
