package admin

import (
	"cmp"
	"context"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/line"
)

// ProcessTimeline contains the result of requesting the timeline of one process.
type ProcessTimeline struct {
	Target    Target          `json:"target"`
	Process   fleet.ProcessID `json:"process,omitempty"`
	LineCount int             `json:"lines"`
	// DroppedLines is the number of older lines that the process has discarded and that the
	// filter could have matched.
	DroppedLines uint64 `json:"dropped"`
	// Error says why there are no lines; it is empty if the process answered.
	Error string `json:"error,omitempty"`
}

// MergedTimeline contains the merged timelines of several processes.
type MergedTimeline struct {
	Processes []ProcessTimeline `json:"processes"`
	// Lines are sorted by stamp, so no effect comes before its cause.
	Lines []event.Line `json:"lines"`
	// CompleteUntil is the stamp up to which Lines contains the lines of every process
	// that answered. Later lines may lack causes in processes that were read earlier. CompleteUntil
	// is 0 if no process answered.
	CompleteUntil event.Stamp `json:"whole"`
}

// Failed returns the processes that did not answer or answered with an error.
func (g MergedTimeline) Failed() []ProcessTimeline {
	var failed []ProcessTimeline
	for _, p := range g.Processes {
		if p.Error != "" {
			failed = append(failed, p)
		}
	}
	return failed
}

// GatherTimelines requests the timelines of all targets, each with the given timeout,
// and merges them.
func (c *Client) GatherTimelines(ctx context.Context, targets []Target, timeout time.Duration, f line.Filter) MergedTimeline {
	answers := QueryAll(ctx, targets, timeout, func(ctx context.Context, t Target) (Timeline, error) {
		return c.Timeline(ctx, t, f)
	})
	var g MergedTimeline
	lists := make([][]event.Line, 0, len(answers))
	for _, a := range answers {
		p := ProcessTimeline{
			Target:       a.Target,
			Process:      a.Value.Process,
			LineCount:    len(a.Value.Lines),
			DroppedLines: a.Value.DroppedLines,
		}
		if a.Err != nil {
			p.Error = a.Err.Error()
		} else if g.CompleteUntil == 0 || a.Value.Stamp < g.CompleteUntil {
			g.CompleteUntil = a.Value.Stamp
		}
		g.Processes = append(g.Processes, p)
		lists = append(lists, a.Value.Lines)
	}
	g.Lines = line.Merge(lists...)
	return g
}

// Page returns the HTML page of the timeline; createdAt is its time of creation. A
// process that did not answer gets a lane with its error.
func (g MergedTimeline) Page(createdAt time.Time) line.Page {
	p := line.Page{CreatedAt: createdAt, CompleteUntil: g.CompleteUntil, Lines: g.Lines}
	for _, process := range g.Processes {
		name := string(process.Process)
		if process.Error != "" {
			name = cmp.Or(process.Target.Name, process.Target.Admin.String())
		}
		p.Lanes = append(p.Lanes, line.Lane{Name: name, DroppedLines: process.DroppedLines, Error: process.Error})
	}
	return p
}
