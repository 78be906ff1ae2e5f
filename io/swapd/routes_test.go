package swapd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/io/line"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// routesDocument returns a document of many records of which one differs between versions.
func routesDocument(version int64) []byte {
	return fmt.Appendf(nil, "{%d}%s", version, strings.Repeat("{same},", 500))
}

func TestRoutesForARouter(t *testing.T) {
	clock := &event.Clock{}
	d := New(Options{Log: zerolog.Nop(), Clock: clock, Recorder: line.New("agent", clock, line.DefaultLimits())})
	for version := int64(1); version <= 40; version++ {
		d.AdoptRoutes(nil, version, routesDocument(version))
	}
	// An older version must not replace a newer one.
	d.AdoptRoutes(nil, 7, routesDocument(7))
	d.ConfirmRoutes(epoch.At(3, 140))
	d.ConfirmRoutes(epoch.At(3, 120))
	// The revision of an earlier era is earlier, whatever its number.
	d.ConfirmRoutes(epoch.At(2, 160))
	for name, c := range map[string]struct {
		ask    *wirepb.Routes
		deltas int
		whole  bool
	}{
		"same version":           {&wirepb.Routes{Version: 40, AcceptsDeltas: true}, 0, false},
		"newer version":          {&wirepb.Routes{Version: 41, AcceptsDeltas: true}, 0, false},
		"last version":           {&wirepb.Routes{Version: 39, AcceptsDeltas: true}, 1, false},
		"some versions before":   {&wirepb.Routes{Version: 30, AcceptsDeltas: true}, 10, false},
		"too many before":        {&wirepb.Routes{Version: 2, AcceptsDeltas: true}, 0, true},
		"unknown version":        {&wirepb.Routes{Version: 0, AcceptsDeltas: true}, 0, true},
		"router without deltas":  {&wirepb.Routes{Version: 39}, 0, true},
		"same version, no delta": {&wirepb.Routes{Version: 40}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := d.routesSince(c.ask)
			assert.EqualValues(t, 40, got.GetVersion())
			assert.Equal(t, epoch.At(3, 140), wire.StoreRevision(got))
			var list []delta.Delta
			whole := got.GetDocument()
			if got.GetChanges() != nil {
				var err error
				list, whole, err = wire.DecodeChanges(got.GetChanges())
				require.NoError(t, err)
			}
			assert.Len(t, list, c.deltas)
			assert.Equal(t, c.whole, len(whole) > 0)
			document := routesDocument(c.ask.GetVersion())
			for _, step := range list {
				var err error
				document, err = step.Apply(document)
				require.NoError(t, err)
			}
			if c.deltas > 0 {
				assert.Equal(t, string(routesDocument(40)), string(document))
			}
		})
	}
	assert.WithinDuration(t, time.Now(), d.RoutesAskedAt(), time.Minute)
}
