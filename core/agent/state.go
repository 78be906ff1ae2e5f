package agent

import (
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/record"
)

// Bounds in time of the agent.
const (
	// pauseBound is the longest gap between two events after which the agent
	// still trusts its incarnation. After a longer one it may have been paused
	// and replaced, so it asks the key-value service before the next order.
	maxEventGap = 2 * time.Second
	// orderBound is how long an order of a predecessor may still be in flight.
	maxOrderInFlight = 3 * time.Second
	// settleBound is how long the engine's own report must be younger than an
	// order to tell how the order ended without its answer.
	settleDelay = time.Second
	// enginePeriod is how often the engine is asked for its state.
	engineReadPeriod = time.Second
	// confirmPeriod is how often an unconfirmed incarnation is asked for again.
	confirmRetryPeriod = time.Second
	// assignPeriod is how often all assignments are read again after a failure.
	assignmentsRetryPeriod = 2 * time.Second
	// startSlack is how long a start effect may lie before it is dropped.
	maxStartDelay = maxEventGap
)

// Options are what an agent is built with.
type Options struct {
	WarmPolicy WarmPolicy
	// MaxRunning is the most requests that one replica runs at once.
	MaxRunning int
	// MaxQueued is the most requests that wait at this agent.
	MaxQueued int
	// MaxQueuedBytes bounds their bodies together; 0 for no bound.
	MaxQueuedBytes fleet.Bytes
	// LoadTime is assumed for loads until some have been measured.
	LoadTime time.Duration
	// Endpoints is how many share the weight store, for this one's share of it
	// when no router can be reached.
	Endpoints int
}

// State is the reducer of one agent.
type State struct {
	opt      Options
	endpoint fleet.EndpointID
	services map[fleet.ServiceID]*replica
	config   *record.Set

	instance    fleet.Instance
	incarnation fleet.Incarnation
	// confirmed says that the incarnation is known to be the current one.
	confirmed bool
	// lost says that a successor has taken over the engine.
	superseded bool
	// ordersFrom is when orders of a predecessor can be in flight no more.
	predecessorOrdersUntil time.Time
	nextConfirmAt          time.Time
	lastEventAt            time.Time
	// pausedAt is when the last pause was noticed. What was read before it is
	// from the past.
	pausedAt time.Time

	// assignedAll says that all assignments have been read since the start.
	assignmentsKnown      bool
	nextAssignmentsReadAt time.Time

	nextEngineReadAt time.Time
	// engineAsOf is the time of the engine's last report.
	engineAsOf time.Time
	orderSeq   fleet.Generation
	orders     map[fleet.OrderID]pendingOrder

	models  map[fleet.ModelID]*replica
	ledger  ledger
	journal journal
	queued  int
	running int
	// queuedBytes is the size of the bodies that wait, and waiting counts the
	// requests that wait by member.
	queuedBytes    fleet.Bytes
	queuedByMember map[fleet.MemberID]int

	// loads is the time that loads take now, fullSpeed what they take while the
	// weight store is at full speed.
	avgLoadTime       movingAverage
	fullSpeedLoadTime minTracker
	permitSeq         uint64
	localShare        *permit.Local
	storeLimits       permit.Limits
	draining          bool
	drained           bool

	effects []event.Effect
}

// New returns the reducer of an agent that has seen no event.
func New(opt Options) *State {
	return &State{
		opt:               opt,
		services:          make(map[fleet.ServiceID]*replica),
		orders:            make(map[fleet.OrderID]pendingOrder),
		queuedByMember:    make(map[fleet.MemberID]int),
		models:            make(map[fleet.ModelID]*replica),
		ledger:            newLedger(),
		journal:           newJournal(),
		avgLoadTime:       movingAverage{value: opt.LoadTime},
		fullSpeedLoadTime: minTracker{value: opt.LoadTime},
		localShare:        permit.NewLocal(permit.Limits{}, opt.Endpoints),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.effects = nil
	s.detectPause(now)
	s.dispatch(now, ev)
	s.advance(now)
	return s.effects
}

// dispatch hands an event to its handler.
func (s *State) dispatch(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case Started:
		s.handleStarted(now, ev)
	case IncarnationRead:
		s.handleIncarnationRead(now, ev)
	case ConfigAccepted:
		s.handleConfigAccepted(ev)
	case EngineReported:
		s.handleEngineReported(now, ev.State)
	case EngineSilent:
		s.count("engine-silent")
	case Offered:
		s.handleOffered(now, ev.Offer)
	case Cancelled:
		s.handleCancelled(now, ev)
	case Delivered:
		s.handleDelivered(ev.ID)
	case TombstoneAsked:
		s.handleTombstoneAsked(now, ev)
	case StreamBegan:
		s.handleStreamBegan(now, ev.ID)
	case StreamEnded:
		s.handleStreamEnded(now, ev.ID)
	case StreamFailed:
		s.handleStreamFailed(now, ev)
	case OrderEnded:
		s.handleOrderEnded(now, ev)
	case AssignmentRead:
		s.handleAssignmentRead(now, ev)
	case AssignmentsRead:
		s.handleAssignmentsRead(ev)
	case AssignPushed:
		s.handleAssignPushed(now, ev)
	case PermitAnswered:
		s.handlePermitAnswered(now, ev)
	case DrainAsked:
		s.drain(now)
	}
}

// advance does what is due at this time, whatever the event was.
func (s *State) advance(now time.Time) {
	if s.endpoint == "" {
		return
	}
	s.confirmIfDue(now)
	s.readEngineIfDue(now)
	s.readAssignmentsIfDue(now)
	for _, id := range s.journal.expire(now) {
		s.emit(DropAnswer{ID: id})
	}
	for _, r := range s.replicas() {
		s.advanceReplica(now, r)
	}
	if s.draining && !s.drained && s.queued == 0 && s.running == 0 {
		s.drained = true
		s.emit(Drained{})
	}
}

// replicas returns all replicas in a fixed order.
func (s *State) replicas() []*replica {
	all := make([]*replica, 0, len(s.models)+len(s.services))
	for _, r := range s.models {
		all = append(all, r)
	}
	for _, r := range s.services {
		all = append(all, r)
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

func (s *State) count(name string) { s.emit(event.Count{Name: "agent." + name, N: 1}) }

func (s *State) note(change string, model fleet.ModelID, detail string) {
	s.emit(event.Note{
		Change: change, Model: string(model), Endpoint: string(s.endpoint), Detail: detail,
	})
}

func (s *State) handleStarted(now time.Time, ev Started) {
	s.endpoint = ev.Endpoint
	s.instance = ev.Instance
	for _, id := range ev.Services {
		s.services[id] = newServiceReplica(id)
	}
	s.emit(TakeIncarnation{At: now})
	s.nextConfirmAt = now.Add(confirmRetryPeriod)
}

// checkPause distrusts the incarnation after a gap in which this process may
// have been paused.
func (s *State) detectPause(now time.Time) {
	gap := now.Sub(s.lastEventAt)
	paused := !s.lastEventAt.IsZero() && gap > maxEventGap
	s.lastEventAt = now
	if !paused {
		return
	}
	s.pausedAt = now
	s.confirmed = false
	s.nextConfirmAt = now
	s.assignmentsKnown = false
	s.nextAssignmentsReadAt = now
	for _, r := range s.models {
		r.assignmentKnown = false
	}
	s.count("pauses")
	s.note("paused", "", gap.String())
}

func (s *State) confirmIfDue(now time.Time) {
	if s.confirmed || s.superseded || now.Before(s.nextConfirmAt) {
		return
	}
	s.nextConfirmAt = now.Add(confirmRetryPeriod)
	if s.incarnation == 0 {
		s.emit(TakeIncarnation{At: now})
		return
	}
	s.emit(ReadIncarnation{Own: s.incarnation, At: now})
}

func (s *State) handleIncarnationRead(now time.Time, ev IncarnationRead) {
	switch {
	case ev.Err, s.superseded, ev.AskedAt.Before(s.pausedAt), ev.Current < s.incarnation:
		// A lower incarnation than ours is an answer from before we took it.
		s.count("incarnation-unconfirmed")
	case ev.Taken:
		s.incarnation = ev.Current
		s.confirmed = true
		s.predecessorOrdersUntil = now.Add(maxOrderInFlight)
		if ev.Current == 1 {
			s.predecessorOrdersUntil = now
		}
		s.nextEngineReadAt = s.predecessorOrdersUntil
		s.note("incarnation-taken", "", "")
	case ev.Current == s.incarnation && s.incarnation != 0:
		s.confirmed = true
	default:
		s.markSuperseded(now)
	}
}

// loseIncarnation ends this agent, as a successor runs beside the engine: it
// gives no order ever again, refuses what is new and ends what is running.
func (s *State) markSuperseded(now time.Time) {
	s.confirmed = false
	if s.superseded {
		return
	}
	s.superseded = true
	s.note("incarnation-lost", "", "")
	s.drain(now)
}

func (s *State) handleConfigAccepted(ev ConfigAccepted) {
	if s.config != nil && ev.Set.Revision <= s.config.Revision {
		return
	}
	s.config = ev.Set
	s.updateLocalShare(ev.Set.Deployment)
	if w, ok := s.opt.WarmPolicy.(tailWeightSetter); ok {
		w.SetTailWeight(ev.Set.Deployment.TailWeight)
	}
}

// limitLocal gives this endpoint its share of the weight store's limits. While
// a load on it is in progress the share stays as it is.
func (s *State) updateLocalShare(d record.Deployment) {
	limits := permit.Limits{PerSecond: d.LoadsPerSecond, AtOnce: d.LoadsAtOnce}
	if limits == s.storeLimits || s.localLoadInProgress() {
		return
	}
	s.storeLimits = limits
	s.localShare = permit.NewLocal(limits, s.opt.Endpoints)
}

func (s *State) localLoadInProgress() bool {
	for _, r := range s.models {
		if r.permit == permitLocal {
			return true
		}
	}
	return false
}

func (s *State) readEngineIfDue(now time.Time) {
	if now.Before(s.nextEngineReadAt) {
		return
	}
	s.nextEngineReadAt = now.Add(engineReadPeriod)
	s.emit(ReadEngine{})
}

func (s *State) readAssignmentsIfDue(now time.Time) {
	if s.assignmentsKnown || !s.confirmed || now.Before(s.nextAssignmentsReadAt) {
		return
	}
	s.nextAssignmentsReadAt = now.Add(assignmentsRetryPeriod)
	s.emit(ReadAssignments{At: now})
}

// mayOrder says whether orders may go to the engine now: it has told its state
// since the last order of a predecessor can have reached it.
func (s *State) canSendOrders(now time.Time) bool {
	return s.confirmed && !now.Before(s.predecessorOrdersUntil) && !s.engineAsOf.Before(s.predecessorOrdersUntil)
}

// drain begins the end of this process: nothing new, all in progress whole.
// Requests that wait for a load go back to their routers as not run.
func (s *State) drain(now time.Time) {
	if s.draining {
		return
	}
	s.draining = true
	s.note("draining", "", "")
	for _, r := range s.replicas() {
		if r.stage != stageWarm {
			s.refuseAllQueued(now, r, notRunRefusal(fleet.CodeDraining, "the endpoint is leaving", time.Time{}))
		}
	}
}

// average is an exponentially weighted moving average of durations.
type movingAverage struct {
	value time.Duration
}

// averageShare is the inverse of a new sample's weight.
const averageDivisor = 4

// lowest follows the short ones of many durations: quickly down, slowly up. The
// first one replaces what was assumed.
type minTracker struct {
	value time.Duration
	known bool
}

// lowestShare is the inverse of the weight of a sample above the value.
const minRiseDivisor = 64

func (l *minTracker) add(d time.Duration) {
	if !l.known {
		l.value = d
		l.known = true
		return
	}
	if d < l.value {
		l.value += (d - l.value) / averageDivisor
		return
	}
	l.value += (d - l.value) / minRiseDivisor
}

func (a *movingAverage) add(d time.Duration) {
	a.value += (d - a.value) / averageDivisor
}
