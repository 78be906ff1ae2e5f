package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/fleet"
	"chervilreach/io/admin"
)

type statusCommand struct {
	processOptions
	JSON bool `long:"json" description:"print JSON"`
}

const statusLong = `Shows which accepted revision is in effect at each process, for which prompt parts
requests are refused, and which models are warm, cold or loading, at which
endpoints and why. Exits with 1 if a process did not answer; the answers of the
others are shown nevertheless.`

func init() {
	register("status", "show the state of all processes and models", statusLong, &statusCommand{})
}

// statusTimeLayout is the layout of times, which are in UTC.
const statusTimeLayout = "2006-01-02 15:04:05"

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.run(context.Background(), os.Stdout)
}

func (c *statusCommand) run(ctx context.Context, w io.Writer) error {
	targets, err := c.targets(ctx)
	if err != nil {
		return err
	}
	summary := admin.NewClient().Summarize(ctx, targets, c.Wait)
	write := writeSummary
	if c.JSON {
		write = func(w io.Writer, s admin.Summary) error { return printJSON(w, s) }
	}
	if err := write(w, summary); err != nil {
		return err
	}
	if n := len(summary.Failed()); n > 0 {
		return fmt.Errorf("%d of %d %w", n, len(summary.Processes), errUnanswered)
	}
	return nil
}

// writeSummary writes the summary as text.
func writeSummary(w io.Writer, s admin.Summary) error {
	var b strings.Builder
	writeRevisions(&b, s)
	fmt.Fprintln(&b, "\nPROCESS\tROLE\tFAILURE DOMAIN\tREVISION\tSTATE\tDETAIL")
	for _, p := range s.Processes {
		if p.Status == nil {
			fmt.Fprintf(&b, "%s\t-\t-\t-\tno answer\t%s\n", cmp.Or(p.Target.Name, p.Target.Admin.String()), p.Error)
			continue
		}
		role, detail := roleAndDetail(p.Status)
		fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t%s\t%s\n",
			p.Status.Process, role, p.Status.Domain, p.Status.Revision, processState(p.Status), detail)
	}
	writeConvictedParts(&b, s.ConvictedParts)
	fmt.Fprintln(&b, "\nMODEL\tWARM\tLOADING\tWAITING\tUNLOADING\tDOUBTFUL\tCOLD\tWHERE AND WHY")
	for _, m := range s.Models {
		writeModelRows(&b, m)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := io.WriteString(out, b.String())
	if err := errors.Join(err, out.Flush()); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// writeRevisions writes which accepted revisions are in effect at which processes, and which
// records were rejected.
func writeRevisions(b *strings.Builder, s admin.Summary) {
	answered := len(s.Processes) - len(s.Failed())
	for _, r := range s.Revisions {
		fmt.Fprintf(b, "accepted revision %d in force at %d of %d processes that answered", r.Revision, len(r.Processes), answered)
		if len(s.Revisions) > 1 {
			fmt.Fprintf(b, ": %v", r.Processes)
		}
		fmt.Fprintln(b)
	}
	for _, r := range s.RecordErrors {
		inForce := "none"
		if r.InForce > 0 {
			inForce = fmt.Sprintf("that of accepted revision %d", r.InForce)
		}
		fmt.Fprintf(b, "record %s: revision %d was not accepted, in force is %s: %s\n", r.Record, r.Revision, inForce, r.Detail)
	}
}

// writeConvictedParts writes a table of the convicted prompt parts; nothing if there are none.
func writeConvictedParts(b *strings.Builder, list []admin.ConvictionSummary) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(b, "\nCONVICTED PART\tCRASHES\tAGE\tUNTIL\tPROCESSES")
	for _, p := range list {
		age := (time.Duration(p.AgeMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(b, "%s\t%d\t%s\t%s\t%v\n", p.Part, p.CrashCount, age, p.Until.UTC().Format(statusTimeLayout), p.Processes)
	}
}

// processState returns the text for whether a process is draining.
func processState(s *admin.Status) string {
	state := "serving"
	if s.Draining {
		state = "draining"
	}
	return state
}

// roleAndDetail returns the role of a process and a text with its counts of work and resources.
func roleAndDetail(s *admin.Status) (role, detail string) {
	switch {
	case s.Router != nil:
		suspects := lo.CountBy(s.Router.Endpoints, func(e admin.EndpointStatus) bool { return e.Suspect })
		return "router", fmt.Sprintf("%d requests, %d models placed, %d endpoints, %d of them suspect",
			s.Router.CallsInProgress, s.Router.PlacedModels, len(s.Router.Endpoints), suspects)
	case s.Agent != nil:
		a := s.Agent
		return "agent", fmt.Sprintf("%s, incarnation %d, %d queued, %d running, memory %s of %s reserved",
			a.Endpoint, a.Incarnation, a.QueuedRequests, a.RunningRequests, formatGiB(a.Reserved), formatGiB(a.Memory))
	case s.Endpoint != nil:
		return "swap", endpointDetail(*s.Endpoint)
	default:
		return "-", ""
	}
}

// endpointDetail returns a text for how an endpoint answers its agent.
func endpointDetail(e admin.EndpointAnswers) string {
	var parts []string
	if e.Error != "" {
		parts = append(parts, fmt.Sprintf("endpoint fails since %s: %s", e.ChangedAt.UTC().Format(statusTimeLayout), e.Error))
	}
	if e.MalformedCount > 0 {
		parts = append(parts, fmt.Sprintf("%d malformed answers of the endpoint", e.MalformedCount))
	}
	return strings.Join(parts, "; ")
}

// writeModelRows writes one table row for each endpoint that has a state for the model.
func writeModelRows(b *strings.Builder, m admin.ModelSummary) {
	for i, p := range m.Places {
		if i == 0 {
			fmt.Fprintf(b, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t",
				m.Model, m.WarmCount, m.LoadingCount, m.WaitingCount, m.UnloadingCount, m.DoubtfulCount, m.ColdCount)
		} else {
			fmt.Fprint(b, "\t\t\t\t\t\t\t")
		}
		fmt.Fprintln(b, formatPlace(p))
	}
}

// formatPlace formats the state of a model at one endpoint.
func formatPlace(p admin.Place) string {
	text := fmt.Sprintf("%s %s", p.Endpoint, p.State)
	if !p.Since.IsZero() {
		text += " since " + p.Since.UTC().Format(statusTimeLayout)
	}
	if p.State == fleet.LoadStateLoading && !p.ReadyAt.IsZero() {
		text += ", ready about " + p.ReadyAt.UTC().Format(time.TimeOnly)
	}
	if p.QueuedRequests+p.RunningRequests > 0 {
		text += fmt.Sprintf(", %d queued, %d running", p.QueuedRequests, p.RunningRequests)
	}
	if len(p.Adapters) > 0 {
		text += fmt.Sprintf(", adapters %v", p.Adapters)
	}
	if p.Why != "" {
		text += ": " + p.Why
	}
	return text
}
