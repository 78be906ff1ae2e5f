package warm

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// Snapshot is what a Learned policy has learned about one model, in a form that can be
// stored to outlive the process. As JSON it takes at most about 6 KB.
type Snapshot struct {
	Model fleet.ModelID `json:"model"`
	// LastArrival is when the latest request for the model arrived.
	LastArrival time.Time `json:"last"`
	// SessionStarts are the start times of sessions in Unix seconds, delta-encoded: the first is
	// absolute, each other one is the difference to the one before.
	SessionStarts []int64 `json:"starts-s"`
	// GapCounts holds the counts of the histogram of gaps between requests.
	GapCounts []float32 `json:"gaps"`
}

// SetTailWeight changes the weight of cold-start tail latency against idle time, between 0
// and 1. It applies to all later decisions.
func (l *Learned) SetTailWeight(w float64) {
	l.costRatio = costRatio(w)
}

// Export returns what has been learned about a model. It returns false if the model is
// unknown.
func (l *Learned) Export(model fleet.ModelID) (Snapshot, bool) {
	h, ok := l.histories[model]
	if !ok {
		return Snapshot{}, false
	}
	m := Snapshot{Model: model, LastArrival: h.lastArrival, GapCounts: slices.Clone(h.gapHistogram.counts[:])}
	var previous int64
	for _, at := range h.sessionStarts.unixTimes {
		m.SessionStarts = append(m.SessionStarts, at-previous)
		previous = at
	}
	return m, true
}

// Merge adds a snapshot, which may come from another policy, to what has been learned about
// its model. Session starts are combined, and the latest ones are kept. Of the two gap
// histograms, the one with the larger total is kept. Merge is therefore idempotent, and
// merging a policy's own snapshot changes nothing.
func (l *Learned) Merge(m Snapshot) {
	h := l.modelHistory(m.Model)
	var at int64
	for _, delta := range m.SessionStarts {
		at += delta
		h.sessionStarts.unixTimes = append(h.sessionStarts.unixTimes, at)
	}
	slices.Sort(h.sessionStarts.unixTimes)
	h.sessionStarts.unixTimes = slices.Compact(h.sessionStarts.unixTimes)
	if excess := len(h.sessionStarts.unixTimes) - maxSessionStarts; excess > 0 {
		h.sessionStarts.unixTimes = slices.Delete(h.sessionStarts.unixTimes, 0, excess)
	}
	var other gapHistogram
	copy(other.counts[:], m.GapCounts)
	for _, n := range other.counts {
		other.total += n
	}
	if other.total > h.gapHistogram.total {
		l.allGaps.replace(&h.gapHistogram, &other)
		h.gapHistogram = other
	}
	if m.LastArrival.After(h.lastArrival) {
		h.lastArrival = m.LastArrival
	}
	h.forecasts = [2]forecast{}
	l.surgeCache = surgeCache{}
}

// replace subtracts old from a sum of histograms and adds updated. Counts do not drop below
// 0.
func (g *gapHistogram) replace(old, updated *gapHistogram) {
	for i := range g.counts {
		g.counts[i] = max(g.counts[i]-old.counts[i], 0) + updated.counts[i]
	}
	g.total = 0
	for _, n := range g.counts {
		g.total += n
	}
}
