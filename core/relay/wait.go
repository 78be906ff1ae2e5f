package relay

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// retryUnknown is when to ask again for a model that no engine knows: it may
	// come with the next configuration.
	unknownModelRetryDelay = 2 * time.Second
	// retryBudget is when to ask again after the repeats were used up.
	budgetRetryDelay = time.Second
	// retryNoEndpoint is when to ask again after no endpoint was there: about the
	// time in which one is replaced.
	noEndpointRetryDelay = time.Second
	// retryPause is the pause before a request goes to endpoints again that have
	// all turned it away: about as long as a full engine takes to free a slot.
	avoidedRetryDelay = 100 * time.Millisecond
	// firstObjectives is after how many objectives an attempt that has not begun to
	// answer is given up, and firstLeast the least time until then: callers leave
	// after about four objectives.
	firstEventObjectives = 2
	minFirstEventTimeout = 800 * time.Millisecond
	// silentGaps is how many of the longest pauses a stream may be silent, and
	// silentLeast the least time: callers leave after about eight pauses.
	silenceGaps       = 4
	minSilenceTimeout = time.Second
	// leaveObjectives, leaveGaps and leaveLeast tell when callers of streams leave
	// that hear nothing: after the longest of so many objectives, so many of the
	// route's longest pauses, and the least time; from the platform's protocol.
	callerObjectives = 4
	callerGaps       = 8
	minCallerTimeout = 2 * time.Second
	// startMargin is the least time that is left to run a request when it is sent.
	minRunTime = 50 * time.Millisecond
)

// wait puts a request among those that are not at an endpoint, or refuses it if
// waiting is of no use.
func (s *State) enqueue(r *request) {
	if !slices.Contains(s.waiting, r) {
		s.waiting = append(s.waiting, r)
		slices.SortStableFunc(s.waiting, func(a, b *request) int {
			return cmp.Or(cmp.Compare(a.Route.Priority, b.Route.Priority), a.Deadline.Compare(b.Deadline))
		})
	}
	until := r.callerTimeoutAt()
	s.emitWake(until)
	if s.tooLateToSend(s.now) {
		s.refuse(r, Stopping, s.now)
		return
	}
	readyAt, reason := s.expectedSendTime(r)
	if reason == "" && s.tooLateToSend(readyAt) {
		s.refuse(r, Stopping, s.now)
		return
	}
	if reason == "" && readyAt.Add(minRunTime).Before(until) {
		s.emitWait(r, readyAt)
		return
	}
	if reason == "" {
		reason = TooLate
		s.keepLoadForRetry(r, readyAt)
	}
	s.refuse(r, reason, s.retryAt(readyAt))
}

// waitsUntil is when the caller leaves if it hears nothing.
func (r *request) callerTimeoutAt() time.Time {
	if r.Route.Kind != route.Stream || r.answering {
		return r.Deadline
	}
	silent := max(callerObjectives*r.Route.Objective, callerGaps*r.Route.MaxGap, minCallerTimeout)
	if at := r.arrivedAt.Add(silent); at.Before(r.Deadline) {
		return at
	}
	return r.Deadline
}

// promise lets the load of a request begin that is refused with the time at which
// the load ends: its caller leaves before, and comes back then.
func (s *State) keepLoadForRetry(r *request, readyAt time.Time) {
	w := s.pendingLoads[loadKey{r.Service, r.Item}]
	if w == nil || w.instance == "" || !readyAt.Add(minRunTime).Before(r.Deadline) {
		return
	}
	w.until, w.priority = s.now.Add(firstCopyTimeout), r.Route.Priority
	s.emitWake(w.until)
}

// waitsForRoom stands in place of an endpoint for requests that wait for room.
const waitsForCapacity = "room"

// tellWait tells what a request waits for, whenever that has changed.
func (s *State) emitWait(r *request, readyAt time.Time) {
	instance, waitsFor := "", waitsForCapacity
	if w := s.pendingLoads[loadKey{r.Service, r.Item}]; w != nil && w.instance != "" {
		instance, waitsFor = w.instance, w.instance
	}
	if r.waitsFor == waitsFor {
		return
	}
	r.waitsFor = waitsFor
	s.emit(Wait{ID: r.id, Instance: instance, ReadyAt: readyAt})
}

// retryAt is when a repeat of a refused request is likely to be served.
func (s *State) retryAt(readyAt time.Time) time.Time {
	if readyAt.IsZero() {
		return s.now.Add(noEndpointRetryDelay)
	}
	return readyAt
}

func (s *State) stopWaiting(r *request) {
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.leaveLoad(r)
	}
}

// serveWaitingFor goes through the waiting requests that a report of an endpoint
// may help.
func (s *State) dispatchWaitingFor(e *endpoint) {
	for _, r := range slices.Clone(s.waiting) {
		w := s.pendingLoads[loadKey{r.Service, r.Item}]
		helps := r.Item.Model == "" || e.Stock.Holds(stock.Item{Model: r.Item.Model}) || w != nil && w.instance == e.Instance
		if r.Service == e.Service && helps && s.requests[r.id] == r && slices.Contains(s.waiting, r) {
			s.dispatch(r)
		}
	}
}

// serveWaiting goes through the waiting requests in order.
func (s *State) dispatchWaiting() {
	for _, r := range slices.Clone(s.waiting) {
		if s.requests[r.id] == r && slices.Contains(s.waiting, r) {
			s.dispatch(r)
		}
	}
}
