package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/line"

	"github.com/stretchr/testify/require"
)

// target returns the target of a server.
func target(name string, server *httptest.Server) admin.Target {
	return admin.Target{Name: name, Admin: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// unreachableTarget returns a target whose address refuses connections.
func unreachableTarget(name string) admin.Target {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return target(name, server)
}

// TestGather merges the timeline of one process with those of an unreachable process, one that
// sends a malformed line, and one that answers with an error. Each failure must be reported.
func TestGather(t *testing.T) {
	good, recorder := serve(t, source{})
	odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"stamp":1,"at":"2026-01-01T00:00:00Z","process":"x","kind":"y","body":{}}` + "\nrubbish\n"))
	}))
	defer odd.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no time line today", http.StatusInternalServerError)
	}))
	defer broken.Close()
	recorder.Event(time.Now(), event.Tick{})

	targets := []admin.Target{target("good", good), unreachableTarget("gone"), target("odd", odd), target("broken", broken)}
	g := admin.NewClient().GatherTimelines(t.Context(), targets, time.Minute, line.Filter{})
	require.Len(t, g.Lines, 2)
	require.NotZero(t, g.CompleteUntil)
	require.Equal(t, admin.ProcessTimeline{Target: targets[0], Process: "p", LineCount: 2}, g.Processes[0])
	require.Len(t, g.Failed(), 3)
	require.Contains(t, g.Processes[1].Error, "gone")
	require.Contains(t, g.Processes[1].Error, admin.ErrNoAnswer.Error())
	require.Contains(t, g.Processes[2].Error, "odd")
	require.Contains(t, g.Processes[2].Error, "line 2: malformed line")
	require.Contains(t, g.Processes[3].Error, "no time line today")

	page := g.Page(time.Now())
	require.Equal(t, "p", page.Lanes[0].Name)
	require.Equal(t, "gone", page.Lanes[1].Name)
	require.NotEmpty(t, page.Lanes[1].Error)
}

// TestGatherFilter checks that the client sends each field of the filter to the process.
func TestGatherFilter(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		filter line.Filter
		want   int
	}{
		"none":     {want: 2},
		"all":      {filter: line.Filter{IncludeRoutine: true}, want: 3},
		"model":    {filter: line.Filter{Model: "minutes"}, want: 1},
		"endpoint": {filter: line.Filter{Endpoint: "e"}},
		"limit":    {filter: line.Filter{MaxLines: 1}, want: 1},
		"since":    {filter: line.Filter{Since: now.Add(time.Hour)}},
		"until":    {filter: line.Filter{Until: now.Add(-time.Hour)}},
	}
	server, _ := serve(t, source{})
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := admin.NewClient().GatherTimelines(t.Context(), []admin.Target{target("p", server)}, time.Minute, tt.filter)
			require.Empty(t, g.Failed())
			require.Len(t, g.Lines, tt.want)
		})
	}
}

// TestTargets checks that hosts without an administration address are left out.
func TestTargets(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	list := fleet.HostList{Hosts: []fleet.Host{{ID: "h-1", AdminAddr: addr}, {ID: "no-process"}}}
	require.Equal(t, []admin.Target{{Name: "h-1", Admin: addr}}, admin.Targets(list))
}

// TestQueryAllLimitsConcurrency checks that QueryAll sends at most 64 requests at the
// same time and applies the timeout to each of them: 200 requests that are never
// answered take four timeouts.
func TestQueryAllLimitsConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, maxRunning atomic.Int64
		begin := time.Now()
		answers := admin.QueryAll(t.Context(), make([]admin.Target, 200), time.Second, func(ctx context.Context, _ admin.Target) (int, error) {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			defer running.Add(-1)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		require.Len(t, answers, 200)
		for _, a := range answers {
			require.ErrorIs(t, a.Err, context.DeadlineExceeded)
		}
		require.Equal(t, int64(64), maxRunning.Load())
		require.Equal(t, 4*time.Second, time.Since(begin))
	})
}

// TestSummarizeConvictedParts checks that the latest conviction of each part is shown, with all
// processes that have one.
func TestSummarizeConvictedParts(t *testing.T) {
	until := time.UnixMilli(1_000_000).UTC()
	part := func(name string, crashes int, ageMs int64) admin.ConvictedPart {
		return admin.ConvictedPart{Part: name, CrashCount: crashes, AgeMs: ageMs, Until: until}
	}
	s := admin.Summarize([]admin.Answer[admin.Status]{
		{Value: admin.Status{Process: "router", ConvictedParts: []admin.ConvictedPart{part("0b", 3, 500)}}},
		{Value: admin.Status{Process: "agent", ConvictedParts: []admin.ConvictedPart{part("0a", 3, 900), part("0b", 1, 400)}}},
		{Value: admin.Status{Process: "new"}},
	})
	require.Equal(t, []admin.ConvictionSummary{
		{ConvictedPart: part("0a", 3, 900), Processes: []fleet.ProcessID{"agent"}},
		{ConvictedPart: part("0b", 1, 400), Processes: []fleet.ProcessID{"router", "agent"}},
	}, s.ConvictedParts)
}

// TestSummarize checks the number of endpoints with a model by state. The report of an
// endpoint's own agent takes precedence over those of routers, and of these the latest counts.
func TestSummarize(t *testing.T) {
	models := func(state fleet.LoadState) []admin.ModelStatus {
		return []admin.ModelStatus{{Model: "m@1", State: state}}
	}
	bad := admin.RecordError{Record: "models/m", Revision: 9, Detail: "no version"}
	router := admin.Status{Process: "router", Revision: 8, RecordErrors: []admin.RecordError{bad}, Router: &admin.RouterStatus{Endpoints: []admin.EndpointStatus{
		{Endpoint: "e-1", Sequence: 9, Models: models("warm")},
		{Endpoint: "e-2", Sequence: 9, Models: models("loading")},
	}}}
	later := admin.Status{Process: "later", Revision: 8, RecordErrors: []admin.RecordError{bad}, Router: &admin.RouterStatus{Endpoints: []admin.EndpointStatus{
		{Endpoint: "e-2", Incarnation: 1, Sequence: 2, Models: models("warm")},
		{Endpoint: "e-4", Models: models("waiting")},
		{Endpoint: "e-5", Models: models("doubtful")},
	}}}
	agent := admin.Status{Process: "agent", Revision: 7, Agent: &admin.AgentStatus{Endpoint: "e-1", Models: models("unloading")}}
	other := admin.Status{Process: "other", Revision: 8, Agent: &admin.AgentStatus{Endpoint: "e-3", Models: models("cold")}}
	s := admin.Summarize([]admin.Answer[admin.Status]{
		{Value: agent}, {Value: router}, {Err: errors.New("silent")}, {Value: later}, {Value: other},
	})
	require.Len(t, s.Failed(), 1)
	require.Equal(t, []admin.RevisionSummary{
		{Revision: 8, Processes: []fleet.ProcessID{"router", "later", "other"}},
		{Revision: 7, Processes: []fleet.ProcessID{"agent"}},
	}, s.Revisions)
	require.Equal(t, []admin.RecordError{bad}, s.RecordErrors)
	require.Equal(t, []admin.ModelSummary{{
		Model: "m@1", WarmCount: 1, UnloadingCount: 1, WaitingCount: 1, DoubtfulCount: 1, ColdCount: 1,
		Places: []admin.Place{
			{Endpoint: "e-1", Source: "agent", ModelStatus: agent.Agent.Models[0]},
			{Endpoint: "e-2", Source: "later", ModelStatus: later.Router.Endpoints[0].Models[0]},
			{Endpoint: "e-3", Source: "other", ModelStatus: other.Agent.Models[0]},
			{Endpoint: "e-4", Source: "later", ModelStatus: later.Router.Endpoints[1].Models[0]},
			{Endpoint: "e-5", Source: "later", ModelStatus: later.Router.Endpoints[2].Models[0]},
		},
	}}, s.Models)
}
