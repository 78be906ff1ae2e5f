package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/epoch"
	"chervilreach/core/origin"
)

// Which versions of a service's software can have begun a stream is known without a record of
// streams: those that have been listed within origin.Lifetime. The store keeps them for routers that
// have just started. It is written only when the versions of a service change.

const (
	// versionsCheckInterval is the time between two checks of what the store has of versions.
	versionsCheckInterval = time.Second
	// versionsUpdateSpread is the time over which routers spread their updates of the store, so that
	// most of them find that another has made it.
	versionsUpdateSpread = 500 * time.Millisecond
	// versionsRetryPause is the pause after a failed call of the store.
	versionsRetryPause = 300 * time.Millisecond
)

// VersionsRecord is what the store has of the versions of a service's software: all with which
// endpoints have served lately.
type VersionsRecord struct {
	Service  string
	Versions []string
	// Revision is the revision of the record; zero if there is none.
	Revision epoch.Revision
}

// ReadVersions reads the records of all services.
type ReadVersions struct{}

// Kind implements event.Effect.
func (ReadVersions) Kind() string { return "relay-read-versions" }

// VersionsRead carries the records, or reports that they could not be read.
type VersionsRead struct {
	Records []VersionsRecord
	Failed  bool
}

// Kind implements event.Event.
func (VersionsRead) Kind() string { return "relay-versions-read" }

// WriteVersions writes a record if its revision is still the one given. The result comes back as
// VersionsWritten.
type WriteVersions struct {
	Record VersionsRecord
}

// Kind implements event.Effect.
func (WriteVersions) Kind() string { return "relay-write-versions" }

// VersionsWritten reports that a record has been written, with its new revision, or could not be.
type VersionsWritten struct {
	Record VersionsRecord
	Failed bool
}

// Kind implements event.Event.
func (VersionsWritten) Kind() string { return "relay-versions-written" }

// softwareState is what the router knows of the versions of the endpoints' software.
type softwareState struct {
	origins *origin.Memory
	// nextReportAt is the time of the next report of origins to agents.
	nextReportAt time.Time
	// startedAt is the time at which the router started to watch the list.
	startedAt time.Time
	// listed has the versions of the listed endpoints of each service, sorted. lastListed is when
	// each version was last listed, for those that no longer are.
	listed     map[string][]string
	lastListed map[string]map[string]time.Time
	// streamed is the set of services to which the router has sent streams.
	streamed map[string]bool
	// records are the records as last read or written, by service. recordsRead reports whether they
	// have been read.
	records     map[string]VersionsRecord
	recordsRead bool
	// calling reports whether a call of the store is in progress; nextCheckAt is the time of the next
	// check. updating reports whether the records are read again to be updated.
	calling, updating bool
	nextCheckAt       time.Time
}

func newSoftwareState() softwareState {
	return softwareState{
		origins: origin.NewMemory(), listed: make(map[string][]string), lastListed: make(map[string]map[string]time.Time),
		streamed: make(map[string]bool), records: make(map[string]VersionsRecord),
	}
}

// noteVersions notes the versions of the listed endpoints.
func (s *State) noteVersions() {
	for service, versions := range s.software.listed {
		if s.software.lastListed[service] == nil {
			s.software.lastListed[service] = make(map[string]time.Time)
		}
		for _, v := range versions {
			s.software.lastListed[service][v] = s.now
		}
	}
	for _, versions := range s.software.lastListed {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return !s.now.Before(at.Add(origin.Lifetime)) })
	}
	listed := make(map[string][]string, len(s.software.listed))
	for _, e := range s.endpoints {
		if i, found := slices.BinarySearch(listed[e.Service], e.Software); !found {
			listed[e.Service] = slices.Insert(listed[e.Service], i, e.Software)
		}
	}
	s.software.listed = listed
	if s.software.origins.LastSeq() > 0 && s.now.Before(s.software.nextReportAt) {
		s.emitWake(s.software.nextReportAt)
	}
}

// forgetSoftware notes that the incarnation of an endpoint's entry has ended. The next one may have
// other software.
func (s *State) forgetSoftware(e *endpoint) {
	if e.ended {
		return
	}
	e.ended, e.Software = true, ""
	s.noteVersions()
}

// observedVersions returns the versions of a service's software that have been listed within
// origin.Lifetime, as far as the router has watched the list, sorted. An unknown version is empty.
func (s *State) observedVersions(service string) []string {
	versions := slices.Clone(s.software.listed[service])
	for v, at := range s.software.lastListed[service] {
		if !s.now.Before(at.Add(origin.Lifetime)) {
			continue
		}
		if i, found := slices.BinarySearch(versions, v); !found {
			versions = slices.Insert(versions, i, v)
		}
	}
	return versions
}

// possibleVersions returns the versions that can have begun a stream of a service, as far as the router
// knows, sorted: those observed and, if it has not watched the list for long, those recorded.
func (s *State) possibleVersions(service string) []string {
	versions := s.observedVersions(service)
	if recorded := s.software.records[service].Versions; len(recorded) > 0 && !s.watchedLong() {
		versions = append(versions, recorded...)
		slices.Sort(versions)
		versions = slices.Compact(versions)
	}
	return versions
}

// watchedLong reports whether the router has watched the list for so long that it knows all
// versions that can have begun a stream.
func (s *State) watchedLong() bool {
	return !s.now.Before(s.software.startedAt.Add(origin.Lifetime))
}

// versionsKnown reports whether the router knows all versions that can have begun a stream, by
// itself or from the store.
func (s *State) versionsKnown() bool { return s.software.recordsRead || s.watchedLong() }

// onlyVersion returns the version that has begun all streams of a service that can be resumed. It
// returns false if there are several, or if they are not known. others are versions that the router
// has been told of.
func (s *State) onlyVersion(service string, others map[string]bool) (string, bool) {
	if !s.versionsKnown() {
		return "", false
	}
	versions := slices.AppendSeq(s.possibleVersions(service), maps.Keys(others))
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// hasSeveralVersions reports whether streams of a service can have been begun by several versions,
// as far as the router knows.
func (s *State) hasSeveralVersions(service string) bool {
	if listed := s.software.listed[service]; len(listed) > 1 {
		return true
	}
	return len(s.possibleVersions(service)) > 1
}

// checkVersionsIfDue reads the records when the first stream arrives, and updates those that are
// outdated.
func (s *State) checkVersionsIfDue() {
	if len(s.software.streamed) == 0 || s.software.calling || s.now.Before(s.software.nextCheckAt) {
		return
	}
	s.software.nextCheckAt = s.now.Add(versionsCheckInterval)
	switch {
	case !s.software.recordsRead, s.software.updating:
		s.software.calling = true
		s.emit(ReadVersions{})
	case s.outdatedRecord() != nil:
		s.software.updating = true
		s.software.nextCheckAt = s.now.Add(time.Duration(s.tieBreakOf("versions") * float64(versionsUpdateSpread)))
		s.emitWake(s.software.nextCheckAt)
	}
}

// outdatedRecord returns the new record of a service whose record lacks a version or has one with which
// no endpoint has served lately; nil if there is none. Unknown versions don't count.
func (s *State) outdatedRecord() *VersionsRecord {
	for _, service := range slices.Sorted(maps.Keys(s.software.streamed)) {
		observed := slices.DeleteFunc(s.observedVersions(service), func(v string) bool { return v == "" })
		old := s.software.records[service]
		versions := slices.DeleteFunc(s.possibleVersions(service), func(v string) bool { return v == "" })
		if len(observed) > 0 && !slices.Equal(versions, old.Versions) {
			return &VersionsRecord{Service: service, Versions: versions, Revision: old.Revision}
		}
	}
	return nil
}

func (s *State) handleVersionsRead(ev VersionsRead) {
	s.software.calling = false
	if ev.Failed {
		s.retryVersions()
		return
	}
	clear(s.software.records)
	for _, rec := range ev.Records {
		s.software.records[rec.Service] = rec
	}
	s.software.recordsRead = true
	if rec := s.outdatedRecord(); rec != nil && s.software.updating {
		s.software.calling = true
		s.emit(WriteVersions{Record: *rec})
	} else {
		s.software.updating = false
	}
	s.dispatchWaiting()
}

func (s *State) handleVersionsWritten(ev VersionsWritten) {
	s.software.calling = false
	if ev.Failed {
		// Another router may have written it.
		s.retryVersions()
		return
	}
	s.software.records[ev.Record.Service] = ev.Record
	s.software.updating = false
}

// retryVersions has the store called again soon.
func (s *State) retryVersions() {
	s.software.nextCheckAt = s.now.Add(versionsRetryPause + time.Duration(s.tieBreakOf("versions")*float64(versionsRetryPause)))
	s.emitWake(s.software.nextCheckAt)
}
