package relayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStreamTiming checks the time of the first event and the longest pause of a stream.
func TestStreamTiming(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		// events are the times of the events after start.
		events []time.Duration
		first  time.Duration
		pause  time.Duration
	}{
		"one event":         {events: []time.Duration{time.Second}, first: time.Second},
		"even":              {events: []time.Duration{100, 200, 300}, first: 100, pause: 100},
		"pause in between":  {events: []time.Duration{100, 200, 900, 1000}, first: 100, pause: 700},
		"pause at the end":  {events: []time.Duration{0, 10, 500}, first: 0, pause: 490},
		"all at the moment": {events: []time.Duration{5, 5, 5}, first: 5},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var timing streamTiming
			for _, d := range c.events {
				timing.note(start.Add(d))
			}
			assert.Equal(t, start.Add(c.first), timing.firstAt)
			assert.Equal(t, c.pause, timing.longestPause)
		})
	}
}
