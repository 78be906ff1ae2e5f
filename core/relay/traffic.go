package relay

import (
	"math"
	"time"
)

// rateSpan is the time constant of the rates of requests: long enough to see
// models that are asked for every few seconds, short enough to follow a shift.
const rateSpan = 20 * time.Second

// traffic is the rate of requests for one model.
type traffic struct {
	rate float64
	at   time.Time
}

func (s *State) traffic(model string) *traffic {
	t := s.demand[model]
	if t == nil {
		t = &traffic{at: s.now}
		s.demand[model] = t
	}
	return t
}

// arrive counts one request.
func (t *traffic) arrive(now time.Time) {
	t.decay(now)
	t.rate += 1 / rateSpan.Seconds()
}

// decay brings the rate up to the present.
func (t *traffic) decay(now time.Time) {
	t.rate *= math.Exp(-now.Sub(t.at).Seconds() / rateSpan.Seconds())
	t.at = now
}
