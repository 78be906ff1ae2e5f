package relay

import (
	"time"

	"chervilreach/core/route"
)

// shutdownSendShare is the part of the shutdown period, from its start, in which waiting
// requests are still sent. The rest is left for their answers; streams take seconds.
const shutdownSendShare = 0.5

// handleShutdownStarted sets the deadlines of the shutdown period and refuses the waiting
// requests that can't be sent in time. Their answers would be cut off here, while another
// router can serve them at once.
func (s *State) handleShutdownStarted(ev ShutdownStarted) {
	remaining := max(ev.By.Sub(s.now), 0)
	s.shutdownSendBy = s.now.Add(time.Duration(float64(remaining) * shutdownSendShare))
	s.shutdownEndBy, s.drainAt = ev.By, ev.DrainAt
	s.emitWake(s.shutdownSendBy)
	s.dispatchWaiting()
}

// shutdownOver reports whether the shutdown period has ended.
func (s *State) shutdownOver() bool {
	return !s.shutdownEndBy.IsZero() && !s.now.Before(s.shutdownEndBy)
}

// wouldBeCutOff reports whether the answer to a request that has not run yet would probably
// be cut off by the shutdown, so that another router should serve the request.
func (s *State) wouldBeCutOff(r *request) bool {
	isLate := s.tooLateToSend(s.now) || !s.drainAt.IsZero() && r.arrivedAt.After(s.drainAt)
	return r.Route.Kind == route.Stream && r.possibleRunCount == 0 && !r.partlyAnswered && isLate
}

// tooLateToSend reports whether the answer to a request that is sent at the given time may
// be cut off by the shutdown.
func (s *State) tooLateToSend(at time.Time) bool {
	return !s.shutdownSendBy.IsZero() && !at.Before(s.shutdownSendBy)
}
