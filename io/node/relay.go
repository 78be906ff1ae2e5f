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
	"chervilreach/io/line"
	"chervilreach/io/logs"
	"chervilreach/io/mirror"
	"chervilreach/io/relayd"
)

const (
	// callerHeader bounds how long a caller may take to send its headers.
	callerHeader = 5 * time.Second
	// callerIdle is how long a caller's connection may stay idle: longer than
	// operators let callers keep them.
	callerIdle = 75 * time.Second
	// leaveTime is how long a stopping router still takes in requests, so that the
	// balancer sees that it is not ready and callers learn that their connections
	// end.
	leaveTime = 2900 * time.Millisecond
	// linesPerSecond bounds the lines of a process at the level info: above what a
	// busy day writes, below what a small core can afford.
	linesPerSecond = 400
	// stopMargin is left of the time for stopping when requests are broken off, and
	// endMargin when the process ends at the latest: the last answers are written in
	// between.
	stopMargin = 300 * time.Millisecond
	endMargin  = 100 * time.Millisecond
)

var errNotReady = errors.New("routes or endpoints are not known yet, or the process is leaving")

// Platform is what a process needs of the users' platform.
type Platform struct {
	Store   mirror.Store
	Dialect relayd.Dialect
	// Prefix covers the keys that a router follows.
	Prefix string
	// Image reads copies of the store.
	Image Image
	// AgentOf returns where the agent beside an endpoint listens.
	AgentOf func(m relay.Member) netip.AddrPort
	// Decode reads the operator's routes as the store has them.
	Decode func(document []byte) (*route.Table, error)
	// ReadyPath is what the balancer asks for.
	ReadyPath string
}

// Image reads copies of the store.
type Image interface {
	Routes(image map[string][]byte) *route.Table
	Members(image map[string][]byte) []relay.Member
}

// Relay is a router process on the platform.
type Relay struct {
	cfg       *config.Gate
	plat      Platform
	log       *logs.Log
	daemon    *relayd.Daemon
	registry  metrics.Registry
	recorder  *line.Recorder
	startedAt time.Time
	admin     *http.Server
	mirror    *mirror.Mirror
	calls     *http.Server
	ready     *http.Server
	stop      context.CancelFunc
	failed    chan error
}

// NewRelay puts a router together from settings that are complete for one.
func NewRelay(cfg *config.Gate, log *logs.Log, platform Platform) *Relay {
	r := &Relay{cfg: cfg, plat: platform, log: log, failed: make(chan error, 2)}
	clock := &event.Clock{}
	r.registry = metrics.NewRegistry()
	r.recorder = newLine(cfg, log, clock, r.registry)
	r.daemon = relayd.New(relayd.Options{
		Settings: relaySettings(cfg),
		Dialect:  platform.Dialect, Log: log.Logger, Clock: clock,
		Recorder: r.recorder, Metrics: r.registry,
		AgentOf:   platform.AgentOf,
		MaxBodies: int64(cfg.Callers.MaxBodies),
		Lagging:   func() { r.mirror.Refresh() },
		Decode:    platform.Decode,
	})
	r.mirror = mirror.New(mirror.Options{
		Store: platform.Store, Prefix: platform.Prefix, Pace: cfg.Store.Pace, Wait: cfg.Store.Wait, Log: log.Logger,
		Changed: r.changed,
	})
	r.calls = &http.Server{
		Handler: r.daemon, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle,
		ConnContext: relayd.WithConn,
	}
	r.ready = &http.Server{Handler: http.HandlerFunc(r.answerReady), ReadHeaderTimeout: callerHeader}
	return r
}

// newLine returns the time line of a process on a small host.
func newLine(cfg *config.Gate, log *logs.Log, clock *event.Clock, registry metrics.Registry) *line.Recorder {
	return line.New(cfg.Process.ID, clock, line.DefaultLimits(), line.WithMetrics(registry), line.WithLog(log.Logger))
}

func (r *Relay) answerReady(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.plat.ReadyPath {
		http.NotFound(w, req)
		return
	}
	if !r.daemon.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start begins to serve.
func (r *Relay) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	if err := r.listen(ctx, r.ready, r.cfg.Callers.Ready); err != nil {
		return err
	}
	if err := r.listen(ctx, r.calls, r.cfg.Callers.Listen); err != nil {
		return err
	}
	l, err := listen(ctx, nil, r.cfg.Process.Admin)
	if err != nil {
		return err
	}
	r.startedAt = time.Now()
	r.admin = serveAdmin(l, admin.HandlerConfig{Source: r, Recorder: r.recorder, Metrics: r.registry})
	go r.daemon.Run(ctx)
	go r.mirror.Run(ctx)
	r.log.Info().Stringer("callers", r.cfg.Callers.Listen).Msg("started")
	return nil
}

func (r *Relay) changed(image map[string][]byte, more bool) {
	if t := r.plat.Image.Routes(image); t != nil {
		r.daemon.Adopt(t)
	}
	r.daemon.SetMembers(r.plat.Image.Members(image), more)
}

func (r *Relay) listen(ctx context.Context, s *http.Server, addr netip.AddrPort) error {
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

// Reload reads the settings again. The bound on repeats is taken in; the rest
// needs a new process. Settings with faults are left out.
func (r *Relay) Reload() {
	cfg, err := r.cfg.Reread((*config.Gate).ForRouter)
	if err != nil {
		r.log.Error().Err(err).Msg("settings left out")
		return
	}
	r.daemon.Configure(relaySettings(cfg))
	r.log.Info().Float64("retry-ratio", cfg.Retries.Ratio).Int("retry-extra", cfg.Retries.Extra).Msg("settings reloaded")
}

// relaySettings are the figures that a router goes by.
func relaySettings(cfg *config.Gate) relay.Settings {
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
		Revision: fleet.Revision(r.daemon.Version()), Draining: r.daemon.Leaving(),
		Router: &admin.RouterStatus{Calls: r.daemon.InProgress()},
	}
}

// Failed tells of the first failure of a server.
func (r *Relay) Failed() <-chan error { return r.failed }

// Stop has the balancer send callers elsewhere, goes on serving open connections
// for a while, and waits for the requests in progress.
func (r *Relay) Stop(ctx context.Context) error {
	at, ok := ctx.Deadline()
	if !ok {
		at = time.Now().Add(r.cfg.Process.DrainTimeout)
	}
	endAt := at.Add(-endMargin)
	at = at.Add(-stopMargin)
	r.daemon.Leave(at)
	r.log.Info().Int("in-progress", r.daemon.InProgress()).Msg("stopping")
	defer r.stop()
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(leaveTime):
	}
	defer r.closeServers()
	if err := r.calls.Shutdown(ctx); err != nil {
		r.log.Warn().Err(err).Int("in-progress", r.daemon.InProgress()).Msg("stopped with requests in progress")
		r.breakOff(endAt)
		return fmt.Errorf("finish requests: %w", err)
	}
	r.log.Info().Msg("stopped")
	return nil
}

// closeServers ends what is still open, as the end of the process would.
func (r *Relay) closeServers() {
	for _, s := range []*http.Server{r.calls, r.ready, r.admin} {
		if err := s.Close(); err != nil {
			r.log.Warn().Err(err).Msg("server not closed")
		}
	}
}

// breakOff gives the requests that are still in progress their final answers, and
// waits until these are written, at the latest until endAt.
func (r *Relay) breakOff(endAt time.Time) {
	r.daemon.Abort()
	ctx, cancel := context.WithDeadline(context.Background(), endAt)
	defer cancel()
	if err := r.calls.Shutdown(ctx); err != nil {
		r.log.Error().Err(err).Msg("stopped before all answers were written")
		r.daemon.LogUnanswered()
	}
}

// NewGateLog returns the log of a process on the platform, and bounds the
// memory that the runtime takes.
func NewGateLog(cfg *config.Gate, w io.Writer) (*logs.Log, error) {
	if cfg.Process.Memory > 0 {
		debug.SetMemoryLimit(int64(cfg.Process.Memory) / 2)
	}
	log, err := logs.New(w, cfg.Process.ID, cfg.Log.Level, func(int) {})
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	log.Bound(linesPerSecond)
	return log, nil
}
