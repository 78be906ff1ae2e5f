package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"
)

// ErrUnknownKind is returned when the kind of a line is not registered.
var ErrUnknownKind = errors.New("unknown kind of event")

// Line is one recorded event or effect.
type Line struct {
	// Stamp is the hybrid logical timestamp, which orders the lines of all
	// processes.
	Stamp Stamp `json:"stamp"`
	// At is the time that was passed to the reducer.
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	// Seq numbers the lines of one process from 1 without gaps. Line 0 holds the
	// parameters that the reducer was created with.
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Effect is true for effects and false for events.
	Effect bool `json:"effect,omitempty"`
	// Routine reports whether the event or effect is marked as Routine.
	Routine bool    `json:"routine,omitempty"`
	Subject Subject `json:"subject,omitzero"`
	// Body is the event or effect as JSON.
	Body json.RawMessage `json:"body"`
}

// Registry maps the kinds of events to their types, to decode recorded events. It
// is immutable and safe for concurrent use.
type Registry struct {
	events map[string]reflect.Type
}

// NewRegistry returns a registry of the types of the given events, and of Tick.
func NewRegistry(samples ...Event) *Registry {
	r := &Registry{events: make(map[string]reflect.Type, len(samples)+1)}
	for _, sample := range append(samples, Tick{}) {
		r.events[sample.Kind()] = reflect.TypeOf(sample)
	}
	return r
}

// Encode returns the line of an event or effect with the given kind. Stamp and Seq
// are left zero for the caller to set.
func Encode(at time.Time, process string, kind string, effect bool, body any) (Line, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Line{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return Line{
		At:      at,
		Process: process,
		Kind:    kind,
		Effect:  effect,
		Routine: IsRoutine(body),
		Subject: SubjectOf(body),
		Body:    raw,
	}, nil
}

// Decode returns the event that a line holds. It fails if the body has an unknown
// field, and with ErrUnknownKind if the kind is not registered.
func (r *Registry) Decode(line Line) (Event, error) {
	typ, ok := r.events[line.Kind]
	if !ok {
		return nil, fmt.Errorf("decode %q: %w", line.Kind, ErrUnknownKind)
	}
	value := reflect.New(typ)
	dec := json.NewDecoder(bytes.NewReader(line.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value.Interface()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", line.Kind, err)
	}
	ev, ok := value.Elem().Interface().(Event)
	if !ok {
		return nil, fmt.Errorf("decode %q: %w", line.Kind, ErrUnknownKind)
	}
	return ev, nil
}
