// Package routed runs the router's reducer: it turns effects into messages to
// agents, calls of the key-value service and answers to callers, and their
// results into events.
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

// Options are what a daemon is built with.
type Options struct {
	Process fleet.ProcessID
	Domain  fleet.FailureDomain
	KV      *etcd.Client
	Hosts   HostLister
	// HostsPeriod is the time between two reads of the host list.
	HostsPeriod time.Duration
	Reducer     *router.State
	Recorder    loop.Recorder
	Clock       *event.Clock
	Metrics     metrics.Registry
	Log         zerolog.Logger
}

// Daemon is one router process without its HTTP server.
type Daemon struct {
	opt     Options
	log     zerolog.Logger
	ctx     context.Context
	loop    *loop.Loop
	peer    *wire.Peer
	pool    *pool
	config  *accept.Source
	watcher *accept.Watcher
	calls   *calls
	claims  *claims
	permits *relays
	drained chan struct{}
	once    sync.Once
	started chan struct{}
	// routers is how many the platform's list had last.
	routers atomic.Int64
}

// New returns a daemon that has not been started.
func New(opt Options) *Daemon {
	d := &Daemon{
		opt:     opt,
		log:     opt.Log,
		loop:    loop.New(opt.Reducer, opt.Recorder),
		config:  accept.NewSource(opt.Metrics),
		calls:   newCalls(),
		permits: newRelays(),
		drained: make(chan struct{}),
		started: make(chan struct{}),
	}
	d.peer = wire.NewPeer(d, opt.Clock, d)
	d.pool = newPool(d)
	d.claims = newClaims(d)
	d.watcher = accept.NewWatcher(d.opt.KV, d.config, d.acceptOptions())
	return d
}

// Hello implements wire.Self.
func (d *Daemon) Hello() *wirepb.Hello {
	return &wirepb.Hello{Process: string(d.opt.Process), FailureDomain: string(d.opt.Domain)}
}

// Revision implements wire.Self.
func (d *Daemon) Revision() int64 { return int64(d.config.Current().Revision) }

// Config returns the accepted configuration of this process.
func (d *Daemon) Config() *accept.Source { return d.config }

// Run serves until the context ends. Drain should have ended before.
func (d *Daemon) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	close(d.started)
	d.config.Subscribe(func(set *record.Set) {
		if set.Revision > 0 {
			go d.loop.Post(router.ConfigAccepted{Set: set})
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() { d.loop.Run(ctx, d) })
	wg.Go(func() { d.followHosts(ctx) })
	wg.Go(func() { d.followPlacements(ctx) })
	wg.Go(func() { d.followConfig(ctx) })
	wg.Go(func() { d.claims.run(ctx) })
	err := d.peer.Listen(ctx, l)
	cancel()
	d.pool.close()
	wg.Wait()
	if err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// followConfig proposes and follows the accepted configuration.
func (d *Daemon) followConfig(ctx context.Context) {
	follower := accept.NewFollower(d.config, d.pool.configPeers, d.acceptOptions())
	accept.Run(ctx, d.watcher, follower)
}

func (d *Daemon) acceptOptions() accept.Options {
	return accept.Options{
		Seed:     rand.Uint64(),
		Watchers: func() int { return int(d.routers.Load()) },
		Registry: d.opt.Metrics,
		Log:      d.opt.Log,
	}
}

// Rejected returns the records that are written and not in force.
func (d *Daemon) Rejected() []record.Status { return d.watcher.Rejected() }

// followHosts reads the platform's host list again and again.
func (d *Daemon) followHosts(ctx context.Context) {
	ticker := time.NewTicker(d.opt.HostsPeriod)
	defer ticker.Stop()
	failed := metrics.GetOrRegisterCounter("router.host-list-failures", d.opt.Metrics)
	for {
		list, err := d.opt.Hosts.List(ctx)
		if err != nil {
			failed.Inc(1)
		} else {
			d.routers.Store(int64(lo.CountBy(list.Hosts, func(h fleet.Host) bool { return h.Role == fleet.RoleEntry })))
			d.loop.Post(router.HostsListed{List: list})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready says why the router can't serve yet; nil when it can.
func (d *Daemon) Ready() error {
	if d.config.Current().Revision == 0 {
		return errNoConfig
	}
	return nil
}

// Drain waits until no call is in progress any more, or the context ends. A
// daemon that has ended has none.
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

// Status returns the router's state; false when the daemon has ended.
func (d *Daemon) Status() (router.Status, bool) {
	var st router.Status
	ok := d.loop.Inspect(func(now time.Time) { st = d.opt.Reducer.Status(now) })
	return st, ok
}

var _ front.Dispatcher = (*Daemon)(nil)
