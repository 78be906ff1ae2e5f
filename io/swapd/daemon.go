// Package swapd runs the agent of an endpoint that routers send requests to
// directly: it carries out what package swap decides.
package swapd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
	"chervilreach/io/loop"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// askTime bounds a question to the endpoint, orderTime an order.
	pollTimeout  = 500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	// reportsQueued bounds the reports that wait for a slow connection; each
	// replaces the one before.
	reportQueueSize = 1
	// demandTime is the longest silence of a router that still counts as connected.
	demandTimeout = time.Minute
)

// Endpoint is the endpoint beside the agent.
type Endpoint interface {
	// Identify returns the name of the endpoint's present incarnation.
	Identify(ctx context.Context) (string, error)
	// Observe returns what the endpoint says of itself, but for its name.
	Observe(ctx context.Context) (swap.Snapshot, error)
	// Order sends an order.
	SendOrder(ctx context.Context, o swap.Order) (swap.Answer, error)
}

// Options are the parts of a daemon.
type Options struct {
	Endpoint Endpoint
	Log      zerolog.Logger
	Recorder loop.Recorder
	Clock    *event.Clock
	// Lagging is called when a router has routes of a later version.
	OnStaleRoutes func(version int64)
}

// Daemon is an agent's daemon.
type Daemon struct {
	opts Options
	log  zerolog.Logger
	loop *loop.Loop

	mu           sync.Mutex
	lastRouterID uint64
	routers      map[uint64]chan stock.Report
	latestReport stock.Report
	// silent says that the endpoint did not answer last.
	endpointDown bool
	// seen is what the endpoint said last under its present name; the name is empty
	// when it has to be asked for again.
	lastSnapshot swap.Snapshot
	// version and document are the operator's routes as the store has them.
	routesVersion  int64
	routesDocument []byte
}

// New returns a daemon that has not been started.
func New(opts Options) *Daemon {
	return &Daemon{
		opts: opts, log: opts.Log, loop: loop.New(swap.New(), opts.Recorder),
		routers: make(map[uint64]chan stock.Report),
	}
}

// Run runs the daemon until the context ends.
func (d *Daemon) Run(ctx context.Context) {
	d.loop.Run(ctx, executor{d, ctx})
}

// Adopt takes in what the endpoint's engine can hold, nil for nothing, and the
// document that says so, which routers may ask for.
func (d *Daemon) AdoptRoutes(e *route.Engine, version int64, document []byte) {
	d.mu.Lock()
	newer := version > d.routesVersion
	d.routesVersion, d.routesDocument = version, document
	latest := d.latestReport
	d.mu.Unlock()
	if newer && latest.Instance != "" {
		// Every frame tells the version; routers whose watch has missed it need it soon.
		d.publish(latest)
	}
	d.loop.Post(swap.EngineConfigured{Engine: e})
}

// Version returns the version of the routes that the agent knows.
func (d *Daemon) RoutesVersion() int64 {
	version, _ := d.routes()
	return version
}

// routes returns the operator's routes and their version; 0 if there are none.
func (d *Daemon) routes() (int64, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routesVersion, d.routesDocument
}

// Fence takes in the agent's fencing number.
func (d *Daemon) SetFencingToken(token int64) { d.loop.Post(swap.TokenIssued{Token: token}) }

// Peer returns this process's end of the connections from routers.
func (d *Daemon) Peer() *wire.Peer { return wire.NewPeer(wireSelf{d}, d.opts.Clock, d) }

// self tells routers which version of the routes this agent has.
type wireSelf struct{ d *Daemon }

// Hello implements wire.Self.
func (wireSelf) Hello() *wirepb.Hello { return &wirepb.Hello{} }

// Revision implements wire.Self.
func (s wireSelf) Revision() int64 {
	version, _ := s.d.routes()
	return version
}

// Serve implements wire.Handler: it exchanges demands and reports with a router.
func (d *Daemon) Serve(_ context.Context, c *wire.Conn, s *wire.Stream, first *wirepb.Frame) {
	defer func() { _ = s.Close() }()
	if first.GetHello() != nil {
		d.serveHello(s)
		return
	}
	if first.GetRoutes() != nil {
		d.sendRoutes(s)
		return
	}
	if first.GetDemand() == nil {
		return
	}
	id, reports := d.addRouter()
	d.loop.Post(swap.RouterConnected{Router: id})
	defer func() {
		d.removeRouter(id)
		d.loop.Post(swap.RouterDisconnected{Router: id})
	}()
	var brief atomic.Bool
	go d.sendReports(c, s, reports, &brief)
	for f := first; f != nil; f = d.receiveFrame(s) {
		body := f.GetDemand()
		if body == nil {
			return
		}
		demand := wire.DecodeDemand(time.Now(), body)
		brief.Store(demand.ReportGap > 0)
		d.loop.Post(swap.DemandReceived{Router: id, Demand: demand})
		if version, _ := d.routes(); f.GetRevision() > version {
			d.opts.OnStaleRoutes(f.GetRevision())
		}
	}
}

// sendRoutes answers a router that lags.
func (d *Daemon) sendRoutes(s *wire.Stream) {
	version, document := d.routes()
	body := &wirepb.Routes{Version: version, Document: document}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Routes{Routes: body}}); err != nil {
		d.log.Info().Err(err).Msg("routes not sent to a router")
	}
}

// greet answers a hello and keeps the stream until the other end closes it.
func (d *Daemon) serveHello(s *wire.Stream) {
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: wireSelf{d}.Hello()}}); err != nil {
		d.log.Info().Err(err).Msg("router lost at its hello")
		return
	}
	for {
		if _, err := s.Recv(); err != nil {
			return
		}
	}
}

func (d *Daemon) receiveFrame(s *wire.Stream) *wirepb.Frame {
	err := s.SetReadDeadline(time.Now().Add(demandTimeout))
	if err != nil {
		return nil
	}
	f, err := s.Recv()
	if err != nil {
		d.log.Info().Err(err).Msg("router not connected")
		return nil
	}
	return f
}

// send sends reports, in the brief form to a router that knows it.
func (d *Daemon) sendReports(c *wire.Conn, s *wire.Stream, reports <-chan stock.Report, brief *atomic.Bool) {
	var last stock.Report
	for {
		select {
		case <-c.Done():
			return
		case <-s.Done():
			return
		case r := <-reports:
			encode := wire.EncodeStock
			if brief.Load() {
				encode = wire.EncodeBriefStock
			}
			f := &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: encode(time.Now(), r, last)}}
			if err := s.Send(f); err != nil {
				// Reading the same stream fails too and reports the cause.
				_ = c.Close()
				return
			}
			last = r
		}
	}
}

func (d *Daemon) addRouter() (uint64, <-chan stock.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRouterID++
	reports := make(chan stock.Report, reportQueueSize)
	d.routers[d.lastRouterID] = reports
	if d.latestReport.Instance != "" {
		reports <- d.latestReport
	}
	return d.lastRouterID, reports
}

func (d *Daemon) removeRouter(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.routers, id)
}

// publish hands a report to all routers; an older one that still waits is
// replaced.
func (d *Daemon) publish(r stock.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latestReport = r
	for _, reports := range d.routers {
		select {
		case <-reports:
		default:
		}
		reports <- r
	}
}

// executor carries out effects.
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
		x.d.publish(eff.Report)
	}
}

func (d *Daemon) poll(ctx context.Context) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine, err := d.takeSnapshot(ctx)
	d.logEndpointChange(err)
	if err != nil {
		d.loop.Post(swap.ObserveFailed{Reason: err.Error()})
		return
	}
	d.loop.Post(swap.Observed{AskedAt: asked, Engine: engine})
}

// observeNamed asks for the endpoint's name too when it may have changed.
func (d *Daemon) takeSnapshot(ctx context.Context) (swap.Snapshot, error) {
	d.mu.Lock()
	last := d.lastSnapshot
	d.mu.Unlock()
	engine, err := d.opts.Endpoint.Observe(ctx)
	if err == nil && (last.Report.Instance == "" || swap.Restarted(last, engine)) {
		engine.Report.Instance, err = d.opts.Endpoint.Identify(ctx)
		d.log.Info().Err(err).Str("endpoint", engine.Report.Instance).Msg("endpoint identified")
	} else {
		engine.Report.Instance = last.Report.Instance
	}
	if err != nil {
		engine = swap.Snapshot{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSnapshot = engine
	return engine, err
}

// noteEndpoint logs when the endpoint stops answering and when it answers again.
func (d *Daemon) logEndpointChange(err error) {
	d.mu.Lock()
	changed := d.endpointDown != (err != nil)
	d.endpointDown = err != nil
	d.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		d.log.Warn().Err(err).Str("dependency", "endpoint").Msg("dependency lost")
		return
	}
	d.log.Info().Str("dependency", "endpoint").Msg("dependency regained")
}

func (d *Daemon) sendOrder(ctx context.Context, o swap.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := d.opts.Endpoint.SendOrder(ctx, o)
	d.log.Info().Err(err).Uint64("order", o.Number).Str("operation", string(o.Operation)).
		Str("model", o.Item.Model).Str("adapter", o.Item.Adapter).Str("endpoint", o.Instance).
		Int64("sequence", o.Sequence).Str("outcome", string(answer)).Msg("order")
	d.loop.Post(swap.OrderAnswered{Number: o.Number, Answer: answer})
}
