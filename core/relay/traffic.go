package relay

import (
	"math"
	"time"
)

// rateSpan is the time constant of the rates of requests: long enough to see
// models that are asked for every few seconds, short enough to follow a shift.
const rateSpan = 20 * time.Second

// tokensWeight is the weight of the latest prompt in the mean length.
const tokensWeight = 0.1

// traffic is this router's requests for one model.
type traffic struct {
	service string
	// rate is in requests a second.
	rate float64
	at   time.Time
	// tokens is the mean length of the prompts.
	tokens float64
}

// countTraffic counts one request.
func (s *State) countTraffic(r *request) {
	t := s.demand[r.Item.Model]
	if t == nil {
		t = &traffic{service: r.Service, at: s.now, tokens: float64(r.TokensIn)}
		s.demand[r.Item.Model] = t
	}
	t.decay(s.now)
	t.rate += 1 / rateSpan.Seconds()
	t.tokens += tokensWeight * (float64(r.TokensIn) - t.tokens)
}

// decay brings the rate up to the present.
func (t *traffic) decay(now time.Time) {
	t.rate *= math.Exp(-now.Sub(t.at).Seconds() / rateSpan.Seconds())
	t.at = now
}
