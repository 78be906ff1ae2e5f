package relay

import (
	"time"

	"chervilreach/core/route"
)

// sendShare is the part of the time for stopping in which waiting requests are
// still sent; the rest is for their answers, which take seconds as streams.
const shutdownSendShare = 0.5

// stopping refuses what can't be sent in time: another router takes it at once,
// where it would be cut off here.
func (s *State) shutdownStarted(ev ShutdownStarted) {
	left := max(ev.By.Sub(s.now), 0)
	s.sendBy = s.now.Add(time.Duration(float64(left) * shutdownSendShare))
	s.endBy = ev.By
	s.emitWake(s.sendBy)
	s.dispatchWaiting()
}

// timeIsOver says whether the time for stopping is over.
func (s *State) shutdownOver() bool {
	return !s.endBy.IsZero() && !s.now.Before(s.endBy)
}

// beginsTooLate says whether the answer to a request that has not run yet is likely
// to be cut off, so that another router had better send it.
func (s *State) wouldBeCutOff(r *request) bool {
	return r.Route.Kind == route.Stream && r.runs == 0 && !r.answering && s.tooLateToSend(s.now)
}

// tooLateToSend says whether a request that is sent then may be cut off.
func (s *State) tooLateToSend(at time.Time) bool {
	return !s.sendBy.IsZero() && !at.Before(s.sendBy)
}
