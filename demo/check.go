package demo

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/guard"
)

// Check is the result of checking one invariant: how often it was evaluated, and a message
// for each violation.
type Check struct {
	Name            string   `json:"name"`
	EvaluationCount int      `json:"times"`
	Failures        []string `json:"broken,omitempty"`
}

// expect evaluates the invariant once. If ok is false, it adds a failure with the formatted
// message.
func (c *Check) expect(ok bool, format string, args ...any) {
	c.EvaluationCount++
	if !ok {
		c.Failures = append(c.Failures, fmt.Sprintf(format, args...))
	}
}

// checkInvariants checks all invariants against the logs of the stand-ins and the results of the
// callers.
func (f *Fleet) checkInvariants(results []result) []Check {
	return []Check{
		f.checkReplicas(), f.checkMemory(), f.checkPatience(results), f.checkAnswers(results),
		f.checkNotRunRefusals(results), f.checkAtMostOnce(results), f.checkOutcomes(),
	}
}

// residency is a period during which an engine held a model in memory.
type residency struct {
	began, ended time.Time
}

// checkReplicas checks that the number of replicas of a model never exceeded the limit in
// its record.
func (f *Fleet) checkReplicas() Check {
	c := Check{Name: "replicas-within-limit"}
	now := time.Now()
	residencies := make(map[fleet.ModelID][]residency)
	for _, e := range f.Endpoints {
		for _, l := range e.Engine.Loads() {
			ended := l.Ended
			if ended.IsZero() {
				ended = now
			}
			residencies[l.Model] = append(residencies[l.Model], residency{l.Began, ended})
		}
	}
	for m, intervals := range residencies {
		highest := maxOverlap(intervals)
		c.expect(highest <= f.Config.Models[m].WarmLimit, "%s: %d replicas at once, %d allowed", m, highest, f.Config.Models[m].WarmLimit)
	}
	return c
}

// maxOverlap returns the highest number of residencies that overlap at one time.
func maxOverlap(residencies []residency) int {
	highest := 0
	for _, r := range residencies {
		n := 0
		for _, other := range residencies {
			if !other.began.After(r.began) && other.ended.After(r.began) {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// checkMemory checks that no engine allocated more than its accelerator memory.
func (f *Fleet) checkMemory() Check {
	c := Check{Name: "memory-not-overcommitted"}
	for _, e := range f.Endpoints {
		c.expect(e.Engine.OvercommitCount() == 0, "%s: %d overcommits", e.Host.ID, e.Engine.OvercommitCount())
	}
	return c
}

// checkPatience checks that each request was answered or refused within the caller's
// patience. For a streamed answer, the first byte counts.
func (f *Fleet) checkPatience(results []result) Check {
	c := Check{Name: "answered-or-refused-in-time"}
	for _, r := range results {
		duration := r.duration
		if r.job.stream && r.status == http.StatusOK {
			duration = r.ttfb
		}
		c.expect(r.err == nil && duration <= r.patience+patienceSlack, "job %d: %v after %v, patience %v", r.job.number, r.err, duration, r.patience)
	}
	return c
}

// checkAnswers checks that each answer is complete and belongs to its request: an engine
// includes the request ID in its answer. The ID is not checked for plain services.
func (f *Fleet) checkAnswers(results []result) Check {
	c := Check{Name: "answers-whole-and-own"}
	for _, r := range results {
		if r.status == http.StatusOK {
			belongsToRequest := r.job.service != "" || strings.Contains(r.answer, string(r.id))
			c.expect(r.complete && belongsToRequest, "job %d: whole %v, own %v", r.job.number, r.complete, belongsToRequest)
		}
	}
	return c
}

// executionCounts returns the number of executions of each request, by the caller's request
// ID, over all engines.
func (f *Fleet) executionCounts() map[fleet.RequestID]int {
	counts := make(map[fleet.RequestID]int)
	for _, e := range f.Endpoints {
		for _, execution := range e.Engine.Executions() {
			counts[callerRequestID(execution.Request)]++
		}
	}
	return counts
}

// callerRequestID returns the request ID that the caller sent. The router adds the member
// before it and a unique part after it, separated by slashes.
func callerRequestID(id fleet.RequestID) fleet.RequestID {
	parts := strings.Split(string(id), "/")
	return fleet.RequestID(parts[min(1, len(parts)-1)])
}

// checkNotRunRefusals checks that requests refused with not-run "true" were not executed.
func (f *Fleet) checkNotRunRefusals(results []result) Check {
	c := Check{Name: "not-run-is-true"}
	counts := f.executionCounts()
	for _, r := range results {
		if r.status != http.StatusOK && r.notRun == fleet.NotRunTrue {
			c.expect(counts[r.id] == 0, "job %d: refused as not run and run %d times", r.job.number, counts[r.id])
		}
	}
	return c
}

// checkAtMostOnce checks that non-idempotent requests were executed at most once, and
// exactly once if they were answered.
func (f *Fleet) checkAtMostOnce(results []result) Check {
	c := Check{Name: "non-idempotent-at-most-once"}
	counts := f.executionCounts()
	for _, r := range results {
		if !r.idempotent {
			c.expect(counts[r.id] <= 1, "job %d: run %d times", r.job.number, counts[r.id])
			c.expect(r.status != http.StatusOK || counts[r.id] == 1, "job %d: answered and run %d times", r.job.number, counts[r.id])
		}
	}
	return c
}

// checkOutcomes checks that each request ended in a known outcome at its router.
func (f *Fleet) checkOutcomes() Check {
	c := Check{Name: "outcomes-known"}
	for _, r := range f.Routers {
		for _, o := range []guard.Outcome{guard.Unknown, guard.Panicked} {
			n := r.OutcomeCount(o)
			c.expect(n == 0, "%s: %d requests %s", r.Status().Process, n, o)
		}
	}
	return c
}

// idleTime returns the time during which loaded models of an engine had no requests, summed
// over the models.
func idleTime(e *fakes.Engine) time.Duration {
	now := time.Now()
	var sum time.Duration
	for _, l := range e.Loads() {
		if l.WarmAt.IsZero() {
			continue
		}
		ended := cmp.Or(l.Ended, now)
		sum += ended.Sub(l.WarmAt) - busyTime(e.Executions(), l.Model, l.WarmAt, ended)
	}
	return sum
}

// busyTime returns how long model m executed at least one request between from and to. It
// sorts executions by their start. Executions that still run do not count.
func busyTime(executions []fakes.Execution, m fleet.ModelID, from, to time.Time) time.Duration {
	var sum time.Duration
	last := from
	slices.SortFunc(executions, func(a, b fakes.Execution) int { return a.Began.Compare(b.Began) })
	for _, execution := range executions {
		if execution.Target.Model != m || execution.Began.After(to) || execution.Ended.Before(last) {
			continue
		}
		began := execution.Began
		if began.Before(last) {
			began = last
		}
		sum += execution.Ended.Sub(began)
		last = execution.Ended
	}
	return sum
}
