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

// Options are what a router is built with.
type Options struct {
	Process fleet.ProcessID
	// HostLag is the longest that the platform's host list lags behind.
	HostLag time.Duration
	// LoadTime is assumed for loads whose end no agent has estimated.
	LoadTime time.Duration
	// MaxRunning is the most requests that one replica runs at once.
	MaxRunning int
	// AckMost is the longest that an agent may take to acknowledge an offer before
	// its connection counts as silent; 0 for DefaultAckMost.
	AckMost time.Duration
}

// DefaultAckMost is Options.AckMost of a deployment: a round trip between
// regions and a busy agent, well below the shortest patience of a call.
const DefaultAckMost = 150 * time.Millisecond

// State is the reducer of one router.
type State struct {
	opt       Options
	set       *record.Set
	roster    place.Roster
	routers   []fleet.ProcessID
	endpoints map[fleet.EndpointID]*endpoint
	// order lists the endpoints by ID.
	order []fleet.EndpointID

	placements map[fleet.ModelID]*placed
	synced     bool
	proposeAt  time.Time
	proposedAt time.Time
	// settleBy is when a new router proposes whoever has reported.
	settleBy time.Time
	writeSeq uint64

	calls    map[fleet.RequestID]*call
	timers   *timer.Queue[fleet.RequestID]
	members  map[fleet.MemberID]int
	affinity affinity
	budget   budget
	connSeq  uint64

	granter *permit.Granter
	asks    map[fleet.OrderID]uint64

	draining bool
	drained  bool

	out []event.Effect
}

// New returns the reducer of a router that has seen no event.
func New(opt Options) *State {
	if opt.AckMost == 0 {
		opt.AckMost = DefaultAckMost
	}
	return &State{
		opt:        opt,
		endpoints:  make(map[fleet.EndpointID]*endpoint),
		placements: make(map[fleet.ModelID]*placed),
		calls:      make(map[fleet.RequestID]*call),
		timers:     timer.New[fleet.RequestID](),
		members:    make(map[fleet.MemberID]int),
		affinity:   newAffinity(),
		asks:       make(map[fleet.OrderID]uint64),
		budget:     newBudget(),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.out = nil
	s.dispatch(now, ev)
	s.expire(now)
	s.advancePlacements(now)
	s.advancePermits(now)
	if s.draining && !s.drained && len(s.calls) == 0 {
		s.drained = true
		s.emit(Drained{})
	}
	if next := s.timers.Next(); !next.IsZero() {
		s.emit(event.Wake{At: next})
	}
	return s.out
}

// dispatch hands an event to its handler.
func (s *State) dispatch(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case HostsListed:
		s.hostsListed(now, ev.List)
	case ConfigAccepted:
		s.configAccepted(ev.Set)
	case LoadReported:
		s.loadReported(now, ev)
	case EndpointLost:
		s.suspect(now, ev.Endpoint)
	case Arrived:
		s.arrived(now, ev.Call)
	case Gone:
		s.gone(ev.ID)
	case ClaimRead:
		s.claimRead(now, ev)
	case PlacementsSynced:
		s.synced = true
	case PlacementRead:
		s.placementRead(now, ev)
	case PlacementWritten:
		s.placementWritten(now, ev)
	case AssignAnswered:
		s.assignAnswered(ev)
	case PermitAsked:
		s.permitAsked(now, ev)
	case PermitReturned:
		s.permitReturned(now, ev)
	case DrainAsked:
		s.draining = true
		s.note("draining", "", "", "")
	default:
		s.dispatchOffer(now, ev)
	}
}

// dispatchOffer hands on the events that answer an offer. Those that answer
// an earlier offer than the call's present one are dropped.
func (s *State) dispatchOffer(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case Sent:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.sent(now, c, ev.Instance)
		}
	case Unsent:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.unsent(now, c)
		}
	case Acked:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.acked(now, c)
		}
	case Refused:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.refused(now, c, ev.Refusal)
		}
	case Began:
		if c, ok := s.calls[ev.ID]; ok {
			s.began(now, c, ev.Conn)
		}
	case Ended:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.ended(c)
		}
	case Broke:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.broke(now, c)
		}
	case Diverged:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.finish(c, fleet.Refusal{
				Code: fleet.CodeEngineFailed, NotRun: fleet.NotRunFalse,
				Detail: "a repeated answer differs from what was delivered",
			})
		}
	case TombstoneRead:
		if c := s.current(ev.ID, ev.Conn); c != nil {
			s.tombstoneRead(now, c, ev.State)
		}
	}
}

// current returns the call whose present offer an event answers; nil when the
// event is late.
func (s *State) current(id fleet.RequestID, conn uint64) *call {
	c, ok := s.calls[id]
	if !ok || c.conn != conn {
		s.count("events-late")
		return nil
	}
	return c
}

func (s *State) emit(eff event.Effect) { s.out = append(s.out, eff) }

func (s *State) count(name string) { s.emit(event.Count{Name: "router." + name, N: 1}) }

func (s *State) note(change string, m fleet.ModelID, e fleet.EndpointID, detail string) {
	s.emit(event.Note{Change: change, Model: string(m), Endpoint: string(e), Detail: detail})
}

func (s *State) configAccepted(set *record.Set) {
	if s.set != nil && set.Revision <= s.set.Revision {
		return
	}
	s.set = set
	if s.granter != nil {
		s.granter.SetLimits(s.limits())
	}
	s.proposeSoon()
	s.note("config-accepted", "", "", "")
}

// hostsListed takes in the platform's host list.
func (s *State) hostsListed(now time.Time, list fleet.HostList) {
	if !s.roster.Update(now, list, s.opt.HostLag) {
		s.count("host-lists-dropped")
		return
	}
	s.routers = s.routers[:0]
	listed := make(map[fleet.EndpointID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		switch h.Role {
		case fleet.RoleEntry:
			if h.State == fleet.HostLive {
				s.routers = append(s.routers, fleet.ProcessID(h.ID))
			}
		case fleet.RoleEndpoint:
			listed[h.Endpoint] = true
			s.hostListed(h)
		}
	}
	slices.Sort(s.routers)
	s.turnGranting(now)
	s.dropUnlisted(listed)
}

// hostListed takes in one endpoint's row of the list.
func (s *State) hostListed(h fleet.Host) {
	e, ok := s.endpoints[h.Endpoint]
	if !ok {
		e = &endpoint{}
		s.endpoints[h.Endpoint] = e
		at, _ := slices.BinarySearch(s.order, h.Endpoint)
		s.order = slices.Insert(s.order, at, h.Endpoint)
	}
	if e.host != h {
		if e.host.Wire != h.Wire {
			s.emit(Connect{Host: h})
		}
		s.note("host-"+string(h.State), "", h.Endpoint, string(h.ID))
		e.host = h
		s.proposeSoon()
	}
}

// dropUnlisted forgets endpoints whose hosts are off the list.
func (s *State) dropUnlisted(listed map[fleet.EndpointID]bool) {
	s.order = slices.DeleteFunc(s.order, func(id fleet.EndpointID) bool {
		if listed[id] {
			return false
		}
		delete(s.endpoints, id)
		s.emit(Disconnect{Endpoint: id})
		s.note("host-gone", "", id, "")
		s.proposeSoon()
		return true
	})
}

// Status is what the operator sees of a router.
type Status struct {
	Revision fleet.Revision `json:"revision"`
	Draining bool           `json:"draining"`
	Calls    int            `json:"calls"`
	// Placed counts the models with an endpoint that may load them.
	Placed    int              `json:"placed"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is one endpoint as a router sees it.
type EndpointStatus struct {
	Endpoint fleet.EndpointID    `json:"endpoint"`
	Domain   fleet.FailureDomain `json:"failure-domain"`
	State    fleet.HostState     `json:"state"`
	Suspect  bool                `json:"suspect"`
	Load     Load                `json:"load"`
}

// Status returns the present state. It may be called between events only.
func (s *State) Status(now time.Time) Status {
	st := Status{Draining: s.draining, Calls: len(s.calls)}
	if s.set != nil {
		st.Revision = s.set.Revision
	}
	for _, p := range s.placements {
		if len(p.assigned) > 0 {
			st.Placed++
		}
	}
	for _, id := range s.order {
		e := s.endpoints[id]
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			Endpoint: id, Domain: e.host.Domain, State: e.host.State,
			Suspect: now.Before(e.suspectUntil), Load: e.load,
		})
	}
	slices.SortFunc(st.Endpoints, func(a, b EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return st
}
