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
	Request       string   `long:"request" value-name:"ID" description:"only lines about this request"`
	Model         string   `long:"model" value-name:"NAME[@VERSION]" description:"only lines about this model"`
	Endpoint      string   `long:"endpoint" value-name:"ID" description:"only lines about this endpoint"`
	Since         timeFlag `long:"since" value-name:"TIME" description:"only lines since this time: RFC 3339, or 10m for ten minutes ago"`
	Until         timeFlag `long:"until" value-name:"TIME" description:"only lines until this time"`
	All           bool     `long:"all" description:"also show routine lines such as ticks and load reports"`
	Limit         int      `long:"limit" value-name:"N" default:"20000" description:"number of newest lines per process; 0 for all"`
	HTMLFile      string   `long:"html" value-name:"FILE" description:"write a self-contained HTML page"`
	RecordingFile string   `long:"record" value-name:"FILE" description:"write all events and effects to a file for replay"`
	JSON          bool     `long:"json" description:"print JSON"`
}

const (
	// maxTotalLines limits the lines of all processes together.
	maxTotalLines = 500_000
	// maxBodyBytes is the maximum length of a body that is shown. Only the size of longer ones
	// is shown.
	maxBodyBytes = 4 << 10
)

const timelineLong = `Collects the timelines of all processes and shows them in causal order.
Exits with 1 if a process did not answer or its answer was invalid; the answers
of the others are shown nevertheless.`

func init() {
	register("timeline", "show what happened in all processes", timelineLong, &timelineCommand{})
}

// timeFlag is an option whose value is a time, either absolute or relative to now.
type timeFlag struct {
	at  time.Time
	ago time.Duration
}

// UnmarshalFlag implements flags.Unmarshaler.
func (f *timeFlag) UnmarshalFlag(value string) error {
	if at, err := time.Parse(time.RFC3339, value); err == nil {
		f.at = at
		return nil
	}
	ago, err := time.ParseDuration(value)
	if err != nil || ago <= 0 {
		return fmt.Errorf("%q is neither a time such as 2026-01-31T09:00:00Z nor a positive duration such as 10m", value)
	}
	f.ago = ago
	return nil
}

// resolve returns the absolute time, or the zero time if the option was not given.
func (f *timeFlag) resolve(now time.Time) time.Time {
	if f.ago > 0 {
		return now.Add(-f.ago)
	}
	return f.at
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout, os.Stderr)
}

// run writes the output to w, and warnings about missing lines to warnings.
func (c *timelineCommand) run(ctx context.Context, w, warnings io.Writer) error {
	if c.Limit < 0 {
		return fmt.Errorf("%w: --limit must not be negative", ErrUsage)
	}
	targets, err := c.targets(ctx)
	if err != nil {
		return err
	}
	filter := c.filter(time.Now(), len(targets))
	gathered := admin.NewClient().GatherTimelines(ctx, targets, c.Wait, filter)
	if err := c.writeRecording(gathered); err != nil {
		return err
	}
	if c.RecordingFile != "" && !c.All {
		gathered.Lines = withoutRoutine(gathered.Lines)
	}
	if err := c.writeOutput(w, gathered); err != nil {
		return err
	}
	return writeWarnings(warnings, gathered, filter.MaxLines)
}

// filter returns the filter for the query of each process. With --record it selects all lines of
// the given request, model, endpoint and period. Without it, unless --limit is 0, it limits the
// lines so that all processes together return at most maxTotalLines, but at least one each.
func (c *timelineCommand) filter(now time.Time, processes int) line.Filter {
	f := line.Filter{
		Request:        fleet.RequestID(c.Request),
		Model:          fleet.ModelID(c.Model),
		Endpoint:       fleet.EndpointID(c.Endpoint),
		Since:          c.Since.resolve(now),
		Until:          c.Until.resolve(now),
		IncludeRoutine: c.All,
		MaxBodyBytes:   maxBodyBytes,
		MaxLines:       c.Limit,
	}
	switch {
	case c.RecordingFile != "":
		f.IncludeRoutine, f.MaxBodyBytes, f.MaxLines = true, 0, 0
	case f.MaxLines > 0 && processes > 0:
		f.MaxLines = min(f.MaxLines, max(1, maxTotalLines/processes))
	}
	return f
}

// writeRecording writes all lines to the file given with --record, if any.
func (c *timelineCommand) writeRecording(g admin.MergedTimeline) error {
	if c.RecordingFile == "" {
		return nil
	}
	return writeFile(c.RecordingFile, func(w io.Writer) error { return line.Write(w, g.Lines) })
}

// writeOutput writes the HTML page, if --html is given, and prints the lines, or only their
// number if they are in a file.
func (c *timelineCommand) writeOutput(w io.Writer, g admin.MergedTimeline) error {
	if c.HTMLFile != "" {
		err := writeFile(c.HTMLFile, func(w io.Writer) error { return line.WritePage(w, g.Page(time.Now())) })
		if err != nil {
			return err
		}
	}
	switch {
	case c.JSON:
		return printJSON(w, g)
	case c.HTMLFile != "" || c.RecordingFile != "":
		_, err := fmt.Fprintf(w, "%d lines of %d processes\n", len(g.Lines), len(g.Processes))
		return err
	default:
		return line.WriteText(w, g.Lines, g.CompleteUntil)
	}
}

// writeWarnings writes which processes did not answer and which ones may have more lines than
// those shown. It returns errUnanswered if a process did not answer.
func writeWarnings(w io.Writer, g admin.MergedTimeline, limit int) error {
	var b strings.Builder
	for _, p := range g.Processes {
		if p.DroppedLines > 0 {
			fmt.Fprintf(&b, "%s: %d older events and effects are no longer held\n", p.Process, p.DroppedLines)
		}
		if limit > 0 && p.LineCount == limit {
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

// withoutRoutine returns a copy of lines without those marked as routine.
func withoutRoutine(lines []event.Line) []event.Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l event.Line) bool { return l.Routine })
}

// writeFile creates or truncates a file and writes it with write.
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
