package relayd

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/poison"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/logs"
	"chervilreach/io/reqlog"
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

// The log must lead from a refused request to the verdict on its prompt part, and from a broken
// attempt to the crash of its endpoint.
func TestLogExplainsPromptPartsThatCrashEndpoints(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	log, err := logs.New(&lines, "router", "info", func(int) {})
	require.NoError(t, err)
	d := New(Options{Log: log.Logger})
	x := func(attempt string) *exchange {
		x := &exchange{d: d, route: &route.Route{Name: "draft"}, arrivedAt: time.Now(), request: relay.Request{
			AttemptID: attempt, Prefix: []relay.PromptPart{{ID: "shared"}, {ID: "deadly"}, {ID: "own"}},
		}}
		d.addExchange(x)
		return x
	}
	do := executor{d: d}.Do
	part := poison.PartOf("s", "deadly")
	x("broken").logAttempt(relay.Send{Instance: "i-1"}, relay.AttemptEnded{Result: relay.Broken, Cut: true}, time.Now(), io.ErrUnexpectedEOF)
	do(relay.EndpointCrashed{Endpoint: "i-1", Lost: 1, Suspects: []poison.Suspect{{Part: part}}})
	v := poison.Verdict{Part: part, DecidedAt: time.Now(), CrashCount: 3}
	do(relay.VerdictChanged{Verdict: v, Source: "i-2"})
	refused := x("refused")
	do(relay.PartRefused{ID: refused.id, PartID: "deadly", Verdict: v})
	refused.logOutcome("refused", string(relay.PromptCrashes))

	require.NoError(t, log.Close())
	all, err := reqlog.ReadLog(&lines)
	require.NoError(t, err)
	for request, want := range map[string][]string{
		"broken":  {"attempt", "endpoint crashed"},
		"refused": {"endpoint crashed", "verdict on prompt part changed", "prompt part refused", "request"},
	} {
		got, err := reqlog.ForRequest(all, request)
		require.NoError(t, err)
		// The lines may be of the same millisecond, so that one about the verdict may be there too.
		assert.Subset(t, lo.Map(got, func(l reqlog.Line, _ int) string { return l.Message }), want, request)
	}
	got, err := reqlog.ForRequest(all, "refused")
	require.NoError(t, err)
	refusal, ok := lo.Find(got, func(l reqlog.Line) bool { return l.Message == "prompt part refused" })
	require.True(t, ok)
	fields := refusal.Fields
	assert.Equal(t, "deadly", fields["part-id"])
	assert.Equal(t, part.String(), fields["part"])
	assert.Equal(t, "3", fields["crashes"])
	assert.Contains(t, fields, "verdict-age-ms")
}

// Guards against a caller's 503 of which the log does not tell whether it is the router's or the endpoint's.
func TestAttemptLineHasStatusOfEndpoint(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		status int
		want   string
	}{
		"answered":  {503, `"status":503`},
		"no answer": {0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			x := &exchange{d: New(Options{Log: zerolog.New(&lines)}), route: &route.Route{}, answerStatus: c.status}
			x.logAttempt(relay.Send{}, relay.AttemptEnded{Result: relay.Failed}, time.Now(), nil)
			if c.want == "" {
				assert.NotContains(t, lines.String(), "status")
				return
			}
			assert.Contains(t, lines.String(), c.want)
		})
	}
}
