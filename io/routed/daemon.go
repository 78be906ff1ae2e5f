// Package routed runs the reducer of a router. It executes the reducer's effects as
// messages to agents, calls to the key-value service and answers to callers, and posts
// the results as events.
package routed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/router"
	"chervilreach/io/accept"
	"chervilreach/io/etcd"
	"chervilreach/io/front"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// HostLister reads the platform's host list.
type HostLister interface {
	List(ctx context.Context) (fleet.HostList, error)
}

// Options configure a Daemon.
type Options struct {
	Process       fleet.ProcessID
	FailureDomain fleet.FailureDomain
	KV            *etcd.Client
	Hosts         HostLister
	// HostsPeriod is the interval between reads of the host list.
	HostsPeriod time.Duration
	Reducer     *router.State
	Recorder    loop.Recorder
	Clock       *event.Clock
	Metrics     metrics.Registry
	Log         zerolog.Logger
}

// Daemon is a router process without its HTTP server. Its methods are safe for concurrent
// use, but Dispatch must not be called before Run.
type Daemon struct {
	opt         Options
	log         zerolog.Logger
	ctx         context.Context
	loop        *loop.Loop
	transport   *wire.Transport
	pool        *pool
	config      *accept.Source
	watcher     *accept.Watcher
	calls       *calls
	claimWriter *claimWriter
	permits     *permitStreams
	drained     chan struct{}
	drainedOnce sync.Once
	started     chan struct{}
	// routerCount is the number of routers in the last host list.
	routerCount atomic.Int64
}

// New returns a daemon; Run starts it.
func New(opt Options) *Daemon {
	d := &Daemon{
		opt:     opt,
		log:     opt.Log,
		loop:    loop.New(opt.Reducer, opt.Recorder),
		config:  accept.NewSource(opt.Metrics),
		calls:   newCalls(),
		permits: newPermitStreams(),
		drained: make(chan struct{}),
		started: make(chan struct{}),
	}
	d.transport = wire.NewTransport(d, opt.Clock, d)
	d.pool = newPool(d)
	d.claimWriter = newClaimWriter(d)
	d.watcher = accept.NewWatcher(d.opt.KV, d.config, d.acceptOptions())
	return d
}

// Hello implements wire.Self.
func (d *Daemon) Hello() *wirepb.Hello {
	return &wirepb.Hello{Process: string(d.opt.Process), FailureDomain: string(d.opt.FailureDomain)}
}

// Revision implements wire.Self.
func (d *Daemon) Revision() int64 { return int64(d.config.Current().Revision) }

// Config returns the source of this process's accepted configuration.
func (d *Daemon) Config() *accept.Source { return d.config }

// Run serves the connections accepted by l until ctx is done, which also closes l. It
// must be called once. For a graceful shutdown, Drain must have returned before ctx ends.
func (d *Daemon) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	close(d.started)
	d.config.Subscribe(func(config *record.Config) {
		if config.Revision > 0 {
			go d.loop.Post(router.ConfigAccepted{Config: config})
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() { d.loop.Run(ctx, d) })
	wg.Go(func() { d.pollHosts(ctx) })
	wg.Go(func() { d.watchPlacements(ctx) })
	wg.Go(func() { d.followConfig(ctx) })
	wg.Go(func() { d.claimWriter.run(ctx) })
	err := d.transport.Listen(ctx, l)
	cancel()
	d.pool.close()
	wg.Wait()
	if err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// followConfig keeps the accepted configuration up to date, from the key-value service and
// from agents, and proposes newer ones.
func (d *Daemon) followConfig(ctx context.Context) {
	follower := accept.NewFollower(d.config, d.pool.configPeers, d.acceptOptions())
	accept.Run(ctx, d.watcher, follower)
}

func (d *Daemon) acceptOptions() accept.Options {
	return accept.Options{
		Seed:         rand.Uint64(),
		WatcherCount: func() int { return int(d.routerCount.Load()) },
		Registry:     d.opt.Metrics,
		Log:          d.opt.Log,
	}
}

// Rejected returns the status of each record that is in the key-value service but was not
// accepted.
func (d *Daemon) Rejected() []record.Status { return d.watcher.Rejected() }

// pollHosts reads the platform's host list every HostsPeriod and posts it, until ctx is
// done. Failed reads are counted.
func (d *Daemon) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(d.opt.HostsPeriod)
	defer ticker.Stop()
	failed := metrics.GetOrRegisterCounter("router.host-list-failures", d.opt.Metrics)
	for {
		list, err := d.opt.Hosts.List(ctx)
		if err != nil {
			failed.Inc(1)
		} else {
			d.routerCount.Store(int64(lo.CountBy(list.Hosts, func(h fleet.Host) bool { return h.Role == fleet.HostRoleEntry })))
			d.loop.Post(router.HostsListed{List: list})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready returns nil if the router has an accepted configuration and can serve calls, and
// an error otherwise.
func (d *Daemon) Ready() error {
	if d.config.Current().Revision == 0 {
		return errNoConfig
	}
	return nil
}

// Drain makes the router refuse new calls and waits until none is in progress. It fails
// if ctx ends first. It returns nil if the daemon has ended.
func (d *Daemon) Drain(ctx context.Context) error {
	if !d.loop.Post(router.DrainRequested{}) {
		return nil
	}
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
}

// Status returns the router's state. It reports false if the daemon has ended.
func (d *Daemon) Status() (router.Status, bool) {
	var st router.Status
	ok := d.loop.Inspect(func(now time.Time) { st = d.opt.Reducer.Status(now) })
	return st, ok
}

var _ front.Dispatcher = (*Daemon)(nil)
