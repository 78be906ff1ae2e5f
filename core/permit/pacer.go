package permit

import "time"

// Pacer paces the loads of one endpoint when no router that grants permits can
// be reached. Loads run one at a time. After each load comes a pause in
// proportion to its duration, so that all endpoints together stay near the
// limits of the weight store. The pause halves after a load that was not late and grows
// after a late one. Pacer is not safe for concurrent use.
type Pacer struct {
	// maxPauseRatio is the ratio of pause to load duration at which all endpoints,
	// if all of them load continuously, have MaxConcurrent loads in progress on average.
	maxPauseRatio float64
	// pauseRatio is the length of the pause as a multiple of the last load's
	// duration.
	pauseRatio float64
	// nextStart is the earliest start of the next load.
	nextStart      time.Time
	loadInProgress bool
}

// NewPacer returns a Pacer for one endpoint. endpoints is the number of endpoints
// that share the store.
func NewPacer(limits Limits, endpoints int) *Pacer {
	maxPauseRatio := max(float64(endpoints)/float64(max(limits.MaxConcurrent, 1))-1, 0)
	return &Pacer{maxPauseRatio: maxPauseRatio, pauseRatio: maxPauseRatio / 2}
}

// TryStart reports whether a load may start at now, and if so records that it is
// in progress. The caller must call Finish when it ends.
func (p *Pacer) TryStart(now time.Time) bool {
	if p.loadInProgress || now.Before(p.nextStart) {
		return false
	}
	p.loadInProgress = true
	return true
}

// NextStart returns the earliest start of the next load. The result is meaningless
// while a load is in progress.
func (p *Pacer) NextStart() time.Time {
	return p.nextStart
}

// Finish records the end of the load in progress. took is its duration, or 0 if
// it failed; expected is its duration at full speed.
func (p *Pacer) Finish(now time.Time, took, expected time.Duration) {
	p.loadInProgress = false
	if float64(took) >= lateFactor*float64(expected) {
		p.pauseRatio = min(2*p.pauseRatio+1, p.maxPauseRatio)
	} else {
		p.pauseRatio /= 2
	}
	p.nextStart = now.Add(time.Duration(p.pauseRatio * float64(took)))
}
