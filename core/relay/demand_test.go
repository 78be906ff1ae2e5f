package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// TestSimilarUsage checks which changes of a router's usage an agent need not learn at once.
func TestSimilarUsage(t *testing.T) {
	for name, c := range map[string]struct {
		a, b stock.ModelUsage
		want bool
	}{
		"equal":                 {stock.ModelUsage{Model: "a", Rate: 1}, stock.ModelUsage{Model: "a", Rate: 1}, true},
		"rate slightly higher":  {stock.ModelUsage{Model: "a", Rate: 2}, stock.ModelUsage{Model: "a", Rate: 2.5}, true},
		"low rate":              {stock.ModelUsage{Model: "a", Rate: 0.05}, stock.ModelUsage{Model: "a", Rate: 0.15}, true},
		"rate doubled":          {stock.ModelUsage{Model: "a", Rate: 2}, stock.ModelUsage{Model: "a", Rate: 4}, false},
		"one request long ago":  {stock.ModelUsage{Model: "a", Rate: 0.05}, stock.ModelUsage{Model: "a"}, true},
		"traffic began":         {stock.ModelUsage{Model: "a"}, stock.ModelUsage{Model: "a", Rate: 0.15}, false},
		"more requests run":     {stock.ModelUsage{Model: "a", Running: 3}, stock.ModelUsage{Model: "a", Running: 9}, true},
		"first request runs":    {stock.ModelUsage{Model: "a"}, stock.ModelUsage{Model: "a", Running: 1}, false},
		"adapter's last ended":  {stock.ModelUsage{Model: "a", Adapter: "x", Running: 1}, stock.ModelUsage{Model: "a", Adapter: "x"}, false},
		"only holder now":       {stock.ModelUsage{Model: "a", Holders: 2}, stock.ModelUsage{Model: "a", Holders: 1}, false},
		"fewer holders of many": {stock.ModelUsage{Model: "a", Holders: 9}, stock.ModelUsage{Model: "a", Holders: 8}, true},
		"other model":           {stock.ModelUsage{Model: "a"}, stock.ModelUsage{Model: "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, similarUsage(c.a, c.b))
			assert.Equal(t, c.want, similarUsage(c.b, c.a))
		})
	}
}

// TestUsageIsToldWhenItMatters checks that an agent is told changes of the router's usage that
// matter at the next refresh, and others later.
func TestUsageIsToldWhenItMatters(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", withModels("a"))
	router.advance(2 * time.Second)
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.advance(minRefreshInterval)
	require.NotEmpty(t, effectsOf[SendDemand](router), "the first request runs")
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.advance(minRefreshInterval)
	require.Empty(t, effectsOf[SendDemand](router), "one more")
	router.advance(usageLifetime)
	require.NotEmpty(t, effectsOf[SendDemand](router))
}
