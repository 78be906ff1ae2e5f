package relay

import (
	"slices"
	"time"
)

// Endpoints tell in their answers that they are leaving, or that they want no requests from this
// router for some time (backoff). This self-reported status is first-hand: it holds whatever the
// list, the agent or other routers say, until the endpoint's process has ended. It concerns this
// router alone and is not passed on.

const (
	// maxBackoff bounds the backoff that an endpoint can request with one answer.
	maxBackoff = 10 * time.Minute
	// backoffSpread is the part of a backoff, at most maxBackoffSpread, by which routers extend
	// it, each by another amount, so that they do not return at once.
	backoffSpread    = 0.1
	maxBackoffSpread = time.Second
	// maxLeftInstances bounds the number of leaving instances that are remembered after they have
	// been taken off the list.
	maxLeftInstances = 1024
)

// SelfStatus is what an endpoint says of itself in one answer. The zero value says nothing.
type SelfStatus struct {
	// Leaving reports whether the endpoint is leaving.
	Leaving bool
	// Backoff is for how long from the answer on the endpoint wants no requests from this router;
	// 0 if it does not say.
	Backoff time.Duration
}

// IsZero reports whether the status says nothing.
func (s SelfStatus) IsZero() bool { return s == SelfStatus{} }

// SelfStatusReceived carries the status in the head of an endpoint's answer. It must be sent for
// each answer with a status, and for each answer to an attempt with Send.AfterBackoff.
type SelfStatusReceived struct {
	// ID is the answered request, which may have ended meanwhile.
	ID       RequestID
	Instance string
	Status   SelfStatus
}

// Kind implements event.Event.
func (SelfStatusReceived) Kind() string { return "relay-self-status" }

// Routine implements event.Routine.
func (SelfStatusReceived) Routine() {}

// BackoffChanged reports that an endpoint has requested a backoff, or that it has taken a request
// after one, for the log.
type BackoffChanged struct {
	Endpoint string
	// Until is the end of the backoff; zero if the endpoint takes requests again.
	Until time.Time
}

// Kind implements event.Effect.
func (BackoffChanged) Kind() string { return "relay-backoff" }

// selfStatus is the self-reported status of an endpoint as known from all its answers.
type selfStatus struct {
	leaving bool
	// backoffUntil is the end of the last backoff; zero if there was none. returning reports
	// whether the endpoint has not taken a request since.
	backoffUntil time.Time
	returning    bool
	// trial is the request that is at the endpoint while returning is set; 0 if there is none.
	trial RequestID
}

// takesRequest reports whether the status allows one more request now. After a backoff, one request
// at a time is sent until one is taken.
func (s *selfStatus) takesRequest(now time.Time) bool {
	return !now.Before(s.backoffUntil) && (!s.returning || s.trial == 0)
}

// handleSelfStatusReceived applies the status in an endpoint's answer.
func (s *State) handleSelfStatusReceived(ev SelfStatusReceived) {
	e := s.endpoint(ev.Instance)
	if e == nil {
		return
	}
	if ev.Status.Leaving && !e.self.leaving {
		e.self.leaving = true
		s.rememberLeft(e)
		wasLeaving := e.Leaving
		e.deriveLeaving()
		s.reportLeaving(e, wasLeaving, EndpointLeaving{Source: sourceEndpoint, Listed: true, ReadAt: s.now})
		s.unassignLoadsIfLeaving(e)
		s.dispatchWaiting()
	}
	if ev.Status.Backoff > 0 {
		s.startBackoff(e, min(ev.Status.Backoff, maxBackoff))
		return
	}
	if e.self.returning && e.self.trial == ev.ID {
		e.self.returning, e.self.trial = false, 0
		s.emit(BackoffChanged{Endpoint: e.Instance})
		s.dispatchWaiting()
	}
}

// startBackoff keeps requests from an endpoint for the given time and a little longer, which differs
// between routers. A shorter time does not end an earlier, longer one.
func (s *State) startBackoff(e *endpoint, d time.Duration) {
	spread := min(time.Duration(backoffSpread*float64(d)), maxBackoffSpread)
	until := s.now.Add(d + time.Duration(e.tieBreak*float64(spread)))
	if until.After(e.self.backoffUntil) {
		e.self.backoffUntil = until
		s.emit(BackoffChanged{Endpoint: e.Instance, Until: until})
	}
	e.self.returning, e.self.trial = true, 0
	s.emitWake(e.self.backoffUntil)
}

// endTrial notes that a request is no longer at the endpoint.
func (s *selfStatus) endTrial(id RequestID) {
	if s.trial == id {
		s.trial = 0
	}
}

// backoffOfAllUntil returns the time at which the first of the endpoints that could serve the
// request takes requests again, if all of them have requested a backoff.
func (s *State) backoffOfAllUntil(r *request) (time.Time, bool) {
	var at time.Time
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if !s.canServe(e, r) {
			continue
		}
		if !s.now.Before(e.self.backoffUntil) {
			return time.Time{}, false
		}
		if at.IsZero() || e.self.backoffUntil.Before(at) {
			at = e.self.backoffUntil
		}
	}
	return at, !at.IsZero()
}

// leftInstance is an incarnation that has said that it is leaving.
type leftInstance struct {
	instance string
	born     int64
}

// rememberLeft keeps in mind that an endpoint is leaving, for when the list lacks it for a while
// and then has it as ready.
func (s *State) rememberLeft(e *endpoint) {
	s.leftInstances = append(s.leftInstances, leftInstance{e.Instance, e.Born})
	if extra := len(s.leftInstances) - maxLeftInstances; extra > 0 {
		s.leftInstances = slices.Delete(s.leftInstances, 0, extra)
	}
}

// hasLeft reports whether the incarnation of a list entry has said that it is leaving. A number
// that the entry or the endpoint does not have is unknown.
func (s *State) hasLeft(m EndpointEntry) bool {
	return slices.ContainsFunc(s.leftInstances, func(l leftInstance) bool {
		return l.instance == m.Instance && (l.born == m.Born || l.born == 0 || m.Born == 0)
	})
}

// forgetSelfStatus forgets what an endpoint has said, as its process has ended.
func (s *State) forgetSelfStatus(e *endpoint) {
	if e.self.leaving {
		s.leftInstances = slices.DeleteFunc(s.leftInstances, func(l leftInstance) bool { return l.instance == e.Instance })
	}
	e.self = selfStatus{}
}
