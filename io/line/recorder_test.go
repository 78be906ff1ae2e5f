package line_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/line"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// arrived is an event with a request and, in Body, a value of any size.
type arrived struct {
	Request fleet.RequestID `json:"request"`
	Target  fleet.Target    `json:"target"`
	Body    []byte          `json:"body,omitempty"`
}

func (arrived) Kind() string { return "arrived" }

var start = time.UnixMilli(1_700_000_000_000).UTC()

// recordedLines returns the lines of the recorder that the filter matches.
func recordedLines(t *testing.T, r *line.Recorder, f line.Filter) []event.Line {
	t.Helper()
	lines, err := r.Select(r.Snapshot(start), f)
	require.NoError(t, err)
	return lines
}

func ExampleRecorder() {
	var clock event.Clock
	r := line.New("router-1", &clock, line.DefaultLimits())
	r.Event(start, arrived{Request: "r-1"})
	r.Effect(start, event.Note{Change: "load", Model: "minutes@1"})
	lines, err := r.Select(r.Snapshot(start), line.Filter{Model: "minutes"})
	if err != nil {
		fmt.Println(err)
	}
	for _, l := range lines {
		fmt.Println(l.Process, l.Kind, string(l.Body))
	}
	// Output: router-1 note {"change":"load","model":"minutes@1"}
}

// TestRingBounds checks that a ring keeps the newest entries within its limits, and that the
// discarded ones are counted.
func TestRingBounds(t *testing.T) {
	tests := map[string]struct {
		limits    line.Limits
		bodyBytes int
		want      int
		dropped   uint64
	}{
		"count":     {limits: line.Limits{MaxEntries: 10, MaxBytes: fleet.MiB}, want: 10, dropped: 90},
		"bytes":     {limits: line.Limits{MaxEntries: 100, MaxBytes: 11 * fleet.KiB}, bodyBytes: 1024, want: 10, dropped: 90},
		"too large": {limits: line.Limits{MaxEntries: 100, MaxBytes: fleet.KiB}, bodyBytes: 1024, want: 0, dropped: 100},
		"none":      {limits: line.Limits{}, want: 0, dropped: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			r := line.New("p", &event.Clock{}, tt.limits, line.WithMetrics(registry))
			for i := range 100 {
				r.Event(start, arrived{Request: fleet.RequestID(fmt.Sprintf("r-%03d", i)), Body: make([]byte, tt.bodyBytes)})
			}
			lines := recordedLines(t, r, line.Filter{})
			require.Len(t, lines, tt.want)
			for i, l := range lines {
				require.Equal(t, fleet.RequestID(fmt.Sprintf("r-%03d", 100-tt.want+i)), l.Subject.Request)
			}
			require.Equal(t, line.DroppedCounts{Others: tt.dropped}, r.Snapshot(start).Dropped)
			require.Equal(t, int64(tt.dropped), metrics.GetOrRegisterCounter("time-line-entries-dropped", registry).Count())
		})
	}
}

// TestRingsApart checks that routine entries don't displace notes and other entries.
func TestRingsApart(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.Limits{MaxEntries: 4, MaxBytes: fleet.MiB, MaxNotes: 2, MaxRoutineEntries: 3})
	r.Effect(start, event.Note{Change: "first"})
	r.Event(start, arrived{Request: "r-0"})
	for range 100 {
		r.Event(start, event.Tick{})
	}
	for range 3 {
		r.Event(start, arrived{Request: "r"})
	}
	lines := recordedLines(t, r, line.Filter{IncludeRoutine: true})
	require.Len(t, lines, 8)
	require.JSONEq(t, `{"change":"first"}`, string(lines[0].Body))
	require.Equal(t, fleet.RequestID("r-0"), lines[1].Subject.Request)
	require.True(t, lines[2].Routine)
	dropped := r.Snapshot(start).Dropped
	require.Zero(t, dropped.CountFor(line.Filter{}))
	require.Equal(t, uint64(97), dropped.CountFor(line.Filter{IncludeRoutine: true}))
}

// TestLargeValuesApart checks that large values don't displace other entries.
func TestLargeValuesApart(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.Limits{MaxEntries: 10, MaxBytes: fleet.MiB, MaxLargeBytes: 100 * fleet.KiB})
	r.Event(start, arrived{Request: "small"})
	for range 100 {
		r.Event(start, arrived{Request: "large", Body: make([]byte, 40<<10)})
	}
	lines := recordedLines(t, r, line.Filter{})
	require.Len(t, lines, 3)
	require.Equal(t, fleet.RequestID("small"), lines[0].Subject.Request)
}

// testHeader is a header of a recorder.
type testHeader struct{}

func (testHeader) Kind() string { return "made" }

// TestHeader checks that the header is recorded before the first entry, is never discarded, and
// is the first entry of each subscription.
func TestHeader(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.Limits{MaxEntries: 2, MaxBytes: fleet.MiB}, line.WithHeader(testHeader{}))
	early := r.Subscribe(8)
	require.Empty(t, recordedLines(t, r, line.Filter{}))
	for range 3 {
		r.Event(start, arrived{})
	}
	lines := recordedLines(t, r, line.Filter{})
	require.Len(t, lines, 3)
	require.Equal(t, "made", lines[0].Kind)
	require.Equal(t, []uint64{0, 2, 3}, []uint64{lines[0].Seq, lines[1].Seq, lines[2].Seq})
	for name, s := range map[string]*line.Subscription{"early": early, "late": r.Subscribe(8)} {
		s.Close()
		var out bytes.Buffer
		require.NoError(t, s.Copy(t.Context(), &out))
		require.Contains(t, strings.SplitN(out.String(), "\n", 2)[0], `"kind":"made"`, name)
	}
}

// TestCountsAndNotes checks that Count effects are added to their counter and Note effects are
// logged.
func TestCountsAndNotes(t *testing.T) {
	var log bytes.Buffer
	registry := metrics.NewRegistry()
	r := line.New("p", &event.Clock{}, line.DefaultLimits(), line.WithMetrics(registry), line.WithLog(zerolog.New(&log)))
	r.Effect(start, event.Count{Name: "loads", N: 2})
	r.Effect(start, event.Count{Name: "loads", N: 1})
	r.Effect(start, event.Note{Change: "unload", Endpoint: "e-1"})
	require.Equal(t, int64(3), metrics.GetOrRegisterCounter("loads", registry).Count())
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.JSONEq(t, `{"level":"info","endpoint":"e-1","message":"unload"}`, log.String())
}

// TestSubscription checks that a subscription delivers the entries recorded after its creation,
// and is closed when its buffer is full.
func TestSubscription(t *testing.T) {
	t.Run("copies later entries", func(t *testing.T) {
		r := line.New("p", &event.Clock{}, line.DefaultLimits())
		r.Event(start, arrived{Request: "before"})
		s := r.Subscribe(8)
		r.Event(start, arrived{Request: "after"})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var out bytes.Buffer
		require.NoError(t, s.Copy(ctx, &out))
		lines, err := line.Read(&out)
		require.NoError(t, err)
		require.Len(t, lines, 1)
		require.Equal(t, fleet.RequestID("after"), lines[0].Subject.Request)
	})
	t.Run("closes when the reader is slow", func(t *testing.T) {
		r := line.New("p", &event.Clock{}, line.DefaultLimits())
		s := r.Subscribe(2)
		for range 3 {
			r.Event(start, event.Tick{})
		}
		var out bytes.Buffer
		require.ErrorIs(t, s.Copy(t.Context(), &out), line.ErrOverrun)
		require.Equal(t, 2, strings.Count(out.String(), "\n"))
	})
}

// TestRecordAllocations checks that recording does not allocate memory.
func TestRecordAllocations(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.Limits{MaxEntries: 64, MaxBytes: fleet.MiB, MaxNotes: 64})
	var ev event.Event = arrived{Request: "r-1", Body: make([]byte, 100)}
	var eff event.Effect = event.Count{Name: "loads", N: 1}
	n := testing.AllocsPerRun(1000, func() {
		r.Event(start, ev)
		r.Effect(start, eff)
	})
	require.Zero(t, n)
}

func BenchmarkRecorder(b *testing.B) {
	r := line.New("p", &event.Clock{}, line.DefaultLimits())
	var ev event.Event = arrived{Request: "r-1", Target: fleet.Target{Model: "minutes@1"}, Body: make([]byte, 100)}
	b.ReportAllocs()
	for b.Loop() {
		r.Event(start, ev)
	}
}
