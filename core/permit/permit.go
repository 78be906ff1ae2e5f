// Package permit limits how many model loads of a fleet read from its shared
// weight store at the same time, and decides which load goes next. One router
// at a time acts as the granter; agents request a permit from it before each
// load. The package does no input or output: callers pass in the current time
// and deliver the decisions to the agents.
//
// In this package a load is the load of a model from the weight store, and the store is the
// weight store. Full speed is the speed of a load that neither a slow store nor other loads
// slow down. A load is late if it takes lateFactor times as long as at full speed, or longer.
//
// The granter keeps a virtual clock, which advances by the elapsed time divided by the number
// of loads in progress. It measures how much of the store's throughput each load received, and
// thereby how fast the store is; see virtualClock.
package permit

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// TTL is how long a permit request stays queued after it was last repeated, and
// how long a permit stays valid after it was last renewed.
const TTL = 3 * time.Second

// RenewPeriod is the interval at which agents repeat a queued request and renew
// a granted permit.
const RenewPeriod = time.Second

// probeMargin is added to the finish times predicted by mayProbe, because an
// agent may start a load, and report its end, up to one period late.
const probeMargin = RenewPeriod

// Limits are the load limits of the weight store.
type Limits struct {
	// PerSecond is the maximum number of loads started per second; no limit
	// applies when it is 0 or less.
	PerSecond float64
	// MaxConcurrent is the maximum number of loads in progress.
	MaxConcurrent int
}

// minGrantInterval returns the minimum time between two grants.
func (l Limits) minGrantInterval() time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.PerSecond)
}

// Request is an agent's request for a permit to load a model.
type Request struct {
	ID       fleet.OrderID
	Endpoint fleet.EndpointID
	Model    fleet.ModelID
	// Urgency is the priority of the request; higher values are granted first.
	Urgency int
	// Deadline is the time by which the load must have finished to be useful;
	// the zero time means no deadline.
	Deadline time.Time
	// Expected is the duration of the load when the store is not slowed down.
	Expected time.Duration
}

// Verdict is the granter's decision on a permit request or a granted permit.
type Verdict string

// The verdicts. A request is refused when its load can't finish by its
// deadline. A request or permit expires when it was not repeated or renewed
// within the TTL. The text of Expired stays "lapsed", the word that the counter of
// expired permits uses.
const (
	Granted Verdict = "granted"
	Refused Verdict = "refused"
	Expired Verdict = "lapsed"
)

// Decision is the verdict on one permit request or granted permit, to be sent to
// the agent of the endpoint.
type Decision struct {
	ID       fleet.OrderID
	Endpoint fleet.EndpointID
	Model    fleet.ModelID
	Verdict  Verdict
	// RenewBy is when a granted permit expires unless it is renewed; it is zero
	// for other verdicts.
	RenewBy time.Time
}

// load is a load that waits for a permit or holds one.
type load struct {
	Request
	// requestedAt is when the granter first saw the request or the permit.
	requestedAt time.Time
	expiresAt   time.Time
	// grantedAt is zero while the load waits for a permit.
	grantedAt time.Time
	// clockAtGrant is the reading of the granter's virtual clock at the grant.
	clockAtGrant time.Time
	// resendGrant is set when the agent repeats a request that was already
	// granted, which means that the grant message was lost.
	resendGrant bool
}

// isGranted reports whether the load holds a permit.
func (l *load) isGranted() bool { return !l.grantedAt.IsZero() }

// missesDeadline reports whether a load that finishes at the given time misses
// its deadline.
func (l *load) missesDeadline(finish time.Time) bool {
	return !l.Deadline.IsZero() && finish.After(l.Deadline)
}

// Granter queues permit requests and grants permits. It is not safe for
// concurrent use.
type Granter struct {
	limits Limits
	// loads holds the queued requests and the granted permits by ID.
	loads map[fleet.OrderID]*load
	// nextGrantAt is the earliest time of the next grant.
	nextGrantAt time.Time
	estimator   throughputEstimator
	clock       virtualClock
}

// NewGranter returns a granter that starts at now. It grants nothing for one
// TTL, until each permit granted by its predecessor has been renewed with it or
// has expired.
func NewGranter(now time.Time, limits Limits) *Granter {
	return &Granter{
		limits:      limits,
		loads:       make(map[fleet.OrderID]*load),
		nextGrantAt: now.Add(TTL),
		estimator:   newThroughputEstimator(limits.MaxConcurrent),
	}
}

// SetLimits replaces the limits. Permits that exceed the new limits remain
// valid.
func (g *Granter) SetLimits(limits Limits) {
	g.limits = limits
	g.estimator.setMaxLoads(limits.MaxConcurrent)
}

// Enqueue queues a permit request. A request with the ID of a queued one replaces
// it, with a possibly different urgency and deadline, and extends its TTL. If
// that ID has already been granted, the next Decide returns the grant again.
func (g *Granter) Enqueue(now time.Time, req Request) {
	l, ok := g.loads[req.ID]
	if !ok {
		l = &load{requestedAt: now}
		g.loads[req.ID] = l
	}
	l.Request = req
	l.expiresAt = now.Add(TTL)
	l.resendGrant = l.isGranted()
}

// Renew extends a permit by one TTL. An ID that this granter does not know, or
// has not granted, is a permit granted by another granter: it counts as held
// from now on, even if that exceeds the limits.
func (g *Granter) Renew(now time.Time, req Request) {
	g.clock.advance(now, g.InFlight())
	l, ok := g.loads[req.ID]
	if !ok {
		l = &load{Request: req, requestedAt: now}
		g.loads[req.ID] = l
	}
	if !l.isGranted() {
		g.grant(now, l)
	}
	l.expiresAt = now.Add(TTL)
}

// Finish removes a queued request or a permit; an unknown ID is ignored. took is
// how long the load took, or 0 if it failed or was never started.
func (g *Granter) Finish(now time.Time, id fleet.OrderID, took time.Duration) {
	l, ok := g.loads[id]
	if !ok {
		return
	}
	g.clock.advance(now, g.InFlight())
	delete(g.loads, id)
	if l.isGranted() && took > 0 {
		g.estimator.recordFinished(now, took, l.Expected, g.virtualTime(now, l, took))
	}
}

// grant marks a load as holding a permit from now on.
func (g *Granter) grant(now time.Time, l *load) {
	l.grantedAt, l.clockAtGrant = now, g.clock.reading
}

// virtualTime returns by how much the virtual clock advanced during a load that
// ran for took. A permit is held slightly longer than its load runs, and a
// permit taken over from another granter is known only for part of its load.
// The result is therefore the average rate of the clock while the permit was
// held, times took.
func (g *Granter) virtualTime(now time.Time, l *load, took time.Duration) time.Duration {
	held := now.Sub(l.grantedAt)
	if held <= 0 {
		return 0
	}
	rate := float64(g.clock.reading.Sub(l.clockAtGrant)) / float64(held)
	return time.Duration(rate * float64(took))
}

// remainingWork returns how long the rest of a load in progress would take at
// full speed, if the store has had the given throughput since the grant.
func (g *Granter) remainingWork(now time.Time, l *load, throughput float64) time.Duration {
	delivered := float64(g.clock.reading.Sub(l.clockAtGrant)) * throughput
	done := min(now.Sub(l.grantedAt), time.Duration(delivered))
	return max(l.Expected-done, 0)
}

// InFlight returns the number of granted permits that have not ended.
func (g *Granter) InFlight() int {
	n := 0
	for _, l := range g.loads {
		if l.isGranted() {
			n++
		}
	}
	return n
}

// EstimateLoadTime returns how long a load started now takes if it takes expected at
// full speed. It assumes as many loads in progress as the granter allows at
// present.
func (g *Granter) EstimateLoadTime(now time.Time, expected time.Duration) time.Duration {
	return g.estimator.loadTime(now, expected, g.estimator.maxConcurrency(now))
}

// Decide expires, refuses and grants what is due at now and returns the
// decisions. Expiries and repeated grants come first, sorted by ID. Refusals and new
// grants follow in queue order: by urgency, then deadline, then age.
//
// The queue is scheduled onto the loads that the store can serve in parallel; a
// request whose load would finish after its deadline is refused at once.
func (g *Granter) Decide(now time.Time) []Decision {
	var out []Decision
	g.clock.advance(now, g.InFlight())
	granted, waiting := g.expireAndClassify(now, &out)
	concurrency := g.estimator.maxConcurrency(now)
	free := g.startTimes(now, granted, concurrency)
	earliest := g.nextGrantAt
	for _, l := range waiting {
		start := latestTime(now, earliest, free[0])
		finish := start.Add(g.estimator.loadTime(now, l.Expected, concurrency))
		if l.missesDeadline(finish) {
			delete(g.loads, l.ID)
			out = append(out, l.decision(Refused))
			continue
		}
		if !earliest.After(now) && len(granted) == concurrency && g.mayProbe(now, granted, l) {
			start = now
		}
		free[0] = finish
		slices.SortFunc(free, time.Time.Compare)
		earliest = start.Add(g.limits.minGrantInterval())
		if !start.After(now) {
			g.grant(now, l)
			g.nextGrantAt = earliest
			granted = append(granted, l)
			out = append(out, l.decision(Granted))
		}
	}
	return out
}

// mayProbe reports whether the load next may start in addition to the loads that
// the estimated throughput allows, to find out whether a slow store has
// recovered. The last load observed must have been in time, and next and all
// loads in progress must meet their deadlines even if the store is still slow.
func (g *Granter) mayProbe(now time.Time, granted []*load, next *load) bool {
	n := len(granted) + 1
	if !g.estimator.lastLoadInTime || n > g.limits.MaxConcurrent {
		return false
	}
	start, lastMeasured := now.Add(probeMargin), g.estimator.lastMeasuredThroughput()
	for _, l := range granted {
		if l.missesDeadline(start.Add(sharedLoadTime(g.remainingWork(now, l, lastMeasured), n, lastMeasured))) {
			return false
		}
	}
	return !next.missesDeadline(start.Add(sharedLoadTime(next.Expected, n, lastMeasured)))
}

// WakeAt returns the time by which Decide must be called again, or the
// zero time when no request is queued and no permit is held.
func (g *Granter) WakeAt(now time.Time) time.Time {
	var wake time.Time
	wakeBy := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, l := range g.loads {
		wakeBy(l.expiresAt)
		if !l.isGranted() && g.nextGrantAt.After(now) {
			wakeBy(g.nextGrantAt)
		}
	}
	return wake
}

// expireAndClassify removes the expired loads and returns the others: the granted
// ones sorted by ID and the waiting ones in queue order. It passes the running times
// of the granted loads to the estimator, and appends expiries and repeated grants
// to out.
func (g *Granter) expireAndClassify(now time.Time, out *[]Decision) (granted, waiting []*load) {
	for _, id := range sortedIDs(g.loads) {
		l := g.loads[id]
		switch {
		case !now.Before(l.expiresAt):
			delete(g.loads, id)
			*out = append(*out, l.decision(Expired))
		case l.isGranted():
			elapsed := now.Sub(l.grantedAt)
			g.estimator.recordRunning(now, elapsed, l.Expected, g.virtualTime(now, l, elapsed))
			granted = append(granted, l)
		default:
			waiting = append(waiting, l)
		}
		if l.resendGrant {
			l.resendGrant = false
			*out = append(*out, l.decision(Granted))
		}
	}
	slices.SortFunc(waiting, compareLoads)
	return granted, waiting
}

// startTimes returns the times at which further loads can start so that no more
// than concurrency are in progress, earliest first: now for each free slot, and
// the predicted finish times of the granted loads. The result has concurrency
// elements.
func (g *Granter) startTimes(now time.Time, granted []*load, concurrency int) []time.Time {
	finish := make([]time.Time, 0, len(granted))
	for _, l := range granted {
		end := now.Add(g.estimator.loadTime(now, g.remainingWork(now, l, g.estimator.currentThroughput(now)), max(len(granted), concurrency)))
		finish = append(finish, latestTime(end, now.Add(RenewPeriod)))
	}
	slices.SortFunc(finish, time.Time.Compare)
	if excess := len(finish) - concurrency; excess > 0 {
		return finish[excess:]
	}
	free := make([]time.Time, concurrency-len(finish), concurrency)
	for i := range free {
		free[i] = now
	}
	return append(free, finish...)
}

// decision returns the decision with verdict v on the load.
func (l *load) decision(v Verdict) Decision {
	d := Decision{ID: l.ID, Endpoint: l.Endpoint, Model: l.Model, Verdict: v}
	if v == Granted {
		d.RenewBy = l.expiresAt
	}
	return d
}

// compareLoads orders waiting loads: higher urgency first, then earlier
// deadline, then older request. IDs break ties.
func compareLoads(a, b *load) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		compareDeadlines(a.Deadline, b.Deadline),
		a.requestedAt.Compare(b.requestedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareDeadlines orders deadlines by time. The zero time, which means no
// deadline, comes last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		return cmp.Compare(boolToInt(a.IsZero()), boolToInt(b.IsZero()))
	}
	return a.Compare(b)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// latestTime returns the latest of the given times.
func latestTime(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}

func sortedIDs(loads map[fleet.OrderID]*load) []fleet.OrderID {
	ids := make([]fleet.OrderID, 0, len(loads))
	for id := range loads {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
