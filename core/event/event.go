// Package event defines the events that reducers consume and the effects that they
// produce. An event describes something that has happened; an effect describes
// something that the process must do. Both are plain data with a kind and can be
// encoded as one JSON line each, so that a recording of a process can be replayed. A
// reducer is the deterministic part of a process that turns events into effects.
//
// A recording holds the events and effects of one process, for replay. The timeline of a
// process is the part of them that it keeps for operators.
package event

import (
	"time"
)

// Event describes something that has happened, as observed by one process.
type Event interface {
	// Kind returns the name of the kind of event in recordings, in kebab case. It stays
	// the same if the type is renamed.
	Kind() string
}

// Effect describes something that the process must do.
type Effect interface {
	// Kind returns the name of the kind of effect in recordings, in kebab case. It stays
	// the same if the type is renamed.
	Kind() string
}

// Routine marks events and effects that occur continually, such as ticks and load
// reports. The timeline of a process stores them separately from the others and
// omits them unless a reader requests them.
type Routine interface {
	// Routine does nothing; implementing it marks the type.
	Routine()
}

// IsRoutine reports whether an event or effect is marked as routine.
func IsRoutine(value any) bool {
	_, ok := value.(Routine)
	return ok
}

// Reducer holds the state of one process. Its methods must not be called
// concurrently.
type Reducer interface {
	// Apply updates the state for an event that happened at now and returns the
	// resulting effects in order. It does no input or output, reads no clock and
	// starts no goroutine: the same events at the same times give the same effects.
	Apply(now time.Time, ev Event) []Effect
}

// Tick notifies a reducer that time has passed. The loop that runs the reducer
// sends it periodically, and early at the first time requested by a Wake effect since
// the last Tick.
type Tick struct{}

// Kind implements Event.
func (Tick) Kind() string { return "tick" }

// Routine implements Routine.
func (Tick) Routine() {}

// Wake requests a Tick from the loop no later than At.
type Wake struct {
	At time.Time `json:"at"`
}

// Kind implements Effect.
func (Wake) Kind() string { return "wake" }

// Routine implements Routine.
func (Wake) Routine() {}

// Count adds N to the counter called Name. Counters are the only metrics that a
// reducer can change.
type Count struct {
	Name string `json:"name"`
	N    int64  `json:"n"`
}

// Kind implements Effect.
func (Count) Kind() string { return "count" }

// Routine implements Routine.
func (Count) Routine() {}

// Note logs a change of state. The timeline shows notes, and stores them separately
// so that they are kept longer than the other effects.
type Note struct {
	// Change is the log message. Fields that do not apply are empty.
	Change   string `json:"change"`
	Model    string `json:"model,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Request  string `json:"request,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Kind implements Effect.
func (Note) Kind() string { return "note" }
