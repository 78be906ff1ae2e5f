package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"chervilreach/config"
	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/agentd"
	"chervilreach/io/etcd"
	"chervilreach/io/line"
	"chervilreach/io/logs"
)

// Agent is an agent process on a host with a key-value service. Start must be called first,
// then Stop or Kill once.
type Agent struct {
	in          do.Injector
	cfg         *config.Config
	daemon      *agentd.Daemon
	adminServer *adminServer
	startedAt   time.Time
	stop        context.CancelFunc
	// stopped receives the error of the daemon when it ends.
	stopped chan error
}

// NewAgent returns an agent that has not been started. The error wraps config.ErrMissing if
// required settings are not set.
func NewAgent(cfg *config.Config, tune Tuning) (*Agent, error) {
	if err := cfg.CompleteForAgent(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	in := newInjector(cfg, tune)
	do.Provide(in, agentRecordingHeader)
	do.Provide(in, newAgentDaemon)
	daemon, err := do.Invoke[*agentd.Daemon](in)
	if err != nil {
		return nil, fmt.Errorf("create agent: %w", err)
	}
	return &Agent{in: in, cfg: cfg, daemon: daemon, stopped: make(chan error, 1)}, nil
}

// newAgentDaemon creates the daemon of an agent from the components of the injector.
func newAgentDaemon(in do.Injector) (*agentd.Daemon, error) {
	cfg := do.MustInvoke[*config.Config](in)
	log, err := do.Invoke[*logs.Log](in)
	if err != nil {
		return nil, err
	}
	recorder, err := do.Invoke[*line.Recorder](in)
	if err != nil {
		return nil, err
	}
	return agentd.New(agentd.Options{
		Process:       cfg.Process.ID,
		Endpoint:      cfg.Agent.Endpoint,
		Instance:      fleet.Instance(time.Now().UnixNano()),
		FailureDomain: cfg.Process.FailureDomain,
		Engine:        cfg.Agent.Engine,
		Memory:        cfg.Agent.Memory,
		Services:      cfg.Agent.Services,
		KV:            do.MustInvoke[*etcd.Client](in),
		Reducer:       do.MustInvoke[Built](in).newAgentState(),
		Recorder:      recorder,
		Clock:         do.MustInvoke[*event.Clock](in),
		Metrics:       do.MustInvoke[metrics.Registry](in),
		Log:           log.Logger,
	}), nil
}

// Start starts the agent, which runs until Stop or Kill is called or ctx is canceled.
func (a *Agent) Start(ctx context.Context) error {
	ctx, a.stop = context.WithCancel(ctx)
	a.startedAt = time.Now()
	open := do.MustInvoke[Tuning](a.in).Listeners
	wire, err := listen(ctx, open.Wire, a.cfg.Process.Wire)
	if err != nil {
		return err
	}
	adminListener, err := listen(ctx, open.Admin, a.cfg.Process.Admin)
	if err != nil {
		return errors.Join(err, wire.Close())
	}
	go func() {
		a.stopped <- a.daemon.Run(ctx, wire)
		close(a.stopped)
	}()
	a.adminServer = serveAdmin(adminListener, admin.HandlerConfig{
		Source: a, Recorder: do.MustInvoke[*line.Recorder](a.in), Metrics: do.MustInvoke[metrics.Registry](a.in),
	})
	return nil
}

// Stop waits for the requests in progress, and then ends the agent. If ctx ends first, it
// aborts the remaining requests and returns an error.
func (a *Agent) Stop(ctx context.Context) error {
	return errors.Join(a.daemon.Drain(ctx), a.Kill())
}

// Kill ends the agent immediately. Requests in progress are aborted.
func (a *Agent) Kill() error {
	a.stop()
	return errors.Join(a.adminServer.Close(), <-a.stopped)
}

// Healthy implements admin.Source.
func (a *Agent) Healthy() error {
	if _, ok := a.daemon.Report(); !ok {
		return errProcessEnded
	}
	return nil
}

// Ready implements admin.Source.
func (a *Agent) Ready() error {
	rep, ok := a.daemon.Report()
	switch {
	case !ok:
		return errProcessEnded
	case rep.Draining:
		return errDraining
	case !rep.Confirmed:
		return errUnconfirmed
	}
	return nil
}

// Reasons why a process is not ready or not healthy. Clients of the administration server get
// their texts.
var (
	errDraining    = errors.New("the process is draining")
	errUnconfirmed = errors.New("the incarnation is not confirmed")
)

// Status implements admin.Source.
func (a *Agent) Status() admin.Status {
	rep, _ := a.daemon.Report()
	return admin.Status{
		Process: a.cfg.Process.ID, Domain: a.cfg.Process.FailureDomain, Started: a.startedAt,
		Revision: rep.Revision, Draining: rep.Draining,
		Agent: &admin.AgentStatus{
			Endpoint: a.cfg.Agent.Endpoint, Incarnation: rep.Incarnation,
			Memory: rep.MemoryTotal, Reserved: rep.MemoryTotal - rep.MemoryFree,
			QueuedRequests: rep.Queued, RunningRequests: rep.Running,
			Models: lo.Map(rep.Models, func(m agent.ModelReport, _ int) admin.ModelStatus { return modelStatus(m) }),
		},
	}
}

// modelStatus converts the state of one model at the agent.
func modelStatus(m agent.ModelReport) admin.ModelStatus {
	return admin.ModelStatus{
		Model: m.Model, State: fleet.LoadState(m.Stage), ReadyAt: m.ReadyAt,
		Generation: m.Generation, QueuedRequests: m.Queued, RunningRequests: m.Running,
	}
}
