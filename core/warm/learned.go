package warm

import (
	"math"
	"time"

	"chervilreach/core/fleet"
)

// missCost is how many seconds of idle hold one cold start is worth for each
// second of its load, when tail and idle hours weigh the same.
const missCost = 42

// Learned keeps for each model a histogram of the times between requests and
// the times at which its sessions began. It keeps an idle model as long as the
// histogram makes another request soon likely enough, and loads it before a
// session that past days make likely. The histogram follows Shahrad et al.,
// "Serverless in the Wild" (USENIX ATC 2020).
type Learned struct {
	// exchange is the price of one second of cold start in seconds of idle hold.
	exchange float64
	models   map[fleet.ModelID]*habit
	// all pools the gaps of all models, for those with few of their own.
	all    gaps
	surges surges
	today  time.Time
}

// NewLearned returns a keeper without history.
func NewLearned(tailWeight float64) *Learned {
	return &Learned{exchange: exchange(tailWeight), models: make(map[fleet.ModelID]*habit)}
}

// exchange returns the price of a cold start at a weight of the tail.
func exchange(tailWeight float64) float64 {
	w := min(max(tailWeight, 0.01), 0.99)
	return missCost * math.Sqrt(w/(1-w))
}

// habit is what is known of one model.
type habit struct {
	last time.Time
	// kept is the end of the last window for which the model was warm. When it
	// was evicted since, others need the memory more.
	kept   time.Time
	gaps   gaps
	starts starts
	// plans are those of the last even and the last odd day asked for.
	plans [2]plan
}

// habit returns what is known of a model, nothing when it is new.
func (l *Learned) habit(model fleet.ModelID) *habit {
	h, ok := l.models[model]
	if !ok {
		h = &habit{}
		l.models[model] = h
	}
	return h
}

// RecordArrival implements agent.WarmPolicy.
func (l *Learned) RecordArrival(model fleet.ModelID, at time.Time) {
	h := l.habit(model)
	gap := at.Sub(h.last)
	if h.last.IsZero() || gap >= sessionBreak {
		h.starts.add(at)
	}
	if !h.last.IsZero() && gap > 0 {
		h.gaps.add(gap)
		l.all.add(gap)
	}
	if at.After(h.last) {
		h.last = at
	}
}

// KeepUntil implements agent.WarmPolicy.
func (l *Learned) KeepUntil(model fleet.ModelID, lastUse time.Time, reload time.Duration) time.Time {
	h, ok := l.models[model]
	if !ok {
		return lastUse.Add(l.all.best(&l.all, l.price(reload)))
	}
	until := lastUse.Add(h.gaps.best(&l.all, l.price(reload)))
	w, ok := l.next(h, lastUse, reload, l.price(reload))
	if !ok || w.from.Add(-w.lead(model, reload)).After(lastUse) {
		return until
	}
	h.kept = w.until
	if w.until.After(until) {
		return w.until
	}
	return until
}

// PrewarmAt implements agent.WarmPolicy.
func (l *Learned) PrewarmAt(model fleet.ModelID, now time.Time, reload time.Duration) (time.Time, bool) {
	h, ok := l.models[model]
	if !ok {
		return time.Time{}, false
	}
	w, ok := l.next(h, now, reload, l.price(reload))
	if !ok || !w.until.After(h.kept) {
		return time.Time{}, false
	}
	return w.from.Add(-w.lead(model, reload)), true
}

// price is what a cold start costs in idle hold.
func (l *Learned) price(reload time.Duration) time.Duration {
	return time.Duration(float64(reload) * l.exchange)
}
