package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"chervilreach/io/reqlog"
)

type explainCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Request string   `positional-arg-name:"ID" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" required:"1" description:"logs of the processes; - for standard input"`
	} `positional-args:"true" required:"true"`
}

func init() {
	register("explain", "show from logs what happened to a request",
		"Merges the log lines of several processes that concern one request, sorted by time.", &explainCommand{})
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error { return c.run(os.Stdin, os.Stdout) }

func (c *explainCommand) run(in io.Reader, out io.Writer) error {
	var lines []reqlog.Line
	for _, name := range c.Args.Files {
		fileLines, err := readLog(in, name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	selected, err := reqlog.ForRequest(lines, c.Args.Request)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, selected)
	}
	return reqlog.Write(out, selected)
}

// readLog reads the log file with the name, or the log from in if the name is "-".
func readLog(in io.Reader, name string) ([]reqlog.Line, error) {
	if name == "-" {
		return reqlog.ReadLog(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	lines, err := reqlog.ReadLog(f)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", name, err), f.Close())
	}
	if err := f.Close(); err != nil {
		return nil, fmt.Errorf("close log: %w", err)
	}
	return lines, nil
}
