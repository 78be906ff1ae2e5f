package replay

import (
	"slices"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/trace"
	"chervilreach/core/warm"

	"github.com/stretchr/testify/require"
)

// testDuration is the length of the part of a trace that the tests replay.
const testDuration = 3*time.Hour + 30*time.Minute

// replayScenario replays the first testDuration of a scenario's trace with a policy.
func replayScenario(t *testing.T, scenario, policy string) Result {
	t.Helper()
	tr, err := trace.Generate(scenario, 1)
	require.NoError(t, err)
	// The rest of the trace is cut off: it has no faults and would only slow the tests down.
	tr.Header.End = tr.Header.Start.Add(testDuration)
	tr.Arrivals = slices.DeleteFunc(tr.Arrivals, func(a trace.Arrival) bool {
		return a.AtMS >= testDuration.Milliseconds()
	})
	p, err := NewPolicy(policy, tr)
	require.NoError(t, err)
	return Workload(tr, p)
}

// TestWorkload replays the traces with faults, each with one policy. Traces without faults
// are replayed by the replay command only.
func TestWorkload(t *testing.T) {
	tests := map[string]struct {
		scenario, policy string
		// maxRefused limits the number of refused requests.
		maxRefused int
	}{
		"lost hosts, learned":           {scenario: "host-loss", policy: warm.PolicyLearned, maxRefused: 20},
		"slow store, on-demand":         {scenario: "slow-store", policy: warm.PolicyOnDemand, maxRefused: 170},
		"key-value service down, fixed": {scenario: "kv-outage", policy: warm.PolicyFixed, maxRefused: 60},
		"slow store, clairvoyant":       {scenario: "slow-store", policy: PolicyClairvoyant, maxRefused: 110},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := replayScenario(t, tt.scenario, tt.policy)
			require.Zero(t, result.Violations, result.ViolationDetails)
			require.LessOrEqual(t, result.RefusedRequests, tt.maxRefused)
		})
	}
}

// TestWorkloadIsDeterministic checks that two replays of a trace give the same result.
func TestWorkloadIsDeterministic(t *testing.T) {
	t.Parallel()
	first := replayScenario(t, "slow-store", warm.PolicyLearned)
	second := replayScenario(t, "slow-store", warm.PolicyLearned)
	require.Equal(t, first, second)
}

func TestNewPolicyUnknown(t *testing.T) {
	_, err := NewPolicy("sometimes", &trace.Trace{})
	require.ErrorIs(t, err, warm.ErrUnknownPolicy)
}

// TestViolations checks that a violation of each invariant is counted.
func TestViolations(t *testing.T) {
	model := record.Model{ID: "m@1", Weights: 10, WarmLimit: 1}
	nodeWithModel := func(r *run, memory fleet.Bytes) *node {
		n := &node{run: r, ep: trace.Endpoint{Memory: memory}}
		n.engine = newEngine(n)
		n.engine.models[model.ID] = &loadedModel{state: fleet.LoadStateWarm, memory: 10}
		r.nodes = append(r.nodes, n)
		return n
	}
	tests := map[string]struct {
		run  func(r *run)
		want int
	}{
		"none": {run: func(r *run) { nodeWithModel(r, 10).checkInvariants(model.ID) }},
		"too many replicas": {run: func(r *run) {
			nodeWithModel(r, 10)
			nodeWithModel(r, 10).checkInvariants(model.ID)
		}, want: 1},
		"too much memory": {run: func(r *run) { nodeWithModel(r, 9).checkInvariants(model.ID) }, want: 1},
		"late answer": {run: func(r *run) {
			r.answer(&request{deadline: r.now.Add(-time.Second)})
		}, want: 1},
		"late refusal": {run: func(r *run) {
			r.refuse(&request{deadline: r.now.Add(-time.Second)}, fleet.CodeDeadlineExceeded)
		}, want: 1},
		"second answer": {run: func(r *run) {
			req := &request{deadline: r.now}
			r.answer(req)
			r.answer(req)
		}, want: 1},
		"request on a cold engine": {run: func(r *run) {
			nodeWithModel(r, 10).engine.startRequest(&request{arrival: trace.Arrival{Model: "other@1"}})
		}, want: 1},
		"dropped request": {run: func(r *run) {
			r.dueRequests = 1
			r.completeResult()
		}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &run{trace: &trace.Trace{}, models: map[fleet.ModelID]record.Model{model.ID: model}}
			r.now = time.Unix(1000, 0)
			tt.run(r)
			require.Equal(t, tt.want, r.result.Violations)
			if tt.want > 0 {
				require.ErrorIs(t, CheckInvariants([]Result{r.result}), ErrInvariant)
			}
		})
	}
}
