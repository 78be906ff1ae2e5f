package poison

import (
	"time"

	"chervilreach/core/aging"
)

const (
	// answerMemory is how long after an answer its parts are no suspects. It covers the time
	// between two requests with a part that is in use.
	answerMemory = 10 * time.Second
	// maxAnswered is the maximum number of parts that an Answered remembers.
	maxAnswered = 8192
)

// Answered remembers the parts whose requests endpoints have answered to the end.
type Answered struct {
	// lastAt has the time of the last answer by part.
	lastAt *aging.Map[Part, time.Time]
}

// NewAnswered returns an empty Answered.
func NewAnswered() *Answered {
	return &Answered{lastAt: aging.New[Part, time.Time](maxAnswered)}
}

// Add notes that a request with the part has been answered.
func (a *Answered) Add(now time.Time, p Part) { a.lastAt.Put(p, now) }

// Recently reports whether a request with the part has been answered within answerMemory.
func (a *Answered) Recently(now time.Time, p Part) bool {
	at, ok := a.lastAt.Get(p)
	return ok && now.Before(at.Add(answerMemory))
}
