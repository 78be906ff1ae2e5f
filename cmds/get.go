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
	Raw  bool `long:"raw" description:"show records as written, not as accepted"`
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Records []string `positional-arg-name:"RECORD" description:"such as model or model/notice; all without"`
	} `positional-args:"true"`
}

const getLong = `Shows records with their status: what is in force, or with --raw what is written.
The text can be edited and applied.

Exit codes: 0 shown, 1 no such record, or the key-value service failed, 2 wrong usage.`

func init() {
	register("get", "show records and their status", getLong, &getCommand{})
}

// shownRecord is one record as commands print it in JSON.
type recordView struct {
	record.Key
	// Raw is what is written, as of RawRevision.
	Raw         string         `json:"raw,omitempty"`
	RawRevision fleet.Revision `json:"raw-revision,omitempty"`
	// Accepted is what is in force, in the newest schema version.
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
	contents, err := accept.NewStore(client).Read(ctx)
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

// wants says whether the record was asked for and has something to show.
func (c *getCommand) matches(r recordView) bool {
	if c.text(r) == "" && r.Status == nil {
		return false
	}
	return len(c.Args.Records) == 0 || slices.ContainsFunc(c.Args.Records, func(arg string) bool {
		return arg == r.Path() || arg == string(r.Type)
	})
}

// text returns what is shown of a record; a removed one has nothing in force.
func (c *getCommand) text(r recordView) string {
	if c.Raw {
		return r.Raw
	}
	if r.Accepted == nil || r.Accepted.Deleted {
		return ""
	}
	return string(r.Accepted.Text())
}

// print writes a record with its status as comments.
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

// summary says in a line what became of the record.
func (r recordView) summary() string {
	text := "never accepted"
	if r.Accepted != nil {
		text = fmt.Sprintf("in force since revision %d, written in schema %d", r.Accepted.Accepted, r.Accepted.Schema)
		if r.Accepted.Deleted {
			text = fmt.Sprintf("removed at revision %d", r.Accepted.Accepted)
		}
	}
	switch {
	case r.Status != nil && r.Status.Raw == r.RawRevision && r.Status.Verdict == record.VerdictRejected:
		text += "; what was written last is rejected"
	case r.Accepted == nil || r.RawRevision > r.Accepted.Raw:
		text += "; what was written last is not judged yet"
	}
	return text
}

// shownRecords joins what the service holds of each record, in order.
func recordViews(c accept.Contents) []recordView {
	byKey := map[record.Key]*recordView{}
	of := func(key record.Key) *recordView {
		if byKey[key] == nil {
			byKey[key] = &recordView{Key: key}
		}
		return byKey[key]
	}
	for _, raw := range c.Raws {
		r := of(raw.Key)
		r.Raw, r.RawRevision = string(raw.Text), raw.Revision
	}
	for _, o := range c.State.Objects() {
		of(o.Key).Accepted = &o
	}
	for _, s := range c.Statuses {
		of(s.Key).Status = &s
	}
	list := make([]recordView, 0, len(byKey))
	for _, r := range byKey {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b recordView) int { return a.Compare(b.Key) })
	return list
}
