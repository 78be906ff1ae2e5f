package cmds

import (
	"fmt"
	"os"

	"chervilreach/config"
	"chervilreach/io/node"
	plat "chervilreach/platform"
)

type swapCommand struct {
	settingsArgs
}

func init() {
	register("swap", "run the agent beside a model endpoint on the users' platform",
		"Orders the loads that routers request. Exits on SIGTERM.", &swapCommand{})
}

// Execute implements flags.Commander.
func (c *swapCommand) Execute([]string) error {
	cfg, err := config.LoadPlatform(c.Args.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if err := cfg.CompleteForAgent(); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	log, err := node.InitProcess(cfg, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	store := plat.NewStore(cfg.Store.Address)
	agentName := string(cfg.Process.Host)
	s := node.NewSwap(cfg, log, node.SwapPlatform{
		Store: store, Endpoint: plat.NewEndpoint(cfg.Endpoint.Address, agentName), Prefix: plat.OperatorKeys,
		Routes: plat.NewSnapshotDecoder(log.Logger).Routes, RoutesDocument: plat.ConfigDocument, NextFencingToken: store.FencingTokens(agentName),
	})
	return runUntilSignal(cfg.Process.DrainTimeout, s, s.Failed())
}
