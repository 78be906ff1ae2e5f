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
// have just started or whose list is old. It is written only when the versions of a service change, and
// before a new one begins streams. What is read after a request has arrived thus has the version that
// began its stream, however old the router's list is.

const (
	// versionsCheckInterval is the time between two checks of what the store has of versions.
	versionsCheckInterval = time.Second
	// versionsUpdateSpread is the time over which routers spread their updates of the store, so that
	// most of them find that another has made it.
	versionsUpdateSpread = 500 * time.Millisecond
	// versionsRetryPause is the pause after a failed call of the store.
	versionsRetryPause = 300 * time.Millisecond
	// minVersionsReadInterval is the shortest interval between two reads for resuming requests.
	// versionsReadIntervalPerRouter, times the number of routers, is the interval if it is longer, so that
	// the store gets as many calls from a large fleet as from a small one.
	minVersionsReadInterval       = 20 * time.Millisecond
	versionsReadIntervalPerRouter = time.Millisecond
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
	// firstListed is when each version of a service was first listed without a pause of
	// origin.Lifetime.
	firstListed map[string]map[string]time.Time
	// records are the records as last read or written, by service. recordsRead reports whether they
	// have been read. recordedSince is since when each version has been in them.
	records       map[string]VersionsRecord
	recordsRead   bool
	recordedSince map[string]map[string]time.Time
	// calling reports whether a call of the store is in progress, and calledAt is when it began;
	// nextCheckAt is the time of the next check. updating reports whether the records are read again to be
	// updated.
	calling, updating     bool
	calledAt, nextCheckAt time.Time
	// readFor is when the last request arrived for which the records are read. readAt is when the last
	// read began that has succeeded, failedAt when the last one began that has failed, and nextReadAt the
	// time of the next one for requests.
	readFor, readAt, failedAt, nextReadAt time.Time
	// tellPending reports whether agents may have to be told of versions, nextTellAt when they are told
	// again.
	tellPending bool
	nextTellAt  time.Time
}

func newSoftwareState() softwareState {
	return softwareState{
		origins: origin.NewMemory(), listed: make(map[string][]string), lastListed: make(map[string]map[string]time.Time),
		streamed: make(map[string]bool), records: make(map[string]VersionsRecord),
		firstListed: make(map[string]map[string]time.Time), recordedSince: make(map[string]map[string]time.Time),
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
	s.noteFirstListed()
	if s.software.origins.LastSeq() > 0 && s.now.Before(s.software.nextReportAt) {
		s.emitWake(s.software.nextReportAt)
	}
}

// noteFirstListed notes the versions that have just been listed and has them recorded soon.
func (s *State) noteFirstListed() {
	for service, versions := range s.software.listed {
		first := s.software.firstListed[service]
		if first == nil {
			first = make(map[string]time.Time)
			s.software.firstListed[service] = first
		}
		for _, v := range versions {
			if _, ok := first[v]; ok {
				continue
			}
			first[v] = s.now
			if !s.software.updating {
				s.software.nextCheckAt = s.now
			}
		}
	}
	for service, first := range s.software.firstListed {
		maps.DeleteFunc(first, func(v string, _ time.Time) bool { return !slices.Contains(s.observedVersions(service), v) })
	}
	s.software.tellPending = true
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
// knows, sorted: those observed and those recorded.
func (s *State) possibleVersions(service string) []string {
	versions := append(s.observedVersions(service), s.software.records[service].Versions...)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// versionsWith returns the possible versions of a service with others that agents know of, sorted.
func (s *State) versionsWith(service string, others map[string]bool) []string {
	versions := slices.AppendSeq(s.possibleVersions(service), maps.Keys(others))
	slices.Sort(versions)
	return slices.Compact(versions)
}

// watchedLong reports whether the router has watched the list for so long that it knows all
// versions that can have begun a stream.
func (s *State) watchedLong() bool {
	return !s.now.Before(s.software.startedAt.Add(origin.Lifetime))
}

// versionsKnown reports whether the router knows all versions that can have begun a stream, by
// itself or from the store.
func (s *State) versionsKnown() bool { return s.software.recordsRead || s.watchedLong() }

// hasSeveralVersions reports whether streams of a service can have been begun by several versions,
// as far as the router knows.
func (s *State) hasSeveralVersions(service string) bool {
	listed, records := s.software.listed[service], s.software.records[service].Versions
	if len(listed) > 1 || len(records) > 1 {
		return true
	}
	return len(s.possibleVersions(service)) > 1
}

// observesSeveralVersions reports whether several versions of a service have been listed within
// origin.Lifetime.
func (s *State) observesSeveralVersions(service string) bool {
	return len(s.software.listed[service]) > 1 || len(s.observedVersions(service)) > 1
}

// checkVersionsIfDue reads the records when the first stream arrives, and updates those that are
// outdated.
func (s *State) checkVersionsIfDue() {
	if len(s.software.streamed) == 0 || s.software.calling {
		return
	}
	if s.software.readFor.After(s.software.readAt) && !s.readHasFailed(s.software.readFor) {
		s.readVersionsForRequests()
		return
	}
	if s.now.Before(s.software.nextCheckAt) {
		return
	}
	s.software.nextCheckAt = s.now.Add(versionsCheckInterval)
	switch {
	case !s.software.recordsRead, s.software.updating:
		s.readVersions()
	case s.outdatedRecord() != nil:
		s.software.updating = true
		s.software.nextCheckAt = s.now.Add(time.Duration(s.tieBreakOf("versions") * float64(versionsUpdateSpread)))
		s.emitWake(s.software.nextCheckAt)
	}
}

// readVersions starts a read of the records.
func (s *State) readVersions() {
	s.software.calling, s.software.calledAt = true, s.now
	s.software.nextReadAt = s.now.Add(max(minVersionsReadInterval, time.Duration(s.retryBudget.routerCount)*versionsReadIntervalPerRouter))
	s.emit(ReadVersions{})
}

// readVersionsForRequests reads the records for the requests that have arrived since the last read.
func (s *State) readVersionsForRequests() {
	if s.now.Before(s.software.nextReadAt) {
		s.emitWake(s.software.nextReadAt)
		return
	}
	s.readVersions()
}

// outdatedRecord returns the new record of a service whose record lacks a version or has one with which
// no endpoint has served lately; nil if there is none. Unknown versions don't count.
func (s *State) outdatedRecord() *VersionsRecord {
	for _, service := range slices.Sorted(maps.Keys(s.software.streamed)) {
		observed := slices.DeleteFunc(s.observedVersions(service), func(v string) bool { return v == "" })
		old := s.software.records[service]
		versions := slices.DeleteFunc(s.possibleVersions(service), func(v string) bool {
			return v == "" || !slices.Contains(observed, v) && s.wasRecordedLong(service, v)
		})
		if len(observed) > 0 && !slices.Equal(versions, old.Versions) {
			return &VersionsRecord{Service: service, Versions: versions, Revision: old.Revision}
		}
	}
	return nil
}

// wasRecordedLong reports whether a version has been recorded for so long that a router would have
// listed it if it served.
func (s *State) wasRecordedLong(service, version string) bool {
	since, ok := s.software.recordedSince[service][version]
	return ok && !s.now.Before(since.Add(origin.Lifetime))
}

// setRecord notes what the store has of the versions of a service.
func (s *State) setRecord(rec VersionsRecord) {
	before := s.software.recordedSince[rec.Service]
	since := make(map[string]time.Time, len(rec.Versions))
	for _, v := range rec.Versions {
		since[v] = s.now
		if at, ok := before[v]; ok {
			since[v] = at
		}
	}
	s.software.recordedSince[rec.Service], s.software.records[rec.Service] = since, rec
	s.software.tellPending = true
}

func (s *State) handleVersionsRead(ev VersionsRead) {
	s.software.calling = false
	if ev.Failed {
		s.software.failedAt = s.software.calledAt
		s.retryVersions()
		s.dispatchWaiting()
		return
	}
	clear(s.software.records)
	for _, rec := range ev.Records {
		s.setRecord(rec)
	}
	s.software.recordsRead, s.software.readAt = true, s.software.calledAt
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
	s.setRecord(ev.Record)
	s.software.updating = false
	s.dispatchWaiting()
}

// retryVersions has the store called again soon.
func (s *State) retryVersions() {
	s.software.nextCheckAt = s.now.Add(versionsRetryPause + time.Duration(s.tieBreakOf("versions")*float64(versionsRetryPause)))
	s.software.nextReadAt = s.software.nextCheckAt
	s.emitWake(s.software.nextCheckAt)
}
