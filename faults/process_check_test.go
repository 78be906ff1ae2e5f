package faults_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
)

// execution records that the engine beside an agent executed a request. ended and result are empty if
// the log of the engine lacks the end of the execution.
type execution struct {
	node   *node
	began  time.Time
	ended  time.Time
	result fakes.ExecutionEnd
}

// check checks all invariants after a run and reports each violation as an error of the test.
func (r *processRun) check() {
	execs := r.executions()
	r.summarize(execs)
	r.checkReplicas()
	for _, j := range r.jobs {
		r.checkJob(j, execs)
	}
	r.checkKeys(execs)
	r.checkDrainedAgents(execs)
	r.checkRevisions()
}

// executions returns the executions of each request, by the caller's request ID, from the logs of all
// engines. Executions imported from another engine do not count. Memory that an engine has
// overcommitted is reported as an error of the test.
func (r *processRun) executions() map[string][]execution {
	execs := make(map[string][]execution)
	for _, n := range r.d.nodes {
		if n.isRouter {
			continue
		}
		for _, l := range n.engineLog(r.t) {
			switch l.Kind {
			case fakes.LogOvercommit:
				r.t.Errorf("memory overcommitted at %s", n.name)
			case fakes.LogExecutionBegan:
				if !l.Execution.Imported {
					id := callerRequestID(l.Execution.Request)
					execs[id] = append(execs[id], execution{node: n, began: l.Execution.Began})
				}
			case fakes.LogExecutionEnded:
				id := callerRequestID(l.Execution.Request)
				for i, x := range execs[id] {
					if x.node == n && x.began.Equal(l.Execution.Began) {
						execs[id][i].ended, execs[id][i].result = l.Execution.Ended, l.Execution.End
					}
				}
			}
		}
	}
	return execs
}

// summarize logs the numbers of answers by their result, and the injected faults.
func (r *processRun) summarize(execs map[string][]execution) {
	counts := make(map[string]int)
	for _, j := range r.jobs {
		switch {
		case j.answer.complete:
			counts["answered"]++
		case j.answer.err != nil:
			counts["connection lost"]++
		default:
			counts[string(j.answer.code)+" not-run "+string(j.answer.notRun)]++
		}
	}
	var descriptions []string
	for _, fault := range r.faults {
		descriptions = append(descriptions, fmt.Sprintf("%s %s at %v", fault.kind, fault.node.name, fault.began.Sub(r.began).Round(time.Millisecond)))
	}
	r.t.Logf("%d requests, %d executed; %v; faults: %s", len(r.jobs), len(execs), counts, strings.Join(descriptions, ", "))
}

// checkReplicas checks that no model had more replicas at one time than the warm limit in
// its record (see recordsFormat).
func (r *processRun) checkReplicas() {
	limits := map[fleet.ModelID]int{"m1@1": 1, "m2@1": 2, "m3@1": 1, "m4@1": 2}
	type change struct {
		at    time.Time
		delta int
	}
	changes := make(map[fleet.ModelID][]change)
	for _, n := range r.d.nodes {
		if n.isRouter {
			continue
		}
		for _, l := range n.engineLog(r.t) {
			switch l.Kind {
			case fakes.LogLoadBegan:
				changes[l.Load.Model] = append(changes[l.Load.Model], change{l.At, 1})
			case fakes.LogLoadEnded:
				changes[l.Load.Model] = append(changes[l.Load.Model], change{l.At, -1})
			}
		}
	}
	for m, all := range changes {
		slices.SortStableFunc(all, func(a, b change) int { return a.at.Compare(b.at) })
		replicas := 0
		for _, c := range all {
			replicas += c.delta
			if replicas > limits[m] {
				r.t.Errorf("%d replicas of %s at %v, limit %d", replicas, m, c.at.Sub(r.began), limits[m])
				break
			}
		}
	}
}

// hasFaultBetween reports whether a fault of one of the given kinds was in effect on a process at any
// time between from and to.
func (r *processRun) hasFaultBetween(n *node, from, to time.Time, kinds ...string) bool {
	return slices.ContainsFunc(r.faults, func(fault processFault) bool {
		return fault.node == n && slices.Contains(kinds, fault.kind) && fault.began.Before(to) && fault.ended.After(from)
	})
}

// checkJob checks one request: it was answered or refused in time, its answer is complete and
// belongs to the request, a request whose refusal says that it was not run was not executed, and one that
// is not idempotent was executed at most once.
// Failures that the faults of its router explain are allowed.
func (r *processRun) checkJob(j *job, execs map[string][]execution) {
	router := r.routers()[j.routerIndex]
	routerFailed := r.hasFaultBetween(router, j.began, j.ended, "kill", "stop")
	routerDraining := !routerFailed && r.hasFaultBetween(router, j.began, j.ended, "drain") && !r.drainBeganDuring(router, j)
	took := j.ended.Sub(j.began)
	if !routerFailed && took > j.patience+patienceSlack {
		r.t.Errorf("%s took %v, patience %v: status %d %s %s", j.id, took, j.patience, j.answer.status, j.answer.code, j.answer.body)
	}
	if !routerFailed && !routerDraining && j.answer.status == 0 {
		r.t.Errorf("%s got no answer from %s: %v", j.id, router.name, j.answer.err)
	}
	if j.answer.complete && j.service == "" {
		r.checkAnswer(j)
	}
	if j.answer.status == http.StatusOK && !j.answer.complete && !routerFailed && !strings.Contains(j.answer.body, "event: error") {
		r.t.Errorf("%s was truncated without an error event: %v", j.id, j.answer.err)
	}
	interrupted := strings.Contains(j.answer.body, "event: error") || j.answer.code == fleet.CodeOutcomeUnknown
	if interrupted && r.hasOnlyDrainFaults(j) {
		r.t.Errorf("%s was interrupted although processes were only drained: %s", j.id, j.answer.body)
	}
	n := len(execs[j.id])
	if j.answer.notRun == fleet.NotRunTrue && n > 0 {
		r.t.Errorf("%s was refused as not run (%s) but executed %d times", j.id, j.answer.code, n)
	}
	if !j.idempotent && n > 1 {
		r.t.Errorf("%s is not idempotent but was executed %d times", j.id, n)
	}
	if j.answer.complete && j.idempotencyKey == "" && n == 0 {
		r.t.Errorf("%s was answered but never executed", j.id)
	}
}

// faultEffectTime is how long requests may still be affected after a kill or stop has ended.
const faultEffectTime = 3 * time.Second

// hasOnlyDrainFaults reports whether no process was killed or stopped while the request was in progress
// or within faultEffectTime before.
func (r *processRun) hasOnlyDrainFaults(j *job) bool {
	return !slices.ContainsFunc(r.d.nodes, func(n *node) bool {
		return r.hasFaultBetween(n, j.began.Add(-faultEffectTime), j.ended, "kill", "stop")
	})
}

// drainBeganDuring reports whether the router began to drain while the request was in progress, so
// that it must still answer the request.
func (r *processRun) drainBeganDuring(router *node, j *job) bool {
	return slices.ContainsFunc(r.faults, func(fault processFault) bool {
		return fault.node == router && fault.kind == "drain" && j.began.Before(fault.began) && j.ended.After(fault.began)
	})
}

// checkAnswer checks that an answer belongs to its request and, if streamed, has all its events.
func (r *processRun) checkAnswer(j *job) {
	own := strings.Contains(j.answer.body, "/"+strings.TrimSuffix(j.id, "-twin"))
	if j.idempotencyKey != "" {
		own = strings.Contains(j.answer.body, "demo/job-")
	}
	if !own {
		r.t.Errorf("%s got the answer to another request: %s", j.id, j.answer.body)
	}
	if j.stream && strings.Count(j.answer.body, "data: ") != jobTokens+1 {
		r.t.Errorf("%s got %d events, want %d", j.id, strings.Count(j.answer.body, "data: "), jobTokens+1)
	}
}

// checkKeys checks that the requests with one idempotency key and prompt were executed at most once in
// total and got the same answer.
func (r *processRun) checkKeys(execs map[string][]execution) {
	type key struct{ key, prompt string }
	counts := make(map[key]int)
	answers := make(map[key]string)
	for _, j := range r.jobs {
		if j.idempotencyKey == "" {
			continue
		}
		k := key{j.idempotencyKey, j.prompt}
		counts[k] += len(execs[j.id])
		if !j.answer.complete {
			continue
		}
		if previous, ok := answers[k]; ok && previous != j.answer.body {
			r.t.Errorf("key %s got different answers", j.idempotencyKey)
		}
		answers[k] = j.answer.body
	}
	for k, n := range counts {
		if n > 1 {
			r.t.Errorf("key %s was executed %d times", k.key, n)
		}
	}
}

// maxStartAfterDrain is how long after the start of its drain an agent may still begin requests.
const maxStartAfterDrain = 2 * time.Second

// checkDrainedAgents checks that drained agents completed the requests that were executing, and began
// none after maxStartAfterDrain.
func (r *processRun) checkDrainedAgents(execs map[string][]execution) {
	for _, fault := range r.faults {
		if fault.kind != "drain" || fault.node.isRouter {
			continue
		}
		for id, all := range execs {
			for _, x := range all {
				if x.node != fault.node {
					continue
				}
				if x.began.After(fault.began.Add(maxStartAfterDrain)) && x.began.Before(fault.ended) {
					r.t.Errorf("%s began at %s, which is being drained", id, fault.node.name)
				}
				if x.began.Before(fault.began) && x.ended.After(fault.began) && x.result != fakes.ExecutionDone {
					r.t.Errorf("%s was interrupted by the drain of %s: %s", id, fault.node.name, x.result)
				}
			}
		}
	}
}

// checkRevisions checks that all processes apply the same revision of the records within 5 s, and that
// none went back to an earlier revision.
func (r *processRun) checkRevisions() {
	for _, change := range r.revisionReverts {
		r.t.Errorf("revision went back at %s", change)
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		var revs []fleet.Revision
		for _, n := range r.d.nodes {
			rev, _ := r.d.revision(n)
			revs = append(revs, rev)
		}
		slices.Sort(revs)
		if revs[0] > 0 && revs[0] == revs[len(revs)-1] {
			return
		}
		if time.Now().After(deadline) {
			r.t.Errorf("processes have not applied the same revision: %v", revs)
			return
		}
		<-time.After(50 * time.Millisecond)
	}
}
