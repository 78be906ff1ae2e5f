package cmds

import (
	"fmt"
	"os"

	"chervilreach/config"
	"chervilreach/io/node"
)

type agentCommand struct {
	settingsArgs
}

func init() {
	register("agent", "run the agent beside an endpoint", "Orders loads and unloads of the endpoint's engine and runs requests on it. "+
		"On SIGTERM it finishes the requests in progress before it exits.", &agentCommand{})
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	cfg, err := config.Load(c.Args.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	a, err := node.NewAgent(cfg, node.Tuning{Log: os.Stderr})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return runUntilSignal(cfg.Process.DrainTimeout, a, nil)
}
