package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/origin"
	"chervilreach/core/poison"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// busyPollInterval is the time between two polls while a load request for waiting requests is
	// pending or the end of an order is near, runningPollInterval the shortest while the endpoint executes requests, and
	// idlePollInterval otherwise. They can be short because the endpoint is on the same
	// host and answers from memory.
	busyPollInterval    = 30 * time.Millisecond
	runningPollInterval = 100 * time.Millisecond
	idlePollInterval    = 300 * time.Millisecond
	// pollsPerLoad divides the time that is left of a load to give the interval of polls.
	pollsPerLoad = 4
	// pollTimeout is the time after which an unanswered poll is repeated.
	pollTimeout = time.Second
	// demandTTL is how long a router's demand is valid without being renewed. It is long
	// because a closed connection already reports a router that is gone.
	demandTTL = 2 * time.Minute
)

// State is the reducer of an agent. It is not safe for concurrent use.
type State struct {
	// engine is nil until it is configured.
	engine *route.Engine
	// token is the fencing token, 0 until it is issued.
	token int64
	// snapshot is the latest snapshot of the endpoint.
	snapshot Snapshot
	// snapshotAt is when the poll for snapshot was sent. It is zero while the snapshot is stale:
	// before the first one, after a failed poll and after the answer to an order.
	snapshotAt time.Time
	// routers has the demand of each connected router.
	routers map[uint64]routerDemand
	// pendingOrder is the order in flight, nil if there is none.
	pendingOrder    *pendingOrder
	lastOrderNumber uint64
	// loadedSince is when each loaded model first appeared in a snapshot since the endpoint
	// started.
	loadedSince map[string]time.Time
	// adapterLastUsed is when an adapter was last requested or had running requests.
	adapterLastUsed map[stock.Item]time.Time
	// drainingAdapters has the adapters whose accepted unload waits for their requests to end,
	// with the time after which they count as loaded again.
	drainingAdapters map[stock.Item]time.Time
	// requestedSince is when the load request for an item became pending.
	requestedSince map[stock.Item]time.Time
	// polledAt is when the last poll was sent; pollInFlight reports whether it is unanswered.
	polledAt     time.Time
	pollInFlight bool
	// limits has the limited endpoints by instance.
	limits map[string]*limitedEndpoint
	// judge finds the prompt parts that crash the endpoints of the agent's service.
	judge *poison.Judge
	// origins are the streams of the agent's service that routers have told of.
	origins *origin.Memory
	// endpointDown reports whether the endpoint refused the connection of the last poll.
	endpointDown bool
	// publishedReport is the last report sent to all routers, publishedAt the time of it.
	// interimReport is the last report that was sent to any router.
	publishedReport, interimReport *stock.Report
	publishedAt                    time.Time
	// newRouter and newDemand report whether the event that is being applied is a RouterConnected
	// or a DemandReceived.
	newRouter, newDemand bool
	// requestedLoads caches the result of loadRequests during the event that is being applied. It
	// is valid if requestedLoadsKnown is set.
	requestedLoads      []stock.LoadRequest
	requestedLoadsKnown bool
	// effects collects the effects of the event that is being applied at time now.
	effects []event.Effect
	now     time.Time
}

// routerDemand is the demand of one router. It is ignored after expiresAt.
type routerDemand struct {
	stock.Demand
	expiresAt time.Time
	// told is the last report that was sent to the router; nil if there was none.
	told *stock.Report
}

// pendingOrder is an order that was issued and is not known to have completed.
type pendingOrder struct {
	Order
	// answered reports whether the endpoint has accepted or applied the order.
	answered bool
	// estimatedDone is the expected time of completion.
	estimatedDone time.Time
}

// New returns the state of an agent that has just started.
func New() *State {
	return &State{
		routers:          make(map[uint64]routerDemand),
		loadedSince:      make(map[string]time.Time),
		adapterLastUsed:  make(map[stock.Item]time.Time),
		drainingAdapters: make(map[stock.Item]time.Time),
		requestedSince:   make(map[stock.Item]time.Time),
		limits:           make(map[string]*limitedEndpoint),
		judge:            poison.NewJudge(),
		origins:          origin.NewMemory(),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.now, s.effects = now, nil
	s.newRouter, s.newDemand, s.requestedLoadsKnown = false, false, false
	switch ev := ev.(type) {
	case Observed:
		s.handleObserved(ev)
	case ObserveFailed:
		s.pollInFlight, s.snapshotAt, s.endpointDown = false, time.Time{}, s.endpointDown || ev.Refused
	case DemandReceived:
		s.handleDemand(ev)
	case RouterConnected:
		s.routers[ev.Router] = routerDemand{expiresAt: now.Add(demandTTL)}
		s.newRouter = true
	case RouterDisconnected:
		delete(s.routers, ev.Router)
	case OrderAnswered:
		s.handleAnswer(ev)
	case EngineConfigured:
		s.engine = ev.Engine
	case TokenIssued:
		s.token = ev.Token
	case PermitAsked:
		s.handlePermitAsked(ev)
	case LimitReported:
		s.noteLimit(ev.Limit)
	case OriginsReported:
		s.handleOriginsReported(ev)
	case OriginAsked:
		s.handleOriginAsked(ev)
	case CrashesReported:
		for _, c := range ev.Crashes {
			s.judge.AddCrash(c)
		}
	case PartsAnswered:
		s.judge.Clear(s.now, ev.Parts)
	case PartAcquitted:
		s.judge.Clear(s.now, []poison.Part{ev.Part})
	case VerdictsReported:
		for _, v := range ev.Verdicts {
			s.judge.AddVerdict(v)
		}
	}
	s.judgeParts()
	s.trackLoadRequests()
	s.completeOrderIfDone()
	s.issueNextOrderIfPossible()
	s.pollIfDue()
	s.publishIfDue()
	return s.effects
}

func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

// handleObserved adopts a snapshot unless a later one is known. If the endpoint has
// restarted, the pending order is dropped.
func (s *State) handleObserved(ev Observed) {
	s.pollInFlight, s.endpointDown = false, false
	if ev.AskedAt.Before(s.snapshotAt) {
		return
	}
	if ev.Engine.Born != s.snapshot.Born || ev.Engine.Report.Instance != s.snapshot.Report.Instance {
		s.pendingOrder = nil
		s.loadedSince = make(map[string]time.Time)
		clear(s.drainingAdapters)
	}
	s.snapshot, s.snapshotAt = ev.Engine, ev.AskedAt
	loaded := make(map[string]time.Time, len(s.loadedSince))
	for _, m := range s.snapshot.Report.Models {
		since, ok := s.loadedSince[m.Model]
		if !ok {
			since = s.now
		}
		loaded[m.Model] = since
	}
	s.loadedSince = loaded
	maps.DeleteFunc(s.drainingAdapters, func(a stock.Item, until time.Time) bool {
		return !s.snapshot.Report.Holds(a) || s.now.After(until)
	})
}

// handleDemand replaces the demand of a router and marks the adapters in it as used.
func (s *State) handleDemand(ev DemandReceived) {
	s.newDemand = true
	s.routers[ev.Router] = routerDemand{Demand: ev.Demand, expiresAt: s.now.Add(demandTTL), told: s.routers[ev.Router].told}
	for _, req := range ev.Demand.Wants {
		if req.Item.Adapter != "" {
			s.adapterLastUsed[req.Item] = s.now
		}
	}
	for _, u := range ev.Demand.Uses {
		if u.Adapter != "" {
			s.adapterLastUsed[stock.Item{Model: u.Model, Adapter: u.Adapter}] = s.now
		}
	}
}

// handleAnswer records the answer to the pending order and drops the order if the
// endpoint refused it or did not answer in time. Answers to other orders are ignored.
func (s *State) handleAnswer(ev OrderAnswered) {
	o := s.pendingOrder
	if o == nil || o.Number != ev.Number {
		return
	}
	o.answered = true
	if ev.Answer == Accepted && o.Operation == Unload && o.Item.Adapter != "" {
		s.drainingAdapters[o.Item] = s.now.Add(drainTimeout)
	}
	if ev.Answer != Accepted && ev.Answer != Applied {
		s.pendingOrder = nil
	}
	// The snapshot predates the order.
	s.snapshotAt = time.Time{}
}

// trackLoadRequests updates requestedSince from the pending load requests.
func (s *State) trackLoadRequests() {
	loadRequests := s.loadRequests()
	pending := make(map[stock.Item]time.Time, len(loadRequests))
	for _, req := range loadRequests {
		since, ok := s.requestedSince[req.Item]
		if !ok {
			since = s.now
		}
		pending[req.Item] = since
	}
	s.requestedSince = pending
}

// completeOrderIfDone clears the pending order when it has been answered and a later snapshot
// shows that it is no longer in progress.
func (s *State) completeOrderIfDone() {
	o := s.pendingOrder
	if o == nil || !o.answered || s.snapshotAt.IsZero() {
		return
	}
	if s.snapshot.Busy && o.Item.Adapter == "" || slices.Contains(s.snapshot.Coming, o.Item) {
		return
	}
	s.pendingOrder = nil
}

// pollIfDue emits a Poll if one is due, and otherwise a Wake for the time at which one is due.
func (s *State) pollIfDue() {
	if s.pollInFlight && s.now.Before(s.polledAt.Add(pollTimeout)) {
		s.wakeAt(s.polledAt.Add(pollTimeout))
		return
	}
	interval := idlePollInterval
	switch {
	case s.endpointDown:
		interval = runningPollInterval
	case s.snapshot.Report.Running > 0:
		interval = s.runningPollInterval()
	}
	switch {
	case s.pendingOrder != nil:
		interval = min(s.pendingOrder.pollInterval(s.now), s.runningPollInterval())
	case slices.ContainsFunc(s.loadRequests(), func(req stock.LoadRequest) bool { return req.Waiting > 0 }):
		interval = busyPollInterval
	}
	at := s.polledAt.Add(interval)
	if s.now.Before(at) {
		s.wakeAt(at)
		return
	}
	s.pollInFlight, s.polledAt = true, s.now
	s.emit(Poll{})
}

// pollInterval returns the time between two polls while the order is pending: short when its end
// is near, as the estimate of a long load may be some of its time off.
func (o *pendingOrder) pollInterval(now time.Time) time.Duration {
	left := o.estimatedDone.Sub(now)
	return min(max(busyPollInterval, left/pollsPerLoad), idlePollInterval)
}

// runningPollInterval returns the time between two polls while the endpoint executes requests:
// about a quarter of the time between two reports of the load.
func (s *State) runningPollInterval() time.Duration {
	reportInterval := time.Duration(len(s.routers)) * reportIntervalPerRouter
	return min(max(runningPollInterval, reportInterval/4), idlePollInterval)
}

// wakeAt requests a Tick event at the given time.
func (s *State) wakeAt(at time.Time) { s.emit(event.Wake{At: at}) }

// servableModels returns the loaded models and adapters without those that are being
// unloaded, for which the endpoint refuses requests.
func (s *State) servableModels() []stock.LoadedModel {
	if len(s.drainingAdapters) == 0 && (s.pendingOrder == nil || s.pendingOrder.Operation != Unload) {
		return s.snapshot.Report.Models
	}
	list := make([]stock.LoadedModel, 0, len(s.snapshot.Report.Models))
	for _, m := range s.snapshot.Report.Models {
		if s.isUnloading(stock.Item{Model: m.Model}) {
			continue
		}
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool {
			return s.isUnloading(stock.Item{Model: m.Model, Adapter: a})
		})
		list = append(list, m)
	}
	return list
}

// isUnloading reports whether an unload of the item is pending or waits for requests
// to end.
func (s *State) isUnloading(item stock.Item) bool {
	_, draining := s.drainingAdapters[item]
	return draining || s.pendingOrder != nil && s.pendingOrder.Operation == Unload && s.pendingOrder.Item == item
}

// isBlocked reports whether a load must wait for running requests to end, or for an
// order of unknown duration. Such loads are not reported to routers, so that these try
// other endpoints.
func (s *State) isBlocked(req stock.LoadRequest) bool {
	if s.engine == nil {
		return false
	}
	if s.snapshot.Busy && s.pendingOrder == nil {
		// An earlier agent of this endpoint issued the order; its duration is unknown.
		return true
	}
	if req.Item.Adapter != "" && s.snapshot.Report.Holds(stock.Item{Model: req.Item.Model}) {
		return !s.adapterFits(s.engine.Models[req.Item.Model]) && !slices.ContainsFunc(s.adapters(), func(a stock.Item) bool {
			return s.runningRequestCount(a) == 0
		})
	}
	if req.Item.Adapter != "" || s.usedMB()+s.engine.Models[req.Item.Model].Size <= s.engine.Memory {
		return false
	}
	if o := s.pendingOrder; o != nil {
		return o.Operation == Unload && s.keepValue(o.Item.Model) >= runningValue
	}
	victim, ok := s.victim(req.Item.Model)
	return ok && s.keepValue(victim) >= runningValue
}

// expectedLoads returns the load in progress and the pending ones that are not blocked,
// in order of execution, with their estimated times of completion.
func (s *State) expectedLoads() []stock.ScheduledLoad {
	var list []stock.ScheduledLoad
	readyAt := s.now
	if o := s.pendingOrder; o != nil {
		readyAt = o.estimatedDone
		if o.Operation == Load {
			list = append(list, stock.ScheduledLoad{Item: o.Item, ReadyAt: readyAt})
		}
	}
	for _, req := range s.loadRequests() {
		if s.pendingOrder != nil && s.pendingOrder.Item == req.Item || s.isBlocked(req) {
			continue
		}
		readyAt = readyAt.Add(s.loadTime(req.Item))
		list = append(list, stock.ScheduledLoad{Item: req.Item, ReadyAt: readyAt})
	}
	return list
}

// loadRequests returns the load requests of all routers that are neither expired nor
// fulfilled, with one entry for each item, the most urgent first. The result must not be changed.
func (s *State) loadRequests() []stock.LoadRequest {
	if !s.requestedLoadsKnown {
		s.requestedLoads, s.requestedLoadsKnown = s.mergeDemands(), true
	}
	return s.requestedLoads
}

// mergeDemands returns the result of loadRequests. It also clears demands that have expired.
func (s *State) mergeDemands() []stock.LoadRequest {
	merged := make(map[stock.Item]stock.LoadRequest)
	for id, d := range s.routers {
		if s.now.After(d.expiresAt) {
			s.routers[id] = routerDemand{expiresAt: d.expiresAt, told: d.told}
			continue
		}
		for _, req := range d.Wants {
			if s.snapshot.Report.Holds(req.Item) || s.now.After(req.Deadline) {
				continue
			}
			merged[req.Item] = mergeLoadRequests(merged[req.Item], req)
		}
	}
	list := make([]stock.LoadRequest, 0, len(merged))
	for _, req := range merged {
		list = append(list, req)
	}
	slices.SortFunc(list, s.compareLoadRequests)
	return list
}

// compareLoadRequests orders load requests by priority. Of those with the same one, those that can be in
// time come first, in the order of their targets: while more is requested than the endpoint can load, serving
// the oldest first would make all late.
func (s *State) compareLoadRequests(a, b stock.LoadRequest) int {
	aLate, bLate := s.missesTarget(a), s.missesTarget(b)
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	case !aLate && !a.Target.Equal(b.Target):
		return a.Target.Compare(b.Target)
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Item.Model, b.Item.Model), cmp.Compare(a.Item.Adapter, b.Item.Adapter))
}

// missesTarget reports whether a load that begins now would be late for all that wait for it.
func (s *State) missesTarget(req stock.LoadRequest) bool {
	return !req.Target.IsZero() && s.now.Add(s.loadTime(req.Item)).After(req.Target)
}

// mergeLoadRequests merges two load requests for the same item: it takes the most urgent
// priority and the earliest deadline and adds the waiting requests. Rates are not added
// because each already covers all routers. If a is the zero value, it returns b.
func mergeLoadRequests(a, b stock.LoadRequest) stock.LoadRequest {
	if a.Deadline.IsZero() {
		return b
	}
	a.Rate = max(a.Rate, b.Rate)
	a.Priority = min(a.Priority, b.Priority)
	a.Waiting += b.Waiting
	if b.Target.After(a.Target) {
		a.Target = b.Target
	}
	if b.Deadline.Before(a.Deadline) {
		a.Deadline = b.Deadline
	}
	return a
}
