package swapd

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/stock"
	"chervilreach/io/line"
)

// When the agent gets newer routes, it must send a report at once, even to routers that ask
// for long gaps between reports: the report's frame carries the version of the routes.
func TestNewRoutesAreReported(t *testing.T) {
	t.Parallel()
	clock := &event.Clock{}
	d := New(Options{Log: zerolog.Nop(), Clock: clock, Recorder: line.New("a", clock, line.DefaultLimits())})
	_, reports := d.addRouter()
	d.AdoptRoutes(nil, 1, nil)
	require.Empty(t, reports, "there is no report on the endpoint yet")
	d.publish(stock.Report{Instance: "i-1"}, nil)
	<-reports
	d.AdoptRoutes(nil, 2, nil)
	require.Len(t, reports, 1)
	<-reports
	d.AdoptRoutes(nil, 2, nil)
	require.Empty(t, reports, "the version is unchanged")
}
