package replay

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/trace"
)

// clairvoyant is a WarmPolicy that knows all arrivals of the trace. It keeps a model loaded
// over a gap that is too short for an unload and a load. Otherwise it loads the model just
// before its next request, or earlier if the weight store is busy then. It is the bound
// that policies without knowledge of the future can't beat.
type clairvoyant struct {
	// arrivals holds the times of the requests for each model, in order.
	arrivals map[fleet.ModelID][]time.Time
	// loadStarts holds the times at which the loads of each model begin, in order.
	loadStarts map[fleet.ModelID][]time.Time
}

// newClairvoyant returns the policy for a trace and schedules all loads.
func newClairvoyant(t *trace.Trace) *clairvoyant {
	c := &clairvoyant{arrivals: make(map[fleet.ModelID][]time.Time), loadStarts: make(map[fleet.ModelID][]time.Time)}
	for _, a := range t.Arrivals {
		c.arrivals[a.Model] = append(c.arrivals[a.Model], t.Header.Start.Add(time.Duration(a.AtMS)*time.Millisecond))
	}
	loadTimes := make(map[fleet.ModelID]time.Duration)
	for _, m := range t.Header.Models {
		loadTimes[m.ID] = loadTime(t.Header.WeightStore, m)
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

// maxKeepGap returns the longest gap between requests over which a model with the given
// load time stays loaded.
func maxKeepGap(load time.Duration) time.Duration {
	return load + unloadTime + tickPeriod
}

// requiredLoad is a load that must be finished by a deadline.
type requiredLoad struct {
	model    fleet.ModelID
	deadline time.Time
}

// scheduleLoads sets loadStarts so that each load begins as late as possible and at most
// maxParallel loads run at a time. It goes from the last deadline to the first. loadTimes
// holds the load time of each model at full speed.
func (c *clairvoyant) scheduleLoads(loads []requiredLoad, loadTimes map[fleet.ModelID]time.Duration, maxParallel int) {
	slices.SortStableFunc(loads, func(a, b requiredLoad) int { return b.deadline.Compare(a.deadline) })
	// slotTakenFrom holds, for each parallel slot, the start of the earliest load scheduled
	// in it so far. The next load in the slot must end by that time.
	slotTakenFrom := make([]time.Time, max(maxParallel, 1))
	for i := range slotTakenFrom {
		slotTakenFrom[i] = time.Unix(1<<40, 0)
	}
	for _, l := range loads {
		slices.SortFunc(slotTakenFrom, func(a, b time.Time) int { return b.Compare(a) })
		end := l.deadline
		if slotTakenFrom[0].Before(end) {
			end = slotTakenFrom[0]
		}
		start := end.Add(-loadTimes[l.model] - permitSlack)
		slotTakenFrom[0] = start
		c.loadStarts[l.model] = append(c.loadStarts[l.model], start)
	}
	for _, id := range sortedKeys(c.loadStarts) {
		slices.SortFunc(c.loadStarts[id], time.Time.Compare)
	}
}

// permitSlack is added to the load time to allow for the time until the agent acts and the
// permit is granted. Both happen at periodic ticks.
const permitSlack = 2*tickPeriod + time.Second/2

// RecordArrival implements agent.WarmPolicy. It does nothing, as all arrivals are known.
func (c *clairvoyant) RecordArrival(fleet.ModelID, time.Time) {}

// nextArrival returns the time of the first request for a model at or after the given time.
// It returns false if there is none.
func (c *clairvoyant) nextArrival(model fleet.ModelID, at time.Time) (time.Time, bool) {
	arrivals := c.arrivals[model]
	i, _ := slices.BinarySearchFunc(arrivals, at, time.Time.Compare)
	if i == len(arrivals) {
		return time.Time{}, false
	}
	return arrivals[i], true
}

// KeepUntil implements agent.WarmPolicy. The model stays loaded until one tick after its
// next request if the gap is at most maxKeepGap, or if the load for that request is
// scheduled to begin by lastUse. Otherwise it may be unloaded at once.
func (c *clairvoyant) KeepUntil(model fleet.ModelID, lastUse time.Time, reloadTime time.Duration) time.Time {
	nextArrival, ok := c.nextArrival(model, lastUse)
	if !ok {
		return lastUse
	}
	if nextArrival.Sub(lastUse) <= maxKeepGap(reloadTime) {
		return nextArrival.Add(tickPeriod)
	}
	if at, ok := c.loadStart(model, lastUse); ok && !at.After(lastUse) {
		return nextArrival.Add(tickPeriod)
	}
	return lastUse
}

// loadStart returns the latest scheduled load start before the next request for a model at
// or after the given time. It returns false if there is no such request or no load start
// before it.
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

// PrewarmAt implements agent.WarmPolicy. It returns the scheduled start of the load for the
// next request.
func (c *clairvoyant) PrewarmAt(model fleet.ModelID, now time.Time, _ time.Duration) (time.Time, bool) {
	return c.loadStart(model, now)
}
