package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/line"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

type agentSource struct{}

func (agentSource) Healthy() error { return nil }
func (agentSource) Ready() error   { return nil }
func (agentSource) Status() admin.Status {
	return admin.Status{Process: "agent-1", Revision: 5, Agent: &admin.AgentStatus{
		Endpoint: "e-1",
		Models:   []admin.ModelStatus{{Model: "m@1", State: fleet.LoadStateLoading, Why: "3 requests wait"}},
	}, ConvictedParts: []admin.ConvictedPart{{
		Part: "00000000000000a1", CrashCount: 3, AgeMs: 90_000, Until: time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC),
	}}}
}

// listen serves the handler on loopback and returns the address.
func listen(t *testing.T, handler http.Handler) addrFlag {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return addrFlag{netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// agentProcess serves the administration API of an agent with a short timeline.
func agentProcess(t *testing.T) addrFlag {
	t.Helper()
	r := line.New("agent-1", &event.Clock{}, line.DefaultLimits())
	now := time.Now()
	r.Event(now, event.Tick{})
	r.Effect(now, event.Note{Change: "load", Model: "m@1"})
	r.Effect(now, event.Note{Change: "load", Model: "n@1"})
	return listen(t, admin.Handler(admin.HandlerConfig{Source: agentSource{}, Recorder: r, Metrics: metrics.NewRegistry()}))
}

// hostList serves a host list with one process that answers and one that does not.
func hostList(t *testing.T) addrFlag {
	t.Helper()
	list := fleet.HostList{Hosts: []fleet.Host{
		{ID: "h-1", AdminAddr: agentProcess(t).AddrPort},
		{ID: "h-2", AdminAddr: netip.MustParseAddrPort("127.0.0.1:1")},
	}}
	return listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(list) }))
}

func TestTimelineCommand(t *testing.T) {
	t.Run("text", func(t *testing.T) {
		c := timelineCommand{processOptions: processOptions{Processes: []addrFlag{agentProcess(t)}, Wait: time.Minute}}
		var out, warnings bytes.Buffer
		require.NoError(t, c.run(t.Context(), &out, &warnings))
		require.Contains(t, out.String(), "agent-1  effect  note  change=load model=m@1")
		require.NotContains(t, out.String(), "tick")
		require.Empty(t, warnings.String())
	})
	t.Run("missing process", func(t *testing.T) {
		c := timelineCommand{processOptions: processOptions{Hosts: hostList(t), Wait: time.Minute}, Model: "m", JSON: true}
		var out, warnings bytes.Buffer
		require.ErrorIs(t, c.run(t.Context(), &out, &warnings), errUnanswered)
		var g admin.MergedTimeline
		require.NoError(t, json.Unmarshal(out.Bytes(), &g))
		require.Len(t, g.Lines, 1)
		require.Contains(t, warnings.String(), "h-2 (127.0.0.1:1): no answer")
	})
	t.Run("record and page", func(t *testing.T) {
		dir := t.TempDir()
		c := timelineCommand{
			processOptions: processOptions{Processes: []addrFlag{agentProcess(t)}, Wait: time.Minute},
			RecordingFile:  filepath.Join(dir, "record.jsonl"),
			HTMLFile:       filepath.Join(dir, "page.html"),
			Limit:          1,
		}
		var out, warnings bytes.Buffer
		require.NoError(t, c.run(t.Context(), &out, &warnings))
		file, err := os.Open(c.RecordingFile)
		require.NoError(t, err)
		defer file.Close()
		lines, err := line.Read(file)
		require.NoError(t, err)
		require.Len(t, lines, 3)
		require.Equal(t, "tick", lines[0].Kind)
		page, err := os.ReadFile(c.HTMLFile)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(page), "<!doctype html>"))
		require.Equal(t, "2 lines of 1 processes\n", out.String())
	})
}

func TestTimelineLimit(t *testing.T) {
	tests := map[string]struct {
		command   timelineCommand
		processes int
		want      int
	}{
		"few processes":  {command: timelineCommand{Limit: 100}, processes: 3, want: 100},
		"many processes": {command: timelineCommand{Limit: 20_000}, processes: 4000, want: 125},
		"no limit":       {command: timelineCommand{}, processes: 4000, want: 0},
		"record":         {command: timelineCommand{Limit: 100, RecordingFile: "x"}, processes: 4000, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.command.filter(time.Now(), tt.processes).MaxLines)
		})
	}
}

func TestTimelineReport(t *testing.T) {
	var out bytes.Buffer
	err := writeWarnings(&out, admin.MergedTimeline{Processes: []admin.ProcessTimeline{
		{Process: "a", LineCount: 7, DroppedLines: 3}, {Error: "b: no answer"},
	}}, 7)
	require.ErrorIs(t, err, errUnanswered)
	require.Equal(t, "a: 3 older events and effects are no longer held\na: only the newest 7 lines were asked for\nb: no answer\n", out.String())
}

func TestStatusCommand(t *testing.T) {
	c := statusCommand{processOptions: processOptions{Hosts: hostList(t), Wait: time.Minute}}
	var out bytes.Buffer
	require.ErrorIs(t, c.run(t.Context(), &out), errUnanswered)
	require.Contains(t, out.String(), "accepted revision 5 in force at 1 of 1 processes that answered\n")
	require.Regexp(t, `h-2 +- +- +- +no answer`, out.String())
	require.Regexp(t, `00000000000000a1 +3 +1m30s +2026-01-31 09:00:00 +\[agent-1\]`, out.String())
	require.Regexp(t, `m@1 +0 +1 +0 +0 +0 +0 +e-1 loading since \d{4}-\d\d-\d\d \d\d:\d\d:\d\d: 3 requests wait`, out.String())

	c.JSON = true
	out.Reset()
	require.ErrorIs(t, c.run(t.Context(), &out), errUnanswered)
	var summary admin.Summary
	require.NoError(t, json.Unmarshal(out.Bytes(), &summary))
	require.Len(t, summary.Failed(), 1)
	require.Equal(t, 1, summary.Models[0].LoadingCount)
}

// TestStatusOfSwap checks what is shown of an agent whose endpoint sends what is no answer.
func TestStatusOfSwap(t *testing.T) {
	changedAt := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		answers admin.EndpointAnswers
		want    string
	}{
		"sound":  {answers: admin.EndpointAnswers{ChangedAt: changedAt}, want: ""},
		"failed": {answers: admin.EndpointAnswers{ChangedAt: changedAt, Error: "timeout"}, want: "endpoint fails since 2026-01-31 09:00:00: timeout"},
		"malformed, then sound": {
			answers: admin.EndpointAnswers{ChangedAt: changedAt, MalformedCount: 3}, want: "3 malformed answers of the endpoint",
		},
		"malformed": {
			answers: admin.EndpointAnswers{ChangedAt: changedAt, Error: "too long", MalformedCount: 3},
			want:    "endpoint fails since 2026-01-31 09:00:00: too long; 3 malformed answers of the endpoint",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			role, detail := roleAndDetail(&admin.Status{Endpoint: &tt.answers})
			require.Equal(t, "swap", role)
			require.Equal(t, tt.want, detail)
		})
	}
}

func TestProcessArguments(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"no process":       {args: []string{"status"}, want: ExitUsage},
		"host name":        {args: []string{"status", "--process", "localhost:80"}, want: ExitUsage},
		"no wait":          {args: []string{"status", "--process", "127.0.0.1:1", "--wait", "0s"}, want: ExitUsage},
		"bad time":         {args: []string{"timeline", "--process", "127.0.0.1:1", "--since", "noon"}, want: ExitUsage},
		"negative limit":   {args: []string{"timeline", "--process", "127.0.0.1:1", "--limit=-1"}, want: ExitUsage},
		"no part":          {args: []string{"acquit", "--process", "127.0.0.1:1"}, want: ExitUsage},
		"bad part":         {args: []string{"acquit", "deadly", "--process", "127.0.0.1:1"}, want: ExitUsage},
		"part, no process": {args: []string{"acquit", "0123456789abcdef"}, want: ExitUsage},
		"part, no answer":  {args: []string{"acquit", "0123456789abcdef", "--process", "127.0.0.1:1"}, want: ExitFailed},
		"no host list":     {args: []string{"status", "--hosts", "127.0.0.1:1"}, want: ExitFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Run(tt.args))
		})
	}
}

func TestTimeFlag(t *testing.T) {
	now := time.UnixMilli(1_000_000).UTC()
	tests := map[string]struct {
		text    string
		want    time.Time
		wantErr bool
	}{
		"relative": {text: "10s", want: now.Add(-10 * time.Second)},
		"absolute": {text: "2026-01-31T09:00:00Z", want: time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC)},
		"future":   {text: "-10s", wantErr: true},
		"invalid":  {text: "noon", wantErr: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m timeFlag
			err := m.UnmarshalFlag(tt.text)
			require.Equal(t, tt.wantErr, err != nil)
			require.Equal(t, tt.want, m.resolve(now))
		})
	}
}
