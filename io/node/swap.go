package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/config"
	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/route"
	"chervilreach/io/admin"
	"chervilreach/io/line"
	"chervilreach/io/logs"
	"chervilreach/io/mirror"
	"chervilreach/io/swapd"
)

const (
	// fencingRetryPause is the pause before the fencing token is requested again after a
	// failure.
	fencingRetryPause = 300 * time.Millisecond
	// watchPause is the pause between two watches of the operator's keys.
	watchPause = 200 * time.Millisecond
	// maxRoutesLag is how long an agent may have older routes than a router before it reads
	// the store again, maxRoutesLagJitter what is added at most, so that the agents of a fleet
	// don't read at the same time.
	maxRoutesLag       = 3 * time.Second
	maxRoutesLagJitter = 3 * time.Second
	// askedDuration is how long after a router has asked for routes the agent watches for new ones.
	askedDuration = 15 * time.Second
	// watchWait is how long a watch waits for a change. As a watch may hang, it bounds how late an
	// agent sees one.
	watchWait = time.Second
	// minDoubtInterval is the shortest time between two reads of the store because routers doubt
	// that the agent's routes are the newest.
	minDoubtInterval = 500 * time.Millisecond
)

// SwapPlatform is the interface of a Swap to the users' platform. All fields but Prefix are
// required.
type SwapPlatform struct {
	// Store is the client of the platform's key-value store.
	Store mirror.Store
	// Endpoint is the client of the agent's endpoint.
	Endpoint swapd.Endpoint
	// Prefix selects the operator's keys in the store.
	Prefix string
	// Routes returns the operator's routes in a snapshot of the store; nil if no valid ones are
	// known.
	Routes func(snapshot map[string][]byte) *route.Table
	// RoutesDocument returns the document of the operator's routes in a snapshot of the store,
	// without decoding it.
	RoutesDocument func(snapshot map[string][]byte) []byte
	// NextFencingToken returns a fencing token that is higher than that of all earlier
	// agents of the endpoint.
	NextFencingToken func(ctx context.Context) (int64, error)
}

// Swap is an agent process on the users' platform. Start must be called first, then Stop
// once.
type Swap struct {
	cfg         *config.PlatformConfig
	platform    SwapPlatform
	log         *logs.Log
	daemon      *swapd.Daemon
	mirror      *mirror.Mirror
	registry    metrics.Registry
	recorder    *line.Recorder
	startedAt   time.Time
	adminServer *adminServer
	stop        context.CancelFunc
	// failed receives the error of the listener for routers.
	failed chan error

	mu sync.Mutex
	// missingVersion is a version of the routes that a router has and that was newer than the
	// agent's; 0 if there is none.
	missingVersion int64
	// missingUntil is when the store is read for it.
	missingUntil time.Time
	// doubtedAt is the time of the last read because of doubts.
	doubtedAt time.Time
}

// NewSwap returns an agent that has not been started. The settings must be complete for an
// agent.
func NewSwap(cfg *config.PlatformConfig, log *logs.Log, platform SwapPlatform) *Swap {
	clock := &event.Clock{}
	s := &Swap{cfg: cfg, platform: platform, log: log, failed: make(chan error, 1)}
	s.registry = metrics.NewRegistry()
	s.recorder = newPlatformRecorder(cfg, log, clock, s.registry)
	s.mirror = mirror.New(mirror.Options{
		Store: platform.Store, Prefix: platform.Prefix, WatchPause: watchPause, WatchWait: watchWait, Log: log.Logger,
		OnChange: s.onStoreChange, Watching: s.watchesRoutes,
		OnFullRead: func(revision epoch.Revision) { s.daemon.ConfirmRoutes(revision) },
	})
	s.daemon = swapd.New(swapd.Options{
		Endpoint: platform.Endpoint, Log: log.Logger, Clock: clock, Recorder: s.recorder, Metrics: s.registry,
		OnStaleRoutes: s.onStaleRoutes, OnRoutesDoubted: s.onRoutesDoubted,
	})
	return s
}

// Start starts the agent, which runs until Stop is called. After an error the process must
// exit, because a listener that was opened before the error stays open.
func (s *Swap) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.cfg.Process.Wire.String())
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	go func() {
		if err := s.daemon.NewTransport().Listen(ctx, l); err != nil && !errors.Is(err, net.ErrClosed) {
			s.failed <- err
		}
	}()
	adminListener, err := listen(ctx, nil, s.cfg.Process.Admin)
	if err != nil {
		return err
	}
	s.startedAt = time.Now()
	s.adminServer = serveAdmin(adminListener, admin.HandlerConfig{Source: s, Recorder: s.recorder, Metrics: s.registry, Acquitter: s.daemon})
	go s.daemon.Run(ctx)
	go s.acquireFencingToken(ctx)
	go s.mirror.Run(ctx)
	s.log.Info().Stringer("endpoint", s.cfg.Endpoint.Address).Msg("started")
	return nil
}

// onStaleRoutes is called when a router has a newer version of the routes. It requests a full
// read of the store if the agent's own watch does not deliver that version or a newer one
// within maxRoutesLag and its jitter. No answer to a caller waits for it.
func (s *Swap) onStaleRoutes(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingVersion == 0 || s.daemon.RoutesVersion() >= s.missingVersion {
		s.missingVersion, s.missingUntil = version, time.Now().Add(maxRoutesLag+rand.N(maxRoutesLagJitter))
		return
	}
	if time.Now().After(s.missingUntil) {
		s.missingVersion = 0
		s.mirror.Refresh()
	}
}

// onRoutesDoubted is called when a router knows a revision of the store at which there may be newer
// routes than those that the agent has read. Its watch may have skipped them.
func (s *Swap) onRoutesDoubted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.doubtedAt) >= minDoubtInterval {
		s.doubtedAt = now
		s.mirror.Refresh()
	}
}

// onStoreChange adopts the routes in a snapshot of the store.
func (s *Swap) onStoreChange(snapshot mirror.Snapshot) {
	if t := s.platform.Routes(snapshot.Entries); t != nil {
		s.daemon.AdoptRoutes(t.Engine(s.cfg.Endpoint.Service), t.Version, s.platform.RoutesDocument(snapshot.Entries))
	}
}

// watchesRoutes reports whether the agent watches the store for new routes: while routers ask for
// them. Otherwise it reads them when routers have newer ones.
func (s *Swap) watchesRoutes() bool { return time.Since(s.daemon.RoutesAskedAt()) < askedDuration }

// acquireFencingToken requests a fencing token until it has one or ctx is canceled.
func (s *Swap) acquireFencingToken(ctx context.Context) {
	for ctx.Err() == nil {
		token, err := s.platform.NextFencingToken(ctx)
		if err == nil {
			s.log.Info().Int64("token", token).Msg("fencing token acquired")
			s.daemon.SetFencingToken(token)
			return
		}
		s.log.Warn().Err(err).Msg("fencing token request failed")
		select {
		case <-ctx.Done():
		case <-time.After(fencingRetryPause):
		}
	}
}

// Reload validates the settings file again and logs the result. It applies nothing, because no
// setting of an agent can change while the process runs.
func (s *Swap) Reload() {
	cfg, err := s.cfg.Reread((*config.PlatformConfig).CompleteForAgent)
	if err != nil {
		s.log.Error().Err(err).Msg("settings left out")
		return
	}
	logIgnored(s.log, cfg)
	s.log.Info().Msg("settings reloaded")
}

// Healthy implements admin.Source.
func (s *Swap) Healthy() error { return nil }

// Ready implements admin.Source.
func (s *Swap) Ready() error { return nil }

// Status implements admin.Source.
func (s *Swap) Status() admin.Status {
	health := s.daemon.EndpointHealth()
	return admin.Status{
		Process: s.cfg.Process.ID, Domain: s.cfg.Process.FailureDomain, Started: s.startedAt,
		Revision:       fleet.Revision(s.daemon.RoutesVersion()),
		ConvictedParts: admin.ConvictedParts(time.Now(), s.daemon.Convictions()),
		Endpoint: &admin.EndpointAnswers{
			Error: health.Error, ChangedAt: health.ChangedAt, MalformedCount: health.MalformedCount,
		},
	}
}

// Failed returns a channel that receives an error if the agent can no longer accept
// connections from routers.
func (s *Swap) Failed() <-chan error { return s.failed }

// Stop ends the agent immediately. The endpoint continues to execute the orders that it has
// accepted.
func (s *Swap) Stop(context.Context) error {
	s.log.Info().Msg("stopped")
	s.stop()
	if err := s.adminServer.Close(); err != nil {
		return fmt.Errorf("close administration server: %w", err)
	}
	return nil
}
