package cmds

import (
	"errors"
	"fmt"
	"os"

	"chervilreach/core/trace"
)

type traceCommand struct {
	Scenario string `long:"shape" required:"true" description:"shape of the workload, such as association-saturday"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the random number generator"`
}

func init() {
	register("trace", "generate a workload trace",
		"Writes a workload trace of JSON lines to standard output, for replay.", &traceCommand{})
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	t, err := trace.Generate(c.Scenario, c.Seed)
	if errors.Is(err, trace.ErrUnknownScenario) {
		return fmt.Errorf("--shape: %w: %w", ErrUsage, err)
	}
	if err != nil {
		return fmt.Errorf("generate trace: %w", err)
	}
	return t.Write(os.Stdout)
}
