package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/line"
)

type timelineCommand struct {
	processOptions
	Request  string   `long:"request" value-name:"ID" description:"only lines about this request"`
	Model    string   `long:"model" value-name:"NAME[@VERSION]" description:"only lines about this model"`
	Endpoint string   `long:"endpoint" value-name:"ID" description:"only lines about this endpoint"`
	Since    timeFlag `long:"since" value-name:"TIME" description:"only lines from then on: RFC 3339, or as 10m for ten minutes ago"`
	Until    timeFlag `long:"until" value-name:"TIME" description:"only lines up to then"`
	All      bool     `long:"all" description:"show routine such as ticks and reports of load too"`
	Limit    int      `long:"limit" value-name:"N" default:"20000" description:"newest lines of each process; 0 for all"`
	HTML     string   `long:"html" value-name:"FILE" description:"write one self-contained page"`
	Record   string   `long:"record" value-name:"FILE" description:"write all events and effects as replay reads them"`
	JSON     bool     `long:"json" description:"print JSON"`
}

const (
	// maxGathered bounds the lines of all processes together.
	maxTotalLines = 500_000
	// maxBody is the longest body that is shown, in bytes.
	maxBodyBytes = 4 << 10
)

const timelineLong = `Gathers the time lines of all processes and shows them ordered by cause.
Exits with 1 when a process did not answer or answered badly; what the others
answered is shown all the same.`

func init() {
	register("timeline", "show what happened in all processes", timelineLong, &timelineCommand{})
}

// moment is a time on the command line, either absolute or a time ago.
type timeFlag struct {
	at  time.Time
	ago time.Duration
}

// UnmarshalFlag implements flags.Unmarshaler.
func (m *timeFlag) UnmarshalFlag(value string) error {
	if at, err := time.Parse(time.RFC3339, value); err == nil {
		m.at = at
		return nil
	}
	ago, err := time.ParseDuration(value)
	if err != nil || ago <= 0 {
		return fmt.Errorf("%q is neither a time such as 2026-01-31T09:00:00Z nor a time ago such as 10m", value)
	}
	m.ago = ago
	return nil
}

// resolve returns the time that is meant; zero when none was given.
func (m *timeFlag) resolve(now time.Time) time.Time {
	if m.ago > 0 {
		return now.Add(-m.ago)
	}
	return m.at
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout, os.Stderr)
}

func (c *timelineCommand) run(ctx context.Context, w, notes io.Writer) error {
	if c.Limit < 0 {
		return fmt.Errorf("%w: --limit must not be negative", ErrUsage)
	}
	targets, err := c.targets(ctx)
	if err != nil {
		return err
	}
	filter := c.filter(time.Now(), len(targets))
	gathered := admin.NewClient().Gather(ctx, targets, c.Wait, filter)
	if err := c.writeRecording(gathered); err != nil {
		return err
	}
	if c.Record != "" && !c.All {
		gathered.Lines = withoutRoutine(gathered.Lines)
	}
	if err := c.writeOutput(w, gathered); err != nil {
		return err
	}
	return writeWarnings(notes, gathered, filter.Limit)
}

// filter returns what the processes are asked for. Without --record the lines
// of all of them together are bounded.
func (c *timelineCommand) filter(now time.Time, processes int) line.Filter {
	f := line.Filter{
		Request:  fleet.RequestID(c.Request),
		Model:    fleet.ModelID(c.Model),
		Endpoint: fleet.EndpointID(c.Endpoint),
		Since:    c.Since.resolve(now),
		Until:    c.Until.resolve(now),
		All:      c.All,
		MaxBody:  maxBodyBytes,
		Limit:    c.Limit,
	}
	switch {
	case c.Record != "":
		f.All, f.MaxBody, f.Limit = true, 0, 0
	case f.Limit > 0 && processes > 0:
		f.Limit = min(f.Limit, max(1, maxTotalLines/processes))
	}
	return f
}

// save writes the record, whole.
func (c *timelineCommand) writeRecording(g admin.Gathered) error {
	if c.Record == "" {
		return nil
	}
	return writeFile(c.Record, func(w io.Writer) error { return line.Write(w, g.Lines) })
}

// show prints the lines or writes the page.
func (c *timelineCommand) writeOutput(w io.Writer, g admin.Gathered) error {
	if c.HTML != "" {
		err := writeFile(c.HTML, func(w io.Writer) error { return line.WritePage(w, g.Page(time.Now())) })
		if err != nil {
			return err
		}
	}
	switch {
	case c.JSON:
		return printJSON(w, g)
	case c.HTML != "" || c.Record != "":
		_, err := fmt.Fprintf(w, "%d lines of %d processes\n", len(g.Lines), len(g.Processes))
		return err
	default:
		return line.WriteText(w, g.Lines, g.Whole)
	}
}

// report says which processes are missing and of which lines are.
func writeWarnings(w io.Writer, g admin.Gathered, limit int) error {
	var b strings.Builder
	for _, p := range g.Processes {
		if p.Dropped > 0 {
			fmt.Fprintf(&b, "%s: %d older events and effects are no longer held\n", p.Process, p.Dropped)
		}
		if limit > 0 && p.Lines == limit {
			fmt.Fprintf(&b, "%s: only the newest %d lines were asked for\n", p.Process, limit)
		}
	}
	failed := g.Failed()
	for _, p := range failed {
		fmt.Fprintln(&b, p.Error)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d %w", len(failed), len(g.Processes), errUnanswered)
	}
	return nil
}

func withoutRoutine(lines []event.Line) []event.Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l event.Line) bool { return l.Routine })
}

// writeFile writes a file and reports errors of closing it too.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create output: %w", err)
	}
	if err := errors.Join(write(file), file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}
