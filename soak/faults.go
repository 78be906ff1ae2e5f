package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"chervilreach/platform/mock"
)

const (
	// stopTimeout is the longest time that a process may take to stop after SIGTERM. It
	// is killed afterwards.
	stopTimeout = 9 * time.Second
	// minSignalAge is the minimum age of a process that is sent SIGHUP. A signal that
	// arrives before the program has started to run terminates the process, whichever
	// handlers the program installs.
	minSignalAge = 200 * time.Millisecond
	// drainServeTime is how long a draining replica goes on serving before it stops.
	drainServeTime = 4 * time.Second
	// loadTime is the duration of loads. slowLoadTime is their duration while loads are
	// slow, which is longer than a router takes to stop.
	loadTime     = 300 * time.Millisecond
	slowLoadTime = 10 * time.Second
	// openConnGrace is how long a router that received SIGTERM goes on answering requests
	// that arrive on open connections. Its answers announce that it closes the connection,
	// which it does when the time is over.
	openConnGrace = 2500 * time.Millisecond
)

// fault is a fault that can be injected. run injects it and returns when its effect is
// undone, or when the faulty process was restarted. The name is reported.
type fault struct {
	name string
	run  func(ctx context.Context, h *harness, rnd *rand.Rand) error
}

// faults are the faults that are injected in random order.
var faults = []fault{
	{"router killed", func(_ context.Context, h *harness, rnd *rand.Rand) error {
		return pick(rnd, h.fleet.routers).restart(h.fleet.bin, syscall.SIGKILL, stopTimeout)
	}},
	{"router stopped", func(_ context.Context, h *harness, rnd *rand.Rand) error {
		return pick(rnd, h.fleet.routers).restart(h.fleet.bin, syscall.SIGTERM, stopTimeout)
	}},
	{"router paused", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		return pause(ctx, pick(rnd, h.fleet.routers), rnd)
	}},
	{"agent killed", func(_ context.Context, h *harness, rnd *rand.Rand) error {
		return pick(rnd, h.fleet.agents).restart(h.fleet.bin, syscall.SIGKILL, stopTimeout)
	}},
	{"agent paused", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		return pause(ctx, pick(rnd, h.fleet.agents), rnd)
	}},
	{"settings read again", func(_ context.Context, h *harness, rnd *rand.Rand) error {
		p := pick(rnd, h.fleet.routers)
		p.faultMu.Lock()
		defer p.faultMu.Unlock()
		time.Sleep(time.Until(p.lastDisturbed().Add(minSignalAge)))
		p.signal(syscall.SIGHUP)
		return nil
	}},
	{"link to a replica", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		r := pick(rnd, h.fleet.replicas)
		r.breakLink(ctx, randomMode(rnd), faultDuration(rnd))
		return nil
	}},
	{"link to the store", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		p := pick(rnd, append(append([]*process{}, h.fleet.routers...), h.fleet.agents...))
		p.storeLink.setMode(randomMode(rnd))
		sleep(ctx, faultDuration(rnd))
		p.storeLink.setMode(Pass)
		p.markDisturbed()
		return nil
	}},
	{"store", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		h.setStoreDown(true)
		h.fleet.store.SetFault([]mock.Fault{mock.Unavailable, mock.NoResponse, mock.NoWriteResponse}[rnd.IntN(3)])
		sleep(ctx, faultDuration(rnd))
		h.fleet.store.SetFault(mock.NoFault)
		h.setStoreDown(false)
		return nil
	}},
	{"store forgets its history", func(_ context.Context, h *harness, _ *rand.Rand) error {
		h.fleet.store.Compact()
		return nil
	}},
	{"replica crashes", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		r := pick(rnd, h.fleet.replicas)
		r.faultMu.Lock()
		defer r.faultMu.Unlock()
		if err := r.Crash(); err != nil {
			return err
		}
		sleep(ctx, faultDuration(rnd))
		return r.Start(context.WithoutCancel(ctx))
	}},
	{"replica is replaced", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		r := pick(rnd, h.fleet.replicas)
		r.faultMu.Lock()
		defer r.faultMu.Unlock()
		name, begun := r.Instance(), time.Now()
		r.Drain()
		sleep(ctx, drainServeTime)
		h.checkDrain(name, begun)
		if err := r.Crash(); err != nil {
			return err
		}
		return r.Start(context.WithoutCancel(ctx))
	}},
	{"routes change", func(_ context.Context, h *harness, _ *rand.Rand) error {
		h.changeRoutes()
		return nil
	}},
}

// stopWhileLoading stops routers, one after the other, while loads take longer than the stop,
// so that requests are waiting for a load when their router stops. It runs until ctx is done,
// concurrently with the random faults.
func (h *harness) stopWhileLoading(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		h.setLoadTime(slowLoadTime)
		sleep(ctx, faultDuration(rnd))
		if err := pick(rnd, h.fleet.routers).restart(h.fleet.bin, syscall.SIGTERM, stopTimeout); err != nil {
			h.addViolation("router stopped while models load: %v", err)
		}
		h.setLoadTime(loadTime)
		sleep(ctx, faultDuration(rnd))
	}
}

// failureStatuses are the statuses with which replicas fail requests that they have run.
var failureStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// failRuns has the replicas of a service fail a part of their runs, again and again.
func (h *harness) failRuns(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, faultDuration(rnd))
		h.injectOne(ctx, fault{"service fails runs", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
			service, status, every := pick(rnd, h.fleet.replicas).Service(), pick(rnd, failureStatuses), 2+rnd.IntN(4)
			h.setFailures(service, status, every)
			sleep(ctx, faultDuration(rnd))
			h.setFailures(service, 0, 1)
			return nil
		}}, rnd)
	}
}

// setFailures calls FailRuns of all replicas of a service.
func (h *harness) setFailures(service string, status, every int) {
	for _, r := range h.fleet.replicas {
		if r.Service() == service {
			r.FailRuns(status, every)
		}
	}
}

// setLoadTime sets the duration of loads of all replicas.
func (h *harness) setLoadTime(d time.Duration) {
	for _, r := range h.fleet.replicas {
		r.SetLoadTime(d)
	}
}

// pick returns a random element of a list that is not empty.
func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

// randomMode returns a random mode of a proxy other than Pass.
func randomMode(rnd *rand.Rand) Mode {
	return []Mode{Slow, Stall, Blackhole, OneWay, Reset}[rnd.IntN(5)]
}

// faultDuration returns a random duration of a fault.
func faultDuration(rnd *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(rnd.IntN(int(2*time.Second)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pause stops a process with SIGSTOP for a random duration and continues it with SIGCONT.
func pause(ctx context.Context, p *process, rnd *rand.Rand) error {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, faultDuration(rnd))
	p.signal(syscall.SIGCONT)
	return nil
}

// addedRoute is a route that was added to the configuration during the run.
type addedRoute struct {
	prefix  string
	addedAt time.Time
}

// changeRoutes adds a route to the configuration in the store.
func (h *harness) changeRoutes() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion++
	h.addedRoutes = append(h.addedRoutes, addedRoute{fmt.Sprintf("/more-%d/", h.configVersion), time.Now()})
	h.writeRoutes()
}

// writeRoutes writes a configuration with all added routes to the store. The caller holds h.mu.
func (h *harness) writeRoutes() {
	prefixes := make([]string, 0, len(h.addedRoutes))
	for _, r := range h.addedRoutes {
		prefixes = append(prefixes, r.prefix)
	}
	h.fleet.store.Put("op/config", mock.Config(h.configVersion, h.fleet.models, prefixes...))
}
