package line

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// maxStringDepth is the nesting depth up to which a value is searched for an identifier.
const maxStringDepth = 12

// Filter selects entries of the timeline. An entry must match each of Request, Model,
// Endpoint, Since and Until that is set. The zero value matches all entries except
// routine ones.
type Filter struct {
	Request  fleet.RequestID
	Model    fleet.ModelID
	Endpoint fleet.EndpointID
	// Since and Until limit the times of the stamps, inclusively; zero means no limit.
	Since time.Time
	Until time.Time
	// IncludeRoutine includes entries that are marked as routine.
	IncludeRoutine bool
	// MaxBodyBytes is the longest body that is returned, in bytes. A longer one is replaced
	// by its size. 0 means no limit.
	MaxBodyBytes int
	// MaxLines is the largest number of lines of each process that are returned, the
	// newest ones; 0 means no limit.
	MaxLines int
}

// matchesTime reports whether the stamp is between Since and Until.
func (f Filter) matchesTime(stamp event.Stamp) bool {
	at := stamp.Time()
	if !f.Since.IsZero() && at.Before(f.Since) {
		return false
	}
	return f.Until.IsZero() || !at.After(f.Until)
}

// matches reports whether the filter matches the entry. An entry matches a request, a
// model or an endpoint if its value contains the ID as a string in any field, element or
// map key. A model without a version matches all its versions. A request filter also
// matches an ID that contains it as one of its slash-separated parts, for example the
// part that the caller chose. The value is searched without encoding it, since most entries don't
// match.
func (f Filter) matches(e Entry) bool {
	if !f.IncludeRoutine && event.IsRoutine(e.Value) || !f.matchesTime(e.Stamp) {
		return false
	}
	for _, condition := range f.idConditions() {
		if !containsString(reflect.ValueOf(e.Value), 0, condition) {
			return false
		}
	}
	return true
}

// idConditions returns a condition on strings for each ID that is set in the filter.
func (f Filter) idConditions() []func(value string) bool {
	var conditions []func(string) bool
	if request := string(f.Request); request != "" {
		conditions = append(conditions, func(value string) bool {
			return value == request || slices.Contains(strings.Split(value, "/"), request)
		})
	}
	if endpoint := string(f.Endpoint); endpoint != "" {
		conditions = append(conditions, func(value string) bool { return value == endpoint })
	}
	if model := string(f.Model); model != "" {
		conditions = append(conditions, func(value string) bool {
			return value == model || strings.HasPrefix(value, model+"@")
		})
	}
	return conditions
}

// containsString reports whether a string in the value, including map keys, satisfies
// the condition.
func containsString(v reflect.Value, depth int, matches func(string) bool) bool {
	if depth > maxStringDepth {
		return false
	}
	switch v.Kind() {
	case reflect.String:
		return matches(v.String())
	case reflect.Pointer, reflect.Interface:
		return containsString(v.Elem(), depth+1, matches)
	case reflect.Struct:
		for i := range v.NumField() {
			if containsString(v.Field(i), depth+1, matches) {
				return true
			}
		}
	case reflect.Slice, reflect.Array:
		return elementContainsString(v, depth, matches)
	case reflect.Map:
		for iter := v.MapRange(); iter.Next(); {
			if containsString(iter.Key(), depth+1, matches) || containsString(iter.Value(), depth+1, matches) {
				return true
			}
		}
	default:
	}
	return false
}

// elementContainsString is containsString for the elements of a slice or an array.
func elementContainsString(v reflect.Value, depth int, matches func(string) bool) bool {
	if isScalar(v.Type().Elem().Kind()) {
		return false
	}
	for i := range v.Len() {
		if containsString(v.Index(i), depth+1, matches) {
			return true
		}
	}
	return false
}
