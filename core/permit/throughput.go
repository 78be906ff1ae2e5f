package permit

import (
	"math"
	"time"
)

const (
	// lateFactor is the ratio of actual to expected duration from which a load
	// counts as late. Below it, a long load may only be due to a large model: the
	// model sizes of one site differ by less than this factor.
	lateFactor = 1.5
	// newSampleWeight is the weight of the newest late load in the moving average
	// of the throughput, from 0 to 1.
	newSampleWeight = 0.4
	// unusedThroughput is the throughput, in loads at full speed, that may stay
	// unused rather than start one more load that slows down the others. Estimates
	// vary by this much because models differ in size.
	unusedThroughput = 0.25
	// slowdownHalfLife is the time in which the assumed slowdown of the store
	// halves while no late load confirms it, so that more loads are tried once the
	// store has recovered.
	slowdownHalfLife = 30 * time.Second
)

// virtualClock advances by the elapsed time divided by the number of loads in
// progress. Between the start and the end of a load that was limited by the
// store, it advances by the time that the load would have taken alone at the
// store's full throughput. This is the virtual time of processor sharing (Parekh
// and Gallager, 1993).
type virtualClock struct {
	reading time.Time
	// advancedAt is the time of the last call of advance.
	advancedAt time.Time
}

// advance moves the clock forward to now. loads is the number of loads in
// progress since the previous call; with 0 the reading stays the same.
func (c *virtualClock) advance(now time.Time, loads int) {
	if loads > 0 && now.After(c.advancedAt) {
		c.reading = c.reading.Add(now.Sub(c.advancedAt) / time.Duration(loads))
	}
	c.advancedAt = now
}

// throughputEstimator estimates the throughput of the weight store, expressed as the
// number of loads that it can serve in parallel at full speed. A late load
// reveals the throughput, however many loads were in progress with it. A load that
// is not late only gives a lower bound.
type throughputEstimator struct {
	// maxLoads is the configured maximum number of loads in progress, at least 1.
	maxLoads float64
	// throughput is infinite until a load has been late.
	throughput float64
	// measuredAt is when throughput was last set.
	measuredAt time.Time
	// lastLoadInTime reports whether the last load observed was not late.
	lastLoadInTime bool
}

func newThroughputEstimator(maxLoads int) throughputEstimator {
	e := throughputEstimator{throughput: math.Inf(1)}
	e.setMaxLoads(maxLoads)
	return e
}

// setMaxLoads sets the maximum number of loads in progress; values below 1
// count as 1.
func (e *throughputEstimator) setMaxLoads(maxLoads int) {
	e.maxLoads = float64(max(maxLoads, 1))
}

// maxConcurrency returns how many loads may be in progress at now, at least 1.
// It is the smallest number that uses the store's throughput: with more loads on
// a slow store, none might finish in time.
func (e *throughputEstimator) maxConcurrency(now time.Time) int {
	return int(max(math.Ceil(e.lastMeasuredThroughput()-unusedThroughput), math.Round(e.currentThroughput(now)), 1))
}

// lastMeasuredThroughput returns the throughput as last measured, at most maxLoads.
func (e *throughputEstimator) lastMeasuredThroughput() float64 {
	return min(e.throughput, e.maxLoads)
}

// currentThroughput returns the throughput assumed at now. The slowdown last measured
// decays with slowdownHalfLife, so the result rises towards maxLoads.
func (e *throughputEstimator) currentThroughput(now time.Time) float64 {
	age := max(now.Sub(e.measuredAt), 0)
	slowdown := e.maxLoads/e.lastMeasuredThroughput() - 1
	return e.maxLoads / (1 + slowdown*math.Exp2(-float64(age)/float64(slowdownHalfLife)))
}

// loadTime returns the estimated duration of a load that takes work at full speed.
// inProgress is the number of loads in progress, including this one.
func (e *throughputEstimator) loadTime(now time.Time, work time.Duration, inProgress int) time.Duration {
	return sharedLoadTime(work, inProgress, e.currentThroughput(now))
}

// sharedLoadTime returns the duration of a load that takes work at full speed if
// inProgress loads, including this one, share the given throughput equally.
func sharedLoadTime(work time.Duration, inProgress int, throughput float64) time.Duration {
	return time.Duration(float64(work) * max(float64(inProgress)/throughput, 1))
}

// recordFinished updates the estimate after a load that succeeded. virtual is by
// how much the virtual clock advanced during the load.
func (e *throughputEstimator) recordFinished(now time.Time, took, expected, virtual time.Duration) {
	if expected <= 0 || virtual <= 0 {
		return
	}
	throughput := float64(min(took, expected)) / float64(virtual)
	e.lastLoadInTime = !isLate(took, expected)
	switch {
	case !e.lastLoadInTime:
		e.setThroughput(now, (1-newSampleWeight)*e.lastMeasuredThroughput()+newSampleWeight*throughput)
	case throughput > e.lastMeasuredThroughput():
		e.setThroughput(now, throughput)
	}
}

// recordRunning lowers the estimate if a load in progress is late already.
// elapsed is the time since its grant, and virtual is by how much the virtual
// clock advanced in that time.
func (e *throughputEstimator) recordRunning(now time.Time, elapsed, expected, virtual time.Duration) {
	if expected <= 0 || virtual <= 0 || !isLate(elapsed, expected) {
		return
	}
	e.lastLoadInTime = false
	if throughput := float64(expected) / float64(virtual); throughput < e.currentThroughput(now) {
		e.setThroughput(now, throughput)
	}
}

// isLate reports whether a load counts as late that has been running for took, or ended
// after it.
func isLate(took, expected time.Duration) bool {
	return float64(took) >= lateFactor*float64(expected)
}

// setThroughput replaces the measured throughput.
func (e *throughputEstimator) setThroughput(now time.Time, throughput float64) {
	e.throughput, e.measuredAt = throughput, now
}
