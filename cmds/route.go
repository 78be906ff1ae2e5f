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
	"chervilreach/io/node"
	"chervilreach/io/sighup"
)

// settingsArgs are the arguments of daemons.
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
		"On SIGTERM it finishes the calls in progress before it exits.", &routeCommand{})
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

// runner is a process that runs from Start until Stop returns. Stop drains it until the deadline
// of its context.
type runner interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// reloader is implemented by processes that can reload their settings.
type reloader interface {
	Reload()
}

// runUntilSignal starts a process, runs it until SIGTERM, SIGINT or a value from failed, and
// stops it. The process may drain for drainTimeout, counted from the signal or from the receipt
// of the value from failed. On SIGHUP it reloads its settings if it is a reloader. failed may
// be nil. It returns the value from failed, if any, joined with the error of Stop.
func runUntilSignal(drainTimeout time.Duration, n runner, failed <-chan error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signalDeadline := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { signalDeadline <- time.Now().Add(drainTimeout) })
	// The signal must not cancel the context of the process, which drains first.
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
		case <-sighup.Signals:
			if r, ok := n.(reloader); ok {
				r.Reload()
			}
		}
	}
	deadline := time.Now().Add(drainTimeout)
	if ctx.Err() != nil {
		// The signal may have arrived earlier, during the start or a reload.
		deadline = <-signalDeadline
	}
	drainCtx, cancelDrain := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancelDrain()
	return errors.Join(failure, n.Stop(drainCtx))
}
