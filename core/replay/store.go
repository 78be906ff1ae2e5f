package replay

import (
	"time"

	"chervilreach/core/fleet"
)

// weightStore simulates the weight store. Up to fullSpeedLoads loads run at full speed; more
// loads share that bandwidth equally. A slowed store has less bandwidth.
type weightStore struct {
	clock          *clock
	fullSpeedLoads float64
	// slowdown is the factor by which the total bandwidth is divided; 1 is normal.
	slowdown float64
	loads    map[fleet.OrderID]*load
	// asOf is the time up to which the progress of the loads has been computed.
	asOf time.Time
	// version is the number of the latest schedule, so that outdated timers do nothing.
	version int
}

// load is a load in progress. remaining is the time it still needs at full speed; done is
// called at its end.
type load struct {
	remaining time.Duration
	done      func()
}

// newWeightStore returns a weight store without loads.
func newWeightStore(c *clock, fullSpeedLoads int) *weightStore {
	return &weightStore{clock: c, fullSpeedLoads: float64(fullSpeedLoads), slowdown: 1, loads: make(map[fleet.OrderID]*load), asOf: c.now}
}

// start begins a load that takes the time full at full speed. It calls done when the load
// is finished.
func (s *weightStore) start(id fleet.OrderID, full time.Duration, done func()) {
	s.advance()
	s.loads[id] = &load{remaining: full, done: done}
	s.scheduleNext()
}

// abort removes a load in progress without calling done.
func (s *weightStore) abort(id fleet.OrderID) {
	s.advance()
	delete(s.loads, id)
	s.scheduleNext()
}

// setSlowdown sets the factor by which the total bandwidth is divided.
func (s *weightStore) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.scheduleNext()
}

// rate returns the present speed of each load as a fraction of full speed.
func (s *weightStore) rate() float64 {
	return min(1, s.fullSpeedLoads/s.slowdown/float64(max(len(s.loads), 1)))
}

// advance updates the remaining times of the loads to the current time. It must be called
// before each change of loads or slowdown.
func (s *weightStore) advance() {
	done := time.Duration(float64(s.clock.now.Sub(s.asOf)) * s.rate())
	for _, l := range s.loads {
		l.remaining -= done
	}
	s.asOf = s.clock.now
}

// scheduleNext schedules finishLoads for the earliest end of a load, and invalidates the
// timer set before.
func (s *weightStore) scheduleNext() {
	s.version++
	version := s.version
	if len(s.loads) == 0 {
		return
	}
	least := time.Duration(1<<63 - 1)
	for _, l := range s.loads {
		least = min(least, l.remaining)
	}
	wait := time.Duration(float64(max(least, 0))/s.rate()) + time.Microsecond
	s.clock.after(wait, func() {
		if version == s.version {
			s.finishLoads()
		}
	})
}

// finishLoads removes the finished loads and calls their done functions, in order of their
// IDs.
func (s *weightStore) finishLoads() {
	s.advance()
	var ended []*load
	for _, id := range sortedKeys(s.loads) {
		if l := s.loads[id]; l.remaining <= 0 {
			delete(s.loads, id)
			ended = append(ended, l)
		}
	}
	s.scheduleNext()
	for _, l := range ended {
		l.done()
	}
}
