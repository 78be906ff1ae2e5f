package permit

import "time"

// Local paces the loads of one endpoint when no router that grants permits can
// be reached. Loads run one at a time. After each load comes a pause in
// proportion to its duration, so that all endpoints together stay near the
// limits of the weight store. The pause halves after a load in time and grows
// after a late one. Local is not safe for concurrent use.
type Local struct {
	// maxPauseRatio is the ratio of pause to load duration at which all endpoints,
	// if all of them load continuously, have AtOnce loads in progress on average.
	maxPauseRatio float64
	// pauseRatio is the length of the pause as a multiple of the last load's
	// duration.
	pauseRatio float64
	// nextStart is the earliest start of the next load.
	nextStart time.Time
	busy      bool
}

// NewLocal returns a Local for one endpoint. endpoints is the number of endpoints
// that share the store.
func NewLocal(limits Limits, endpoints int) *Local {
	maxPauseRatio := max(float64(endpoints)/float64(max(limits.AtOnce, 1))-1, 0)
	return &Local{maxPauseRatio: maxPauseRatio, pauseRatio: maxPauseRatio / 2}
}

// Begin reports whether a load may start at now, and if so records that it is
// in progress. The caller must call Done when it ends.
func (l *Local) Begin(now time.Time) bool {
	if l.busy || now.Before(l.nextStart) {
		return false
	}
	l.busy = true
	return true
}

// NextAt returns the earliest start of the next load. The result is meaningless
// while a load is in progress.
func (l *Local) NextAt() time.Time {
	return l.nextStart
}

// Done records the end of the load in progress. took is its duration, or 0 if
// it failed; expected is its duration at full speed.
func (l *Local) Done(now time.Time, took, expected time.Duration) {
	l.busy = false
	if float64(took) >= lateFactor*float64(expected) {
		l.pauseRatio = min(2*l.pauseRatio+1, l.maxPauseRatio)
	} else {
		l.pauseRatio /= 2
	}
	l.nextStart = now.Add(time.Duration(l.pauseRatio * float64(took)))
}
