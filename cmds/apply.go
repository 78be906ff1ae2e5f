package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/accept"
)

type applyCommand struct {
	kvOptions
	DryRun bool          `long:"dry-run" description:"show what would change and write nothing"`
	Wait   time.Duration `long:"wait" value-name:"TIME" default:"5s" description:"how long to wait for acceptance or rejection; 0s does not wait"`
	JSON   bool          `long:"json" description:"print JSON"`
	Args   fileArgs      `positional-args:"true"`
}

const applyLong = `Validates files of records, shows how they differ from the stored ones, writes those
that differ and waits until they are accepted or rejected. A record that another
operator changes in the meantime is not overwritten. Applying a record of schema 1
keeps the stored values of the fields that only schema 2 has. More than 100 records
are written in several transactions.

Exit codes: 0 written and accepted, or nothing to write; 1 not written, rejected,
not accepted in time, or outcome unknown; 2 a record can't be accepted.`

func init() {
	register("apply", "write records", applyLong, &applyCommand{})
}

var (
	errRejected   = errors.New("records were rejected")
	errNoVerdict  = errors.New("written, but there is no verdict yet: see get or watch")
	errNotWritten = errors.New("records were not all written")
)

// applyResult is the JSON output of apply.
type applyResult struct {
	DryRun    bool            `json:"dry-run"`
	Edits     []editView      `json:"edits"`
	Unchanged int             `json:"unchanged"`
	Revision  fleet.Revision  `json:"revision,omitempty"`
	Statuses  []record.Status `json:"statuses"`
	Problems  []problemView   `json:"problems"`
}

// editView is the JSON output for a record that differs from the stored one.
type editView struct {
	record.Key
	Diff string `json:"diff"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

// run applies the files and writes the output to w, also if it fails.
func (c *applyCommand) run(ctx context.Context, w io.Writer) error {
	client, err := c.requireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	result := applyResult{DryRun: c.DryRun, Edits: []editView{}, Statuses: []record.Status{}, Problems: []problemView{}}
	err = c.apply(ctx, accept.NewRecordStore(client), &result)
	if c.JSON {
		result.Problems = problemViews(err)
		return errors.Join(printJSON(w, result), err)
	}
	return errors.Join(writeText(w, result.text()), err)
}

// apply applies the files and fills in result up to the step that fails.
func (c *applyCommand) apply(ctx context.Context, store *accept.RecordStore, result *applyResult) error {
	raws, err := readRecords(c.Args.Files)
	if err != nil {
		return err
	}
	plan, err := store.Prepare(ctx, raws)
	if errors.Is(err, record.ErrInvalid) {
		return asInputError(err)
	}
	if err != nil {
		return err
	}
	result.Unchanged = plan.UnchangedCount
	for _, e := range plan.Edits {
		result.Edits = append(result.Edits, editView{Key: e.Key, Diff: lineDiff(e.Before, e.After)})
	}
	if c.DryRun || len(plan.Edits) == 0 {
		return nil
	}
	if result.Revision, err = store.Write(ctx, plan); err != nil {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if c.Wait <= 0 {
		return nil
	}
	return c.awaitVerdicts(ctx, store, plan, result)
}

// verdictPollInterval is how often apply reads the verdicts while it waits for them.
const verdictPollInterval = 200 * time.Millisecond

// awaitVerdicts waits for the final verdicts on the records that were written, for at most
// c.Wait. It returns errRejected if a record was rejected, and errNoVerdict if the time is
// over. Read errors are retried.
func (c *applyCommand) awaitVerdicts(ctx context.Context, store *accept.RecordStore, plan accept.Plan, result *applyResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	ticker := time.NewTicker(verdictPollInterval)
	defer ticker.Stop()
	for {
		if contents, err := store.Read(ctx); err == nil {
			var final bool
			if result.Statuses, final = verdicts(plan, contents); final {
				return rejectionError(result.Statuses)
			}
		}
		select {
		case <-ctx.Done():
			return errNoVerdict
		case <-ticker.C:
		}
	}
}

// verdicts returns the statuses of the raw records that the plan wrote or that replaced them
// since, sorted by record. It also reports whether they are final: each record must have a
// status, and no stored raw record may still be acceptable. A record that was rejected because
// another one was missing is validated again once that one is accepted.
func verdicts(plan accept.Plan, contents accept.Contents) (list []record.Status, final bool) {
	for _, s := range contents.Statuses {
		for _, e := range plan.Edits {
			if e.Key == s.Key && s.RawRevision > e.BaseRevision() {
				list = append(list, s)
			}
		}
	}
	sortStatuses(list)
	next, _ := record.Accept(contents.State, contents.Raws)
	return list, len(list) == len(plan.Edits) && next == contents.State
}

// rejectionError returns errRejected if a record was rejected, and nil otherwise.
func rejectionError(statuses []record.Status) error {
	for _, s := range statuses {
		if s.Verdict == record.VerdictRejected {
			return errRejected
		}
	}
	return nil
}

// text returns the result as text output.
func (r *applyResult) text() string {
	var b strings.Builder
	for _, e := range r.Edits {
		fmt.Fprintf(&b, "%s\n%s", e.Key, e.Diff)
	}
	if len(r.Edits)+r.Unchanged > 0 {
		fmt.Fprintf(&b, "%d records differ, %d are as stored\n", len(r.Edits), r.Unchanged)
	}
	if r.Revision > 0 {
		fmt.Fprintf(&b, "written at revision %d\n", r.Revision)
	}
	for _, s := range r.Statuses {
		fmt.Fprintf(&b, "%s: %s, accepted revision %d in force\n", s.Key, s.Verdict, s.AcceptedRevision)
		for _, p := range s.Problems {
			fmt.Fprintf(&b, "  %d:%d: %s\n", p.Line, p.Column, p)
		}
	}
	return b.String()
}
