// Package swapd runs the agent of an endpoint to which routers send requests directly. It
// feeds the reducer of package swap with events and executes the effects that it returns.
package swapd

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// pollTimeout bounds a poll of the endpoint, orderTimeout an order to it.
	pollTimeout  = 500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	// reportQueueSize is the number of reports that are queued for a slow connection. One is
	// enough, as each report replaces the previous one.
	reportQueueSize = 1
	// demandTimeout is the longest time without a demand before the connection to a router
	// is closed.
	demandTimeout = time.Minute
)

// metricConvictions is the name of the gauge of convicted prompt parts.
const metricConvictions = "swap.convictions-in-force"

// Endpoint is a client of the agent's endpoint. Its methods may be called concurrently. Their
// errors wrap ErrMalformedAnswer if what the endpoint sent is no answer.
type Endpoint interface {
	// Identify returns the instance name of the endpoint. A restart may change it.
	Identify(ctx context.Context) (string, error)
	// Observe returns a snapshot of the endpoint. Its Report.Instance is empty; Identify
	// returns the name.
	Observe(ctx context.Context) (swap.Snapshot, error)
	// Runs returns the runs that the endpoint reports.
	Runs(ctx context.Context) (stock.Runs, error)
	// Reach opens a new connection to the endpoint and closes it.
	Reach(ctx context.Context) error
	// SendOrder sends an order and returns the endpoint's answer to it. With an error the
	// answer is valid too; it is swap.Unanswered if none was received.
	SendOrder(ctx context.Context, o swap.Order) (swap.Answer, error)
}

// Options configures a daemon. All fields are required unless stated otherwise.
type Options struct {
	Endpoint Endpoint
	Log      zerolog.Logger
	Recorder loop.Recorder
	Clock    *event.Clock
	// Metrics is the registry for the daemon's metrics; nil discards them.
	Metrics metrics.Registry
	// OnStaleRoutes is called with a router's version of the routes if it is newer than the
	// agent's. It is called for each demand from such a router.
	OnStaleRoutes func(version int64)
	// OnRoutesDoubted is called when a router asks for the routes as of a later revision of the
	// store than the agent knows. It should cause the store to be read.
	OnRoutesDoubted func()
}

// Daemon is an agent. It implements wire.Handler for routers. Its methods may be called
// concurrently.
type Daemon struct {
	opts   Options
	log    zerolog.Logger
	loop   *loop.Loop
	health *healthRecord

	mu           sync.Mutex
	lastRouterID uint64
	// reportQueues holds the report queues of the connected routers by the router's ID.
	reportQueues map[uint64]chan stock.Report
	latestReport stock.Report
	// lastSnapshot is the last snapshot of the endpoint, including its instance name. It is
	// zero after a failed poll; the name must be requested again then.
	lastSnapshot swap.Snapshot
	// routes has the operator's routes as stored. routesRevision is a revision of the store at
	// which they were the newest.
	routes         delta.History
	routesRevision epoch.Revision
	// routesChanges caches what leads to the latest routes, by the version that a router has.
	routesChanges map[int64][]byte
	// routesAskedAt is the time at which a router last asked for routes.
	routesAskedAt time.Time
	lastAskNumber uint64
	// permitAsks has the channel to which the answer to an ask for a permit goes, by the ask's
	// number.
	permitAsks map[uint64]chan swap.PermitAnswered
	// originAsks is the same for asks for the origin of a stream.
	originAsks map[uint64]chan swap.OriginAnswered
	runs       runsReader
}

// New returns a daemon. Run must be called to start it.
func New(opts Options) *Daemon {
	d := &Daemon{
		opts: opts, log: opts.Log, loop: loop.New(swap.New(), opts.Recorder), health: newHealthRecord(opts.Log, opts.Metrics),
		reportQueues: make(map[uint64]chan stock.Report), permitAsks: make(map[uint64]chan swap.PermitAnswered),
		originAsks: make(map[uint64]chan swap.OriginAnswered),
	}
	if opts.Metrics != nil {
		metrics.NewRegisteredFunctionalGauge(metricConvictions, opts.Metrics, func() int64 { return int64(len(d.Convictions())) })
	}
	return d
}

// Run executes effects until ctx is canceled. Routers are served by the Listen method of
// Transport.
func (d *Daemon) Run(ctx context.Context) {
	d.loop.Run(ctx, executor{d, ctx})
}

// EndpointHealth returns how the endpoint answers this agent.
func (d *Daemon) EndpointHealth() EndpointHealth { return d.health.get() }

// SetFencingToken sets the agent's fencing token. No orders are sent before.
func (d *Daemon) SetFencingToken(token int64) { d.loop.Post(swap.TokenIssued{Token: token}) }

// NewTransport returns the local end of the connections from routers.
func (d *Daemon) NewTransport() *wire.Transport {
	return wire.NewTransport(selfInfo{d}, d.opts.Clock, d)
}

// selfInfo implements wire.Self. It tells routers which version of the routes the agent has.
type selfInfo struct{ d *Daemon }

// Hello implements wire.Self. An agent's hello is empty.
func (selfInfo) Hello() *wirepb.Hello { return &wirepb.Hello{} }

// Revision implements wire.Self. It returns the version of the agent's routes; 0 if it has
// none.
func (s selfInfo) Revision() int64 {
	return s.d.RoutesVersion()
}

// Serve implements wire.Handler. The first frame determines the use of the stream: a hello, a
// request for the routes, the limit of an endpoint, an ask for a permit, a report on prompt parts
// that crash endpoints, origins of streams or an ask for one, an ask for a run, or the exchange of demands and reports with a router.
func (d *Daemon) Serve(ctx context.Context, c *wire.Conn, s *wire.Stream, first *wirepb.Frame) {
	defer func() { _ = s.Close() }()
	if first.GetHello() != nil {
		d.serveHello(s)
		return
	}
	if ask := first.GetRoutes(); ask != nil {
		d.sendRoutes(s, ask)
		return
	}
	if l := first.GetEndpointLimit(); l != nil {
		d.loop.Post(swap.LimitReported{Limit: wire.DecodeLimit(time.Now(), l)})
		return
	}
	if ev := poisonEvent(first); ev != nil {
		d.loop.Post(ev)
		return
	}
	if ask := first.GetSendPermitAsk(); ask != nil {
		d.answerPermitAsk(c, s, ask)
		return
	}
	if ask := first.GetRunAsk(); ask != nil {
		d.answerRunAsk(ctx, s, ask)
		return
	}
	if d.serveOrigins(c, s, first) || first.GetDemand() == nil {
		return
	}
	id, reports := d.addRouter()
	d.loop.Post(swap.RouterConnected{Router: id})
	defer func() {
		d.removeRouter(id)
		d.loop.Post(swap.RouterDisconnected{Router: id})
	}()
	var sendBrief atomic.Bool
	go d.sendReports(c, s, reports, &sendBrief)
	for f := first; f != nil; f = d.receiveFrame(s) {
		body := f.GetDemand()
		if body == nil {
			return
		}
		demand := wire.DecodeDemand(time.Now(), body)
		sendBrief.Store(demand.ReportGap > 0)
		d.loop.Post(swap.DemandReceived{Router: id, Demand: demand})
		if f.GetRevision() > d.RoutesVersion() {
			d.opts.OnStaleRoutes(f.GetRevision())
		}
	}
}

// serveHello answers a hello and keeps the stream open until the router closes it.
func (d *Daemon) serveHello(s *wire.Stream) {
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: selfInfo{d}.Hello()}}); err != nil {
		d.log.Info().Err(err).Msg("could not send hello to router")
		return
	}
	for {
		if _, err := s.Recv(); err != nil {
			return
		}
	}
}

// receiveFrame returns the router's next frame; nil if the connection failed or demandTimeout
// has passed.
func (d *Daemon) receiveFrame(s *wire.Stream) *wirepb.Frame {
	err := s.SetReadDeadline(time.Now().Add(demandTimeout))
	if err != nil {
		return nil
	}
	f, err := s.Recv()
	if err != nil {
		d.log.Info().Err(err).Msg("connection to router lost")
		return nil
	}
	return f
}

// sendReports sends the queued reports until the connection or the stream is closed. It uses
// the brief encoding while sendBrief is true, which it is after a demand with a report gap: only
// routers that support the encoding send one.
func (d *Daemon) sendReports(c *wire.Conn, s *wire.Stream, reports <-chan stock.Report, sendBrief *atomic.Bool) {
	var previous stock.Report
	for {
		select {
		case <-c.Done():
			return
		case <-s.Done():
			return
		case r := <-reports:
			encode := wire.EncodeStock
			if sendBrief.Load() {
				encode = wire.EncodeBriefStock
			}
			f := &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: encode(time.Now(), r, previous)}}
			if err := s.Send(f); err != nil {
				// receiveFrame then fails on the same stream and logs the cause.
				_ = c.Close()
				return
			}
			previous = r
		}
	}
}

// addRouter registers a connected router. It returns its ID and its report queue.
func (d *Daemon) addRouter() (uint64, <-chan stock.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRouterID++
	reports := make(chan stock.Report, reportQueueSize)
	d.reportQueues[d.lastRouterID] = reports
	return d.lastRouterID, reports
}

// removeRouter removes a router whose connection has ended.
func (d *Daemon) removeRouter(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reportQueues, id)
}

// publish queues a report for the routers with the given IDs, or for all if ids is nil. It replaces
// a report that has not been sent yet.
func (d *Daemon) publish(r stock.Report, ids []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latestReport = r
	if ids == nil {
		for _, reports := range d.reportQueues {
			replaceQueued(reports, r)
		}
		return
	}
	for _, id := range ids {
		if reports := d.reportQueues[id]; reports != nil {
			replaceQueued(reports, r)
		}
	}
}

// replaceQueued puts a report into a queue of size reportQueueSize in place of one that is there.
func replaceQueued(reports chan stock.Report, r stock.Report) {
	select {
	case <-reports:
	default:
	}
	reports <- r
}

// executor executes the effects of the reducer.
type executor struct {
	d   *Daemon
	ctx context.Context
}

// Do implements loop.Executor.
func (x executor) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case swap.Poll:
		go x.d.poll(x.ctx)
	case swap.Order:
		go x.d.sendOrder(x.ctx, eff)
	case swap.Publish:
		x.d.publish(eff.Report, eff.Routers)
	case swap.OriginAnswered:
		x.d.passOriginAnswer(eff)
	case swap.PermitAnswered:
		x.d.passPermitAnswer(eff)
	case swap.PartConvicted:
		x.d.log.Warn().Stringer("part", eff.Verdict.Part).Int("crashes", eff.Verdict.CrashCount).Msg("prompt part convicted")
	}
}

// poll takes a snapshot of the endpoint and posts the result.
func (d *Daemon) poll(ctx context.Context) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	snapshot, err := d.takeSnapshot(ctx)
	d.health.notePoll(time.Now(), err)
	if err != nil {
		d.loop.Post(swap.ObserveFailed{Reason: err.Error(), Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	d.loop.Post(swap.Observed{AskedAt: askedAt, Engine: snapshot})
}

// takeSnapshot returns a snapshot of the endpoint, including its instance name. It requests
// the name only if it is unknown or the endpoint has restarted.
func (d *Daemon) takeSnapshot(ctx context.Context) (swap.Snapshot, error) {
	d.mu.Lock()
	last := d.lastSnapshot
	d.mu.Unlock()
	snapshot, err := d.opts.Endpoint.Observe(ctx)
	if err == nil && (last.Report.Instance == "" || swap.Restarted(last, snapshot)) {
		snapshot.Report.Instance, err = d.opts.Endpoint.Identify(ctx)
		d.log.Info().Err(err).Str("endpoint", snapshot.Report.Instance).Msg("endpoint identified")
	} else {
		snapshot.Report.Instance = last.Report.Instance
	}
	if err != nil {
		snapshot = swap.Snapshot{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSnapshot = snapshot
	return snapshot, err
}

// sendOrder sends an order to the endpoint and posts its answer.
func (d *Daemon) sendOrder(ctx context.Context, o swap.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := d.opts.Endpoint.SendOrder(ctx, o)
	d.health.noteAnswer(time.Now(), err)
	d.log.Info().Err(err).Uint64("order", o.Number).Str("operation", string(o.Operation)).
		Str("model", o.Item.Model).Str("adapter", o.Item.Adapter).Str("endpoint", o.Instance).
		Int64("sequence", o.Sequence).Str("outcome", string(answer)).Msg("order")
	d.loop.Post(swap.OrderAnswered{Number: o.Number, Answer: answer})
}
