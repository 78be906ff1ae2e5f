package agent_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// maxRequestAllocs limits the allocations for one request, from its offer to its end.
const maxRequestAllocs = 60

var epoch = time.Unix(1_800_000_000, 0)

// hourPolicy keeps idle models loaded for an hour and never prewarms.
type hourPolicy struct{}

func (hourPolicy) RecordArrival(fleet.ModelID, time.Time) {}

func (hourPolicy) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(time.Hour)
}

func (hourPolicy) PrewarmAt(fleet.ModelID, time.Time, time.Duration) (time.Time, bool) {
	return time.Time{}, false
}

// newAgent returns an agent to which the given number of models is assigned. Only the first
// one is warm.
func newAgent(models int) *agent.State {
	s := agent.New(agent.Options{WarmPolicy: hourPolicy{}, MaxRunning: 32, MaxQueued: 100, LoadTime: time.Second})
	config := &record.Config{Revision: 1, Models: map[fleet.ModelID]record.Model{}}
	assigned := agent.AssignmentsRead{RequestedAt: epoch}
	for i := range models {
		id := numberedModel(i)
		config.Models[id] = record.Model{ID: id, Weights: fleet.GiB, WarmLimit: 1}
		assigned.Assignments = append(assigned.Assignments, agent.Assignment{
			Model: id, Generation: 1, State: agent.AssignmentAssigned,
		})
	}
	s.Apply(epoch, agent.Started{Endpoint: "e", Instance: 1})
	s.Apply(epoch, agent.ConfigAccepted{Config: config})
	s.Apply(epoch, agent.IncarnationRead{Current: 1, Taken: true, RequestedAt: epoch})
	s.Apply(epoch, assigned)
	s.Apply(epoch, agent.EngineReported{State: fleet.EngineState{
		AsOf: epoch.Add(time.Second), TotalMemory: 100 * fleet.GiB,
		Models: []fleet.EngineModel{{Model: numberedModel(0), State: fleet.LoadStateWarm, Memory: fleet.GiB}},
	}})
	return s
}

func numberedModel(i int) fleet.ModelID { return fleet.MakeModelID("model-"+strconv.Itoa(i), "1") }

// serveOnce runs one request from its offer to its end and returns the number of requests
// still running.
func serveOnce(s *agent.State, n int) int {
	now := epoch.Add(time.Second)
	id := fleet.RequestID(strconv.Itoa(n))
	s.Apply(now, agent.Offered{Offer: agent.Offer{
		ID: id, Member: "m", Target: fleet.Target{Model: numberedModel(0)}, Deadline: now.Add(time.Minute), StreamID: 1,
	}})
	s.Apply(now, agent.AnswerBegan{ID: id})
	s.Apply(now, agent.AnswerEnded{ID: id})
	return s.Report(now).Running
}

// BenchmarkRequest measures one request at an agent with the given number of assigned models.
func BenchmarkRequest(b *testing.B) {
	for name, models := range map[string]int{"today-15-models": 15, "target-40-models": 40} {
		b.Run(name, func(b *testing.B) {
			s := newAgent(models)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				serveOnce(s, n%1000)
				n++
			}
		})
	}
}

// BenchmarkTick measures an event that only makes the agent check what is due.
func BenchmarkTick(b *testing.B) {
	s := newAgent(40)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		s.Apply(now, agent.Cancelled{ID: "none"})
	}
}

// TestRequestAllocations limits the allocations of the agent for one request.
func TestRequestAllocations(t *testing.T) {
	s := newAgent(15)
	n := 0
	got := testing.AllocsPerRun(200, func() {
		require.Zero(t, serveOnce(s, n))
		n++
	})
	require.LessOrEqual(t, got, float64(maxRequestAllocs))
}
