// Package soak is a randomized fault test. It runs the real programs as separate processes on
// loopback with test doubles of the platform, injects faults from outside the processes, and
// checks what callers and replicas observe. A replica is an endpoint process here, as in package
// mock, not a loaded model.
package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilreach/io/guard"
	"chervilreach/io/relayd"
	"chervilreach/platform/mock"
)

const (
	// settleTime is the unit of the periods without faults. A run ends with two periods of
	// settleTime without faults, and the fleet must serve normally in the second. It starts
	// with settleTime/2 without faults.
	settleTime = 4 * time.Second
	// maxRouteDelay is the longest time that an undisturbed router may take until it
	// serves an added route. The limit is doubled after the router or the store was
	// disturbed.
	maxRouteDelay = 3 * time.Second
	// maxDrainDelay is how long after the start of its drain a replica may still be sent
	// requests.
	maxDrainDelay = 3 * time.Second
	// eventsPerStream is the number of events of each stream.
	eventsPerStream = 20
	// maxConcurrentFaults is the number of random faults that may be injected at the same time.
	maxConcurrentFaults = 3
	// minServedRatio is the part of the requests at the end of the run that must be served.
	minServedRatio = 0.9
)

// harness is the state of one run.
type harness struct {
	opts    Options
	fleet   *fleet
	callers *callers
	gaps    gapDetector

	mu            sync.Mutex
	configVersion int
	addedRoutes   []addedRoute
	faultCounts   map[string]int
	violations    []string
	// storeDownAt and storeUpAt are the start and the end of the last outage of the store.
	storeDownAt, storeUpAt time.Time
	limitPeriods           []limitPeriod
	// deadlyParts are the IDs of the prompt parts on which replicas crashed until deadlyUntil.
	deadlyParts []string
	deadlyUntil time.Time
}

// Run runs the test once with the faults and requests that the seed determines. Their timing
// varies. It returns an error if the fleet could not be started or stopped; violations are in
// the report. Runs at the same time must have different seeds, as the addresses of the fleet
// depend on the seed.
func Run(ctx context.Context, opts Options) (report Report, err error) {
	rnd := rand.New(rand.NewPCG(opts.Seed, 1))
	h := &harness{opts: opts, configVersion: 1, faultCounts: make(map[string]int)}
	h.fleet, err = newFleet(ctx, opts.Bin, opts.Dir, int(opts.Seed%40_000), fleetSize{routerCount: opts.RouterCount, modelReplicaCount: opts.ModelReplicaCount, plainReplicaCount: 3})
	if h.fleet != nil {
		defer func() { err = errors.Join(err, h.fleet.stop()) }()
	}
	if err != nil {
		return Report{}, err
	}
	for _, r := range h.fleet.replicas {
		r.KeepEntryAfterCrash(opts.EntryKept)
		if opts.PortsRefuse {
			h.refuseWhileDown(r)
		}
	}
	if err := h.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	h.callers = &callers{fleet: h.fleet}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	go h.gaps.run(callerCtx)
	var wg sync.WaitGroup
	for n := range opts.CallerCount {
		seed := rnd.Uint64()
		wg.Go(func() {
			h.callers.run(callerCtx, n, seed)
		})
	}
	sleep(ctx, settleTime/2)
	h.inject(ctx, rnd)
	sleep(ctx, settleTime)
	finalPeriodStart := time.Now()
	sleep(ctx, settleTime)
	stopCallers()
	wg.Wait()
	h.checkAll(finalPeriodStart)
	return h.report(), nil
}

// awaitReady waits until all routers are ready, for at most 20 seconds.
func (h *harness) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, p := range h.fleet.routers {
		for !isReady(ctx, p) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.name, ctx.Err())
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether the readiness check of a router succeeds.
func isReady(ctx context.Context, p *process) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addrPort(p.ip, portReady).String()+mock.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inject injects faults for Options.FaultDuration, several at a time, and waits until all are
// undone.
func (h *harness) inject(ctx context.Context, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.FaultDuration)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	if h.opts.OnlyPrompts {
		wg.Go(func() { h.poisonPrompts(ctx, rand.New(rand.NewPCG(h.opts.Seed, 8))) })
		return
	}
	wg.Go(func() { h.pauseReplicas(ctx, rand.New(rand.NewPCG(h.opts.Seed, 10))) })
	if h.opts.OnlyPauses {
		wg.Go(func() { h.pauseReplicas(ctx, rand.New(rand.NewPCG(h.opts.Seed, 11))) })
		return
	}
	for range maxConcurrentFaults {
		seed := rnd.Uint64()
		wg.Go(func() { h.injectSeries(ctx, rand.New(rand.NewPCG(seed, 3))) })
	}
	wg.Go(func() { h.stopWhileLoading(ctx, rand.New(rand.NewPCG(h.opts.Seed, 4))) })
	wg.Go(func() { h.nameLimits(ctx, rand.New(rand.NewPCG(h.opts.Seed, 6))) })
	wg.Go(func() { h.poisonPrompts(ctx, rand.New(rand.NewPCG(h.opts.Seed, 8))) })
	wg.Go(func() { h.returnFromCopies(ctx, rand.New(rand.NewPCG(h.opts.Seed, 12))) })
	wg.Go(func() { h.writeOddEntries(ctx, rand.New(rand.NewPCG(h.opts.Seed, 13))) })
	wg.Go(func() { h.answerWithoutEnd(ctx, rand.New(rand.NewPCG(h.opts.Seed, 14))) })
	wg.Go(func() { h.failRuns(ctx, rand.New(rand.NewPCG(h.opts.Seed, 15))) })
	wg.Go(func() { h.probeRoutes(ctx) })
}

// injectSeries injects random faults, one after the other, until ctx is done.
func (h *harness) injectSeries(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		h.injectOne(ctx, faults[rnd.IntN(len(faults))], rnd)
		sleep(ctx, time.Duration(rnd.IntN(int(time.Second))))
	}
}

// injectOne injects a fault and returns when it is undone.
func (h *harness) injectOne(ctx context.Context, f fault, rnd *rand.Rand) {
	h.mu.Lock()
	h.faultCounts[f.name]++
	h.mu.Unlock()
	if err := f.run(ctx, h, rnd); err != nil {
		h.addViolation("%s: %v", f.name, err)
	}
}

// addViolation adds a formatted description of a violation to the report.
func (h *harness) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// setStoreDown records the start or the end of an outage of the store.
func (h *harness) setStoreDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if down {
		h.storeDownAt = time.Now()
		return
	}
	h.storeUpAt = time.Now()
}

// storeUpSince returns the end of the last outage of the store, or the zero time if there was
// none. It returns false during an outage.
func (h *harness) storeUpSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeUpAt, !h.storeDownAt.After(h.storeUpAt)
}

// probeRoutes requests the route that was added last from one router after the other, and
// reports a violation if a router that had enough time to load the route does not know it. It
// skips routers and times with a recent disturbance.
func (h *harness) probeRoutes(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 200*time.Millisecond)
		h.mu.Lock()
		added := h.addedRoutes
		h.mu.Unlock()
		upAt, up := h.storeUpSince()
		if len(added) == 0 || !up {
			continue
		}
		newest := added[len(added)-1]
		p := h.fleet.routers[n%len(h.fleet.routers)]
		due := newest.addedAt.Add(maxRouteDelay)
		for _, t := range []time.Time{upAt.Add(2 * maxRouteDelay), p.lastDisturbed().Add(2 * maxRouteDelay)} {
			if t.After(due) {
				due = t
			}
		}
		if time.Now().Before(due) || p.storeLink.currentMode() != Pass {
			continue
		}
		conn := dialCaller(p)
		if conn == nil {
			continue
		}
		o := conn.call(fmt.Sprintf("p-%d", n), [2]string{newest.prefix}, prompt{})
		conn.close()
		if o.status == http.StatusNotFound && p.lastDisturbed().Before(o.sentAt.Add(-2*maxRouteDelay)) {
			h.addViolation("%s answers 404 for %s, added %s before", p.name, newest.prefix, time.Since(newest.addedAt))
		}
	}
}

// checkDrain reports a violation if a replica was sent a request more than maxDrainDelay after
// it started to drain. It checks nothing if the store or a router was disturbed in the
// meantime.
func (h *harness) checkDrain(instance string, drainedAt time.Time) {
	upAt, up := h.storeUpSince()
	if !up || upAt.After(drainedAt) {
		return
	}
	for _, p := range h.fleet.routers {
		if p.lastDisturbed().After(drainedAt.Add(-time.Second)) || p.storeLink.currentMode() != Pass {
			return
		}
	}
	for _, r := range h.fleet.runLog.All() {
		if r.Instance == instance && r.StartedAt.After(drainedAt.Add(maxDrainDelay)) && !h.pausedBetween(instance, drainedAt, r.StartedAt) {
			h.addViolation("%s runs %s %s after it said that it leaves", instance, r.AttemptID, r.StartedAt.Sub(drainedAt))
			return
		}
	}
}

// checkAll checks the guarantees that can be checked at the end of the run. Requests that were
// sent after finalPeriodStart count as those at the end of the run.
func (h *harness) checkAll(finalPeriodStart time.Time) {
	final, served := 0, 0
	for _, o := range h.callers.snapshot() {
		h.checkOutcome(o)
		if o.sentAt.After(finalPeriodStart) {
			final++
			if o.status == http.StatusOK && o.complete {
				served++
			}
		}
	}
	if final == 0 || float64(served) < minServedRatio*float64(final) {
		h.addViolation("%d of the last %d requests were served after all faults", served, final)
	}
	h.checkLimits()
	h.checkOutcomesKnown()
	h.checkPrompts()
	if h.opts.OnlyPrompts {
		h.checkSound()
	}
	h.checkPauses()
	h.checkOrders()
	h.checkMemory()
	for _, name := range h.fleet.runLog.OvercommittedInstances() {
		h.addViolation("%s was ordered to hold more than it can", name)
	}
	for _, p := range append(append([]*process{}, h.fleet.routers...), h.fleet.agents...) {
		if p.crashCount > 0 {
			h.addViolation("%s ended by itself %d times, last: %v", p.name, p.crashCount, p.crashErr)
		}
	}
}

// checkOutcomesKnown reports a violation for each line of a router about a request that ended
// without a known outcome. Counters would be lost with a killed process.
func (h *harness) checkOutcomesKnown() {
	for _, p := range h.fleet.routers {
		text, err := os.ReadFile(p.log.Name())
		if err != nil {
			h.addViolation("%s: read log: %v", p.name, err)
			continue
		}
		for line := range bytes.Lines(text) {
			open := bytes.Contains(line, []byte(relayd.MessageOpenAtEnd)) && !bytes.Contains(line, []byte(`"count":0`))
			if open || bytes.Contains(line, []byte(guard.MessageUnknown)) || bytes.Contains(line, []byte(guard.MessagePanic)) {
				h.addViolation("%s: %s", p.name, line)
			}
		}
	}
}

// checkOutcome checks the guarantees for one request.
func (h *harness) checkOutcome(o outcome) {
	runs := h.fleet.runLog.Runs(o.attemptID)
	if defect := o.responseDefect(eventsPerStream); defect != "" {
		h.addViolation("%s %s: %s", o.path, o.attemptID, defect)
	}
	if o.path == mock.OncePath && len(runs) > 1 {
		h.addViolation("%s %s ran %d times", o.path, o.attemptID, len(runs))
	}
	if guard.PromisesNotRun(o.status) && len(runs) > 0 {
		h.addViolation("%s %s was answered %d and ran at %s", o.path, o.attemptID, o.status, runs[0].Instance)
	}
	if took := o.endedAt.Sub(o.sentAt); o.status != 0 && took > o.timeout()+time.Second {
		h.addViolation("%s %s was answered by %s after %s; the caller's process did not run for up to %s meanwhile",
			o.path, o.attemptID, o.router, took, h.gaps.longest(o.sentAt, o.endedAt))
	}
	if o.closedUnanswered() && h.fleet.router(o.router).mustAnswer(o) {
		h.addViolation("%s %s: %s closed the connection after %s without an answer: %v",
			o.path, o.attemptID, o.router, o.endedAt.Sub(o.sentAt), o.err)
	}
}

func (h *harness) report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{
		Seed: h.opts.Seed, StatusCounts: make(map[int]int), FaultCounts: h.faultCounts, PromptCrashCounts: make(map[string]int),
		Violations: h.violations,
	}
	r.SoundCounts = h.countSound()
	for part, crashes := range h.promptCrashes() {
		r.PromptCrashCounts[part] = len(crashes)
	}
	r.LongestGapMS = h.gaps.longest(time.Time{}, time.Now()).Milliseconds()
	for _, o := range h.callers.snapshot() {
		r.RequestCount++
		r.StatusCounts[o.status]++
	}
	return r
}
