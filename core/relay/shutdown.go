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
	s.emitWake(s.shutdownEndBy)
	s.dispatchWaiting()
}

// shutdownOver reports whether the shutdown period has ended.
func (s *State) shutdownOver() bool {
	return !s.shutdownEndBy.IsZero() && !s.now.Before(s.shutdownEndBy)
}

// wouldBeCutOff reports whether the answer to a request that has not run yet would probably
// be cut off by the shutdown, so that another router should serve the request.
func (s *State) wouldBeCutOff(r *request) bool {
	if r.Route.Kind == route.Stream {
		return r.possibleRunCount == 0 && !r.partlyAnswered && s.isLate(r)
	}
	expected, ok := s.expectedAnswerTime(r)
	return ok && s.now.Add(expected).After(s.shutdownEndBy)
}

// wouldBeCutOffAt is wouldBeCutOff for a request that would be sent to e: it is not known when an endpoint that has
// been silent for longer than an answer takes will answer.
func (s *State) wouldBeCutOffAt(r *request, e *endpoint) bool {
	expected, ok := s.expectedAnswerTime(r)
	return ok && e.isQuietSince(s.now.Add(-expected))
}

// expectedAnswerTime returns how long the answer to a request takes that has not run yet, if the shutdown may cut
// it off. It may not if the request's own deadline is earlier. If no answer of the route is known, it is
// the route's objective for requests that come late; others are sent.
func (s *State) expectedAnswerTime(r *request) (time.Duration, bool) {
	if s.shutdownEndBy.IsZero() || r.Route.Kind == route.Stream || r.possibleRunCount > 0 || !r.Deadline.After(s.shutdownEndBy) {
		return 0, false
	}
	if a, ok := s.answerTimes[r.Route.Name]; ok {
		return a.expected(), true
	}
	return r.Route.Objective, s.isLate(r)
}

// isLate reports whether the request comes, or would be sent, late in the shutdown period.
func (s *State) isLate(r *request) bool {
	return s.tooLateToSend(s.now) || !s.drainAt.IsZero() && r.arrivedAt.After(s.drainAt)
}

// tooLateToSend reports whether the answer to a request that is sent at the given time may
// be cut off by the shutdown.
func (s *State) tooLateToSend(at time.Time) bool {
	return !s.shutdownSendBy.IsZero() && !at.Before(s.shutdownSendBy)
}
