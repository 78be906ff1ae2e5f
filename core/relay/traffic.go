package relay

import (
	"math"
	"time"
)

const (
	// rateSpan is the time constant of the rates by which models are kept: long
	// enough to see models that are asked for every few seconds.
	rateSpan = 20 * time.Second
	// surgeSpan is that of the rates by which copies are added: short, so that they
	// are there soon after demand has moved.
	surgeSpan = 3 * time.Second
)

// tokensWeight is the weight of the latest prompt in the mean length.
const tokensWeight = 0.1

// traffic is this router's requests for one model.
type traffic struct {
	service string
	// rate is in requests a second.
	rate, surge float64
	at          time.Time
	// tokens is the mean length of the prompts.
	tokens float64
	first  firstCopy
}

// countTraffic counts one request.
func (s *State) countTraffic(r *request) {
	t := s.demand[r.Item.Model]
	if t == nil {
		t = &traffic{service: r.Service, at: s.now, tokens: float64(r.TokensIn)}
		s.demand[r.Item.Model] = t
	}
	t.decay(s.now)
	s.noteFirst(t)
	t.rate += 1 / rateSpan.Seconds()
	t.surge += 1 / surgeSpan.Seconds()
	t.tokens += tokensWeight * (float64(r.TokensIn) - t.tokens)
}

// decay brings the rate up to the present.
func (t *traffic) decay(now time.Time) {
	past := now.Sub(t.at).Seconds()
	t.rate *= math.Exp(-past / rateSpan.Seconds())
	t.surge *= math.Exp(-past / surgeSpan.Seconds())
	t.at = now
}
