package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"chervilreach/soak"
)

// errViolations means that a run violated a guarantee.
var errViolations = errors.New("guarantees were violated")

type soakCommand struct {
	Seed          uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the first run"`
	Runs          int           `long:"runs" value-name:"N" default:"1" description:"number of runs; each further one uses the next seed"`
	FaultDuration time.Duration `long:"for" value-name:"TIME" default:"15s" description:"how long faults are injected in each run"`
	Routers       int           `long:"routers" value-name:"N" default:"3" description:"number of routers"`
	ModelReplicas int           `long:"sides" value-name:"N" default:"4" description:"number of model replicas, each with an agent"`
	Callers       int           `long:"callers" value-name:"N" default:"16" description:"number of concurrent callers"`
	OnlyPauses    bool          `long:"only-pauses" description:"inject only pauses of replicas, stops of routers and changes of routes beside them"`
	OnlyPrompts   bool          `long:"only-prompts" description:"inject only prompts on which replicas crash"`
	EntryKept     time.Duration `long:"entry-kept" value-name:"TIME" description:"how long the entry of a replica that crashes stays in the store"`
	PortsRefuse   bool          `long:"ports-refuse" description:"let the ports of a replica refuse connections while it is down"`
	RestartWithin time.Duration `long:"restart-within" value-name:"TIME" description:"longest time after which a replica that crashed on a prompt starts again; 1 to 3 s if left out"`
	Dir           string        `long:"dir" value-name:"FOLDER" description:"directory for logs and settings; a new temporary one if left out"`
}

func init() {
	register("soak", "inject faults into a fleet of processes on loopback",
		"Runs routers and agents as processes beside stand-ins of the platform and checks what callers and "+
			"replicas see. Exits with 1 if a guarantee was violated.", &soakCommand{})
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	bin, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find executable: %w", err)
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chervilreach-soak-"); err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
	}
	violations := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs); seed++ {
		report, err := c.run(bin, dir, seed)
		if err != nil {
			return err
		}
		if err := printJSON(os.Stdout, report); err != nil {
			return err
		}
		violations += len(report.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%w: %d times; logs are in %s", errViolations, violations, dir)
	}
	return nil
}

func (c *soakCommand) run(bin, dir string, seed uint64) (soak.Report, error) {
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return soak.Report{}, fmt.Errorf("create directory: %w", err)
	}
	return soak.Run(context.Background(), soak.Options{
		Bin: bin, Dir: dir, Seed: seed, FaultDuration: c.FaultDuration, RouterCount: c.Routers, ModelReplicaCount: c.ModelReplicas, CallerCount: c.Callers,
		OnlyPauses: c.OnlyPauses, OnlyPrompts: c.OnlyPrompts, EntryKept: c.EntryKept, PortsRefuse: c.PortsRefuse, RestartWithin: c.RestartWithin,
	})
}
