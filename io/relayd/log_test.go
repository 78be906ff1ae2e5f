package relayd

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/logs"
)

// When the process ends, the log must name each request that got no final answer.
func TestUnansweredRequestsAreNamedAtTheEnd(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	d := New(Options{Log: zerolog.New(&lines)})
	addExchange := func(attempt string) *exchange {
		x := &exchange{
			d: d, route: &route.Route{Name: "draft"}, request: relay.Request{AttemptID: attempt}, arrivedAt: time.Now(),
		}
		d.addExchange(x)
		return x
	}
	d.removeExchange(addExchange("answered"))
	addExchange("left-behind")
	d.LogUnanswered()
	assert.Contains(t, lines.String(), `"request":"left-behind"`)
	assert.Contains(t, lines.String(), `"outcome":"unanswered"`)
	assert.NotContains(t, lines.String(), `"request":"answered"`)
}

// Requests without a final answer must be logged even if the limit of lines per second is
// exceeded.
func TestUnansweredRequestsAreNamedWhenLinesAreLeftOut(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	log, err := logs.New(&lines, "router", "info", func(int) {})
	require.NoError(t, err)
	log.LimitRate(1)
	d := New(Options{Log: log.Logger})
	for range 3 {
		d.addExchange(&exchange{d: d, route: &route.Route{Name: "draft"}, arrivedAt: time.Now()})
	}
	d.LogUnanswered()
	require.NoError(t, log.Close())
	assert.Equal(t, 3, strings.Count(lines.String(), `"outcome":"unanswered"`))
}
