package relayd

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"chervilreach/core/relay"
	"chervilreach/core/route"
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
