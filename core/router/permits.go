package router

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/place"
)

// permitOwnerKey is passed to place.Owner instead of the ID of a model, to select the
// router that grants permits for loads from the weight store. No model has this ID.
const permitOwnerKey fleet.ModelID = "weight-store"

// handlePermitRequest handles a permit request or renewal. If another router grants
// permits, the request's stream is forwarded to it. A request that has been
// forwarded once is always handled here.
func (s *State) handlePermitRequest(now time.Time, ev PermitRequested) {
	owner := place.Owner(permitOwnerKey, s.routers)
	if owner != s.opt.Process && owner != "" && !ev.Forwarded {
		if to, ok := s.roster.Host(fleet.HostID(owner)); ok {
			s.emit(ForwardPermits{StreamID: ev.StreamID, To: to})
			return
		}
	}
	s.ensureGranting(now)
	s.permitStreams[ev.Request.ID] = ev.StreamID
	if ev.Renew {
		s.granter.Renew(now, ev.Request)
	} else {
		s.granter.Enqueue(now, ev.Request)
	}
	s.emit(AnswerPermit{ID: ev.Request.ID, StreamID: ev.StreamID, Granted: ev.Renew})
}

// handlePermitReturn ends a permit or a permit request.
func (s *State) handlePermitReturn(now time.Time, ev PermitReturned) {
	delete(s.permitStreams, ev.ID)
	if s.granter != nil {
		s.granter.Finish(now, ev.ID, ev.Took)
	}
}

// ensureGranting makes this router grant permits, if it does not already. This
// should happen before the first request, because a new granter first waits until
// the permits of its predecessor have been renewed or have expired.
func (s *State) ensureGranting(now time.Time) {
	if s.granter == nil {
		s.granter = permit.NewGranter(now, s.storeLimits())
		s.note("granting-permits", "", "", "")
	}
}

// updateGranting starts or stops granting permits after a change of the list of
// routers. A router that is not the owner may still have open requests, because
// routers can see different lists. It goes on granting until these have ended, as
// a new granter would make them wait again.
func (s *State) updateGranting(now time.Time) {
	switch place.Owner(permitOwnerKey, s.routers) {
	case s.opt.Process:
		s.ensureGranting(now)
	case "":
	default:
		if len(s.permitStreams) == 0 {
			s.granter = nil
		}
	}
}

// storeLimits returns the load limits of the weight store; the lowest useful ones
// while there is no configuration.
func (s *State) storeLimits() permit.Limits {
	if s.config == nil {
		return permit.Limits{PerSecond: 1, MaxConcurrent: 1}
	}
	d := s.config.Deployment
	return permit.Limits{PerSecond: d.LoadsPerSecond, MaxConcurrent: d.LoadsAtOnce}
}

// sendDuePermitDecisions sends agents the decisions about permits that are due.
func (s *State) sendDuePermitDecisions(now time.Time) {
	if s.granter == nil {
		return
	}
	for _, d := range s.granter.Decide(now) {
		streamID := s.permitStreams[d.ID]
		switch d.Verdict {
		case permit.Granted:
			s.count("permits-granted")
			s.emit(AnswerPermit{ID: d.ID, StreamID: streamID, Granted: true})
		case permit.Refused:
			s.count("permits-refused")
			s.emit(AnswerPermit{ID: d.ID, StreamID: streamID, Refused: true})
			delete(s.permitStreams, d.ID)
		case permit.Expired:
			s.count("permits-lapsed")
			delete(s.permitStreams, d.ID)
		}
	}
	if at := s.granter.WakeAt(now); !at.IsZero() {
		s.emit(event.Wake{At: at})
	}
}
