package relay

import (
	"slices"
	"time"
)

// An endpoint's own word is what it says of itself in its answers to this router: that it is
// leaving, or that it wants no requests for some time. It is first-hand, so that it holds whatever
// the list, the agent or other routers say, until the endpoint's process has ended. It concerns
// this router alone and is told to nobody.

const (
	// maxHoldOff bounds the time for which an endpoint can hold this router off with one answer.
	maxHoldOff = 10 * time.Minute
	// holdOffSpread is the part of a hold-off, at most maxHoldOffSpread, over which the routers
	// that were held off together return.
	holdOffSpread    = 0.1
	maxHoldOffSpread = time.Second
	// maxLeftInstances bounds the number of leaving instances that are remembered after they have
	// been taken off the list.
	maxLeftInstances = 1024
)

// Word is an endpoint's own word in one answer. The zero value says nothing.
type Word struct {
	// Leaving reports whether the endpoint is leaving.
	Leaving bool
	// HoldOff is for how long from the answer on the endpoint wants no requests from this router;
	// 0 if it does not say.
	HoldOff time.Duration
}

// IsZero reports whether the word says nothing.
func (w Word) IsZero() bool { return w == Word{} }

// WordHeard carries what the head of an answer says of the endpoint. It must be sent for each answer
// of an endpoint that says something, and for each answer to an attempt with Send.HeldOff.
type WordHeard struct {
	// ID is the answered request, which may have ended meanwhile.
	ID       RequestID
	Instance string
	Word     Word
}

// Kind implements event.Event.
func (WordHeard) Kind() string { return "relay-word" }

// Routine implements event.Routine.
func (WordHeard) Routine() {}

// HeldOff reports that an endpoint holds this router off, or that it has taken a request again, for
// the log.
type HeldOff struct {
	Endpoint string
	// Until is the time until which no requests are sent; zero if the endpoint takes them again.
	Until time.Time
}

// Kind implements event.Effect.
func (HeldOff) Kind() string { return "relay-held-off" }

// ownWord is what an endpoint has said of itself so far.
type ownWord struct {
	leaving bool
	// heldOffUntil is the time until which the endpoint gets no requests; zero if it was never
	// held off. returning reports whether it has not taken a request since.
	heldOffUntil time.Time
	returning    bool
	// trial is the request that is at the endpoint while returning is set; 0 if there is none.
	trial RequestID
}

// takesRequest reports whether the endpoint's word allows one more request now. After a hold-off,
// one request at a time is sent until one is taken.
func (w *ownWord) takesRequest(now time.Time) bool {
	return !now.Before(w.heldOffUntil) && (!w.returning || w.trial == 0)
}

// handleWordHeard applies an endpoint's own word.
func (s *State) handleWordHeard(ev WordHeard) {
	e := s.endpoint(ev.Instance)
	if e == nil {
		return
	}
	if ev.Word.Leaving && !e.word.leaving {
		e.word.leaving = true
		s.rememberLeft(e)
		wasLeaving := e.Leaving
		e.Leaving = true
		s.reportLeaving(e, wasLeaving, EndpointLeaving{Source: sourceEndpoint, Listed: true, ReadAt: s.now})
		s.unassignLoadsIfLeaving(e)
		s.dispatchWaiting()
	}
	if ev.Word.HoldOff > 0 {
		s.holdOff(e, min(ev.Word.HoldOff, maxHoldOff))
		return
	}
	if e.word.returning && e.word.trial == ev.ID {
		e.word.returning, e.word.trial = false, 0
		s.emit(HeldOff{Endpoint: e.Instance})
		s.dispatchWaiting()
	}
}

// holdOff keeps requests from an endpoint for the given time and a little longer, which differs
// between routers. A shorter time does not end an earlier, longer one.
func (s *State) holdOff(e *endpoint, d time.Duration) {
	spread := min(time.Duration(holdOffSpread*float64(d)), maxHoldOffSpread)
	until := s.now.Add(d + time.Duration(e.tieBreak*float64(spread)))
	if until.After(e.word.heldOffUntil) {
		e.word.heldOffUntil = until
		s.emit(HeldOff{Endpoint: e.Instance, Until: until})
	}
	e.word.returning, e.word.trial = true, 0
	s.emitWake(e.word.heldOffUntil)
}

// endTrial notes that a request is no longer at the endpoint.
func (w *ownWord) endTrial(id RequestID) {
	if w.trial == id {
		w.trial = 0
	}
}

// heldOffUntil returns the time at which the first of the endpoints that could serve the request
// takes requests again, if all of them hold the router off.
func (s *State) heldOffUntil(r *request) (time.Time, bool) {
	var at time.Time
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if !s.canServe(e, r) {
			continue
		}
		if !s.now.Before(e.word.heldOffUntil) {
			return time.Time{}, false
		}
		if at.IsZero() || e.word.heldOffUntil.Before(at) {
			at = e.word.heldOffUntil
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

// forgetWord forgets what an endpoint has said, as its process has ended.
func (s *State) forgetWord(e *endpoint) {
	if e.word.leaving {
		s.leftInstances = slices.DeleteFunc(s.leftInstances, func(l leftInstance) bool { return l.instance == e.Instance })
	}
	e.word = ownWord{}
}
