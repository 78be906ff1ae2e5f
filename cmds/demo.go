package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"chervilreach/demo"
)

type demoCommand struct {
	ExampleRecords string `long:"records" value-name:"NAME" default:"association" description:"example records: association or karaburun"`
	Seed           uint64 `long:"seed" value-name:"N" default:"1" description:"seed of the load"`
	JSON           bool   `long:"json" description:"print the summary as one JSON object"`
	Serve          bool   `long:"serve" description:"keep running and print an example request"`
}

func init() {
	register("demo", "run a complete deployment on loopback", "Runs routers, agents and stand-ins of the platform in one process, "+
		"sends a burst of requests for cold models and checks invariants. Exits with 1 if one was violated.", &demoCommand{})
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	out := io.Writer(os.Stdout)
	if c.JSON {
		out = os.Stderr
	}
	run := demo.Run{Example: c.ExampleRecords, Seed: c.Seed, Out: out}
	if c.Serve {
		return run.Serve(ctx)
	}
	sum, err := run.Burst(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
			return fmt.Errorf("print summary: %w", err)
		}
	}
	if sum.ViolationCount > 0 {
		return fmt.Errorf("%d invariant violations", sum.ViolationCount)
	}
	return nil
}
