package relay

import (
	"time"

	"chervilreach/core/route"
)

const (
	// answerTimeShare and answerSpreadShare are the weights of the latest answer in the moving averages of an
	// answerTime, spreadFactor that of the deviation in what is expected. They are those of the retransmission timer
	// of TCP (RFC 6298).
	answerTimeShare   = 1.0 / 8
	answerSpreadShare = 1.0 / 4
	spreadFactor      = 4
	// maxAnswerTimes bounds the number of routes whose answer times are remembered.
	maxAnswerTimes = 4096
)

// answerTime is how long the answers to the requests of a route take, from the start of the attempt.
type answerTime struct {
	mean, deviation time.Duration
}

// answerTimes has the answer times by the name of the route. Streams have none.
type answerTimes map[string]answerTime

// note adds the time that an answer took.
func (t answerTimes) note(rt *route.Route, took time.Duration) {
	if rt.Kind == route.Stream {
		return
	}
	a, ok := t[rt.Name]
	if !ok {
		if len(t) >= maxAnswerTimes {
			clear(t)
		}
		t[rt.Name] = answerTime{took, took / 2}
		return
	}
	diff := took - a.mean
	a.deviation += time.Duration(answerSpreadShare * float64(max(diff, -diff)-a.deviation))
	a.mean += time.Duration(answerTimeShare * float64(diff))
	t[rt.Name] = a
}

// expected returns the time within which nearly all answers come.
func (a answerTime) expected() time.Duration { return a.mean + spreadFactor*a.deviation }
