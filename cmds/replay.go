package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"chervilreach/core/replay"
	"chervilreach/core/trace"
)

// maxConcurrentJobs limits the replays that run at the same time.
const maxConcurrentJobs = 4

type replayCommand struct {
	Policy []string `long:"policy" description:"policy for keeping models warm; all if left out"`
	JSON   bool     `long:"json" description:"print one JSON object a line"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

func init() {
	register("replay", "replay workload traces and recorded runs",
		"Replays workload traces with a fake clock and prints the results of each policy. "+
			"Replays the events in files that timeline --record wrote, and compares the effects with the recorded ones.", &replayCommand{})
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	policies := c.Policy
	if len(policies) == 0 {
		policies = replay.Policies()
	}
	var jobs []job
	for _, file := range c.Args.Files {
		recording, err := isRecording(file)
		if err != nil {
			return err
		}
		if recording {
			if err := replayRecording(os.Stdout, file, c.JSON); err != nil {
				return err
			}
			continue
		}
		t, err := readTrace(file)
		if err != nil {
			return err
		}
		for _, policy := range policies {
			p, err := replay.NewPolicy(policy, t)
			if err != nil {
				return fmt.Errorf("--policy: %w: %w", ErrUsage, err)
			}
			jobs = append(jobs, job{trace: t, policy: p})
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	results := runJobs(jobs)
	if err := c.print(results); err != nil {
		return err
	}
	return replay.CheckInvariants(results)
}

// job is the replay of a workload trace with one policy.
type job struct {
	trace  *trace.Trace
	policy replay.Policy
}

// runJobs runs the jobs concurrently, up to maxConcurrentJobs at a time, and returns their
// results in the order of the jobs.
func runJobs(jobs []job) []replay.Result {
	results := make([]replay.Result, len(jobs))
	slots := make(chan struct{}, maxConcurrentJobs)
	var wg sync.WaitGroup
	for i, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			results[i] = replay.Workload(j.trace, j.policy)
			<-slots
		})
	}
	wg.Wait()
	return results
}

func readTrace(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w: open trace: %w", ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUsage, file, err)
	}
	return t, nil
}

func (c *replayCommand) print(results []replay.Result) error {
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		for _, r := range results {
			if err := enc.Encode(r); err != nil {
				return fmt.Errorf("write result: %w", err)
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "trace\tpolicy\trequests\tcold\tcold-p50-ms\tcold-p99-ms\twaited\twaited-p99-ms\tidle-accelerator-hours\tloads\trefused\tlate\tinvariant-violations\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t\n", r.Trace, r.Policy, r.Requests, r.ColdRequests,
			r.ColdP50, r.ColdP99, r.WaitedRequests, r.WaitedP99, r.IdleHours, r.Loads, r.RefusedRequests, r.LateAnswers, r.Violations)
	}
	return w.Flush()
}
