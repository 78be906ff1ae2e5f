package agent

import (
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/record"
)

// Time limits and periods of the agent.
const (
	// maxEventGap is the longest time between two events after which the agent still
	// trusts its incarnation. After a longer gap the process may have been suspended
	// and replaced, so it confirms its incarnation with the key-value service before
	// it sends another order.
	maxEventGap = 2 * time.Second
	// maxOrderInFlight limits how long an order may be in flight to the engine. It counts
	// from when this agent took its incarnation, for orders of a predecessor, and from when
	// the outcome became unknown, for its own orders.
	maxOrderInFlight = 3 * time.Second
	// settleDelay is the minimum time from sending an order to an engine report from which
	// the outcome of the order is inferred if no answer has arrived.
	settleDelay = time.Second
	// engineReadPeriod is the period at which the engine's state is read.
	engineReadPeriod = time.Second
	// confirmRetryPeriod is the period at which the agent retries to take or confirm
	// its incarnation.
	confirmRetryPeriod = time.Second
	// assignmentsRetryPeriod is the period at which the list of all assignments is
	// requested until a read succeeds.
	assignmentsRetryPeriod = 2 * time.Second
	// maxStartDelay is how long the execution of a StartRequest effect may be delayed
	// before the effect must be dropped.
	maxStartDelay = maxEventGap
)

// Options configures an agent.
type Options struct {
	// WarmPolicy decides when idle models are unloaded and when models are prewarmed. It may
	// be nil if the agent serves plain services only.
	WarmPolicy WarmPolicy
	// MaxRunning limits the requests running on one replica at a time.
	MaxRunning int
	// MaxQueued limits the requests queued at this agent, over all replicas.
	MaxQueued int
	// MaxQueuedBytes limits the total body size of queued requests; 0 means no limit.
	MaxQueuedBytes fleet.Bytes
	// LoadTime is the assumed duration of a model load until loads have been measured.
	LoadTime time.Duration
	// EndpointCount is the number of endpoints sharing the weight store. It determines this
	// endpoint's share of the store's limits, which applies while no router is reachable.
	EndpointCount int
}

// State is the reducer of one agent. It is not safe for concurrent use.
type State struct {
	opt Options
	// endpoint is empty until the Started event.
	endpoint fleet.EndpointID
	services map[fleet.ServiceID]*replica
	// config is the accepted configuration; nil until one has been received.
	config *record.Config

	instance    fleet.Instance
	incarnation fleet.Incarnation
	// incarnationConfirmed reports whether incarnation is known to be the current one.
	incarnationConfirmed bool
	// superseded is set for good once a successor has taken over the engine.
	superseded bool
	// predecessorOrdersUntil is the time until which orders of a predecessor may still
	// reach the engine.
	predecessorOrdersUntil time.Time
	nextConfirmAt          time.Time
	lastEventAt            time.Time
	// pausedAt is when the last pause of this process was detected. Answers to reads
	// requested before it are stale.
	pausedAt time.Time

	// assignmentsKnown reports whether all assignments have been read since the start
	// or the last pause.
	assignmentsKnown      bool
	nextAssignmentsReadAt time.Time

	nextEngineReadAt time.Time
	// engineAsOf is the time of the newest engine report.
	engineAsOf time.Time
	// lastFenceGeneration is the generation in the fence of the last order.
	lastFenceGeneration fleet.Generation
	// pendingOrders holds the orders without a known outcome.
	pendingOrders map[fleet.OrderID]pendingOrder

	models  map[fleet.ModelID]*replica
	ledger  ledger
	journal journal
	// queuedRequests and runningRequests count requests over all replicas.
	queuedRequests  int
	runningRequests int
	// queuedBytes is the total body size of queued requests; queuedByMember counts
	// queued requests by member.
	queuedBytes    fleet.Bytes
	queuedByMember map[fleet.MemberID]int

	// avgLoadTime is the average duration of recent loads; fullSpeedLoadTime estimates
	// the duration of a load while the weight store is not congested.
	avgLoadTime       movingAverage
	fullSpeedLoadTime minTracker
	// permitSeq numbers the permit requests of this incarnation.
	permitSeq uint64
	// pacer limits loads to this endpoint's share of storeLimits, the limits of the
	// weight store, while no router can be reached for a permit.
	pacer       *permit.Pacer
	storeLimits permit.Limits
	draining    bool
	drained     bool

	// effects collects the effects of the event being applied.
	effects []event.Effect
}

// New returns the reducer of an agent in its initial state.
func New(opt Options) *State {
	return &State{
		opt:               opt,
		services:          make(map[fleet.ServiceID]*replica),
		pendingOrders:     make(map[fleet.OrderID]pendingOrder),
		queuedByMember:    make(map[fleet.MemberID]int),
		models:            make(map[fleet.ModelID]*replica),
		ledger:            newLedger(),
		journal:           newJournal(),
		avgLoadTime:       movingAverage{value: opt.LoadTime},
		fullSpeedLoadTime: minTracker{value: opt.LoadTime},
		pacer:             permit.NewPacer(permit.Limits{}, opt.EndpointCount),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.effects = nil
	s.invalidateAfterPause(now)
	s.dispatch(now, ev)
	s.advance(now)
	return s.effects
}

// dispatch calls the handler of the event. An event without a handler, such as event.Tick,
// only makes advance run.
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
	case EngineReadFailed:
		s.count("engine-silent")
	case Offered:
		s.handleOffered(now, ev.Offer)
	case Cancelled:
		s.handleCancelled(now, ev)
	case Delivered:
		s.handleDelivered(ev.ID)
	case TombstoneRequested:
		s.handleTombstoneRequested(now, ev)
	case AnswerBegan:
		s.handleAnswerBegan(now, ev.ID)
	case AnswerEnded:
		s.handleAnswerEnded(now, ev.ID)
	case AnswerFailed:
		s.handleAnswerFailed(now, ev)
	case OrderEnded:
		s.handleOrderEnded(now, ev)
	case AssignmentRead:
		s.handleAssignmentRead(now, ev)
	case AssignmentsRead:
		s.handleAssignmentsRead(ev)
	case AssignmentPushed:
		s.handleAssignmentPushed(now, ev)
	case PermitAnswered:
		s.handlePermitAnswered(now, ev)
	case DrainRequested:
		s.startDrain(now)
	}
}

// advance performs all work that is due at this time; it runs after every event.
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
	if s.draining && !s.drained && s.queuedRequests == 0 && s.runningRequests == 0 {
		s.drained = true
		s.emit(Drained{})
	}
}

// replicas returns all replicas, sorted so that iteration order is deterministic.
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

// invalidateAfterPause marks the incarnation as unconfirmed and all assignments as unknown
// after a gap between events in which this process may have been suspended.
func (s *State) invalidateAfterPause(now time.Time) {
	gap := now.Sub(s.lastEventAt)
	paused := !s.lastEventAt.IsZero() && gap > maxEventGap
	s.lastEventAt = now
	if !paused {
		return
	}
	s.pausedAt = now
	s.incarnationConfirmed = false
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
	if s.incarnationConfirmed || s.superseded || now.Before(s.nextConfirmAt) {
		return
	}
	s.nextConfirmAt = now.Add(confirmRetryPeriod)
	if s.incarnation == 0 {
		s.emit(TakeIncarnation{At: now})
		return
	}
	s.emit(ReadIncarnation{Incarnation: s.incarnation, At: now})
}

func (s *State) handleIncarnationRead(now time.Time, ev IncarnationRead) {
	switch {
	case ev.Failed, s.superseded, ev.RequestedAt.Before(s.pausedAt), ev.Current < s.incarnation:
		// An incarnation lower than our own was read before ours was taken.
		s.count("incarnation-unconfirmed")
	case ev.Taken:
		s.incarnation = ev.Current
		s.incarnationConfirmed = true
		s.predecessorOrdersUntil = now.Add(maxOrderInFlight)
		if ev.Current == 1 {
			s.predecessorOrdersUntil = now
		}
		s.nextEngineReadAt = s.predecessorOrdersUntil
		s.note("incarnation-taken", "", "")
	case ev.Current == s.incarnation && s.incarnation != 0:
		s.incarnationConfirmed = true
	default:
		s.markSuperseded(now)
	}
}

// markSuperseded shuts this agent down for good because a successor now controls the
// engine: it sends no more orders, refuses new requests and lets running ones finish.
func (s *State) markSuperseded(now time.Time) {
	s.incarnationConfirmed = false
	if s.superseded {
		return
	}
	s.superseded = true
	s.note("incarnation-lost", "", "")
	s.startDrain(now)
}

func (s *State) handleConfigAccepted(ev ConfigAccepted) {
	if s.config != nil && ev.Config.Revision <= s.config.Revision {
		return
	}
	s.config = ev.Config
	s.updatePacer(ev.Config.Deployment)
	if w, ok := s.opt.WarmPolicy.(tailWeightSetter); ok {
		w.SetTailWeight(ev.Config.Deployment.TailWeight)
	}
}

// updatePacer recomputes this endpoint's share of the weight store's limits. The
// share is not replaced while a load started under it is in progress.
func (s *State) updatePacer(d record.Deployment) {
	limits := permit.Limits{PerSecond: d.LoadsPerSecond, MaxConcurrent: d.LoadsAtOnce}
	if limits == s.storeLimits || s.localLoadInProgress() {
		return
	}
	s.storeLimits = limits
	s.pacer = permit.NewPacer(limits, s.opt.EndpointCount)
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
	if s.assignmentsKnown || !s.incarnationConfirmed || now.Before(s.nextAssignmentsReadAt) {
		return
	}
	s.nextAssignmentsReadAt = now.Add(assignmentsRetryPeriod)
	s.emit(ReadAssignments{At: now})
}

// canSendOrders reports whether orders may be sent to the engine now: the incarnation is
// confirmed, and the engine has reported its state after the last time at which an order
// of a predecessor could have reached it.
func (s *State) canSendOrders(now time.Time) bool {
	return s.incarnationConfirmed && !now.Before(s.predecessorOrdersUntil) && !s.engineAsOf.Before(s.predecessorOrdersUntil)
}

// startDrain starts a graceful shutdown: new requests are refused and running ones finish.
// Requests queued for a model that is not warm are refused as not run, so that their
// routers can retry elsewhere.
func (s *State) startDrain(now time.Time) {
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

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct {
	value time.Duration
}

// averageDivisor is the reciprocal of the weight of a new sample in a movingAverage, and of a
// sample below the current value in a minTracker.
const averageDivisor = 4

// minTracker estimates the lower end of a series of durations: value falls quickly towards
// shorter durations and rises slowly towards longer ones. The first sample replaces the
// initial value.
type minTracker struct {
	value     time.Duration
	hasSample bool
}

// minRiseDivisor is the reciprocal of the weight of a sample above the current value of a
// minTracker.
const minRiseDivisor = 64

func (m *minTracker) add(d time.Duration) {
	if !m.hasSample {
		m.value = d
		m.hasSample = true
		return
	}
	if d < m.value {
		m.value += (d - m.value) / averageDivisor
		return
	}
	m.value += (d - m.value) / minRiseDivisor
}

func (a *movingAverage) add(d time.Duration) {
	a.value += (d - a.value) / averageDivisor
}
