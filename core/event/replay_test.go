package event_test

import (
	"encoding/json"
	"testing"
	"time"

	"chervilreach/core/event"

	"github.com/stretchr/testify/require"
)

// countingReducer counts events in steps of step. For each event it emits the count
// and a wake one second later.
type countingReducer struct {
	n    int64
	step int64
}

func (c *countingReducer) Apply(now time.Time, _ event.Event) []event.Effect {
	c.n += c.step
	return []event.Effect{event.Count{Name: "n", N: c.n}, event.Wake{At: now.Add(time.Second)}}
}

// recordTicks returns the recorded lines of n ticks and their effects.
func recordTicks(t *testing.T, n int) []event.Line {
	t.Helper()
	var lines []event.Line
	now := time.UnixMilli(1000).UTC()
	add := func(kind string, effect bool, body any) {
		line, err := event.Encode(now, "p", kind, effect, body)
		require.NoError(t, err)
		lines = append(lines, line)
	}
	c := countingReducer{step: 1}
	for range n {
		now = now.Add(time.Millisecond)
		add("tick", false, event.Tick{})
		for _, eff := range c.Apply(now, event.Tick{}) {
			add(eff.Kind(), true, eff)
		}
	}
	return lines
}

// TestReplay checks which differences between recorded and replayed effects are reported.
func TestReplay(t *testing.T) {
	tests := map[string]struct {
		// step is the step of the reducer in the replay; it was 1 in the recording.
		step int64
		// change changes the recorded lines; nil for none.
		change func(lines []event.Line) []event.Line
		// wantEventCount is the expected number of events from Replay.
		wantEventCount int
		// wantLine is the line at which Replay is expected to report a difference; 0 for none.
		wantLine int
	}{
		"unchanged":                   {step: 1, wantEventCount: 3},
		"extra spaces in JSON":        {step: 1, change: func(l []event.Line) []event.Line { l[1].Body = json.RawMessage(`{ "name":"n", "n":1 }`); return l }, wantEventCount: 3},
		"different reducer":           {step: 2, wantEventCount: 1, wantLine: 2},
		"different event time":        {step: 1, change: func(l []event.Line) []event.Line { l[3].At = l[0].At; return l }, wantEventCount: 2, wantLine: 6},
		"time within a microsecond":   {step: 1, change: func(l []event.Line) []event.Line { l[3].At = l[3].At.Add(time.Microsecond); return l }, wantEventCount: 3},
		"time over a microsecond off": {step: 1, change: func(l []event.Line) []event.Line { l[3].At = l[3].At.Add(time.Microsecond + 1); return l }, wantEventCount: 2, wantLine: 6},
		"different kind":              {step: 1, change: func(l []event.Line) []event.Line { l[1].Kind = "tally"; return l }, wantEventCount: 1, wantLine: 2},
		"field missing":               {step: 1, change: func(l []event.Line) []event.Line { l[1].Body = json.RawMessage(`{"name":"n"}`); return l }, wantEventCount: 1, wantLine: 2},
		"trailing JSON value":         {step: 1, change: func(l []event.Line) []event.Line { l[1].Body = json.RawMessage(`{"name":"n","n":1}{}`); return l }, wantEventCount: 1, wantLine: 2},
		"missing effect":              {step: 1, change: func(l []event.Line) []event.Line { return append(l[:2:2], l[3:]...) }, wantEventCount: 1, wantLine: 3},
		"missing last effect":         {step: 1, change: func(l []event.Line) []event.Line { return l[:8] }, wantEventCount: 3, wantLine: 8},
		"extra effect":                {step: 1, change: func(l []event.Line) []event.Line { return append(l, l[8]) }, wantEventCount: 3, wantLine: 10},
		"effect before any event":     {step: 1, change: func(l []event.Line) []event.Line { return l[1:] }, wantEventCount: 0, wantLine: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lines := recordTicks(t, 3)
			if tt.change != nil {
				lines = tt.change(lines)
			}
			n, err := event.Replay(&countingReducer{step: tt.step}, event.NewRegistry(), lines)
			require.Equal(t, tt.wantEventCount, n)
			if tt.wantLine == 0 {
				require.NoError(t, err)
				return
			}
			var d *event.DifferenceError
			require.ErrorAs(t, err, &d)
			require.ErrorIs(t, err, event.ErrReplayDiffers)
			require.Equal(t, tt.wantLine, d.LineNumber)
			require.Contains(t, d.Error(), "want effect")
		})
	}
}

func TestReplayUnknownKind(t *testing.T) {
	_, err := event.Replay(&countingReducer{}, event.NewRegistry(), []event.Line{{Kind: "tock"}})
	require.ErrorIs(t, err, event.ErrUnknownKind)
	require.NotErrorIs(t, err, event.ErrReplayDiffers)
}
