package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chervilreach/config"
	"chervilreach/io/hangup"
	"chervilreach/io/node"
)

// settingsArgs are the arguments of commands that run one process.
type settingsArgs struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file, JSON with comments"`
	} `positional-args:"true" required:"true"`
}

type routeCommand struct {
	settingsArgs
}

func init() {
	register("route", "run a router", "Serves callers and routes their requests to endpoints. "+
		"SIGTERM drains: calls in progress end whole.", &routeCommand{})
}

// Execute implements flags.Commander.
func (c *routeCommand) Execute([]string) error {
	cfg, err := config.Load(c.Args.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	r, err := node.NewRouter(cfg, node.Tuning{Log: os.Stderr})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return runUntilSignal(cfg.Process.DrainTimeout, r, r.Failed())
}

// runner is a process that can be started and stopped.
type runner interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// reloader is a process that can take in settings that have changed.
type reloader interface {
	Reload()
}

// runUntilSignal runs a process until a signal, then drains it for at most so
// long. SIGHUP has it read its settings again, if it can.
func runUntilSignal(most time.Duration, n runner, failed <-chan error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	stopBy := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { stopBy <- time.Now().Add(most) })
	// The process outlives the signal: it drains first.
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	var failure error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case failure = <-failed:
			running = false
		case <-hangup.Signals:
			if r, ok := n.(reloader); ok {
				r.Reload()
			}
		}
	}
	by := time.Now().Add(most)
	if ctx.Err() != nil {
		// The signal may have come a while ago, during a start or a reload.
		by = <-stopBy
	}
	drain, done := context.WithDeadline(context.WithoutCancel(ctx), by)
	defer done()
	return errors.Join(failure, n.Stop(drain))
}
