package event

import (
	"reflect"

	"chervilreach/core/fleet"
)

// maxSubjectDepth is the maximum nesting depth of the fields that SubjectOf reads.
const maxSubjectDepth = 4

// Subject identifies the request, model and endpoint that an event or effect
// concerns. A field is empty if it concerns none, or a list of them.
type Subject struct {
	Request  fleet.RequestID  `json:"request,omitempty"`
	Model    fleet.ModelID    `json:"model,omitempty"`
	Endpoint fleet.EndpointID `json:"endpoint,omitempty"`
}

// SubjectOf returns the subject of an event or effect. It searches the fields of
// the value, including nested structs, for the first non-empty ID of each type.
// Slices and maps are not searched. value may be nil.
func SubjectOf(value any) Subject {
	if note, ok := value.(Note); ok {
		return Subject{
			Request:  fleet.RequestID(note.Request),
			Model:    fleet.ModelID(note.Model),
			Endpoint: fleet.EndpointID(note.Endpoint),
		}
	}
	var s Subject
	s.collect(reflect.ValueOf(value), 0)
	return s
}

// collect sets the fields of the subject from the IDs found in v.
func (s *Subject) collect(v reflect.Value, depth int) {
	if depth > maxSubjectDepth {
		return
	}
	switch v.Kind() {
	case reflect.String:
		s.setByType(v)
	case reflect.Pointer:
		s.collect(v.Elem(), depth+1)
	case reflect.Struct:
		for i := range v.NumField() {
			s.collect(v.Field(i), depth+1)
		}
	default:
	}
}

// setByType sets the field that has the type of v, unless it is already set.
func (s *Subject) setByType(v reflect.Value) {
	text := v.String()
	switch v.Type() {
	case reflect.TypeFor[fleet.RequestID]():
		setIfEmpty(&s.Request, text)
	case reflect.TypeFor[fleet.ModelID]():
		setIfEmpty(&s.Model, text)
	case reflect.TypeFor[fleet.EndpointID]():
		setIfEmpty(&s.Endpoint, text)
	default:
	}
}

func setIfEmpty[T ~string](field *T, text string) {
	if *field == "" {
		*field = T(text)
	}
}
