package relayd

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/relay"
	"chervilreach/core/stock"
	"chervilreach/io/line"
)

const (
	awaitTime     = 10 * time.Second
	awaitInterval = 5 * time.Millisecond
)

// startRouter starts a router that knows one endpoint without an agent.
func startRouter(t *testing.T) *Daemon {
	t.Helper()
	clock := &event.Clock{}
	d := New(Options{
		Log: zerolog.Nop(), Clock: clock, Recorder: line.New("r", clock, line.DefaultLimits()),
		AgentAddr: func(relay.EndpointEntry) netip.AddrPort { return netip.AddrPort{} },
	})
	go d.Run(t.Context())
	d.SetEndpoints([]relay.EndpointEntry{{Instance: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1")}}, false, time.Now())
	return d
}

func TestConvictionsAreListedAndLifted(t *testing.T) {
	t.Parallel()
	d := startRouter(t)
	now := time.Now()
	valid := []poison.Verdict{{Part: 1, DecidedAt: now, CrashCount: 3}, {Part: 2, DecidedAt: now, CrashCount: 4}}
	d.loop.Post(relay.AgentReported{Report: stock.Report{Instance: "i-1", Verdicts: append(valid,
		poison.Verdict{Part: 3, DecidedAt: now.Add(-24 * time.Hour), CrashCount: 3},
		poison.Verdict{Part: 4, DecidedAt: now, Lifted: true},
	)}})
	require.Eventually(t, func() bool { return len(d.Convictions()) == 2 }, awaitTime, awaitInterval)
	assert.Equal(t, valid, d.Convictions())
	gauge, ok := d.meters.registry.Get(metricConvictions).(metrics.Gauge)
	require.True(t, ok)
	assert.Equal(t, int64(2), gauge.Value())

	require.ErrorIs(t, d.Acquit(9), poison.ErrNotConvicted)
	require.ErrorIs(t, d.Acquit(3), poison.ErrNotConvicted, "expired")
	require.NoError(t, d.Acquit(1))
	require.Eventually(t, func() bool { return len(d.Convictions()) == 1 }, awaitTime, awaitInterval)
	assert.Equal(t, valid[1:], d.Convictions())
	require.ErrorIs(t, d.Acquit(1), poison.ErrNotConvicted)
}

// The copy of the convictions must not grow by those that have expired.
func TestExpiredConvictionsAreForgotten(t *testing.T) {
	t.Parallel()
	d := New(Options{Log: zerolog.New(&bytes.Buffer{})})
	now := time.Now()
	long := poison.Verdict{Part: 1, DecidedAt: now}
	short := poison.Verdict{Part: 2, DecidedAt: now.Add(now.Sub(long.ExpiresAt()) + 20*time.Millisecond)}
	d.noteVerdict(long)
	d.noteVerdict(short)
	require.Eventually(t, func() bool { return !poison.Includes(d.Convictions(), 2) }, awaitTime, awaitInterval)
	d.noteVerdict(poison.Verdict{Part: 3, DecidedAt: now})
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Len(t, d.convictions, 2)
}
