package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/config"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/admin"
	"chervilreach/io/drain"
	"chervilreach/io/feed"
	"chervilreach/io/line"
	"chervilreach/io/logs"
	"chervilreach/io/mirror"
	"chervilreach/io/relayd"
)

const (
	// callerHeaderTimeout bounds how long a caller may take to send the headers of a request.
	callerHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long a caller's connection may stay idle. It is longer than
	// the idle timeout that operators configure in their callers.
	callerIdleTimeout = 75 * time.Second
	// shutdownGrace is how long a stopping router still accepts requests, so that the load
	// balancer notices that the router is not ready, and answers can tell callers that their
	// connections close.
	shutdownGrace = 2900 * time.Millisecond
	// maxGraceShare bounds shutdownGrace by a part of the time until the abort, so that what arrives at
	// its end can be answered.
	maxGraceShare = 0.5
	// maxLogLinesPerSecond limits the log lines of a process at level info and below. It is
	// above the rate of a busy day and below the rate that a small core can afford.
	maxLogLinesPerSecond = 400
	// abortMargin is how long before its deadline Relay.Stop aborts the requests in progress.
	// exitMargin is how long before its deadline Relay.Stop returns at the latest. The last
	// answers are written in between.
	abortMargin = 300 * time.Millisecond
	exitMargin  = 100 * time.Millisecond
)

// errNotReady is the error of a router that can't serve callers. Clients of the administration
// server get its text.
var errNotReady = errors.New("routes or endpoints are not known yet, or the process is leaving")

// RelayPlatform is the interface of a Relay to the users' platform. All fields are required.
type RelayPlatform struct {
	// Store is the client of the platform's key-value store.
	Store mirror.Store
	// HeaderCodec reads and writes the headers of requests and answers.
	HeaderCodec relayd.HeaderCodec
	// EndpointsPrefix and RoutesPrefix select the keys of the endpoint list and of the routes in
	// the store.
	EndpointsPrefix, RoutesPrefix string
	// Endpoints decodes the endpoints listed in a snapshot of the store.
	Endpoints func(snapshot map[string][]byte) []relay.EndpointEntry
	// MalformedEntries returns the number of malformed entries that Endpoints has seen so far.
	MalformedEntries func() int64
	// AgentAddr returns the address on which the agent of an endpoint listens. The address is
	// invalid if the endpoint has no agent.
	AgentAddr func(m relay.EndpointEntry) netip.AddrPort
	// RoutesDocument returns the document of the operator's routes in a snapshot of the store; nil
	// if it is missing.
	RoutesDocument func(snapshot map[string][]byte) []byte
	// DecodeRoutes decodes the document. It is not called concurrently, and the document is not
	// changed afterwards.
	DecodeRoutes func(document []byte) (*route.Table, error)
	// Versions keeps which versions of the endpoints' software have served lately.
	Versions relayd.VersionsStore
	// ReadyPath is the URL path of the load balancer's readiness checks.
	ReadyPath string
}

// Relay is a router process on the users' platform. Start must be called first, then Stop
// once.
type Relay struct {
	cfg *config.PlatformConfig
	// reloaded holds the settings as of the last Reload.
	reloaded *config.PlatformConfig
	platform RelayPlatform
	log      *logs.Log
	daemon   *relayd.Daemon
	registry metrics.Registry
	// malformedEntries is the number of malformed endpoint entries seen so far.
	malformedEntries metrics.Gauge
	recorder         *line.Recorder
	startedAt        time.Time
	adminServer      *adminServer
	// endpoints watches the endpoint list, routes reads the routes when routesFeed asks for it.
	endpoints, routes *mirror.Mirror
	routesFeed        *feed.Feed
	callerServer      *drain.Server
	readinessServer   *http.Server
	stop              context.CancelFunc
	// failed receives the errors of callerServer and readinessServer.
	failed chan error
}

// NewRelay returns a router that has not been started. The settings must be complete for a
// router.
func NewRelay(cfg *config.PlatformConfig, log *logs.Log, platform RelayPlatform) *Relay {
	r := &Relay{cfg: cfg, reloaded: cfg, platform: platform, log: log, failed: make(chan error, 2)}
	clock := &event.Clock{}
	r.registry = metrics.NewRegistry()
	r.malformedEntries = metrics.GetOrRegisterGauge("relay.entries.malformed", r.registry)
	r.recorder = newPlatformRecorder(cfg, log, clock, r.registry)
	pause, wait := cfg.Store.WatchTimes()
	r.routesFeed = feed.New(feed.Options{
		WatchCycle: pause + wait,
		Decode:     platform.DecodeRoutes, Log: log.Logger,
		AgentsConnected: func() bool { return r.daemon.AgentsConnected() },
		Adopt: func(t *route.Table, source string, readAt time.Time) {
			r.daemon.AdoptRoutes(t, relayd.Origin{Source: source, ReadAt: readAt})
		},
		AskAgents: func() { r.daemon.AskForRoutes() },
		ReadStore: func() { r.routes.Refresh() },
		OnSkipped: func() { r.endpoints.Refresh() },
	})
	r.daemon = relayd.New(relayd.Options{
		Settings:    relaySettings(cfg),
		HeaderCodec: platform.HeaderCodec, Log: log.Logger, Clock: clock,
		Recorder: r.recorder, Metrics: r.registry,
		AgentAddr:         platform.AgentAddr,
		MaxTotalBodyBytes: int64(cfg.Callers.MaxTotalBody),
		Routes:            r.routesFeed,
		Versions:          platform.Versions,
	})
	r.endpoints = mirror.New(mirror.Options{
		Store: platform.Store, Prefix: platform.EndpointsPrefix, WatchPause: pause, WatchWait: wait, Lease: cfg.Store.Lease(), Log: log.Logger,
		OnChange: r.onEndpoints, OnUnseen: r.routesFeed.Unseen,
	})
	r.routes = mirror.New(mirror.Options{
		Store: platform.Store, Prefix: platform.RoutesPrefix, Log: log.Logger, Watching: func() bool { return false },
		OnChange: r.onRoutes, OnFullRead: r.routesFeed.StoreRead,
	})
	errorLog := logs.ErrorLog(log.Logger)
	r.callerServer = drain.New(&http.Server{
		Handler: r.daemon, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: int(cfg.Callers.MaxHead),
		ConnContext: relayd.WithConn, ErrorLog: errorLog,
	})
	r.readinessServer = &http.Server{Handler: http.HandlerFunc(r.handleReadiness), ReadHeaderTimeout: callerHeaderTimeout, ErrorLog: errorLog}
	return r
}

// platformTimelineLimits keep the time line of a process on the users' platform within 5 MB, as
// hosts there have little memory.
var platformTimelineLimits = line.Limits{
	MaxEntries: 1 << 12, MaxBytes: fleet.MiB, MaxNotes: 1 << 10, MaxRoutineEntries: 1 << 11, MaxLargeBytes: fleet.MiB,
}

// newPlatformRecorder returns the recorder of events and effects of a process on the users'
// platform. The recording has no header, so that Replay can't replay it.
func newPlatformRecorder(cfg *config.PlatformConfig, log *logs.Log, clock *event.Clock, registry metrics.Registry) *line.Recorder {
	return line.New(cfg.Process.ID, clock, platformTimelineLimits, line.WithMetrics(registry), line.WithLog(log.Logger))
}

// handleReadiness answers the readiness checks of the load balancer.
func (r *Relay) handleReadiness(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.platform.ReadyPath {
		http.NotFound(w, req)
		return
	}
	if !r.daemon.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start starts the router, which runs until Stop is called. After an error the process must
// exit, because the servers that were started before the error keep running.
func (r *Relay) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	if err := r.listen(ctx, r.readinessServer, r.cfg.Callers.Ready); err != nil {
		return err
	}
	if err := r.listen(ctx, r.callerServer, r.cfg.Callers.Listen); err != nil {
		return err
	}
	l, err := listen(ctx, nil, r.cfg.Process.Admin)
	if err != nil {
		return err
	}
	r.startedAt = time.Now()
	r.adminServer = serveAdmin(l, admin.HandlerConfig{Source: r, Recorder: r.recorder, Metrics: r.registry, Acquitter: r.daemon})
	go r.daemon.Run(ctx)
	go r.endpoints.Run(ctx)
	go r.routes.Run(ctx)
	go r.routesFeed.Run(ctx)
	r.log.Info().Stringer("callers", r.cfg.Callers.Listen).Msg("started")
	return nil
}

// onEndpoints adopts the endpoints in a snapshot of the store.
func (r *Relay) onEndpoints(s mirror.Snapshot) {
	r.daemon.SetEndpoints(r.platform.Endpoints(s.Entries), s.Partial, s.ReadAt)
	r.malformedEntries.Update(r.platform.MalformedEntries())
}

// onRoutes adopts the routes in a snapshot of the store. If they are malformed, the last valid ones
// stay in use.
func (r *Relay) onRoutes(s mirror.Snapshot) {
	document := r.platform.RoutesDocument(s.Entries)
	if document == nil {
		return
	}
	if err := r.routesFeed.Offer(document, "store", s.Revision, s.ReadAt); err != nil {
		r.log.Error().Err(err).Msg("invalid operator's configuration ignored, the last valid one stays in use")
	}
}

// server is an http.Server or a drain.Server.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// listen starts a server on addr. If the server fails later, the error is sent to r.failed.
func (r *Relay) listen(ctx context.Context, s server, addr netip.AddrPort) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.failed <- fmt.Errorf("serve %s: %w", addr, err)
		}
	}()
	return nil
}

// Reload reads the settings file again and applies the limits of retries. Other settings take
// effect only in a new process. A limit that can't be used keeps its value, which is logged. If
// the file is invalid otherwise, Reload logs the error and changes nothing. It must not be called
// concurrently.
func (r *Relay) Reload() {
	cfg, err := r.reloaded.Reread((*config.PlatformConfig).CompleteForRouter)
	if err != nil {
		r.log.Error().Err(err).Msg("settings left out")
		return
	}
	logIgnored(r.log, cfg)
	r.reloaded = cfg
	r.daemon.Configure(relaySettings(cfg))
	r.log.Info().Float64("retry-ratio", cfg.Retries.Ratio).Float64("retry-extra", cfg.Retries.Extra).Msg("settings reloaded")
}

// logIgnored logs the values in reloaded settings that can't be used.
func logIgnored(log *logs.Log, cfg *config.PlatformConfig) {
	if err := cfg.Ignored(); err != nil {
		log.Warn().Err(err).Msg("settings ignored, earlier values in use")
	}
}

// relaySettings returns the settings of the router's reducer.
func relaySettings(cfg *config.PlatformConfig) relay.Settings {
	return relay.Settings{
		Process: string(cfg.Process.ID), FailureDomain: string(cfg.Process.FailureDomain),
		RetryRatio: cfg.Retries.Ratio, RetryExtra: cfg.Retries.Extra, RetryWindow: cfg.Retries.Window,
	}
}

// Healthy implements admin.Source.
func (r *Relay) Healthy() error { return nil }

// Ready implements admin.Source.
func (r *Relay) Ready() error {
	if !r.daemon.Ready() {
		return errNotReady
	}
	return nil
}

// Status implements admin.Source.
func (r *Relay) Status() admin.Status {
	return admin.Status{
		Process: r.cfg.Process.ID, Domain: r.cfg.Process.FailureDomain, Started: r.startedAt,
		Revision: fleet.Revision(r.daemon.RoutesVersion()), Draining: r.daemon.ShuttingDown(),
		ConvictedParts: admin.ConvictedParts(time.Now(), r.daemon.Convictions()),
		Router:         &admin.RouterStatus{CallsInProgress: r.daemon.RequestsInProgress()},
	}
}

// Failed returns a channel that receives the error of a server for callers or readiness
// checks that has failed.
func (r *Relay) Failed() <-chan error { return r.failed }

// Stop ends the router. It makes the router not ready, so that the load balancer sends callers
// elsewhere, still accepts requests for the time shutdownGrace or half of its time, and then waits for the
// requests in progress. Shortly before the deadline of ctx it aborts the remaining requests and
// returns an error. Without a deadline, the drain timeout of the settings applies.
func (r *Relay) Stop(ctx context.Context) error {
	abortAt, ok := ctx.Deadline()
	if !ok {
		abortAt = time.Now().Add(r.cfg.Process.DrainTimeout)
	}
	exitAt := abortAt.Add(-exitMargin)
	abortAt = abortAt.Add(-abortMargin)
	grace := min(shutdownGrace, time.Duration(maxGraceShare*float64(time.Until(abortAt))))
	r.daemon.BeginShutdown(time.Now().Add(grace), abortAt)
	r.log.Info().Int("in-progress", r.daemon.RequestsInProgress()).Msg("stopping")
	defer r.stop()
	ctx, cancel := context.WithDeadline(ctx, abortAt)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(grace):
	}
	defer r.closeServers()
	defer r.daemon.LogUnanswered()
	defer r.logConns()
	if err := r.callerServer.Drain(ctx); err != nil {
		r.log.Warn().Err(err).Int("in-progress", r.daemon.RequestsInProgress()).Msg("drain incomplete; aborting requests in progress")
		r.abortRequests(exitAt)
		return fmt.Errorf("finish requests: %w", err)
	}
	r.log.Info().Msg("stopped")
	return nil
}

// logConns logs what became of the callers' connections that had no request during the drain.
func (r *Relay) logConns() {
	n := r.callerServer.Counts()
	r.log.Info().Int("closed", n.Closed).Int("kept-for-request", n.Kept).Int("unread", n.Unread).Msg("idle connections of callers ended")
}

// closeServers closes the servers with all their connections, as the end of the process
// would.
func (r *Relay) closeServers() {
	for _, s := range []io.Closer{r.callerServer, r.readinessServer, r.adminServer} {
		if err := s.Close(); err != nil {
			r.log.Warn().Err(err).Msg("close server failed")
		}
	}
}

// abortRequests aborts the requests in progress, so that each gets its final answer, and waits
// until these answers have been written, at most until exitAt.
func (r *Relay) abortRequests(exitAt time.Time) {
	r.daemon.AbortAttempts()
	ctx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	if err := r.callerServer.Drain(ctx); err != nil {
		r.log.Error().Err(err).Msg("shutdown ended before all answers were written")
	}
}

// InitProcess prepares the Go process for a Relay or a Swap, and returns its log. If the
// settings limit the memory, it sets the soft memory limit of the Go runtime to half of it.
// The log writes to w and is limited to maxLogLinesPerSecond.
func InitProcess(cfg *config.PlatformConfig, w io.Writer) (*logs.Log, error) {
	if cfg.Process.Memory > 0 {
		debug.SetMemoryLimit(int64(cfg.Process.Memory) / 2)
	}
	log, err := logs.New(w, cfg.Process.ID, cfg.Log.Level, func(int) {})
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	log.LimitRate(maxLogLinesPerSecond)
	if err := cfg.Ignored(); err != nil {
		log.Warn().Err(err).Msg("settings ignored, defaults in use")
	}
	return log, nil
}
