package relayd

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/relay"
)

// Names of metrics. Times are in nanoseconds; a result or an outcome follows the
// names of counters, one of a fixed few.
const (
	metricAttempt  = "relay.attempts."
	metricOutcome  = "relay.requests."
	metricAnswer   = "relay.answer-time"
	metricFirst    = "relay.first-event-time"
	metricInFlight = "relay.requests-in-progress"
)

// meters are the metrics of a router's requests.
type meters struct {
	registry metrics.Registry
	// answer is the time of whole requests, first that to the first event.
	answer, first metrics.Timer
	inFlight      metrics.Gauge
}

func newMeters(registry metrics.Registry) meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return meters{
		registry: registry,
		answer:   metrics.GetOrRegisterTimer(metricAnswer, registry),
		first:    metrics.GetOrRegisterTimer(metricFirst, registry),
		inFlight: metrics.GetOrRegisterGauge(metricInFlight, registry),
	}
}

func (m *meters) attempt(result relay.Result) {
	metrics.GetOrRegisterCounter(metricAttempt+string(result), m.registry).Inc(1)
}

func (m *meters) outcome(outcome string, began time.Time) {
	metrics.GetOrRegisterCounter(metricOutcome+outcome, m.registry).Inc(1)
	m.answer.UpdateSince(began)
}
