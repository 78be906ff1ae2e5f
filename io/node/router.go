package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"chervilreach/config"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/router"
	"chervilreach/io/admin"
	"chervilreach/io/etcd"
	"chervilreach/io/front"
	"chervilreach/io/hosts"
	"chervilreach/io/line"
	"chervilreach/io/logs"
	"chervilreach/io/routed"
)

// Router is one router process.
type Router struct {
	in      do.Injector
	cfg     *config.Config
	daemon  *routed.Daemon
	server  *front.Server
	admin   *http.Server
	began   time.Time
	stop    context.CancelFunc
	stopped chan error
}

// NewRouter puts a router together from settings that are complete for one.
func NewRouter(cfg *config.Config, tune Tuning) (*Router, error) {
	if err := cfg.ForRouter(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	in := newInjector(cfg, tune)
	do.Provide(in, builtRouter)
	do.Provide(in, newRouterDaemon)
	daemon, err := do.Invoke[*routed.Daemon](in)
	if err != nil {
		return nil, fmt.Errorf("put router together: %w", err)
	}
	r := &Router{in: in, cfg: cfg, daemon: daemon, stopped: make(chan error, 1)}
	r.server = front.NewServer(r.newFront(), cfg.Route.DrainDelay)
	return r, nil
}

func newRouterDaemon(in do.Injector) (*routed.Daemon, error) {
	cfg := do.MustInvoke[*config.Config](in)
	log, err := do.Invoke[*logs.Log](in)
	if err != nil {
		return nil, err
	}
	recorder, err := do.Invoke[*line.Recorder](in)
	if err != nil {
		return nil, err
	}
	return routed.New(routed.Options{
		Process:     cfg.Process.ID,
		Domain:      cfg.Process.FailureDomain,
		KV:          do.MustInvoke[*etcd.Client](in),
		Hosts:       hosts.New(cfg.Hosts.Address),
		HostsPeriod: cfg.Hosts.Period,
		Reducer:     do.MustInvoke[Built](in).router(),
		Recorder:    recorder,
		Clock:       do.MustInvoke[*event.Clock](in),
		Metrics:     do.MustInvoke[metrics.Registry](in),
		Log:         log.Logger,
	}), nil
}

func (r *Router) newFront() *front.Front {
	return front.New(front.Options{
		Records:    r.daemon.Config(),
		Dispatcher: r.daemon,
		Readiness:  r.daemon,
		Limits: front.Limits{
			MaxBody: r.cfg.Route.MaxBody, MaxBodies: r.cfg.Route.MaxBodies, MaxCalls: r.cfg.Route.MaxCalls,
			BodyTimeout: r.cfg.Route.BodyTimeout, ChunkTimeout: r.cfg.Route.ChunkTimeout,
		},
		Metrics: do.MustInvoke[metrics.Registry](r.in),
	})
}

// Start serves until Stop or Kill.
func (r *Router) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	r.began = time.Now()
	open := do.MustInvoke[Tuning](r.in).Listeners
	wire, err := listen(ctx, open.Wire, r.cfg.Process.Wire)
	if err != nil {
		return err
	}
	adminListener, err := listen(ctx, open.Admin, r.cfg.Process.Admin)
	if err != nil {
		return errors.Join(err, wire.Close())
	}
	go func() {
		r.stopped <- r.daemon.Run(ctx, wire)
		close(r.stopped)
	}()
	calls, err := listen(ctx, open.Calls, r.cfg.Route.Listen)
	if err != nil {
		return errors.Join(err, adminListener.Close(), r.Kill())
	}
	r.server.Serve(calls)
	r.admin = serveAdmin(adminListener, admin.HandlerConfig{
		Source: r, Recorder: do.MustInvoke[*line.Recorder](r.in), Metrics: do.MustInvoke[metrics.Registry](r.in),
	})
	return nil
}

// Failed tells when the router can no longer take in calls.
func (r *Router) Failed() <-chan error { return r.server.Failed() }

// Stop drains: calls in progress end whole unless the context ends first.
func (r *Router) Stop(ctx context.Context) error {
	err := r.server.Shutdown(ctx)
	if err == nil {
		err = r.daemon.Drain(ctx)
	}
	return errors.Join(err, r.Kill())
}

// Kill ends the router at once, without a drain.
func (r *Router) Kill() error {
	r.stop()
	var err error
	if r.admin != nil {
		err = r.admin.Close()
	}
	return errors.Join(err, r.server.Close(), <-r.stopped)
}

// Healthy implements admin.Source.
func (r *Router) Healthy() error {
	if _, ok := r.daemon.Status(); !ok {
		return errEnded
	}
	return nil
}

var errEnded = errors.New("the process has ended")

// Ready implements admin.Source.
func (r *Router) Ready() error { return r.daemon.Ready() }

// Status implements admin.Source.
func (r *Router) Status() admin.Status {
	st, _ := r.daemon.Status()
	out := admin.Status{
		Process: r.cfg.Process.ID, Domain: r.cfg.Process.FailureDomain, Started: r.began,
		Revision: st.Revision, Draining: st.Draining,
		Records: lo.Map(r.daemon.Rejected(), func(s record.Status, _ int) admin.RecordError { return recordError(s) }),
	}
	out.Router = &admin.RouterStatus{
		Calls: st.Calls, Placed: st.Placed,
		Endpoints: lo.Map(st.Endpoints, func(e router.EndpointStatus, _ int) admin.EndpointStatus {
			return endpointStatus(e)
		}),
	}
	return out
}

func recordError(s record.Status) admin.RecordError {
	problems := lo.Map(s.Problems, func(p record.Problem, _ int) string { return p.String() })
	return admin.RecordError{
		Record: s.Path(), Revision: s.Raw, InForce: s.Accepted, Detail: strings.Join(problems, "; "),
	}
}

func endpointStatus(e router.EndpointStatus) admin.EndpointStatus {
	return admin.EndpointStatus{
		Endpoint: e.Endpoint, Domain: e.Domain, Host: e.State, Suspect: e.Suspect,
		Draining: e.Load.Draining, Incarnation: e.Load.Incarnation, Sequence: e.Load.Sequence,
		Models: lo.Map(e.Load.Models, func(m router.ModelLoad, _ int) admin.ModelStatus {
			return admin.ModelStatus{
				Model: m.Model, State: fleet.LoadState(m.Stage), ReadyAt: m.ReadyAt,
				Queued: m.Queued, Running: m.Running,
			}
		}),
	}
}

// Placed counts the models with an endpoint that may load them.
func (r *Router) Placed() int {
	st, _ := r.daemon.Status()
	return st.Placed
}
