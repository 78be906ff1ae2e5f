package permit

import (
	"math"
	"time"
)

const (
	// lateFactor is how many times its expected time a load takes to count as
	// late; the sizes of a site's models differ by less.
	lateFactor = 1.5
	// smoothing is the share of the newest late load in the throughput.
	smoothing = 0.4
	// idleShare is the throughput, in loads at full speed, that may stay unused
	// rather than have one load more slow the others; measurements differ by it
	// as models differ in size.
	idleShare = 0.25
	// slowdownHalfLife halves a slowdown that no late load has confirmed, so
	// that a store that has recovered is tried again.
	slowdownHalfLife = 30 * time.Second
)

// sharedClock is a virtual clock that advances by the passed time divided by
// the loads in progress. Between the begin and the end of a load that the store
// slowed, it advances by the time that the load would have taken alone at the
// store's whole throughput. It is the virtual time of processor sharing (Parekh
// and Gallager, 1993).
type sharedClock struct {
	reading time.Time
	asOf    time.Time
}

// advance passes the time up to now, during which so many loads shared the store.
func (c *sharedClock) advance(now time.Time, loads int) {
	if loads > 0 && now.After(c.asOf) {
		c.reading = c.reading.Add(now.Sub(c.asOf) / time.Duration(loads))
	}
	c.asOf = now
}

// speed estimates the throughput of the weight store from the loads seen: how
// many loads at once it carries at full speed. A late load shows it, whatever
// the number of loads that it shared the store with; a load in time only shows
// that it is not less.
type speed struct {
	most float64
	// throughput is infinite until a load has been late.
	throughput float64
	seenAt     time.Time
	// inTime tells whether the last load seen was in time.
	inTime bool
}

func newSpeed(most int) speed {
	s := speed{throughput: math.Inf(1)}
	s.limit(most)
	return s
}

// limit sets the most loads at once; at least one is allowed.
func (s *speed) limit(most int) {
	s.most = float64(max(most, 1))
}

// atOnce returns how many loads may be in progress: as few as use the whole
// throughput, so that a slow store finishes some in time rather than none.
func (s *speed) atOnce(now time.Time) int {
	return int(max(math.Ceil(s.seen()-idleShare), math.Round(s.at(now)), 1))
}

// seen returns the throughput that was last seen.
func (s *speed) seen() float64 {
	return min(s.throughput, s.most)
}

// at returns the throughput, its slowdown faded by the time since it was seen.
func (s *speed) at(now time.Time) float64 {
	age := max(now.Sub(s.seenAt), 0)
	slowdown := s.most/s.seen() - 1
	return s.most / (1 + slowdown*math.Exp2(-float64(age)/float64(slowdownHalfLife)))
}

// estimate returns how long work takes while so many loads share the store.
func (s *speed) estimate(now time.Time, work time.Duration, loads int) time.Duration {
	return shared(work, loads, s.at(now))
}

// shared returns how long work takes while so many loads share a throughput.
func shared(work time.Duration, loads int, throughput float64) time.Duration {
	return time.Duration(float64(work) * max(float64(loads)/throughput, 1))
}

// finished takes in a load that has ended well; alone is what the shared clock
// advanced by.
func (s *speed) finished(now time.Time, took, expected, alone time.Duration) {
	if expected <= 0 || alone <= 0 {
		return
	}
	throughput := float64(min(took, expected)) / float64(alone)
	s.inTime = !late(took, expected)
	switch {
	case !s.inTime:
		s.see(now, (1-smoothing)*s.seen()+smoothing*throughput)
	case throughput > s.seen():
		s.see(now, throughput)
	}
}

// running takes in a load in progress.
func (s *speed) running(now time.Time, ran, expected, alone time.Duration) {
	if expected <= 0 || alone <= 0 || !late(ran, expected) {
		return
	}
	s.inTime = false
	if throughput := float64(expected) / float64(alone); throughput < s.at(now) {
		s.see(now, throughput)
	}
}

func late(took, expected time.Duration) bool {
	return float64(took) >= lateFactor*float64(expected)
}

func (s *speed) see(now time.Time, throughput float64) {
	s.throughput, s.seenAt = throughput, now
}
