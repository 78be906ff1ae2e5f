// Package node puts a process together from its settings: the reducer, the
// daemon that runs it, and the servers for callers and administration.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"chervilreach/config"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/etcd"
	"chervilreach/io/line"
	"chervilreach/io/logs"
)

// Defaults that no setting changes yet.
const (
	// maxRunning is the most requests that one replica runs at once.
	maxRunning = 32
	// endpoints is how many an agent assumes to share the weight store while it
	// reaches no router; only then does it matter.
	endpoints = 15
	// maxQueued is the most requests that wait at one agent.
	maxQueued = 1000
	// maxQueuedBytes is the most memory for their bodies.
	maxQueuedBytes = 32 * fleet.MiB
	// loadTime is assumed for loads until some have been measured.
	loadTime = 7500 * time.Millisecond
	// hostLag is the longest that the platform's host list lags behind.
	hostLag = 10 * time.Second
	// adminHeader bounds how long a request for administration may take to send
	// its headers.
	adminHeader = 5 * time.Second
)

// Tuning changes how a process decides; the zero value is for real engines.
type Tuning struct {
	// LoadTime is assumed for loads until some have been measured.
	LoadTime time.Duration
	// HostLag is the longest that the platform's host list lags behind.
	HostLag time.Duration
	// IdleTime is how long an idle model stays loaded; 0 has it learnt.
	IdleTime time.Duration
	// AckMost is the longest that a router waits for an agent to acknowledge an
	// offer; 0 for router.DefaultMaxAckTimeout.
	AckMost time.Duration
	// Log takes the log lines; nil for nowhere.
	Log io.Writer
	// Listeners replace those on the addresses of the settings.
	Listeners Listeners
}

// Listeners are sockets that are open already; nil ones are opened.
type Listeners struct {
	Wire, Admin, Calls net.Listener
}

func (t Tuning) withDefaults() Tuning {
	if t.LoadTime == 0 {
		t.LoadTime = loadTime
	}
	if t.HostLag == 0 {
		t.HostLag = hostLag
	}
	if t.Log == nil {
		t.Log = io.Discard
	}
	return t
}

// newInjector provides what both kinds of process need.
func newInjector(cfg *config.Config, tune Tuning) do.Injector {
	in := do.New()
	do.ProvideValue(in, cfg)
	do.ProvideValue(in, tune.withDefaults())
	do.ProvideValue(in, metrics.NewRegistry())
	do.ProvideValue(in, &event.Clock{})
	do.Provide(in, newLog)
	do.Provide(in, newRecorder)
	do.Provide(in, newKV)
	return in
}

func newLog(in do.Injector) (*logs.Log, error) {
	cfg := do.MustInvoke[*config.Config](in)
	registry := do.MustInvoke[metrics.Registry](in)
	lost := metrics.GetOrRegisterCounter("log-lines-lost", registry)
	w := do.MustInvoke[Tuning](in).Log
	return logs.New(w, cfg.Process.ID, cfg.Log.Level, func(n int) { lost.Inc(int64(n)) })
}

func newRecorder(in do.Injector) (*line.Recorder, error) {
	cfg := do.MustInvoke[*config.Config](in)
	log, err := do.Invoke[*logs.Log](in)
	if err != nil {
		return nil, err
	}
	return line.New(cfg.Process.ID, do.MustInvoke[*event.Clock](in), line.DefaultLimits(),
		line.WithMetrics(do.MustInvoke[metrics.Registry](in)), line.WithLog(log.Logger),
		line.WithHeader(do.MustInvoke[Built](in))), nil
}

func newKV(in do.Injector) (*etcd.Client, error) {
	cfg := do.MustInvoke[*config.Config](in)
	return etcd.New(cfg.KV.Addresses, etcd.Options{Registry: do.MustInvoke[metrics.Registry](in)}), nil
}

// listen opens a TCP listener on an address unless there is one already.
func listen(ctx context.Context, open net.Listener, addr netip.AddrPort) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l, nil
}

// serveAdmin serves the administration address until the server is closed.
func serveAdmin(l net.Listener, parts admin.HandlerConfig) *http.Server {
	srv := &http.Server{Handler: admin.Handler(parts), ReadHeaderTimeout: adminHeader}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	}()
	return srv
}
