package relay

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/origin"
	"chervilreach/core/route"
)

// Endpoints of several versions of their software may serve side by side. A stream must go on at the
// version that began it, within one answer and over all attempts of its caller at any router.
//
// Each router remembers which version began its streams. While a service has several versions, it
// also tells the service's judges, whose agents outlive routers. A router that does not know a stream
// asks them. A stream that none of them knows is resumed only if one version alone can have begun it:
// see versions.go.

const (
	// originTimeout is how long a resuming request waits for agents to tell who began its stream.
	originTimeout = 1500 * time.Millisecond
	// originSettleTime is the time after which the agents that did not know are asked again, and agents
	// that are not connected are no longer waited for. Other routers tell agents of new streams with
	// a delay.
	originSettleTime = 300 * time.Millisecond
	// minOriginInterval is the shortest interval between two reports of origins. originIntervalPerRouter,
	// times the number of routers, is the interval if it is longer, so that an agent gets as many
	// reports in a large fleet as in a small one.
	minOriginInterval       = 40 * time.Millisecond
	originIntervalPerRouter = 2 * time.Millisecond
	// maxReportedOrigins is the maximum number of origins in one report, the latest ones.
	maxReportedOrigins = 2048
)

// ReportOrigins tells an agent which version of the software began streams.
type ReportOrigins struct {
	// Judge is the endpoint whose agent is told.
	Judge   string
	Service string
	Origins []origin.Origin
}

// Kind implements event.Effect.
func (ReportOrigins) Kind() string { return "relay-report-origins" }

// Routine implements event.Routine.
func (ReportOrigins) Routine() {}

// AskOrigin asks an agent which version of the software began a stream.
type AskOrigin struct {
	ID RequestID
	// Judge is the endpoint whose agent is asked.
	Judge   string
	Service string
	Stream  origin.Stream
}

// Kind implements event.Effect.
func (AskOrigin) Kind() string { return "relay-ask-origin" }

// Routine implements event.Routine.
func (AskOrigin) Routine() {}

// OriginAnswered carries the answer to an AskOrigin.
type OriginAnswered struct {
	ID    RequestID
	Judge string
	// Software is the version that began the stream; empty if the agent does not know.
	Software string
	// Versions are the versions of the service's software that can have begun a stream, as far as the
	// agent knows.
	Versions []string
	// Failed reports whether the agent did not answer.
	Failed bool
}

// Kind implements event.Event.
func (OriginAnswered) Kind() string { return "relay-origin" }

// Routine implements event.Routine.
func (OriginAnswered) Routine() {}

// OriginFound reports which version of the software a resuming request needs, for the log.
type OriginFound struct {
	ID RequestID
	// Software is empty if the version is not known.
	Software string
	// Source is how the router knows.
	Source string
	// Versions are the versions that can have begun the stream, as far as the router and the agents know.
	Versions []string
	// ReadAt is when the router began to read the latest record of versions that it has from the store;
	// zero if it has none.
	ReadAt time.Time
}

// Kind implements event.Effect.
func (OriginFound) Kind() string { return "relay-origin-found" }

// Routine implements event.Routine.
func (OriginFound) Routine() {}

// Sources of OriginFound, beside an endpoint whose agent has told.
const (
	sourceOwnMemory = "own-memory"
	// sourceOnlyVersion is the store, read since the request arrived; sourceAgentsVersion are agents, while
	// the store can't be read.
	sourceOnlyVersion   = "only-version"
	sourceAgentsVersion = "only-version-of-agents"
)

// originLookup is the search for the version that began the stream of a request.
type originLookup struct {
	startedAt time.Time
	// asked has the agents that have been asked since the start, or since they were asked again. pending
	// is the number of missing answers.
	asked   map[string]bool
	pending int
	// answered reports whether an agent has answered, askedAgain whether all have been asked again.
	answered, askedAgain bool
	// versions are the versions that agents know of.
	versions map[string]bool
}

// fits reports whether the endpoint has the version of the software that the request needs, if it
// needs one. An unknown version fits no stream.
func (r *request) fits(e *endpoint) bool {
	return !r.bound || r.software != "" && e.Software == r.software
}

// bindTo makes the request need a version of the software; an empty one is unknown.
func (r *request) bindTo(software string) { r.bound, r.software = true, software }

// noteStreamStart notes that the endpoint of the attempt in progress has begun, or gone on with, a stream.
func (s *State) noteStreamStart(r *request) {
	if r.sentSoftware == "" {
		r.bindTo("")
		return
	}
	r.bindTo(r.sentSoftware)
	for _, stream := range []origin.Stream{r.Origin, r.Resumes} {
		s.software.origins.Note(s.now, r.Service, origin.Origin{Stream: stream, Software: r.software})
	}
	if s.hasSeveralVersions(r.Service) {
		s.emitWake(s.software.nextReportAt)
	}
}

// findOrigin finds out which version of the software a resuming request needs. It may take a while,
// in which the request waits.
func (s *State) findOrigin(r *request) {
	if software, ok := s.software.origins.Software(s.now, r.Resumes); ok {
		s.bindResuming(r, software, sourceOwnMemory)
		return
	}
	r.lookup = &originLookup{startedAt: s.now, asked: make(map[string]bool), versions: make(map[string]bool)}
	if !s.observesSeveralVersions(r.Service) {
		s.software.readFor = s.now
	}
	s.askJudges(r)
}

// askJudges asks the connected agents that may know the origin of a request's stream.
func (s *State) askJudges(r *request) {
	for _, judge := range s.connectedJudges(r.Service) {
		if r.lookup.asked[judge.Instance] {
			continue
		}
		r.lookup.asked[judge.Instance] = true
		r.lookup.pending++
		s.emit(AskOrigin{ID: r.id, Judge: judge.Instance, Service: r.Service, Stream: r.Resumes})
	}
}

// askJudgesOfWaiting lets an agent that has just connected be asked for the waiting requests.
func (s *State) askJudgesOfWaiting() {
	for _, r := range s.waiting {
		if r.lookup != nil {
			s.askJudges(r)
		}
	}
}

func (s *State) handleOriginAnswered(ev OriginAnswered) {
	r := s.requests[ev.ID]
	if r == nil || r.lookup == nil {
		return
	}
	l := r.lookup
	l.pending--
	l.answered = l.answered || !ev.Failed
	for _, v := range ev.Versions {
		l.versions[v] = true
	}
	if ev.Software != "" {
		s.bindResuming(r, ev.Software, ev.Judge)
	}
	s.dispatch(r)
}

// bindResuming ends the search for the version that a request needs.
func (s *State) bindResuming(r *request, software, source string) {
	found := OriginFound{ID: r.id, Software: software, Source: source, ReadAt: s.software.readAt}
	if r.lookup != nil {
		found.Versions = s.versionsWith(r.Service, r.lookup.versions)
	}
	r.lookup = nil
	r.bindTo(software)
	s.emit(found)
}

// awaitsOrigin reports whether a request must wait because the version that it needs is not known yet.
// It ends the search if no more answers are to be expected.
func (s *State) awaitsOrigin(r *request) bool {
	l := r.lookup
	if l == nil {
		return false
	}
	settleAt, endAt := l.startedAt.Add(originSettleTime), l.startedAt.Add(originTimeout)
	if s.now.Before(endAt) && (l.pending > 0 || s.awaitsJudges(r, settleAt) || s.awaitsRecords(r, settleAt)) {
		if s.now.Before(settleAt) {
			s.emitWake(settleAt)
		}
		s.emitWake(endAt)
		return true
	}
	software, source := s.onlyVersion(r)
	switch {
	case source != "":
		s.bindResuming(r, software, source)
	case !l.askedAgain && s.now.Before(settleAt):
		s.emitWake(settleAt)
		return true
	case !l.askedAgain && l.answered && s.now.Before(endAt):
		l.askedAgain = true
		clear(l.asked)
		s.askJudges(r)
		return true
	default:
		s.bindResuming(r, "", "")
	}
	return false
}

// awaitsJudges reports whether agents that may know the origin of a request's stream are likely to
// connect soon.
func (s *State) awaitsJudges(r *request, settleAt time.Time) bool {
	unconnected := slices.ContainsFunc(s.judges(r.Service), func(e *endpoint) bool { return !e.hasAgent })
	return unconnected && (s.now.Before(settleAt) || !r.lookup.answered && s.mayOrderLoads(r.Service))
}

// awaitsRecords reports whether what the store has of versions is still to be read for a request. A
// router that has never read it waits for longer, as agents may know less than the store. It tells
// nothing if several versions have been listed.
func (s *State) awaitsRecords(r *request, settleAt time.Time) bool {
	if !s.versionsKnown() {
		return true
	}
	at := r.lookup.startedAt
	return s.now.Before(settleAt) && !s.observesSeveralVersions(r.Service) && !s.recordsAreSince(at) && !s.readHasFailed(at)
}

// versionSuccessors returns the versions of the software that several holders of a stream's model have,
// so that another can go on with the stream if one fails. It returns nil if the choice is open: one
// version serves, no version has several holders, or the stream can't go on elsewhere anyway.
func (s *State) versionSuccessors(r *request) map[string]bool {
	if r.bound || r.Route.Kind != route.Stream || !r.Route.Resumable || !s.hasSeveralVersions(r.Service) {
		return nil
	}
	counts := make(map[string]int)
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if s.canServe(e, r) && e.Software != "" {
			counts[e.Software]++
		}
	}
	maps.DeleteFunc(counts, func(_ string, n int) bool { return n < 2 })
	if len(counts) == 0 {
		return nil
	}
	successors := make(map[string]bool, len(counts))
	for v := range counts {
		successors[v] = true
	}
	return successors
}

// refuseIfVersionGone answers a request whose stream no endpoint can go on with.
func (s *State) refuseIfVersionGone(r *request) bool {
	if !r.bound || s.now.Before(s.listDeadline) {
		return false
	}
	if r.software == "" {
		s.refuseOrFail(r, UnknownVersion, s.now)
		return true
	}
	for _, e := range s.index.endpointsByService[r.Service] {
		if !e.Leaving && r.fits(e) {
			return false
		}
	}
	s.refuseOrFail(r, VersionGone, s.now)
	return true
}

// loadKeyOf returns the load that a request waits for. Streams that can go on at some of the endpoints
// only wait for loads of their own.
func (s *State) loadKeyOf(r *request) loadKey {
	key := loadKey{service: r.Service, item: r.Item}
	if r.bound && s.hasSeveralVersions(r.Service) {
		key.software = r.software
	}
	return key
}

// reportOriginsIfDue tells the judges of services with several versions which streams have begun since
// the last report, or lately if they have just become judges.
func (s *State) reportOriginsIfDue() {
	if s.now.Before(s.software.nextReportAt) || s.software.origins.LastSeq() == 0 {
		return
	}
	s.software.nextReportAt = s.now.Add(max(minOriginInterval, time.Duration(s.retryBudget.routerCount)*originIntervalPerRouter))
	last := s.software.origins.LastSeq()
	told := make(map[*endpoint]bool)
	for _, service := range slices.Sorted(maps.Keys(s.software.streamed)) {
		if !s.hasSeveralVersions(service) {
			continue
		}
		for _, judge := range s.connectedJudges(service) {
			if judge.toldOrigins == last {
				continue
			}
			told[judge] = true
			list := s.software.origins.Since(s.now, service, judge.toldOrigins)
			if len(list) > 0 {
				s.emit(ReportOrigins{Judge: judge.Instance, Service: service, Origins: list[max(len(list)-maxReportedOrigins, 0):]})
			}
		}
	}
	for judge := range told {
		judge.toldOrigins = last
	}
}

// originCandidates returns the endpoints to follow because their agents keep the origins of streams.
func (s *State) originCandidates() []followCandidate {
	var candidates []followCandidate
	for _, service := range slices.Sorted(maps.Keys(s.software.streamed)) {
		if !s.hasSeveralVersions(service) {
			continue
		}
		for _, e := range s.judges(service) {
			candidates = append(candidates, followCandidate{e, alwaysFollowedWeight})
		}
	}
	return candidates
}
