package relayd

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/line"
)

// Guards against requests that are matched with routes before the reducer has them, and are refused
// because the reducer does not know their model yet.
func TestRoutesAreUsedOnceTheReducerHasThem(t *testing.T) {
	t.Parallel()
	clock := &event.Clock{}
	d := New(Options{Log: zerolog.Nop(), Clock: clock, Recorder: line.New("router", clock, line.DefaultLimits())})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var posted atomic.Int64
	go func() {
		for d.loop.Post(relay.CallerDone{}) {
			posted.Add(1)
		}
	}()
	require.Eventually(t, func() bool {
		n := posted.Load()
		time.Sleep(20 * time.Millisecond)
		return n > 0 && n == posted.Load()
	}, 5*time.Second, time.Millisecond, "the queue is full")
	go d.AdoptRoutes(route.NewTable(2, route.Limits{}, nil, nil), Origin{})
	require.Never(t, func() bool { return d.RoutesVersion() != 0 }, 100*time.Millisecond, time.Millisecond)
	go d.Run(ctx)
	require.Eventually(t, func() bool { return d.RoutesVersion() == 2 }, 5*time.Second, time.Millisecond)
}
