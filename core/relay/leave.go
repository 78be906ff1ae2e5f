package relay

import "time"

// sendShare is the part of the time for stopping in which waiting requests are
// still sent; the rest is for their answers, which take seconds as streams.
const sendShare = 0.5

// stopping refuses what can't be sent in time: another router takes it at once,
// where it would be cut off here.
func (s *State) stopping(ev Leaving) {
	left := max(ev.By.Sub(s.now), 0)
	s.sendBy = s.now.Add(time.Duration(float64(left) * sendShare))
	s.endBy = ev.By
	s.emitWake(s.sendBy)
	s.serveWaiting()
}

// tooLateToSend says whether a request that is sent then may be cut off.
func (s *State) tooLateToSend(at time.Time) bool {
	return !s.sendBy.IsZero() && !at.Before(s.sendBy)
}
