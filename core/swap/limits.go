package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

// limitMemory is how long the agent remembers a limit that no router has confirmed. Routers
// repeat theirs with each ask for a permit.
const limitMemory = time.Minute

// limitedEndpoint is an endpoint for which the agent grants permits: its own or, if that has no
// agent, another one.
type limitedEndpoint struct {
	limit    stock.EndpointLimit
	schedule quota.Schedule
}

// PermitAsked asks for a permit to send one request to a limited endpoint.
type PermitAsked struct {
	// Number identifies the ask in its PermitAnswered.
	Number uint64
	// Limit is the endpoint's limit as known to the router.
	Limit stock.EndpointLimit
	Ask   quota.Ask
}

// Kind implements event.Event.
func (PermitAsked) Kind() string { return "swap-permit-asked" }

// Routine implements event.Routine.
func (PermitAsked) Routine() {}

// LimitReported carries the limit of an endpoint, or its end, that a router has seen.
type LimitReported struct {
	Limit stock.EndpointLimit
}

// Kind implements event.Event.
func (LimitReported) Kind() string { return "swap-limit" }

// PermitAnswered answers a PermitAsked.
type PermitAnswered struct {
	Number  uint64
	Granted bool
	// StartAt is the start of the permit, or of the next possible one if none is granted.
	StartAt time.Time
}

// Kind implements event.Effect.
func (PermitAnswered) Kind() string { return "swap-permit-answered" }

// Routine implements event.Routine.
func (PermitAnswered) Routine() {}

// handlePermitAsked grants a permit or tells the time of the next possible one.
func (s *State) handlePermitAsked(ev PermitAsked) {
	e := s.noteLimit(ev.Limit)
	if !e.limit.InForce() {
		// The limit has ended, which the router does not know yet.
		s.emit(PermitAnswered{Number: ev.Number, Granted: true, StartAt: s.now})
		return
	}
	ask := ev.Ask
	ask.PerSecond = e.limit.PerSecond
	at, granted := e.schedule.Reserve(s.now, ask)
	s.emit(PermitAnswered{Number: ev.Number, Granted: granted, StartAt: at})
}

// noteLimit updates the limit of an endpoint from what a router has seen, and returns the
// endpoint.
func (s *State) noteLimit(l stock.EndpointLimit) *limitedEndpoint {
	e := s.limits[l.Instance]
	if e == nil {
		e = &limitedEndpoint{}
		s.limits[l.Instance] = e
	}
	if l.Supersedes(e.limit) {
		e.limit = l
	}
	return e
}

// reportedLimits returns the limits for the report to routers, sorted by instance, and forgets
// those that have not been confirmed for limitMemory.
func (s *State) reportedLimits() []stock.EndpointLimit {
	maps.DeleteFunc(s.limits, func(_ string, e *limitedEndpoint) bool {
		return s.now.After(e.limit.SeenAt.Add(limitMemory))
	})
	var list []stock.EndpointLimit
	for _, e := range s.limits {
		list = append(list, e.limit)
	}
	slices.SortFunc(list, func(a, b stock.EndpointLimit) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
