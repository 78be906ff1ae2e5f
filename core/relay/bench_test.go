package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Size of the fleet that the system is designed for.
const (
	targetEndpoints   = 6000
	targetModels      = 240
	modelsPerEndpoint = 3
)

// largeFleetState returns the state of a router in a fleet of the target size, and the
// current time.
func largeFleetState(tb testing.TB) (*State, time.Time) {
	tb.Helper()
	now := time.UnixMilli(1_000_000)
	models := make(map[string]route.Model, targetModels)
	for i := range targetModels {
		name := fmt.Sprintf("m%d", i)
		models[name] = route.Model{Name: name, Size: 70_000, FromStore: 9 * time.Second, FromDisk: 2 * time.Second, FromMemory: time.Second}
	}
	engine := &route.Engine{Slots: 64, Memory: 230_000, AdapterSlots: 8, KVCapacity: 130_000, LoadsPerSecond: 2, Models: models}
	s := New(Settings{FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second})
	s.Apply(now, RoutesAdopted{Table: route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: llm, Engine: engine}})})
	list := make([]EndpointEntry, 0, targetEndpoints)
	for i := range targetEndpoints {
		m := testEntry(fmt.Sprintf("i-%05d", i), llm)
		m.Stock = stock.Report{Instance: m.Instance}
		for n := range modelsPerEndpoint {
			m.Stock.Models = append(m.Stock.Models, stock.LoadedModel{Model: fmt.Sprintf("m%d", (i*modelsPerEndpoint+n)%targetModels)})
		}
		list = append(list, m)
	}
	s.Apply(now, EndpointsListed{List: list})
	now = now.Add(firstReportTimeout)
	for n := range targetModels {
		serveRequest(s, now, n)
	}
	for i, m := range list {
		r := stock.Report{Instance: m.Instance, KVTotal: 130_000, Routers: 4, Running: i % 20, Models: m.Stock.Models}
		s.Apply(now, AgentReported{Report: r})
	}
	return s, now
}

func largeFleetRequest(now time.Time, n int) Request {
	return Request{
		AttemptID: "a", Route: streamRoute(), Service: llm, Item: stock.Item{Model: fmt.Sprintf("m%d", n%targetModels)},
		TokensIn: 1400, TokensOut: 170, Deadline: now.Add(15 * time.Second), LastEvent: NoEvent,
		Prefix: []PromptPart{{"p", 350}, {fmt.Sprintf("s%d", n%997), 1050}},
	}
}

// BenchmarkRequestAtTarget measures the processing of all events of one request.
func BenchmarkRequestAtTarget(b *testing.B) {
	s, now := largeFleetState(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		serveRequest(s, now, n)
	}
}

func serveRequest(s *State, now time.Time, n int) {
	id := RequestID(n + 1)
	s.Apply(now, RequestArrived{ID: id, Request: largeFleetRequest(now, n)})
	s.Apply(now, AnswerStarted{ID: id})
	s.Apply(now, AttemptEnded{ID: id, Result: Done, LastEvent: 56})
}

// BenchmarkChooseAtTarget measures the selection of an endpoint.
func BenchmarkChooseAtTarget(b *testing.B) {
	s, now := largeFleetState(b)
	s.now = now
	requests := make([]*request, targetModels)
	for n := range requests {
		requests[n] = &request{Request: largeFleetRequest(now, n)}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if e, _ := s.choose(requests[n%targetModels]); e == nil {
			b.Fatal("no endpoint")
		}
	}
}

// BenchmarkReportAtTarget measures the processing of one agent's report.
func BenchmarkReportAtTarget(b *testing.B) {
	s, now := largeFleetState(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e := s.endpoints[n%targetEndpoints]
		s.Apply(now, AgentReported{Report: e.Stock})
	}
}

// Selecting an endpoint scans only the holders of the model, independently of the size of
// the fleet.
func TestChooseScansHoldersOnly(t *testing.T) {
	s, now := largeFleetState(t)
	s.Apply(now, RequestArrived{ID: 1, Request: largeFleetRequest(now, 7)})
	holders := targetEndpoints * modelsPerEndpoint / targetModels
	assert.Len(t, s.candidates(llm, "m7"), holders)
	allocs := testing.AllocsPerRun(200, func() { serveRequest(s, now, 10) })
	assert.LessOrEqual(t, allocs, 40.0, "allocations per request")
}

// BenchmarkEndpointsListedAtTarget measures the processing of a complete endpoint list in which one
// entry has changed, including the selection of the agents to follow.
func BenchmarkEndpointsListedAtTarget(b *testing.B) {
	s, now := largeFleetState(b)
	list := make([]EndpointEntry, 0, targetEndpoints)
	for _, e := range s.endpoints {
		m := e.EndpointEntry
		m.Stock = e.listedStock
		list = append(list, m)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m := &list[n%targetEndpoints]
		m.Leaving = !m.Leaving
		s.Apply(now, EndpointsListed{List: list})
	}
}

// BenchmarkAdoptRoutesAtTarget measures the step that adopts routes while requests wait, with the
// review of replicas that may be due in the same step.
func BenchmarkAdoptRoutesAtTarget(b *testing.B) {
	const waitingRequests = 400
	s, now := largeFleetState(b)
	for _, e := range s.endpoints {
		e.Leaving = true
	}
	s.listDeadline = now.Add(time.Hour)
	for n := range waitingRequests {
		s.Apply(now, RequestArrived{ID: RequestID(1_000_000 + n), Request: largeFleetRequest(now, n)})
	}
	assert.Len(b, s.waiting, waitingRequests)
	version := s.table.Version
	var longest time.Duration
	for b.Loop() {
		version++
		next := *s.table
		next.Version = version
		now = now.Add(time.Millisecond)
		startedAt := time.Now()
		s.Apply(now, RoutesAdopted{Table: &next})
		longest = max(longest, time.Since(startedAt))
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-µs")
}
