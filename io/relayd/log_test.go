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

// The end of a process names the requests that it leaves without an answer.
func TestUnansweredRequestsAreNamedAtTheEnd(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	d := New(Options{Log: zerolog.New(&lines)})
	open := func(attempt string) *exchange {
		x := &exchange{
			d: d, route: &route.Route{Name: "draft"}, request: relay.Request{Attempt: attempt}, arrivedAt: time.Now(),
		}
		d.open(x)
		return x
	}
	d.close(open("answered"))
	open("left-behind")
	d.LogUnanswered()
	assert.Contains(t, lines.String(), `"request":"left-behind"`)
	assert.Contains(t, lines.String(), `"outcome":"unanswered"`)
	assert.NotContains(t, lines.String(), `"request":"answered"`)
}

// They are named however many other lines the last second has.
func TestUnansweredRequestsAreNamedWhenLinesAreLeftOut(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	log, err := logs.New(&lines, "router", "info", func(int) {})
	require.NoError(t, err)
	log.LimitRate(1)
	d := New(Options{Log: log.Logger})
	for range 3 {
		d.open(&exchange{d: d, route: &route.Route{Name: "draft"}, arrivedAt: time.Now()})
	}
	d.LogUnanswered()
	require.NoError(t, log.Close())
	assert.Equal(t, 3, strings.Count(lines.String(), `"outcome":"unanswered"`))
}
