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

// errPromise says that a soak saw a promise broken.
var errViolations = errors.New("promises were broken")

type soakCommand struct {
	Seed          uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the first run"`
	Runs          int           `long:"runs" value-name:"N" default:"1" description:"runs, each with the next seed"`
	FaultDuration time.Duration `long:"for" value-name:"TIME" default:"15s" description:"how long faults are injected in each run"`
	Routers       int           `long:"routers" value-name:"N" default:"3" description:"routers"`
	ModelReplicas int           `long:"sides" value-name:"N" default:"4" description:"model replicas with their agents"`
	Callers       int           `long:"callers" value-name:"N" default:"16" description:"callers at a time"`
	Dir           string        `long:"dir" value-name:"FOLDER" description:"where logs and settings are kept; a new folder if left out"`
}

func init() {
	register("soak", "inject faults into a fleet of processes on loopback",
		"Runs routers and agents as processes beside stand-ins of the platform and checks what callers and "+
			"replicas see. Exits with 1 when a promise was broken.", &soakCommand{})
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	bin, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find program: %w", err)
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chervilreach-soak-"); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs); seed++ {
		report, err := c.run(bin, dir, seed)
		if err != nil {
			return err
		}
		if err := printJSON(os.Stdout, report); err != nil {
			return err
		}
		broken += len(report.Violations)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d times; logs are in %s", errViolations, broken, dir)
	}
	return nil
}

func (c *soakCommand) run(bin, dir string, seed uint64) (soak.Report, error) {
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return soak.Report{}, fmt.Errorf("make folder: %w", err)
	}
	return soak.Run(context.Background(), soak.Options{
		Bin: bin, Dir: dir, Seed: seed, FaultDuration: c.FaultDuration, Routers: c.Routers, ModelReplicas: c.ModelReplicas, Callers: c.Callers,
	})
}
