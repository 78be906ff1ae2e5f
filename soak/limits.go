package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// limitWindow is the window in which the platform counts the requests to a replica that names
	// a rate limit, limitGrace the time after its first such answer from which it counts. A
	// router is excused for limitGrace after a disturbance, too.
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	// limitDuration is the time for which a replica names a limit.
	limitDuration = limitGrace + limitWindow
)

// limitPeriod is a period in which a replica named a rate limit.
type limitPeriod struct {
	replica   *replica
	instance  string
	perSecond float64
	from, to  time.Time
}

// nameLimits has one replica after the other name a rate limit until ctx is done, concurrently
// with the random faults.
func (h *harness) nameLimits(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		p := limitPeriod{replica: pick(rnd, h.fleet.replicas), perSecond: []float64{0.5, 1, 2, 5}[rnd.IntN(4)]}
		p.instance, p.from = p.replica.Instance(), time.Now()
		p.replica.NameRateLimit(strconv.FormatFloat(p.perSecond, 'g', -1, 64))
		sleep(ctx, limitDuration)
		p.to = time.Now()
		p.replica.NameRateLimit("")
		h.mu.Lock()
		h.limitPeriods = append(h.limitPeriods, p)
		h.mu.Unlock()
		sleep(ctx, faultDuration(rnd))
	}
}

// checkLimits reports a violation for each replica that got more requests than the limit that it
// named allows, from routers that were not disturbed.
func (h *harness) checkLimits() {
	routerOf := make(map[string]*process)
	for _, o := range h.callers.snapshot() {
		routerOf[o.attemptID] = h.fleet.router(o.router)
	}
	for _, p := range h.limitPeriods {
		var starts []time.Time
		for _, run := range h.fleet.runLog.All() {
			from := run.StartedAt.Add(-limitGrace)
			router := routerOf[run.AttemptID]
			if run.Instance != p.instance || from.Before(p.from) || run.StartedAt.After(p.to) ||
				router == nil || router.disturbedBetween(from, run.StartedAt) || p.replica.linkFaultBetween(from, run.StartedAt) ||
				h.pausedBetween(p.instance, from, run.StartedAt) {
				continue
			}
			starts = append(starts, run.StartedAt)
		}
		allowed := int(1.5*p.perSecond*limitWindow.Seconds() + 5)
		if most := mostInWindow(starts); most > allowed {
			h.addViolation("%s named a limit of %g a second and got %d requests in %s; %d are allowed",
				p.instance, p.perSecond, most, limitWindow, allowed)
		}
	}
}

// mostInWindow returns the largest number of times within limitWindow. times are sorted.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for !at.Before(times[first].Add(limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
