package swapd

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMalformedAnswersAreCountedAndLogged checks that an endpoint that sends malformed answers for
// minutes shows in the health and the metrics, and in at most one line a minute of the log.
func TestMalformedAnswersAreCountedAndLogged(t *testing.T) {
	malformed := fmt.Errorf("read report: %w", ErrMalformedAnswer)
	tests := map[string]struct {
		errs      []error
		count     int64
		lines     int
		lastError string
	}{
		"sound":              {errs: []error{nil}},
		"does not answer":    {errs: []error{errors.New("timeout")}, lastError: "timeout"},
		"malformed":          {errs: []error{malformed}, count: 1200, lines: 2, lastError: malformed.Error()},
		"malformed at times": {errs: []error{malformed, nil}, count: 600, lines: 2},
	}
	const polls, interval = 1200, 100 * time.Millisecond
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			registry := metrics.NewRegistry()
			h := newHealthRecord(zerolog.New(&log), registry)
			start := time.Unix(1_800_000_000, 0)
			for n := range polls {
				h.notePoll(start.Add(time.Duration(n)*interval), c.errs[n%len(c.errs)])
			}
			assert.Equal(t, c.count, h.get().MalformedCount)
			assert.Equal(t, c.lastError, h.get().Error)
			assert.Equal(t, c.lines, strings.Count(log.String(), "malformed answers"))
			counter, ok := registry.Get(metricMalformedAnswers).(metrics.Counter)
			require.True(t, ok)
			assert.Equal(t, c.count, counter.Count())
		})
	}
}

// TestHealthChangedAt checks the time at which the endpoint began to fail or to answer.
func TestHealthChangedAt(t *testing.T) {
	h := newHealthRecord(zerolog.Nop(), nil)
	start := time.Unix(1_800_000_000, 0)
	assert.True(t, h.get().ChangedAt.IsZero())
	changedAt := start
	for n, err := range []error{nil, nil, errors.New("timeout"), errors.New("refused"), nil} {
		now := start.Add(time.Duration(n) * time.Second)
		h.notePoll(now, err)
		if n == 2 || n == 4 {
			changedAt = now
		}
		assert.Equal(t, changedAt, h.get().ChangedAt, n)
	}
}
