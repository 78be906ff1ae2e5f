package node

import (
	"context"
	"errors"
	"fmt"
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
	"chervilreach/io/guard"
	"chervilreach/io/hosts"
	"chervilreach/io/line"
	"chervilreach/io/logs"
	"chervilreach/io/routed"
)

// Router is a router process on a host with a key-value service. Start must be called first,
// then Stop or Kill once.
type Router struct {
	in          do.Injector
	cfg         *config.Config
	daemon      *routed.Daemon
	log         *logs.Log
	front       *front.Front
	server      *front.Server
	adminServer *adminServer
	startedAt   time.Time
	stop        context.CancelFunc
	// stopped receives the error of the daemon when it ends.
	stopped chan error
}

// NewRouter returns a router that has not been started. The error wraps config.ErrMissing if
// required settings are not set.
func NewRouter(cfg *config.Config, tune Tuning) (*Router, error) {
	if err := cfg.CompleteForRouter(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	in := newInjector(cfg, tune)
	do.Provide(in, routerRecordingHeader)
	do.Provide(in, newRouterDaemon)
	daemon, err := do.Invoke[*routed.Daemon](in)
	if err != nil {
		return nil, fmt.Errorf("create router: %w", err)
	}
	log, err := do.Invoke[*logs.Log](in)
	if err != nil {
		return nil, fmt.Errorf("create router: %w", err)
	}
	r := &Router{in: in, cfg: cfg, daemon: daemon, log: log, stopped: make(chan error, 1)}
	r.front = r.newFront()
	r.server = front.NewServer(r.front, cfg.Router.DrainDelay)
	return r, nil
}

// newRouterDaemon creates the daemon of a router from the components of the injector.
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
		Process:       cfg.Process.ID,
		FailureDomain: cfg.Process.FailureDomain,
		KV:            do.MustInvoke[*etcd.Client](in),
		Hosts:         hosts.New(cfg.Hosts.Address),
		HostsPeriod:   cfg.Hosts.Period,
		Reducer:       do.MustInvoke[Built](in).newRouterState(),
		Recorder:      recorder,
		Clock:         do.MustInvoke[*event.Clock](in),
		Metrics:       do.MustInvoke[metrics.Registry](in),
		Log:           log.Logger,
	}), nil
}

// newFront creates the HTTP handler for callers.
func (r *Router) newFront() *front.Front {
	return front.New(front.Options{
		Records:    r.daemon.Config(),
		Dispatcher: r.daemon,
		Readiness:  r.daemon,
		Limits: front.Limits{
			MaxBody: r.cfg.Router.MaxBody, MaxTotalBody: r.cfg.Router.MaxTotalBody, MaxCalls: r.cfg.Router.MaxCalls,
			BodyTimeout: r.cfg.Router.BodyTimeout, ChunkTimeout: r.cfg.Router.ChunkTimeout,
		},
		Metrics: do.MustInvoke[metrics.Registry](r.in),
		Log:     r.log.Logger,
	})
}

// OutcomeCount returns the number of callers' requests that ended in an outcome.
func (r *Router) OutcomeCount(o guard.Outcome) int64 { return r.front.RequestCount(o) }

// Start starts the router, which runs until Stop or Kill is called or ctx is canceled.
func (r *Router) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	r.startedAt = time.Now()
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
	calls, err := listen(ctx, open.Calls, r.cfg.Router.Listen)
	if err != nil {
		return errors.Join(err, adminListener.Close(), r.Kill())
	}
	r.server.Serve(calls)
	r.adminServer = serveAdmin(adminListener, admin.HandlerConfig{
		Source: r, Recorder: do.MustInvoke[*line.Recorder](r.in), Metrics: do.MustInvoke[metrics.Registry](r.in),
	})
	return nil
}

// Failed returns a channel that receives an error if the router can no longer accept calls.
func (r *Router) Failed() <-chan error { return r.server.Failed() }

// Stop waits for the calls in progress, and then ends the router. Shortly before the deadline
// of ctx it aborts the remaining calls and returns an error.
func (r *Router) Stop(ctx context.Context) error {
	err := r.server.Shutdown(ctx)
	idle := r.server.IdleConns()
	do.MustInvoke[*logs.Log](r.in).Info().Int("closed", idle.Closed).Int("kept-for-request", idle.Kept).Msg("idle connections of callers ended")
	if err == nil {
		err = r.daemon.Drain(ctx)
	}
	return errors.Join(err, r.Kill())
}

// Kill ends the router immediately. Calls in progress are aborted.
func (r *Router) Kill() error {
	r.stop()
	var err error
	if r.adminServer != nil {
		err = r.adminServer.Close()
	}
	return errors.Join(err, r.server.Close(), <-r.stopped)
}

// Healthy implements admin.Source.
func (r *Router) Healthy() error {
	if _, ok := r.daemon.Status(); !ok {
		return errProcessEnded
	}
	return nil
}

// errProcessEnded is the error of a process whose daemon has ended.
var errProcessEnded = errors.New("the process has ended")

// Ready implements admin.Source.
func (r *Router) Ready() error { return r.daemon.Ready() }

// Status implements admin.Source.
func (r *Router) Status() admin.Status {
	st, _ := r.daemon.Status()
	out := admin.Status{
		Process: r.cfg.Process.ID, Domain: r.cfg.Process.FailureDomain, Started: r.startedAt,
		Revision: st.Revision, Draining: st.Draining,
		RecordErrors: lo.Map(r.daemon.Rejected(), func(s record.Status, _ int) admin.RecordError { return newRecordError(s) }),
	}
	out.Router = &admin.RouterStatus{
		CallsInProgress: st.Calls, PlacedModels: st.PlacedModels,
		Endpoints: lo.Map(st.Endpoints, func(e router.EndpointStatus, _ int) admin.EndpointStatus {
			return endpointStatus(e)
		}),
	}
	return out
}

// newRecordError converts the status of a configuration record whose latest version was
// rejected.
func newRecordError(s record.Status) admin.RecordError {
	problems := lo.Map(s.Problems, func(p record.Problem, _ int) string { return p.String() })
	return admin.RecordError{
		Record: s.Path(), Revision: s.RawRevision, InForce: s.AcceptedRevision, Detail: strings.Join(problems, "; "),
	}
}

// endpointStatus converts the state of one endpoint as the router knows it.
func endpointStatus(e router.EndpointStatus) admin.EndpointStatus {
	return admin.EndpointStatus{
		Endpoint: e.Endpoint, Domain: e.FailureDomain, Host: e.State, Suspect: e.Suspect,
		Draining: e.Load.Draining, Incarnation: e.Load.Incarnation, Sequence: e.Load.Sequence,
		Models: lo.Map(e.Load.Models, func(m router.ModelLoad, _ int) admin.ModelStatus {
			return admin.ModelStatus{
				Model: m.Model, State: fleet.LoadState(m.Stage), ReadyAt: m.ReadyAt,
				QueuedRequests: m.Queued, RunningRequests: m.Running,
			}
		}),
	}
}

// PlacedModelCount returns the number of models that at least one endpoint may load.
func (r *Router) PlacedModelCount() int {
	st, _ := r.daemon.Status()
	return st.PlacedModels
}
