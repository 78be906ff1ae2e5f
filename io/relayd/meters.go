package relayd

import (
	"github.com/rcrowley/go-metrics"

	"chervilreach/core/relay"
)

// Names of metrics. Timers are in nanoseconds. metricAttempts and metricRequests are
// prefixes of counters: a relay.Result or the outcome of a request follows. Both have few
// fixed values.
const (
	metricAttempts       = "relay.attempts."
	metricRequests       = "relay.requests."
	metricAnswerTime     = "relay.answer-time"
	metricFirstEventTime = "relay.first-event-time"
	metricInFlight       = "relay.requests-in-progress"
	metricLimits         = "relay.limits-in-force"
	metricLimitChanges   = "relay.limit-changes"
	metricConvictions    = "relay.convictions-in-force"
	metricBackoffs       = "relay.backoffs"
	metricBodiesRefused  = "relay.bodies.refused"
	metricBodiesEvicted  = "relay.bodies.evicted"
	metricBodyBytes      = "relay.bodies.bytes"
	metricRoutesTime     = "relay.routes-adoption-time"
	metricLeavingTime    = "relay.leaving-adoption-time"
)

// meters holds the metrics of a router's requests.
type meters struct {
	registry metrics.Registry
	// answerTime measures requests from their arrival to the final answer, firstEventTime
	// from their arrival to the first event of a stream. A resumed stream counts again.
	answerTime, firstEventTime metrics.Timer
	// inFlight is the number of requests without a final answer.
	inFlight metrics.Gauge
	// backoffs counts the backoffs that endpoints have requested.
	backoffs metrics.Counter
	// bodiesRefused counts the requests whose bodies found no room, bodiesEvicted those of them that had to
	// make way for others.
	bodiesRefused, bodiesEvicted metrics.Counter
	// routesTime and leavingTime measure new routes, and the leaving of endpoints, from when they
	// were read until they are in force.
	routesTime, leavingTime metrics.Timer
}

// newMeters registers the metrics. A nil registry discards them.
func newMeters(registry metrics.Registry) meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return meters{
		registry:       registry,
		answerTime:     metrics.GetOrRegisterTimer(metricAnswerTime, registry),
		firstEventTime: metrics.GetOrRegisterTimer(metricFirstEventTime, registry),
		inFlight:       metrics.GetOrRegisterGauge(metricInFlight, registry),
		backoffs:       metrics.GetOrRegisterCounter(metricBackoffs, registry),
		bodiesRefused:  metrics.GetOrRegisterCounter(metricBodiesRefused, registry),
		bodiesEvicted:  metrics.GetOrRegisterCounter(metricBodiesEvicted, registry),
		routesTime:     metrics.GetOrRegisterTimer(metricRoutesTime, registry),
		leavingTime:    metrics.GetOrRegisterTimer(metricLeavingTime, registry),
	}
}

// countAttempt counts the result of an attempt.
func (m *meters) countAttempt(result relay.Result) {
	metrics.GetOrRegisterCounter(metricAttempts+string(result), m.registry).Inc(1)
}

// countLimitChange counts a change of an endpoint's rate limit, and the limits in force.
func (m *meters) countLimitChange(eff relay.LimitChanged) {
	metrics.GetOrRegisterCounter(metricLimitChanges, m.registry).Inc(1)
	inForce := metrics.GetOrRegisterCounter(metricLimits, m.registry)
	if eff.Now.InForce() {
		inForce.Inc(1)
	}
	if eff.Before.InForce() {
		inForce.Dec(1)
	}
}

// countRequest counts a request by its outcome.
func (m *meters) countRequest(outcome string) {
	metrics.GetOrRegisterCounter(metricRequests+outcome, m.registry).Inc(1)
}
