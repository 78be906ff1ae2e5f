package swapd

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/stock"
	"chervilreach/io/line"
)

// TestNewRoutesAreTold: routers learn at once that an agent has newer routes,
// however seldom they want reports.
func TestNewRoutesAreTold(t *testing.T) {
	t.Parallel()
	clock := &event.Clock{}
	d := New(Options{Log: zerolog.Nop(), Clock: clock, Recorder: line.New("a", clock, line.DefaultLimits())})
	_, reports := d.addRouter()
	d.AdoptRoutes(nil, 1, nil)
	require.Empty(t, reports, "nothing is known of the endpoint")
	d.publish(stock.Report{Instance: "i-1"})
	<-reports
	d.AdoptRoutes(nil, 2, nil)
	require.Len(t, reports, 1)
	<-reports
	d.AdoptRoutes(nil, 2, nil)
	require.Empty(t, reports, "the same routes")
}
