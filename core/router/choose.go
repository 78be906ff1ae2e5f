package router

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
)

// Parameters of the choice of an endpoint.
const (
	// An endpoint that failed is avoided for minSuspectTime. The time doubles with
	// each further failure, up to maxSuspectTime.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 8 * time.Second
	// failureResetTime is how long an endpoint must not fail, from the end of the time
	// in which it was avoided, before its earlier failures no longer count.
	failureResetTime = 10 * time.Second
	// assumedServeTime is the assumed duration of one request in a batch.
	assumedServeTime = time.Second
	// prefixAffinityBonus is how much sooner an endpoint is expected to answer if
	// it was the last to serve the same prompt prefix.
	prefixAffinityBonus = 100 * time.Millisecond
)

// endpoint is what a router knows about one endpoint.
type endpoint struct {
	host fleet.Host
	// loadReport is the latest report; zero until the agent has reported.
	loadReport Load
	// models indexes loadReport.Models by model ID.
	models map[fleet.ModelID]ModelLoad
	// inflight counts this router's calls in progress at the endpoint, by model;
	// calls of services are counted under the empty ID.
	inflight map[fleet.ModelID]int
	// suspectUntil is when the endpoint stops being avoided after a failure.
	suspectUntil time.Time
	// failureCount counts the failures since the endpoint was last stable.
	failureCount int
	// outOfMemoryUntil holds, for each model that the agent refused for lack of
	// memory, when that refusal no longer counts.
	outOfMemoryUntil map[fleet.ModelID]time.Time
}

// handleLoadReport stores an agent's report unless it is stale, that is, not newer
// than the stored one.
func (s *State) handleLoadReport(now time.Time, ev LoadReported) {
	e, ok := s.endpoints[ev.Endpoint]
	if !ok {
		return
	}
	old := e.loadReport
	same := ev.Load.Instance == old.Instance
	if ev.Load.Instance < old.Instance || (same && ev.Load.Sequence < old.Sequence) {
		s.count("reports-late")
		return
	}
	if same && ev.Load.Sequence == old.Sequence {
		return
	}
	if old.Incarnation != ev.Load.Incarnation || old.Instance != ev.Load.Instance || old.Draining != ev.Load.Draining || old.MemoryTotal != ev.Load.MemoryTotal {
		s.scheduleRound()
	}
	e.loadReport = ev.Load
	e.models = make(map[fleet.ModelID]ModelLoad, len(ev.Load.Models))
	for _, m := range ev.Load.Models {
		e.models[m.Model] = m
	}
	s.scheduleRepushIfRestarted(now, ev.Endpoint, old.Instance != ev.Load.Instance)
}

// markSuspect records a failure of an endpoint: calls avoid the endpoint for a while. It
// does nothing while the endpoint is avoided already.
func (s *State) markSuspect(now time.Time, id fleet.EndpointID) {
	e, ok := s.endpoints[id]
	if !ok || now.Before(e.suspectUntil) {
		return
	}
	pause := min(minSuspectTime<<min(e.failureCount, 8), maxSuspectTime)
	e.failureCount++
	e.suspectUntil = now.Add(pause)
	s.count("suspects")
	s.note("suspect", "", id, "")
}

// resetFailuresIfStable resets the failure count of an endpoint that has acknowledged
// an offer, but only if it has not failed for a while, so that an endpoint that keeps
// failing is avoided for longer each time.
func (s *State) resetFailuresIfStable(now time.Time, id fleet.EndpointID) {
	e, ok := s.endpoints[id]
	if !ok || e.failureCount == 0 || now.Before(e.suspectUntil.Add(failureResetTime)) {
		return
	}
	e.failureCount = 0
	s.note("steady", "", id, "")
}

// leaving reports whether the endpoint is draining and gets no new calls.
func (e *endpoint) leaving() bool {
	return e.loadReport.Draining || e.host.State == fleet.HostLeaving
}

// candidates returns the endpoints that may run a target, in order of preference.
// It does not check whether they are reachable.
func (s *State) candidates(t fleet.Target) []fleet.EndpointID {
	if t.Service != "" {
		if s.config == nil {
			return nil
		}
		return s.config.Services[t.Service].Endpoints
	}
	p, ok := s.placements[t.Model]
	switch {
	case ok && p.revision > 0:
		return p.assigned
	case !s.placementsSynced:
		return s.reportedHolders(t.Model)
	default:
		return nil
	}
}

// reportedHolders returns the endpoints whose agents list a model in their
// reports and are not unloading it, sorted by ID. It replaces the placement while
// placements have not been read. This is safe because agents themselves check
// whether they may load a model.
func (s *State) reportedHolders(m fleet.ModelID) []fleet.EndpointID {
	var found []fleet.EndpointID
	for _, id := range s.endpointIDs {
		if report, ok := s.endpoints[id].models[m]; ok && report.Stage != "unloading" {
			found = append(found, id)
		}
	}
	return found
}

// chooseEndpoint returns the endpoint that is expected to answer the call first,
// and false if there is none. Endpoints that have failed or refused the call are
// left out; suspect endpoints are chosen only if there is no other.
func (s *State) chooseEndpoint(now time.Time, c *call) (fleet.EndpointID, bool) {
	var best fleet.EndpointID
	var bestAt time.Time
	bestSuspect := false
	lastServer := s.affinity.get(c.PrefixHash)
	for _, id := range s.candidates(c.Target) {
		e, ok := s.endpoints[id]
		if !ok || e.leaving() || slices.Contains(c.excluded, id) {
			continue
		}
		suspect := now.Before(e.suspectUntil)
		at := s.expectedStart(now, e, c.Target)
		if lastServer == id {
			at = at.Add(-prefixAffinityBonus)
		}
		better := best == "" || (bestSuspect && !suspect) || (suspect == bestSuspect && at.Before(bestAt))
		if better {
			best, bestAt, bestSuspect = id, at, suspect
		}
	}
	return best, best != ""
}

// expectedStart estimates when an endpoint would begin to answer a new call.
func (s *State) expectedStart(now time.Time, e *endpoint, t fleet.Target) time.Time {
	if t.Service != "" {
		return now.Add(time.Duration(e.inflight[""]) * time.Millisecond)
	}
	m, ok := e.models[t.Model]
	ready := now
	switch {
	case !ok || m.Stage == "cold" || m.Stage == "unloading":
		ready = now.Add(s.opt.LoadTime)
		if e.inflight[t.Model] == 0 {
			// Prefer an endpoint where another call of this router has already caused
			// the load: joining that load avoids a second one from the weight store.
			ready = ready.Add(s.opt.LoadTime)
		}
	case m.Stage != "warm" && m.ReadyAt.After(now):
		ready = m.ReadyAt
	}
	// The report counts the calls of all routers but may not include the latest ones
	// of this router.
	waiting := max(m.Queued+m.Running, e.inflight[t.Model])
	queueTime := time.Duration(waiting) * assumedServeTime / time.Duration(max(s.opt.MaxRunning, 1))
	return ready.Add(queueTime)
}

// modelPlacement is the placement of one model as last read from the key-value
// service, with the state of its next proposal.
type modelPlacement struct {
	placement place.Placement
	// revision is that of the key; 0 while the placement has not been read.
	revision fleet.Revision
	// assigned lists the endpoints that may load the model, in order of preference.
	assigned []fleet.EndpointID
	// pendingProposal is a proposal whose write has no known outcome yet; nil if there is
	// none. The placement is read again at rereadAt to find out.
	pendingProposal *place.Placement
	rereadAt        time.Time
	// confirmedReleases lists unloads that agents have confirmed and the placement does not
	// reflect yet.
	confirmedReleases []place.ConfirmedRelease
	// nextPushAt is when unconfirmed assignments are pushed again.
	nextPushAt time.Time
	// confirmedGenerations holds the generation that each endpoint's agent last confirmed.
	confirmedGenerations map[fleet.EndpointID]fleet.Generation
}
