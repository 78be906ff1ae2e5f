// Package event defines what the reducers of the router and the agent consume
// and produce. Events tell what has happened; effects tell what is to be done.
// Both are plain data with a kind in kebab case and can be written as one JSON
// line each, so that a recorded run can be replayed.
package event

import (
	"time"
)

// Event is something that has happened, seen by one process.
type Event interface {
	// Kind names the type of event in kebab case.
	Kind() string
}

// Effect is something that a process is to do.
type Effect interface {
	// Kind names the type of effect in kebab case.
	Kind() string
}

// Routine marks events and effects that come all the time, such as ticks and
// reports of load. Time lines keep them apart and leave them out unless asked.
type Routine interface {
	Routine()
}

// IsRoutine says whether an event or effect is marked as routine.
func IsRoutine(value any) bool {
	_, ok := value.(Routine)
	return ok
}

// Reducer holds the state of one process. Apply does no input or output, reads
// no clock and starts no goroutine: the same events at the same times give the
// same effects.
type Reducer interface {
	Apply(now time.Time, ev Event) []Effect
}

// Tick tells a reducer that time has passed. The loop sends it periodically and
// at the first time that Wake effects have named since the last one.
type Tick struct{}

// Kind implements Event.
func (Tick) Kind() string { return "tick" }

// Routine implements Routine.
func (Tick) Routine() {}

// Wake asks the loop for a Tick at the given time at the latest.
type Wake struct {
	At time.Time `json:"at"`
}

// Kind implements Effect.
func (Wake) Kind() string { return "wake" }

// Routine implements Routine.
func (Wake) Routine() {}

// Count asks the loop to add to a counter. Reducers have no other metrics.
type Count struct {
	Name string `json:"name"`
	N    int64  `json:"n"`
}

// Kind implements Effect.
func (Count) Kind() string { return "count" }

// Routine implements Routine.
func (Count) Routine() {}

// Note asks the loop to log a change of state and to show it in the time line.
type Note struct {
	Change   string `json:"change"`
	Model    string `json:"model,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Request  string `json:"request,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Kind implements Effect.
func (Note) Kind() string { return "note" }
