package replay

import (
	"time"

	"chervilreach/core/fleet"
)

// store is the weight store: up to so many loads run at full speed, more share
// it; a slowed store has less to share.
type store struct {
	clock          *clock
	fullSpeedLoads float64
	slowdown       float64
	loads          map[fleet.OrderID]*load
	asOf           time.Time
	// turn numbers the changes, so that outdated timers do nothing.
	version int
}

// load is one load in progress; left is its time at full speed.
type load struct {
	remaining time.Duration
	done      func()
}

func newStore(c *clock, fullSpeedLoads int) *store {
	return &store{clock: c, fullSpeedLoads: float64(fullSpeedLoads), slowdown: 1, loads: make(map[fleet.OrderID]*load), asOf: c.now}
}

// start begins a load and calls done when it has ended.
func (s *store) start(id fleet.OrderID, full time.Duration, done func()) {
	s.advance()
	s.loads[id] = &load{remaining: full, done: done}
	s.scheduleNext()
}

// stop ends a load without calling done.
func (s *store) abort(id fleet.OrderID) {
	s.advance()
	delete(s.loads, id)
	s.scheduleNext()
}

// setSlow divides the speed by a factor.
func (s *store) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.scheduleNext()
}

// rate is the speed of each load in progress.
func (s *store) rate() float64 {
	return min(1, s.fullSpeedLoads/s.slowdown/float64(max(len(s.loads), 1)))
}

// advance counts what was loaded since the last change.
func (s *store) advance() {
	done := time.Duration(float64(s.clock.now.Sub(s.asOf)) * s.rate())
	for _, l := range s.loads {
		l.remaining -= done
	}
	s.asOf = s.clock.now
}

// plan sets a timer for the next load to end.
func (s *store) scheduleNext() {
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

// finish ends the loads that have nothing left.
func (s *store) finishLoads() {
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
