package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"chervilreach/core/poison"
	"chervilreach/io/admin"
)

type acquitCommand struct {
	processOptions
	Args struct {
		Part partArg `positional-arg-name:"PART" description:"prompt part as 16 hexadecimal digits, as status and the logs show it"`
	} `positional-args:"true" required:"true"`
}

const acquitLong = `Lifts the conviction of a prompt part that has crashed endpoints, so that requests
with it are served again. Each process that has the conviction passes the lift on to
the others, so that one process on the platform is enough. Crashes from before count
no more; new ones convict the part again.

Exit codes: 0 lifted, 1 the part is convicted at no process that answered, 2 wrong
usage.`

func init() {
	register("acquit", "lift the conviction of a prompt part", acquitLong, &acquitCommand{})
}

// partArg is an argument with a prompt part.
type partArg struct {
	poison.Part
}

// UnmarshalFlag implements flags.Unmarshaler.
func (a *partArg) UnmarshalFlag(value string) error {
	part, err := poison.ParsePart(value)
	if err != nil {
		return fmt.Errorf("%w: argument PART: %w", ErrUsage, err)
	}
	a.Part = part
	return nil
}

// Execute implements flags.Commander.
func (c *acquitCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

func (c *acquitCommand) run(ctx context.Context, w io.Writer) error {
	targets, err := c.targets(ctx)
	if err != nil {
		return err
	}
	client := admin.NewClient()
	answers := admin.QueryAll(ctx, targets, c.Wait, func(ctx context.Context, t admin.Target) (struct{}, error) {
		return struct{}{}, client.Acquit(ctx, t, c.Args.Part.Part)
	})
	lifted, text := 0, ""
	for _, a := range answers {
		switch {
		case a.Err == nil:
			lifted++
		case !errors.Is(a.Err, poison.ErrNotConvicted):
			text += a.Err.Error() + "\n"
		}
	}
	text += fmt.Sprintf("conviction of %s lifted at %d of %d processes\n", c.Args.Part, lifted, len(targets))
	if err := writeText(w, text); err != nil {
		return err
	}
	if lifted == 0 {
		return fmt.Errorf("%s: %w at any process that answered", c.Args.Part, poison.ErrNotConvicted)
	}
	return nil
}
