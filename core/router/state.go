package router

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/place"
	"chervilreach/core/record"
	"chervilreach/core/timer"
)

// Options configures a router.
type Options struct {
	// Process is this router's ID. It must equal the ID of its host in the
	// platform's host list, from which routers learn of each other.
	Process fleet.ProcessID
	// HostLag is the maximum delay with which the platform's host list shows a
	// change of the fleet.
	HostLag time.Duration
	// LoadTime is the assumed duration of a model load for which no agent has
	// reported an estimate.
	LoadTime time.Duration
	// MaxRunning is the maximum number of requests that one replica runs
	// concurrently.
	MaxRunning int
	// MaxAckTimeout bounds how long the router waits for an agent to acknowledge
	// an offer before it treats the connection as silent; 0 means
	// DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration
}

// DefaultMaxAckTimeout is used when Options.MaxAckTimeout is 0. It covers a round
// trip between regions to a busy agent and is well below the shortest time that
// callers give a call.
const DefaultMaxAckTimeout = 150 * time.Millisecond

// State is the reducer of one router. It is not safe for concurrent use.
type State struct {
	opt Options
	// config is the accepted configuration; nil until there is one.
	config *record.Config
	roster place.Roster
	// routers lists the live routers in ascending order.
	routers   []fleet.ProcessID
	endpoints map[fleet.EndpointID]*endpoint
	// endpointIDs holds the keys of endpoints in ascending order.
	endpointIDs []fleet.EndpointID

	placements map[fleet.ModelID]*modelPlacement
	// placementsSynced reports whether all placements have been read once.
	placementsSynced bool
	// nextRoundAt and lastRoundAt are when placements are proposed next, and when
	// they were last.
	nextRoundAt time.Time
	lastRoundAt time.Time
	// reportsDueAt is when a router that has just started proposes placements
	// even if some endpoints have not reported.
	reportsDueAt time.Time
	// writeSeq numbers the proposals of this router for their write IDs.
	writeSeq uint64

	// calls holds the calls in progress, timers the timeouts of their phases.
	calls  map[fleet.RequestID]*call
	timers *timer.Queue[fleet.RequestID]
	// callCountByMember counts the calls in progress of each member.
	callCountByMember map[fleet.MemberID]int
	affinity          affinity
	retryBudget       retryBudget
	// exchangeSeq is the last exchange ID that was assigned.
	exchangeSeq uint64

	// granter is nil while this router does not grant load permits.
	granter *permit.Granter
	// permitStreams maps each open permit request to the stream it arrived on.
	permitStreams map[fleet.OrderID]uint64

	draining bool
	drained  bool

	// effects collects the effects of the event that is being applied.
	effects []event.Effect
}

// New returns the state of a router to which no event has been applied.
func New(opt Options) *State {
	if opt.MaxAckTimeout == 0 {
		opt.MaxAckTimeout = DefaultMaxAckTimeout
	}
	return &State{
		opt:               opt,
		endpoints:         make(map[fleet.EndpointID]*endpoint),
		placements:        make(map[fleet.ModelID]*modelPlacement),
		calls:             make(map[fleet.RequestID]*call),
		timers:            timer.New[fleet.RequestID](),
		callCountByMember: make(map[fleet.MemberID]int),
		affinity:          newAffinity(),
		permitStreams:     make(map[fleet.OrderID]uint64),
		retryBudget:       newBudget(),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.effects = nil
	s.dispatch(now, ev)
	s.handleTimeouts(now)
	s.runProposalRoundIfDue(now)
	s.sendDuePermitDecisions(now)
	if s.draining && !s.drained && len(s.calls) == 0 {
		s.drained = true
		s.emit(Drained{})
	}
	if next := s.timers.NextDeadline(); !next.IsZero() {
		s.emit(event.Wake{At: next})
	}
	return s.effects
}

// dispatch calls the handler of an event.
func (s *State) dispatch(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case HostsListed:
		s.handleHostList(now, ev.List)
	case ConfigAccepted:
		s.handleConfig(ev.Config)
	case LoadReported:
		s.handleLoadReport(now, ev)
	case EndpointLost:
		s.markSuspect(now, ev.Endpoint)
	case CallArrived:
		s.handleArrival(now, ev.Call)
	case CallerDisconnected:
		s.handleCallerDisconnected(ev.ID)
	case ClaimResolved:
		s.handleClaimResult(now, ev)
	case PlacementsSynced:
		s.placementsSynced = true
	case PlacementRead:
		s.handlePlacementRead(now, ev)
	case PlacementWritten:
		s.handlePlacementWritten(now, ev)
	case AssignmentAnswered:
		s.handleAssignmentAnswer(ev)
	case PermitRequested:
		s.handlePermitRequest(now, ev)
	case PermitReturned:
		s.handlePermitReturn(now, ev)
	case DrainRequested:
		s.draining = true
		s.note("draining", "", "", "")
	default:
		s.dispatchExchange(now, ev)
	}
}

// dispatchExchange calls the handler of an event that belongs to an exchange
// with an agent: an offer or a tombstone request. Except for AnswerBegan, events
// of an exchange that is not the call's current one are counted and dropped.
func (s *State) dispatchExchange(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case OfferSent:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleSent(now, c, ev.Instance)
		}
	case OfferNotSent:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleNotSent(now, c)
		}
	case OfferAcked:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleAck(now, c)
		}
	case OfferRefused:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleRefusal(now, c, ev.Refusal)
		}
	case AnswerBegan:
		if c, ok := s.calls[ev.ID]; ok {
			s.handleAnswerBegan(now, c, ev.ExchangeID)
		}
	case AnswerEnded:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleAnswerEnded(c)
		}
	case StreamBroke:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleStreamBroke(now, c)
		}
	case AnswerDiverged:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.refuseCall(c, fleet.Refusal{
				Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse,
				Detail: "a repeated answer differs from what was delivered",
			})
		}
	case TombstoneAnswered:
		if c := s.currentCall(ev.ID, ev.ExchangeID); c != nil {
			s.handleTombstoneAnswer(now, c, ev.State)
		}
	}
}

// currentCall returns the call whose current exchange has the given ID. It
// returns nil, and counts the event, if the call has ended or started a newer
// exchange.
func (s *State) currentCall(id fleet.RequestID, exchangeID uint64) *call {
	c, ok := s.calls[id]
	if !ok || c.exchangeID != exchangeID {
		s.count("events-late")
		return nil
	}
	return c
}

// emit adds an effect to the result of Apply.
func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

// count adds 1 to the counter "router." + name.
func (s *State) count(name string) { s.emit(event.Count{Name: "router." + name, N: 1}) }

// note reports a change of state for the log and the timeline; m and e are empty
// if the change does not concern a model or an endpoint.
func (s *State) note(change string, m fleet.ModelID, e fleet.EndpointID, detail string) {
	s.emit(event.Note{Change: change, Model: string(m), Endpoint: string(e), Detail: detail})
}

// handleConfig adopts an accepted configuration if it is newer than the present
// one.
func (s *State) handleConfig(config *record.Config) {
	if s.config != nil && config.Revision <= s.config.Revision {
		return
	}
	s.config = config
	if s.granter != nil {
		s.granter.SetLimits(s.storeLimits())
	}
	s.scheduleRound()
	s.note("config-accepted", "", "", "")
}

// handleHostList updates routers and endpoints from the platform's host list. A
// list that is empty or older than the last one is dropped.
func (s *State) handleHostList(now time.Time, list fleet.HostList) {
	if !s.roster.Update(now, list, s.opt.HostLag) {
		s.count("host-lists-dropped")
		return
	}
	s.routers = s.routers[:0]
	listed := make(map[fleet.EndpointID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		switch h.Role {
		case fleet.HostRoleEntry:
			if h.State == fleet.HostLive {
				s.routers = append(s.routers, fleet.ProcessID(h.ID))
			}
		case fleet.HostRoleEndpoint:
			listed[h.Endpoint] = true
			s.updateHost(h)
		}
	}
	slices.Sort(s.routers)
	s.updateGranting(now)
	s.removeUnlisted(listed)
}

// updateHost adds or updates the endpoint of a listed host. It connects to the
// host if its address is new.
func (s *State) updateHost(h fleet.Host) {
	e, ok := s.endpoints[h.Endpoint]
	if !ok {
		e = &endpoint{}
		s.endpoints[h.Endpoint] = e
		at, _ := slices.BinarySearch(s.endpointIDs, h.Endpoint)
		s.endpointIDs = slices.Insert(s.endpointIDs, at, h.Endpoint)
	}
	if e.host != h {
		if e.host.WireAddr != h.WireAddr {
			s.emit(Connect{Host: h})
		}
		s.note("host-"+string(h.State), "", h.Endpoint, string(h.ID))
		e.host = h
		s.scheduleRound()
	}
}

// removeUnlisted removes the endpoints that are not in listed, the endpoints of
// the present host list.
func (s *State) removeUnlisted(listed map[fleet.EndpointID]bool) {
	s.endpointIDs = slices.DeleteFunc(s.endpointIDs, func(id fleet.EndpointID) bool {
		if listed[id] {
			return false
		}
		delete(s.endpoints, id)
		s.emit(Disconnect{Endpoint: id})
		s.note("host-gone", "", id, "")
		s.scheduleRound()
		return true
	})
}

// Status is a snapshot of a router for operators.
type Status struct {
	Revision fleet.Revision `json:"revision"`
	Draining bool           `json:"draining"`
	// Calls is the number of calls in progress.
	Calls int `json:"calls"`
	// PlacedModels is the number of models with at least one assigned endpoint.
	PlacedModels int              `json:"placed"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is a snapshot of what a router knows about one endpoint.
type EndpointStatus struct {
	Endpoint      fleet.EndpointID    `json:"endpoint"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	State         fleet.HostState     `json:"state"`
	// Suspect reports whether the endpoint is avoided because it failed recently.
	Suspect bool `json:"suspect"`
	// Load is the agent's latest report.
	Load Load `json:"load"`
}

// Status returns a snapshot of the router, with endpoints sorted by ID. It must
// not be called concurrently with Apply.
func (s *State) Status(now time.Time) Status {
	st := Status{Draining: s.draining, Calls: len(s.calls)}
	if s.config != nil {
		st.Revision = s.config.Revision
	}
	for _, p := range s.placements {
		if len(p.assigned) > 0 {
			st.PlacedModels++
		}
	}
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			Endpoint: id, FailureDomain: e.host.FailureDomain, State: e.host.State,
			Suspect: now.Before(e.suspectUntil), Load: e.loadReport,
		})
	}
	slices.SortFunc(st.Endpoints, func(a, b EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return st
}
