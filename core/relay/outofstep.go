package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/origin"
	"chervilreach/core/route"
)

// A router may be out of step: its list is old because it was cut off from the store or stood still. Which
// version began a stream that it does not know is therefore judged by what the store has since the
// request arrived or, while the store can't be read, by what agents have been told by all routers.

const (
	// recordTimeout is how long after it is first listed a new version begins no streams unless the store
	// has it. Writing it takes versionsUpdateSpread and two calls.
	recordTimeout = 1500 * time.Millisecond
	// versionsTellInterval is the time after which agents are told of the versions again.
	versionsTellInterval = origin.Lifetime / 3
)

// TellVersions tells an agent which versions of a service's software serve. It is sent while several can
// have begun streams.
type TellVersions struct {
	// Agent is the endpoint whose agent is told.
	Agent    string
	Service  string
	Versions []string
}

// Kind implements event.Effect.
func (TellVersions) Kind() string { return "relay-tell-versions" }

// Routine implements event.Routine.
func (TellVersions) Routine() {}

// recordsAreSince reports whether the records have been read by a call that began at a time or later.
func (s *State) recordsAreSince(at time.Time) bool {
	return s.software.recordsRead && !s.software.readAt.Before(at)
}

// readHasFailed reports whether the store can't be read for a request that arrived at a time.
func (s *State) readHasFailed(arrivedAt time.Time) bool {
	failedAt := s.software.failedAt
	return failedAt.After(s.software.readAt) && (!failedAt.Before(arrivedAt) || s.now.Before(s.software.nextReadAt))
}

// onlyVersion returns the version that has begun all streams of a resuming request's service, and the
// source of that knowledge. The source is empty if there are several versions, or if they are not known.
// A router's own list is no source, as it may be old.
func (s *State) onlyVersion(r *request) (version, source string) {
	l := r.lookup
	switch {
	case !s.versionsKnown():
		return "", ""
	case s.recordsAreSince(l.startedAt):
		source = sourceOnlyVersion
	case l.answered:
		source = sourceAgentsVersion
	default:
		return "", ""
	}
	versions := s.versionsWith(r.Service, l.versions)
	if len(versions) != 1 || versions[0] == "" {
		return "", ""
	}
	return versions[0], source
}

// awaitsRecord reports whether an endpoint must not begin the stream of a request yet, because the store
// lacks its version. A router whose list is old could not know that version.
func (s *State) awaitsRecord(e *endpoint, r *request) bool {
	recorded := s.software.records[e.Service].Versions
	if r.bound || r.Route.Kind != route.Stream || len(recorded) == 0 || e.Software == "" || slices.Contains(recorded, e.Software) {
		return false
	}
	until := s.software.firstListed[e.Service][e.Software].Add(recordTimeout)
	if !s.now.Before(until) {
		return false
	}
	s.emitWake(until)
	return true
}

// noteStreamed notes that a service gets streams.
func (s *State) noteStreamed(service string) {
	if !s.software.streamed[service] {
		s.software.streamed[service], s.software.tellPending = true, true
	}
}

// tellVersionsIfDue tells the connected agents which versions of the services' software are listed, while
// several can have begun streams. Agents remember each for origin.Lifetime after it was last told, so
// that one that has left must not be told again.
func (s *State) tellVersionsIfDue() {
	again := !s.now.Before(s.software.nextTellAt)
	if !s.software.tellPending && !again {
		return
	}
	s.software.tellPending = false
	if again {
		s.software.nextTellAt = s.now.Add(versionsTellInterval)
	}
	for _, service := range slices.Sorted(maps.Keys(s.software.streamed)) {
		if !s.hasSeveralVersions(service) {
			continue
		}
		versions := slices.DeleteFunc(slices.Clone(s.software.listed[service]), func(v string) bool { return v == "" })
		for _, e := range s.endpoints {
			if !e.hasAgent || !again && slices.Equal(e.toldVersions[service], versions) {
				continue
			}
			if e.toldVersions == nil {
				e.toldVersions = make(map[string][]string)
			}
			e.toldVersions[service] = versions
			s.emit(TellVersions{Agent: e.Instance, Service: service, Versions: versions})
		}
	}
}
