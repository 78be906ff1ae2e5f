package relay

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// unknownModelRetryDelay is when callers should retry a request for a model that is not
	// configured. The model may be added by the next configuration.
	unknownModelRetryDelay = 2 * time.Second
	// budgetRetryDelay is when callers should retry a request that was refused because the
	// retry budget is used up.
	budgetRetryDelay = time.Second
	// noEndpointRetryDelay is when callers should retry a request for a service without
	// usable endpoints: about the time that the replacement of an endpoint takes.
	noEndpointRetryDelay = time.Second
	// avoidedRetryDelay is the pause before a request is sent again to endpoints that have
	// all rejected it: about the time in which a full engine frees a slot.
	avoidedRetryDelay = 100 * time.Millisecond
	// safeObjectiveFactor and minSafeTimeout limit the time until a plain request that may run twice is
	// sent to another endpoint: this multiple of the route's latency objective
	// (route.Route.Objective), but not less than the minimum.
	safeObjectiveFactor = 2
	minSafeTimeout      = 800 * time.Millisecond
	// silenceObjectiveDivisor, silenceGapFactor and minSilence limit the time until a stream is taken
	// for silent: this part of the route's latency objective before its first event, this multiple of
	// route.Route.MaxGap after an event, but not less than the minimum.
	silenceObjectiveDivisor = 2
	silenceGapFactor        = 2
	minSilence              = 500 * time.Millisecond
	// callerObjectiveFactor, callerGapFactor and minCallerTimeout define how long callers wait
	// for the first event of a stream before they disconnect: the longest of
	// callerObjectiveFactor times the route's latency objective (route.Route.Objective),
	// callerGapFactor times route.Route.MaxGap, and minCallerTimeout. The values are part of
	// the platform's protocol.
	callerObjectiveFactor = 4
	callerGapFactor       = 8
	minCallerTimeout      = 2 * time.Second
	// minRunTime is the minimum time between the start of an attempt and the time at which
	// the caller would disconnect. A request that would have less is refused.
	minRunTime = 50 * time.Millisecond
)

// enqueue adds the request to the queue, or refuses it if it is not expected to be sent in
// time.
func (s *State) enqueue(r *request) {
	s.addWaiting(r)
	until := r.callerTimeoutAt()
	s.emitWake(until)
	if s.tooLateToSend(s.now) {
		s.refuseOrFail(r, Stopping, s.now)
		return
	}
	readyAt, reason := s.expectedSendTime(r)
	if reason == "" {
		// A load may be overdue.
		readyAt = laterTime(readyAt, s.now)
	}
	if reason == "" && s.tooLateToSend(readyAt) {
		s.refuseOrFail(r, Stopping, s.now)
		return
	}
	if reason == "" && readyAt.Add(minRunTime).Before(until) {
		s.emitWait(r, readyAt)
		return
	}
	if reason == "" {
		reason = TooLate
		s.keepLoadForRetryIfInTime(r, readyAt)
	}
	s.refuseOrFail(r, reason, s.retryAt(readyAt))
}

// addWaiting adds the request to the queue unless it is there.
func (s *State) addWaiting(r *request) {
	if slices.Contains(s.waiting, r) {
		return
	}
	s.waiting = append(s.waiting, r)
	slices.SortStableFunc(s.waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.Route.Priority, b.Route.Priority), compareBound(a, b), a.Deadline.Compare(b.Deadline))
	})
}

// compareBound orders streams that have begun before others, as fewer endpoints can serve them.
func compareBound(a, b *request) int {
	switch {
	case a.bound == b.bound:
		return 0
	case a.bound:
		return -1
	default:
		return 1
	}
}

// callerTimeoutAt returns the time at which the caller disconnects if it has received
// nothing.
func (r *request) callerTimeoutAt() time.Time {
	if r.Route.Kind != route.Stream || r.partlyAnswered {
		return r.Deadline
	}
	if at := r.arrivedAt.Add(r.callerPauseTimeout()); at.Before(r.Deadline) {
		return at
	}
	return r.Deadline
}

// callerPauseTimeout returns how long the caller of a stream waits for the next event.
func (r *request) callerPauseTimeout() time.Duration {
	return max(callerObjectiveFactor*r.Route.Objective, callerGapFactor*r.Route.MaxGap, minCallerTimeout)
}

// keepLoadForRetryIfInTime keeps the pending load of a refused request for firstReplicaTimeout,
// if the load would be done before the request's deadline. The caller would have disconnected
// by the time the load is done, so it is told to retry at readyAt instead.
func (s *State) keepLoadForRetryIfInTime(r *request, readyAt time.Time) {
	load := s.pendingLoads[s.loadKeyOf(r)]
	if load == nil || load.instance == "" || !readyAt.Add(minRunTime).Before(r.Deadline) {
		return
	}
	load.keepUntil, load.priority = s.now.Add(firstReplicaTimeout), r.Route.Priority
	s.emitWake(load.keepUntil)
}

// waitsForCapacity is the value of request.waitsFor for requests that do not wait for a
// load.
const waitsForCapacity = "room"

// emitWait emits a Wait effect if what the request waits for has changed.
func (s *State) emitWait(r *request, readyAt time.Time) {
	instance, waitsFor := "", waitsForCapacity
	if load := s.pendingLoads[s.loadKeyOf(r)]; load != nil && load.instance != "" {
		instance, waitsFor = load.instance, load.instance
	}
	if r.waitsFor == waitsFor {
		return
	}
	r.waitsFor = waitsFor
	s.emit(Wait{ID: r.id, Instance: instance, ReadyAt: readyAt})
}

// retryAt returns the time at which a caller should retry a refused request. A zero readyAt
// means that the time is unknown.
func (s *State) retryAt(readyAt time.Time) time.Time {
	if readyAt.IsZero() {
		return s.now.Add(noEndpointRetryDelay)
	}
	return readyAt
}

func (s *State) stopWaiting(r *request) {
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.stopWaitingForLoad(r)
	}
}

// dispatchWaitingFor dispatches the waiting requests that may be served as a result of a
// report of the endpoint.
func (s *State) dispatchWaitingFor(e *endpoint) {
	for _, r := range slices.Clone(s.waiting) {
		load := s.pendingLoads[s.loadKeyOf(r)]
		helps := r.Item.Model == "" || e.Stock.Holds(stock.Item{Model: r.Item.Model}) || load != nil && load.instance == e.Instance
		if r.Service == e.Service && helps && s.requests[r.id] == r && slices.Contains(s.waiting, r) {
			s.dispatch(r)
		}
	}
}

// dispatchWaiting dispatches all waiting requests in order.
func (s *State) dispatchWaiting() {
	for _, r := range slices.Clone(s.waiting) {
		if s.requests[r.id] == r && slices.Contains(s.waiting, r) {
			s.dispatch(r)
		}
	}
}
