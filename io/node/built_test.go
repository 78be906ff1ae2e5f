package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/line"
	"chervilreach/io/node"
)

// recordedLines returns the recording of a router: the header, a host list and a tick with their
// effects, and a last tick whose effects are missing.
func recordedLines(t *testing.T) []event.Line {
	t.Helper()
	built := node.Built{Role: node.RoleRouter, Process: "r", HostLag: time.Second, LoadTime: time.Second, MaxRunning: 1, MaxAckTimeout: time.Second}
	r := line.New("r", &event.Clock{}, line.DefaultLimits(), line.WithHeader(built))
	reducer := router.New(router.Options{Process: "r", HostLag: time.Second, LoadTime: time.Second, MaxRunning: 1, MaxAckTimeout: time.Second})
	now := time.UnixMilli(1_700_000_000_000).UTC()
	host := fleet.Host{ID: "h", Role: fleet.HostRoleEndpoint, Endpoint: "e", State: fleet.HostLive}
	list := fleet.HostList{AsOf: now, Hosts: []fleet.Host{host}}
	for _, ev := range []event.Event{router.HostsListed{List: list}, event.Tick{}} {
		r.Event(now, ev)
		for _, eff := range reducer.Apply(now, ev) {
			r.Effect(now, eff)
		}
	}
	r.Event(now, event.Tick{})
	lines, err := r.Select(r.Snapshot(now), line.Filter{IncludeRoutine: true})
	require.NoError(t, err)
	return lines
}

// TestReplay replays a complete recording, and recordings whose header or lines are missing or
// changed.
func TestReplay(t *testing.T) {
	tests := map[string]struct {
		change func(lines []event.Line) []event.Line
		events int
		want   error
	}{
		"unchanged":           {change: func(l []event.Line) []event.Line { return l }, events: 2},
		"no header":           {change: func(l []event.Line) []event.Line { return l[1:] }, want: node.ErrNoRecordingHeader},
		"unknown role":        {change: func(l []event.Line) []event.Line { l[0].Body = []byte(`{"role":"judge"}`); return l }, want: node.ErrNoRecordingHeader},
		"missing effect":      {change: func(l []event.Line) []event.Line { return append(l[:2:2], l[3:]...) }, want: node.ErrIncompleteRecording},
		"missing first event": {change: func(l []event.Line) []event.Line { return append(l[:1:1], l[2:]...) }, want: node.ErrIncompleteRecording},
		"changed effect":      {change: func(l []event.Line) []event.Line { l[2].Body = []byte(`{}`); return l }, events: 1, want: event.ErrReplayDiffers},
		"only the header":     {change: func(l []event.Line) []event.Line { return l[:1] }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lines := recordedLines(t)
			require.True(t, lines[2].Effect)
			replayed := node.Replay(tt.change(lines))
			require.Len(t, replayed, 1)
			require.Equal(t, fleet.ProcessID("r"), replayed[0].Process)
			require.Equal(t, tt.events, replayed[0].EventCount)
			require.ErrorIs(t, replayed[0].Err, tt.want)
		})
	}
}
