// Package agentd runs the reducer of an agent. It executes the reducer's effects as calls
// to the engine and the key-value service and as messages to routers, and posts the
// results as events. Package routed is its counterpart; package swapd runs the agent of the
// deployment on the users' platform.
package agentd

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/accept"
	"chervilreach/io/engine"
	"chervilreach/io/etcd"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// Options configure a Daemon.
type Options struct {
	Process  fleet.ProcessID
	Endpoint fleet.EndpointID
	// Instance identifies this run of the process.
	Instance      fleet.Instance
	FailureDomain fleet.FailureDomain
	// Engine is the address of the model engine; the zero value means that there is none.
	Engine netip.AddrPort
	// Memory limits the accelerator memory that the engine reports; 0 means no limit.
	Memory fleet.Bytes
	// Services are the addresses of the plain services on this host.
	Services map[fleet.ServiceID]netip.AddrPort
	KV       *etcd.Client
	Reducer  *agent.State
	Recorder loop.Recorder
	Clock    *event.Clock
	Metrics  metrics.Registry
	Log      zerolog.Logger
}

// Daemon is an agent process. Its methods are safe for concurrent use.
type Daemon struct {
	opt       Options
	log       zerolog.Logger
	ctx       context.Context
	loop      *loop.Loop
	transport *wire.Transport
	engine    *engine.Client
	services  map[fleet.ServiceID]*engine.Client
	config    *accept.Source

	// report is the latest report message for routers; nil before the first.
	report         atomic.Pointer[wirepb.Report]
	streams        *streamTable
	requests       *requestStore
	routers        connList
	runs           runs[fleet.RequestID]
	orderRuns      runs[fleet.OrderID]
	permitRequests permitRequests
	drained        chan struct{}
	drainedOnce    sync.Once
}

// New returns a daemon; Run starts it.
func New(opt Options) *Daemon {
	d := &Daemon{
		opt:            opt,
		log:            opt.Log,
		loop:           loop.New(opt.Reducer, opt.Recorder),
		services:       make(map[fleet.ServiceID]*engine.Client),
		config:         accept.NewSource(opt.Metrics),
		streams:        newStreamTable(),
		requests:       newRequestStore(),
		runs:           newRuns[fleet.RequestID](),
		orderRuns:      newRuns[fleet.OrderID](),
		permitRequests: newPermitRequests(),
		drained:        make(chan struct{}),
	}
	if opt.Engine.IsValid() {
		d.engine = engine.New(opt.Engine)
	}
	for id, addr := range opt.Services {
		d.services[id] = engine.New(addr)
	}
	d.transport = wire.NewTransport(d, opt.Clock, d)
	return d
}

// Hello implements wire.Self.
func (d *Daemon) Hello() *wirepb.Hello {
	return &wirepb.Hello{
		Process:       string(d.opt.Process),
		Endpoint:      string(d.opt.Endpoint),
		FailureDomain: string(d.opt.FailureDomain),
		Instance:      uint64(d.opt.Instance),
	}
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
	d.config.Subscribe(func(config *record.Config) {
		if config.Revision > 0 {
			go d.loop.Post(agent.ConfigAccepted{Config: config})
		}
	})
	follower := accept.NewFollower(d.config, d.configPeers, accept.Options{Registry: d.opt.Metrics})
	var wg sync.WaitGroup
	wg.Go(func() { d.loop.Run(ctx, d) })
	wg.Go(func() { follower.Run(ctx) })
	wg.Go(func() { d.refreshReports(ctx) })
	d.loop.Post(d.startedEvent())
	err := d.transport.Listen(ctx, l)
	cancel()
	wg.Wait()
	if err != nil {
		return fmt.Errorf("serve routers: %w", err)
	}
	return nil
}

// startedEvent returns the first event of the reducer.
func (d *Daemon) startedEvent() agent.Started {
	ev := agent.Started{Endpoint: d.opt.Endpoint, Instance: d.opt.Instance}
	for id := range d.opt.Services {
		ev.Services = append(ev.Services, id)
	}
	return ev
}

// Drain makes the agent refuse new requests, and waits until none is in progress and the
// routers have closed all streams. It fails if ctx ends first. It returns nil if the daemon
// has ended.
func (d *Daemon) Drain(ctx context.Context) error {
	if !d.loop.Post(agent.DrainRequested{}) {
		return nil
	}
	select {
	case <-d.drained:
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
	return d.waitStreamsClosed(ctx)
}

// streamPollInterval is the interval at which a draining agent checks for open streams.
const streamPollInterval = 20 * time.Millisecond

// waitStreamsClosed waits until all streams are closed, which means that the routers have
// received the last answers.
func (d *Daemon) waitStreamsClosed(ctx context.Context) error {
	ticker := time.NewTicker(streamPollInterval)
	defer ticker.Stop()
	for d.streams.count() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for streams to close: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// Report returns the agent's state. It reports false if the daemon has ended.
func (d *Daemon) Report() (agent.Report, bool) {
	var rep agent.Report
	ok := d.loop.Inspect(func(now time.Time) { rep = d.opt.Reducer.Report(now) })
	return rep, ok
}

// refreshReports updates the report message every reportInterval until ctx is done. The
// message gets a new sequence number only if its content has changed.
func (d *Daemon) refreshReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var sequence uint64
	for {
		now := time.Now()
		rep, ok := d.Report()
		if !ok {
			return
		}
		msg := reportMessage(now, sequence, rep)
		if !proto.Equal(msg, d.report.Load()) {
			sequence++
			msg.Sequence = sequence
			d.report.Store(msg)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// configPeers returns the connected routers, which may have a newer configuration, the
// latest connection first.
func (d *Daemon) configPeers() []accept.Peer {
	var peers []accept.Peer
	for _, c := range d.routers.newestFirst() {
		peers = append(peers, wire.ConfigPeer{Conn: c})
	}
	return peers
}
