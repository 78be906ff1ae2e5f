package agentd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"chervilreach/core/agent"
	"chervilreach/core/event"
)

// noopRecorder is a loop.Recorder that records nothing.
type noopRecorder struct{}

func (noopRecorder) Event(time.Time, event.Event) {}

func (noopRecorder) Effect(time.Time, event.Effect) {}

// TestReportsChangeOnlyWithState checks that the sequence number of the report stays the
// same while the agent's state does, so that an idle agent sends few reports.
func TestReportsChangeOnlyWithState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := New(Options{
			Endpoint: "e", Instance: 1, Reducer: agent.New(agent.Options{LoadTime: time.Second}),
			Recorder: noopRecorder{}, Clock: &event.Clock{}, Metrics: metrics.NewRegistry(),
		})
		d.ctx = ctx
		go d.loop.Run(ctx, noopExecutor{})
		go d.refreshReports(ctx)
		d.loop.Post(agent.Started{Endpoint: "e", Instance: 1})
		time.Sleep(time.Minute)
		idleSequence := d.report.Load().GetSequence()
		require.LessOrEqual(t, idleSequence, uint64(2))
		d.loop.Post(agent.DrainRequested{})
		time.Sleep(time.Second)
		require.Equal(t, idleSequence+1, d.report.Load().GetSequence())
		cancel()
		synctest.Wait()
	})
}

// noopExecutor is a loop.Executor that ignores all effects.
type noopExecutor struct{}

func (noopExecutor) Do(event.Effect) {}
