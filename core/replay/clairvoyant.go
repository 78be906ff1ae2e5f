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
	arrivals map[fleet.ModelID][]time.Time
	// loadAt holds for each request that needs a load when to begin it.
	loadStarts map[fleet.ModelID][]time.Time
}

func newClairvoyant(t *trace.Trace) *clairvoyant {
	c := &clairvoyant{arrivals: make(map[fleet.ModelID][]time.Time), loadStarts: make(map[fleet.ModelID][]time.Time)}
	for _, a := range t.Arrivals {
		c.arrivals[a.Model] = append(c.arrivals[a.Model], t.Header.Starts.Add(time.Duration(a.AtMS)*time.Millisecond))
	}
	loadTimes := make(map[fleet.ModelID]time.Duration)
	for _, m := range t.Header.Models {
		loadTimes[m.ID] = loadTime(t.Header.Store, m)
	}
	var loads []requiredLoad
	for _, id := range sortedKeys(c.arrivals) {
		var last time.Time
		for _, at := range c.arrivals[id] {
			if last.IsZero() || at.Sub(last) > maxKeepGap(loadTimes[id]) {
				loads = append(loads, requiredLoad{model: id, deadline: at})
			}
			last = at
		}
	}
	c.scheduleLoads(loads, loadTimes, t.Header.Deployment.LoadsAtOnce)
	return c
}

// worthGap is the longest gap over which a model is kept.
func maxKeepGap(load time.Duration) time.Duration {
	return load + unloadTime + tickPeriod
}

// need is a load that has to have ended by a time.
type requiredLoad struct {
	model    fleet.ModelID
	deadline time.Time
}

// plan gives each load a place of the store, the latest first, so that each
// begins as late as it can.
func (c *clairvoyant) scheduleLoads(loads []requiredLoad, loadTimes map[fleet.ModelID]time.Duration, maxParallel int) {
	slices.SortStableFunc(loads, func(a, b requiredLoad) int { return b.deadline.Compare(a.deadline) })
	// free holds when each place is next taken; loads end before that.
	slotFreeUntil := make([]time.Time, max(maxParallel, 1))
	for i := range slotFreeUntil {
		slotFreeUntil[i] = time.Unix(1<<40, 0)
	}
	for _, l := range loads {
		slices.SortFunc(slotFreeUntil, func(a, b time.Time) int { return b.Compare(a) })
		end := l.deadline
		if slotFreeUntil[0].Before(end) {
			end = slotFreeUntil[0]
		}
		start := end.Add(-loadTimes[l.model] - permitSlack)
		slotFreeUntil[0] = start
		c.loadStarts[l.model] = append(c.loadStarts[l.model], start)
	}
	for _, id := range sortedKeys(c.loadStarts) {
		slices.SortFunc(c.loadStarts[id], time.Time.Compare)
	}
}

// permitSlack covers the periods of the agent and the granter.
const permitSlack = 2*tickPeriod + time.Second/2

// RecordArrival implements agent.WarmPolicy.
func (c *clairvoyant) RecordArrival(fleet.ModelID, time.Time) {}

// next returns the first request for a model after a time.
func (c *clairvoyant) nextArrival(model fleet.ModelID, at time.Time) (time.Time, bool) {
	arrivals := c.arrivals[model]
	i, _ := slices.BinarySearchFunc(arrivals, at, time.Time.Compare)
	if i == len(arrivals) {
		return time.Time{}, false
	}
	return arrivals[i], true
}

// KeepUntil implements agent.WarmPolicy.
func (c *clairvoyant) KeepUntil(model fleet.ModelID, lastUse time.Time, reload time.Duration) time.Time {
	nextArrival, ok := c.nextArrival(model, lastUse)
	if !ok {
		return lastUse
	}
	if nextArrival.Sub(lastUse) <= maxKeepGap(reload) {
		return nextArrival.Add(tickPeriod)
	}
	if at, ok := c.loadStart(model, lastUse); ok && !at.After(lastUse) {
		return nextArrival.Add(tickPeriod)
	}
	return lastUse
}

// begun returns when the load for the first request after a time begins.
func (c *clairvoyant) loadStart(model fleet.ModelID, at time.Time) (time.Time, bool) {
	nextArrival, ok := c.nextArrival(model, at)
	if !ok {
		return time.Time{}, false
	}
	starts := c.loadStarts[model]
	i, _ := slices.BinarySearchFunc(starts, nextArrival, time.Time.Compare)
	if i == 0 {
		return time.Time{}, false
	}
	return starts[i-1], true
}

// PrewarmAt implements agent.WarmPolicy.
func (c *clairvoyant) PrewarmAt(model fleet.ModelID, now time.Time, _ time.Duration) (time.Time, bool) {
	return c.loadStart(model, now)
}
