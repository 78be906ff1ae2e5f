package relay

import "time"

// maxShedDoublings limits how often the pause after a rejection, at first avoidedRetryDelay, is
// doubled.
const maxShedDoublings = 3

// shedPause is a time without requests for a model that an endpoint rejects for lack of room.
type shedPause struct {
	until time.Time
	// count is the number of rejections that have begun or extended the pause.
	count int
}

// noteShed notes that the endpoint has rejected a request for a model, and returns the time until
// which it gets no other one for it. A full endpoint has no room before some of its requests end; until
// then each request would be rejected again and use up retries that others need.
func (e *endpoint) noteShed(model string, now time.Time) time.Time {
	p := e.shed[model]
	if now.Before(p.until) {
		// The request was on its way when the pause began.
		return p.until
	}
	p.until = now.Add(avoidedRetryDelay << min(p.count, maxShedDoublings))
	p.count++
	if e.shed == nil {
		e.shed = make(map[string]shedPause)
	}
	e.shed[model] = p
	return p.until
}

// shedsAt reports whether the endpoint gets no requests for the model at the time now.
func (e *endpoint) shedsAt(model string, now time.Time) bool {
	return now.Before(e.shed[model].until)
}
