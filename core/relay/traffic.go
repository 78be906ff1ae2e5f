package relay

import (
	"math"
	"time"
)

const (
	// rateDecay is the time constant of the moving average of a model's request rate that
	// decides which models are kept loaded. It is long enough for models that are requested
	// every few seconds.
	rateDecay = 20 * time.Second
	// recentRateDecay is the time constant of the moving average of a model's request rate
	// that decides on extra replicas. It is short, so that replicas are loaded soon after
	// traffic has moved.
	recentRateDecay = 3 * time.Second
)

// latestPromptWeight is the weight of the latest prompt in the moving average of the prompt
// length.
const latestPromptWeight = 0.1

// traffic is this router's traffic for one model.
type traffic struct {
	service string
	// rate and recentRate are moving averages of the requests per second, as of updatedAt.
	rate, recentRate float64
	updatedAt        time.Time
	// meanTokens is the moving average of the prompt length.
	meanTokens   float64
	firstReplica firstReplicaRequest
}

// countTraffic adds a request to the traffic of its model.
func (s *State) countTraffic(r *request) {
	t := s.modelTraffic[r.Item.Model]
	if t == nil {
		t = &traffic{service: r.Service, updatedAt: s.now, meanTokens: float64(r.TokensIn)}
		s.modelTraffic[r.Item.Model] = t
	}
	t.decay(s.now)
	s.scheduleFollowUpdateIfNew(t)
	t.rate += 1 / rateDecay.Seconds()
	t.recentRate += 1 / recentRateDecay.Seconds()
	t.meanTokens += latestPromptWeight * (float64(r.TokensIn) - t.meanTokens)
}

// decay updates the rates to the time now.
func (t *traffic) decay(now time.Time) {
	past := now.Sub(t.updatedAt).Seconds()
	t.rate *= math.Exp(-past / rateDecay.Seconds())
	t.recentRate *= math.Exp(-past / recentRateDecay.Seconds())
	t.updatedAt = now
}
