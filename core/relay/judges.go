package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"chervilreach/core/poison"
)

// judges returns the endpoints whose agents judge the requests of a service, the same at all
// routers: those of the service, or of any if the service has no agents. The choice depends on
// addresses, as an endpoint that restarts has another instance name.
func (s *State) judges(service string) []*endpoint {
	return s.lowestHashes(service, func(*endpoint) bool { return true })
}

// connectedJudges returns the endpoints to whose agents the router reports crashes: the judges, or the
// next ones in place of those that it is not connected to. A router that is cut off from the judges
// then shares evidence with the others that are.
func (s *State) connectedJudges(service string) []*endpoint {
	return s.lowestHashes(service, func(e *endpoint) bool { return e.hasAgent })
}

// lowestHashes returns the endpoints whose agents may judge the requests of a service, which eligible
// accepts and whose addresses hash lowest, at most judgeCount.
func (s *State) lowestHashes(service string, eligible func(e *endpoint) bool) []*endpoint {
	mayJudge := func(e *endpoint) bool { return e.HasModels && !e.Leaving }
	endpoints := s.index.endpointsByService[service]
	if !slices.ContainsFunc(endpoints, mayJudge) {
		endpoints = s.endpoints
	}
	type ranked struct {
		hash uint64
		e    *endpoint
	}
	var best []ranked
	for _, e := range endpoints {
		if !mayJudge(e) || !eligible(e) {
			continue
		}
		r := ranked{xxhash.Sum64String(e.Address.String()), e}
		i, _ := slices.BinarySearchFunc(best, r.hash, func(b ranked, hash uint64) int { return cmp.Compare(b.hash, hash) })
		if i < judgeCount {
			best = slices.Insert(best, i, r)[:min(len(best)+1, judgeCount)]
		}
	}
	list := make([]*endpoint, 0, len(best))
	for _, r := range best {
		list = append(list, r.e)
	}
	return list
}

// judgeCandidates returns the endpoints to follow because their agents judge prompt parts: those of
// the services of which the router has recent crashes to report.
func (s *State) judgeCandidates() []followCandidate {
	services := lo.Map(s.recentCrashes(), func(c recentCrash, _ int) string { return c.service })
	slices.Sort(services)
	var candidates []followCandidate
	for _, service := range slices.Compact(services) {
		for _, e := range s.judges(service) {
			candidates = append(candidates, followCandidate{e, alwaysFollowedWeight})
		}
	}
	return candidates
}

// informJudges reports the recent crashes to the judges that have not been told all of them. Which
// agents judge changes when their endpoints crash.
func (s *State) informJudges() {
	crashes := make(map[string][]poison.Crash)
	judges := make(map[string]*endpoint)
	for _, c := range s.recentCrashes() {
		for _, judge := range s.connectedJudges(c.service) {
			if judge.toldCrashCount < s.poison.crashCount {
				judges[judge.Instance] = judge
				crashes[judge.Instance] = append(crashes[judge.Instance], c.crash)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(judges)) {
		judges[id].toldCrashCount = s.poison.crashCount
		s.emit(ReportCrashes{Judge: id, Crashes: crashes[id]})
	}
}
