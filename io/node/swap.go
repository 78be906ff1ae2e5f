package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/config"
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
	// fenceRetry is the pause before the fencing number is asked for again.
	fenceRetry = 300 * time.Millisecond
	// configPace is the least time between two reads of the operator's keys.
	configPace = 500 * time.Millisecond
	// lagMost is how long an agent may lag behind routers.
	lagMost = 3 * time.Second
	// configWait bounds how late an agent sees what its engine may hold; nothing
	// that callers see depends on it.
	configWait = 10 * time.Second
)

// SwapPlatform is what an agent needs of the users' platform.
type SwapPlatform struct {
	Store    mirror.Store
	Endpoint swapd.Endpoint
	// Prefix covers the operator's keys.
	Prefix string
	// Routes reads a copy of the store.
	Routes func(image map[string][]byte) *route.Table
	// Document returns the operator's routes as the store has them.
	Document func(image map[string][]byte) []byte
	// Fence returns a number that is higher than that of any agent of the endpoint
	// before.
	Fence func(ctx context.Context) (int64, error)
}

// Swap is the process of an agent on the platform.
type Swap struct {
	cfg       *config.Gate
	plat      SwapPlatform
	log       *logs.Log
	daemon    *swapd.Daemon
	mirror    *mirror.Mirror
	registry  metrics.Registry
	recorder  *line.Recorder
	startedAt time.Time
	admin     *http.Server
	stop      context.CancelFunc
	failed    chan error

	mu sync.Mutex
	// behind is a version that routers have and the agent has not, behindSince
	// since when.
	behind      int64
	behindSince time.Time
}

// NewSwap puts an agent together from settings that are complete for one.
func NewSwap(cfg *config.Gate, log *logs.Log, platform SwapPlatform) *Swap {
	clock := &event.Clock{}
	s := &Swap{cfg: cfg, plat: platform, log: log, failed: make(chan error, 1)}
	s.registry = metrics.NewRegistry()
	s.recorder = newLine(cfg, log, clock, s.registry)
	s.mirror = mirror.New(mirror.Options{
		Store: platform.Store, Prefix: platform.Prefix, Pace: configPace, Wait: configWait, Log: log.Logger,
		Changed: s.changed,
	})
	s.daemon = swapd.New(swapd.Options{
		Endpoint: platform.Endpoint, Log: log.Logger, Clock: clock, Recorder: s.recorder,
		Lagging: s.lagging,
	})
	return s
}

// Start begins to follow the endpoint and to serve routers.
func (s *Swap) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.cfg.Process.Wire.String())
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	go func() {
		if err := s.daemon.Peer().Listen(ctx, l); err != nil && !errors.Is(err, net.ErrClosed) {
			s.failed <- err
		}
	}()
	la, err := listen(ctx, nil, s.cfg.Process.Admin)
	if err != nil {
		return err
	}
	s.startedAt = time.Now()
	s.admin = serveAdmin(la, admin.HandlerConfig{Source: s, Recorder: s.recorder, Metrics: s.registry})
	go s.daemon.Run(ctx)
	go s.fence(ctx)
	go s.mirror.Run(ctx)
	s.log.Info().Stringer("endpoint", s.cfg.Endpoint.Address).Msg("started")
	return nil
}

// lagging reads the store again if a version that routers have does not come by
// the agent's own watch. Nothing that callers see waits for it.
func (s *Swap) lagging(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind == 0 || s.daemon.Version() >= s.behind {
		s.behind, s.behindSince = version, time.Now()
		return
	}
	if time.Since(s.behindSince) > lagMost {
		s.behind = 0
		s.mirror.Refresh()
	}
}

func (s *Swap) changed(image map[string][]byte, _ bool) {
	if t := s.plat.Routes(image); t != nil {
		s.daemon.Adopt(t.Engine(s.cfg.Endpoint.Service), t.Version, s.plat.Document(image))
	}
}

// fence asks for the fencing number until it has one.
func (s *Swap) fence(ctx context.Context) {
	for ctx.Err() == nil {
		token, err := s.plat.Fence(ctx)
		if err == nil {
			s.log.Info().Int64("token", token).Msg("fenced")
			s.daemon.Fence(token)
			return
		}
		s.log.Warn().Err(err).Msg("no fencing number yet")
		select {
		case <-ctx.Done():
		case <-time.After(fenceRetry):
		}
	}
}

// Reload checks the settings again; an agent has none that a running process can
// take in.
func (s *Swap) Reload() {
	if _, err := s.cfg.Reread((*config.Gate).ForAgent); err != nil {
		s.log.Error().Err(err).Msg("settings left out")
		return
	}
	s.log.Info().Msg("settings reloaded")
}

// Healthy implements admin.Source.
func (s *Swap) Healthy() error { return nil }

// Ready implements admin.Source.
func (s *Swap) Ready() error { return nil }

// Status implements admin.Source.
func (s *Swap) Status() admin.Status {
	return admin.Status{
		Process: s.cfg.Process.ID, Domain: s.cfg.Process.FailureDomain, Started: s.startedAt,
		Revision: fleet.Revision(s.daemon.Version()),
	}
}

// Failed tells of the failure of the listener.
func (s *Swap) Failed() <-chan error { return s.failed }

// Stop ends the agent at once: orders that the endpoint has taken go on without
// it.
func (s *Swap) Stop(context.Context) error {
	s.log.Info().Msg("stopped")
	s.stop()
	if err := s.admin.Close(); err != nil {
		return fmt.Errorf("close administration: %w", err)
	}
	return nil
}
