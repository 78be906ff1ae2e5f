// Package node creates the processes of chervilreach from their settings: the reducer, the
// daemon that runs it, and the servers for callers and administration. Router and Agent are
// the processes on hosts with a key-value service. Relay and Swap are the router and the
// agent on the users' platform.
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

// Limits and defaults that have no setting.
const (
	// maxRunningRequests is the maximum number of requests that one replica runs concurrently.
	maxRunningRequests = 32
	// assumedEndpointCount is the number of endpoints that an agent assumes to share the weight
	// store. It is used only while the agent can reach no router.
	assumedEndpointCount = 15
	// maxQueuedRequests is the maximum number of requests queued at one agent.
	maxQueuedRequests = 1000
	// maxQueuedBytes is the maximum total size of the bodies of the requests queued at one
	// agent.
	maxQueuedBytes = 32 * fleet.MiB
	// defaultLoadTime is the default of Tuning.LoadTime.
	defaultLoadTime = 7500 * time.Millisecond
	// defaultHostLag is the default of Tuning.HostLag.
	defaultHostLag = 10 * time.Second
	// adminHeaderTimeout bounds how long a client of the administration server may take to
	// send the headers of a request.
	adminHeaderTimeout = 5 * time.Second
)

// Tuning holds the parameters of a Router or an Agent that have no setting. The zero value
// is valid and suits real engines.
type Tuning struct {
	// LoadTime is the assumed duration of a model load until loads have been measured; 0
	// means 7.5 s.
	LoadTime time.Duration
	// HostLag is the maximum delay with which the platform's host list shows a change; 0
	// means 10 s.
	HostLag time.Duration
	// IdleTime is how long an idle model stays loaded; 0 means a time that is learned from
	// past requests.
	IdleTime time.Duration
	// MaxAckTimeout bounds how long a router waits for an agent to acknowledge an offer; 0
	// means router.DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration
	// Log is the destination of the log lines; nil discards them.
	Log io.Writer
	// Listeners are used instead of new listeners on the addresses of the settings.
	Listeners Listeners
}

// Listeners are open listeners for other processes (Wire), for administration (Admin) and
// for callers (Calls). The process opens those that are nil on the addresses of its settings,
// and closes all of them when it stops.
type Listeners struct {
	Wire, Admin, Calls net.Listener
}

// withDefaults returns a copy of t in which zero fields that have a default are set.
func (t Tuning) withDefaults() Tuning {
	if t.LoadTime == 0 {
		t.LoadTime = defaultLoadTime
	}
	if t.HostLag == 0 {
		t.HostLag = defaultHostLag
	}
	if t.Log == nil {
		t.Log = io.Discard
	}
	return t
}

// newInjector returns an injector with the components that a Router and an Agent have in
// common. The caller must add a provider of Built, the header of the process's recording.
func newInjector(cfg *config.Config, tune Tuning) do.Injector {
	in := do.New()
	do.ProvideValue(in, cfg)
	do.ProvideValue(in, tune.withDefaults())
	do.ProvideValue(in, metrics.NewRegistry())
	do.ProvideValue(in, &event.Clock{})
	do.Provide(in, newLog)
	do.Provide(in, newRecorder)
	do.Provide(in, newEtcdClient)
	return in
}

// newLog creates the log of the process.
func newLog(in do.Injector) (*logs.Log, error) {
	cfg := do.MustInvoke[*config.Config](in)
	registry := do.MustInvoke[metrics.Registry](in)
	droppedLines := metrics.GetOrRegisterCounter("log-lines-lost", registry)
	w := do.MustInvoke[Tuning](in).Log
	return logs.New(w, cfg.Process.ID, cfg.Log.Level, func(n int) { droppedLines.Inc(int64(n)) })
}

// newRecorder creates the recorder of events and effects. The header of its recording is the
// Built of the process.
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

// newEtcdClient creates the client of the key-value service.
func newEtcdClient(in do.Injector) (*etcd.Client, error) {
	cfg := do.MustInvoke[*config.Config](in)
	return etcd.New(cfg.KV.Addresses, etcd.Options{Registry: do.MustInvoke[metrics.Registry](in)}), nil
}

// listen returns open if it is not nil, and otherwise a new TCP listener on addr.
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

// adminServer serves administration requests on one listener.
type adminServer struct {
	http *http.Server
	// served is closed when the server has ended and its listener is closed.
	served chan struct{}
}

// serveAdmin serves administration requests on a listener in the background.
func serveAdmin(l net.Listener, cfg admin.HandlerConfig) *adminServer {
	s := &adminServer{
		http:   &http.Server{Handler: admin.Handler(cfg), ReadHeaderTimeout: adminHeaderTimeout},
		served: make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	}()
	return s
}

// Close closes the listener and all connections. The listener is closed when Close returns,
// also if the server had not begun to serve.
func (s *adminServer) Close() error {
	err := s.http.Close()
	<-s.served
	return err
}
