package swapd

import (
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// ErrMalformedAnswer means that what an endpoint sent is no answer, or longer than one may be.
var ErrMalformedAnswer = errors.New("malformed answer of the endpoint")

// metricMalformedAnswers is the name of the counter of malformed answers.
const metricMalformedAnswers = "swap.malformed-answers"

// malformedLogInterval is the shortest time between two log lines about malformed answers.
const malformedLogInterval = time.Minute

// EndpointHealth says how an endpoint answers its agent.
type EndpointHealth struct {
	// Error is the error of the last poll; it is empty if the endpoint answered.
	Error string
	// ChangedAt is when polls began to fail or to succeed; zero if there was no poll.
	ChangedAt time.Time
	// MalformedCount is the number of malformed answers since the start of the agent.
	MalformedCount int64
}

// healthRecord keeps and logs how the endpoint answers. Its methods may be called concurrently.
type healthRecord struct {
	log       zerolog.Logger
	malformed metrics.Counter

	mu     sync.Mutex
	health EndpointHealth
	// malformedLoggedAt is the time of the last log line about malformed answers.
	malformedLoggedAt time.Time
}

// newHealthRecord returns a record that counts malformed answers in a registry, unless that is nil.
func newHealthRecord(log zerolog.Logger, registry metrics.Registry) *healthRecord {
	h := &healthRecord{log: log, malformed: metrics.NewCounter()}
	if registry != nil {
		h.malformed = metrics.NewRegisteredCounter(metricMalformedAnswers, registry)
	}
	return h
}

// notePoll takes in the result of a poll. It logs when polls begin to fail and when they succeed
// again.
func (h *healthRecord) notePoll(now time.Time, err error) {
	h.noteAnswer(now, err)
	h.mu.Lock()
	wasDown := h.health.Error != ""
	changed := wasDown != (err != nil)
	if changed || h.health.ChangedAt.IsZero() {
		h.health.ChangedAt = now
	}
	h.health.Error = ""
	if err != nil {
		h.health.Error = err.Error()
	}
	h.mu.Unlock()
	switch {
	case changed && err != nil:
		h.log.Warn().Err(err).Str("dependency", "endpoint").Msg("dependency lost")
	case changed:
		h.log.Info().Str("dependency", "endpoint").Msg("dependency regained")
	}
}

// noteAnswer counts an answer that was malformed, and logs the first of each malformedLogInterval.
func (h *healthRecord) noteAnswer(now time.Time, err error) {
	if !errors.Is(err, ErrMalformedAnswer) {
		return
	}
	h.malformed.Inc(1)
	h.mu.Lock()
	due := h.malformedLoggedAt.IsZero() || now.Sub(h.malformedLoggedAt) >= malformedLogInterval
	if due {
		h.malformedLoggedAt = now
	}
	h.mu.Unlock()
	if due {
		h.log.Warn().Err(err).Int64("count", h.malformed.Count()).Msg("endpoint sent malformed answers")
	}
}

// get returns the health of the endpoint.
func (h *healthRecord) get() EndpointHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	health := h.health
	health.MalformedCount = h.malformed.Count()
	return health
}
