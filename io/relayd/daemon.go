// Package relayd runs a router that sends callers' requests straight to
// endpoints: it carries out what package relay decides.
package relayd

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/conns"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
)

// pruneTime is how often idle connections are looked through.
const prunePeriod = time.Second

// Options are the parts of a daemon.
type Options struct {
	Settings relay.Settings
	Dialect  Dialect
	Log      zerolog.Logger
	Recorder loop.Recorder
	Clock    *event.Clock
	// Metrics takes in the counters and times of requests; nil for none.
	Metrics metrics.Registry
	// AgentOf returns where the agent beside an endpoint listens; the address is
	// invalid if none is to be expected.
	AgentAddr func(m relay.Member) netip.AddrPort
	// Lagging is called when an agent has routes of a later version.
	OnStaleRoutes func()
	// Decode reads the operator's routes as agents hand them on.
	DecodeRoutes func(document []byte) (*route.Table, error)
	// MaxBodies is the most memory for the bodies of all requests in progress, in
	// bytes.
	MaxTotalBodyBytes int64
}

// Daemon is a router's daemon.
type Daemon struct {
	opts         Options
	log          zerolog.Logger
	loop         *loop.Loop
	pool         *conns.Pool
	table        atomic.Pointer[route.Table]
	membersKnown atomic.Bool
	shuttingDown atomic.Bool
	agents       *agentConns
	meters       meters
	bodyBytes    atomic.Int64

	mu        sync.Mutex
	lastID    relay.RequestID
	exchanges map[relay.RequestID]*exchange

	// aborted ends when the attempts in progress are broken off.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
}

// New returns a daemon that has not been started.
func New(opts Options) *Daemon {
	d := &Daemon{
		opts: opts, log: opts.Log, pool: conns.NewPool(),
		exchanges: make(map[relay.RequestID]*exchange), meters: newMeters(opts.Metrics),
	}
	d.attemptsCtx, d.cancelAttempts = context.WithCancel(context.Background())
	d.loop = loop.New(relay.New(opts.Settings), opts.Recorder)
	d.agents = newAgentConns(d)
	return d
}

// Run runs the daemon until the context ends.
func (d *Daemon) Run(ctx context.Context) {
	defer d.agents.stop()
	defer d.cancelAttempts()
	go d.prune(ctx)
	d.loop.Run(ctx, executor{d, ctx})
}

func (d *Daemon) prune(ctx context.Context) {
	ticker := time.NewTicker(prunePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.Prune(now)
		}
	}
}

// Adopt puts a table in force unless a newer one is.
func (d *Daemon) AdoptRoutes(t *route.Table) {
	for {
		old := d.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			break
		}
	}
	d.log.Info().Int64("version", t.Version).Msg("routes adopted")
	d.loop.Post(relay.RoutesAdopted{Table: t})
}

// Configure takes in settings that have changed.
func (d *Daemon) Configure(cfg relay.Settings) {
	d.loop.Post(relay.SettingsChanged{Settings: cfg})
}

// SetMembers takes in the list of endpoints, of which more may still have to be
// read.
func (d *Daemon) SetMembers(list []relay.Member, more bool) {
	d.membersKnown.Store(true)
	d.loop.Post(relay.MembersListed{List: list, More: more})
}

// Ready says whether callers may be sent here.
func (d *Daemon) Ready() bool {
	return !d.shuttingDown.Load() && d.membersKnown.Load() && d.table.Load() != nil
}

// Version returns the version of the routes in force; 0 if there are none.
func (d *Daemon) RoutesVersion() int64 { return wireSelf{d}.Revision() }

// Leaving says whether Leave has been called.
func (d *Daemon) ShuttingDown() bool { return d.shuttingDown.Load() }

// Leave announces that the process ends: callers are told that their connections
// end with the next answer, and requests that can't be sent in time are refused.
// Abort is to be called at that time.
func (d *Daemon) BeginShutdown(by time.Time) {
	d.shuttingDown.Store(true)
	d.loop.Post(relay.ShutdownStarted{By: by})
}

// Abort breaks off the attempts in progress, so that each request gets its final
// answer before the process ends.
func (d *Daemon) AbortAttempts() { d.cancelAttempts() }

// InProgress returns how many requests have no final answer.
func (d *Daemon) InProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.exchanges)
}

// Peer returns this process's end of the connections to agents.
func (d *Daemon) peer() *wire.Peer {
	return wire.NewPeer(wireSelf{d}, d.opts.Clock, closeStreams{})
}

// executor carries out effects.
type executor struct {
	d   *Daemon
	ctx context.Context
}

// Do implements loop.Executor.
func (x executor) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case relay.Send:
		x.d.sendCommand(eff.ID, eff)
	case relay.Refuse:
		x.d.sendCommand(eff.ID, eff)
	case relay.Fail:
		x.d.sendCommand(eff.ID, eff)
	case relay.DeliverFailure:
		x.d.sendCommand(eff.ID, eff)
	case relay.AbortAttempt:
		x.d.abortAttempt(eff)
	case relay.FollowAgents:
		x.d.agents.follow(eff.List)
	case relay.SendDemand:
		x.d.agents.sendDemand(eff)
	case relay.Wait:
		x.d.logWait(eff)
	}
}

// tell hands an effect to the goroutine of its request.
func (d *Daemon) sendCommand(id relay.RequestID, eff event.Effect) {
	d.mu.Lock()
	x := d.exchanges[id]
	d.mu.Unlock()
	if x == nil {
		return
	}
	x.commands <- eff
}

// breakOff ends an attempt that is still in progress.
func (d *Daemon) abortAttempt(eff relay.AbortAttempt) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x != nil {
		x.abortAttempt(eff.Try)
	}
}

func (d *Daemon) addExchange(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	x.id = d.lastID
	d.exchanges[x.id] = x
	d.meters.inFlight.Update(int64(len(d.exchanges)))
}

func (d *Daemon) removeExchange(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, x.id)
	d.meters.inFlight.Update(int64(len(d.exchanges)))
}
