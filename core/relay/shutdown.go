package relay

import (
	"time"

	"chervilreach/core/route"
)

// shutdownSendShare is the part of the shutdown period, from its start, in which waiting
// requests are still sent. The rest is left for their answers; streams take seconds.
const shutdownSendShare = 0.5

// shutdownStarted sets the deadlines of the shutdown period and refuses the waiting requests
// that can't be sent in time. Their answers would be cut off here, while another router can
// serve them at once.
func (s *State) shutdownStarted(ev ShutdownStarted) {
	left := max(ev.By.Sub(s.now), 0)
	s.sendBy = s.now.Add(time.Duration(float64(left) * shutdownSendShare))
	s.endBy = ev.By
	s.emitWake(s.sendBy)
	s.dispatchWaiting()
}

// shutdownOver reports whether the shutdown period has ended.
func (s *State) shutdownOver() bool {
	return !s.endBy.IsZero() && !s.now.Before(s.endBy)
}

// wouldBeCutOff reports whether the answer to a request that has not run yet would probably
// be cut off by the shutdown, so that another router should serve the request.
func (s *State) wouldBeCutOff(r *request) bool {
	return r.Route.Kind == route.Stream && r.possibleRuns == 0 && !r.partlyAnswered && s.tooLateToSend(s.now)
}

// tooLateToSend reports whether the answer to a request that is sent at the given time may
// be cut off by the shutdown.
func (s *State) tooLateToSend(at time.Time) bool {
	return !s.sendBy.IsZero() && !at.Before(s.sendBy)
}
