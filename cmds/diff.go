package cmds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"chervilreach/core/record"
	"chervilreach/io/accept"
)

type diffCommand struct {
	kvOptions
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

const diffLong = `Shows how files of records differ from the stored ones. Without files it shows the
stored records that are not accepted, each compared with its accepted version.

Exit codes: 0 no difference, 1 a difference, or the key-value service failed,
2 a record can't be read.`

func init() {
	register("diff", "show how records differ from what is stored", diffLong, &diffCommand{})
}

// errDiffer is returned if there are differences, so that diff exits with 1.
var errDiffer = errors.New("records differ")

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

func (c *diffCommand) run(ctx context.Context, w io.Writer) error {
	client, err := c.requireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	store := accept.NewRecordStore(client)
	edits, err := c.compare(ctx, store)
	if err != nil {
		return err
	}
	if err := c.print(w, edits); err != nil || len(edits) == 0 {
		return err
	}
	return fmt.Errorf("%d %w", len(edits), errDiffer)
}

func (c *diffCommand) print(w io.Writer, edits []editView) error {
	if c.JSON {
		return printJSON(w, edits)
	}
	var b strings.Builder
	for _, e := range edits {
		fmt.Fprintf(&b, "%s\n%s", e.Key, e.Diff)
	}
	return writeText(w, b.String())
}

// compare returns the records in the files that differ from the stored ones or, without files,
// the records whose stored version is not accepted.
func (c *diffCommand) compare(ctx context.Context, store *accept.RecordStore) ([]editView, error) {
	if len(c.Args.Files) == 0 {
		contents, err := store.Read(ctx)
		return unacceptedEdits(contents), err
	}
	raws, err := readRecords(c.Args.Files)
	if err != nil {
		return nil, err
	}
	plan, err := store.Prepare(ctx, raws)
	if err != nil && !errors.Is(err, record.ErrInvalid) {
		return nil, err
	}
	edits := []editView{}
	for _, e := range plan.Edits {
		edits = append(edits, editView{Key: e.Key, Diff: lineDiff(e.Before, e.After)})
	}
	return edits, nil
}

// unacceptedEdits returns the raw records that are newer than the accepted version of the
// record, or have none, each with the difference from it.
func unacceptedEdits(contents accept.Contents) []editView {
	edits := []editView{}
	for _, r := range recordViews(contents) {
		if r.RawRevision == 0 || (r.Accepted != nil && r.Accepted.RawRevision >= r.RawRevision) {
			continue
		}
		var accepted []byte
		if r.Accepted != nil {
			accepted = r.Accepted.Text()
		}
		edits = append(edits, editView{Key: r.Key, Diff: lineDiff(accepted, bytes.TrimSpace([]byte(r.Raw)))})
	}
	return edits
}
