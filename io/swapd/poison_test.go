package swapd

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
	"chervilreach/io/line"
)

const (
	awaitTime     = 10 * time.Second
	awaitInterval = 5 * time.Millisecond
)

// idleEndpoint is an endpoint without models.
type idleEndpoint struct{}

func (idleEndpoint) Identify(context.Context) (string, error)       { return "i-1", nil }
func (idleEndpoint) Runs(context.Context) (stock.Runs, error)       { return stock.Runs{}, nil }
func (idleEndpoint) Reach(context.Context) error                    { return nil }
func (idleEndpoint) Observe(context.Context) (swap.Snapshot, error) { return swap.Snapshot{}, nil }
func (idleEndpoint) SendOrder(context.Context, swap.Order) (swap.Answer, error) {
	return swap.Unanswered, nil
}

func TestConvictionsAreListedAndLifted(t *testing.T) {
	t.Parallel()
	clock := &event.Clock{}
	registry := metrics.NewRegistry()
	d := New(Options{
		Metrics: registry, Endpoint: idleEndpoint{}, Log: zerolog.Nop(), Clock: clock, Recorder: line.New("a", clock, line.DefaultLimits()),
		OnStaleRoutes: func(int64) {}, OnRoutesDoubted: func() {},
	})
	go d.Run(t.Context())
	d.loop.Post(swap.RouterConnected{Router: 1})
	now := time.Now()
	valid := []poison.Verdict{{Part: 1, DecidedAt: now, CrashCount: 3}, {Part: 2, DecidedAt: now, CrashCount: 4}}
	d.loop.Post(swap.VerdictsReported{Verdicts: append(valid, poison.Verdict{Part: 4, DecidedAt: now, Lifted: true})})
	require.Eventually(t, func() bool { return len(d.Convictions()) == 2 }, awaitTime, awaitInterval)
	assert.Equal(t, valid, d.Convictions())
	gauge, ok := registry.Get(metricConvictions).(metrics.Gauge)
	require.True(t, ok)
	assert.Equal(t, int64(2), gauge.Value())

	require.ErrorIs(t, d.Acquit(9), poison.ErrNotConvicted)
	require.ErrorIs(t, d.Acquit(4), poison.ErrNotConvicted, "lifted already")
	require.NoError(t, d.Acquit(1))
	require.Eventually(t, func() bool { return len(d.Convictions()) == 1 }, awaitTime, awaitInterval)
	assert.Equal(t, valid[1:], d.Convictions())
}
