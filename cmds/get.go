package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/accept"
)

type getCommand struct {
	kvOptions
	Raw  bool `long:"raw" description:"show records as last written instead of as accepted"`
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Records []string `positional-arg-name:"RECORD" description:"such as model or model/notice; all if left out"`
	} `positional-args:"true"`
}

const getLong = `Shows records with their status: the accepted version, or with --raw the version last
written. The output can be edited and applied.

Exit codes: 0 shown, 1 no such record, or the key-value service failed, 2 wrong usage.`

func init() {
	register("get", "show records and their status", getLong, &getCommand{})
}

// recordView joins the raw, accepted and status entries of one record. It is also the JSON
// output for a record.
type recordView struct {
	record.Key
	// Raw is the text that was last written, at revision RawRevision.
	Raw         string         `json:"raw,omitempty"`
	RawRevision fleet.Revision `json:"raw-revision,omitempty"`
	// Accepted is the accepted version, converted to the newest schema; nil if the record
	// was never accepted.
	Accepted *record.Object `json:"accepted,omitempty"`
	Status   *record.Status `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

func (c *getCommand) run(ctx context.Context, w io.Writer) error {
	client, err := c.requireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	contents, err := accept.NewRecordStore(client).Read(ctx)
	if err != nil {
		return err
	}
	list := slices.DeleteFunc(recordViews(contents), func(r recordView) bool { return !c.matches(r) })
	if len(list) == 0 && len(c.Args.Records) > 0 {
		return fmt.Errorf("no record %s", strings.Join(c.Args.Records, ", "))
	}
	if c.JSON {
		return printJSON(w, list)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "// accepted revision %d\n[\n", contents.State.Revision())
	for _, r := range list {
		c.print(&b, r)
	}
	return writeText(w, b.String()+"]\n")
}

// matches reports whether the arguments select the record and it has text or a status.
func (c *getCommand) matches(r recordView) bool {
	if c.text(r) == "" && r.Status == nil {
		return false
	}
	return len(c.Args.Records) == 0 || slices.ContainsFunc(c.Args.Records, func(arg string) bool {
		return arg == r.Path() || arg == string(r.Type)
	})
}

// text returns the text of the record to print. It is empty if the record was deleted or, with
// --raw, has no raw text, and if it was never accepted.
func (c *getCommand) text(r recordView) string {
	if c.Raw {
		return r.Raw
	}
	if r.Accepted == nil || r.Accepted.Deleted {
		return ""
	}
	return string(r.Accepted.Text())
}

// print writes a record, preceded by its status as comments.
func (c *getCommand) print(w *strings.Builder, r recordView) {
	fmt.Fprintf(w, "// %s: %s\n", r.Key, r.summary())
	if r.Status != nil {
		for _, p := range r.Status.Problems {
			fmt.Fprintf(w, "//   written record, %d:%d: %s\n", p.Line, p.Column, p)
		}
	}
	if text := c.text(r); text != "" {
		fmt.Fprintf(w, "%s,\n", text)
	}
}

// summary returns the state of the record as one line of text.
func (r recordView) summary() string {
	text := "never accepted"
	if r.Accepted != nil {
		text = fmt.Sprintf("in force since revision %d, written in schema %d", r.Accepted.AcceptedRevision, r.Accepted.WrittenSchema)
		if r.Accepted.Deleted {
			text = fmt.Sprintf("removed at revision %d", r.Accepted.AcceptedRevision)
		}
	}
	switch {
	case r.Status != nil && r.Status.RawRevision == r.RawRevision && r.Status.Verdict == record.VerdictRejected:
		text += "; what was written last is rejected"
	case r.Accepted == nil || r.RawRevision > r.Accepted.RawRevision:
		text += "; what was written last is not judged yet"
	}
	return text
}

// recordViews joins the stored entries of each record, and returns them sorted by record.
func recordViews(c accept.Contents) []recordView {
	byKey := map[record.Key]*recordView{}
	viewOf := func(key record.Key) *recordView {
		if byKey[key] == nil {
			byKey[key] = &recordView{Key: key}
		}
		return byKey[key]
	}
	for _, raw := range c.Raws {
		r := viewOf(raw.Key)
		r.Raw, r.RawRevision = string(raw.Text), raw.Revision
	}
	for _, o := range c.State.Objects() {
		viewOf(o.Key).Accepted = &o
	}
	for _, s := range c.Statuses {
		viewOf(s.Key).Status = &s
	}
	list := make([]recordView, 0, len(byKey))
	for _, r := range byKey {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b recordView) int { return a.Compare(b.Key) })
	return list
}
