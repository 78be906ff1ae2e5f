package front

import (
	"chervilreach/core/fleet"
	"chervilreach/io/guard"

	"github.com/rcrowley/go-metrics"
)

// meters holds the metrics of a front.
type meters struct {
	registry metrics.Registry
	// runningCalls is the number of calls in progress.
	runningCalls metrics.Gauge
	// firstByteTime is the time to first byte of calls: from arrival until the dispatcher begins
	// the response, in nanoseconds.
	firstByteTime metrics.Histogram
}

// metricRequests is the prefix of the counters of requests by their guard.Outcome. Requests that
// are not calls count too.
const metricRequests = "front.requests."

// Size and decay factor of a histogram's sample. The values are those that go-metrics uses
// for its timers.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// newMeters returns metrics in the given registry, or in a new one if it is nil.
func newMeters(registry metrics.Registry) *meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
	return &meters{
		registry:      registry,
		runningCalls:  metrics.GetOrRegisterGauge("front.running", registry),
		firstByteTime: metrics.GetOrRegisterHistogram("front.first-byte", registry, sample),
	}
}

// RequestCount returns the number of requests that ended in an outcome.
func (f *Front) RequestCount(o guard.Outcome) int64 {
	return metrics.GetOrRegisterCounter(metricRequests+string(o), f.meters.registry).Count()
}

// count increments the counter "front."+name.
func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter("front."+name, m.registry).Inc(1)
}

// countAnswered counts a call with a complete response.
func (m *meters) countAnswered() { m.count("answered") }

// countRefused counts a refusal, in total and by its code.
func (m *meters) countRefused(code fleet.Code) {
	m.count("refused")
	m.count("refused." + string(code))
}

// countTruncated counts a response that failed after its first bytes were sent. Such a call is
// also counted as refused.
func (m *meters) countTruncated() { m.count("cut") }

// countCallerGone counts a caller that disconnected or read too slowly.
func (m *meters) countCallerGone() { m.count("caller-gone") }
