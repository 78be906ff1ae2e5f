package relayd

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/relay"
)

// Names of metrics. Times are in nanoseconds; a result or an outcome follows the
// names of counters, one of a fixed few.
const (
	metricAttempts       = "relay.attempts."
	metricRequests       = "relay.requests."
	metricAnswerTime     = "relay.answer-time"
	metricFirstEventTime = "relay.first-event-time"
	metricInFlight       = "relay.requests-in-progress"
)

// meters are the metrics of a router's requests.
type meters struct {
	registry metrics.Registry
	// answer is the time of whole requests, first that to the first event.
	answerTime, firstEventTime metrics.Timer
	inFlight                   metrics.Gauge
}

func newMeters(registry metrics.Registry) meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return meters{
		registry:       registry,
		answerTime:     metrics.GetOrRegisterTimer(metricAnswerTime, registry),
		firstEventTime: metrics.GetOrRegisterTimer(metricFirstEventTime, registry),
		inFlight:       metrics.GetOrRegisterGauge(metricInFlight, registry),
	}
}

func (m *meters) countAttempt(result relay.Result) {
	metrics.GetOrRegisterCounter(metricAttempts+string(result), m.registry).Inc(1)
}

func (m *meters) recordOutcome(outcome string, began time.Time) {
	metrics.GetOrRegisterCounter(metricRequests+outcome, m.registry).Inc(1)
	m.answerTime.UpdateSince(began)
}
