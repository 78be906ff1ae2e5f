package cmds

import (
	"fmt"
	"os"

	"chervilreach/config"
	"chervilreach/io/node"
	plat "chervilreach/platform"
)

type relayCommand struct {
	settingsArgs
}

func init() {
	register("relay", "run a router on the users' platform", "Serves callers and sends their requests directly to "+
		"endpoints. On SIGTERM it finishes the requests in progress before it exits.", &relayCommand{})
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	cfg, err := config.LoadPlatform(c.Args.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if err := cfg.CompleteForRouter(); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	log, err := node.InitProcess(cfg, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	decoder := plat.NewSnapshotDecoder(log.Logger)
	store := plat.NewStore(cfg.Store.Address)
	r := node.NewRelay(cfg, log, node.RelayPlatform{
		Store: store, Versions: store, HeaderCodec: plat.HeaderCodec{}, EndpointsPrefix: plat.EndpointKeys, RoutesPrefix: plat.OperatorKeys,
		Endpoints: decoder.Endpoints, MalformedEntries: decoder.MalformedCount, AgentAddr: plat.AgentAddress(cfg.Process.Wire), RoutesDocument: plat.ConfigDocument,
		DecodeRoutes: new(plat.RoutesDecoder).Decode, ReadyPath: plat.ReadyPath,
	})
	return runUntilSignal(cfg.Process.DrainTimeout, r, r.Failed())
}
