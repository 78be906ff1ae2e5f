package router

import (
	"fmt"
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
)

// Timing of placement proposals.
const (
	// roundInterval is the usual time between two proposal rounds, in which a router
	// checks the placements of all models that it owns.
	roundInterval = time.Second
	// minRoundGap is the minimum time between two rounds.
	minRoundGap = 200 * time.Millisecond
	// startupReportTimeout is how long a new router waits for endpoints to report
	// before its first round.
	startupReportTimeout = 3 * time.Second
	// writeTimeout is how long the router waits for the outcome of a placement write
	// before it reads the placement again.
	writeTimeout = 2 * time.Second
	// pushInterval is the time between two pushes of an unconfirmed assignment.
	pushInterval = time.Second
	// outOfMemoryTTL is how long an endpoint counts as out of memory for a model
	// that it has refused to load.
	outOfMemoryTTL = 30 * time.Second
)

// handlePlacementRead adopts a placement read from the key-value service. If a
// write of this router is pending and may still take effect, it is repeated.
func (s *State) handlePlacementRead(now time.Time, ev PlacementRead) {
	p := s.placementOf(ev.Model)
	if ev.Failed {
		p.rereadAt = now.Add(writeTimeout)
		return
	}
	if ev.Revision < p.revision {
		s.count("placements-stale")
		return
	}
	if p.pendingProposal != nil && place.ResolveWrite(*p.pendingProposal, ev.Placement) == place.WritePending {
		// The write may still be in flight. Repeating the same write is safe.
		p.rereadAt = now.Add(writeTimeout)
		s.emit(WritePlacement{Placement: *p.pendingProposal, ExpectRevision: ev.Revision})
	} else {
		p.pendingProposal = nil
	}
	s.applyPlacement(now, ev.Model, p, ev.Placement, ev.Revision)
}

// placementOf returns the state of a model's placement, creating it if needed.
func (s *State) placementOf(m fleet.ModelID) *modelPlacement {
	p, ok := s.placements[m]
	if !ok {
		p = &modelPlacement{confirmedGenerations: make(map[fleet.EndpointID]fleet.Generation)}
		s.placements[m] = p
	}
	return p
}

// applyPlacement makes next the current placement of a model unless rev is the
// revision that is already applied.
func (s *State) applyPlacement(now time.Time, m fleet.ModelID, p *modelPlacement, next place.Placement, rev fleet.Revision) {
	if rev == p.revision && p.revision != 0 {
		return
	}
	p.placement = next
	p.revision = rev
	p.assigned = nil
	for _, e := range next.Assigned() {
		p.assigned = append(p.assigned, e.Endpoint)
	}
	p.confirmedReleases = slices.DeleteFunc(p.confirmedReleases, func(r place.ConfirmedRelease) bool {
		e, ok := next.Find(r.Endpoint)
		return !ok || e.Fence != r.Fence
	})
	p.nextPushAt = now
	s.roster.TrackPlacement(now, next, s.opt.HostLag)
	s.note("placed", m, "", fmt.Sprint(p.assigned))
}

// handlePlacementWritten handles the result of writing a proposal. Unless it was
// written, the placement is read again.
func (s *State) handlePlacementWritten(now time.Time, ev PlacementWritten) {
	p := s.placementOf(ev.Model)
	if p.pendingProposal == nil || p.pendingProposal.WriteID != ev.WriteID {
		return
	}
	switch ev.Result {
	case WriteDone:
		next := *p.pendingProposal
		p.pendingProposal = nil
		if ev.Revision > p.revision {
			s.applyPlacement(now, ev.Model, p, next, ev.Revision)
		}
	case WriteConflict:
		p.pendingProposal = nil
		s.count("placements-conflicted")
		s.emit(ReadPlacement{Model: ev.Model})
	case WriteUnknown, WriteUnavailable:
		s.count("placements-unwritten")
		p.rereadAt = now.Add(writeTimeout)
		s.emit(ReadPlacement{Model: ev.Model})
	}
}

// runProposalRoundIfDue runs a proposal round if one is due: it proposes new placements
// for the models that this router owns and pushes assignments to agents that have
// not confirmed them.
func (s *State) runProposalRoundIfDue(now time.Time) {
	if !s.placementsSynced || s.config == nil || now.Before(s.nextRoundAt) || s.awaitingReports(now) {
		return
	}
	s.lastRoundAt = now
	s.nextRoundAt = now.Add(roundInterval)
	input := s.proposalInput(now)
	for _, m := range s.ownedModels() {
		if next, ok := s.proposeModel(now, m, input); ok {
			s.addCommitted(input, m, next)
		}
		s.pushAssignmentsIfDue(now, m)
	}
}

// awaitingReports reports whether a router that has just started should wait for
// more endpoints to report. Otherwise the few that have reported would be assigned
// all models.
func (s *State) awaitingReports(now time.Time) bool {
	if s.reportsDueAt.IsZero() {
		s.reportsDueAt = now.Add(startupReportTimeout)
	}
	if !now.Before(s.reportsDueAt) {
		return false
	}
	for _, e := range s.endpoints {
		if e.loadReport.Incarnation == 0 && e.host.State == fleet.HostLive {
			return true
		}
	}
	return len(s.endpoints) == 0
}

// scheduleRound moves the next proposal round forward after a change, to the
// earliest time that minRoundGap allows. The gap limits the cost, as each round
// goes over the whole fleet.
func (s *State) scheduleRound() {
	earliest := s.lastRoundAt.Add(minRoundGap)
	if earliest.Before(s.nextRoundAt) {
		s.nextRoundAt = earliest
	}
}

// ownedModels returns the models whose placements this router proposes, sorted by
// ID. Besides the configured models these are models that have a placement but are
// no longer configured, whose entries must be released.
func (s *State) ownedModels() []fleet.ModelID {
	var models []fleet.ModelID
	for m := range s.config.Models {
		models = append(models, m)
	}
	for m := range s.placements {
		if _, ok := s.config.Models[m]; !ok {
			models = append(models, m)
		}
	}
	models = slices.DeleteFunc(models, func(m fleet.ModelID) bool {
		return place.Owner(m, s.routers) != s.opt.Process
	})
	slices.Sort(models)
	return models
}

// proposalInput returns the part of place.Input that is the same for all models.
func (s *State) proposalInput(now time.Time) place.Input {
	all := make([]place.Placement, 0, len(s.placements))
	for _, p := range s.placements {
		if p.pendingProposal != nil {
			all = append(all, *p.pendingProposal)
			continue
		}
		all = append(all, p.placement)
	}
	committed := place.CommittedMemory(s.config.Models, all)
	in := place.Input{
		HostListReadAt: s.roster.HostListReadAt(), Revision: s.config.Revision, GoneAt: s.roster.GoneTimes(),
	}
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		in.Endpoints = append(in.Endpoints, e.proposalEndpoint(now, id, committed[id]))
	}
	return in
}

// proposalEndpoint converts an endpoint for place.Input. committed is the memory that
// the current placements may use there.
func (e *endpoint) proposalEndpoint(now time.Time, id fleet.EndpointID, committed fleet.Bytes) place.Endpoint {
	out := place.Endpoint{
		ID: id, Host: e.host.ID, FailureDomain: e.host.FailureDomain, State: e.host.State,
		Incarnation: e.loadReport.Incarnation, Memory: e.loadReport.MemoryTotal, Committed: committed,
	}
	if e.loadReport.Draining {
		out.State = fleet.HostLeaving
	}
	for m, until := range e.outOfMemoryUntil {
		if now.Before(until) {
			out.OutOfMemoryFor = append(out.OutOfMemoryFor, m)
		}
	}
	slices.Sort(out.OutOfMemoryFor)
	return out
}

// addCommitted adds the memory of the entries that a proposal adds to in, so that
// models proposed later in the same round prefer other endpoints.
func (s *State) addCommitted(in place.Input, m fleet.ModelID, next place.Placement) {
	required := place.RequiredMemory(s.config.Models[m])
	for _, e := range next.Entries {
		if _, ok := s.placements[m].placement.Find(e.Endpoint); ok {
			continue
		}
		if at, ok := slices.BinarySearch(s.endpointIDs, e.Endpoint); ok {
			in.Endpoints[at].Committed += required
		}
	}
}

// proposeModel writes a proposal for one model and returns it. It returns false if
// the placement needs no change or an earlier proposal is pending.
func (s *State) proposeModel(now time.Time, m fleet.ModelID, in place.Input) (place.Placement, bool) {
	p := s.placementOf(m)
	if p.pendingProposal != nil {
		if !now.Before(p.rereadAt) {
			p.rereadAt = now.Add(writeTimeout)
			s.emit(ReadPlacement{Model: m})
		}
		return place.Placement{}, false
	}
	in.Model = s.config.Models[m]
	in.Model.ID = m
	in.Released = p.confirmedReleases
	s.writeSeq++
	in.WriteID = fmt.Sprintf("%s/%d/%d", s.opt.Process, now.UnixNano(), s.writeSeq)
	next, changed := place.Propose(in, p.placement)
	if !changed {
		return place.Placement{}, false
	}
	p.pendingProposal = &next
	p.rereadAt = now.Add(writeTimeout)
	s.count("proposals")
	s.emit(WritePlacement{Placement: next, ExpectRevision: p.revision})
	return next, true
}

// pushAssignmentsIfDue pushes to agents the assignments of a model that they have not
// confirmed, and the releases that the placement still contains, once per pushInterval.
func (s *State) pushAssignmentsIfDue(now time.Time, m fleet.ModelID) {
	p := s.placements[m]
	if now.Before(p.nextPushAt) {
		return
	}
	p.nextPushAt = now.Add(pushInterval)
	for _, e := range p.placement.Entries {
		if e.State == place.StateAssigned && p.confirmedGenerations[e.Endpoint] >= e.Fence.Generation {
			continue
		}
		s.emit(PushAssignment{
			Endpoint: e.Endpoint, Model: m, Generation: p.placement.Generation, State: e.State,
		})
	}
}

// scheduleRepushIfRestarted makes the next round push all assignments of an endpoint again
// if its agent has restarted.
func (s *State) scheduleRepushIfRestarted(now time.Time, id fleet.EndpointID, restarted bool) {
	if !restarted {
		return
	}
	for _, p := range s.placements {
		if _, ok := p.placement.Find(id); ok {
			delete(p.confirmedGenerations, id)
			p.nextPushAt = now
		}
	}
}

// handleAssignmentAnswer records that an agent has confirmed or released an
// assignment. Answers count only if the agent has read a placement at least as new
// as the current one.
func (s *State) handleAssignmentAnswer(ev AssignmentAnswered) {
	p, ok := s.placements[ev.Model]
	if !ok || ev.Generation < p.placement.Generation {
		return
	}
	e, ok := p.placement.Find(ev.Endpoint)
	switch {
	case !ok:
	case ev.State == "confirmed":
		p.confirmedGenerations[ev.Endpoint] = ev.Generation
	case ev.State == "released" && e.State == place.StateReleasing:
		p.confirmedReleases = append(p.confirmedReleases, place.ConfirmedRelease{Endpoint: ev.Endpoint, Fence: e.Fence})
		s.scheduleRound()
	}
}
