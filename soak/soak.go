// Package soak runs the real programs as separate processes on loopback beside
// stand-ins of the platform, injects faults from outside them, and checks what
// callers and replicas see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilreach/platform/mock"
)

const (
	// settleTime is how long a fleet has to serve normally before the first fault
	// and after the last.
	settleTime = 4 * time.Second
	// inForceTime is within what time routes must be in force, and drainTime
	// replicas that leave get nothing more.
	maxRouteDelay = 3 * time.Second
	maxDrainDelay = 3 * time.Second
	// streamEvents is how many events a stream has.
	streamEvents = 20
	// atOnce is how many faults overlap.
	concurrentFaults = 3
	// servedLast is the least part of the last requests that must be served.
	minServedRatio = 0.9
)

// Options say what is run.
type Options struct {
	// Bin is the program.
	Bin string
	// Dir takes the logs and settings.
	Dir           string
	Seed          uint64
	FaultDuration time.Duration
	Routers       int
	ModelReplicas int
	Callers       int
}

// Report is what a run has shown.
type Report struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Statuses map[int]int    `json:"statuses"`
	Faults   map[string]int `json:"faults"`
	// LongestGapMS is the longest time in which the process that runs the callers and
	// checks did not run: of what is late by less, the fleet may not be the cause.
	LongestGapMS int64 `json:"longest-gap-ms"`
	// Broken are the promises that were broken, with what was seen.
	Violations []string `json:"broken,omitempty"`
}

// soaker is one run.
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
	// storeLostAt and storeBackAt tell of the last outage of the store.
	storeDownAt, storeUpAt time.Time
}

// Run runs one soak. The error says that it could not be run.
func Run(ctx context.Context, opts Options) (report Report, err error) {
	rnd := rand.New(rand.NewPCG(opts.Seed, 1))
	s := &harness{opts: opts, configVersion: 1, faultCounts: make(map[string]int)}
	s.fleet, err = newFleet(ctx, opts.Bin, opts.Dir, int(opts.Seed%40_000), fleetSize{opts.Routers, opts.ModelReplicas, 3})
	if s.fleet != nil {
		defer func() { err = errors.Join(err, s.fleet.stop()) }()
	}
	if err != nil {
		return Report{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	s.callers = &callers{fleet: s.fleet}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	go s.gaps.run(calling)
	var wg sync.WaitGroup
	for n := range opts.Callers {
		seed := rnd.Uint64()
		wg.Go(func() {
			s.callers.run(calling, n, rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 5)))
		})
	}
	sleep(ctx, settleTime/2)
	s.inject(ctx, rnd)
	sleep(ctx, settleTime)
	lastFrom := time.Now()
	sleep(ctx, settleTime)
	stopCalling()
	wg.Wait()
	s.checkAll(lastFrom)
	return s.report(), nil
}

// awaitReady waits until all routers are ready.
func (s *harness) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, p := range s.fleet.routers {
		for !isReady(ctx, p) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.name, ctx.Err())
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

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

// inject does faults in overlapping series until the time is over, and waits
// until all are undone.
func (s *harness) inject(ctx context.Context, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.FaultDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range concurrentFaults {
		seed := rnd.Uint64()
		wg.Go(func() { s.injectSeries(ctx, rand.New(rand.NewPCG(seed, 3))) })
	}
	wg.Go(func() { s.stopWhileLoading(ctx, rand.New(rand.NewPCG(s.opts.Seed, 4))) })
	wg.Go(func() { s.probeRoutes(ctx) })
	wg.Wait()
}

func (s *harness) injectSeries(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		one := faults[rnd.IntN(len(faults))]
		s.mu.Lock()
		s.faultCounts[one.name]++
		s.mu.Unlock()
		if err := one.run(ctx, s, rnd); err != nil {
			s.addViolation("%s: %v", one.name, err)
		}
		sleep(ctx, time.Duration(rnd.IntN(int(time.Second))))
	}
}

func (s *harness) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *harness) setStoreDown(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.storeDownAt = time.Now()
		return
	}
	s.storeUpAt = time.Now()
}

// storeCalmSince returns since when the store has worked; false while it does not.
func (s *harness) storeUpSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUpAt, !s.storeDownAt.After(s.storeUpAt)
}

// probeRoutes asks calm routers for the routes that were added a while ago.
func (s *harness) probeRoutes(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 200*time.Millisecond)
		s.mu.Lock()
		added := s.addedRoutes
		s.mu.Unlock()
		backAt, calm := s.storeUpSince()
		if len(added) == 0 || !calm {
			continue
		}
		last := added[len(added)-1]
		p := s.fleet.routers[n%len(s.fleet.routers)]
		late := last.addedAt.Add(maxRouteDelay)
		for _, t := range []time.Time{backAt.Add(2 * maxRouteDelay), p.lastDisturbed().Add(2 * maxRouteDelay)} {
			if t.After(late) {
				late = t
			}
		}
		if time.Now().Before(late) || p.storeLink.currentMode() != Pass {
			continue
		}
		conn := dialCaller(p)
		if conn == nil {
			continue
		}
		o := conn.call(fmt.Sprintf("p-%d", n), [2]string{last.prefix})
		conn.close()
		if o.status == http.StatusNotFound && p.lastDisturbed().Before(o.sentAt.Add(-2*maxRouteDelay)) {
			s.addViolation("%s answers 404 for %s, added %s before", p.name, last.prefix, time.Since(last.addedAt))
		}
	}
}

// drained checks that a replica got nothing more some time after it said that it
// leaves, if the store and all routers were calm.
func (s *harness) checkDrain(instance string, at time.Time) {
	backAt, calm := s.storeUpSince()
	if !calm || backAt.After(at) {
		return
	}
	for _, p := range s.fleet.routers {
		if p.lastDisturbed().After(at.Add(-time.Second)) || p.storeLink.currentMode() != Pass {
			return
		}
	}
	for _, r := range s.fleet.runLog.All() {
		if r.Instance == instance && r.StartedAt.After(at.Add(maxDrainDelay)) {
			s.addViolation("%s runs %s %s after it said that it leaves", instance, r.Attempt, r.StartedAt.Sub(at))
			return
		}
	}
}

// check checks all promises that can be told from the end.
func (s *harness) checkAll(lastFrom time.Time) {
	last, served := 0, 0
	for _, o := range s.callers.snapshot() {
		s.checkOutcome(o)
		if o.sentAt.After(lastFrom) {
			last++
			if o.status == http.StatusOK && o.complete {
				served++
			}
		}
	}
	if last == 0 || float64(served) < minServedRatio*float64(last) {
		s.addViolation("%d of the last %d requests were served after all faults", served, last)
	}
	for _, name := range s.fleet.runLog.Overcommitted() {
		s.addViolation("%s was ordered to hold more than it can", name)
	}
	for _, p := range append(append([]*process{}, s.fleet.routers...), s.fleet.agents...) {
		if p.crashes > 0 {
			s.addViolation("%s ended by itself %d times, last: %v", p.name, p.crashes, p.crashErr)
		}
	}
}

func (s *harness) checkOutcome(o outcome) {
	runs := s.fleet.runLog.Runs(o.attempt)
	if fault := o.responseDefect(streamEvents); fault != "" {
		s.addViolation("%s %s: %s", o.path, o.attempt, fault)
	}
	if o.path == mock.OncePath && len(runs) > 1 {
		s.addViolation("%s %s ran %d times", o.path, o.attempt, len(runs))
	}
	promise := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
	if promise && len(runs) > 0 {
		s.addViolation("%s %s was answered %d and ran at %s", o.path, o.attempt, o.status, runs[0].Instance)
	}
	if late := o.endedAt.Sub(o.sentAt); o.status != 0 && late > o.timeout()+time.Second {
		s.addViolation("%s %s was answered by %s after %s; the caller's process did not run for up to %s meanwhile",
			o.path, o.attempt, o.router, late, s.gaps.longest(o.sentAt, o.endedAt))
	}
	if o.closedUnanswered() && s.fleet.router(o.router).owesAnswer(o) {
		s.addViolation("%s %s: %s closed the connection after %s without an answer: %v",
			o.path, o.attempt, o.router, o.endedAt.Sub(o.sentAt), o.err)
	}
}

func (s *harness) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Seed: s.opts.Seed, Statuses: make(map[int]int), Faults: s.faultCounts, Violations: s.violations}
	r.LongestGapMS = s.gaps.longest(time.Time{}, time.Now()).Milliseconds()
	for _, o := range s.callers.snapshot() {
		r.Requests++
		r.Statuses[o.status]++
	}
	return r
}
