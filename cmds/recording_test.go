package cmds

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/io/line"
	"chervilreach/io/node"
)

// tickRecording writes a recording of an agent with three lines: the header, an unknown event and
// a tick. change may alter the lines. It returns the name of the file.
func tickRecording(t *testing.T, change func([]event.Line) []event.Line) string {
	t.Helper()
	built := node.Built{Role: node.RoleAgent, LoadTime: time.Second, MaxRunning: 1}
	r := line.New("agent-1", &event.Clock{}, line.DefaultLimits(), line.WithHeader(built))
	now := time.UnixMilli(1_700_000_000_000).UTC()
	r.Event(now, event.Note{Change: "none"})
	r.Event(now, event.Tick{})
	lines, err := r.Select(r.Snapshot(now), line.Filter{IncludeRoutine: true})
	require.NoError(t, err)
	name := filepath.Join(t.TempDir(), "record.jsonl")
	require.NoError(t, writeFile(name, func(w io.Writer) error { return line.Write(w, change(lines)) }))
	return name
}

func TestReplayRecording(t *testing.T) {
	tests := map[string]struct {
		change func([]event.Line) []event.Line
		want   string
		fails  bool
	}{
		"only the last event": {
			change: func(l []event.Line) []event.Line { return l[:2] },
			want:   "agent-1: 0 events: the same effects\n",
		},
		"gap": {
			change: func(l []event.Line) []event.Line { return append(l[:1:1], l[2:]...) },
			want:   "agent-1: 0 events: record is incomplete: line 1 is missing, the next is 2 at 2023-11-14 22:13:20 +0000 UTC\n",
			fails:  true,
		},
		"unknown event": {
			change: func(l []event.Line) []event.Line { return l },
			want:   "agent-1: 0 events: line 1: decode \"note\": unknown kind of event\n",
			fails:  true,
		},
		"no header": {
			change: func(l []event.Line) []event.Line { return l[1:] },
			want:   "agent-1: 0 events: record does not begin with a header\n",
			fails:  true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			file := tickRecording(t, tt.change)
			recording, err := isRecording(file)
			require.NoError(t, err)
			require.True(t, recording)
			var out bytes.Buffer
			err = replayRecording(&out, file, false)
			require.Equal(t, tt.want, out.String())
			if tt.fails {
				require.ErrorIs(t, err, errReplay)
				return
			}
			require.NoError(t, err)
		})
	}
}

// A trace is not a recording, and a missing file is a usage error.
func TestIsRecording(t *testing.T) {
	name := filepath.Join(t.TempDir(), "trace.jsonl")
	require.NoError(t, os.WriteFile(name, []byte(`{"format":"chervilreach-workload-1"}`+"\n"), 0o600))
	recording, err := isRecording(name)
	require.NoError(t, err)
	require.False(t, recording)
	_, err = isRecording(name + "x")
	require.ErrorIs(t, err, ErrUsage)
}
