package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"chervilreach/platform/mock"
)

const (
	// stopTime is the longest time that a program may take to stop by itself.
	stopTime = 9 * time.Second
	// bornTime is how old a program is when it may get a signal that it catches: in
	// the moment of its start the kernel ends it, whatever it is.
	bornTime = 200 * time.Millisecond
	// leaveTime is how long a replica that drains goes on serving.
	leaveTime = 4 * time.Second
	// loadTime is how long loads take, slowLoadTime while they are slow: longer than a
	// router takes to stop.
	loadTime     = 300 * time.Millisecond
	slowLoadTime = 10 * time.Second
	// answerTime is how long a router that stops answers what comes on open
	// connections, which it says with its answers before it closes them.
	answerTime = 2500 * time.Millisecond
)

// fault is one thing that is done to a fleet; it returns when it is undone.
type fault struct {
	name string
	do   func(ctx context.Context, s *soaker, rnd *rand.Rand) error
}

// faults are drawn from at random.
var faults = []fault{
	{"router killed", func(_ context.Context, s *soaker, rnd *rand.Rand) error {
		return pick(rnd, s.f.routers).restart(s.f.bin, syscall.SIGKILL, stopTime)
	}},
	{"router stopped", func(_ context.Context, s *soaker, rnd *rand.Rand) error {
		return pick(rnd, s.f.routers).restart(s.f.bin, syscall.SIGTERM, stopTime)
	}},
	{"router paused", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		return paused(ctx, pick(rnd, s.f.routers), rnd)
	}},
	{"agent killed", func(_ context.Context, s *soaker, rnd *rand.Rand) error {
		return pick(rnd, s.f.agents).restart(s.f.bin, syscall.SIGKILL, stopTime)
	}},
	{"agent paused", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		return paused(ctx, pick(rnd, s.f.agents), rnd)
	}},
	{"settings read again", func(_ context.Context, s *soaker, rnd *rand.Rand) error {
		p := pick(rnd, s.f.routers)
		p.faulty.Lock()
		defer p.faulty.Unlock()
		time.Sleep(time.Until(p.calmSince().Add(bornTime)))
		p.signal(syscall.SIGHUP)
		return nil
	}},
	{"link to a replica", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		r := pick(rnd, s.f.replicas)
		r.link.set(anyMode(rnd))
		sleep(ctx, span(rnd))
		r.link.set(Pass)
		return nil
	}},
	{"link to the store", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		p := pick(rnd, append(append([]*process{}, s.f.routers...), s.f.agents...))
		p.store.set(anyMode(rnd))
		sleep(ctx, span(rnd))
		p.store.set(Pass)
		p.disturb()
		return nil
	}},
	{"store", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		s.storeAway(true)
		s.f.store.SetFault([]mock.Fault{mock.Unavailable, mock.NoResponse, mock.NoWriteResponse}[rnd.IntN(3)])
		sleep(ctx, span(rnd))
		s.f.store.SetFault(mock.NoFault)
		s.storeAway(false)
		return nil
	}},
	{"store forgets its history", func(_ context.Context, s *soaker, _ *rand.Rand) error {
		s.f.store.Compact()
		return nil
	}},
	{"replica crashes", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		r := pick(rnd, s.f.replicas)
		r.faulty.Lock()
		defer r.faulty.Unlock()
		if err := r.Crash(); err != nil {
			return err
		}
		sleep(ctx, span(rnd))
		return r.Start(context.WithoutCancel(ctx))
	}},
	{"replica is replaced", func(ctx context.Context, s *soaker, rnd *rand.Rand) error {
		r := pick(rnd, s.f.replicas)
		r.faulty.Lock()
		defer r.faulty.Unlock()
		name, begun := r.Instance(), time.Now()
		r.Drain()
		sleep(ctx, leaveTime)
		s.drained(name, begun)
		if err := r.Crash(); err != nil {
			return err
		}
		return r.Start(context.WithoutCancel(ctx))
	}},
	{"routes change", func(_ context.Context, s *soaker, _ *rand.Rand) error {
		s.changeRoutes()
		return nil
	}},
}

// stopWhileLoading stops one router after the other while loads take longer than the
// stop, so that requests wait for them. It is a series of its own.
func (s *soaker) stopWhileLoading(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		s.setLoadTime(slowLoadTime)
		sleep(ctx, span(rnd))
		if err := pick(rnd, s.f.routers).restart(s.f.bin, syscall.SIGTERM, stopTime); err != nil {
			s.breach("router stopped while models load: %v", err)
		}
		s.setLoadTime(loadTime)
		sleep(ctx, span(rnd))
	}
}

func (s *soaker) setLoadTime(d time.Duration) {
	for _, r := range s.f.replicas {
		r.SetLoadTime(d)
	}
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

func anyMode(rnd *rand.Rand) Mode { return []Mode{Slow, Hush, Dark, OneWay, Reset}[rnd.IntN(5)] }

// span is how long a fault lasts.
func span(rnd *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(rnd.IntN(int(2*time.Second)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func paused(ctx context.Context, p *process, rnd *rand.Rand) error {
	p.faulty.Lock()
	defer p.faulty.Unlock()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, span(rnd))
	p.signal(syscall.SIGCONT)
	return nil
}

// route is one that was added.
type addedRoute struct {
	prefix  string
	addedAt time.Time
}

// changeRoutes adds a route and puts all in force.
func (s *soaker) changeRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.added = append(s.added, addedRoute{fmt.Sprintf("/more-%d/", s.version), time.Now()})
	prefixes := make([]string, 0, len(s.added))
	for _, r := range s.added {
		prefixes = append(prefixes, r.prefix)
	}
	s.f.store.Put("op/config", mock.Config(s.version, s.f.models, prefixes...))
}
