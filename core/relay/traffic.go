package relay

import (
	"math"
	"time"
)

const (
	// rateSpan is the time constant of the rates by which models are kept: long
	// enough to see models that are asked for every few seconds.
	rateDecay = 20 * time.Second
	// surgeSpan is that of the rates by which copies are added: short, so that they
	// are there soon after demand has moved.
	recentRateDecay = 3 * time.Second
)

// tokensWeight is the weight of the latest prompt in the mean length.
const tokensWeight = 0.1

// traffic is this router's requests for one model.
type traffic struct {
	service string
	// rate is in requests a second.
	rate, recentRate float64
	updatedAt        time.Time
	// tokens is the mean length of the prompts.
	meanTokens float64
	first      firstCopy
}

// countTraffic counts one request.
func (s *State) countTraffic(r *request) {
	t := s.modelTraffic[r.Item.Model]
	if t == nil {
		t = &traffic{service: r.Service, updatedAt: s.now, meanTokens: float64(r.TokensIn)}
		s.modelTraffic[r.Item.Model] = t
	}
	t.decay(s.now)
	s.followNewModel(t)
	t.rate += 1 / rateDecay.Seconds()
	t.recentRate += 1 / recentRateDecay.Seconds()
	t.meanTokens += tokensWeight * (float64(r.TokensIn) - t.meanTokens)
}

// decay brings the rate up to the present.
func (t *traffic) decay(now time.Time) {
	past := now.Sub(t.updatedAt).Seconds()
	t.rate *= math.Exp(-past / rateDecay.Seconds())
	t.recentRate *= math.Exp(-past / recentRateDecay.Seconds())
	t.updatedAt = now
}
