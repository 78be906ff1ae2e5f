package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"chervilreach/core/record"
	"chervilreach/io/accept"
)

type checkCommand struct {
	kvOptions
	JSON bool     `long:"json" description:"print JSON"`
	Args fileArgs `positional-args:"true"`
}

const checkLong = `Validates files of records, each record alone and all together, and prints each
problem with its file, line, column, field and the expected value. With --kv, the
records are also validated against the stored ones, as by apply; without it, a
reference to a record that is not in the files is only a note. Writes nothing.

Exit codes: 0 all can be accepted, 1 the key-value service failed, 2 a record
can't be accepted.`

func init() {
	register("check", "check files of records", checkLong, &checkCommand{})
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

// checkResult is the JSON output of check.
type checkResult struct {
	Records  int           `json:"records"`
	Problems []problemView `json:"problems"`
	// Notes are references to records that are not in the files.
	Notes []problemView `json:"notes"`
}

func (c *checkCommand) run(ctx context.Context, w io.Writer) error {
	raws, err := readRecords(c.Args.Files)
	var notes error
	if err == nil {
		notes, err = c.validate(ctx, raws)
	}
	if err != nil && !errors.Is(err, ErrUsage) {
		return err
	}
	if c.JSON {
		result := checkResult{Records: len(raws), Problems: problemViews(err), Notes: problemViews(notes)}
		return errors.Join(printJSON(w, result), err)
	}
	var b strings.Builder
	for _, note := range recordErrors(notes) {
		fmt.Fprintln(&b, "note:", note)
	}
	if err == nil {
		fmt.Fprintf(&b, "%d records: ok\n", len(raws))
	}
	return errors.Join(writeText(w, b.String()), err)
}

// validate checks the records together, and against the stored ones if --kv is given. err joins
// the problems. Without --kv, references to records that are not in the files are in notes
// instead.
func (c *checkCommand) validate(ctx context.Context, raws []record.Raw) (notes, err error) {
	if client, ok := c.newClient(); ok {
		defer client.Close()
		_, err := accept.NewRecordStore(client).Prepare(ctx, raws)
		if errors.Is(err, record.ErrInvalid) {
			err = asInputError(err)
		}
		return nil, err
	}
	var noteErrs, problemErrs []error
	_, statuses := record.AcceptAll(nil, raws)
	for _, r := range raws {
		for _, p := range lastProblems(r.Key, statuses) {
			if p.Code == record.CodeUnknownReference {
				noteErrs = append(noteErrs, r.ProblemError(p))
				continue
			}
			problemErrs = append(problemErrs, r.ProblemError(p))
		}
	}
	return errors.Join(noteErrs...), asInputError(errors.Join(problemErrs...))
}

// lastProblems returns the problems in the last status of a record.
func lastProblems(key record.Key, statuses []record.Status) []record.Problem {
	var found []record.Problem
	for _, s := range statuses {
		if s.Key == key {
			found = s.Problems
		}
	}
	return found
}
