package warm

import (
	"math"
	"time"

	"chervilreach/core/fleet"
)

// evenCostRatio is the cost ratio at a tail weight of 0.5, where tail latency and idle time
// have the same weight: how many seconds of idle time cost as much as one second of load
// time in a cold start.
const evenCostRatio = 42

// Learned is a WarmPolicy that learns from past requests. For each model it keeps a
// histogram of the gaps between requests and the start times of sessions. It keeps an idle
// model loaded while the histogram makes another request likely enough to pay for the idle
// time, and prewarms a model before a session that is likely from past days. The histogram
// follows Shahrad et al., "Serverless in the Wild" (USENIX ATC 2020). Use NewLearned to
// create one. It is not safe for concurrent use.
type Learned struct {
	// costRatio is how many seconds of idle time cost as much as one second of load time in
	// a cold start.
	costRatio float64
	histories map[fleet.ModelID]*modelHistory
	// allGaps counts the gaps of all models. It is the prior for models with few gaps of
	// their own.
	allGaps    gapHistogram
	surgeCache surgeCache
	// latestForecastDate is the date of the latest forecast. Surges are cached only for earlier dates.
	latestForecastDate time.Time
}

// NewLearned returns a policy that has not seen any requests. tailWeight, between 0 and 1,
// is the weight of cold-start tail latency against idle time.
func NewLearned(tailWeight float64) *Learned {
	return &Learned{costRatio: costRatio(tailWeight), histories: make(map[fleet.ModelID]*modelHistory)}
}

// costRatio returns the cost ratio for a tail weight, which is limited to the range from
// 0.01 to 0.99.
func costRatio(tailWeight float64) float64 {
	w := min(max(tailWeight, 0.01), 0.99)
	return evenCostRatio * math.Sqrt(w/(1-w))
}

// modelHistory is what has been learned about one model. The zero value is empty.
type modelHistory struct {
	// lastArrival is when the latest request arrived; zero before the first.
	lastArrival time.Time
	// keptUntil is the end of the latest window for which the model was kept loaded. If the
	// model was evicted in that window, other models need the memory more, so it is not
	// prewarmed for the same window again.
	keptUntil     time.Time
	gapHistogram  gapHistogram
	sessionStarts sessionStarts
	// forecasts caches one forecast for an even and one for an odd day number, which covers
	// today and tomorrow.
	forecasts [2]forecast
}

// modelHistory returns the history of a model, and creates it if there is none.
func (l *Learned) modelHistory(model fleet.ModelID) *modelHistory {
	h, ok := l.histories[model]
	if !ok {
		h = &modelHistory{}
		l.histories[model] = h
	}
	return h
}

// RecordArrival implements agent.WarmPolicy. A request after at least sessionTimeout
// without one starts a session.
func (l *Learned) RecordArrival(model fleet.ModelID, at time.Time) {
	h := l.modelHistory(model)
	gap := at.Sub(h.lastArrival)
	if h.lastArrival.IsZero() || gap >= sessionTimeout {
		h.sessionStarts.add(at)
	}
	if !h.lastArrival.IsZero() && gap > 0 {
		h.gapHistogram.add(gap)
		l.allGaps.add(gap)
	}
	if at.After(h.lastArrival) {
		h.lastArrival = at
	}
}

// KeepUntil implements agent.WarmPolicy. If prewarming for a predicted window would already
// have begun at lastUse, the model stays loaded at least until the window ends, and
// PrewarmAt no longer returns that window.
func (l *Learned) KeepUntil(model fleet.ModelID, lastUse time.Time, loadTime time.Duration) time.Time {
	h, ok := l.histories[model]
	if !ok {
		return lastUse.Add(l.allGaps.idleTimeout(&l.allGaps, l.coldStartCost(loadTime)))
	}
	until := lastUse.Add(h.gapHistogram.idleTimeout(&l.allGaps, l.coldStartCost(loadTime)))
	w, ok := l.nextWindow(h, lastUse, loadTime, l.coldStartCost(loadTime))
	if !ok || w.from.Add(-w.leadTime(model, loadTime)).After(lastUse) {
		return until
	}
	h.keptUntil = w.until
	if w.until.After(until) {
		return w.until
	}
	return until
}

// PrewarmAt implements agent.WarmPolicy.
func (l *Learned) PrewarmAt(model fleet.ModelID, now time.Time, loadTime time.Duration) (time.Time, bool) {
	h, ok := l.histories[model]
	if !ok {
		return time.Time{}, false
	}
	w, ok := l.nextWindow(h, now, loadTime, l.coldStartCost(loadTime))
	if !ok || !w.until.After(h.keptUntil) {
		return time.Time{}, false
	}
	return w.from.Add(-w.leadTime(model, loadTime)), true
}

// coldStartCost returns the idle time that costs as much as a cold start with a load of the
// given duration.
func (l *Learned) coldStartCost(loadTime time.Duration) time.Duration {
	return time.Duration(float64(loadTime) * l.costRatio)
}
