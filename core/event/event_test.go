package event_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"

	"github.com/stretchr/testify/require"
)

func ExampleClock() {
	var c event.Clock
	now := time.UnixMilli(1000)
	first := c.Next(now)
	c.Observe(first + 5)
	second := c.Next(now)
	fmt.Println(second-first, second.Time().UnixMilli())
	// Output: 6 1000
}

// TestClockBoundsSkew guards against a process whose wall clock is far ahead and
// would advance the clocks of all others.
func TestClockBoundsSkew(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	stamp := func(d time.Duration) event.Stamp { return event.Stamp(now.Add(d).UnixMilli()) << 16 }
	tests := map[string]struct {
		received event.Stamp
		want     bool
	}{
		"behind":           {received: stamp(-time.Hour), want: true},
		"5 min ahead":      {received: stamp(5 * time.Minute), want: true},
		"over 5 min ahead": {received: stamp(5*time.Minute + time.Millisecond)},
		"highest stamp":    {received: event.Stamp(1<<64 - 1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c event.Clock
			before := c.Next(now)
			require.Equal(t, tt.want, c.Observe(tt.received))
			after := c.Next(now)
			require.Greater(t, after, before)
			require.Equal(t, tt.want, after > tt.received)
		})
	}
}

// TestDecode checks that a known event is decoded, and that an unknown kind or field is an error.
func TestDecode(t *testing.T) {
	tests := map[string]struct {
		line    event.Line
		want    event.Event
		wantErr bool
	}{
		"known":         {line: event.Line{Kind: "tick", Body: json.RawMessage(`{}`)}, want: event.Tick{}},
		"unknown kind":  {line: event.Line{Kind: "tock", Body: json.RawMessage(`{}`)}, wantErr: true},
		"unknown field": {line: event.Line{Kind: "tick", Body: json.RawMessage(`{"x":1}`)}, wantErr: true},
	}
	r := event.NewRegistry()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := r.Decode(tt.line)
			if tt.wantErr {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestDecodeUnknownKind(t *testing.T) {
	_, err := event.NewRegistry().Decode(event.Line{Kind: "tock"})
	require.ErrorIs(t, err, event.ErrUnknownKind)
}

// sampleEvent is a value with IDs in different kinds of fields.
type sampleEvent struct {
	Order  *fleet.Order       `json:"order"`
	ID     fleet.RequestID    `json:"id"`
	Second fleet.RequestID    `json:"then"`
	Lists  []fleet.EndpointID `json:"lists"`
}

// TestSubjectOf checks which request, model and endpoint are found in an event or effect.
func TestSubjectOf(t *testing.T) {
	tests := map[string]struct {
		value any
		want  event.Subject
	}{
		"note":              {value: event.Note{Request: "r", Model: "m", Endpoint: "e"}, want: event.Subject{Request: "r", Model: "m", Endpoint: "e"}},
		"IDs by type":       {value: sampleEvent{Order: &fleet.Order{ID: "o", Model: "m"}, ID: "r", Second: "s"}, want: event.Subject{Request: "r", Model: "m"}},
		"lists are ignored": {value: sampleEvent{Lists: []fleet.EndpointID{"e"}}},
		"no IDs":            {value: event.Tick{}},
		"nil":               {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, event.SubjectOf(tt.value))
		})
	}
}
