// Package relayd runs a router that sends callers' requests directly to endpoints. It feeds
// the reducer of package relay with events and executes the effects that it returns. Package
// relay defines the terms. The store is the platform's key-value store.
package relayd

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/bodies"
	"chervilreach/io/conns"
	"chervilreach/io/guard"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
)

// prunePeriod is the time between two removals of expired idle connections.
const prunePeriod = time.Second

// Options configures a daemon. All fields are required unless stated otherwise.
type Options struct {
	Settings    relay.Settings
	HeaderCodec HeaderCodec
	Log         zerolog.Logger
	Recorder    loop.Recorder
	Clock       *event.Clock
	// Metrics is the registry for the metrics of requests; nil discards them.
	Metrics metrics.Registry
	// AgentAddr returns the address on which the agent of an endpoint listens. The
	// address is invalid if the endpoint has no agent.
	AgentAddr func(m relay.EndpointEntry) netip.AddrPort
	// Routes adopts the routes that agents send.
	Routes RoutesFeed
	// Versions keeps the versions of the endpoints' software; nil keeps none.
	Versions VersionsStore
	// MaxTotalBodyBytes bounds the memory for the bodies of all requests in progress, also of those that are
	// being read.
	MaxTotalBodyBytes int64
}

// RoutesFeed adopts the versions of the operator's routes that agents send. Its methods may be
// called concurrently.
type RoutesFeed interface {
	// Version returns the version of the current document; 0 if there is none.
	Version() int64
	// Offer adopts a document, and OfferDeltas the one to which deltas lead, unless the current one is
	// as new. revision is a revision of the store at which it was the newest.
	Offer(document []byte, source string, revision epoch.Revision, readAt time.Time) error
	OfferDeltas(list []delta.Delta, source string, revision epoch.Revision, readAt time.Time) error
	// Confirm notes that a version was the newest at a revision of the store.
	Confirm(version int64, revision epoch.Revision)
	// UnseenRevision returns a revision of the store at which there may be a newer version; zero if
	// there is none.
	UnseenRevision() epoch.Revision
	// Want notes a version that an agent has and has not sent in time.
	Want(version int64)
}

// Daemon is a router. It implements http.Handler for callers. Its methods may be called
// concurrently.
type Daemon struct {
	opts Options
	log  zerolog.Logger
	loop *loop.Loop
	pool *conns.Pool
	// table is the routing table in force; nil until the first one is adopted.
	table atomic.Pointer[route.Table]
	// endpointsKnown reports whether a list of endpoints has been received.
	endpointsKnown atomic.Bool
	shuttingDown   atomic.Bool
	agents         *agentConns
	meters         meters
	guard          guard.Guard
	// bodies is the memory for the bodies of the requests in progress.
	bodies *bodies.Budget

	mu     sync.Mutex
	lastID relay.RequestID
	// exchanges holds the requests in progress.
	exchanges map[relay.RequestID]*exchange
	// convictions has the convictions of prompt parts that the reducer has adopted, by part.
	convictions map[poison.Part]poison.Verdict

	// attemptsCtx is canceled by cancelAttempts, which aborts all attempts in progress.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
}

// New returns a daemon. Run must be called to start it.
func New(opts Options) *Daemon {
	d := &Daemon{
		opts: opts, log: opts.Log, pool: conns.NewPool(),
		exchanges: make(map[relay.RequestID]*exchange), meters: newMeters(opts.Metrics),
		convictions: make(map[poison.Part]poison.Verdict),
	}
	d.guard = guard.Guard{Log: opts.Log, Metrics: d.meters.registry, Prefix: metricRequests}
	if opts.HeaderCodec != nil {
		d.guard.IDHeader = opts.HeaderCodec.IDHeader()
	}
	d.bodies = bodies.New(opts.MaxTotalBodyBytes, func() { d.meters.bodiesEvicted.Inc(1) })
	metrics.NewRegisteredFunctionalGauge(metricBodyBytes, d.meters.registry, d.bodies.Used)
	d.attemptsCtx, d.cancelAttempts = context.WithCancel(context.Background())
	d.loop = loop.New(relay.New(opts.Settings), opts.Recorder)
	d.agents = newAgentConns(d)
	metrics.NewRegisteredFunctionalGauge(metricConvictions, d.meters.registry, func() int64 { return int64(len(d.Convictions())) })
	return d
}

// Run executes effects and keeps the connections to agents until ctx is canceled. It then
// aborts the attempts in progress.
func (d *Daemon) Run(ctx context.Context) {
	defer d.agents.stop()
	defer d.cancelAttempts()
	go d.prune(ctx)
	go d.agents.askSources(ctx)
	d.loop.Run(ctx, executor{d, ctx})
}

// prune closes expired idle connections until ctx is canceled.
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

// Origin is where and when a routing table was read.
type Origin struct {
	// Source is the store or the instance of the endpoint whose agent sent the table.
	Source string
	// ReadAt is the time at which the table had been received, before it was decoded.
	ReadAt time.Time
}

// AdoptRoutes puts a routing table in force unless its version is the current one or
// older.
func (d *Daemon) AdoptRoutes(t *route.Table, from Origin) {
	if d.RoutesVersion() >= t.Version {
		return
	}
	// The reducer must have the table before the first request that is matched with it.
	d.loop.Post(relay.RoutesAdopted{Table: t})
	for {
		current := d.table.Load()
		if current != nil && current.Version >= t.Version {
			return
		}
		if d.table.CompareAndSwap(current, t) {
			break
		}
	}
	age := time.Since(from.ReadAt)
	d.meters.routesTime.Update(age)
	d.log.Info().Int64("version", t.Version).Int("routes", t.Len()).Str("source", from.Source).
		Int64("age-ms", age.Milliseconds()).Msg("routes adopted")
}

// Configure replaces the settings.
func (d *Daemon) Configure(cfg relay.Settings) {
	d.loop.Post(relay.SettingsChanged{Settings: cfg})
}

// SetEndpoints replaces the list of endpoints, which was read at readAt. If more is true, the list
// is incomplete because its rest has not been read yet.
func (d *Daemon) SetEndpoints(list []relay.EndpointEntry, more bool, readAt time.Time) {
	d.endpointsKnown.Store(true)
	d.loop.Post(relay.EndpointsListed{List: list, More: more, ReadAt: readAt})
}

// Ready reports whether the router can serve callers: routes and endpoints are known, and
// the shutdown has not begun.
func (d *Daemon) Ready() bool {
	return !d.shuttingDown.Load() && d.endpointsKnown.Load() && d.table.Load() != nil
}

// RoutesVersion returns the version of the routes in force; 0 if there are none.
func (d *Daemon) RoutesVersion() int64 { return selfInfo{d}.Revision() }

// ShuttingDown reports whether BeginShutdown has been called.
func (d *Daemon) ShuttingDown() bool { return d.shuttingDown.Load() }

// BeginShutdown announces that the process ends at the time by, and closes callers' connections from
// drainAt on. Until then, each answer closes the caller's connection, and requests that can't be
// sent in time and streams that arrive after drainAt are refused. AbortAttempts must be called at
// the time by.
func (d *Daemon) BeginShutdown(drainAt, by time.Time) {
	d.shuttingDown.Store(true)
	d.loop.Post(relay.ShutdownStarted{DrainAt: drainAt, By: by})
}

// AbortAttempts aborts all attempts in progress, so that each request gets its final answer
// before the process ends. Later attempts are aborted too.
func (d *Daemon) AbortAttempts() { d.cancelAttempts() }

// RequestsInProgress returns the number of requests without a final answer.
func (d *Daemon) RequestsInProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.exchanges)
}

// newTransport returns the local end of the connections to agents.
func (d *Daemon) newTransport() *wire.Transport {
	return wire.NewTransport(selfInfo{d}, d.opts.Clock, streamRejecter{})
}

// executor executes the effects of the reducer.
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
	case relay.AskPermit:
		go x.d.agents.askPermit(eff)
	case relay.ReportLimit:
		go x.d.agents.reportLimit(eff)
	case relay.LimitChanged:
		x.d.logLimitChange(eff)
	case relay.BackoffChanged:
		x.d.logBackoff(eff)
	case relay.EndpointLeaving:
		x.d.logLeaving(eff)
	case relay.EntryContradicted:
		x.d.logContradiction(eff)
	case relay.Wait:
		x.d.logWait(eff)
	default:
		if !x.doOrigins(eff) && !x.doSilence(eff) {
			x.doPoison(eff)
		}
	}
}

// sendCommand passes an effect to the goroutine that serves the request. It does nothing if
// the request has ended.
func (d *Daemon) sendCommand(id relay.RequestID, eff event.Effect) {
	d.mu.Lock()
	x := d.exchanges[id]
	d.mu.Unlock()
	if x == nil {
		return
	}
	x.commands <- eff
}

// abortAttempt closes the connection of an attempt if it is still in progress.
func (d *Daemon) abortAttempt(eff relay.AbortAttempt) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x != nil {
		x.abortAttempt(eff)
	}
}

// addExchange registers a request and sets its ID.
func (d *Daemon) addExchange(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	x.id = d.lastID
	d.exchanges[x.id] = x
	d.meters.inFlight.Update(int64(len(d.exchanges)))
}

// removeExchange removes a request that has ended.
func (d *Daemon) removeExchange(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, x.id)
	d.meters.inFlight.Update(int64(len(d.exchanges)))
}
